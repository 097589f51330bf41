// One request between its arrival and its answer. Shared by whoever may still
// answer it; the first answer counts.

#ifndef MEDLARSPREAD_CALLER_API_PENDING_ANSWER_H_
#define MEDLARSPREAD_CALLER_API_PENDING_ANSWER_H_

#include <atomic>
#include <memory>
#include <string>

#include "src/http/listener.h"
#include "src/query/caller_answer.h"

namespace medlarspread::caller_api {

class PendingAnswer {
 public:
  // Counts itself in `in_flight` until it is answered.
  PendingAnswer(std::string request_id,
                http::Responder respond,
                std::shared_ptr<std::atomic<int>> in_flight);
  // If nobody has answered by then, nobody will: the outcome is unknown.
  ~PendingAnswer();
  PendingAnswer(const PendingAnswer&) = delete;
  PendingAnswer& operator=(const PendingAnswer&) = delete;

  // An answer to another request is not passed on; the outcome is then
  // unknown.
  void Answer(const query::CallerAnswer& answer);

 private:
  const std::string request_id_;
  const http::Responder respond_;
  const std::shared_ptr<std::atomic<int>> in_flight_;
  std::atomic<bool> is_answered_ = false;
};

}  // namespace medlarspread::caller_api

#endif  // MEDLARSPREAD_CALLER_API_PENDING_ANSWER_H_
