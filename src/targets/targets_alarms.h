// Alarms about the targets, which the status page shows to operators.

#ifndef MEDLARSPREAD_TARGETS_TARGETS_ALARMS_H_
#define MEDLARSPREAD_TARGETS_TARGETS_ALARMS_H_

#include <cstdint>
#include <optional>
#include <string>

namespace medlarspread::targets {

struct TargetsAlarms {
  // The revision in the store (0: none) if it is lower than the one in force.
  std::optional<std::int64_t> reverted_store_revision;
  // The number of times that a lower revision was rejected since the start.
  std::int64_t reverts_kept_out = 0;
  // Who has different targets under the revision in force: a VM, or "store".
  std::string digest_conflict_with;
  // Why the stored record cannot be parsed.
  std::string malformed_record;
  // The error of the last call of the store; empty if it succeeded, and on
  // daemons that do not read the store.
  std::string store_failure;

  friend bool operator==(const TargetsAlarms&, const TargetsAlarms&) = default;
};

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_TARGETS_ALARMS_H_
