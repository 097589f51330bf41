// Converts an answer to the outcome that the burn report counts.

#ifndef MEDLARSPREAD_QUERY_ANSWER_OUTCOME_H_
#define MEDLARSPREAD_QUERY_ANSWER_OUTCOME_H_

#include "src/burn/request_record.h"
#include "src/query/caller_answer.h"

namespace medlarspread::query {

// Fills in the outcome and, if the request was answered, its coverage.
void AddOutcome(const CallerAnswer& answer, burn::RequestRecord& record);

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_ANSWER_OUTCOME_H_
