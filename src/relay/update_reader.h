// The event source of the store follower. Reads from the best source at the
// time (SourceSelector): the store itself, or a peer that follows it.
//
// Steps:
//   1. The first list after the start is a stale read of the store, which may
//      be seconds old but costs a tenth. It is enough to serve callers and to
//      learn which peers exist. If it names no peers, as at the first start of
//      a fleet, a second stale read follows once the stronger daemons have had
//      time to register.
//   2. The copy is completed from the best source. A peer sends the changes
//      since the newest item of the stale read, and a digest of its own items;
//      if the copy then differs from the peer's, as when the pages of the stale
//      read differed in age, all keys are listed there. The store always lists
//      all keys.
//   3. Changes are watched at that source. When another one looks better, its
//      freshness is probed first. If it is fresh enough, reading resumes there
//      from the last position up to which no change is missing, so that a
//      switch transfers only the changes of a few seconds. If the peer's
//      history does not reach back that far, all keys are listed again.
//
// The store may be restored from a backup and is then in a later era
// (store::Position). Any response of the store or of a peer may be the first to
// show this. Reading from the store then starts over at once, and a peer that
// is still in an earlier era is not used.
//
// Invariant: the era of the events that are passed on never decreases.

#ifndef MEDLARSPREAD_RELAY_UPDATE_READER_H_
#define MEDLARSPREAD_RELAY_UPDATE_READER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/relay/peer_client.h"
#include "src/relay/resume_position.h"
#include "src/relay/source_selector.h"
#include "src/relay/stale_copy.h"
#include "src/relay/update_codec.h"
#include "src/relay/update_server.h"
#include "src/store/event_source.h"

namespace medlarspread::relay {

struct UpdateReaderSettings {
  SourceSelectorSettings sources;
  // How long after its start a daemon that knows no peers waits for them to
  // register before it lists the store itself. Stronger daemons use shorter
  // waits.
  base::Duration registration_wait{};
};

// Runs on the control thread.
class UpdateReader : public std::enable_shared_from_this<UpdateReader> {
 public:
  UpdateReader(UpdateReaderSettings settings,
               base::Clock clock,
               base::TaskRunner control,
               store::EventSource store,
               FetchFromPeer fetch_from_peer,
               const blackboard::Blackboard& blackboard,
               std::function<void()> did_restore_store,
               base::Log log);

  // `list` and `watch` use the best source; all other calls go to the store.
  store::EventSource source();
  // Whether this daemon reads the store for its failure domain.
  bool is_reader() const { return selector_.is_reader(); }
  // Whether this daemon currently reads from the store. If so, it should renew
  // its lease often, because DidRenew() and DidFailToRenew() show whether the
  // store is reachable.
  bool is_reading_store() const { return current_source_ == kStore; }
  // A lease renewal succeeded, so the store is reachable. This is ignored while
  // updates come from a peer, whose age is independent of the renewal.
  void DidRenew();
  // A lease renewal got no answer. The pending watch may be lost too, and would
  // stay silent even after the store is back, so it is aborted.
  void DidFailToRenew(const base::Error& error);
  // A response of the store to any call named this era.
  void DidSeeEra(std::int64_t era);
  // Absent until a source has answered.
  std::optional<Freshness> freshness() const;
  // The source of the last list, for logs: "the store", "the store (stale
  // read)", or the address of a peer.
  std::string DescribeSource() const;

 private:
  using ListCallback = std::function<void(base::Result<store::Page>)>;
  using WatchCallback = std::function<void(base::Result<store::Changes>)>;

  void DidReachStore();
  void DidFail(const std::string& source, const base::Error& error);
  // Ends the pending watch of the store with the error, if there is one.
  void AbortWatch(const base::Error& error);
  // Returns an error if the peer is still in an earlier era, that is, has not
  // noticed yet that the store was restored. Also records the era that the peer
  // names, and fills it in for peers that name none.
  std::optional<base::Error> CheckEra(const std::string& peer,
                                      StoreUpdate& update);
  // Returns an error if the update is stale, or comes from a peer of another
  // failure domain that does not read the store itself. Reports the result to
  // the selector.
  std::optional<base::Error> CheckUpdate(const std::string& source,
                                         const StoreUpdate& update);
  void List(const std::string& prefix,
            const std::string& after,
            ListCallback done);
  // Lists from the store; `list_source_` says whether by a stale read.
  void ListStore(const std::string& prefix,
                 const std::string& after,
                 ListCallback done);
  // How long to wait before the next list, if that is to be a stale read of the
  // store; absent if it must be a current one.
  std::optional<base::Duration> StaleReadDelay() const;
  void ListPeer(const std::string& peer, ListCallback done);
  void Watch(const std::string& prefix,
             std::int64_t cursor,
             base::Duration wait,
             WatchCallback done);
  // Asks the peer how old its data are before reading from it.
  void ProbeFreshness(const std::string& peer,
                      std::function<void(bool should_read)> done);
  // Requests the changes since SwitchPosition() from the peer and reads on
  // there, or lists all keys if the peer can't tell them.
  void SwitchTo(const std::string& peer, WatchCallback done);
  // The last position up to which no change is missing, or that of the newest
  // item of a stale read; absent if there is none.
  std::optional<store::Position> SwitchPosition();
  void DidSwitchTo(const std::string& peer,
                   StoreUpdate update,
                   const WatchCallback& done);
  // Ends the watch, so that all keys are listed from the peer next.
  void ListInstead(const std::string& peer,
                   const std::string& why,
                   const WatchCallback& done);
  // Whether the copy of the stale read and the peer's changes since then are
  // all that the peer knows.
  bool CompletesStaleCopy(const StoreUpdate& update);
  void DidReceive(const std::string& peer,
                  StoreUpdate update,
                  std::optional<store::Position> completes_list_since,
                  const WatchCallback& done);
  void WatchPeer(const std::string& peer,
                 std::int64_t cursor,
                 WatchCallback done);
  void WatchStore(const std::string& prefix,
                  std::int64_t cursor,
                  base::Duration wait,
                  WatchCallback done);
  void DidWatchStore(const base::Result<store::Changes>& changes);

  const UpdateReaderSettings settings_;
  const base::Clock clock_;
  const base::TaskRunner control_;
  const store::EventSource store_;
  const FetchFromPeer fetch_from_peer_;
  // Called when the store turns out to be in a later era than before.
  const std::function<void()> did_restore_store_;
  const base::Log log_;
  const base::MonotonicTime start_time_;
  SourceSelector selector_;
  // The callback of the pending watch of the store; reset when the watch ends
  // for the first time.
  std::shared_ptr<WatchCallback> pending_watch_;
  // The store is not watched again before this time.
  base::MonotonicTime watch_pause_until_;
  // The source of the last list or watch; kStaleStore after a stale read.
  std::string current_source_;
  // The source of the list in progress.
  std::string list_source_;
  // The position of the first page of the list of the store in progress. All
  // changes up to it are known once the last page has been read.
  store::Position list_position_;
  // The source for the next list, if a switch has chosen one.
  std::optional<std::string> next_source_;
  ResumePosition resume_position_;
  // Filled by a stale read; empty once the copy of the store is complete.
  StaleCopy stale_copy_;
  // The latest era that the store or a peer has named; zero if none has.
  std::int64_t era_ = 0;
  // Whether a list has succeeded yet.
  bool has_read_ = false;
  // Whether the second stale read was started.
  bool has_reread_stale_ = false;
  // When the store last answered, as far as this daemon knows.
  std::optional<base::MonotonicTime> last_store_contact_;
};

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_UPDATE_READER_H_
