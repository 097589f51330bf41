// The contents of the platform's key-value service: versions, leases and
// checkpoints. Single-threaded; the service calls it from one sequence.

#ifndef MEDLARSPREAD_EMULATOR_PLATFORM_KEY_VALUE_STORE_H_
#define MEDLARSPREAD_EMULATOR_PLATFORM_KEY_VALUE_STORE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/store/store.h"

namespace medlarspread::emulator {

enum class StoreStatus { kOk, kNotFound, kConflict, kTooLarge };

struct StoreOutcome {
  StoreStatus status = StoreStatus::kOk;
  // The key's version after the call; 0 if it is absent.
  std::int64_t version = 0;
};

class KeyValueStore {
 public:
  static constexpr std::size_t kMaxValueBytes = 1 << 20;

  explicit KeyValueStore(base::Clock clock) : clock_(clock) {}

  std::optional<store::Entry> Read(const std::string& key);
  std::vector<store::Entry> List(const std::string& prefix);
  // `lease_id` is empty for a key without a lease. Returns kNotFound if the
  // lease has expired.
  StoreOutcome Write(const std::string& key,
                     const std::string& value,
                     std::int64_t expected_version,
                     const std::string& lease_id);
  StoreOutcome Erase(const std::string& key, std::int64_t expected_version);

  std::string CreateLease(base::Duration ttl);
  bool RenewLease(const std::string& lease_id);
  bool EndLease(const std::string& lease_id);

  void Checkpoint();
  // Restores the last checkpoint, or empty contents if there is none. With
  // `repeats_versions` the store also reuses the versions assigned since the
  // checkpoint, which violates the guarantees of the service.
  void Restore(bool repeats_versions);

 private:
  struct Lease {
    base::Duration ttl{};
    base::MonotonicTime expires;
  };
  struct Row {
    std::string value;
    std::int64_t version = 0;
    std::string lease_id;
  };
  struct Contents {
    std::map<std::string, Row> rows;
    // The last version assigned to any key; versions are unique across keys.
    std::int64_t last_version = 0;
  };

  // Removes expired leases and their keys.
  void Expire();
  void EraseKeysOf(const std::string& lease_id);
  std::int64_t VersionOf(const std::string& key) const;

  const base::Clock clock_;
  Contents contents_;
  Contents checkpoint_;
  std::map<std::string, Lease> leases_;
  std::uint64_t next_lease_ = 1;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_PLATFORM_KEY_VALUE_STORE_H_
