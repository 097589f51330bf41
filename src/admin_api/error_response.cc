// JSON rendering of errors.

#include "src/admin_api/error_response.h"

#include <cstdint>

#include <cpprest/json.h>

namespace medlarspread::admin_api {

namespace {

using web::json::value;

value DescribeError(const char* outcome, const base::Error& error) {
  value object = value::object();
  object["outcome"] = value::string(outcome);
  object["error"] = value::string(error.code.message());
  object["step"] = value::string(base::StepName(error.step));
  object["peer"] = value::string(error.peer);
  object["detail"] = value::string(error.detail);
  return object;
}

}  // namespace

http::Response MakeErrorResponse(int status,
                                 const std::string& error,
                                 const std::string& detail,
                                 const std::string& field) {
  value object = value::object();
  object["error"] = value::string(error);
  object["detail"] = value::string(detail);
  if (!field.empty()) {
    object["field"] = value::string(field);
  }
  http::Response response;
  response.status = status;
  response.body = object.serialize();
  return response;
}

http::Response MakeRefusedResponse(const base::Error& error,
                                   base::Duration retry_after) {
  const auto milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(retry_after);
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
  value object = DescribeError("refused", error);
  object["retry_after_ms"] =
      value::number(static_cast<std::int64_t>(milliseconds.count()));
  http::Response response;
  response.status = http::kServiceUnavailable;
  response.headers["Retry-After"] = std::to_string(seconds.count());
  response.body = object.serialize();
  return response;
}

http::Response MakeUnknownOutcomeResponse(const base::Error& error) {
  http::Response response;
  response.status = http::kGatewayTimeout;
  response.body = DescribeError("unknown", error).serialize();
  return response;
}

}  // namespace medlarspread::admin_api
