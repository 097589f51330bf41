// Parses the body of POST /v1/query into a CallerRequest. Errors name the
// invalid field; an invalid request is never executed.

#ifndef MEDLARSPREAD_CALLER_API_REQUEST_PARSER_H_
#define MEDLARSPREAD_CALLER_API_REQUEST_PARSER_H_

#include <string>
#include <variant>

#include "src/query/caller_request.h"

namespace medlarspread::caller_api {

// Why a body is not a valid request.
struct InvalidField {
  // The invalid field; empty if the body as a whole is invalid.
  std::string field;
  std::string detail;
};

using ParsedRequest = std::variant<query::CallerRequest, InvalidField>;

// Never throws, whatever `body` contains. Doesn't check that the class exists.
ParsedRequest ParseCallerRequest(const std::string& body);

}  // namespace medlarspread::caller_api

#endif  // MEDLARSPREAD_CALLER_API_REQUEST_PARSER_H_
