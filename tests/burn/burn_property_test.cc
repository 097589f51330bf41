// Runs random sequences of traffic, changed targets, store outages, lost
// replies and writes, and VMs that are killed, stopped, restarted, frozen or
// cut off. In every case the report must count exactly the requests that were
// written or that a running VM holds, and must show where counts are missing.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/burn/burn_fleet.h"

namespace medlarspread::burn {
namespace {

constexpr const char* kVms[] = {"entry-1", "entry-2", "entry-3"};
// Never killed, because the reports are requested from it.
constexpr const char* kObserver = "entry-0";

class RandomHistory {
 public:
  RandomHistory() : fleet_(*rc::gen::arbitrary<std::uint32_t>()) {
    fleet_.StartVm(kObserver);
    for (const char* vm : kVms) {
      fleet_.StartVm(vm, *rc::gen::inRange(-30'000, 30'000));
    }
  }

  void Step() {
    const std::string vm = *rc::gen::elementOf(
        std::vector<std::string>(std::begin(kVms), std::end(kVms)));
    switch (*rc::gen::inRange(0, 16)) {
      case 0:
        fleet_.store().set_available(*rc::gen::arbitrary<bool>());
        return;
      case 1:
        fleet_.store().LoseReplies(*rc::gen::inRange(1, 4));
        return;
      case 2:
        fleet_.store().LoseWrites(*rc::gen::inRange(1, 4));
        return;
      case 3:
        fleet_.store().CutOff(vm, *rc::gen::arbitrary<bool>());
        return;
      case 4:
        KillOrStart(vm);
        return;
      case 5:
        FreezeOrWake(vm);
        return;
      case 6:
        fleet_.store().CutOffWithNextWrite(vm);
        return;
      case 7:
        fleet_.store().FailErasesOf(
            *rc::gen::element<std::string>("", "burn/", "burn/raw/"));
        return;
      case 8:
        revision_ += 1;
        return;
      case 9:
        fleet_.Advance(*rc::gen::inRange(60, 1'500));
        return;
      default:
        Traffic(vm);
    }
  }

  // Ends all faults, then waits until the delayed counts are written.
  void Heal() {
    fleet_.store().set_available(true);
    fleet_.store().CutOffWithNextWrite("");
    fleet_.store().FailErasesOf("");
    fleet_.store().LoseReplies(0);
    fleet_.store().LoseWrites(0);
    for (const char* vm : kVms) {
      fleet_.store().CutOff(vm, false);
      if (frozen_.contains(vm)) {
        fleet_.WakeVm(vm);
      }
    }
    frozen_.clear();
    fleet_.Advance(3'000);
  }

  BurnFleet& fleet() { return fleet_; }

 private:
  void KillOrStart(const std::string& vm) {
    if (frozen_.contains(vm)) {
      return;
    }
    if (!fleet_.IsRunning(vm)) {
      fleet_.StartVm(vm, *rc::gen::inRange(-30'000, 30'000));
    } else if (*rc::gen::arbitrary<bool>()) {
      fleet_.KillVm(vm);
    } else {
      fleet_.StopVm(vm);
    }
  }

  void FreezeOrWake(const std::string& vm) {
    if (frozen_.erase(vm) > 0) {
      fleet_.WakeVm(vm);
    } else if (fleet_.IsRunning(vm)) {
      fleet_.FreezeVm(vm);
      frozen_.insert(vm);
    }
  }

  void Traffic(const std::string& vm) {
    if (!fleet_.IsRunning(vm)) {
      return;
    }
    const int count = *rc::gen::inRange(1, 20);
    for (int i = 0; i < count; ++i) {
      RequestRecord record;
      record.class_name = *rc::gen::element<std::string>("desk", "audit");
      record.targets_revision = revision_;
      record.latency_target = base::Milliseconds(90 + revision_);
      record.coverage_target = revision_ % 2 == 0 ? 0.9 : 0.99;
      record.latency_percentile = revision_ % 3 == 0 ? 99.9 : 95.0;
      record.coverage_percentile = 99.0;
      record.outcome = *rc::gen::element(
          RequestOutcome::kAnswered, RequestOutcome::kAnswered,
          RequestOutcome::kRefused, RequestOutcome::kUnknown);
      record.latency = base::Milliseconds(*rc::gen::inRange(80, 110));
      record.coverage = *rc::gen::element(0.85, 0.9, 0.95, 1.0);
      record.shard_answers = 200;
      record.upstream_sends = *rc::gen::inRange(200, 210);
      fleet_.Record(vm, record, *rc::gen::inRange(0, 30'000));
      fleet_.Advance(*rc::gen::inRange(0, 20));
    }
  }

  BurnFleet fleet_;
  std::set<std::string> frozen_;
  std::int64_t revision_ = 1;
};

RC_GTEST_PROP(BurnPropertyTest, CountsWhatWasKeptAndAdmitsWhatWasLost, ()) {
  RandomHistory history;
  const int steps = *rc::gen::inRange(10, 80);
  for (int step = 0; step < steps; ++step) {
    history.Step();
  }
  history.Heal();
  BurnFleet& fleet = history.fleet();
  const BurnReport report = fleet.ReportFrom(kObserver);
  ExpectExact(report, fleet.Kept());
  RC_ASSERT(!testing::Test::HasFailure());
  RC_ASSERT(!report.is_partial);
  // Lost requests must show up as unaccounted.
  if (!fleet.Lost().empty()) {
    RC_ASSERT(!report.gaps.empty() || !report.notes.empty());
  }
}

}  // namespace
}  // namespace medlarspread::burn
