// Creates and connects the parts of the query path.

#include "src/daemon/traffic.h"

#include <utility>

namespace medlarspread::daemon {

namespace {

// Sub-query identifiers of two incarnations must not collide: each incarnation
// counts up from a random number below this bound, and the space is too large
// for their ranges to overlap.
constexpr std::uint64_t kFirstIdBound = std::uint64_t{1} << 62;

}  // namespace

Traffic::Traffic(TrafficOptions options,
                 base::Clock clock,
                 std::shared_ptr<base::Random> random,
                 base::TaskRunner runner,
                 const blackboard::Blackboard& blackboard,
                 TrafficPorts ports)
    : options_(std::move(options)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      runner_(std::move(runner)),
      blackboard_(blackboard),
      ports_(std::move(ports)),
      windows_(std::make_shared<routing::LeafWindows>(options_.policy, clock_)),
      loads_(std::make_shared<routing::LoadTable>(clock_)),
      dispatchers_(std::make_shared<routing::DispatcherSet>(
          [this](const std::string& collection) {
            return MakeDispatcher(collection);
          })),
      client_(std::make_shared<routing::SubQueryClient>(
          random_->Below(kFirstIdBound),
          clock_,
          blackboard_,
          ports_.peers,
          dispatchers_,
          loads_)),
      server_(std::make_shared<routing::SubQueryServer>(clock_,
                                                        ports_.peers,
                                                        dispatchers_)),
      router_(std::make_shared<routing::Router>(
          options_.policy,
          blackboard_,
          loads_,
          [client = client_](const std::string& peer) {
            return client->is_silent(peer);
          })),
      queries_(std::make_unique<query::QueryService>(
          std::make_shared<const query::SessionDependencies>(
              query::SessionDependencies{
                  clock_, runner_, random_, blackboard_, router_, client_,
                  std::make_shared<admission::EntryGate>(),
                  std::make_shared<query::SharedRetryBudget>(), ports_.claim,
                  ports_.record}),
          options_.most_in_flight)) {}

std::shared_ptr<routing::Dispatcher> Traffic::MakeDispatcher(
    const std::string& collection) {
  routing::DispatcherPorts ports;
  ports.leaves = ports_.leaves;
  ports.observe = ports_.observe;
  ports.forward_second_send = [this](const routing::ShardRequest& request,
                                     const routing::ShardCallback& done) {
    return ForwardSecondSend(request, done);
  };
  return std::make_shared<routing::Dispatcher>(
      routing::DispatcherOptions{collection, options_.attempt_prefix,
                                 options_.policy, options_.second_send_share},
      clock_, random_, runner_.MakeSequence(), blackboard_, windows_,
      std::move(ports));
}

bool Traffic::ForwardSecondSend(const routing::ShardRequest& request,
                                const routing::ShardCallback& done) {
  const auto view = blackboard_.membership.Read();
  const auto self = view->members.find(view->self);
  if (self == view->members.end()) {
    return false;
  }
  const auto destination = router_->Choose(
      request.collection, request.class_name, {request.snapshot, request.range},
      {{self->second.region}, {view->self}});
  if (!destination) {
    return false;
  }
  routing::SubQueryRequest sub_query;
  sub_query.owner = destination->owner;
  sub_query.region = destination->region;
  sub_query.common = request;
  sub_query.ranges = {request.range};
  client_->Send(std::move(sub_query), [done](const blackboard::KeyRange&,
                                             routing::ShardResult result) {
    done(std::move(result));
  });
  return true;
}

}  // namespace medlarspread::daemon
