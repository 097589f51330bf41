// Measures the client half of leaf requests: a closed loop of fan-outs through
// upstream::LeafClient to stand-in leaves in another process. Prints one line
// with the processor time a request, the latency of a fan-out, the connections
// and the memory. With --idle it measures the memory of idle clients instead.

#include <algorithm>
#include <atomic>
#include <fstream>
#include <future>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <cpprest/json.h>
#include <cxxopts.hpp>

#include "bench/upstream/process_usage.h"
#include "src/base/clock.h"
#include "src/http/listener.h"
#include "src/upstream/health_client.h"
#include "src/upstream/leaf_client.h"

namespace medlarspread::bench {
namespace {

using blackboard::Upstream;
using upstream::LeafOutcome;
using upstream::LeafReply;
using upstream::LeafRequest;

constexpr base::Duration kDeadline = base::Milliseconds(10'000);
constexpr double kMicrosecondsPerSecond = 1e6;

struct Options {
  std::string ready_file;
  int fan_out = 25;
  int concurrency = 4;
  int seconds = 5;
  int threads = 4;
  int idle_clients = 0;
  bool is_at_most_once = false;
};

// The leaves that the stand-in reported in its ready lines.
std::vector<Upstream> ReadLeaves(const std::string& path) {
  std::vector<Upstream> leaves;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    const auto row = web::json::value::parse(line);
    Upstream leaf;
    leaf.name = row.at("name").as_string();
    leaf.address = row.at("address").as_string();
    leaf.collection = row.at("collection").as_string();
    leaf.connections = 1'000;
    leaves.push_back(std::move(leaf));
  }
  return leaves;
}

std::unique_ptr<upstream::LeafClient> MakeClient() {
  upstream::LeafClientSettings settings;
  settings.connections.idle_time = base::Milliseconds(120'000);
  return std::make_unique<upstream::LeafClient>(
      settings, base::Clock(), base::TaskRunner(http::TrafficContext()));
}

void ReadHoldings(const upstream::LeafClient& client,
                  std::vector<Upstream>& leaves) {
  const auto read = upstream::HealthClient(client.connections()).read_health();
  for (Upstream& leaf : leaves) {
    std::promise<base::Result<upstream::LeafHealth>> promise;
    read(leaf, kDeadline,
         [&promise](base::Result<upstream::LeafHealth> health) {
           promise.set_value(std::move(health));
         });
    const auto health = promise.get_future().get();
    if (!health.is_ok() || health.value().holdings.empty()) {
      std::cerr << leaf.name << " holds nothing\n";
      std::exit(1);
    }
    leaf.holdings = health.value().holdings;
  }
}

// Keeps `concurrency` fan-outs going until it is told to stop.
class Load {
 public:
  Load(const Options& options,
       const std::vector<Upstream>& leaves,
       upstream::LeafPort port)
      : options_(options), leaves_(leaves), port_(std::move(port)) {}

  void Start() {
    for (int index = 0; index < options_.concurrency; ++index) {
      StartFanOut();
    }
  }
  // Returns once no request is in flight.
  void Stop() {
    is_stopping_ = true;
    while (running_ > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  void Reset() {
    const std::lock_guard lock(mutex_);
    latencies_.clear();
    requests_ = 0;
    failures_ = 0;
  }

  std::int64_t requests() const { return requests_; }
  std::int64_t failures() const { return failures_; }
  // Sorted.
  std::vector<std::int64_t> TakeLatencies() {
    const std::lock_guard lock(mutex_);
    std::sort(latencies_.begin(), latencies_.end());
    return std::move(latencies_);
  }

 private:
  struct FanOut {
    base::MonotonicTime start;
    std::atomic<int> left = 0;
  };

  void StartFanOut() {
    ++running_;
    auto fan_out = std::make_shared<FanOut>();
    fan_out->start = clock_.Now();
    fan_out->left = options_.fan_out;
    const std::size_t first = next_leaf_.fetch_add(options_.fan_out);
    for (int index = 0; index < options_.fan_out; ++index) {
      const Upstream& leaf = leaves_[(first + index) % leaves_.size()];
      port_.send(leaf, MakeRequest(leaf), [this, fan_out](LeafReply reply) {
        DidReply(*fan_out, reply);
      });
    }
  }

  LeafRequest MakeRequest(const Upstream& leaf) {
    return {.attempt_id = "attempt-" + std::to_string(++next_attempt_),
            .request_id = "1764691200000-4f2a9c3e5b7d",
            .class_name = "counter-lookup",
            .collection = leaf.collection,
            .snapshot = leaf.holdings.front().snapshot,
            .range = leaf.holdings.front().range,
            .deadline_left = kDeadline,
            .is_at_most_once = options_.is_at_most_once,
            .query = R"({"consignment":"KL-07-4711","fields":["photo"]})"};
  }

  void DidReply(FanOut& fan_out, const LeafReply& reply) {
    ++requests_;
    failures_ += reply.outcome == LeafOutcome::kAnswered ? 0 : 1;
    if (--fan_out.left > 0) {
      return;
    }
    {
      const std::lock_guard lock(mutex_);
      latencies_.push_back((clock_.Now() - fan_out.start).count());
    }
    if (!is_stopping_) {
      StartFanOut();
    }
    --running_;
  }

  const Options& options_;
  const std::vector<Upstream>& leaves_;
  const upstream::LeafPort port_;
  const base::Clock clock_;
  std::atomic<bool> is_stopping_ = false;
  std::atomic<int> running_ = 0;
  std::atomic<std::size_t> next_leaf_ = 0;
  std::atomic<std::int64_t> next_attempt_ = 0;
  std::atomic<std::int64_t> requests_ = 0;
  std::atomic<std::int64_t> failures_ = 0;
  std::mutex mutex_;
  std::vector<std::int64_t> latencies_;
};

double Percentile(const std::vector<std::int64_t>& sorted, double share) {
  if (sorted.empty()) {
    return 0.0;
  }
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return base::ToMilliseconds(base::Duration(sorted[index]));
}

void MeasureLoad(const Options& options, const std::vector<Upstream>& leaves) {
  const auto client = MakeClient();
  Load load(options, leaves, client->port());
  load.Start();
  // Connections are opened in the first second, which is not counted.
  std::this_thread::sleep_for(std::chrono::seconds(1));
  load.Reset();
  const std::int64_t cpu_before = ProcessorMicroseconds();
  const base::MonotonicTime start = base::Clock().Now();
  std::this_thread::sleep_for(std::chrono::seconds(options.seconds));
  const std::int64_t requests = load.requests();
  const auto cpu = static_cast<double>(ProcessorMicroseconds() - cpu_before);
  const double seconds =
      static_cast<double>((base::Clock().Now() - start).count()) /
      kMicrosecondsPerSecond;
  const auto latencies = load.TakeLatencies();
  load.Stop();
  const auto counters = client->counters();
  std::printf(
      "threads=%d fan_out=%d concurrency=%d at_most_once=%d "
      "requests_per_s=%.0f failed=%ld "
      "cpu_us_per_request=%.1f cpu_us_per_fan_out=%.0f cores=%.2f "
      "fan_out_p50_ms=%.2f fan_out_p99_ms=%.2f sockets=%d resident_mb=%.1f "
      "refused=%ld\n",
      options.threads, options.fan_out, options.concurrency,
      options.is_at_most_once ? 1 : 0, static_cast<double>(requests) / seconds,
      static_cast<long>(load.failures()), cpu / static_cast<double>(requests),
      cpu / static_cast<double>(requests) * options.fan_out,
      cpu / kMicrosecondsPerSecond / seconds, Percentile(latencies, 0.5),
      Percentile(latencies, 0.99), OpenSockets(),
      static_cast<double>(ResidentBytes()) / (1 << 20),
      static_cast<long>(counters.queries_refused));
}

// Opens one connection of each of many clients to each leaf and leaves them.
void MeasureIdle(const Options& options, const std::vector<Upstream>& leaves) {
  Options once = options;
  once.fan_out = static_cast<int>(leaves.size());
  once.concurrency = 1;
  std::vector<std::unique_ptr<upstream::LeafClient>> clients;
  const int sockets_before = OpenSockets();
  const std::int64_t bytes_before = ResidentBytes();
  for (int index = 0; index < options.idle_clients; ++index) {
    clients.push_back(MakeClient());
    Load load(once, leaves, clients.back()->port());
    load.Start();
    load.Stop();
  }
  const int connections = OpenSockets() - sockets_before;
  const std::int64_t bytes = ResidentBytes() - bytes_before;
  std::printf("idle_connections=%d bytes_per_connection=%.0f\n", connections,
              static_cast<double>(bytes) / connections);
}

int Run(int count, char** arguments) {
  Options options;
  cxxopts::Options parser("medlarspread_leaf_client_load");
  parser.add_options()("ready", "file with the leaves' ready lines",
                       cxxopts::value(options.ready_file))(
      "fan-out", "requests per query", cxxopts::value(options.fan_out))(
      "concurrency", "queries at once", cxxopts::value(options.concurrency))(
      "seconds", "how long", cxxopts::value(options.seconds))(
      "threads", "traffic threads", cxxopts::value(options.threads))(
      "idle", "measure the memory of so many idle clients a leaf",
      cxxopts::value(options.idle_clients))(
      "at-most-once", "send non-idempotent requests",
      cxxopts::value(options.is_at_most_once));
  parser.parse(count, arguments);
  http::InitializeTrafficThreads(options.threads);
  std::vector<Upstream> leaves = ReadLeaves(options.ready_file);
  if (leaves.empty()) {
    std::cerr << "no leaves in " << options.ready_file << "\n";
    return 1;
  }
  ReadHoldings(*MakeClient(), leaves);
  if (options.idle_clients > 0) {
    MeasureIdle(options, leaves);
  } else {
    MeasureLoad(options, leaves);
  }
  return 0;
}

}  // namespace
}  // namespace medlarspread::bench

int main(int count, char** arguments) {
  return medlarspread::bench::Run(count, arguments);
}
