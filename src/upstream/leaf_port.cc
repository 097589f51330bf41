// Names and properties of the outcomes of a request to a leaf.

#include "src/upstream/leaf_port.h"

#include "src/base/name_table.h"

namespace medlarspread::upstream {

namespace {

constexpr base::NameTable<LeafOutcome, 11> kLeafOutcomeNames{{{
    {LeafOutcome::kAnswered, "answered"},
    {LeafOutcome::kWrongSnapshot, "wrong_snapshot"},
    {LeafOutcome::kShed, "shed"},
    {LeafOutcome::kDraining, "draining"},
    {LeafOutcome::kCold, "cold"},
    {LeafOutcome::kUnreachable, "unreachable"},
    {LeafOutcome::kReplaced, "replaced"},
    {LeafOutcome::kFailed, "failed"},
    {LeafOutcome::kTimeout, "timeout"},
    {LeafOutcome::kLost, "lost"},
    {LeafOutcome::kMismatch, "mismatch"},
}}};

}  // namespace

const char* LeafOutcomeName(LeafOutcome outcome) {
  return kLeafOutcomeNames.NameOf(outcome);
}

bool MayHaveRun(LeafOutcome outcome) {
  switch (outcome) {
    case LeafOutcome::kAnswered:
    case LeafOutcome::kFailed:
    case LeafOutcome::kTimeout:
    case LeafOutcome::kLost:
    case LeafOutcome::kMismatch:
      return true;
    case LeafOutcome::kWrongSnapshot:
    case LeafOutcome::kShed:
    case LeafOutcome::kDraining:
    case LeafOutcome::kCold:
    case LeafOutcome::kUnreachable:
    case LeafOutcome::kReplaced:
      return false;
  }
  return true;
}

}  // namespace medlarspread::upstream
