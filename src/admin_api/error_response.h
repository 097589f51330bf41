// Answers that are errors, in the one form that the API gives them.

#ifndef MEDLARSPREAD_ADMIN_API_ERROR_RESPONSE_H_
#define MEDLARSPREAD_ADMIN_API_ERROR_RESPONSE_H_

#include <string>

#include "src/base/clock.h"
#include "src/base/error.h"
#include "src/http/message.h"

namespace medlarspread::admin_api {

// {"error","detail"}, with "field" if it is not empty.
http::Response MakeErrorResponse(int status,
                                 const std::string& error,
                                 const std::string& detail,
                                 const std::string& field = "");

// 503 with Retry-After: not done, and when to come back.
http::Response MakeRefusal(const base::Error& error,
                           base::Duration retry_after);

// 504: it may have been done.
http::Response MakeUnknown(const base::Error& error);

}  // namespace medlarspread::admin_api

#endif  // MEDLARSPREAD_ADMIN_API_ERROR_RESPONSE_H_
