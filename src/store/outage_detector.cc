// Draws the conclusions that outage_detector.h lists.

#include "src/store/outage_detector.h"

#include <algorithm>
#include <string>
#include <utility>

namespace medlarspread::store {

namespace {

using base::ErrorCode;
using base::MonotonicTime;
using base::Step;

// Whether the error shows that the store is unavailable; see EventSource.
bool IsUnavailable(const base::Error& error) {
  return error.code == ErrorCode::kUnreachable ||
         error.code == ErrorCode::kUnavailable;
}

// Whether the error says nothing of the store.
bool IsUnknown(const base::Error& error) {
  return error.code == ErrorCode::kTimeout ||
         error.code == ErrorCode::kConnectionLost;
}

template <typename Value>
const base::Error* ErrorOf(const base::Result<Value>& result) {
  return result.is_ok() ? nullptr : &result.error();
}

std::string InMilliseconds(base::Duration duration) {
  return std::to_string(duration.count() / 1000) + " ms";
}

}  // namespace

OutageDetector::OutageDetector(OutageDetectorSettings settings,
                               base::Clock clock,
                               base::Log log)
    : settings_(settings),
      clock_(std::move(clock)),
      log_(std::move(log)),
      last_up_(clock_.Now()) {}

EventSource OutageDetector::Observe(EventSource source) {
  // Replaces the last argument of the call, its callback.
  const auto observe = [self = shared_from_this()](base::Duration wait,
                                                   auto done) {
    const PendingCall call{self->clock_.Now(), wait};
    return [self, number = self->DidBeginCall(call), call,
            done = std::move(done)](auto result) {
      self->DidEndCall(number, call, ErrorOf(result));
      done(std::move(result));
    };
  };
  const auto observe_list = [observe](auto list) {
    return [observe, list = std::move(list)](std::string prefix,
                                             std::string after, auto done) {
      list(std::move(prefix), std::move(after),
           observe(base::Duration{}, std::move(done)));
    };
  };
  source.list = observe_list(std::move(source.list));
  if (source.list_stale) {
    source.list_stale = observe_list(std::move(source.list_stale));
  }
  source.watch = [observe, watch = std::move(source.watch)](
                     std::string prefix, std::int64_t cursor,
                     base::Duration wait, auto done) {
    watch(std::move(prefix), cursor, wait, observe(wait, std::move(done)));
  };
  source.open_lease = [observe, open = std::move(source.open_lease)](
                          base::Duration time_to_live, auto done) {
    open(time_to_live, observe(base::Duration{}, std::move(done)));
  };
  source.keep_lease = [observe, keep = std::move(source.keep_lease)](
                          std::int64_t lease, auto done) {
    keep(lease, observe(base::Duration{}, std::move(done)));
  };
  source.put = [observe, put = std::move(source.put)](
                   std::string key, std::string value, std::int64_t lease,
                   auto done) {
    put(std::move(key), std::move(value), lease,
        observe(base::Duration{}, std::move(done)));
  };
  return source;
}

std::uint64_t OutageDetector::DidBeginCall(const PendingCall& call) {
  ++calls_;
  if (has_failed_) {
    pending_calls_[calls_] = call;
  }
  return calls_;
}

void OutageDetector::DidEndCall(std::uint64_t number,
                                const PendingCall& call,
                                const base::Error* error) {
  pending_calls_.erase(number);
  const MonotonicTime now = clock_.Now();
  if (error != nullptr && IsUnknown(*error)) {
    has_failed_ = true;
    return;
  }
  if (error != nullptr && IsUnavailable(*error)) {
    has_failed_ = true;
    // A call without an answer shows it for the time at which it began.
    const bool has_answer = error->code == ErrorCode::kUnavailable;
    DidSeeUnavailable(has_answer ? now : call.began, error->ToString());
    return;
  }
  if (is_overdue(call, now)) {
    DidSeeUnavailable(call.began,
                      "an answer took " + InMilliseconds(now - call.began));
  }
  DidSeeUp(now);
}

bool OutageDetector::is_overdue(const PendingCall& call,
                                MonotonicTime time) const {
  // A watch that waits longer may be answered late for lack of changes.
  return call.wait < settings_.slow_answer &&
         time - call.began >= call.wait + settings_.slow_answer;
}

void OutageDetector::DidSeeUnavailable(MonotonicTime time,
                                       const std::string& reason) {
  if (time <= last_up_) {
    if (last_gap_ && time > last_gap_->begin && time < last_gap_->end) {
      DidEndOutage(*std::exchange(last_gap_, std::nullopt));
    }
    return;
  }
  if (!unavailable_at_) {
    log_.Write({.level = base::LogLevel::kWarning,
                .step = Step::kWatchStore,
                .message = "the store is unavailable; its last answer is " +
                           InMilliseconds(clock_.Now() - last_up_) +
                           " old: " + reason});
  }
  unavailable_at_ = std::max(unavailable_at_.value_or(time), time);
}

void OutageDetector::DidSeeUp(MonotonicTime time) {
  if (time <= last_up_) {
    return;
  }
  for (const auto& [number, call] : pending_calls_) {
    if (is_overdue(call, time)) {
      DidSeeUnavailable(call.began, "a call on a new connection is pending");
    }
  }
  has_failed_ = false;
  const Gap gap{std::exchange(last_up_, time), time, clock_.Now()};
  const bool can_have_expired = gap.end - gap.begin >= settings_.min_outage;
  const bool was_unavailable = unavailable_at_ && *unavailable_at_ < time;
  if (was_unavailable) {
    unavailable_at_.reset();
  }
  if (can_have_expired && was_unavailable) {
    DidEndOutage(gap);
  } else if (can_have_expired) {
    last_gap_ = gap;
  }
}

void OutageDetector::DidEndOutage(const Gap& gap) {
  last_outage_end_ = gap.noticed;
  log_.Write({.level = base::LogLevel::kInfo,
              .step = Step::kWatchStore,
              .message = "the store was unavailable and answers again after " +
                         InMilliseconds(gap.end - gap.begin) +
                         "; entries may have expired"});
}

}  // namespace medlarspread::store
