// Implements the fake service's calls and faults.

#include "tests/targets/fake_store.h"

#include <utility>

namespace medlarspread::targets {

namespace {

using base::ErrorCode;
using base::Step;
using store::Entry;

constexpr base::Duration kHalfRoundTrip = base::Milliseconds(1);

base::Error Fail(ErrorCode code, Step step) {
  return base::MakeError(code, step, "store", "by the test");
}

}  // namespace

store::Store FakeStore::store() {
  store::Store store;
  store.read = [this](const std::string& key, base::Duration timeout,
                      const store::Store::ReadCallback& callback) {
    Read(key, timeout, callback);
  };
  store.compare_and_swap =
      [this](const std::string& key, const std::string& value,
             std::int64_t expected_version, base::Duration timeout,
             const store::Store::WriteCallback& callback) {
        Write(key, value, expected_version, timeout, callback);
      };
  store.watch = [this](const std::string& key, std::int64_t after_version,
                       base::Duration wait,
                       const store::Store::ReadCallback& callback) {
    Watch(key, after_version, wait, callback);
  };
  return store;
}

StoreFault FakeStore::ChooseFault(bool is_write) {
  return choose_fault ? choose_fault(is_write) : StoreFault::kNone;
}

std::optional<Entry> FakeStore::Get(const std::string& key) const {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  return found->second;
}

void FakeStore::Restore(const std::string& key,
                        const std::optional<Entry>& entry,
                        bool is_version_restored) {
  entries_.erase(key);
  if (!entry) {
    return;
  }
  Entry restored = *entry;
  if (!is_version_restored) {
    restored.version = next_version_++;
  }
  entries_[key] = restored;
  WakeWaiters();
}

void FakeStore::Read(const std::string& key,
                     base::Duration timeout,
                     const store::Store::ReadCallback& callback) {
  ++reads_;
  const StoreFault fault = ChooseFault(false);
  if (fault == StoreFault::kDown) {
    runner_.After(kHalfRoundTrip, [callback] {
      callback(Fail(ErrorCode::kUnavailable, Step::kReadStore));
    });
    return;
  }
  if (fault != StoreFault::kNone) {
    runner_.After(timeout, [callback] {
      callback(Fail(ErrorCode::kTimeout, Step::kReadStore));
    });
    return;
  }
  runner_.After(kHalfRoundTrip, [this, key, callback] {
    runner_.After(kHalfRoundTrip,
                  [entry = Get(key), callback] { callback(entry); });
  });
}

void FakeStore::Write(const std::string& key,
                      const std::string& value,
                      std::int64_t expected_version,
                      base::Duration timeout,
                      const store::Store::WriteCallback& callback) {
  ++writes_;
  const StoreFault fault = ChooseFault(true);
  if (fault == StoreFault::kDown) {
    runner_.After(kHalfRoundTrip, [callback] {
      callback(Fail(ErrorCode::kUnreachable, Step::kWriteStore));
    });
    return;
  }
  const bool has_effect = fault != StoreFault::kSilent;
  const base::Duration delay =
      fault == StoreFault::kLate ? late_by : kHalfRoundTrip;
  if (has_effect) {
    runner_.After(delay, [=, this] {
      const auto version = Swap(key, value, expected_version);
      if (fault != StoreFault::kNone) {
        return;
      }
      runner_.After(kHalfRoundTrip, [callback, version] {
        callback(version ? base::Result<std::int64_t>(*version)
                         : Fail(ErrorCode::kConflict, Step::kWriteStore));
      });
    });
  }
  if (fault != StoreFault::kNone) {
    runner_.After(timeout, [callback] {
      callback(Fail(ErrorCode::kUnknownOutcome, Step::kWriteStore));
    });
  }
}

void FakeStore::Watch(const std::string& key,
                      std::int64_t after_version,
                      base::Duration wait,
                      const store::Store::ReadCallback& callback) {
  ++watches_;
  if (ChooseFault(false) != StoreFault::kNone) {
    runner_.After(kHalfRoundTrip, [callback] {
      callback(Fail(ErrorCode::kUnavailable, Step::kWatchStore));
    });
    return;
  }
  auto waiter = std::make_shared<Waiter>(Waiter{key, after_version, callback});
  waiters_.push_back(waiter);
  runner_.After(wait, [this, waiter] {
    if (waiters_.remove(waiter) > 0) {
      waiter->callback(std::optional<Entry>());
    }
  });
  WakeWaiters();
}

std::optional<std::int64_t> FakeStore::Swap(const std::string& key,
                                            const std::string& value,
                                            std::int64_t expected_version) {
  if (before_next_write) {
    std::exchange(before_next_write, nullptr)();
  }
  const auto entry = Get(key);
  if ((entry ? entry->version : store::kAbsent) != expected_version) {
    return std::nullopt;
  }
  const std::int64_t version = next_version_++;
  entries_[key] = {key, value, version};
  WakeWaiters();
  return version;
}

void FakeStore::WakeWaiters() {
  const auto waiters = waiters_;
  for (const auto& waiter : waiters) {
    const auto entry = Get(waiter->key);
    if (entry && entry->version > waiter->after_version &&
        waiters_.remove(waiter) > 0) {
      runner_.After(kHalfRoundTrip,
                    [waiter, entry] { waiter->callback(entry); });
    }
  }
}

}  // namespace medlarspread::targets
