// The processor time of what is done for each leaf request besides I/O, and of
// the control work at 8,700 leaves, without sockets.

#include <benchmark/benchmark.h>

#include "bench/upstream/process_usage.h"
#include "src/upstream/leaf_message.h"
#include "src/upstream/observation_filter.h"
#include "src/upstream/upstream_controller.h"

namespace medlarspread::upstream {
namespace {

constexpr int kLeaves = 8'700;

LeafRequest MakeRequest() {
  return {.attempt_id = "entry-3.17-1842-99",
          .request_id = "1764691200000-4f2a9c3e5b7d",
          .class_name = "counter-lookup",
          .collection = "proofs",
          .snapshot = {7, 3},
          .range = {0, 328},
          .deadline_left = base::Milliseconds(90),
          .query = R"({"consignment":"KL-07-4711","fields":["photo"]})"};
}

std::string MakeAnswer(int items) {
  std::string body =
      R"({"attempt_id":"entry-3.17-1842-99",)"
      R"("request_id":"1764691200000-4f2a9c3e5b7d","collection":"proofs",)"
      R"("index_version":7,"layout_version":3,"low":0,"high":328,"items":[)";
  for (int index = 0; index < items; ++index) {
    body += index == 0 ? "" : ",";
    body += R"({"key":)" + std::to_string(index) +
            R"(,"photo":"2026/11/30/kochi/4711.jpg","score":0.75})";
  }
  return body + R"(],"count":)" + std::to_string(items) +
         R"(,"service_us":1500,"state":"serving",)"
         R"("load":{"running":1,"queued":0,"slots":2}})";
}

void EncodeQueryBody(benchmark::State& state) {
  const LeafRequest request = MakeRequest();
  for (auto _ : state) {
    benchmark::DoNotOptimize(EncodeQuery(request));
  }
}
BENCHMARK(EncodeQueryBody);

void DecodeAnswerBody(benchmark::State& state) {
  const LeafRequest request = MakeRequest();
  http::Response response;
  response.body = MakeAnswer(static_cast<int>(state.range(0)));
  const base::Result<http::Response> result = response;
  for (auto _ : state) {
    const LeafReply reply = DecodeReply(request, "10.0.0.1:80", result);
    if (reply.outcome != LeafOutcome::kAnswered) {
      state.SkipWithError("the answer was not accepted");
    }
  }
  state.counters["body_bytes"] = static_cast<double>(response.body.size());
}
BENCHMARK(DecodeAnswerBody)->Arg(0)->Arg(1)->Arg(5)->Arg(20)->Arg(100);

store::Vm MakeVm(int index) {
  return {.name = "leaf-" + std::to_string(index),
          .role = store::VmRole::kUpstream,
          .address = "10.1.2.3:" + std::to_string(index),
          .region = "region-" + std::to_string(index % 6),
          .failure_domain = "domain-" + std::to_string(index % 16),
          .is_leaving = false,
          .collection = "proofs"};
}

// A controller with 8,700 leaves of which it polls one in `poll_every`.
class ControlBench {
 public:
  explicit ControlBench(int poll_every) {
    for (int index = 0; index < kLeaves; ++index) {
      vms_.push_back(MakeVm(index));
    }
    health_.holdings = {{{7, 3}, {0, 328}}, {{8, 3}, {0, 328}}};
    health_.connections = 25;
    UpstreamCallbacks callbacks;
    callbacks.should_poll = [poll_every](const blackboard::Upstream& leaf) {
      return std::stoi(leaf.name.substr(sizeof("leaf-") - 1)) % poll_every == 0;
    };
    callbacks.did_find_draining = [](const std::string&) {};
    controller_ = std::make_unique<UpstreamController>(
        UpstreamSettings(), base::Clock(time_), random_,
        base::TaskRunner(scheduler_),
        [this](base::Duration, const store::VmListCallback& callback) {
          callback(vms_);
        },
        [this](const blackboard::Upstream&, base::Duration,
               const HealthCallback& callback) { callback(health_); },
        board_, std::move(callbacks));
    controller_->Start();
    scheduler_->Advance(base::Milliseconds(10'000));
  }

  base::ManualScheduler& scheduler() { return *scheduler_; }
  UpstreamController& controller() { return *controller_; }
  blackboard::Blackboard& board() { return board_; }

 private:
  std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(1'000'000, 0);
  std::shared_ptr<base::ManualScheduler> scheduler_ =
      std::make_shared<base::ManualScheduler>(time_);
  base::Random random_{3};
  blackboard::Blackboard board_;
  std::vector<store::Vm> vms_;
  LeafHealth health_;
  std::unique_ptr<UpstreamController> controller_;
};

// The memory of records and of the published view, two holdings a leaf. Must
// run first: later ones would get memory that others have freed.
void MemoryOfLeaves(benchmark::State& state) {
  const std::int64_t before = bench::ResidentBytes();
  for (auto _ : state) {
    const ControlBench control(kLeaves);
    const std::int64_t used = bench::ResidentBytes() - before;
    state.counters["resident_bytes_per_leaf"] =
        static_cast<double>(used) / kLeaves;
  }
}
BENCHMARK(MemoryOfLeaves)->Iterations(1)->Unit(benchmark::kMillisecond);

// One second of control without changes: list, role checks, health reads of
// 12 leaves. The health's own HTTP exchange is not in it.
void QuietSecond(benchmark::State& state) {
  constexpr int kPolled = 12;
  ControlBench control(kLeaves / kPolled);
  const auto before = control.controller().counters();
  std::int64_t seconds = 0;
  for (auto _ : state) {
    control.scheduler().Advance(base::Milliseconds(1'000));
    ++seconds;
  }
  const auto after = control.controller().counters();
  state.counters["health_reads_per_s"] =
      static_cast<double>(after.health_reads - before.health_reads) /
      static_cast<double>(seconds);
  state.counters["publications"] =
      static_cast<double>(after.publications - before.publications);
}
BENCHMARK(QuietSecond)->Unit(benchmark::kMillisecond);

// One change of one leaf, published with 8,700 leaves.
void PublishOneChange(benchmark::State& state) {
  ControlBench control(kLeaves);
  LeafReply reply;
  reply.outcome = LeafOutcome::kWrongSnapshot;
  reply.error.step = base::Step::kReadUpstream;
  std::int64_t version = 10;
  for (auto _ : state) {
    reply.holdings = {{{++version, 3}, {0, 328}}};
    control.controller().Observe("leaf-1", reply);
    control.scheduler().RunReady();
    state.PauseTiming();
    const auto before = control.controller().counters().publications;
    state.ResumeTiming();
    control.scheduler().Advance(base::Milliseconds(250));
    if (control.controller().counters().publications > before + 1) {
      state.SkipWithError("published twice");
    }
  }
}
BENCHMARK(PublishOneChange)->Unit(benchmark::kMillisecond);

// What a traffic thread pays for a reply that brings no news.
void ObserveWithoutNews(benchmark::State& state) {
  ControlBench control(kLeaves);
  LeafReply reply;
  reply.outcome = LeafOutcome::kAnswered;
  reply.state = blackboard::UpstreamState::kServing;
  for (auto _ : state) {
    control.controller().Observe("leaf-4711", reply);
  }
}
BENCHMARK(ObserveWithoutNews);

}  // namespace
}  // namespace medlarspread::upstream

BENCHMARK_MAIN();
