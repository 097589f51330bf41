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
//   3. Changes are watched at that source. Peers that are preferred to it are
//      probed meanwhile. If one is fresh enough, reading resumes there from the
//      last position up to which no change is missing, so that a switch
//      transfers only the changes of a few seconds. If the peer's history does
//      not reach back that far, all keys are listed again.
//   4. When the source fails, or the copy reaches kMaxUpdateAge, a search asks
//      all peers at once (SourceSearch). What the follower waits for is
//      restarted at the source that the search finds. The first daemons of the
//      failure domain turn to the store if their peers don't help; the others
//      do once the copy reaches kMaxCopyAge. If peers answer then, but have
//      lost the store too, a stale read shows first whether this daemon reaches
//      it, so that an outage costs no fleet of calls.
//   5. A watch of the store whose answer was lost looks like one without
//      changes. So a daemon that reads the store asks another reader now and
//      then how far it knows the store. If that is farther than the pending
//      watch should have let through, the watch is started again.
//
// The store may be restored from a backup and is then in a later era
// (store::Position). Any response of the store or of a peer may be the first to
// show this. Reading from the store then starts over at once, and a peer that
// is still in an earlier era is not used.
//
// Invariants: the era of the events that are passed on never decreases. All
// changes that the store acknowledged before `last_store_contact_` have been
// passed on.

#ifndef MEDLARSPREAD_RELAY_UPDATE_READER_H_
#define MEDLARSPREAD_RELAY_UPDATE_READER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/relay/peer_client.h"
#include "src/relay/resume_position.h"
#include "src/relay/source_search.h"
#include "src/relay/source_selector.h"
#include "src/relay/stale_copy.h"
#include "src/relay/update_codec.h"
#include "src/relay/update_server.h"
#include "src/store/event_source.h"
#include "src/store/outage_detector.h"

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
  // `outages` observes the calls of `store`.
  UpdateReader(UpdateReaderSettings settings,
               base::Clock clock,
               base::TaskRunner control,
               store::EventSource store,
               std::shared_ptr<store::OutageDetector> outages,
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
  // How long to put off a lease renewal, so that it is sent while a watch is
  // pending.
  base::Duration renewal_delay() const;
  // A lease renewal succeeded. If a watch of the store is pending, the copy is
  // taken to be current, and compared with that of another reader. Otherwise
  // this is ignored: in the pause between watches changes may have been missed,
  // and the age of a peer's updates is independent of the renewal.
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

  // Marks a stale read of the store as the source. Watching cannot continue
  // from it.
  static constexpr const char* kStaleStore = "stale";

  // What the follower waits for.
  struct ListCall {
    std::string prefix;
    ListCallback done;
  };
  struct WatchCall {
    std::string prefix;
    std::int64_t cursor = 0;
    base::Duration wait{};
    WatchCallback done;
  };
  using Call = std::variant<std::monostate, ListCall, WatchCall>;

  // A source that the search has chosen and that has not delivered yet.
  struct Adoption {
    std::string source;
    base::MonotonicTime started;
  };

  void DidReachStore();
  void DidFail(const std::string& source, const base::Error& error);
  // The peer answered with updates that are too old or of an earlier era.
  void DidBecomeStale(const std::string& peer, const base::Error& error);
  // Asks another store reader for its position, to find out whether the answer
  // to the pending watch was lost.
  void CheckWatch();
  void DidCheckWatch(const std::string& peer,
                     const std::shared_ptr<WatchCallback>& watch,
                     const store::Position& position);
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

  // The calls of the follower.
  void List(const std::string& prefix,
            const std::string& after,
            ListCallback done);
  void Watch(const std::string& prefix,
             std::int64_t cursor,
             base::Duration wait,
             WatchCallback done);
  // Ends the pending call, which must be of that kind.
  void FinishList(base::Result<store::Page> page);
  void FinishWatch(base::Result<store::Changes> changes);
  // Gives up what is in progress for the pending call; its later results are
  // ignored.
  void AbandonAttempt();
  // Ends an attempt that failed: the search goes on with the call if it can
  // resume it elsewhere. Returns whether that is so.
  bool ParkCall();

  // Lists from `list_source_`.
  void StartList(const std::string& prefix);
  // Lists from the store; `list_source_` says whether by a stale read.
  void ListStore(const std::string& prefix,
                 const std::string& after,
                 ListCallback done);
  void DidListStore(bool is_stale,
                    bool is_first_page,
                    base::Result<store::Page>& page);
  // How long to wait before the next list, if that is to be a stale read of the
  // store; absent if it must be a current one.
  std::optional<base::Duration> StaleReadDelay() const;
  void ListPeer(const std::string& peer);
  // Starts or resumes the pending watch at that source.
  void StartWatch(const std::string& source);
  // Watches the current source.
  void ContinueWatch(const WatchCall& call);
  // Requests the changes since SwitchPosition() from the peer and reads on
  // there, or lists all keys if the peer can't tell them.
  void SwitchTo(const std::string& peer);
  // Reads the changes since SwitchPosition() from the store, or lists all keys.
  void SwitchToStore(const WatchCall& call);
  // The last position up to which no change is missing, or that of the newest
  // item of a stale read; absent if there is none.
  std::optional<store::Position> SwitchPosition();
  void DidSwitchTo(const std::string& peer, StoreUpdate update);
  // Ends the watch, so that all keys are listed from the source next.
  void ListInstead(const std::string& source, const std::string& why);
  // Whether the copy of the stale read and the peer's changes since then are
  // all that the peer knows.
  bool CompletesStaleCopy(const StoreUpdate& update);
  void DidReceive(const std::string& peer,
                  StoreUpdate update,
                  std::optional<store::Position> completes_list_since);
  void WatchPeer(const std::string& peer, std::int64_t cursor);
  void WatchStore(const std::string& prefix,
                  std::int64_t cursor,
                  base::Duration wait);
  void DidWatchStore(const base::Result<store::Changes>& changes);

  // Called before the first call of the follower.
  void PrepareSearch();
  // Time since the store last confirmed this copy, or since the start.
  base::Duration copy_age() const;
  void SetStoreContact(base::MonotonicTime contact);
  void ScheduleAgeCheck(base::Duration delay);
  void CheckAge();
  // Starts a search, unless there is no copy yet that could be too old.
  void StartSearch(const std::string& reason);
  void DidTickSearch();
  // For one of the first daemons of the failure domain: reads the store once
  // those before it have had the time to.
  void TakeTurnAtStore();
  // For all others: reads the store if no peer has helped, one daemon after the
  // other.
  void TurnToStoreLast();
  void DidFind(const std::string& peer);
  // Goes on from that source, with the pending call or the next one.
  void Adopt(const std::string& source);
  // Whether a read of the store is in progress.
  bool is_asking_store() const;
  // Whether a switch to a peer has just begun.
  bool is_switching_to_peer() const;
  // Reads the store if a stale read shows that it is reachable.
  void CheckStore();
  // Probes the peers that are preferred to the current source.
  void ProbePreferredPeers();
  // Starts the pending watch if it waits for probes and one has succeeded or
  // all have failed.
  void ResumeAfterProbes();
  void Probe(const std::string& peer, std::function<void(ProbeResult)> done);
  std::vector<SourceSearch::Candidate> Candidates() const;
  std::string Describe(const std::string& source) const;

  const UpdateReaderSettings settings_;
  const base::Clock clock_;
  const base::TaskRunner control_;
  // A stale read that no watch continues; empty if the store offers none.
  const std::function<void(std::string, std::string, ListCallback)>
      check_store_;
  const store::EventSource store_;
  // Learns from peers when the store was up.
  const std::shared_ptr<store::OutageDetector> outages_;
  const FetchFromPeer fetch_from_peer_;
  // Called when the store turns out to be in a later era than before.
  const std::function<void()> did_restore_store_;
  const base::Log log_;
  const base::MonotonicTime start_time_;
  SourceSelector selector_;
  // Created by the first call of the follower.
  std::shared_ptr<SourceSearch> search_;
  Call call_;
  // Counts the attempts to answer calls. Invariant: only the results of the
  // latest one are used.
  std::uint64_t attempt_ = 0;
  // Whether the pending call waits for the search.
  bool is_parked_ = false;
  std::optional<Adoption> adoption_;
  bool is_checking_store_ = false;
  // The store is not checked again before this time.
  base::MonotonicTime next_store_check_;
  // The preferred peers whose probes are pending.
  std::set<std::string> probing_;
  // Whether the pending watch waits for them.
  bool is_awaiting_probes_ = false;
  // The callback of the pending watch of the store; reset when the watch ends
  // for the first time.
  std::shared_ptr<WatchCallback> pending_watch_;
  // Valid while `pending_watch_` is set.
  std::int64_t pending_cursor_ = 0;
  // Counts the checks of pending watches, so that each asks the next reader.
  std::size_t watch_checks_ = 0;
  // The store is not watched again before this time.
  base::MonotonicTime watch_pause_until_;
  // The source of the last list or watch; kStaleStore after a stale read.
  std::string current_source_;
  // The source of the list in progress.
  std::string list_source_;
  // The position of the first page of the list of the store in progress, and
  // when it was read. All changes up to it are known once the last page has
  // been read.
  store::Position list_position_;
  base::MonotonicTime list_contact_;
  // The source for the next call, if a switch or a search has chosen one.
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
  // When the store last confirmed this copy, directly or through peers; absent
  // until the copy is complete.
  std::optional<base::MonotonicTime> last_store_contact_;
};

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_UPDATE_READER_H_
