// Guards against late requests to a draining leaf: after a single draining
// reply, no daemon may send it new requests after two seconds, even if health
// and the list still report it as serving and all other replies are lost. The
// time consists of
//
//   1. the reply to one daemon: kReplyTime,
//   2. that daemon's blackboard write: at most urgent_publish_interval,
//   3. notifying all other daemons through membership: SpreadTime(),
//   4. their blackboard writes: at most urgent_publish_interval.
//
// Membership may use the rest of the two seconds for step 3.

#include <memory>
#include <vector>

#include <gtest/gtest.h>

#include "src/upstream/upstream_controller.h"

namespace medlarspread::upstream {
namespace {

using base::Milliseconds;
using blackboard::UpstreamState;

constexpr char kLeaf[] = "l1";
constexpr int kDaemons = 5;
constexpr base::Duration kBound = Milliseconds(2'000);
constexpr base::Duration kReplyTime = Milliseconds(50);
constexpr base::Duration kSendInterval = Milliseconds(1);

base::Duration SpreadTime(const UpstreamSettings& settings) {
  return kBound - kReplyTime - settings.urgent_publish_interval * 2;
}

LeafReply MakeReply(LeafOutcome outcome, std::optional<UpstreamState> state) {
  LeafReply reply;
  reply.outcome = outcome;
  reply.state = state;
  reply.error.step = base::Step::kReadUpstream;
  return reply;
}

class DrainingBoundTest : public testing::Test {
 protected:
  struct Daemon {
    blackboard::Blackboard board;
    std::unique_ptr<UpstreamController> controller;
  };

  DrainingBoundTest() {
    for (int index = 0; index < kDaemons; ++index) {
      daemons_.push_back(std::make_unique<Daemon>());
      daemons_.back()->controller = MakeController(*daemons_.back());
      daemons_.back()->controller->Start();
    }
  }

  std::unique_ptr<UpstreamController> MakeController(Daemon& daemon) {
    const store::Vm vm{.name = kLeaf,
                       .role = store::VmRole::kUpstream,
                       .address = "10.0.0.1:80",
                       .region = "south",
                       .failure_domain = "a",
                       .is_leaving = false,
                       .collection = "proofs"};
    return std::make_unique<UpstreamController>(
        settings_, base::Clock(time_), random_, runner_,
        [vm](base::Duration, const store::VmListCallback& callback) {
          callback(std::vector<store::Vm>{vm});
        },
        [](const blackboard::Upstream&, base::Duration,
           const HealthCallback& callback) {
          callback(LeafHealth{.name = kLeaf,
                              .collection = "proofs",
                              .state = UpstreamState::kServing,
                              .slots = 2,
                              .connections = 25,
                              .holdings = {}});
        },
        daemon.board,
        UpstreamCallbacks{
            .should_poll = [](const blackboard::Upstream&) { return true; },
            .did_find_draining =
                [this](const std::string& name) { Spread(name); }});
  }

  // Simulates membership with the longest permitted delay.
  void Spread(const std::string& name) {
    const base::Duration time = SpreadTime(settings_);
    runner_.After(time, [this, name, time] {
      for (const auto& daemon : daemons_) {
        daemon->controller->DidHearDraining(name, time);
      }
    });
  }

  // Each daemon that considers the leaf serving sends one request. Only the
  // first request after the leaf began to drain gets a reply.
  void SendFromAll() {
    for (const auto& daemon : daemons_) {
      const auto view = daemon->board.upstreams.Read();
      const auto leaf = view->upstreams.find(kLeaf);
      if (leaf == view->upstreams.end() ||
          leaf->second.state != UpstreamState::kServing) {
        continue;
      }
      last_send_ = scheduler_->Now();
      ++sends_;
      if (is_draining_ && !has_replied_) {
        has_replied_ = true;
        runner_.After(kReplyTime, [&daemon] {
          daemon->controller->Observe(
              kLeaf,
              MakeReply(LeafOutcome::kDraining, UpstreamState::kDraining));
        });
      }
    }
  }

  void Run(base::Duration duration) {
    const base::MonotonicTime end = scheduler_->Now() + duration;
    while (scheduler_->Now() < end) {
      SendFromAll();
      scheduler_->Advance(kSendInterval);
    }
  }

  std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(1'000'000, 0);
  std::shared_ptr<base::ManualScheduler> scheduler_ =
      std::make_shared<base::ManualScheduler>(time_);
  base::TaskRunner runner_{scheduler_};
  base::Random random_{5};
  UpstreamSettings settings_;
  std::vector<std::unique_ptr<Daemon>> daemons_;

  bool is_draining_ = false;
  bool has_replied_ = false;
  int sends_ = 0;
  base::MonotonicTime last_send_;
};

TEST_F(DrainingBoundTest, NothingNewAfterTwoSeconds) {
  Run(Milliseconds(1'000));
  EXPECT_GT(sends_, 500 * kDaemons);
  is_draining_ = true;
  const base::MonotonicTime start = scheduler_->Now();
  Run(settings_.draining_hold - Milliseconds(1'000));
  EXPECT_LE(last_send_ - start, kBound);
  // The other daemons continued to send until they were notified.
  EXPECT_GT(last_send_ - start, SpreadTime(settings_));
}

}  // namespace
}  // namespace medlarspread::upstream
