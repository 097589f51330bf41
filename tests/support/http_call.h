// Blocking and asynchronous HTTP calls for tests.

#ifndef MEDLARSPREAD_TESTS_SUPPORT_HTTP_CALL_H_
#define MEDLARSPREAD_TESTS_SUPPORT_HTTP_CALL_H_

#include <future>
#include <map>
#include <string>

#include "src/base/result.h"
#include "src/http/message.h"

namespace medlarspread::tests {

struct Call {
  std::string method = "GET";
  std::string address;
  std::string path;
  std::map<std::string, std::string> parameters = {};
  std::string body = {};
  std::map<std::string, std::string> headers = {};
};

// Starts the call on the traffic threads. It times out after 20 s.
std::future<base::Result<http::Response>> StartCall(const Call& call);

// Returns the response, or one with status 0 and the error as its body.
http::Response AwaitCall(const Call& call);

}  // namespace medlarspread::tests

#endif  // MEDLARSPREAD_TESTS_SUPPORT_HTTP_CALL_H_
