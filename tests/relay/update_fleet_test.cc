// Measures the time from the store's acknowledgement of a change until the last
// daemon of a fleet has it. Runs in virtual time and without a network: the
// production classes make the decisions, and only the store and the connections
// between daemons are simulated.

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "src/relay/propagation_delays.h"
#include "src/relay/update_reader.h"
#include "src/relay/update_server.h"
#include "src/store/event_log.h"
#include "src/store/follower.h"
#include "tests/support/model_store.h"

namespace medlarspread::relay {
namespace {

using base::Milliseconds;
using tests::ModelStore;
using tests::OutageKind;

constexpr const char* kConfiguration = "op/config";
constexpr int kHttpVersion = 11;
constexpr base::Duration kOneWay = Milliseconds(1);
constexpr base::Duration kOneWayFar = Milliseconds(12);
constexpr base::Duration kRenewal = Milliseconds(1'000);
constexpr base::Duration kHeartbeat = Milliseconds(40);

struct FleetSize {
  int daemons = 0;
  // The first daemons of each domain are strong; the others have an eighth of a
  // core.
  int strong_in_domain = 0;
};

class Fleet;

// The parts of a daemon that follow the store.
class FleetDaemon {
 public:
  // A daemon that has no peers yet learns them with its first list.
  FleetDaemon(Fleet& fleet,
              std::string name,
              std::uint64_t seed,
              bool has_peers = true);

  void Start();
  // From then on it neither sends requests nor answers them.
  void Kill();
  void Handle(const http1::Request& request, http1::Respond respond);
  bool is_alive() const { return is_alive_; }
  // While cut off, it cannot reach the store.
  void set_cut_off(bool is_cut_off) { is_cut_off_ = is_cut_off; }
  bool is_reader() const { return source_->is_reader(); }
  // The highest version received so far.
  int version() const { return version_; }
  std::string domain() const;

 private:
  void DidChange(const std::vector<store::Event>& events,
                 const store::Position& reached);
  void Renew();
  void Fetch(const std::string& peer,
             const std::string& target,
             const std::function<void(base::Result<StoreUpdate>)>& done);

  Fleet& fleet_;
  const std::string name_;
  blackboard::Blackboard blackboard_;
  bool is_alive_ = true;
  bool is_cut_off_ = false;
  int version_ = 0;
  store::EventSource store_;
  store::EventLog log_;
  std::shared_ptr<UpdateReader> source_;
  std::shared_ptr<UpdateServer> server_;
  std::shared_ptr<store::Follower> follower_;
};

class Fleet {
 public:
  Fleet(FleetSize size, std::uint64_t seed, bool has_replicas = false)
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
      member.failure_domain = "n" + std::to_string(index % kDomains);
      member.processor_share =
          index / kDomains < size.strong_in_domain ? 0.5 : 0.125;
    }
    blackboard.membership.Write(view);
    store.Write(kConfiguration, "1");
    for (int key = 0; key < 10; ++key) {
      store.Write("servers/" + std::to_string(key), "ready");
    }
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

  void Advance(base::Duration time_to_pass) {
    scheduler->Advance(time_to_pass);
  }
  // A random duration below `most`.
  base::Duration Chance(base::Duration most) {
    return base::Duration(static_cast<std::int64_t>(
        random.Below(static_cast<std::uint64_t>(most.count()))));
  }
  // Starts a new process in place of a killed one.
  void Restart(const std::string& name) {
    ended.push_back(std::move(daemons.at(name)));
    daemons[name] = std::make_unique<FleetDaemon>(
        *this, name, random.Below(1'000'000), false);
    daemons[name]->Start();
  }
  // The first daemon that reads the store for its failure domain.
  FleetDaemon& FirstReader() {
    return *std::find_if(daemons.begin(), daemons.end(), [](const auto& row) {
              return row.second->is_reader();
            })->second;
  }
  int Change() {
    ++version;
    store.Write(kConfiguration, std::to_string(version));
    return version;
  }
  bool IsInForce(const FleetDaemon* left_out) const {
    return std::all_of(daemons.begin(), daemons.end(),
                       [this, left_out](const auto& row) {
                         const FleetDaemon& daemon = *row.second;
                         return !daemon.is_alive() || &daemon == left_out ||
                                daemon.version() >= version;
                       });
  }
  // Returns the time from now until the last daemon has the newest version;
  // kNever if that takes much longer than the bound.
  base::Duration AwaitInForce() { return AwaitInForceAt(nullptr); }
  base::Duration AwaitInForceButFor(const FleetDaemon& left_out) {
    return AwaitInForceAt(&left_out);
  }

  static constexpr int kDomains = 3;
  static constexpr base::Duration kNever = Milliseconds(20'000);
  static constexpr base::Duration kReplicaLag = Milliseconds(3'000);
  static constexpr std::size_t kMostPageItems = 50;

  const std::shared_ptr<base::ManualTime> time =
      std::make_shared<base::ManualTime>(1'000'000, 0);
  const std::shared_ptr<base::ManualScheduler> scheduler =
      std::make_shared<base::ManualScheduler>(time);
  const base::TaskRunner runner{scheduler};
  base::Random random;
  blackboard::Blackboard blackboard;
  ModelStore store{runner};
  std::map<std::string, std::unique_ptr<FleetDaemon>> daemons;
  // Killed daemons whose timers and requests are still pending.
  std::vector<std::unique_ptr<FleetDaemon>> ended;
  int version = 1;

 private:
  base::Duration AwaitInForceAt(const FleetDaemon* left_out) {
    constexpr base::Duration kStep = Milliseconds(10);
    base::Duration passed{};
    while (!IsInForce(left_out) && passed < kNever) {
      Advance(kStep);
      passed += kStep;
    }
    return passed;
  }

  // Simulates the steady writes of leaves.
  void Beat() {
    store.Write("servers/" + std::to_string(random.Below(10)),
                random.Below(20) == 0 ? "draining" : "ready");
    runner.After(kHeartbeat, [this] { Beat(); });
  }
};

FleetDaemon::FleetDaemon(Fleet& fleet,
                         std::string name,
                         std::uint64_t seed,
                         bool has_peers)
    : fleet_(fleet),
      name_(std::move(name)),
      store_(fleet.store.source(
          [this](std::int64_t era) {
            if (is_alive_) {
              source_->DidSeeEra(era);
            }
          },
          [this] { return !is_cut_off_; })),
      log_(static_cast<std::int64_t>(seed)) {
  const base::Clock clock(fleet_.time);
  if (has_peers) {
    blackboard_.membership.Write(*fleet_.blackboard.membership.Read());
  }
  source_ = std::make_shared<UpdateReader>(
      UpdateReaderSettings{{name_, domain(), {}}, {}}, clock, fleet_.runner,
      store_,
      [this](const std::string& peer, const std::string& target, auto done) {
        Fetch(peer, target, done);
      },
      blackboard_, [] {}, base::Log());
  server_ = std::make_shared<UpdateServer>(
      log_, fleet_.runner, [this] { return source_->freshness(); },
      [](const std::string&) {});
  follower_ = std::make_shared<store::Follower>(
      store::FollowerSettings{}, clock, std::make_shared<base::Random>(seed),
      fleet_.runner, source_->source(),
      [this](const store::Position& position) { log_.DidList(position); },
      [this](const std::vector<store::Event>& events,
             const store::Position& reached) { DidChange(events, reached); },
      [this](const store::Position& position) {
        const bool is_restored = position.era > log_.position().era;
        log_.DidReach(position);
        if (is_restored) {
          server_->DidAppend();
        }
      },
      base::Log());
}

std::string FleetDaemon::domain() const {
  return fleet_.blackboard.membership.Read()->members.at(name_).failure_domain;
}

void FleetDaemon::Start() {
  follower_->Start();
  fleet_.runner.After(fleet_.Chance(kRenewal), [this] { Renew(); });
}

void FleetDaemon::Kill() {
  is_alive_ = false;
  follower_->Stop();
}

void FleetDaemon::Renew() {
  if (!is_alive_) {
    return;
  }
  fleet_.runner.After(kRenewal, [this] { Renew(); });
  if (!source_->is_reading_store()) {
    return;
  }
  store_.keep_lease(1, [this](const base::Status& renewed) {
    if (!is_alive_) {
      return;
    }
    if (renewed.is_ok()) {
      source_->DidRenew();
    } else {
      source_->DidFailToRenew(renewed.error());
    }
  });
}

void FleetDaemon::DidChange(const std::vector<store::Event>& events,
                            const store::Position& reached) {
  blackboard_.membership.Write(*fleet_.blackboard.membership.Read());
  for (const store::Event& event : events) {
    if (event.key == kConfiguration && event.value) {
      version_ = std::max(version_, std::stoi(*event.value));
    }
  }
  log_.Append(events, reached);
  server_->DidAppend();
}

void FleetDaemon::Handle(const http1::Request& request,
                         http1::Respond respond) {
  (void)server_->Handle(request, std::move(respond));
}

void FleetDaemon::Fetch(
    const std::string& peer,
    const std::string& target,
    const std::function<void(base::Result<StoreUpdate>)>& done) {
  FleetDaemon& other = *fleet_.daemons.at(peer);
  const base::Duration way = other.domain() == domain() ? kOneWay : kOneWayFar;
  const auto open =
      std::make_shared<std::function<void(base::Result<StoreUpdate>)>>(done);
  const auto finish = [this, open](base::Result<StoreUpdate> update) {
    if (const auto callback = std::exchange(*open, nullptr);
        callback && is_alive_) {
      callback(std::move(update));
    }
  };
  fleet_.runner.After(AnswerTimeout(target), [finish, peer] {
    finish(base::MakeError(base::ErrorCode::kTimeout, base::Step::kPeerLink,
                           peer, ""));
  });
  fleet_.runner.After(way, [this, &other, target, peer, way, finish] {
    // A killed daemon never answers, like a VM without power.
    if (!other.is_alive()) {
      return;
    }
    const http1::Request request(boost::beast::http::verb::get, target,
                                 kHttpVersion);
    other.Handle(request, [this, peer, way, finish](http1::Response response) {
      fleet_.runner.After(way, [peer, finish, response] {
        finish(DecodeResponse(response, peer));
      });
    });
  });
}

// Causes a fault and makes a change during it or after it. Returns the time
// from the store's acknowledgement until the last daemon has the change.
using Case = base::Duration (*)(Fleet&);

base::Duration Calm(Fleet& fleet) {
  fleet.Advance(fleet.Chance(Milliseconds(1'500)));
  fleet.Change();
  return fleet.AwaitInForce();
}

// The store is restored from a backup. Operators write the lost change again
// and change the routes within two seconds.
base::Duration Restored(Fleet& fleet) {
  fleet.store.TakeCopy();
  fleet.Advance(Milliseconds(100) + fleet.Chance(Milliseconds(10'000)));
  fleet.Change();
  (void)fleet.AwaitInForce();
  const base::Duration away = fleet.Chance(Milliseconds(3'000));
  fleet.store.set_outage(fleet.random.Below(2) == 0 ? OutageKind::kReset
                                                    : OutageKind::kSilent);
  fleet.Advance(away);
  fleet.store.Restore();
  fleet.store.set_outage(OutageKind::kNone);
  fleet.Advance(fleet.Chance(Milliseconds(2'000)));
  fleet.store.Write(kConfiguration, std::to_string(fleet.version));
  fleet.Advance(fleet.Chance(Milliseconds(1'000)));
  fleet.Change();
  return fleet.AwaitInForce();
}

// The store is restored without an outage while changes go on, so that no watch
// of the earlier era is rejected.
base::Duration RestoredInAMoment(Fleet& fleet) {
  fleet.store.TakeCopy();
  fleet.Advance(Milliseconds(100) + fleet.Chance(Milliseconds(1'500)));
  fleet.store.Restore();
  fleet.Advance(fleet.Chance(Milliseconds(300)));
  fleet.Change();
  return fleet.AwaitInForce();
}

// A store reader loses power at the moment of the change.
base::Duration ReaderKilled(Fleet& fleet) {
  fleet.Advance(fleet.Chance(Milliseconds(1'500)));
  FleetDaemon& reader = fleet.FirstReader();
  reader.Kill();
  fleet.Advance(fleet.Chance(Milliseconds(50)));
  fleet.Change();
  return fleet.AwaitInForce();
}

// The store goes silent or resets all connections for some time; the change is
// made when it is back.
base::Duration StoreAway(Fleet& fleet) {
  fleet.Advance(fleet.Chance(Milliseconds(1'000)));
  fleet.store.set_outage(fleet.random.Below(2) == 0 ? OutageKind::kReset
                                                    : OutageKind::kSilent);
  fleet.Advance(Milliseconds(200) + fleet.Chance(Milliseconds(5'000)));
  fleet.store.set_outage(OutageKind::kNone);
  fleet.Change();
  return fleet.AwaitInForce();
}

// Only the store reader of one failure domain cannot reach the store.
base::Duration ReaderCutOff(Fleet& fleet) {
  fleet.Advance(fleet.Chance(Milliseconds(1'500)));
  FleetDaemon& reader = fleet.FirstReader();
  reader.set_cut_off(true);
  fleet.Advance(fleet.Chance(Milliseconds(4'000)));
  fleet.Change();
  return fleet.AwaitInForceButFor(reader);
}

// A daemon is restarted. While it is down the routes change and a leaf
// registers, so that the pages of its stale read may contain either, both or
// none.
base::Duration Restarted(Fleet& fleet) {
  fleet.Advance(fleet.Chance(Milliseconds(1'500)));
  const std::string name =
      "vm" + std::to_string(fleet.random.Below(fleet.daemons.size()));
  fleet.daemons.at(name)->Kill();
  fleet.Advance(Milliseconds(100) + fleet.Chance(Milliseconds(2'500)));
  fleet.Change();
  fleet.Advance(fleet.Chance(Milliseconds(500)));
  fleet.store.Write("servers/new", "ready");
  fleet.Advance(fleet.Chance(Milliseconds(1'000)));
  fleet.Restart(name);
  return fleet.AwaitInForce();
}

struct FaultCase {
  const char* name;
  Case play;
  // Whether reads of the store may be stale, each page by another time.
  bool has_replicas = false;
};

class UpdateFleetTest
    : public testing::TestWithParam<std::tuple<FaultCase, FleetSize>> {};

TEST_P(UpdateFleetTest, ChangePropagatesWithinTheBound) {
  const auto& [fault_case, size] = GetParam();
  // One run of the large fleet takes a quarter of a second.
  const std::uint64_t seeds = size.daemons > 100 ? 8 : 60;
  std::vector<base::Duration> times;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Fleet fleet(size, seed, fault_case.has_replicas);
    times.push_back(fault_case.play(fleet));
    EXPECT_LE(times.back(), kPropagationBound)
        << "seed " << seed << ": " << times.back().count() / 1000 << " ms";
  }
  std::sort(times.begin(), times.end());
  RecordProperty("median_ms",
                 std::to_string(times[times.size() / 2].count() / 1000));
  RecordProperty("worst_ms", std::to_string(times.back().count() / 1000));
}

// Guards against a bound that holds only if the fault does not meet the worst
// moment of a wait. The store reader of one failure domain loses the store at
// each phase of its pause, watch and lease renewal, and the change follows.
TEST(UpdatePhaseTest, ReaderLossAtAnyPhaseStaysWithinTheBudget) {
  constexpr base::Duration kPhases = Milliseconds(2'000);
  constexpr base::Duration kStep = Milliseconds(20);
  base::Duration worst{};
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    for (base::Duration phase{}; phase < kPhases; phase += kStep) {
      Fleet fleet({9, 3}, seed);
      fleet.Advance(phase);
      FleetDaemon& reader = fleet.FirstReader();
      reader.set_cut_off(true);
      fleet.Advance(Milliseconds(1));
      fleet.Change();
      const base::Duration time = fleet.AwaitInForceButFor(reader);
      EXPECT_LE(time, kPropagationBudget)
          << "seed " << seed << ", phase " << phase.count() / 1000
          << " ms: " << time.count() / 1000 << " ms";
      worst = std::max(worst, time);
    }
  }
  RecordProperty("worst_ms", std::to_string(worst.count() / 1000));
}

constexpr FleetSize kSmall{9, 3};
constexpr FleetSize kGrown{60, 4};
constexpr FleetSize kLarge{195, 6};

INSTANTIATE_TEST_SUITE_P(
    Cases,
    UpdateFleetTest,
    testing::Combine(testing::Values(FaultCase{"Calm", Calm},
                                     FaultCase{"Restored", Restored},
                                     FaultCase{"RestoredInAMoment",
                                               RestoredInAMoment},
                                     FaultCase{"StoreAway", StoreAway},
                                     FaultCase{"ReaderKilled", ReaderKilled},
                                     FaultCase{"ReaderCutOff", ReaderCutOff},
                                     FaultCase{"Restarted", Restarted, true}),
                     testing::Values(kSmall, kGrown, kLarge)),
    [](const auto& info) {
      return std::get<0>(info.param).name +
             std::to_string(std::get<1>(info.param).daemons);
    });

}  // namespace
}  // namespace medlarspread::relay
