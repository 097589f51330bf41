// One change of the targets as an operator asks for it, and its outcomes.

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
  // Chosen by the operator's client and kept when it tries again: a change is
  // made once, however often it is submitted.
  std::string change_id;
  // If stated, the change is made only on top of this revision.
  std::optional<std::int64_t> expected_revision;
  std::variant<SetClass, RemoveClass> action;
};

// The change is in the store and in force on this daemon under this revision.
struct ChangeAccepted {
  std::int64_t revision = 0;
};

// Not made: another change came first.
struct ChangeLost {
  // The revision that it lost to.
  std::int64_t revision = 0;
  // The change that it lost to; empty if that is no longer recorded.
  std::string winner_change_id;
};

// Not made: the class to be removed does not exist.
struct ChangeNotFound {
  std::string class_name;
};

// Not made: the change itself is wrong.
struct ChangeInvalid {
  // The field as the administration API names it.
  std::string field;
  std::string detail;
};

// Not made and never will be, for a reason that may pass.
struct ChangeRefused {
  base::Error error;
  base::Duration retry_after{};
};

// It may or may not have been made. Submitting it again with the same
// change_id settles it.
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

// Identifies what the change asks for, so that a change_id that is used again
// for something else is noticed.
std::int64_t DigestOf(const TargetsChange& change);

// The first fault of the change, or nothing.
std::optional<ChangeInvalid> FindFault(const TargetsChange& change);

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_TARGETS_CHANGE_H_
