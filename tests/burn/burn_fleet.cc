// The fleet advances all clocks in steps of one second. The oracle below
// evaluates each request on its own and shares no code with the report.

#include "tests/burn/burn_fleet.h"

#include <cmath>
#include <optional>
#include <utility>

#include <gtest/gtest.h>

#include "src/burn/keys.h"

namespace medlarspread::burn {

namespace {

constexpr std::int64_t kMonotonicStart = 1'000'000;
constexpr std::int64_t kMinuteMs = 60'000;

base::TaskRunner RunnerOf(
    const std::shared_ptr<base::ManualScheduler>& scheduler) {
  return base::TaskRunner(scheduler);
}

}  // namespace

BurnFleet::BurnFleet(std::uint64_t seed)
    : store_time_(std::make_shared<base::ManualTime>(kMonotonicStart,
                                                     kFleetStartWallMs)),
      store_scheduler_(std::make_shared<base::ManualScheduler>(store_time_)),
      store_(RunnerOf(store_scheduler_)),
      random_(seed) {
  store_.did_write = [this](const store::Entry& entry) { NoteWrite(entry); };
}

void BurnFleet::StartVm(const std::string& name, std::int64_t clock_offset_ms) {
  Start(name, {name, next_incarnation_++}, clock_offset_ms);
}

void BurnFleet::StartDuplicate(const std::string& name,
                               const std::string& alias) {
  Start(alias, vms_.at(name).id, 0);
}

void BurnFleet::Start(const std::string& alias,
                      const VmIncarnation& id,
                      std::int64_t clock_offset_ms) {
  Vm vm;
  vm.id = id;
  vm.time = std::make_shared<base::ManualTime>(
      kMonotonicStart, store_time_->wall_milliseconds() + clock_offset_ms);
  vm.scheduler = std::make_shared<base::ManualScheduler>(vm.time);
  vm.random = std::make_unique<base::Random>(random_.Below(1'000'000));
  vm.board = std::make_unique<blackboard::Blackboard>();
  BurnSettings settings;
  settings.vm_name = id.vm;
  settings.incarnation = id.incarnation;
  settings.failure_domain = "domain-a";
  vm.controller = std::make_shared<BurnController>(
      settings, base::Clock(vm.time), *vm.random, RunnerOf(vm.scheduler),
      store_.StoreFor(alias, RunnerOf(vm.scheduler)), *vm.board);
  vm.controller->Start();
  vms_.insert_or_assign(alias, std::move(vm));
  PublishMembers();
  Advance(0);
}

void BurnFleet::KillVm(const std::string& name) {
  vms_.erase(name);
  PublishMembers();
}

void BurnFleet::StopVm(const std::string& name) {
  bool is_stopped = false;
  vms_.at(name).controller->Stop([&is_stopped] { is_stopped = true; });
  for (int seconds = 0; seconds < 30 && !is_stopped; ++seconds) {
    Advance(1);
  }
  EXPECT_TRUE(is_stopped);
  KillVm(name);
}

void BurnFleet::FreezeVm(const std::string& name) {
  vms_.at(name).is_frozen = true;
  PublishMembers();
}

void BurnFleet::WakeVm(const std::string& name) {
  vms_.at(name).is_frozen = false;
  PublishMembers();
}

bool BurnFleet::IsRunning(const std::string& name) const {
  const auto found = vms_.find(name);
  return found != vms_.end() && !found->second.is_frozen;
}

void BurnFleet::Record(const std::string& vm,
                       RequestRecord record,
                       std::int64_t age_ms) {
  record.asked_wall_ms = WallMsOf(vm) - age_ms;
  recorded_.push_back({record, vms_.at(vm).id, ++order_});
  vms_.at(vm).controller->recorder()(record);
}

void BurnFleet::Advance(std::int64_t seconds) {
  // A store call takes several rounds, because its tasks run on both the VM's
  // and the store's scheduler.
  constexpr int kFewRounds = 12;
  constexpr int kManyRounds = 200;
  const auto run_ready = [this](int rounds) {
    for (int round = 0; round < rounds; ++round) {
      for (auto& [name, vm] : vms_) {
        if (!vm.is_frozen) {
          vm.scheduler->RunReady();
        }
      }
      store_scheduler_->RunReady();
    }
  };
  run_ready(kManyRounds);
  for (std::int64_t second = 0; second < seconds; ++second) {
    store_time_->Advance(base::Milliseconds(1'000));
    for (auto& [name, vm] : vms_) {
      vm.time->Advance(base::Milliseconds(1'000));
    }
    run_ready(kFewRounds);
  }
}

BurnReport BurnFleet::ReportFrom(const std::string& vm) {
  std::optional<BurnReport> report;
  vms_.at(vm).controller->Report(
      {}, [&report](BurnReport made) { report = std::move(made); });
  Advance(0);
  EXPECT_TRUE(report.has_value());
  return report.value_or(BurnReport{});
}

std::int64_t BurnFleet::WallMsOf(const std::string& vm) const {
  return vms_.at(vm).time->wall_milliseconds();
}

BurnController& BurnFleet::controller(const std::string& vm) {
  return *vms_.at(vm).controller;
}

const blackboard::Blackboard& BurnFleet::board(const std::string& vm) const {
  return *vms_.at(vm).board;
}

void BurnFleet::PublishMembers() {
  blackboard::MembershipView view;
  for (const auto& [name, vm] : vms_) {
    if (!vm.is_frozen) {
      blackboard::Member member;
      member.name = name;
      member.failure_domain = "domain-a";
      member.incarnation = vm.id.incarnation;
      view.members[name] = member;
    }
  }
  for (auto& [name, vm] : vms_) {
    if (!vm.is_frozen) {
      view.self = name;
      vm.board->membership.Write(view);
    }
  }
}

void BurnFleet::NoteWrite(const store::Entry& entry) {
  // Another VM writes a sealed segment, with counts that were written before.
  const bool is_seal = entry.value.find("\"sealed\":true") != std::string::npos;
  const auto raw = ParseRawKey(entry.key);
  if (raw && !is_seal) {
    written_[{raw->writer, raw->bucket}] = ++order_;
  }
}

bool BurnFleet::IsKept(const RecordedRequest& request) const {
  const auto vm = vms_.find(request.on.vm);
  if (vm != vms_.end() && vm->second.id == request.on) {
    return true;
  }
  const std::int64_t bucket = request.record.asked_wall_ms / (10 * kMinuteMs);
  const auto written = written_.find({request.on, bucket});
  return written != written_.end() && written->second > request.order;
}

std::vector<RecordedRequest> BurnFleet::Lost() const {
  std::vector<RecordedRequest> lost;
  for (const RecordedRequest& request : recorded_) {
    if (!IsKept(request)) {
      lost.push_back(request);
    }
  }
  return lost;
}

std::vector<RecordedRequest> BurnFleet::Kept() const {
  std::vector<RecordedRequest> kept;
  for (const RecordedRequest& request : recorded_) {
    if (IsKept(request)) {
      kept.push_back(request);
    }
  }
  return kept;
}

ExpectedWindow ExpectWindow(const std::vector<RecordedRequest>& requests,
                            const std::string& class_name,
                            std::int64_t start_wall_ms,
                            std::int64_t end_wall_ms) {
  ExpectedWindow expected;
  Counts& sum = expected.counts;
  for (const RecordedRequest& request : requests) {
    const RequestRecord& record = request.record;
    if (record.class_name != class_name ||
        record.asked_wall_ms < start_wall_ms ||
        record.asked_wall_ms >= end_wall_ms) {
      continue;
    }
    const bool is_answered = record.outcome == RequestOutcome::kAnswered;
    const bool is_fast =
        is_answered && !(record.latency > record.latency_target);
    const bool is_complete =
        is_answered && !(record.coverage < record.coverage_target);
    sum.asked += 1;
    sum.answered += is_answered ? 1 : 0;
    sum.in_time += is_fast ? 1 : 0;
    sum.coverage_met += is_complete ? 1 : 0;
    sum.both_met += is_fast && is_complete ? 1 : 0;
    sum.refused += record.outcome == RequestOutcome::kRefused ? 1 : 0;
    sum.unknown += record.outcome == RequestOutcome::kUnknown ? 1 : 0;
    sum.shard_answers += record.shard_answers;
    sum.upstream_sends += record.upstream_sends;
    expected.latency_allowed_millionths +=
        std::llround((100.0 - record.latency_percentile) * 10'000.0);
    expected.coverage_allowed_millionths +=
        std::llround((100.0 - record.coverage_percentile) * 10'000.0);
  }
  return expected;
}

void ExpectExact(const BurnReport& report,
                 const std::vector<RecordedRequest>& requests) {
  std::map<std::string, int> asked_names;
  for (const RecordedRequest& request : requests) {
    ++asked_names[request.record.class_name];
  }
  EXPECT_EQ(report.classes.size(), asked_names.size());
  for (const ClassReport& row : report.classes) {
    ASSERT_EQ(row.windows.size(), 4U);
    for (const WindowReport& window : row.windows) {
      SCOPED_TRACE(row.name + " " + window.name);
      const ExpectedWindow expected = ExpectWindow(
          requests, row.name, window.start_wall_ms, window.end_wall_ms);
      const Counts& counts = expected.counts;
      EXPECT_EQ(window.counts, counts);
      EXPECT_EQ(window.latency.good, counts.in_time);
      EXPECT_EQ(window.latency.bad, counts.asked - counts.in_time);
      EXPECT_EQ(window.coverage.good, counts.coverage_met);
      EXPECT_EQ(window.coverage.bad, counts.asked - counts.coverage_met);
      EXPECT_EQ(window.latency.allowed_millionths,
                expected.latency_allowed_millionths);
      EXPECT_EQ(window.coverage.allowed_millionths,
                expected.coverage_allowed_millionths);
    }
  }
}

}  // namespace medlarspread::burn
