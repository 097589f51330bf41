// The calls to the key-value service that claims make: bounded in time, counted
// and answered on the sequence of claims.

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

  // The callbacks run once, later, on the sequence of claims.
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

// What a failed call says about the key.
enum class StoreFailure {
  // The store did nothing.
  kNothingDone,
  // The key has another version than expected.
  kConflict,
  // A write may have taken effect, or may still do so.
  kUnknown,
};

StoreFailure ClassifyStoreFailure(const base::Error& error);

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_CLAIM_STORE_H_
