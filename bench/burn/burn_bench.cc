// Measures what the burn report costs: counting on the traffic threads with one
// counter against sharded ones, the control thread's share, the values in the
// store, and a report over as many VMs as there are to be.

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "src/burn/burn_settings.h"
#include "src/burn/burn_view.h"
#include "src/burn/keys.h"
#include "src/burn/own_counts.h"
#include "src/burn/report_builder.h"
#include "src/burn/report_format.h"
#include "src/burn/roll_up.h"
#include "src/burn/sharded_counts.h"

namespace medlarspread::burn {
namespace {

constexpr int kClasses = 8;
constexpr std::int64_t kStartMinute = 29'904'960;
constexpr std::int64_t kStartMs = kStartMinute * kMillisecondsPerMinute;
// 127 requests a second on a daemon, spread over the classes.
constexpr std::int64_t kAskedPerMinute = 127 * 60 / kClasses;

std::string ClassName(int number) {
  return "class-of-work-" + std::to_string(number);
}

RequestRecord MakeRecord(int number) {
  RequestRecord record;
  record.class_name = ClassName(number % kClasses);
  record.asked_wall_ms = kStartMs;
  record.targets_revision = 41;
  record.latency_target = base::Milliseconds(91);
  record.coverage_target = 0.98;
  record.latency_percentile = 99.0;
  record.coverage_percentile = 99.0;
  record.outcome = RequestOutcome::kAnswered;
  record.latency = base::Milliseconds(30);
  record.coverage = 1.0;
  record.shard_answers = 200;
  record.upstream_sends = 202;
  return record;
}

// One map behind one lock: what the sharded counts are held against.
class OneCounter {
 public:
  void Record(const RequestRecord& record) {
    CellKey key = KeyOf(record);
    const Counts counts = CountOf(record);
    const std::lock_guard lock(mutex_);
    cells_[std::move(key)] += counts;
  }

 private:
  std::mutex mutex_;
  Cells cells_;
};

template <typename Counter>
void RecordRequests(benchmark::State& state) {
  static Counter counter;
  const RequestRecord record = MakeRecord(state.thread_index());
  for (auto _ : state) {
    counter.Record(record);
  }
  state.SetItemsProcessed(state.iterations());
}

void RecordWithOneCounter(benchmark::State& state) {
  RecordRequests<OneCounter>(state);
}

void RecordWithShardedCounts(benchmark::State& state) {
  RecordRequests<ShardedCounts>(state);
}

// A lone shared number, the least that a shared count can cost.
void AddToOneAtomic(benchmark::State& state) {
  static std::atomic<std::int64_t> number{0};
  for (auto _ : state) {
    number.fetch_add(1);
  }
  state.SetItemsProcessed(state.iterations());
}

BENCHMARK(AddToOneAtomic)->ThreadRange(1, 8)->UseRealTime();
BENCHMARK(RecordWithOneCounter)->ThreadRange(1, 8)->UseRealTime();
BENCHMARK(RecordWithShardedCounts)->ThreadRange(1, 8)->UseRealTime();

Counts MinuteOfCounts(std::int64_t salt) {
  const std::int64_t asked = kAskedPerMinute + salt % 7;
  return {asked, asked - 3, asked - 9,   asked - 5,  asked - 12,
          2,     1,         asked * 200, asked * 202};
}

// `minutes` of all classes, from `first_minute`.
Cells MakeCells(std::int64_t first_minute, std::int64_t minutes) {
  Cells cells;
  for (std::int64_t minute = 0; minute < minutes; ++minute) {
    for (int number = 0; number < kClasses; ++number) {
      cells[{first_minute + minute,
             ClassName(number),
             {41, 91'000, 980'000, 10'000, 10'000}}] =
          MinuteOfCounts(minute + number);
    }
  }
  return cells;
}

// What the control thread does each second: take the threads' counts, add them
// to the bucket, and write the blackboard.
void CollectOneSecond(benchmark::State& state) {
  constexpr int kRecords = 127;
  ShardedCounts counts;
  const auto time = std::make_shared<base::ManualTime>(1'000, kStartMs);
  OwnCounts own(BurnSettings{}, base::Clock(time), 1);
  Cells recent =
      MakeCells(kStartMinute - kLongWindowMinutes, kLongWindowMinutes);
  for (auto _ : state) {
    state.PauseTiming();
    for (int number = 0; number < kRecords; ++number) {
      counts.Record(MakeRecord(number));
    }
    state.ResumeTiming();
    const Cells cells = counts.Take();
    own.Collect(cells);
    Add(cells, recent);
    benchmark::DoNotOptimize(MakeBurnView(recent, kStartMinute));
  }
}
BENCHMARK(CollectOneSecond);

// Memory of all buckets that are kept through a long outage of the store.
void KeepCountsThroughOutage(benchmark::State& state) {
  const auto buckets = static_cast<int>(state.range(0));
  double bytes = 0;
  for (auto _ : state) {
    const auto time = std::make_shared<base::ManualTime>(1'000, kStartMs);
    const auto before = mallinfo2().uordblks;
    OwnCounts own(BurnSettings{}, base::Clock(time), 1);
    for (int bucket = 0; bucket < buckets; ++bucket) {
      own.Collect(MakeCells(kStartMinute + bucket * kMinutesPerBucket,
                            kMinutesPerBucket));
      time->Advance(
          base::Milliseconds(kMinutesPerBucket * kMillisecondsPerMinute));
    }
    bytes = static_cast<double>(mallinfo2().uordblks - before);
  }
  state.counters["bytes"] = bytes;
}
BENCHMARK(KeepCountsThroughOutage)
    ->Arg(6)
    ->Arg(288)
    ->Unit(benchmark::kMillisecond);

StoredSegment MakeRaw(int vm, std::int64_t bucket) {
  StoredSegment stored;
  const RawKey key{"domain-" + std::to_string(vm % 16),
                   {"entry-" + std::to_string(vm), 1'794'297'600'000 + vm},
                   bucket,
                   0};
  stored.key = key.ToString();
  stored.segment.writer = key.writer;
  stored.segment.sequence = 10;
  stored.segment.range = {
      key.start_minute() * kMillisecondsPerMinute,
      (key.start_minute() + kMinutesPerBucket) * kMillisecondsPerMinute};
  stored.segment.is_closed = true;
  stored.segment.cells = MakeCells(key.start_minute(), kMinutesPerBucket);
  return stored;
}

// One flush of a whole bucket; its size in the store.
void EncodeRawSegment(benchmark::State& state) {
  const StoredSegment raw = MakeRaw(7, kStartMinute / kMinutesPerBucket);
  std::string text;
  for (auto _ : state) {
    text = EncodeSegment(raw.segment);
    benchmark::DoNotOptimize(text);
  }
  state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(EncodeRawSegment);

// The roll-up of a failure domain and hour: 94 VMs, six buckets each.
Segment MakeHour(std::int64_t first_minute, int vms) {
  constexpr std::int64_t kBuckets = kMinutesPerHour / kMinutesPerBucket;
  Segment hour;
  for (std::int64_t bucket = 0; bucket < kBuckets; ++bucket) {
    for (int vm = 0; vm < vms; ++vm) {
      MergeSegment(MakeRaw(vm * 16, first_minute / kMinutesPerBucket + bucket),
                   false, hour);
    }
  }
  return hour;
}

void EncodeHourSegment(benchmark::State& state) {
  const Segment hour = MakeHour(kStartMinute, static_cast<int>(state.range(0)));
  std::string text;
  for (auto _ : state) {
    text = EncodeSegment(hour);
    benchmark::DoNotOptimize(text);
  }
  state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(EncodeHourSegment)->Arg(1)->Arg(94)->Unit(benchmark::kMillisecond);

// The day of a fleet of 16 failure domains.
void EncodeDaySegment(benchmark::State& state) {
  constexpr int kHours = 24;
  constexpr int kDomains = 16;
  Segment day;
  for (int hour = 0; hour < kHours; ++hour) {
    for (int domain = 0; domain < kDomains; ++domain) {
      StoredSegment stored;
      stored.key = HourKey{kStartMinute / kMinutesPerHour + hour,
                           "domain-" + std::to_string(domain), 0}
                       .ToString();
      stored.segment.is_closed = true;
      stored.segment.cells =
          MakeCells(kStartMinute + hour * kMinutesPerHour, kMinutesPerHour);
      MergeSegment(stored, true, day);
    }
  }
  std::string text;
  for (auto _ : state) {
    text = EncodeSegment(day);
    benchmark::DoNotOptimize(text);
  }
  state.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(EncodeDaySegment)->Unit(benchmark::kMillisecond);

// One bucket of each of N VMs, as a report reads them.
std::vector<store::Entry> MakeEntries(std::int64_t vms) {
  std::vector<store::Entry> entries;
  for (int vm = 0; vm < vms; ++vm) {
    const StoredSegment raw = MakeRaw(vm, kStartMinute / kMinutesPerBucket);
    entries.push_back({raw.key, EncodeSegment(raw.segment), 1});
  }
  return entries;
}

ReportInput MakeInput(const std::vector<store::Entry>& entries) {
  ReportInput input;
  input.now_wall_ms = kStartMs + kMinutesPerBucket * kMillisecondsPerMinute;
  std::vector<std::string> damaged;
  for (StoredSegment& stored : DecodeEntries(entries, damaged)) {
    input.segments[stored.key] = std::move(stored.segment);
  }
  return input;
}

// Adding up alone, the part of a report that is one task.
void BuildAndFormat(benchmark::State& state) {
  const std::vector<store::Entry> entries = MakeEntries(state.range(0));
  const auto before = mallinfo2().uordblks;
  const ReportInput input = MakeInput(entries);
  state.counters["held_bytes"] =
      static_cast<double>(mallinfo2().uordblks - before);
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        FormatReport(BuildReport(input), ReportFormat::kHtml));
  }
}
BENCHMARK(BuildAndFormat)
    ->Arg(8)
    ->Arg(94)
    ->Arg(376)
    ->Arg(1'500)
    ->Unit(benchmark::kMillisecond);

// A report over one bucket of each of N VMs: decoding, then adding up.
void DecodeAndReport(benchmark::State& state) {
  const std::vector<store::Entry> entries = MakeEntries(state.range(0));
  double bytes = 0;
  for (const store::Entry& entry : entries) {
    bytes += static_cast<double>(entry.value.size());
  }
  for (auto _ : state) {
    const ReportInput input = MakeInput(entries);
    benchmark::DoNotOptimize(
        FormatReport(BuildReport(input), ReportFormat::kHtml));
  }
  state.counters["bytes"] = bytes;
}
BENCHMARK(DecodeAndReport)
    ->Arg(8)
    ->Arg(94)
    ->Arg(376)
    ->Arg(1'500)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace medlarspread::burn

BENCHMARK_MAIN();
