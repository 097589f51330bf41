// The waits on the way of one change, from the store's acknowledgement to the
// last daemon that is in touch, and the longest that they can add up to.
//
// Each sum is for one VM or the way of one VM to the store in trouble at a
// time; a second trouble on the same way adds its own waits.

#ifndef MEDLARSPREAD_RELAY_PROPAGATION_DELAYS_H_
#define MEDLARSPREAD_RELAY_PROPAGATION_DELAYS_H_

#include "src/base/clock.h"

namespace medlarspread::relay {

// A change has to be in force at every daemon so long after the store took it.
constexpr base::Duration kPropagationBound = base::Milliseconds(3'000);

// A reader's rest before it watches the store again after changes. They come in
// bursts, and each watch that they end is a call that is paid for.
constexpr base::Duration kWatchPause = base::Milliseconds(700);
// How long a request for news waits. It bounds how late a daemon notices that
// the one it asks has frozen or lost the store, together with its own timeout.
constexpr base::Duration kLongPollWait = base::Milliseconds(700);
// A peer in the same failure domain answers within milliseconds of its wait.
constexpr base::Duration kPeerTimeoutMargin = base::Milliseconds(500);
// News older than this come from a daemon that has lost the store. A reader
// hears from the store every second, and who follows it asks it at the latest
// after kLongPollWait.
constexpr base::Duration kMaxUpdateAge = base::Milliseconds(2'300);
// A change of place: the question how old the news are there, and the changes
// since or everything, from the farthest region.
constexpr base::Duration kSourceSwitchDelay = base::Milliseconds(100);

// The reader is frozen or gone: the next in rank finds out and reads the store,
// and may then be in its rest.
constexpr base::Duration kMaxDelayReaderDown =
    kLongPollWait + kPeerTimeoutMargin + kSourceSwitchDelay + kWatchPause;
// The reader has lost the store, alone: its news grow old, and a request for
// them is answered when they do (UpdateServer).
constexpr base::Duration kMaxDelayReaderCutOff =
    kMaxUpdateAge + kSourceSwitchDelay;

// A fifth of the bound is left for processor time and slow links.
constexpr base::Duration kPropagationBudget = kPropagationBound * 4 / 5;
static_assert(kWatchPause <= kPropagationBudget);
static_assert(kMaxDelayReaderDown <= kPropagationBudget);
static_assert(kMaxDelayReaderCutOff <= kPropagationBudget);

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_PROPAGATION_DELAYS_H_
