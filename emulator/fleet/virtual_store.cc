// Entries, followers and notification delays of the virtual store.

#include "emulator/fleet/virtual_store.h"

#include <utility>

namespace medlarspread::emulator {

namespace {

constexpr base::Duration kCall = base::Milliseconds(5);
constexpr base::Duration kCallTimeout = base::Milliseconds(1'000);
// The store reader waits 0.7 s between two watches; the other daemons get the
// changes from it.
constexpr base::Duration kNews = base::Milliseconds(900);
// Time from a daemon's start until it has read all entries.
constexpr base::Duration kFirstReading = base::Milliseconds(200);

}  // namespace

void VirtualStore::Put(const std::string& key,
                       const std::string& value,
                       const std::function<void(base::Status)>& done) {
  ++writes_;
  if (is_away_) {
    (void)runner_.After(kCallTimeout, [done] {
      done(base::MakeError(base::ErrorCode::kTimeout, base::Step::kWriteStore,
                           "store", "no answer"));
    });
    return;
  }
  rows_[key] = value;
  (void)runner_.After(kCall, [done] { done(base::Done{}); });
  (void)runner_.After(kNews, [this, key, value] {
    if (is_away_) {
      return;
    }
    for (const auto& [daemon, did_change] : followers_) {
      did_change(key, value);
    }
  });
}

void VirtualStore::SetAway(bool is_away) {
  is_away_ = is_away;
  if (is_away) {
    return;
  }
  for (const auto& [daemon, did_change] : followers_) {
    (void)runner_.After(kNews, [this, daemon = daemon] { TellAll(daemon); });
  }
}

void VirtualStore::Follow(const std::string& daemon, DidChange did_change) {
  followers_[daemon] = std::move(did_change);
  (void)runner_.After(kFirstReading, [this, daemon] { TellAll(daemon); });
}

void VirtualStore::TellAll(const std::string& daemon) {
  const auto follower = followers_.find(daemon);
  if (is_away_ || follower == followers_.end()) {
    return;
  }
  for (const auto& [key, value] : rows_) {
    follower->second(key, value);
  }
}

}  // namespace medlarspread::emulator
