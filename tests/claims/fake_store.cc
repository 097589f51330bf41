// An in-memory key-value store with injected faults.

#include "tests/claims/fake_store.h"

#include <utility>

namespace medlarspread::claims {

namespace {

base::Error MakeError(base::ErrorCode code) {
  return base::MakeError(code, base::Step::kWriteStore, "store", "fake");
}

}  // namespace

store::Store FakeStore::store() {
  store::Store store;
  auto self = shared_from_this();
  store.read = [self](const std::string& key, base::Duration timeout,
                      const store::Store::ReadCallback& callback) {
    ++self->calls_;
    if (self->next_fault() != StoreFault::kNone) {
      self->network_.After(timeout, [callback] {
        callback(MakeError(base::ErrorCode::kTimeout));
      });
      return;
    }
    self->network_.After(kDelay,
                         [self, key, callback] { callback(self->Find(key)); });
  };
  store.compare_and_swap =
      [self](const std::string& key, const std::string& value,
             std::int64_t expected_version, base::Duration timeout,
             const store::Store::WriteCallback& callback) {
        ++self->calls_;
        self->Swap({key, value, expected_version}, timeout, callback);
      };
  store.list = [self](const std::string& prefix, base::Duration /*timeout*/,
                      const store::Store::ListCallback& callback) {
    ++self->calls_;
    self->network_.After(kDelay, [self, prefix, callback] {
      std::vector<store::Entry> found;
      for (const auto& [key, entry] : self->entries_) {
        if (key.starts_with(prefix)) {
          found.push_back(entry);
        }
      }
      callback(found);
    });
  };
  store.erase = [self](const std::string& key, std::int64_t expected_version,
                       base::Duration timeout,
                       const store::Store::EraseCallback& callback) {
    ++self->calls_;
    self->Erase(key, expected_version, timeout, callback);
  };
  return store;
}

void FakeStore::Swap(const store::Entry& wanted,
                     base::Duration timeout,
                     store::Store::WriteCallback callback) {
  const auto self = shared_from_this();
  const auto answer_unknown = [callback] {
    callback(MakeError(base::ErrorCode::kUnknownOutcome));
  };
  const auto apply = [self, wanted] {
    static_cast<void>(self->Apply(wanted).is_ok());
  };
  switch (next_fault()) {
    case StoreFault::kNone:
      network_.After(
          kDelay, [self, wanted, callback] { callback(self->Apply(wanted)); });
      return;
    case StoreFault::kLoseReply:
      network_.After(kDelay, apply);
      network_.After(timeout, answer_unknown);
      return;
    case StoreFault::kLoseRequest:
      network_.After(timeout, answer_unknown);
      return;
    case StoreFault::kApplyLate:
      network_.After(timeout, answer_unknown);
      network_.After(timeout + kLateness, apply);
      return;
    case StoreFault::kUnavailable:
      network_.After(kDelay, [callback] {
        callback(MakeError(base::ErrorCode::kUnavailable));
      });
      return;
  }
}

void FakeStore::Erase(const std::string& key,
                      std::int64_t expected_version,
                      base::Duration timeout,
                      store::Store::EraseCallback callback) {
  if (next_fault() != StoreFault::kNone) {
    network_.After(timeout, [callback] {
      callback(MakeError(base::ErrorCode::kUnknownOutcome));
    });
    return;
  }
  network_.After(kDelay,
                 [self = shared_from_this(), key, expected_version, callback] {
                   const auto found = self->Find(key);
                   if (!found || found->version != expected_version) {
                     callback(MakeError(base::ErrorCode::kConflict));
                     return;
                   }
                   self->entries_.erase(key);
                   callback(base::Done());
                 });
}

std::optional<store::Entry> FakeStore::Find(const std::string& key) const {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return std::nullopt;
  }
  return found->second;
}

FakeStore::Version FakeStore::Apply(const store::Entry& wanted) {
  const auto found = Find(wanted.key);
  const std::int64_t version = found ? found->version : store::kAbsent;
  if (version != wanted.version) {
    return MakeError(base::ErrorCode::kConflict);
  }
  entries_[wanted.key] = {wanted.key, wanted.value, ++last_version_};
  return last_version_;
}

}  // namespace medlarspread::claims
