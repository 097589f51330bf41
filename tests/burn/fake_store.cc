// The calls of the fake store. Each answers by a posted task, as the real one
// does.

#include "tests/burn/fake_store.h"

#include <utility>

namespace medlarspread::burn {

namespace {

base::Error Failure(base::ErrorCode code) {
  return base::MakeError(code, base::Step::kWriteStore, "store", "fake");
}

}  // namespace

bool FakeStore::IsReachable(const std::string& vm) const {
  const auto cut = is_cut_.find(vm);
  return is_available_ && (cut == is_cut_.end() || !cut->second);
}

base::Result<std::int64_t> FakeStore::Swap(const std::string& key,
                                           const std::string& value,
                                           std::int64_t expected_version) {
  if (writes_to_lose_ > 0) {
    --writes_to_lose_;
    return Failure(base::ErrorCode::kUnknownOutcome);
  }
  const auto found = entries_.find(key);
  const std::int64_t version =
      found == entries_.end() ? platform::kAbsent : found->second.version;
  if (version != expected_version) {
    return Failure(base::ErrorCode::kConflict);
  }
  entries_[key] = {key, value, ++last_version_};
  if (did_write) {
    did_write(key);
  }
  if (replies_to_lose_ > 0) {
    --replies_to_lose_;
    return Failure(base::ErrorCode::kUnknownOutcome);
  }
  return last_version_;
}

base::Result<std::vector<platform::Entry>> FakeStore::List(
    const std::string& prefix) {
  std::vector<platform::Entry> entries;
  for (auto entry = entries_.lower_bound(prefix);
       entry != entries_.end() && entry->first.starts_with(prefix); ++entry) {
    entries.push_back(entry->second);
  }
  return entries;
}

base::Status FakeStore::Erase(const std::string& key,
                              std::int64_t expected_version) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return Failure(base::ErrorCode::kNotFound);
  }
  if (found->second.version != expected_version) {
    return Failure(base::ErrorCode::kConflict);
  }
  entries_.erase(found);
  return base::Done{};
}

platform::Store FakeStore::PortFor(const std::string& vm) {
  platform::Store store;
  store.read = [this, vm](const std::string& key, base::Duration,
                          platform::Store::ReadCallback callback) {
    runner_.Post([this, vm, key, callback = std::move(callback)] {
      ++read_calls_;
      if (!IsReachable(vm)) {
        callback(Failure(base::ErrorCode::kUnavailable));
        return;
      }
      const auto found = entries_.find(key);
      callback(found == entries_.end()
                   ? std::optional<platform::Entry>()
                   : std::optional<platform::Entry>(found->second));
    });
  };
  store.compare_and_swap = [this, vm](
                               const std::string& key, const std::string& value,
                               std::int64_t expected_version, base::Duration,
                               platform::Store::WriteCallback callback) {
    runner_.Post([this, vm, key, value, expected_version,
                  callback = std::move(callback)] {
      ++write_calls_;
      callback(IsReachable(vm) ? Swap(key, value, expected_version)
                               : Failure(base::ErrorCode::kUnavailable));
    });
  };
  store.list = [this, vm](const std::string& prefix, base::Duration,
                          platform::Store::ListCallback callback) {
    runner_.Post([this, vm, prefix, callback = std::move(callback)] {
      ++read_calls_;
      callback(IsReachable(vm) ? List(prefix)
                               : Failure(base::ErrorCode::kUnavailable));
    });
  };
  store.erase = [this, vm](const std::string& key,
                           std::int64_t expected_version, base::Duration,
                           platform::Store::EraseCallback callback) {
    runner_.Post(
        [this, vm, key, expected_version, callback = std::move(callback)] {
          ++write_calls_;
          callback(IsReachable(vm) ? Erase(key, expected_version)
                                   : Failure(base::ErrorCode::kUnavailable));
        });
  };
  return store;
}

}  // namespace medlarspread::burn
