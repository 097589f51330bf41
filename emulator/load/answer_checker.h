// Checks answers to callers against the guarantees of the system, independently
// of its code: the leaves' items name their snapshot, range and query.

#ifndef MEDLARSPREAD_EMULATOR_LOAD_ANSWER_CHECKER_H_
#define MEDLARSPREAD_EMULATOR_LOAD_ANSWER_CHECKER_H_

#include <string>

#include "src/base/name_table.h"

namespace medlarspread::emulator {

enum class Violation {
  kNone,
  // The body does not have the format described in docs/INTERFACES.md.
  kMalformed,
  // The answer is for another request, or has items of another query.
  kForeign,
  // Items are from a different snapshot than the answer states.
  kMixedSnapshots,
  // The stated coverage does not match the items.
  kFalseCoverage,
  // The answer contains an item twice.
  kDoubled,
  // A refusal has no retry delay, or states that the request ran.
  kBadRefusal,
};

constexpr base::NameTable<Violation, 7> kViolations{
    {{{Violation::kNone, "none"},
      {Violation::kMalformed, "malformed"},
      {Violation::kForeign, "foreign"},
      {Violation::kMixedSnapshots, "mixed_snapshots"},
      {Violation::kFalseCoverage, "false_coverage"},
      {Violation::kDoubled, "doubled"},
      {Violation::kBadRefusal, "bad_refusal"}}}};

// The caller's request.
struct AskedQuery {
  std::string request_id;
  // JSON text.
  std::string query;
};

struct CheckedAnswer {
  Violation violation = Violation::kNone;
  // The coverage that the answer states.
  double coverage = 0.0;
  bool is_partial = true;
};

// Checks the body of a 200. Every leaf must give at least one item per range.
CheckedAnswer CheckAnswer(const AskedQuery& asked, const std::string& body);

// Checks the body of a 429 or 503.
Violation CheckRefusal(const AskedQuery& asked, const std::string& body);

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LOAD_ANSWER_CHECKER_H_
