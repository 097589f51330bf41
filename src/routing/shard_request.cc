// Names of shard outcomes.

#include "src/routing/shard_request.h"

#include "src/base/name_table.h"

namespace medlarspread::routing {

namespace {

constexpr base::NameTable<ShardOutcome, 4> kOutcomeNames{{{
    {ShardOutcome::kAnswered, "answered"},
    {ShardOutcome::kWrongSnapshot, "wrong_snapshot"},
    {ShardOutcome::kRefused, "refused"},
    {ShardOutcome::kUnknown, "unknown"},
}}};

}  // namespace

const char* ShardOutcomeName(ShardOutcome outcome) {
  return kOutcomeNames.NameOf(outcome);
}

}  // namespace medlarspread::routing
