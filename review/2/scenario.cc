// Daemons are stopped and started in turn. While one is down, the operator
// moves a route to another service, and a new leaf registers. Reads of the
// store with stale_ok may be 2 s old.
//
// Usage: scenario RECORD STORE_PORT TROUBLE FOLDER CALLER:READINESS...
// FOLDER has the files 0.pid, 1.pid, ... with the daemons' processes. Exits
// with 1 if a machine in touch runs a request at the old service.

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
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

using std::chrono::milliseconds;

// The site's bounds.
constexpr milliseconds kConfigApply(3'000);
constexpr milliseconds kStableWindow(4'000);
// "A read ... may be seconds old": one replica of the store is current, the
// other one this far behind. Either of them answers such a read.
constexpr milliseconds kReplicaLag(2'000);
// The page size of the site file.
constexpr std::size_t kPageSize = 50;

constexpr int kRounds = 13;
// From the signal until the changes; the daemon ends 2.8 s after the signal.
constexpr milliseconds kUntilChanges(2'200);
constexpr milliseconds kBetweenChanges(200);
constexpr milliseconds kRestartTimeout(8'000);
constexpr milliseconds kMargin(300);
constexpr int kRequestsPerRound = 10;
constexpr int kDeadlineMs = 3'000;
constexpr int kReadyTimeoutMs = 20'000;

constexpr int kLeavesOfOthers = 44;
const std::string kServices[] = {"counter-desk", "archive-audit"};

std::string Configuration(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r-lookup","host":"awb.example",)"
         R"("prefix":"/lookup/","kind":"idempotent","timeout_ms":3000,)"
         R"("slo_ms":300,"priority":2,"service":")" +
         kServices[version % 2] +
         R"(","attempts":2}],"services":[{"name":"counter-desk",)"
         R"("health_path":"/health","max_conns":110},)"
         R"({"name":"archive-audit","health_path":"/health",)"
         R"("max_conns":110}],"limits":{"max_header_bytes":16384,)"
         R"("max_body_bytes":262144,"header_timeout_ms":3000,)"
         R"("idle_timeout_ms":15000}})";
}

class Scenario {
 public:
  Scenario(const std::string& record_file,
           std::string folder,
           std::vector<Daemon> daemons,
           bool has_trouble)
      : record_(record_file),
        folder_(std::move(folder)),
        daemons_(std::move(daemons)),
        has_trouble_(has_trouble) {}

  int Run(int store_port);

 private:
  void AddLeaf(const std::string& id, const std::string& service);
  // Stops a daemon, makes the changes, and checks the daemon once it is in
  // touch again. Returns false if it did not come back.
  bool RunRound(int round);
  void CheckRequests(std::size_t daemon);
  int pid(std::size_t daemon) const;

  Record record_;
  const std::string folder_;
  const std::vector<Daemon> daemons_;
  const bool has_trouble_;
  Store store_;
  std::vector<std::unique_ptr<Leaf>> leaves_;
  // The services of the leaves, in the same order.
  std::vector<std::string> services_;
  int version_ = 7;
  int requests_ = 0;
  int by_old_version_ = 0;
};

void Scenario::AddLeaf(const std::string& id, const std::string& service) {
  LeafSettings settings;
  settings.id = id;
  settings.service = service;
  settings.zone = "hall-1";
  settings.queue = 12;
  settings.work_ms = 20;
  leaves_.push_back(std::make_unique<Leaf>(settings, record_));
  services_.push_back(service);
  leaves_.back()->Open();
  leaves_.back()->Register(store_);
}

int Scenario::pid(std::size_t daemon) const {
  std::ifstream file(folder_ + "/" + std::to_string(daemon) + ".pid");
  int pid = 0;
  file >> pid;
  return pid;
}

void Scenario::CheckRequests(std::size_t daemon) {
  Caller caller(daemons_[daemon].caller_port);
  for (int number = 0; number < kRequestsPerRound; ++number) {
    const std::string id = "q" + std::to_string(requests_++);
    const CallerOutcome outcome = caller.Send(
        {"GET", "awb.example", "/lookup/" + id, id, "", kDeadlineMs});
    std::string service = "none";
    for (std::size_t leaf = 0; leaf < leaves_.size(); ++leaf) {
      if (leaves_[leaf]->runs().contains(id)) {
        service = services_[leaf];
      }
    }
    record_.Add(id + ": status " + std::to_string(outcome.status) +
                " by daemon " + std::to_string(daemon));
    std::string line = id;
    line += ": run by a leaf of ";
    line += service;
    record_.Add(line);
    if (service == kServices[(version_ + 1) % 2]) {
      ++by_old_version_;
      record_.Add("CONFIG: " + id + " was run by the old service");
    }
  }
}

bool Scenario::RunRound(int round) {
  const std::size_t daemon = round % daemons_.size();
  const int before = pid(daemon);
  if (has_trouble_) {
    record_.Add("SIGTERM to daemon " + std::to_string(daemon));
    kill(before, SIGTERM);
  }
  std::this_thread::sleep_for(kUntilChanges);
  store_.Put("op/config", Configuration(++version_));
  record_.Add("the store acknowledged version " + std::to_string(version_));
  std::this_thread::sleep_for(kBetweenChanges);
  AddLeaf("i-f" + std::to_string(100 + round), kServices[0]);
  record_.Add("a leaf of " + kServices[0] + " has registered");
  const auto started = std::chrono::steady_clock::now();
  while (has_trouble_ && pid(daemon) == before) {
    if (std::chrono::steady_clock::now() - started > kRestartTimeout) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  record_.Add("daemon " + std::to_string(daemon) + " runs");
  // Later than both bounds: the change's, and that of being in touch.
  std::this_thread::sleep_for(std::max(kConfigApply, kStableWindow) + kMargin);
  CheckRequests(daemon);
  return true;
}

int Scenario::Run(int store_port) {
  store_.set_page_size(kPageSize);
  store_.set_replica_lags({kReplicaLag, milliseconds(0)});
  if (store_.Open(store_port) == 0) {
    return kCouldNotRun;
  }
  for (int index = 0; index < kLeavesOfOthers; ++index) {
    AddLeaf("i-" + std::to_string(100 + index),
            "dispute-desk~" + std::to_string(index / 3));
  }
  for (int index = 0; index < 5; ++index) {
    AddLeaf("i-b" + std::to_string(100 + index), kServices[0]);
    AddLeaf("i-e" + std::to_string(100 + index), kServices[1]);
  }
  store_.Put("op/config", Configuration(version_));
  if (!AwaitReady(daemons_, kReadyTimeoutMs)) {
    record_.Add("the daemons did not get ready");
    return kCouldNotRun;
  }
  std::this_thread::sleep_for(kStableWindow);
  for (int round = 0; round < kRounds; ++round) {
    if (!RunRound(round)) {
      record_.Add("a daemon did not come back");
      return kCouldNotRun;
    }
  }
  record_.Add("requests: " + std::to_string(requests_) +
              "; run by the old service: " + std::to_string(by_old_version_));
  return by_old_version_ > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace medlarspread::review

int main(int argc, char** argv) {
  using medlarspread::review::kCouldNotRun;
  using medlarspread::review::ParseDaemons;
  if (argc < 6) {
    return kCouldNotRun;
  }
  const bool has_trouble = std::string(argv[3]) != "0";
  medlarspread::review::Scenario scenario(
      argv[1], argv[4], ParseDaemons(argc - 5, argv + 5), has_trouble);
  // The threads of the stand-ins still use the scenario's objects.
  std::_Exit(scenario.Run(std::atoi(argv[2])));
}
