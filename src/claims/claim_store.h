// The store calls of claims: with a timeout, counted, and answered on the
// claims' sequence.

#ifndef MEDLARSPREAD_CLAIMS_CLAIM_STORE_H_
#define MEDLARSPREAD_CLAIMS_CLAIM_STORE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "src/claims/claim_context.h"
#include "src/store/store.h"

namespace medlarspread::claims {

class ClaimStore {
 public:
  ClaimStore(std::shared_ptr<ClaimContext> context, store::Store store);

  // The callbacks run once, asynchronously, on the claims' sequence.
  void Swap(const std::string& key,
            std::string value,
            std::int64_t expected_version,
            store::Store::WriteCallback callback);
  void Read(const std::string& key, store::Store::ReadCallback callback);
  void List(const std::string& prefix, store::Store::ListCallback callback);
  void Erase(const std::string& key,
             std::int64_t expected_version,
             store::Store::EraseCallback callback);

 private:
  const std::shared_ptr<ClaimContext> context_;
  const store::Store store_;
};

// The state of the key after a failed call.
enum class StoreFailure {
  // The call had no effect.
  kNothingDone,
  // The key has another version than expected.
  kConflict,
  // A write may have taken effect, or may still take effect.
  kUnknown,
};

StoreFailure ClassifyStoreFailure(const base::Error& error);

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_CLAIM_STORE_H_
