// What the operators must be told about the targets; see the status page.

#ifndef MEDLARSPREAD_TARGETS_TARGETS_ALARMS_H_
#define MEDLARSPREAD_TARGETS_TARGETS_ALARMS_H_

#include <cstdint>
#include <optional>
#include <string>

namespace medlarspread::targets {

struct TargetsAlarms {
  // The store holds this lower revision (0: none) than the one in force.
  std::optional<std::int64_t> reverted_store_revision;
  // How often a lower revision was kept out since the start.
  std::int64_t reverts_kept_out = 0;
  // Who holds other targets under the revision in force: a VM, or "store".
  std::string digest_conflict_with;
  // Why the stored record can't be read.
  std::string malformed_record;
  // The last call of the store failed so; empty on daemons that don't read it.
  std::string store_failure;

  friend bool operator==(const TargetsAlarms&, const TargetsAlarms&) = default;
};

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_TARGETS_ALARMS_H_
