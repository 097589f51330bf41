// Visits the three kinds of answer.

#include "src/query/answer_outcome.h"

#include <variant>

#include "src/base/overloaded.h"

namespace medlarspread::query {

void AddOutcome(const CallerAnswer& answer, burn::RequestRecord& record) {
  std::visit(base::Overloaded{
                 [&](const Answered& answered) {
                   record.outcome = burn::RequestOutcome::kAnswered;
                   record.coverage = answered.coverage.share;
                   record.shard_answers = answered.coverage.shards_answered;
                 },
                 [&](const Refused&) {
                   record.outcome = burn::RequestOutcome::kRefused;
                 },
                 [&](const Unknown&) {
                   record.outcome = burn::RequestOutcome::kUnknown;
                 },
             },
             answer);
}

}  // namespace medlarspread::query
