// Checks the bearer token of the administration API.

#ifndef MEDLARSPREAD_ADMIN_API_BEARER_TOKEN_H_
#define MEDLARSPREAD_ADMIN_API_BEARER_TOKEN_H_

#include <string>

namespace medlarspread::admin_api {

// Whether the value of an Authorization header is "Bearer TOKEN". Compares in
// constant time. An empty `token` matches nothing, so that a daemon without a
// token rejects all requests.
bool IsAuthorized(const std::string& header, const std::string& token);

}  // namespace medlarspread::admin_api

#endif  // MEDLARSPREAD_ADMIN_API_BEARER_TOKEN_H_
