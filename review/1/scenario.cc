// Requests that must run once at most, against leaves of which some send a few
// of their answers a second time, late.
//
// Usage: scenario RECORD STORE_PORT TROUBLE CALLER:READINESS...
// Exits with 1 if a request has run twice, or was answered 429 or 503 and ran.

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/standins/caller.h"
#include "review/standins/fleet.h"
#include "review/standins/leaf.h"
#include "review/standins/record.h"
#include "review/standins/store.h"

namespace medlarspread::review {
namespace {

constexpr int kLeaves = 5;
// At most 0.6 of the leaves, 0.03 of their answers, for 5 s at a time.
constexpr int kFaultyLeaves = 3;
constexpr double kExtraShare = 0.03;
constexpr std::chrono::milliseconds kTrouble(5'000);
constexpr std::chrono::milliseconds kPause(1'000);
constexpr int kRounds = 16;
constexpr int kClientsPerDaemon = 14;
constexpr int kDeadlineMs = 3'000;
constexpr int kReadyTimeoutMs = 20'000;
constexpr std::chrono::milliseconds kThinkTime(40);
constexpr int kRetryAfterMs = 250;
constexpr std::chrono::seconds kSettle(4);

constexpr const char* kConfiguration =
    R"({"version":7,"routes":[{"name":"pay","host":"pay.example",)"
    R"("prefix":"/pay/","kind":"non_idempotent","timeout_ms":3000,)"
    R"("slo_ms":1000,"priority":1,"service":"ledger","attempts":1}],)"
    R"("services":[{"name":"ledger","health_path":"/health","max_conns":38}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

// The final status of each request; 0 if the connection ended without one.
class Statuses {
 public:
  void Add(const std::string& id, int status) {
    const std::lock_guard lock(mutex_);
    statuses_[id] = status;
  }
  std::map<std::string, int> all() const {
    const std::lock_guard lock(mutex_);
    return statuses_;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int> statuses_;
};

// Sends one request after the other on one connection.
void RunClient(const std::string& name,
               int port,
               const std::atomic<bool>& is_over,
               Statuses& statuses,
               Record& record) {
  Caller caller(port);
  for (int number = 0; !is_over; ++number) {
    const std::string id = name + "-" + std::to_string(number);
    const int status = caller
                           .Send({"POST", "pay.example", "/pay/" + id, id,
                                  "amount=1&reference=" + id, kDeadlineMs})
                           .status;
    statuses.Add(id, status);
    record.Add(id + ": the client got " + std::to_string(status));
    // A refused client comes back as Retry-After says, with a new identifier.
    std::this_thread::sleep_for(status == 429 || status == 503
                                    ? std::chrono::milliseconds(kRetryAfterMs)
                                    : kThinkTime);
  }
}

int Judge(const std::vector<std::unique_ptr<Leaf>>& leaves,
          const Statuses& statuses,
          Record& record) {
  std::map<std::string, int> runs;
  int rejections = 0;
  int extra = 0;
  for (const auto& leaf : leaves) {
    rejections += leaf->rejections();
    extra += leaf->extra_answers();
    for (const auto& [id, count] : leaf->runs()) {
      runs[id] += count;
    }
  }
  int twice = 0;
  for (const auto& [id, count] : runs) {
    if (count > 1) {
      ++twice;
      record.Add("TWICE: " + id + " has run " + std::to_string(count) +
                 " times");
    }
  }
  int refused = 0;
  std::map<int, int> totals;
  for (const auto& [id, status] : statuses.all()) {
    ++totals[status];
    if ((status == 429 || status == 503) && runs.contains(id)) {
      ++refused;
      record.Add("REFUSED: " + id + " was answered " + std::to_string(status) +
                 " and has run");
    }
  }
  std::string text = "requests by status:";
  for (const auto& [status, count] : totals) {
    text += " " + std::to_string(status) + "=" + std::to_string(count);
  }
  record.Add(text + "; rejections by leaves: " + std::to_string(rejections) +
             "; answers sent twice: " + std::to_string(extra));
  record.Add("run more than once: " + std::to_string(twice) +
             "; refused and run: " + std::to_string(refused));
  if (totals[200] == 0) {
    return kCouldNotRun;
  }
  return twice + refused > 0 ? kBroken : kHeld;
}

int Run(int argc, char** argv) {
  if (argc < 5) {
    return kCouldNotRun;
  }
  Record record(argv[1]);
  Store store;
  if (store.Open(std::atoi(argv[2])) == 0) {
    return kCouldNotRun;
  }
  const bool has_trouble = std::string(argv[3]) != "0";
  const std::vector<Daemon> daemons = ParseDaemons(argc - 4, argv + 4);
  std::vector<std::unique_ptr<Leaf>> leaves;
  for (int index = 0; index < kLeaves; ++index) {
    leaves.push_back(std::make_unique<Leaf>(
        LeafSettings{"i-" + std::to_string(index), "ledger", "hall-1"},
        record));
    leaves.back()->Open();
    leaves.back()->Register(store);
  }
  store.Put("op/config", kConfiguration);
  if (!AwaitReady(daemons, kReadyTimeoutMs)) {
    record.Add("the daemons did not get ready");
    std::_Exit(kCouldNotRun);
  }
  record.Add("the daemons are ready");
  Statuses statuses;
  std::atomic<bool> is_over = false;
  std::vector<std::thread> clients;
  for (const Daemon& daemon : daemons) {
    for (int index = 0; index < kClientsPerDaemon; ++index) {
      const std::string name = "c" + std::to_string(clients.size());
      clients.emplace_back([&, name, port = daemon.caller_port] {
        RunClient(name, port, is_over, statuses, record);
      });
    }
  }
  for (int round = 0; round < kRounds; ++round) {
    std::this_thread::sleep_for(kPause);
    record.Add("some leaves send answers twice from now on");
    for (int index = 0; index < kFaultyLeaves; ++index) {
      leaves[index]->set_extra_share(has_trouble ? kExtraShare : 0.0);
    }
    std::this_thread::sleep_for(kTrouble);
    for (const auto& leaf : leaves) {
      leaf->set_extra_share(0.0);
    }
    record.Add("all leaves are sound again");
  }
  is_over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  std::this_thread::sleep_for(kSettle);
  // The threads of the stand-ins still use these objects.
  std::_Exit(Judge(leaves, statuses, record));
}

}  // namespace
}  // namespace medlarspread::review

int main(int argc, char** argv) {
  return medlarspread::review::Run(argc, argv);
}
