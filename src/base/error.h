// Typed errors. Every error names the processing step at which it occurred and
// the peer (VM, upstream or platform address) involved, so that a log line or
// an API response can be traced to one hop.

#ifndef MEDLARSPREAD_BASE_ERROR_H_
#define MEDLARSPREAD_BASE_ERROR_H_

#include <string>
#include <system_error>

namespace medlarspread::base {

// The kind of an error. Logs and API responses use the names listed in
// error.cc, which must stay the same.
enum class ErrorCode {
  kTimeout = 1,
  kUnreachable,
  kConnectionLost,
  kMalformed,
  kTooLarge,
  kNotFound,
  kConflict,
  kUnavailable,
  kShed,
  kDraining,
  kCold,
  kWrongSnapshot,
  kMismatch,
  kCancelled,
  kExpired,
  kOverloaded,
  kUnauthorized,
  kInvalidArgument,
  kStopping,
  kUnknownOutcome,
  kInternal,
  // The request is quarantined because it crashed leaves that ran it.
  kQuarantined,
};

// The processing step at which an error occurred.
enum class Step {
  kParse = 1,
  kAdmit,
  kClaim,
  kSelectSnapshot,
  kForward,
  kQueue,
  kSendUpstream,
  kReadUpstream,
  kMerge,
  kReadStore,
  kWriteStore,
  kWatchStore,
  kPeerLink,
  kMembership,
  kTargets,
  kSettings,
  kListen,
  kStop,
  kReport,
};

const char* ErrorCodeName(ErrorCode code);
const char* StepName(Step step);

const std::error_category& ErrorCategory();
std::error_code make_error_code(ErrorCode code);

// An error and its origin. `peer` is empty if no other process was involved.
struct Error {
  std::error_code code;
  Step step = Step::kParse;
  std::string peer;
  std::string detail;

  // One line for logs: "timeout at send_upstream, peer 127.0.0.1:80: detail".
  std::string ToString() const;
};

Error MakeError(ErrorCode code,
                Step step,
                std::string peer,
                std::string detail);

}  // namespace medlarspread::base

namespace std {
template <>
struct is_error_code_enum<medlarspread::base::ErrorCode> : true_type {};
}  // namespace std

#endif  // MEDLARSPREAD_BASE_ERROR_H_
