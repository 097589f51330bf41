// Makes and counts calls to the store.

#include "src/claims/claim_store.h"

#include <functional>
#include <utility>

namespace medlarspread::claims {

namespace {

// Wraps `callback` so that it runs on the claims' sequence.
template <typename Value>
std::function<void(base::Result<Value>)> OnSequence(
    const base::TaskRunner& runner,
    std::function<void(base::Result<Value>)> callback) {
  return [runner, callback = std::move(callback)](base::Result<Value> result) {
    runner.Post([callback, result = std::move(result)] { callback(result); });
  };
}

}  // namespace

ClaimStore::ClaimStore(std::shared_ptr<ClaimContext> context,
                       store::Store store)
    : context_(std::move(context)), store_(std::move(store)) {}

void ClaimStore::Swap(const std::string& key,
                      std::string value,
                      std::int64_t expected_version,
                      store::Store::WriteCallback callback) {
  ++context_->counts.swaps;
  context_->counts.bytes_written += static_cast<std::int64_t>(value.size());
  store_.compare_and_swap(key, std::move(value), expected_version,
                          context_->settings.store_timeout,
                          OnSequence(context_->runner, std::move(callback)));
}

void ClaimStore::Read(const std::string& key,
                      store::Store::ReadCallback callback) {
  ++context_->counts.reads;
  store_.read(key, context_->settings.store_timeout,
              OnSequence(context_->runner, std::move(callback)));
}

void ClaimStore::List(const std::string& prefix,
                      store::Store::ListCallback callback) {
  ++context_->counts.lists;
  store_.list(prefix, context_->settings.store_timeout,
              OnSequence(context_->runner, std::move(callback)));
}

void ClaimStore::Erase(const std::string& key,
                       std::int64_t expected_version,
                       store::Store::EraseCallback callback) {
  ++context_->counts.erases;
  store_.erase(key, expected_version, context_->settings.store_timeout,
               OnSequence(context_->runner, std::move(callback)));
}

StoreFailure ClassifyStoreFailure(const base::Error& error) {
  // NOTE: an error counts as unknown unless the store guarantees that the call
  // had no effect, so that a new kind of error cannot lead to a false refusal.
  if (error.code == base::ErrorCode::kConflict) {
    return StoreFailure::kConflict;
  }
  if (error.code == base::ErrorCode::kUnavailable ||
      error.code == base::ErrorCode::kUnreachable ||
      error.code == base::ErrorCode::kOverloaded ||
      error.code == base::ErrorCode::kTooLarge) {
    return StoreFailure::kNothingDone;
  }
  return StoreFailure::kUnknown;
}

}  // namespace medlarspread::claims
