// Counts the calls to the store that the burn report makes in one hour of a
// fleet at work, by the number of VMs and by the flush interval. Time is
// simulated, so the figures are exact and the same on every run.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "src/base/random.h"
#include "src/burn/burn_controller.h"
#include "tests/burn/fake_store.h"

namespace medlarspread::burn {
namespace {

constexpr std::int64_t kStartMs = 1'794'297'600'000;
constexpr int kWarmUpSeconds = 3'600;
constexpr int kSeconds = 3'600;

class Fleet {
 public:
  Fleet(int vms, base::Duration flush_interval) {
    blackboard::MembershipView view;
    for (int number = 0; number < vms; ++number) {
      const std::string name = "entry-" + std::to_string(number);
      view.members[name].name = name;
      view.members[name].failure_domain = "domain-a";
      view.members[name].incarnation = 1;
    }
    for (const auto& [name, member] : view.members) {
      view.self = name;
      boards_.push_back(std::make_unique<blackboard::Blackboard>());
      boards_.back()->membership.Write(view);
      BurnSettings settings;
      settings.vm_name = name;
      settings.incarnation = 1;
      settings.failure_domain = "domain-a";
      settings.flush_interval = flush_interval;
      controllers_.push_back(std::make_shared<BurnController>(
          settings, base::Clock(time_), random_, base::TaskRunner(scheduler_),
          store_.StoreFor(name, base::TaskRunner(scheduler_)),
          *boards_.back()));
      controllers_.back()->Start();
    }
  }

  // Each VM records one request a second.
  void Run(int seconds) {
    RequestRecord record;
    record.class_name = "counter-lookup";
    for (int second = 0; second < seconds; ++second) {
      record.asked_wall_ms = time_->wall_milliseconds();
      for (const auto& controller : controllers_) {
        controller->recorder()(record);
      }
      scheduler_->Advance(base::Milliseconds(1'000));
    }
  }

  FakeStore& store() { return store_; }

 private:
  std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(1'000, kStartMs);
  std::shared_ptr<base::ManualScheduler> scheduler_ =
      std::make_shared<base::ManualScheduler>(time_);
  FakeStore store_{base::TaskRunner(scheduler_)};
  base::Random random_{1};
  std::vector<std::unique_ptr<blackboard::Blackboard>> boards_;
  std::vector<std::shared_ptr<BurnController>> controllers_;
};

void StoreCallsPerHour(benchmark::State& state) {
  const auto vms = static_cast<int>(state.range(0));
  const base::Duration flush = base::Milliseconds(1'000 * state.range(1));
  double writes = 0;
  double reads = 0;
  for (auto _ : state) {
    Fleet fleet(vms, flush);
    fleet.Run(kWarmUpSeconds);
    const auto writes_before = fleet.store().write_calls();
    const auto reads_before = fleet.store().read_calls();
    fleet.Run(kSeconds);
    writes = static_cast<double>(fleet.store().write_calls() - writes_before);
    reads = static_cast<double>(fleet.store().read_calls() - reads_before);
  }
  state.counters["writes_per_vm_hour"] = writes / vms;
  state.counters["reads_per_hour"] = reads;
}
BENCHMARK(StoreCallsPerHour)
    ->ArgNames({"vms", "flush_s"})
    ->Args({2, 60})
    ->Args({8, 60})
    ->Args({32, 60})
    ->Args({94, 60})
    ->Args({8, 1})
    ->Args({8, 10})
    ->Args({8, 300})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace medlarspread::burn
