// Name tables and the std::error_category of base::Error.

#include "src/base/error.h"

#include <utility>

#include "src/base/name_table.h"

namespace medlarspread::base {

namespace {

constexpr NameTable<ErrorCode, 22> kErrorCodeNames{{{
    {ErrorCode::kTimeout, "timeout"},
    {ErrorCode::kUnreachable, "unreachable"},
    {ErrorCode::kConnectionLost, "connection_lost"},
    {ErrorCode::kMalformed, "malformed"},
    {ErrorCode::kTooLarge, "too_large"},
    {ErrorCode::kNotFound, "not_found"},
    {ErrorCode::kConflict, "conflict"},
    {ErrorCode::kUnavailable, "unavailable"},
    {ErrorCode::kShed, "shed"},
    {ErrorCode::kDraining, "draining"},
    {ErrorCode::kCold, "cold"},
    {ErrorCode::kWrongSnapshot, "wrong_snapshot"},
    {ErrorCode::kMismatch, "mismatch"},
    {ErrorCode::kCancelled, "cancelled"},
    {ErrorCode::kExpired, "expired"},
    {ErrorCode::kOverloaded, "overloaded"},
    {ErrorCode::kUnauthorized, "unauthorized"},
    {ErrorCode::kInvalidArgument, "invalid_argument"},
    {ErrorCode::kStopping, "stopping"},
    {ErrorCode::kUnknownOutcome, "unknown_outcome"},
    {ErrorCode::kInternal, "internal"},
    {ErrorCode::kQuarantined, "quarantined"},
}}};

constexpr NameTable<Step, 19> kStepNames{{{
    {Step::kParse, "parse"},
    {Step::kAdmit, "admit"},
    {Step::kClaim, "claim"},
    {Step::kSelectSnapshot, "select_snapshot"},
    {Step::kForward, "forward"},
    {Step::kQueue, "queue"},
    {Step::kSendUpstream, "send_upstream"},
    {Step::kReadUpstream, "read_upstream"},
    {Step::kMerge, "merge"},
    {Step::kReadStore, "read_store"},
    {Step::kWriteStore, "write_store"},
    {Step::kWatchStore, "watch_store"},
    {Step::kPeerLink, "peer_link"},
    {Step::kMembership, "membership"},
    {Step::kTargets, "targets"},
    {Step::kSettings, "settings"},
    {Step::kListen, "listen"},
    {Step::kStop, "stop"},
    {Step::kReport, "report"},
}}};

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "medlarspread"; }
  std::string message(int value) const override {
    return ErrorCodeName(static_cast<ErrorCode>(value));
  }
};

}  // namespace

const char* ErrorCodeName(ErrorCode code) {
  return kErrorCodeNames.NameOf(code);
}

const char* StepName(Step step) {
  return kStepNames.NameOf(step);
}

const std::error_category& ErrorCategory() {
  static const Category category;
  return category;
}

std::error_code make_error_code(ErrorCode code) {
  return {static_cast<int>(code), ErrorCategory()};
}

std::string Error::ToString() const {
  std::string text = code.message() + " at " + StepName(step);
  if (!peer.empty()) {
    text += ", peer " + peer;
  }
  if (!detail.empty()) {
    text += ": " + detail;
  }
  return text;
}

Error MakeError(ErrorCode code,
                Step step,
                std::string peer,
                std::string detail) {
  return Error{make_error_code(code), step, std::move(peer), std::move(detail)};
}

}  // namespace medlarspread::base
