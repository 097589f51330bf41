// Takes the opaque requests of callers: finds the route, picks the
// collections, and starts a session for each.
//
// Runs on the traffic thread.

#ifndef MEDLARSPREAD_QUERY_FORWARD_SERVICE_H_
#define MEDLARSPREAD_QUERY_FORWARD_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "src/admission/retry_budget.h"
#include "src/blackboard/blackboard.h"
#include "src/burn/request_record.h"
#include "src/query/fan_out_session.h"
#include "src/query/forwarded_request.h"
#include "src/routing/route_table.h"
#include "src/routing/weighted_turns.h"

namespace medlarspread::query {

// A request as it came, before its route is known.
struct IncomingRequest {
  std::string request_id;
  std::string host;
  // Absent if the caller names none: then the route's timeout holds.
  std::optional<base::Duration> deadline;
  std::shared_ptr<const http1::Request> message;
};

// The bounds of the sends beyond the first of each request. They hold over all
// daemons together, so each keeps to its part.
struct ExtraSendLimits {
  // Extra sends to a collection as a share of the requests to it.
  double share = 0.1;
  // Extra sends of this daemon at once, after a time without any.
  double burst = 3.0;
};

class ForwardService {
 public:
  struct Options {
    int most_in_flight = 2000;
    // Read when a collection is first used.
    std::function<ExtraSendLimits()> extra_sends;
  };

  struct Ports {
    upstream::ForwardPort leaves;
    std::function<void(const burn::RequestRecord&)> record;
  };

  ForwardService(Options options,
                 base::Clock clock,
                 base::TaskRunner traffic,
                 const blackboard::Blackboard& blackboard,
                 std::shared_ptr<routing::LeafTracker> tracker,
                 Ports ports,
                 base::Log log);

  using Abandon = std::function<void()>;

  // Answers once, unless the returned function is called first, which gives
  // the work up.
  Abandon Submit(IncomingRequest request, ForwardedCallback done);

  int in_flight() const { return *in_flight_; }

 private:
  std::optional<Refused> CheckAdmission(const IncomingRequest& request) const;
  std::vector<std::string> CollectionsOf(const blackboard::WorkRoute& route);
  Abandon StartSession(IncomingRequest request,
                       routing::RouteTable::RoutePointer route,
                       ForwardedCallback done);
  const routing::RouteTable& Routes();
  std::shared_ptr<const routing::LeafIndex> Index();
  admission::RetryBudget& BudgetOf(const std::string& collection);
  void Record(const blackboard::WorkRoute& route,
              std::int64_t asked_wall_ms,
              const ForwardedAnswer& answer,
              const FanOutSummary& summary) const;

  const Options options_;
  const base::Clock clock_;
  const blackboard::Blackboard& blackboard_;
  const std::shared_ptr<routing::LeafTracker> tracker_;
  const Ports ports_;
  const base::Log log_;
  std::shared_ptr<const FanOutDependencies> dependencies_;
  std::shared_ptr<const blackboard::RoutesView> routes_view_;
  std::unique_ptr<routing::RouteTable> routes_;
  std::shared_ptr<const routing::LeafIndex> index_;
  routing::WeightedTurns turns_;
  std::map<std::string, admission::RetryBudget> budgets_;
  const std::shared_ptr<int> in_flight_ = std::make_shared<int>(0);
};

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_FORWARD_SERVICE_H_
