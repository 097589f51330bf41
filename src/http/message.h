// Plain HTTP request and response types, so that only this folder includes the
// HTTP library's HTTP headers.

#ifndef MEDLARSPREAD_HTTP_MESSAGE_H_
#define MEDLARSPREAD_HTTP_MESSAGE_H_

#include <map>
#include <string>

namespace medlarspread::http {

// The standard status codes that this project uses.
enum StatusCode : int {
  kOk = 200,
  kAccepted = 202,
  kNoContent = 204,
  kBadRequest = 400,
  kUnauthorized = 401,
  kNotFound = 404,
  kMethodNotAllowed = 405,
  kRequestTimeout = 408,
  kConflict = 409,
  kPayloadTooLarge = 413,
  kTooManyRequests = 429,
  kInternalError = 500,
  kServiceUnavailable = 503,
  kGatewayTimeout = 504,
};

struct Request {
  std::string method = "GET";
  // The path without its query string, percent-decoded.
  std::string path;
  std::map<std::string, std::string> parameters;
  // Header names are in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  std::string content_type = "application/json";
  // Set for a request that must reach the server at most once; needs a body.
  // NOTE: otherwise the HTTP library resends a request by itself if a reused
  // connection is closed before the reply.
  bool is_sent_once = false;
};

struct Response {
  int status = kOk;
  std::map<std::string, std::string> headers;
  std::string body;
  std::string content_type = "application/json";
};

}  // namespace medlarspread::http

#endif  // MEDLARSPREAD_HTTP_MESSAGE_H_
