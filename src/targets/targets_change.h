// A change of the targets as requested by an operator, and its possible
// outcomes.

#ifndef MEDLARSPREAD_TARGETS_TARGETS_CHANGE_H_
#define MEDLARSPREAD_TARGETS_TARGETS_CHANGE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "src/base/clock.h"
#include "src/base/error.h"
#include "src/blackboard/views.h"

namespace medlarspread::targets {

// Creates the class or replaces all of its targets.
struct SetClass {
  blackboard::ClassTargets targets;
};

struct RemoveClass {
  std::string name;
};

struct TargetsChange {
  // Chosen by the operator's client and reused when it retries, so that a
  // change is made once, however often it is submitted.
  std::string change_id;
  // If set, the change is made only on top of this revision.
  std::optional<std::int64_t> expected_revision;
  std::variant<SetClass, RemoveClass> action;
};

// The change is in the store and in force on this daemon under this revision.
struct ChangeAccepted {
  std::int64_t revision = 0;
};

// Not made: another change was made first.
struct ChangeLost {
  // The revision of the other change.
  std::int64_t revision = 0;
  // The ID of the other change; empty if it is no longer recorded.
  std::string winner_change_id;
};

// Not made: the class to remove does not exist.
struct ChangeNotFound {
  std::string class_name;
};

// Not made: the request is invalid.
struct ChangeInvalid {
  // The field's name in the administration API.
  std::string field;
  std::string detail;
};

// Not made and never will be, for a reason that may be temporary.
struct ChangeRefused {
  base::Error error;
  base::Duration retry_after{};
};

// The change may or may not have been made. Submitting it again with the same
// change_id resolves this.
struct ChangeUnknown {
  base::Error error;
};

using ChangeOutcome = std::variant<ChangeAccepted,
                                   ChangeLost,
                                   ChangeNotFound,
                                   ChangeInvalid,
                                   ChangeRefused,
                                   ChangeUnknown>;

using ChangeCallback = std::function<void(ChangeOutcome)>;

// The class that the change sets or removes.
const std::string& ClassNameOf(const TargetsChange& change);

// Returns a digest of the requested change, to detect a change_id that is
// reused for a different change.
std::int64_t DigestOf(const TargetsChange& change);

// Returns the first invalid field of the change, or nothing.
std::optional<ChangeInvalid> FindFault(const TargetsChange& change);

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_TARGETS_CHANGE_H_
