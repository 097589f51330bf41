// Implementation of membership::DrainingNotices.

#include "src/membership/draining_notices.h"

#include <algorithm>
#include <chrono>

namespace medlarspread::membership {

namespace {

// Two notices closer together than this are copies of one. It exceeds the time
// that all hops take, and is shorter than the time for which a drained upstream
// gets no requests (UpstreamSettings::draining_hold).
constexpr base::Duration kDuplicateWindow = base::Milliseconds(5'000);

}  // namespace

DrainingNotices::DrainingNotices(base::Duration lifetime,
                                 std::size_t max_passed_on)
    : lifetime_(lifetime), max_passed_on_(max_passed_on) {}

bool DrainingNotices::Add(const std::string& upstream,
                          base::Duration age,
                          base::MonotonicTime now) {
  if (upstream.empty() || age >= lifetime_ || age < base::Duration(0)) {
    return false;
  }
  const base::MonotonicTime heard_at = now - age;
  const auto [row, is_new] = heard_at_.try_emplace(upstream, heard_at);
  if (is_new) {
    return true;
  }
  // NOTE: ages don't include the time in transit, so copies of a notice arrive
  // with slightly later times. A larger difference means that the upstream came
  // back and is draining again.
  if (heard_at - row->second < kDuplicateWindow) {
    return false;
  }
  row->second = heard_at;
  return true;
}

std::map<std::string, std::int32_t> DrainingNotices::Current(
    base::MonotonicTime now) {
  // Notices are kept for twice the time that they are passed on: another daemon
  // may hold a slightly younger copy and still pass it on, which must not count
  // as new here.
  std::erase_if(heard_at_, [&](const auto& row) {
    return now - row.second >= 2 * lifetime_;
  });
  std::map<std::string, std::int32_t> current;
  for (const auto& [upstream, heard_at] : heard_at_) {
    if (current.size() == max_passed_on_) {
      break;
    }
    if (now - heard_at >= lifetime_) {
      continue;
    }
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - heard_at);
    current[upstream] = static_cast<std::int32_t>(age.count());
  }
  return current;
}

}  // namespace medlarspread::membership
