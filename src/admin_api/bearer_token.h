// The operators' token of the administration API.

#ifndef MEDLARSPREAD_ADMIN_API_BEARER_TOKEN_H_
#define MEDLARSPREAD_ADMIN_API_BEARER_TOKEN_H_

#include <string>

namespace medlarspread::admin_api {

// Whether the value of an Authorization header is "Bearer TOKEN". Takes the
// same time whichever part of the token is wrong. An empty token matches
// nothing, so that a daemon without one is closed, not open.
bool IsAuthorized(const std::string& header, const std::string& token);

}  // namespace medlarspread::admin_api

#endif  // MEDLARSPREAD_ADMIN_API_BEARER_TOKEN_H_
