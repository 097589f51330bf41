// The open connections to the store go silent, as connections may; new ones
// work. A fifth of a second later a leaf that never reports draining begins to
// leave: its entry is removed, and it serves on for drain_ms and a little
// longer. Checks at the leaf that no request reaches it later than drain_ms
// after the acknowledgement from daemons that are in touch.

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <thread>

#include "review/standins-2/fleet.h"
#include "review/standins-2/leaf.h"
#include "review/standins-2/store.h"

namespace medlarspread::review {
namespace {

// The bounds of the site kcps-photofind.
constexpr milliseconds kStableWindow(4'000);
constexpr milliseconds kDrain(3'000);
// The connections go silent at one moment; this much after it counts as part of
// it.
constexpr milliseconds kTroubleMargin(50);
// How much longer than drain_ms the leaf serves before it exits.
constexpr milliseconds kServesLonger(1'300);
constexpr milliseconds kTrafficLead(10'000);
constexpr milliseconds kObservation(6'000);
constexpr milliseconds kCallerPause(20);
constexpr int kCallersPerDaemon = 6;
constexpr milliseconds kTimeout(3'200);
constexpr const char* kHost = "hufi27.example";
constexpr const char* kService = "kafi81c";

// One request of a client.
struct Sent {
  std::string daemon;
  std::string id;
  Time at;
  // 0 if there was no answer.
  int status = 0;
};

class Case {
 public:
  Case(Record& record, std::string program, std::string folder)
      : record_(record),
        store_(record),
        fleet_(std::move(program),
               std::move(folder),
               store_.address(),
               3,
               record) {}

  // Ends all processes.
  void Stop() { fleet_.Stop(); }

  int Run(bool has_trouble) {
    for (const std::string& zone : kZones) {
      AddLeaf(zone, 1);
      AddLeaf(zone, 2);
    }
    store_.Put("op/config", MakeConfiguration());
    fleet_.Start();
    if (!fleet_.WaitUntilReady(kTrafficLead)) {
      return 2;
    }
    std::this_thread::sleep_for(kTrafficLead);
    std::vector<std::thread> clients;
    for (const Daemon& daemon : fleet_.daemons()) {
      for (int caller = 0; caller < kCallersPerDaemon; ++caller) {
        clients.emplace_back([this, daemon] { Ask(daemon); });
      }
    }
    std::this_thread::sleep_for(milliseconds(2'000));
    AwaitRenewal();
    const Time silent =
        has_trouble ? store_.SilenceOpenConnections() : SteadyClock::now();
    std::this_thread::sleep_for(milliseconds(200));
    // One leaf of six leaves.
    Leaf& leaving = *leaves_.front();
    const Time removed = store_.Remove("servers/" + leaving.settings().id);
    record_.Write("store: the removal of " + leaving.settings().id +
                  " is acknowledged");
    std::this_thread::sleep_until(removed + kDrain + kServesLonger);
    leaving.End();
    record_.Write("leaf " + leaving.settings().id + " exits");
    std::this_thread::sleep_until(removed + kObservation);
    is_over_ = true;
    for (std::thread& client : clients) {
      client.join();
    }
    if (!fleet_.IsRunning()) {
      record_.Write("the case could not run");
      return 2;
    }
    const Time in_touch =
        has_trouble ? silent + kTroubleMargin + kStableWindow : silent;
    return Judge(leaving, removed, in_touch);
  }

 private:
  static std::string MakeConfiguration() {
    return R"({"version":7,"routes":[{"name":"r-xmibw6k","host":")" +
           std::string(kHost) +
           R"(","prefix":"/goka902/","kind":"non_idempotent",)"
           R"("timeout_ms":3000,"slo_ms":300,"priority":2,"service":")" +
           kService + R"(","attempts":2}],"services":[{"name":")" + kService +
           R"(","health_path":"/health","max_conns":110,"protocol":"h1",)"
           R"("tls":false}],"limits":{"max_header_bytes":16384,)"
           R"("max_body_bytes":262144,"header_timeout_ms":3000,)"
           R"("idle_timeout_ms":15000}})";
  }

  void AddLeaf(const std::string& zone, int place) {
    LeafSettings settings;
    settings.id = "i-" + zone + "-" + std::to_string(place);
    settings.service = kService;
    settings.zone = zone;
    settings.ip = "127.47.10." + std::to_string(leaves_.size() + 1);
    settings.slots = 8;
    settings.work = milliseconds(30);
    leaves_.push_back(std::make_unique<Leaf>(settings));
    store_.Put("servers/" + settings.id, leaves_.back()->MakeEntry());
  }

  // Daemons that read the store renew their lease each second; begins right
  // after one did.
  void AwaitRenewal() {
    const Time began = SteadyClock::now();
    while (store_.last_renewal() < began &&
           SteadyClock::now() - began < milliseconds(2'000)) {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  // A client that asks one daemon again and again.
  void Ask(const Daemon& daemon) {
    ClientConnection connection(daemon.front);
    while (!is_over_) {
      Sent sent;
      sent.daemon = daemon.name;
      sent.id = std::to_string(++ids_) + "-6";
      sent.at = SteadyClock::now();
      const auto answer = connection.Call(
          "GET /goka902/2f HTTP/1.1\r\nHost: " + std::string(kHost) +
              "\r\nMedlarspread-Request-Id: " + sent.id +
              "\r\nMedlarspread-Deadline-Ms: 3000\r\n\r\n",
          kTimeout);
      sent.status = answer ? std::atoi(answer->SecondWord().c_str()) : 0;
      {
        const std::lock_guard lock(mutex_);
        sent_[sent.id] = sent;
      }
      std::this_thread::sleep_for(kCallerPause);
    }
  }

  int Judge(const Leaf& leaving, Time removed, Time in_touch) {
    int late = 0;
    int lost = 0;
    int counted = 0;
    milliseconds latest{};
    for (const auto& [id, sent] : sent_) {
      record_.Write("sent " + std::to_string(record_.MillisecondsOf(sent.at)) +
                    " to " + sent.daemon + " id " + id + ": status " +
                    std::to_string(sent.status));
      counted += sent.at > in_touch ? 1 : 0;
    }
    for (const struct Run& run : leaving.runs()) {
      const Sent& sent = sent_[run.request_id];
      const auto after =
          std::chrono::duration_cast<milliseconds>(run.arrived - removed);
      const bool is_late = after > kDrain && sent.at > in_touch;
      if (after > milliseconds(0)) {
        record_.Write("leaf " + leaving.settings().id + " ran id " +
                      run.request_id + ", which reached it " +
                      std::to_string(after.count()) +
                      " ms after its removal, from " + sent.daemon +
                      (run.is_complete ? "" : "; not completed when it ended") +
                      (is_late ? "; too late" : ""));
      }
      late += is_late ? 1 : 0;
      lost += is_late && !run.is_complete && sent.status >= 500 ? 1 : 0;
      latest = is_late ? std::max(latest, after) : latest;
    }
    const std::string result =
        std::to_string(late) + " requests reached a leaf later than " +
        std::to_string(kDrain.count()) +
        " ms after its removal was acknowledged, from daemons in touch (the "
        "last " +
        std::to_string(latest.count()) + " ms after it); " +
        std::to_string(lost) +
        " of them, not idempotent, ended with the leaf; " +
        std::to_string(counted) + " requests were sent in that time";
    record_.Write(result);
    std::cout << result << std::endl;
    if (counted == 0) {
      return 2;
    }
    return late > 0 ? 1 : 0;
  }

  Record& record_;
  Store store_;
  Fleet fleet_;
  std::vector<std::unique_ptr<Leaf>> leaves_;
  std::atomic<bool> is_over_ = false;
  std::atomic<int> ids_ = 0;
  std::mutex mutex_;
  std::map<std::string, Sent> sent_;
};

}  // namespace
}  // namespace medlarspread::review

// Arguments: the daemon's program, a folder for its files, the record's file
// and whether there is trouble (0 or 1).
int main(int count, char** arguments) {
  if (count != 5) {
    return 2;
  }
  medlarspread::review::Record record(arguments[3]);
  const bool has_trouble = std::string(arguments[4]) != "0";
  // NOTE: never destroyed; the threads of the stand-ins use it until the
  // process ends.
  auto* run =
      new medlarspread::review::Case(record, arguments[1], arguments[2]);
  const int status = run->Run(has_trouble);
  run->Stop();
  std::_Exit(status);
}
