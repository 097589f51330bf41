// Reads the store for the follower from the best place (SourceSelector): the
// store itself, or a peer that follows it.
//
// Steps:
//   1. The first reading of all comes from the store, and may be seconds old:
//      it costs a tenth, and is enough to serve callers and to learn whom to
//      follow. If it names nobody, as at the first start of a fleet, there is
//      another such reading once the stronger daemons have registered.
//   2. Everything is read from the best place, and changes from there on.
//   3. When another place looks better, it is asked first how old its news are.
//      Only if they are young, news go on from there: a peer tells what changed
//      since the position up to which nothing is missing here, so that a change
//      of place or a restart costs the changes of some seconds and not
//      everything. Everything is read anew if the peer does not know that much.
//
// The store may be restored from a copy and is then in a later era
// (store::Position). Any answer of the store or of a peer may tell so first;
// the reading of the store begins anew at once, and a peer that is still in an
// earlier era is no place to read from.
//
// Invariant: the era of what is passed on never goes back.

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
#include "src/relay/update_codec.h"
#include "src/relay/update_server.h"
#include "src/store/event_source.h"

namespace medlarspread::relay {

struct UpdateReaderSettings {
  SourceSelectorSettings sources;
  // How long after its start a daemon that knows no others waits for them to
  // register before it reads the store itself; strong ones come first.
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

  // `list` and `watch` go to the best place; the rest to the store.
  store::EventSource source();
  // Whether this daemon reads the store for its failure domain.
  bool is_reader() const { return selector_.is_reader(); }
  // Whether this daemon takes its news from the store. Then it should renew its
  // lease often, so that DidRenew() and DidFailToRenew() tell how the store is.
  bool is_reading_store() const { return current_source_ == kStore; }
  // A lease was renewed, which shows that the store answers. It says nothing of
  // the news while they come from somewhere else.
  void DidRenew();
  // The store did not answer a renewal. A watch that waits may have been lost
  // with it, and would be silent also after the store's return: it is given up.
  void DidFailToRenew(const base::Error& error);
  // The store named its era in an answer to any call.
  void DidSeeEra(std::int64_t era);
  // Absent if no place has answered yet.
  std::optional<Freshness> freshness() const;
  // Where the last reading came from, for logs: "the store", "the store,
  // perhaps old", or the address of a peer.
  std::string DescribeSource() const;

 private:
  using ListCallback = std::function<void(base::Result<store::Page>)>;
  using WatchCallback = std::function<void(base::Result<store::Changes>)>;

  void DidReachStore();
  void DidFail(const std::string& source, const base::Error& error);
  // Ends the watch of the store that waits, if one does.
  void AbortWatch(const base::Error& error);
  // Why news of the peer are of no use, if they are not: it has not heard yet
  // that the store was restored. Notes which era the peer is in.
  std::optional<base::Error> CheckEra(const std::string& peer,
                                      StoreUpdate& update);
  // Why news from the place are not taken, if they are not; notes it.
  std::optional<base::Error> CheckUpdate(const std::string& source,
                                         const StoreUpdate& update);
  void List(const std::string& prefix,
            const std::string& after,
            ListCallback done);
  // Reads from `list_source_`, which is the store.
  void ListStore(const std::string& prefix,
                 const std::string& after,
                 ListCallback done);
  // How long to wait before a reading that may be old; absent if it must not
  // be.
  std::optional<base::Duration> StaleReadDelay() const;
  void ListPeer(const std::string& peer, ListCallback done);
  void Watch(const std::string& prefix,
             std::int64_t cursor,
             base::Duration wait,
             WatchCallback done);
  // Asks the peer how old its news are before it is read from.
  void ProbeFreshness(const std::string& peer,
                      std::function<void(bool should_read)> done);
  // Goes on with what the peer knows beyond `resume_position_`.
  void SwitchTo(const std::string& peer, WatchCallback done);
  void DidSwitchTo(const std::string& peer,
                   StoreUpdate update,
                   const WatchCallback& done);
  void DidReceive(const std::string& peer,
                  StoreUpdate update,
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
  // Told when the store was found to be in a later era than before.
  const std::function<void()> did_restore_store_;
  const base::Log log_;
  const base::MonotonicTime start_time_;
  SourceSelector selector_;
  // The watch of the store that waits, until its first end.
  std::shared_ptr<WatchCallback> pending_watch_;
  // Before this time the store is not watched again.
  base::MonotonicTime watch_pause_until_;
  // Where the last reading came from; kStaleStore after the first.
  std::string current_source_;
  // Where the reading that is under way comes from.
  std::string list_source_;
  // Set once a place was found to be worth reading from.
  std::optional<std::string> next_source_;
  ResumePosition resume_position_;
  // The latest that the store or a peer has named; zero if none has.
  std::int64_t era_ = 0;
  // Whether anything was read yet.
  bool has_read_ = false;
  // Whether the second reading that may be old was made.
  bool has_reread_stale_ = false;
  // When the store answered, as far as this daemon knows.
  std::optional<base::MonotonicTime> last_store_contact_;
};

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_UPDATE_READER_H_
