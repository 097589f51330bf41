// Builds the error responses of the administration API.

#ifndef MEDLARSPREAD_ADMIN_API_ERROR_RESPONSE_H_
#define MEDLARSPREAD_ADMIN_API_ERROR_RESPONSE_H_

#include <string>

#include "src/base/clock.h"
#include "src/base/error.h"
#include "src/http/message.h"

namespace medlarspread::admin_api {

// Returns a response with the JSON fields "error" and "detail", and "field" if
// `field` is not empty.
http::Response MakeErrorResponse(int status,
                                 const std::string& error,
                                 const std::string& detail,
                                 const std::string& field = "");

// Returns 503 with Retry-After: the request was not executed.
http::Response MakeRefusedResponse(const base::Error& error,
                                   base::Duration retry_after);

// Returns 504: the request may have been executed.
http::Response MakeUnknownOutcomeResponse(const base::Error& error);

}  // namespace medlarspread::admin_api

#endif  // MEDLARSPREAD_ADMIN_API_ERROR_RESPONSE_H_
