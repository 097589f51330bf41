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
constexpr double kWidest = 4.0;
// Failures come in bursts, so the limit is reduced at most once per typical
// request duration.
constexpr double kNarrowing = 0.75;
constexpr base::Duration kNarrowingPause = base::Milliseconds(50);
// The limit recovers fully within a few seconds.
constexpr double kWideningPerSecond = 0.5;
// Part of the permitted wait that each priority level leaves to the more urgent
// ones, and the smallest part that any level keeps.
constexpr double kLeftByRank = 0.15;
constexpr double kLeastPart = 0.5;

}  // namespace

BacklogGate::BacklogGate() : wait_part_(kWidest) {}

base::Duration BacklogGate::WaitAt(double slots, base::MonotonicTime now) {
  DropPast(now);
  return base::Duration(static_cast<std::int64_t>(
      static_cast<double>(ahead_.count()) / std::max(slots, 0.01)));
}

bool BacklogGate::MayEnter(const ExpectedWork& work,
                           double slots,
                           base::MonotonicTime now) {
  if (work.at_leaf == base::Duration{} || rows_.empty()) {
    return true;
  }
  Widen(now);
  return WaitAt(slots, now) <= BoundOf(work);
}

base::Duration BacklogGate::BoundOf(const ExpectedWork& work) const {
  const double part =
      std::max(kLeastPart, 1.0 - kLeftByRank * work.priority) * wait_part_;
  const auto time =
      static_cast<double>((work.time_to_target - work.at_leaf).count());
  return base::Duration(static_cast<std::int64_t>(time * part));
}

void BacklogGate::DidOverload(const ExpectedWork& work,
                              double slots,
                              base::MonotonicTime now) {
  Widen(now);
  const bool is_loaded =
      WaitAt(slots, now) >= work.time_to_target - work.at_leaf;
  if (!is_loaded || now - narrowed_ < kNarrowingPause) {
    return;
  }
  narrowed_ = now;
  wait_part_ *= kNarrowing;
}

void BacklogGate::DidEnter(std::uint64_t id,
                           const ExpectedWork& work,
                           base::MonotonicTime now) {
  rows_[id] = {now + work.time_to_target, work.at_leaf};
  ahead_ += work.at_leaf;
}

void BacklogGate::DidLeave(std::uint64_t id) {
  const auto row = rows_.find(id);
  if (row != rows_.end()) {
    ahead_ -= row->second.at_leaf;
    rows_.erase(row);
  }
}

void BacklogGate::Widen(base::MonotonicTime now) {
  const std::chrono::duration<double> seconds = now - widened_;
  wait_part_ =
      std::min(kWidest, wait_part_ + kWideningPerSecond * seconds.count());
  widened_ = now;
}

void BacklogGate::DropPast(base::MonotonicTime now) {
  std::erase_if(rows_, [&](const auto& row) {
    if (row.second.due > now) {
      return false;
    }
    ahead_ -= row.second.at_leaf;
    return true;
  });
}

}  // namespace medlarspread::admission
