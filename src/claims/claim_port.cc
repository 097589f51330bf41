// The names of claim outcomes.

#include "src/claims/claim_port.h"

#include "src/base/name_table.h"

namespace medlarspread::claims {

namespace {

constexpr base::NameTable<ClaimOutcome, 5> kOutcomeNames = {{{
    {ClaimOutcome::kGranted, "granted"},
    {ClaimOutcome::kTaken, "taken"},
    {ClaimOutcome::kRefused, "refused"},
    {ClaimOutcome::kUnsettled, "unsettled"},
    {ClaimOutcome::kExpired, "expired"},
}}};

}  // namespace

const char* ClaimOutcomeName(ClaimOutcome outcome) {
  return kOutcomeNames.NameOf(outcome);
}

}  // namespace medlarspread::claims
