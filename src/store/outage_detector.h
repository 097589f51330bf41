// Tells an outage of the store from the loss of a connection to it.
//
// What a call shows:
//   - An answer, also a rejection because of the call rate: the store was up
//     when it gave it. It says nothing of the answers to other calls, which
//     may be lost with their connections.
//   - No answer on a connection that has carried other calls, or that waited
//     for a change: nothing. An open connection may go silent while new ones
//     work.
//   - No answer to a call on a new connection, or the store's statement that it
//     is unavailable: the store has been so since its last answer. The calls
//     that begin after a failure, and before the next answer, have new
//     connections, so that such a call shows it while it is still pending.
//
// Peers that have read the store later than this daemon tell when it was up.
//
// After an outage entries that expired in it are written again by their owners,
// which takes a moment. A removal that the store made while it was up is one
// that somebody wanted. So only an outage, and only one that was long enough
// for entries to expire, is reported.
//
// Runs on the control thread.

#ifndef MEDLARSPREAD_STORE_OUTAGE_DETECTOR_H_
#define MEDLARSPREAD_STORE_OUTAGE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/result.h"
#include "src/store/event_source.h"

namespace medlarspread::store {

struct OutageDetectorSettings {
  // No entries expire in an outage shorter than this.
  base::Duration min_outage = base::Milliseconds(2'000);
  // A call that the store answers this late began while it was unavailable. On
  // a slow day it answers within 240 ms.
  base::Duration slow_answer = base::Milliseconds(300);
};

class OutageDetector : public std::enable_shared_from_this<OutageDetector> {
 public:
  OutageDetector(OutageDetectorSettings settings,
                 base::Clock clock,
                 base::Log log);

  // Returns the source with all of its calls observed. The outcome of a call is
  // taken into account before its callback runs.
  EventSource Observe(EventSource source);
  // The store was up at that time, as a peer knows from an answer.
  void DidSeeUp(base::MonotonicTime time);

  // When this daemon noticed the end of the last outage that was long enough
  // for entries to expire; absent if there was none.
  std::optional<base::MonotonicTime> last_outage_end() const {
    return last_outage_end_;
  }

 private:
  // A time without any answer, between two times at which the store was up.
  struct Gap {
    base::MonotonicTime begin;
    base::MonotonicTime end;
    // When this daemon noticed its end.
    base::MonotonicTime noticed;
  };

  struct PendingCall {
    base::MonotonicTime began;
    // How long the store was asked to wait before it answers.
    base::Duration wait{};
  };

  // Returns the call's number.
  std::uint64_t DidBeginCall(const PendingCall& call);
  // The call was answered, or failed with `error` if that is set.
  void DidEndCall(std::uint64_t number,
                  const PendingCall& call,
                  const base::Error* error);
  // Whether the call should have been answered by then.
  bool is_overdue(const PendingCall& call, base::MonotonicTime time) const;
  // The store was unavailable at that time, which may be before its last
  // answer: a call may fail after others have been answered again.
  void DidSeeUnavailable(base::MonotonicTime time, const std::string& reason);
  void DidEndOutage(const Gap& gap);

  const OutageDetectorSettings settings_;
  const base::Clock clock_;
  const base::Log log_;
  // The number of calls so far.
  std::uint64_t calls_ = 0;
  // The calls that began after a failure and before the next answer, by number.
  std::map<std::uint64_t, PendingCall> pending_calls_;
  // Whether a call has failed since the last answer.
  bool has_failed_ = false;
  // The latest time at which the store is known to have been up.
  base::MonotonicTime last_up_;
  // The latest time at which it is known to have been unavailable, until it is
  // known to be up again.
  std::optional<base::MonotonicTime> unavailable_at_;
  // The last gap that was long enough for entries to expire, but in which the
  // store is not known to have been unavailable.
  std::optional<Gap> last_gap_;
  std::optional<base::MonotonicTime> last_outage_end_;
};

}  // namespace medlarspread::store

#endif  // MEDLARSPREAD_STORE_OUTAGE_DETECTOR_H_
