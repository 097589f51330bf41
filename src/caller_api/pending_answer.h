// A request that has not been answered yet. Shared by everything that may still
// answer it; only the first answer is sent.

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
  // Adds 1 to `in_flight` until the request is answered.
  PendingAnswer(std::string request_id,
                http::Responder respond,
                std::shared_ptr<std::atomic<int>> in_flight);
  // Answers that the outcome is unknown if there was no answer.
  ~PendingAnswer();
  PendingAnswer(const PendingAnswer&) = delete;
  PendingAnswer& operator=(const PendingAnswer&) = delete;

  // If `answer` is for another request, it is dropped and the caller is told
  // that the outcome is unknown.
  void Answer(const query::CallerAnswer& answer);

 private:
  const std::string request_id_;
  const http::Responder respond_;
  const std::shared_ptr<std::atomic<int>> in_flight_;
  std::atomic<bool> is_answered_ = false;
};

}  // namespace medlarspread::caller_api

#endif  // MEDLARSPREAD_CALLER_API_PENDING_ANSWER_H_
