// Backlog accounting and the adaptive limit on the expected wait.

#include "src/admission/backlog_gate.h"

#include <algorithm>
#include <chrono>

namespace medlarspread::admission {

namespace {

// Largest permitted wait as a multiple of the time that the target leaves for
// queueing. A daemon with several times its share of the callers can still use
// the full capacity of the leaves with it. After reductions, the limit still
// uses the full capacity if all daemons have equal load.
constexpr double kMaxWaitFactor = 4.0;
// Failures come in bursts, so the limit is reduced at most once per typical
// request duration.
constexpr double kDecreaseFactor = 0.75;
constexpr base::Duration kMinDecreaseInterval = base::Milliseconds(50);
// The limit recovers fully within a few seconds.
constexpr double kIncreasePerSecond = 0.5;
// Part of the permitted wait that each priority level leaves to the more urgent
// ones, and the smallest part that any level keeps.
constexpr double kReservedPerPriority = 0.15;
constexpr double kMinPriorityPart = 0.5;

}  // namespace

BacklogGate::BacklogGate() : wait_factor_(kMaxWaitFactor) {}

base::Duration BacklogGate::ExpectedWait(double slots,
                                         base::MonotonicTime now) {
  DropPastTarget(now);
  return base::Duration(static_cast<std::int64_t>(
      static_cast<double>(backlog_.count()) / std::max(slots, 0.01)));
}

bool BacklogGate::MayAdmit(const ExpectedWork& work,
                           double slots,
                           base::MonotonicTime now) {
  if (work.service_time == base::Duration{} || rows_.empty()) {
    return true;
  }
  RaiseLimit(now);
  return ExpectedWait(slots, now) <= MaxWait(work);
}

base::Duration BacklogGate::MaxWait(const ExpectedWork& work) const {
  const double part =
      std::max(kMinPriorityPart, 1.0 - kReservedPerPriority * work.priority) *
      wait_factor_;
  const auto time =
      static_cast<double>((work.time_to_target - work.service_time).count());
  return base::Duration(static_cast<std::int64_t>(time * part));
}

void BacklogGate::DidOverload(const ExpectedWork& work,
                              double slots,
                              base::MonotonicTime now) {
  RaiseLimit(now);
  const bool is_loaded =
      ExpectedWait(slots, now) >= work.time_to_target - work.service_time;
  if (!is_loaded || now - last_reduced_ < kMinDecreaseInterval) {
    return;
  }
  last_reduced_ = now;
  wait_factor_ *= kDecreaseFactor;
}

void BacklogGate::DidAdmit(std::uint64_t id,
                           const ExpectedWork& work,
                           base::MonotonicTime now) {
  rows_[id] = {now + work.time_to_target, work.service_time};
  backlog_ += work.service_time;
}

void BacklogGate::DidFinish(std::uint64_t id) {
  const auto row = rows_.find(id);
  if (row != rows_.end()) {
    backlog_ -= row->second.service_time;
    rows_.erase(row);
  }
}

void BacklogGate::RaiseLimit(base::MonotonicTime now) {
  const std::chrono::duration<double> seconds = now - last_raised_;
  wait_factor_ = std::min(kMaxWaitFactor,
                          wait_factor_ + kIncreasePerSecond * seconds.count());
  last_raised_ = now;
}

void BacklogGate::DropPastTarget(base::MonotonicTime now) {
  std::erase_if(rows_, [&](const auto& row) {
    if (row.second.due > now) {
      return false;
    }
    backlog_ -= row.second.service_time;
    return true;
  });
}

}  // namespace medlarspread::admission
