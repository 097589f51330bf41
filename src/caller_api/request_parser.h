// Turns the body of POST /v1/query into a CallerRequest. Whatever is wrong with
// it is said by field, and nothing of it is run.

#ifndef MEDLARSPREAD_CALLER_API_REQUEST_PARSER_H_
#define MEDLARSPREAD_CALLER_API_REQUEST_PARSER_H_

#include <string>
#include <variant>

#include "src/query/caller_request.h"

namespace medlarspread::caller_api {

// Why a body is not a request.
struct InvalidField {
  // The field at fault; empty if the body as a whole is.
  std::string field;
  std::string detail;
};

using ParsedRequest = std::variant<query::CallerRequest, InvalidField>;

// Never throws, whatever the bytes. Does not check that the class exists.
ParsedRequest ParseCallerRequest(const std::string& body);

}  // namespace medlarspread::caller_api

#endif  // MEDLARSPREAD_CALLER_API_REQUEST_PARSER_H_
