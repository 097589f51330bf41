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

// A request as it came, before its route is known.
struct IncomingRequest {
  std::string request_id;
  std::string host;
  // Absent if the caller names none: then the route's timeout holds.
  std::optional<base::Duration> deadline;
  // How long it has waited already before it was read.
  base::Duration waited{};
  // Set if another daemon handed a part of it over.
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
    // Of all daemons together, for each collection. Read at each request.
    std::function<admission::ExtraSendBound()> extra_sends;
    base::Ablation ablation = {};
  };

  struct Ports {
    upstream::ForwardPort leaves;
    // To the daemons that fan out for others.
    upstream::ForwardPort peers;
    std::function<void(const burn::RequestRecord&)> record;
    // A request of another daemon took so many sends; it is recorded there.
    std::function<void(int sends)> did_fan_out_for_peer;
    // A send beyond the first of its shard went out, and a send to a leaf
    // ended.
    std::function<void(const ShardAttempt&)> did_repeat =
        [](const ShardAttempt&) {};
    std::function<void(upstream::LeafOutcome)> did_end_send =
        [](upstream::LeafOutcome) {};
    // A request was refused since it ends the leaves that run it.
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

  // Answers once, unless the returned function is called first, which gives
  // the work up.
  Abandon Submit(IncomingRequest request, ForwardedCallback done);

  // How many shards are missing from a part that another daemon handed over;
  // absent if it is not in work. If `most_missing` is set, it is answered as
  // soon as no more than that are missing.
  std::optional<int> CheckPart(const std::string& request_id,
                               std::optional<int> most_missing);

  int in_flight() const { return in_work_->requests; }
  // This daemon's part of what the collection's leaves bear from all daemons,
  // 0 to 1.
  double PartOf(const std::string& collection) const;

 private:
  // What this daemon may use of a collection.
  struct Allotment {
    double part;
    admission::ExtraSendBudget extra_sends;
  };

  // What is in work now. Shared, since sessions may outlive the service.
  struct InWork {
    int requests = 0;
    // By the first collection that the requests go to.
    std::map<std::string, admission::BacklogGate> gates;
    // Of the last request that entered a gate.
    std::uint64_t tickets = 0;
    // Parts of other daemons' requests, by the request's identifier.
    std::map<std::string, std::weak_ptr<FanOutSession>> parts_for_peers;
  };

  // Whether what was admitted already leaves time for the request at the
  // leaves.
  std::optional<Refused> CheckBacklog(
      const IncomingRequest& request,
      const blackboard::WorkRoute& route,
      const std::vector<std::string>& collections);
  // The request counts as in work, and as ahead of others at the gate, until
  // the returned guard is gone.
  std::shared_ptr<void> EnterGate(const blackboard::WorkRoute& route,
                                  const std::string& gate);
  admission::ExpectedWork ExpectWork(const blackboard::WorkRoute& route,
                                     base::Duration waited) const;
  // Requests that the leaves of a collection work on at once for this daemon,
  // over all of them on average.
  double SlotsOf(const std::vector<std::string>& collections);
  std::optional<Refused> CheckAdmission(const IncomingRequest& request) const;
  // Whether the request ends the leaves that run it.
  std::optional<Refused> CheckQuarantine(const IncomingRequest& request) const;
  // Whether a request that another daemon handed over may be fanned out here.
  std::optional<Refused> CheckHandover(const IncomingRequest& request,
                                       const blackboard::WorkRoute* route);
  std::vector<std::string> CollectionsOf(const blackboard::WorkRoute& route);
  Abandon StartSession(IncomingRequest request,
                       routing::RouteTable::RoutePointer route,
                       ForwardedCallback done);
  // A part that another daemon handed over; it has passed the gate there.
  Abandon StartPart(IncomingRequest request,
                    routing::RouteTable::RoutePointer route,
                    ForwardedCallback done);
  ForwardedRequest MakeForwarded(IncomingRequest request,
                                 routing::RouteTable::RoutePointer route);
  Abandon StartGather(ForwardedRequest request,
                      const std::vector<routing::AggregatorPart>& parts,
                      FanOutSession::Done done);
  // The work on a part, at the first peer that is not avoided or here.
  GatherPart MakePart(const ForwardedRequest& request,
                      const routing::AggregatorPart& part,
                      FanOutSession::Done done);
  std::shared_ptr<FanOutSession> FanOutHere(ForwardedRequest request,
                                            std::vector<std::string> shards,
                                            FanOutSession::Done done);
  // Brings the rows of `collections` up to date with the daemons of now.
  void ShareOut(const std::vector<std::string>& collections,
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
  // By collection.
  std::map<std::string, Allotment> allotments_;
  const std::shared_ptr<InWork> in_work_ = std::make_shared<InWork>();
};

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_FORWARD_SERVICE_H_
