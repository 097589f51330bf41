// The environment of routing and query tests, driven by the test: manual time,
// a blackboard with daemons and leaves, and leaves that record each send and
// reply when the test says so.

#ifndef MEDLARSPREAD_TESTS_SUPPORT_ROUTING_WORLD_H_
#define MEDLARSPREAD_TESTS_SUPPORT_ROUTING_WORLD_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/routing/dispatcher.h"
#include "src/routing/dispatcher_set.h"

namespace medlarspread::testing_support {

constexpr std::uint64_t kSeed = 20261202;
constexpr blackboard::Snapshot kSnapshot{7, 1};
constexpr blackboard::KeyRange kLowerHalf{0, 32768};
constexpr blackboard::KeyRange kUpperHalf{32768, 65536};

// A send that a leaf has received.
struct LeafSend {
  std::string leaf;
  upstream::LeafRequest request;
  upstream::LeafPort::Callback reply;
  bool is_replied = false;
};

struct RoutingWorld {
  std::shared_ptr<base::ManualTime> time =
      std::make_shared<base::ManualTime>(1'000'000, 1'700'000'000'000);
  std::shared_ptr<base::ManualScheduler> scheduler =
      std::make_shared<base::ManualScheduler>(time);
  base::Clock clock{time};
  base::TaskRunner runner{scheduler};
  std::shared_ptr<base::Random> random = std::make_shared<base::Random>(kSeed);
  blackboard::Blackboard blackboard;
  std::vector<LeafSend> sends;
  std::vector<std::string> cancelled_attempts;
  std::vector<routing::ShardRequest> forwarded;
  std::vector<routing::ShardCallback> forward_callbacks;
  bool has_other_region = false;

  RoutingWorld() { AddDaemon("vm-a", "north"); }

  void AddDaemon(const std::string& name, const std::string& region) {
    auto view = *blackboard.membership.Read();
    view.self = "vm-a";
    blackboard::Member member;
    member.name = name;
    member.region = region;
    view.members[name] = member;
    blackboard.membership.Write(view);
  }

  void AddLeaf(const std::string& name,
               const std::string& region,
               std::vector<blackboard::Holding> holdings,
               int slots = 2) {
    auto view = *blackboard.upstreams.Read();
    blackboard::Upstream leaf;
    leaf.name = name;
    leaf.address = name + ":1";
    leaf.region = region;
    leaf.collection = "archive";
    leaf.slots = slots;
    leaf.connections = 25;
    leaf.holdings = std::move(holdings);
    view.upstreams[name] = leaf;
    blackboard.upstreams.Write(view);
  }

  void SetLeafState(const std::string& name, blackboard::UpstreamState state) {
    auto view = *blackboard.upstreams.Read();
    view.upstreams.at(name).state = state;
    blackboard.upstreams.Write(view);
  }

  upstream::LeafPort LeafPort() {
    upstream::LeafPort port;
    port.send = [this](const blackboard::Upstream& leaf,
                       upstream::LeafRequest request,
                       upstream::LeafPort::Callback callback) {
      sends.push_back({leaf.name, std::move(request), std::move(callback)});
    };
    port.cancel = [this](const blackboard::Upstream&, std::string attempt) {
      cancelled_attempts.push_back(std::move(attempt));
    };
    return port;
  }

  std::shared_ptr<routing::Dispatcher> MakeDispatcher(
      const std::string& collection,
      const routing::Policy& policy = routing::QueueOwnerPolicy{}) {
    routing::DispatcherPorts ports;
    ports.leaves = LeafPort();
    ports.observe = [](const std::string&, const upstream::LeafReply&) {};
    ports.forward_second_send = [this](const routing::ShardRequest& request,
                                       routing::ShardCallback callback) {
      if (has_other_region) {
        forwarded.push_back(request);
        forward_callbacks.push_back(std::move(callback));
      }
      return has_other_region;
    };
    return std::make_shared<routing::Dispatcher>(
        routing::DispatcherOptions{collection, "vm-a.1", policy}, clock, random,
        runner.MakeSequence(), blackboard,
        std::make_shared<routing::LeafWindows>(policy, clock),
        std::move(ports));
  }

  std::shared_ptr<routing::DispatcherSet> MakeDispatcherSet() {
    return std::make_shared<routing::DispatcherSet>(
        [this](const std::string& collection) {
          return MakeDispatcher(collection);
        });
  }

  // Replies to the send at `index` with a complete, correct reply.
  void Answer(std::size_t index, const std::string& items = "[1]") {
    upstream::LeafReply reply;
    reply.outcome = upstream::LeafOutcome::kAnswered;
    reply.items = items;
    Reply(index, std::move(reply));
  }

  void Fail(std::size_t index,
            upstream::LeafOutcome outcome,
            base::Duration retry_after = {}) {
    upstream::LeafReply reply;
    reply.outcome = outcome;
    reply.retry_after = retry_after;
    reply.error = base::MakeError(base::ErrorCode::kUnavailable,
                                  base::Step::kReadUpstream,
                                  sends.at(index).leaf, "from the test");
    Reply(index, std::move(reply));
  }

  void Reply(std::size_t index, upstream::LeafReply reply) {
    sends.at(index).is_replied = true;
    sends.at(index).reply(std::move(reply));
    scheduler->RunReady();
  }
};

}  // namespace medlarspread::testing_support

#endif  // MEDLARSPREAD_TESTS_SUPPORT_ROUTING_WORLD_H_
