// Entry point for callers' requests: starts a session for each and counts those
// in flight, so that a stopping daemon can finish them.

#ifndef MEDLARSPREAD_QUERY_QUERY_SERVICE_H_
#define MEDLARSPREAD_QUERY_QUERY_SERVICE_H_

#include <atomic>
#include <memory>

#include "src/query/caller_answer.h"
#include "src/query/caller_request.h"
#include "src/query/query_session.h"

namespace medlarspread::query {

// Safe to use from any thread.
class QueryService {
 public:
  // `most_in_flight` bounds memory use; requests beyond it are refused at once.
  QueryService(std::shared_ptr<const SessionDependencies> dependencies,
               int most_in_flight);

  void Submit(CallerRequest request, AnswerCallback done);

  // From now on requests are refused as not executed.
  void StopAccepting();
  int in_flight() const { return in_flight_->load(); }

 private:
  // Returns nullopt if the request may start.
  std::optional<Refused> CheckAdmission(const CallerRequest& request) const;

  const std::shared_ptr<const SessionDependencies> dependencies_;
  const int most_in_flight_;
  std::atomic<bool> is_accepting_ = true;
  // Shared with the sessions, which may outlive this object.
  const std::shared_ptr<std::atomic<int>> in_flight_ =
      std::make_shared<std::atomic<int>>(0);
};

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_QUERY_SERVICE_H_
