// A caller's request, parsed and validated.

#ifndef MEDLARSPREAD_QUERY_CALLER_REQUEST_H_
#define MEDLARSPREAD_QUERY_CALLER_REQUEST_H_

#include <string>

#include "src/base/clock.h"

namespace medlarspread::query {

struct CallerRequest {
  // "<milliseconds since 1970>-<8 to 64 letters and digits>". The caller uses
  // the same identifier when it retries a request.
  std::string request_id;
  // A class for which targets were configured when the request was parsed.
  std::string class_name;
  // Time left for the whole answer, counted from the arrival of the request.
  base::Duration deadline{};
  // A request that is not idempotent is executed at most once.
  bool is_idempotent = false;
  // The caller's query as JSON text; passed to the upstreams without parsing.
  std::string query;

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_CALLER_REQUEST_H_
