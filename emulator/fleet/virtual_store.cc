// Entries, followers and notification delays of the virtual store.

#include "emulator/fleet/virtual_store.h"

#include <utility>

namespace medlarspread::emulator {

namespace {

constexpr base::Duration kCallDelay = base::Milliseconds(5);
constexpr base::Duration kCallTimeout = base::Milliseconds(1'000);
// The store reader waits 0.7 s between two watches; the other daemons get the
// changes from it.
constexpr base::Duration kNotificationDelay = base::Milliseconds(900);
// Time from a daemon's start until it has read all entries.
constexpr base::Duration kInitialReadDelay = base::Milliseconds(200);

}  // namespace

void VirtualStore::Put(const std::string& key,
                       const std::string& value,
                       const std::function<void(base::Status)>& done) {
  ++writes_;
  if (is_unavailable_) {
    (void)runner_.After(kCallTimeout, [done] {
      done(base::MakeError(base::ErrorCode::kTimeout, base::Step::kWriteStore,
                           "store", "no answer"));
    });
    return;
  }
  rows_[key] = value;
  (void)runner_.After(kCallDelay, [done] { done(base::Done{}); });
  (void)runner_.After(kNotificationDelay, [this, key, value] {
    if (is_unavailable_) {
      return;
    }
    for (const auto& [daemon, did_change] : followers_) {
      did_change(key, value);
    }
  });
}

void VirtualStore::SetUnavailable(bool is_unavailable) {
  is_unavailable_ = is_unavailable;
  if (is_unavailable) {
    return;
  }
  for (const auto& [daemon, did_change] : followers_) {
    (void)runner_.After(kNotificationDelay,
                        [this, daemon = daemon] { SendAll(daemon); });
  }
}

void VirtualStore::Follow(const std::string& daemon, DidChange did_change) {
  followers_[daemon] = std::move(did_change);
  (void)runner_.After(kInitialReadDelay, [this, daemon] { SendAll(daemon); });
}

void VirtualStore::SendAll(const std::string& daemon) {
  const auto follower = followers_.find(daemon);
  if (is_unavailable_ || follower == followers_.end()) {
    return;
  }
  for (const auto& [key, value] : rows_) {
    follower->second(key, value);
  }
}

}  // namespace medlarspread::emulator
