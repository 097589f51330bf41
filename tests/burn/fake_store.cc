// Calls of the fake store. Like the real store, it replies in a posted task.

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

base::Result<std::int64_t> FakeStore::Swap(const std::string& vm,
                                           const std::string& key,
                                           const std::string& value,
                                           std::int64_t expected_version) {
  if (writes_to_lose_ > 0) {
    --writes_to_lose_;
    return Failure(base::ErrorCode::kUnknownOutcome);
  }
  const auto found = entries_.find(key);
  const std::int64_t version =
      found == entries_.end() ? store::kAbsent : found->second.version;
  if (version != expected_version) {
    return Failure(base::ErrorCode::kConflict);
  }
  entries_[key] = {key, value, ++last_version_};
  if (did_write) {
    did_write(entries_[key]);
  }
  if (cut_with_write_ == vm) {
    cut_with_write_.clear();
    CutOff(vm, true);
    return Failure(base::ErrorCode::kUnknownOutcome);
  }
  if (replies_to_lose_ > 0) {
    --replies_to_lose_;
    return Failure(base::ErrorCode::kUnknownOutcome);
  }
  return last_version_;
}

base::Result<std::vector<store::Entry>> FakeStore::List(
    const std::string& prefix) {
  std::vector<store::Entry> entries;
  for (auto entry = entries_.lower_bound(prefix);
       entry != entries_.end() && entry->first.starts_with(prefix); ++entry) {
    entries.push_back(entry->second);
  }
  return entries;
}

base::Status FakeStore::Erase(const std::string& key,
                              std::int64_t expected_version) {
  if (!unerasable_.empty() && key.starts_with(unerasable_)) {
    return Failure(base::ErrorCode::kOverloaded);
  }
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

std::optional<store::Entry> FakeStore::Read(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? std::optional<store::Entry>()
                                 : found->second;
}

store::Store FakeStore::StoreFor(const std::string& vm,
                                 base::TaskRunner runner) {
  // Makes the call now and posts the reply to the VM.
  const auto answer = [this, vm, runner](std::int64_t& calls, auto call,
                                         auto callback) {
    runner_.Post([this, vm, runner, &calls, call, callback] {
      ++calls;
      using Answer = decltype(call());
      Answer answer = IsReachable(vm)
                          ? call()
                          : Answer(Failure(base::ErrorCode::kUnavailable));
      runner.Post([callback, answer] { callback(answer); });
    });
  };
  store::Store store;
  store.read = [this, answer](const std::string& key, base::Duration,
                              store::Store::ReadCallback callback) {
    answer(
        read_calls_,
        [this, key]() -> base::Result<std::optional<store::Entry>> {
          return Read(key);
        },
        callback);
  };
  store.compare_and_swap = [this, vm, answer](
                               const std::string& key, const std::string& value,
                               std::int64_t expected_version, base::Duration,
                               store::Store::WriteCallback callback) {
    answer(
        write_calls_,
        [=, this] { return Swap(vm, key, value, expected_version); }, callback);
  };
  store.list = [this, answer](const std::string& prefix, base::Duration,
                              store::Store::ListCallback callback) {
    answer(
        read_calls_, [this, prefix] { return List(prefix); }, callback);
  };
  store.erase = [this, answer](const std::string& key,
                               std::int64_t expected_version, base::Duration,
                               store::Store::EraseCallback callback) {
    answer(
        write_calls_, [=, this] { return Erase(key, expected_version); },
        callback);
  };
  return store;
}

}  // namespace medlarspread::burn
