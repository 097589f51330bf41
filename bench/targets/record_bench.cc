// What a record of targets costs: its size, and the time to write, read and
// digest it. The ways that docs/design/08-targets.md weighs differ in the
// number of classes in one record, and in the change marks that it carries.

#include <string>

#include <benchmark/benchmark.h>

#include "src/targets/targets_record.h"

namespace medlarspread::targets {
namespace {

TargetsChange MakeChange(int number, int classes) {
  blackboard::ClassTargets targets;
  targets.name = "counter-lookup-" + std::to_string(number % classes);
  targets.collection = "proof-of-delivery";
  targets.latency = base::Milliseconds(91);
  targets.coverage = 0.98;
  // As long as a UUID.
  std::string id = std::to_string(number);
  constexpr std::size_t kIdLength = 36;
  id.insert(0, kIdLength - id.size(), 'x');
  return {id, {}, SetClass{targets}};
}

// A record of so many classes after so many changes at least.
TargetsRecord MakeRecord(int classes, int marks) {
  TargetsRecord record;
  for (int i = 0; i < std::max(classes, marks); ++i) {
    record = ApplyChange(record, MakeChange(i, classes), 0);
  }
  while (record.changes.size() > static_cast<std::size_t>(marks)) {
    record.changes.erase(record.changes.begin());
  }
  return record;
}

TargetsRecord MakeRecord(const benchmark::State& state) {
  return MakeRecord(static_cast<int>(state.range(0)),
                    static_cast<int>(state.range(1)));
}

void EncodeBench(benchmark::State& state) {
  const TargetsRecord record = MakeRecord(state);
  std::string body;
  for (auto iteration : state) {
    body = EncodeRecord(record);
    benchmark::DoNotOptimize(body);
  }
  state.counters["bytes"] = static_cast<double>(body.size());
}

void DecodeBench(benchmark::State& state) {
  const std::string body = EncodeRecord(MakeRecord(state));
  for (auto iteration : state) {
    auto record = DecodeRecord(body);
    benchmark::DoNotOptimize(record);
  }
  state.counters["bytes"] = static_cast<double>(body.size());
}

void DigestBench(benchmark::State& state) {
  const std::string body = EncodeRecord(MakeRecord(state));
  for (auto iteration : state) {
    benchmark::DoNotOptimize(DigestBody(body));
  }
}

// Classes, marks. One class with few marks is the record of the way with one
// key per class.
void Sizes(benchmark::internal::Benchmark* bench) {
  bench->ArgNames({"classes", "marks"});
  for (const auto& [classes, marks] :
       {std::pair(1, 8), std::pair(20, 1), std::pair(20, 32), std::pair(20, 64),
        std::pair(100, 64), std::pair(1000, 64)}) {
    bench->Args({classes, marks});
  }
}

BENCHMARK(EncodeBench)->Apply(Sizes);
BENCHMARK(DecodeBench)->Apply(Sizes);
BENCHMARK(DigestBench)->Apply(Sizes);

}  // namespace
}  // namespace medlarspread::targets

BENCHMARK_MAIN();
