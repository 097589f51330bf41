// A client that keeps its connection open for the next request.

#ifndef MEDLARSPREAD_REVIEW_STANDINS_CALLER_H_
#define MEDLARSPREAD_REVIEW_STANDINS_CALLER_H_

#include <optional>
#include <string>

#include "review/standins/http.h"

namespace medlarspread::review {

struct CallerRequest {
  std::string method;
  std::string host;
  std::string path;
  std::string id;
  std::string body;
  int deadline_ms = 0;
};

struct CallerOutcome {
  // Zero if there was no complete answer.
  int status = 0;
  std::string body;
  // The connection had carried an earlier request.
  bool was_kept = false;
  // The whole request was written, and the connection ended before the deadline
  // and without an answer.
  bool was_cut = false;
};

class Caller {
 public:
  explicit Caller(int port) : port_(port) {}

  CallerOutcome Send(const CallerRequest& request);

 private:
  const int port_;
  std::optional<Connection> connection_;
};

}  // namespace medlarspread::review

#endif  // MEDLARSPREAD_REVIEW_STANDINS_CALLER_H_
