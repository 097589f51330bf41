// Implementation of the simulated fleet.

#include "tests/relay/update_fleet.h"

#include <algorithm>
#include <utility>

#include "src/base/rendezvous.h"

namespace medlarspread::relay {

namespace {

using base::Milliseconds;

constexpr const char* kConfiguration = "op/config";
constexpr const char* kLeafPrefix = "servers/";
constexpr const char* kLeavingLeaf = "servers/leaving";
constexpr int kHttpVersion = 11;
constexpr base::Duration kOneWay = Milliseconds(1);
constexpr base::Duration kOneWayFar = Milliseconds(12);
constexpr base::Duration kRenewal = Milliseconds(1'000);
constexpr base::Duration kHeartbeat = Milliseconds(40);

}  // namespace

Fleet::Fleet(FleetSize size, std::uint64_t seed, bool has_replicas)
    : random(seed) {
  if (has_replicas) {
    store.AddReplicas(base::Clock(time), kReplicaLag, kMostPageItems, seed);
  }
  blackboard::MembershipView view;
  view.is_settled = true;
  for (int index = 0; index < size.daemons; ++index) {
    const std::string name = "vm" + std::to_string(index);
    blackboard::Member& member = view.members[name];
    member.name = name;
    member.address = name;
    member.failure_domain = "n" + std::to_string(index % size.domains);
    member.processor_share =
        index / size.domains < size.strong_in_domain ? 0.5 : 0.125;
  }
  blackboard.membership.Write(view);
  store.Write(kConfiguration, "1");
  for (int key = 0; key < 10; ++key) {
    store.Write("servers/" + std::to_string(key), "ready");
  }
  store.Write(kLeavingLeaf, "ready");
  for (const auto& [name, member] : view.members) {
    daemons[name] =
        std::make_unique<FleetDaemon>(*this, name, random.Below(1'000'000));
  }
  for (const auto& [name, daemon] : daemons) {
    daemon->Start();
  }
  Beat();
  Advance(Milliseconds(10'000));
}

void Fleet::Restart(const std::string& name) {
  ended.push_back(std::move(daemons.at(name)));
  daemons[name] = std::make_unique<FleetDaemon>(*this, name,
                                                random.Below(1'000'000), false);
  daemons[name]->Start();
}

FleetDaemon& Fleet::FirstReader() {
  return *std::find_if(daemons.begin(), daemons.end(), [](const auto& row) {
            return row.second->is_reader();
          })->second;
}

std::vector<FleetDaemon*> Fleet::Ranked(const std::string& domain) {
  std::vector<std::string> strong;
  std::vector<std::string> weak;
  for (const auto& [name, member] : blackboard.membership.Read()->members) {
    if (member.failure_domain == domain) {
      (member.processor_share > 0.2 ? strong : weak).push_back(name);
    }
  }
  const std::string key = "store-reader/" + domain;
  std::vector<FleetDaemon*> ranked;
  for (const auto& names : {base::RankByRendezvous(key, std::move(strong)),
                            base::RankByRendezvous(key, std::move(weak))}) {
    for (const std::string& name : names) {
      ranked.push_back(daemons.at(name).get());
    }
  }
  return ranked;
}

int Fleet::Change() {
  ++version;
  store.Write(kConfiguration, std::to_string(version));
  acknowledged[version] = scheduler->Now();
  return version;
}

void Fleet::WriteAgain() {
  store.Write(kConfiguration, std::to_string(version));
}

bool Fleet::IsInForce(const FleetDaemon* left_out) const {
  return std::all_of(daemons.begin(), daemons.end(),
                     [this, left_out](const auto& row) {
                       const FleetDaemon& daemon = *row.second;
                       return !daemon.is_alive() || &daemon == left_out ||
                              daemon.version() >= version;
                     });
}

base::Duration Fleet::RemoveLeaf() {
  constexpr base::Duration kStep = Milliseconds(10);
  store.Write(kLeavingLeaf, std::nullopt);
  base::Duration passed{};
  const auto is_known = [](const auto& row) {
    return row.second->is_alive() && row.second->has_leaf(kLeavingLeaf);
  };
  while (std::any_of(daemons.begin(), daemons.end(), is_known) &&
         passed < kNever) {
    Advance(kStep);
    passed += kStep;
  }
  return passed;
}

base::Duration Fleet::LongestDelayAt(const FleetDaemon& daemon) const {
  base::Duration longest{};
  for (const auto& [each, time_acknowledged] : acknowledged) {
    const auto received = daemon.received(each);
    if (!received) {
      return kNever;
    }
    longest = std::max(longest, *received - time_acknowledged);
  }
  return longest;
}

base::Duration Fleet::AwaitInForceAt(const FleetDaemon* left_out) {
  constexpr base::Duration kStep = Milliseconds(10);
  base::Duration passed{};
  while (!IsInForce(left_out) && passed < kNever) {
    Advance(kStep);
    passed += kStep;
  }
  return passed;
}

void Fleet::Beat() {
  store.Write("servers/" + std::to_string(random.Below(10)),
              random.Below(20) == 0 ? "draining" : "ready");
  runner.After(kHeartbeat, [this] { Beat(); });
}

FleetDaemon::FleetDaemon(Fleet& fleet,
                         std::string name,
                         std::uint64_t seed,
                         bool has_peers)
    : fleet_(fleet),
      name_(std::move(name)),
      outages_(std::make_shared<store::OutageDetector>(
          store::OutageDetectorSettings{},
          base::Clock(fleet.time),
          base::Log())),
      store_(outages_->Observe(fleet.store.source(
          [this](std::int64_t era) {
            if (is_alive()) {
              source_->DidSeeEra(era);
            }
          },
          [this] { return !is_cut_off_ && state_ == VmState::kUp; }))),
      log_(static_cast<std::int64_t>(seed)) {
  const base::Clock clock(fleet_.time);
  store_.list = IfAlive(store_.list);
  store_.list_stale = IfAlive(store_.list_stale);
  store_.watch = IfAlive(store_.watch);
  if (has_peers) {
    blackboard_.membership.Write(*fleet_.blackboard.membership.Read());
  }
  source_ = std::make_shared<UpdateReader>(
      UpdateReaderSettings{{name_, domain(), {}}, {}}, clock, fleet_.runner,
      store_, outages_,
      [this](const std::string& peer, const std::string& target, auto done) {
        Fetch(peer, target, std::move(done));
      },
      blackboard_, [] {}, base::Log());
  server_ = std::make_shared<UpdateServer>(
      log_, fleet_.runner, [this] { return source_->freshness(); },
      [](const std::string&) {});
  follower_ = std::make_shared<store::Follower>(
      store::FollowerSettings{}, clock, std::make_shared<base::Random>(seed),
      fleet_.runner, source_->source(), outages_,
      [this](const store::Position& position) { log_.DidList(position); },
      [this](const std::vector<store::Event>& events,
             const store::Position& reached) { DidChange(events, reached); },
      [this](const store::Position& position) {
        log_.DidReach(position);
        server_->DidConfirm();
      },
      base::Log());
}

std::string FleetDaemon::domain() const {
  return fleet_.blackboard.membership.Read()->members.at(name_).failure_domain;
}

std::optional<base::MonotonicTime> FleetDaemon::received(int version) const {
  const auto row = received_.lower_bound(version);
  return row == received_.end() ? std::nullopt : std::optional(row->second);
}

void FleetDaemon::Start() {
  follower_->Start();
  fleet_.runner.After(fleet_.Chance(kRenewal), [this] { Renew(); });
}

void FleetDaemon::Kill(VmState state) {
  state_ = state;
  follower_->Stop();
}

void FleetDaemon::Thaw() {
  state_ = VmState::kUp;
  for (const auto& task : std::exchange(frozen_tasks_, {})) {
    task();
  }
}

void FleetDaemon::RunUnlessFrozen(const std::function<void()>& task) {
  if (state_ == VmState::kFrozen) {
    frozen_tasks_.push_back(task);
  } else if (is_alive()) {
    task();
  }
}

void FleetDaemon::Renew() {
  if (!is_alive()) {
    return;
  }
  const base::MonotonicTime now = fleet_.scheduler->Now();
  const base::Duration delay = source_->renewal_delay();
  if (delay > base::Duration{} && now - renewed_ < 2 * kRenewal) {
    fleet_.runner.After(delay, [this] { Renew(); });
    return;
  }
  renewed_ = now;
  fleet_.runner.After(kRenewal, [this] { Renew(); });
  if (!source_->is_reading_store()) {
    return;
  }
  store_.keep_lease(1, [this](const base::Status& renewed) {
    RunUnlessFrozen([this, renewed] {
      if (renewed.is_ok()) {
        source_->DidRenew();
        server_->DidConfirm();
      } else {
        source_->DidFailToRenew(renewed.error());
      }
    });
  });
}

void FleetDaemon::DidChange(const std::vector<store::Event>& events,
                            const store::Position& reached) {
  blackboard_.membership.Write(*fleet_.blackboard.membership.Read());
  for (const store::Event& event : events) {
    if (event.key == kConfiguration && event.value) {
      version_ = std::max(version_, std::stoi(*event.value));
      received_.try_emplace(version_, fleet_.scheduler->Now());
    } else if (event.key.starts_with(kLeafPrefix)) {
      if (event.value) {
        leaves_.insert(event.key);
      } else {
        removals_ += static_cast<int>(leaves_.erase(event.key));
      }
    }
  }
  log_.Append(events, reached);
  server_->DidAppend();
}

void FleetDaemon::Handle(const http1::Request& request,
                         http1::Respond respond) {
  (void)server_->Handle(request, std::move(respond));
}

void FleetDaemon::Fetch(const std::string& peer,
                        const std::string& target,
                        Done done) {
  const auto open = std::make_shared<Done>(std::move(done));
  const FleetDaemon* process = fleet_.daemons.at(peer).get();
  const auto give_up = [this, open, process, peer] {
    if (*open) {
      connected_to_.erase(process);
      Finish(open, base::MakeError(base::ErrorCode::kTimeout,
                                   base::Step::kPeerLink, peer, ""));
    }
  };
  const base::Duration timeout = AnswerTimeout(target);
  if (!connected_to_.contains(process) && timeout > kPeerTimeoutMargin) {
    // Waiting for a connection ends earlier than waiting for the response.
    fleet_.runner.After(kPeerTimeoutMargin, [this, process, give_up] {
      if (!connected_to_.contains(process)) {
        give_up();
      }
    });
  }
  fleet_.runner.After(timeout, give_up);
  Send(peer, target, open);
}

void FleetDaemon::Finish(const std::shared_ptr<Done>& done,
                         base::Result<StoreUpdate> update) {
  RunUnlessFrozen([done, update = std::move(update)] {
    if (const auto callback = std::exchange(*done, nullptr)) {
      callback(update);
    }
  });
}

void FleetDaemon::Send(const std::string& peer,
                       const std::string& target,
                       const std::shared_ptr<Done>& done) {
  const FleetDaemon& receiver = *fleet_.daemons.at(peer);
  const base::Duration way =
      receiver.domain() == domain() ? kOneWay : kOneWayFar;
  fleet_.runner.After(way, [this, target, peer, way, done] {
    FleetDaemon* other = fleet_.daemons.at(peer).get();
    if (is_isolated_ || other->is_isolated() ||
        other->state() == VmState::kDark) {
      return;
    }
    if (other->state() == VmState::kRefusing) {
      fleet_.runner.After(way, [this, peer, done] {
        Finish(done, base::MakeError(base::ErrorCode::kUnreachable,
                                     base::Step::kPeerLink, peer, ""));
      });
      return;
    }
    connected_to_.insert(other);
    const http1::Request request(boost::beast::http::verb::get, target,
                                 kHttpVersion);
    other->RunUnlessFrozen([this, other, request, peer, way, done] {
      other->Handle(
          request, [this, other, peer, way, done](http1::Response response) {
            if (other->state() != VmState::kUp || other->is_isolated()) {
              return;
            }
            fleet_.runner.After(way, [this, peer, done, response] {
              if (!is_isolated_) {
                Finish(done, DecodeResponse(response, peer));
              }
            });
          });
    });
  });
}

}  // namespace medlarspread::relay
