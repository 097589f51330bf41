// Accepts the opaque requests of callers: finds the route, selects the
// collections, and starts a session for each request.

#ifndef MEDLARSPREAD_QUERY_FORWARD_SERVICE_H_
#define MEDLARSPREAD_QUERY_FORWARD_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "src/admission/backlog_gate.h"
#include "src/admission/extra_send_budget.h"
#include "src/blackboard/blackboard.h"
#include "src/burn/request_record.h"
#include "src/quarantine/quarantine.h"
#include "src/query/fan_out_session.h"
#include "src/query/forwarded_request.h"
#include "src/query/gather_session.h"
#include "src/query/handover_session.h"
#include "src/routing/aggregator_table.h"
#include "src/routing/peer_health.h"
#include "src/routing/route_table.h"
#include "src/routing/weighted_round_robin.h"

namespace medlarspread::query {

// A request as received, before its route is known.
struct IncomingRequest {
  std::string request_id;
  std::string host;
  // Absent if the caller sets none; the route's timeout then applies.
  std::optional<base::Duration> deadline;
  // How long the request waited before it was read.
  base::Duration waited{};
  // Set if another daemon handed over a part of the request.
  std::optional<upstream::Handover> handover;
  // Set by ForwardService.
  quarantine::Fingerprint fingerprint;
  bool is_retrial = false;
  std::shared_ptr<const http1::Request> message;
};

class ForwardService {
 public:
  struct Options {
    int most_in_flight = 2000;
    // The bound for each collection over all daemons together; read for each
    // request.
    std::function<admission::ExtraSendBound()> extra_sends;
    base::Ablation ablation = {};
  };

  struct Ports {
    upstream::ForwardPort leaves;
    // Connections to the daemons that fan out parts for others.
    upstream::ForwardPort peers;
    std::function<void(const burn::RequestRecord&)> record;
    // Called with the number of sends made for another daemon's request. The
    // request itself is recorded at that daemon.
    std::function<void(int sends)> did_fan_out_for_peer;
    // Called when a send beyond the first of its shard was started, and when a
    // send to a leaf ended.
    std::function<void(const ShardAttempt&)> did_repeat =
        [](const ShardAttempt&) {};
    std::function<void(const upstream::ForwardReply&)> did_end_send =
        [](const upstream::ForwardReply&) {};
    // Called when a request was refused because it is quarantined.
    std::function<void()> did_quarantine = [] {};
  };

  ForwardService(Options options,
                 base::Clock clock,
                 base::TaskRunner traffic,
                 const blackboard::Blackboard& blackboard,
                 std::shared_ptr<routing::LeafTracker> tracker,
                 std::shared_ptr<quarantine::Quarantine> quarantine,
                 Ports ports,
                 base::Log log);

  using Abandon = std::function<void()>;

  // Calls `done` once, unless the returned function is called first, which
  // cancels the request.
  Abandon Submit(IncomingRequest request, ForwardedCallback done);

  // Returns how many shards are missing from a part that another daemon handed
  // over; absent if the part is not in progress. If `most_missing` is set, the
  // part is answered as soon as at most that many are missing.
  std::optional<int> CheckPart(const std::string& request_id,
                               std::optional<int> most_missing);

  int in_flight() const { return in_flight_->requests; }
  // This daemon's share of the load on the collection's leaves, 0 to 1.
  double PartOf(const std::string& collection) const;

 private:
  // This daemon's share of a collection's capacity.
  struct Allotment {
    double part;
    admission::ExtraSendBudget extra_sends;
  };

  // Requests in progress. Shared, since sessions may outlive the service.
  struct InFlight {
    int requests = 0;
    // Keyed by the first collection that the requests go to.
    std::map<std::string, admission::BacklogGate> gates;
    // The sequence number of the last request that entered a backlog gate.
    std::uint64_t tickets = 0;
    // Parts of other daemons' requests, keyed by request identifier.
    std::map<std::string, std::weak_ptr<FanOutSession>> parts_for_peers;
  };

  // Refuses the request if the requests already admitted leave too little time
  // for it at the leaves.
  std::optional<Refused> CheckBacklog(
      const IncomingRequest& request,
      const blackboard::WorkRoute& route,
      const std::vector<std::string>& collections);
  // Counts the request as in progress, and as part of the gate's backlog, until
  // the returned guard is destroyed.
  std::shared_ptr<void> EnterGate(const blackboard::WorkRoute& route,
                                  const std::string& gate);
  admission::ExpectedWork ExpectWork(const blackboard::WorkRoute& route,
                                     base::Duration waited) const;
  // The average number of requests per collection that its leaves execute
  // concurrently for this daemon.
  double SlotsOf(const std::vector<std::string>& collections);
  std::optional<Refused> CheckAdmission(const IncomingRequest& request) const;
  // Refuses the request if the quarantine blocks it.
  std::optional<Refused> CheckQuarantine(const IncomingRequest& request) const;
  // Refuses a request that another daemon handed over if it cannot be fanned
  // out here.
  std::optional<Refused> CheckHandover(const IncomingRequest& request,
                                       const blackboard::WorkRoute* route);
  std::vector<std::string> CollectionsOf(const blackboard::WorkRoute& route);
  Abandon StartSession(IncomingRequest request,
                       routing::RouteTable::RoutePointer route,
                       ForwardedCallback done);
  // Starts a part that another daemon handed over. It was admitted by the
  // backlog gate there.
  Abandon StartPart(IncomingRequest request,
                    routing::RouteTable::RoutePointer route,
                    ForwardedCallback done);
  ForwardedRequest MakeForwarded(IncomingRequest request,
                                 routing::RouteTable::RoutePointer route);
  Abandon StartGather(ForwardedRequest request,
                      const std::vector<routing::AggregatorPart>& parts,
                      FanOutSession::Done done);
  // Creates the work on a part: at the first aggregator that is not being
  // avoided, or on this daemon.
  GatherPart MakePart(const ForwardedRequest& request,
                      const routing::AggregatorPart& part,
                      FanOutSession::Done done);
  std::shared_ptr<FanOutSession> FanOutHere(ForwardedRequest request,
                                            std::vector<std::string> shards,
                                            FanOutSession::Done done);
  // Updates the allotments of `collections` to the current set of daemons.
  void UpdateAllotments(const std::vector<std::string>& collections,
                        const routing::AggregatorChoice& choice);
  const routing::RouteTable& Routes();
  std::shared_ptr<const routing::LeafIndex> Index();
  admission::ExtraSendBudget& BudgetOf(const std::string& collection);
  void Record(const blackboard::WorkRoute& route,
              std::int64_t asked_wall_ms,
              const ForwardedAnswer& answer,
              const FanOutSummary& summary) const;

  const Options options_;
  const base::Clock clock_;
  const base::TaskRunner traffic_;
  const blackboard::Blackboard& blackboard_;
  const std::shared_ptr<routing::LeafTracker> tracker_;
  const std::shared_ptr<quarantine::Quarantine> quarantine_;
  const Ports ports_;
  const base::Log log_;
  const std::shared_ptr<routing::PeerHealth> peer_health_;
  std::shared_ptr<const FanOutDependencies> dependencies_;
  std::shared_ptr<const HandoverDependencies> handover_;
  std::shared_ptr<const blackboard::RoutesView> routes_view_;
  std::unique_ptr<routing::RouteTable> routes_;
  std::shared_ptr<const routing::LeafIndex> index_;
  routing::WeightedRoundRobin turns_;
  routing::AggregatorTable aggregators_;
  // Keyed by collection.
  std::map<std::string, Allotment> allotments_;
  const std::shared_ptr<InFlight> in_flight_ = std::make_shared<InFlight>();
};

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_FORWARD_SERVICE_H_
