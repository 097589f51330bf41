// Times claims of one daemon against the platform stand-in over loopback HTTP,
// both in this process, at a few rates for a few seconds each. What it prints
// depends on the VM and on what else runs there.

#include <atomic>
#include <chrono>
#include <cmath>
#include <ctime>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <spdlog/fmt/fmt.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "bench/claims/percentile.h"
#include "emulator/platform/platform_service.h"
#include "src/blackboard/blackboard.h"
#include "src/claims/claim_service.h"
#include "src/http/listener.h"
#include "src/store/store_client.h"

namespace medlarspread::claims {
namespace {

constexpr int kTrafficThreads = 4;
constexpr std::size_t kLargestBody = 4 << 20;
constexpr double kWritesPerSecond = 400;
constexpr double kReadsPerSecond = 2000;
constexpr base::Duration kDeadline = base::Milliseconds(500);
constexpr auto kRunTime = std::chrono::seconds(5);

struct Outcomes {
  std::mutex mutex;
  std::vector<base::Duration> waits;
  std::atomic<int> asked{0};
  std::atomic<int> settled{0};
};

void Submit(const ClaimPort& claim,
            base::Random& random,
            const std::shared_ptr<Outcomes>& outcomes) {
  const base::Clock clock;
  const base::MonotonicTime asked = clock.Now();
  ++outcomes->asked;
  claim(std::to_string(clock.WallMilliseconds()) + "-" + random.Hexadecimal(16),
        random.Hexadecimal(16), kDeadline,
        [outcomes, asked, clock](const ClaimResult& result) {
          ++outcomes->settled;
          if (result.outcome == ClaimOutcome::kGranted) {
            const std::lock_guard lock(outcomes->mutex);
            outcomes->waits.push_back(clock.Now() - asked);
          }
        });
}

// Evenly spaced; a claim that is late is sent at once.
void SubmitAtRate(const ClaimPort& claim,
                  base::Random& random,
                  const std::shared_ptr<Outcomes>& outcomes,
                  int claims_per_second) {
  const auto start = std::chrono::steady_clock::now();
  const std::chrono::nanoseconds gap =
      std::chrono::nanoseconds(std::chrono::seconds(1)) / claims_per_second;
  auto next = start;
  while (next < start + kRunTime) {
    std::this_thread::sleep_until(next);
    Submit(claim, random, outcomes);
    next += gap;
  }
  while (outcomes->settled < outcomes->asked) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void Measure(const std::string& address, int claims_per_second) {
  boost::asio::io_context context;
  auto work = boost::asio::make_work_guard(context);
  const base::TaskRunner runner(context);
  base::Random random(std::random_device{}());
  blackboard::Blackboard blackboard;
  blackboard::MembershipView view;
  view.self = "vm";
  view.members["vm"].name = "vm";
  blackboard.membership.Write(view);
  const store::StoreClient client({.address = address}, runner);
  ClaimService service(ClaimSettings(), base::Clock(), random, runner,
                       client.store(), peer::PeerPort(), blackboard);
  std::thread control([&context] { context.run(); });
  const auto outcomes = std::make_shared<Outcomes>();
  SubmitAtRate(service.port(), random, outcomes, claims_per_second);
  std::atomic<bool> is_read{false};
  ClaimCounts counts;
  service.ReadCounts([&](const ClaimCounts& read) {
    counts = read;
    is_read = true;
  });
  while (!is_read) {
    std::this_thread::yield();
  }
  const double seconds = std::chrono::duration<double>(kRunTime).count();
  fmt::print(
      "{:>8} {:>8} {:>8.1f} {:>7.2f} {:>7.2f} {:>7.2f}\n", claims_per_second,
      counts.granted, static_cast<double>(counts.swaps) / seconds,
      Percentile(outcomes->waits, 0.5), Percentile(outcomes->waits, 0.99),
      Percentile(outcomes->waits, 1.0));
  context.stop();
  control.join();
}

int Run() {
  http::InitializeTrafficThreads(kTrafficThreads);
  const auto store = std::make_shared<emulator::PlatformService>(
      emulator::CallRates{kWritesPerSecond, kReadsPerSecond}, base::Clock(),
      base::TaskRunner(http::TrafficContext()));
  http::Listener listener(
      {.address = "127.0.0.1:0", .max_body_bytes = kLargestBody},
      [store](const http::Request& request, http::Responder respond) {
        store->DidReceive(request, std::move(respond));
      });
  if (!listener.Open().is_ok()) {
    return 1;
  }
  fmt::print("{:>8} {:>8} {:>8} {:>7} {:>7} {:>7}\n", "claims/s", "granted",
             "swaps/s", "median", "p99", "max ms");
  for (const int rate : {1, 10, 100, 1000}) {
    Measure(listener.address(), rate);
  }
  listener.Close();
  return 0;
}

}  // namespace
}  // namespace medlarspread::claims

int main() {
  return medlarspread::claims::Run();
}
