// The delays that add up while a change propagates, from the store's
// acknowledgement to the last daemon that can reach the store.
//
// The sum does not depend on how many daemons are down, nor on the order in
// which they fail. Each daemon knows the age of its copy of the store: the copy
// contains all changes acknowledged before that. At kMaxUpdateAge the daemon
// starts to look for a fresher source (SourceSearch), and at kMaxCopyAge it
// reads the store, whatever else it is waiting for.
//
// The removal of a leaf propagates like any other change, unless the store was
// unavailable (store::OutageDetector).

#ifndef MEDLARSPREAD_RELAY_PROPAGATION_DELAYS_H_
#define MEDLARSPREAD_RELAY_PROPAGATION_DELAYS_H_

#include "src/base/clock.h"
#include "src/store/event_source.h"
#include "src/store/follower.h"

namespace medlarspread::relay {

// Every daemon has to apply a change within this time after the store
// acknowledged it.
constexpr base::Duration kPropagationBound = base::Milliseconds(3'000);

// How long a store reader pauses after changes before it watches the store
// again. Changes come in bursts, and each watch that they end is a call that is
// paid for.
constexpr base::Duration kWatchPause = base::Milliseconds(700);
// A lease renewal that is answered while a watch is pending shows that the
// watch has missed nothing. Such a renewal is sent this long after the watch.
constexpr base::Duration kRenewalAfterWatch = base::Milliseconds(50);
// How much later than another reader a store reader may get the answer to its
// watch.
constexpr base::Duration kWatchAnswerSpread = base::Milliseconds(100);
// How often a store reader renews its lease.
constexpr base::Duration kStoreContactInterval = base::Milliseconds(1'000);
// What a store reader's renewal may take, and a daemon's task queue delay it.
constexpr base::Duration kStoreContactMargin = base::Milliseconds(400);
// How long a request for updates waits for changes at the peer (long polling).
// The peer also answers whenever its own copy is confirmed to be current, so
// the copies of its followers are hardly older than its own.
constexpr base::Duration kLongPollWait = base::Milliseconds(700);
// What a reply may take beyond the peer's own wait. A peer in the same failure
// domain replies within milliseconds.
constexpr base::Duration kPeerTimeoutMargin = base::Milliseconds(500);
// Updates older than this come from a daemon that has lost the store.
constexpr base::Duration kMaxUpdateAge =
    kStoreContactInterval + kStoreContactMargin;
// The daemons that may read the store without having asked all others take
// turns, so that the later ones find the first one's copy.
constexpr base::Duration kStoreTurnInterval = base::Milliseconds(150);
// How often a daemon without a fresh source asks the same peer again.
constexpr base::Duration kProbeInterval = base::Milliseconds(150);
// Switching to another source: the request for the changes since the last known
// position, or for all keys, from the farthest region.
constexpr base::Duration kSourceSwitchDelay = base::Milliseconds(100);
// A copy of this age is completed from the store itself.
constexpr base::Duration kMaxCopyAge = base::Milliseconds(2'000);
// The daemons of a failure domain that have no other source left turn to the
// store at different moments within this time.
constexpr base::Duration kStoreSpread = base::Milliseconds(100);
// Precision of the timer that checks the age of the copy.
constexpr base::Duration kSearchTick = base::Milliseconds(25);
// How long a daemon whose peers answer, but have lost the store, waits for a
// first sign that it can reach the store itself.
constexpr base::Duration kStoreCheckDelay = base::Milliseconds(50);

// The longest time from an acknowledgement until the change is in force at a
// daemon that can reach the store, with any set of other daemons down, frozen
// or cut off. The last switch to a peer may still be in progress when the copy
// reaches its greatest age, and is then waited for.
constexpr base::Duration kMaxPropagationDelay =
    kMaxCopyAge + kStoreSpread + kSourceSwitchDelay + kSearchTick +
    kStoreCheckDelay + kSourceSwitchDelay;

// The same at a store reader whose open connections to the store have gone
// silent, and at its followers: the next renewal, its timeout, and the first
// retry, which uses a new connection.
constexpr base::Duration kSilentConnectionDelay =
    kStoreContactInterval + store::kCallTimeout + store::kMaxFirstBackoff +
    kSourceSwitchDelay + kSourceSwitchDelay;

// The same at a store reader, and at its followers, if the answer to its watch
// was lost and another reader has got it: that one's pause, the next check of
// the watch, the first retry, and the way to the followers.
constexpr base::Duration kLostAnswerDelay =
    kWatchPause + kStoreContactInterval + kSourceSwitchDelay +
    kWatchAnswerSpread + store::kMaxFirstBackoff + kSourceSwitchDelay +
    kSourceSwitchDelay;

// A fifth of the bound is reserved for processor time and slow links.
constexpr base::Duration kPropagationBudget = kPropagationBound * 4 / 5;
static_assert(kMaxPropagationDelay <= kPropagationBudget);
static_assert(kSilentConnectionDelay <= kPropagationBudget);
static_assert(kLostAnswerDelay <= kPropagationBudget);

// The bounds of operators hold again this long after the store has returned.
constexpr base::Duration kStoreStabilization = base::Milliseconds(4'000);
// Until when removals are delayed after the return: the call that was lost with
// the outage, the pause before the next one, and the delay itself.
constexpr base::Duration kDelayedRemovalBound =
    store::kCallTimeout + store::kMaxBackoff +
    store::FollowerSettings{}.removal_delay;
static_assert(kDelayedRemovalBound <= kStoreStabilization + kPropagationBudget);
// Each peer has had the time to answer by then.
static_assert(kMaxUpdateAge + 2 * kProbeInterval + kSourceSwitchDelay <=
              kMaxCopyAge);
// A copy that is not confirmed in a pause is still fresh after it.
static_assert(kWatchPause + kRenewalAfterWatch <= kStoreContactInterval);
// The second and third daemon of a failure domain have read the store, and the
// others have asked them again, before the latter turn to the store.
static_assert(kMaxUpdateAge + 2 * kStoreTurnInterval + kSourceSwitchDelay +
                  kProbeInterval <=
              kMaxCopyAge);

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_PROPAGATION_DELAYS_H_
