// A value whose changes become visible to readers with a delay, like the
// platform's VM list and the leaves' health pages.

#ifndef MEDLARSPREAD_EMULATOR_SUPPORT_LAGGED_H_
#define MEDLARSPREAD_EMULATOR_SUPPORT_LAGGED_H_

#include <deque>
#include <utility>

#include "src/base/clock.h"

namespace medlarspread::emulator {

template <typename T>
class Lagged {
 public:
  explicit Lagged(T initial) : visible_(std::move(initial)) {}

  void Set(T value, base::MonotonicTime visible_at) {
    pending_.push_back({visible_at, std::move(value)});
  }

  // Returns the value visible at `now`.
  const T& Read(base::MonotonicTime now) {
    while (!pending_.empty() && pending_.front().visible_at <= now) {
      visible_ = std::move(pending_.front().value);
      pending_.pop_front();
    }
    return visible_;
  }

  // Returns the last value set, visible or not.
  const T& latest() const {
    return pending_.empty() ? visible_ : pending_.back().value;
  }

 private:
  struct Change {
    base::MonotonicTime visible_at;
    T value;
  };
  T visible_;
  // Changes that aren't visible yet, in the order in which they were made.
  std::deque<Change> pending_;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_SUPPORT_LAGGED_H_
