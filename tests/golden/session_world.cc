// Connects the components of the golden sessions and records what they
// exchange.

#include "tests/golden/session_world.h"

#include <cstdio>
#include <utility>
#include <variant>

#include "src/base/overloaded.h"
#include "src/caller_api/answer_renderer.h"
#include "tests/golden/message_text.h"

namespace medlarspread::golden {

namespace {

using base::Milliseconds;
using blackboard::KeyRange;

constexpr char kCollection[] = "archive";
constexpr char kClass[] = "counter";
constexpr KeyRange kHalves[] = {{0, 32768}, {32768, 65536}};
constexpr base::Duration kSameRegion = base::Duration(500);
constexpr base::Duration kOtherRegion = Milliseconds(8);
// After this time the targets are known and a change is in force on all
// daemons.
constexpr base::Duration kSettle = Milliseconds(5000);
constexpr std::int64_t kWallStart = 1'764'691'200'000;

targets::TargetsSettings MakeTargetsSettings(const std::string& name) {
  targets::TargetsSettings settings;
  settings.self = name;
  // Every daemon reads the store itself, because there are no heartbeats here.
  settings.failure_domain = name;
  return settings;
}

}  // namespace

SessionWorld::SessionWorld()
    : time_(std::make_shared<base::ManualTime>(0, kWallStart)),
      scheduler_(std::make_shared<base::ManualScheduler>(time_)),
      clock_(time_),
      runner_(scheduler_),
      store_(runner_) {
  script = [](const std::string&, int) { return LeafScript{}; };
  int half = 0;
  for (const char* shard : {"low", "high"}) {
    for (const char* replica : {"1", "2"}) {
      blackboard::Upstream leaf;
      leaf.name = std::string(shard) + "-" + replica;
      leaf.address = leaf.name + ":80";
      leaf.region = "north";
      leaf.collection = kCollection;
      leaf.slots = 2;
      leaf.connections = 25;
      leaf.holdings = {{{7, 1}, kHalves[half]}};
      upstreams_.upstreams[leaf.name] = leaf;
    }
    ++half;
  }
  AddNode("vm-a", "north");
  AddNode("vm-b", "north");
  AddNode("vm-c", "south");
  Publish();
  for (auto& [name, node] : nodes_) {
    node->targets->Start();
  }
  Advance(kSettle);
  Change("vm-a", "change-zero", 0, 100);
  Advance(kSettle);
  record_.clear();
}

void SessionWorld::AddNode(const std::string& name, const std::string& region) {
  blackboard::Member member;
  member.name = name;
  member.region = region;
  member.failure_domain = name;
  member.incarnation = 1;
  membership_.members[name] = member;
  auto node = std::make_unique<Node>();
  node->name = name;
  node->random = std::make_shared<base::Random>(kSeed + nodes_.size());
  node->claims = std::make_unique<claims::ClaimService>(
      claims::ClaimSettings{}, clock_, *node->random, runner_, StoreOf(name),
      PeerPortOf(name), node->blackboard);
  node->targets = std::make_unique<targets::TargetsController>(
      MakeTargetsSettings(name), clock_, *node->random, runner_, StoreOf(name),
      PeerPortOf(name), node->blackboard);
  daemon::TrafficPorts ports;
  ports.leaves = LeafPortOf(name);
  ports.observe = [](const std::string&, const upstream::LeafReply&) {};
  ports.peers = PeerPortOf(name);
  ports.claim = node->claims->port();
  ports.record = [](const burn::RequestRecord&) {};
  node->traffic = std::make_unique<daemon::Traffic>(
      daemon::TrafficOptions{name + ".1", routing::QueueOwnerPolicy{}, 0.03,
                             100},
      clock_, node->random, runner_, node->blackboard, std::move(ports));
  node->blackboard.lifecycle.Write({blackboard::LifecycleState::kReady, ""});
  nodes_[name] = std::move(node);
}

void SessionWorld::Publish() {
  for (auto& [name, node] : nodes_) {
    membership_.self = name;
    membership_.is_settled = true;
    node->blackboard.membership.Write(membership_);
    node->blackboard.upstreams.Write(upstreams_);
  }
}

void SessionWorld::Write(const std::string& line) {
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  char time[32];
  std::snprintf(time, sizeof(time), "%10.3f ",
                static_cast<double>(clock_.Now().microseconds) /
                    kMicrosecondsPerMillisecond);
  record_ += time + line + "\n";
}

void SessionWorld::RecordNote(const std::string& text) {
  Write("# " + text);
}

void SessionWorld::Ask(const std::string& daemon,
                       const std::string& request_id,
                       bool is_idempotent,
                       base::Duration deadline) {
  Write("caller -> " + daemon + " " + request_id +
        (is_idempotent ? " idempotent" : " not idempotent"));
  nodes_.at(daemon)->traffic->queries().Submit(
      {request_id, kClass, deadline, is_idempotent, "{}"},
      [this, daemon](const query::CallerAnswer& answer) {
        const auto response = caller_api::RenderAnswer(answer);
        Write(daemon + " -> caller " + std::to_string(response.status) + " " +
              response.body);
      });
  scheduler_->RunReady();
}

void SessionWorld::Change(const std::string& daemon,
                          const std::string& change_id,
                          std::int64_t expected_revision,
                          int latency_ms) {
  Write("operator -> " + daemon + " change " + change_id + " on revision " +
        std::to_string(expected_revision) + ": latency_ms " +
        std::to_string(latency_ms));
  targets::SetClass set;
  set.targets = {kClass, kCollection, Milliseconds(latency_ms),
                 99.0,   1.0,         99.0};
  nodes_.at(daemon)->targets->Change(
      {change_id, expected_revision, set},
      [this, daemon, change_id](const targets::ChangeOutcome& outcome) {
        Write(daemon + " -> operator " + change_id + " " + TextOf(outcome));
      });
  scheduler_->RunReady();
}

void SessionWorld::SetHoldings(const std::string& leaf,
                               std::vector<std::int64_t> versions) {
  auto& upstream = upstreams_.upstreams.at(leaf);
  const KeyRange range = upstream.holdings.front().range;
  upstream.holdings.clear();
  for (const std::int64_t version : versions) {
    upstream.holdings.push_back({{version, 1}, range});
  }
  Publish();
}

void SessionWorld::SetState(const std::string& leaf,
                            blackboard::UpstreamState state) {
  upstreams_.upstreams.at(leaf).state = state;
  Publish();
}

peer::PeerPort SessionWorld::PeerPortOf(const std::string& sender) {
  return {[this, sender](const std::string& receiver, peer::Message message) {
    Write(sender + " -> " + receiver + " " + TextOf(message));
    const bool is_near = membership_.members.at(sender).region ==
                         membership_.members.at(receiver).region;
    runner_.After(is_near ? kSameRegion : kOtherRegion,
                  [this, sender, receiver, message = std::move(message)] {
                    Deliver(sender, receiver, message);
                  });
    return base::Status(base::Done{});
  }};
}

void SessionWorld::Deliver(const std::string& sender,
                           const std::string& receiver,
                           const peer::Message& message) {
  namespace wire = peer::wire;
  Node& node = *nodes_.at(receiver);
  const peer::Sender from{sender, 1};
  node.traffic->sub_query_client().DidHearFrom(sender);
  std::visit(base::Overloaded{
                 [&](const wire::SubQuery& body) {
                   node.traffic->sub_query_server().DidReceive(from, body);
                 },
                 [&](const wire::CancelSubQuery& body) {
                   node.traffic->sub_query_server().DidReceive(from, body);
                 },
                 [&](const wire::ShardReply& body) {
                   node.traffic->sub_query_client().DidReceive(from, body);
                 },
                 [&](const wire::ClaimRequest& body) {
                   node.claims->DidReceive(from, body);
                 },
                 [&](const wire::ClaimReply& body) {
                   node.claims->DidReceive(from, body);
                 },
                 [&](const wire::TargetsRequest& body) {
                   node.targets->DidReceive(from, body);
                 },
                 [&](const wire::TargetsBody& body) {
                   node.targets->DidReceive(from, body);
                 },
                 [](const wire::Heartbeat&) {},
             },
             message);
}

upstream::LeafPort SessionWorld::LeafPortOf(const std::string& daemon) {
  upstream::LeafPort port;
  port.send = [this, daemon](const blackboard::Upstream& leaf,
                             const upstream::LeafRequest& request,
                             upstream::LeafPort::Callback callback) {
    Write(daemon + " -> " + leaf.name + " " + TextOf(request));
    const LeafScript what = script(leaf.name, leaf_requests_[leaf.name]++);
    upstream::LeafReply reply;
    reply.outcome = what.outcome;
    reply.retry_after = what.retry_after;
    if (what.outcome == upstream::LeafOutcome::kAnswered) {
      reply.items = "[\"" + leaf.name + " v" +
                    std::to_string(request.snapshot.index_version) + "\"]";
    } else {
      reply.error =
          base::MakeError(base::ErrorCode::kUnavailable,
                          base::Step::kReadUpstream, leaf.address, "scripted");
    }
    runner_.After(what.delay, [this, daemon, name = leaf.name, reply,
                               attempt = request.attempt_id,
                               callback = std::move(callback)] {
      Write(name + " -> " + daemon + " reply to " + attempt + " " +
            upstream::LeafOutcomeName(reply.outcome) + " " + reply.items);
      callback(reply);
    });
  };
  port.cancel = [this, daemon](const blackboard::Upstream& leaf,
                               const std::string& attempt) {
    Write(daemon + " -> " + leaf.name + " cancel " + attempt);
  };
  return port;
}

store::Store SessionWorld::StoreOf(const std::string& daemon) {
  store::Store store = store_.store();
  auto swap = store.compare_and_swap;
  store.compare_and_swap = [this, daemon, swap](
                               const std::string& key, const std::string& value,
                               std::int64_t expected_version,
                               base::Duration timeout,
                               store::Store::WriteCallback callback) {
    Write(daemon + " -> store swap " + key + " expects " +
          std::to_string(expected_version));
    swap(key, value, expected_version, timeout,
         [this, daemon, key, callback = std::move(callback)](
             const base::Result<std::int64_t>& result) {
           Write("store -> " + daemon + " swap " + key + " " +
                 (result.is_ok() ? "version " + std::to_string(result.value())
                                 : result.error().code.message()));
           callback(result);
         });
  };
  auto read = store.read;
  store.read = [this, daemon, read](const std::string& key,
                                    base::Duration timeout,
                                    store::Store::ReadCallback callback) {
    Write(daemon + " -> store read " + key);
    read(key, timeout, std::move(callback));
  };
  store.list = [](const std::string&, base::Duration,
                  const store::Store::ListCallback& callback) {
    callback(std::vector<store::Entry>());
  };
  return store;
}

}  // namespace medlarspread::golden
