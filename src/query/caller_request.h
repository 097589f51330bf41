// One request of a caller, parsed and checked, as the query sessions take it.

#ifndef MEDLARSPREAD_QUERY_CALLER_REQUEST_H_
#define MEDLARSPREAD_QUERY_CALLER_REQUEST_H_

#include <string>

#include "src/base/clock.h"

namespace medlarspread::query {

struct CallerRequest {
  // "<milliseconds since 1970>-<8 to 64 letters and digits>". The caller keeps
  // it when it submits the same request again.
  std::string request_id;
  // A class that had targets when the request was parsed.
  std::string class_name;
  // Time left for the whole answer, counted from the arrival of the request.
  base::Duration deadline{};
  // A request that is not idempotent runs at most once.
  bool is_idempotent = false;
  // The caller's query as JSON text, passed to the upstreams unread.
  std::string query;

  friend bool operator==(const CallerRequest&, const CallerRequest&) = default;
};

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_CALLER_REQUEST_H_
