// A map of times behind membership::DrainingNews.

#include "src/membership/draining_news.h"

#include <algorithm>
#include <chrono>

namespace medlarspread::membership {

namespace {

// More than all hops take; less than an upstream is held out after it drained
// (UpstreamSettings::draining_hold).
constexpr base::Duration kSameNews = base::Milliseconds(5'000);

}  // namespace

DrainingNews::DrainingNews(base::Duration lifetime, std::size_t max_passed_on)
    : lifetime_(lifetime), max_passed_on_(max_passed_on) {}

bool DrainingNews::Add(const std::string& upstream,
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
  // NOTE: ages don't count the time on the way, so the same news arrives with
  // slightly later times. News that is later by more than that is another one:
  // the upstream came back and drains again.
  if (heard_at - row->second < kSameNews) {
    return false;
  }
  row->second = heard_at;
  return true;
}

std::map<std::string, std::int32_t> DrainingNews::Current(
    base::MonotonicTime now) {
  // Kept for longer than it is passed on: another daemon may have it a little
  // younger, and what that one still passes on must not be taken for new.
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
