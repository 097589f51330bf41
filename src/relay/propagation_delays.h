// The delays that add up while a change propagates, from the store's
// acknowledgement to the last daemon that can reach the store or a peer.
//
// Each sum assumes a single fault: one daemon, or one daemon's connection to
// the store. A second fault on the same path adds its own delays.

#ifndef MEDLARSPREAD_RELAY_PROPAGATION_DELAYS_H_
#define MEDLARSPREAD_RELAY_PROPAGATION_DELAYS_H_

#include "src/base/clock.h"

namespace medlarspread::relay {

// Every daemon has to apply a change within this time after the store
// acknowledged it.
constexpr base::Duration kPropagationBound = base::Milliseconds(3'000);

// How long a store reader pauses after changes before it watches the store
// again. Changes come in bursts, and each watch that they end is a call that is
// paid for.
constexpr base::Duration kWatchPause = base::Milliseconds(700);
// How long a request for updates waits for changes at the peer (long polling).
// Together with kPeerTimeoutMargin it bounds the time until a follower notices
// that its peer has frozen or has lost the store.
constexpr base::Duration kLongPollWait = base::Milliseconds(700);
// What a reply may take beyond the peer's own wait. A peer in the same failure
// domain replies within milliseconds.
constexpr base::Duration kPeerTimeoutMargin = base::Milliseconds(500);
// Updates older than this come from a daemon that has lost the store: a store
// reader hears from the store every second, and its followers ask it at least
// every kLongPollWait.
constexpr base::Duration kMaxUpdateAge = base::Milliseconds(2'300);
// Switching to another source: the request for its freshness, and then for the
// changes since the last known position or for all keys, from the farthest
// region.
constexpr base::Duration kSourceSwitchDelay = base::Milliseconds(100);

// The store reader is frozen or down: the next in rank has to notice, and may
// then be in its own pause between watches.
constexpr base::Duration kMaxDelayReaderDown =
    kLongPollWait + kPeerTimeoutMargin + kSourceSwitchDelay + kWatchPause;
// Only the store reader has lost the store: its updates become stale, and a
// pending request for them is answered at that moment (UpdateServer).
constexpr base::Duration kMaxDelayReaderCutOff =
    kMaxUpdateAge + kSourceSwitchDelay;

// A fifth of the bound is reserved for processor time and slow links.
constexpr base::Duration kPropagationBudget = kPropagationBound * 4 / 5;
static_assert(kWatchPause <= kPropagationBudget);
static_assert(kMaxDelayReaderDown <= kPropagationBudget);
static_assert(kMaxDelayReaderCutOff <= kPropagationBudget);

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_PROPAGATION_DELAYS_H_
