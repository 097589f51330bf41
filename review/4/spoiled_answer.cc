// Asks for all shards. With trouble, half of the leaves spoil some of
// their answers: they break off within the head and send the whole answer after
// that. Checks that each success names only signatures that leaves made for
// that request, and has the greatest records of these parts.

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <thread>

#include "review/standins-2/fleet.h"
#include "review/standins-2/leaf.h"
#include "review/standins-2/store.h"

namespace medlarspread::review {
namespace {

// The dose of the kind garble in the day trouble-1 of the site kcps-photofind,
// for half of the leaves, again and again.
constexpr double kSpoiledShare = 0.04;
constexpr milliseconds kTroubleLength(5'000);
constexpr milliseconds kTroublePause(2'000);
constexpr int kTroubles = 10;
constexpr milliseconds kLeadBeforeTraffic(10'000);
constexpr milliseconds kCallerPause(15);
constexpr milliseconds kTimeout(1'500);
constexpr int kShards = 10;
constexpr int kCallersPerDaemon = 3;
constexpr std::size_t kRecordBytes = 16;
constexpr std::size_t kTopRecords = 10;
constexpr const char* kHost = "leno12.example";

// A success that a client got.
struct Success {
  std::string daemon;
  std::string id;
  Time received;
  std::vector<std::string> stamps;
  int missing = 0;
  std::string body;
};

std::string ShardName(int shard) {
  return "shard" + std::to_string(shard);
}

std::string MakeConfiguration() {
  std::string shards;
  std::string services;
  for (int shard = 0; shard < kShards; ++shard) {
    const std::string separator = shard == 0 ? "" : ",";
    shards += separator + "\"" + ShardName(shard) + "\"";
    services += separator + R"({"name":")" + ShardName(shard) +
                R"(","health_path":"/health","max_conns":26,)"
                R"("protocol":"h1","tls":false})";
  }
  return R"({"version":7,"routes":[{"name":"r-wa5xwyh","host":")" +
         std::string(kHost) +
         R"(","prefix":"/rany330/","kind":"idempotent","timeout_ms":1000,)"
         R"("slo_ms":100,"priority":1,"gather":[)" +
         shards +
         R"(],"attempts":2,"top_k":10,"min_coverage":0.89}],"services":[)" +
         services +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

// A part: twelve records of 16 bytes, in no order.
std::string MakePart() {
  static std::mutex mutex;
  static std::mt19937_64 random(11);
  const std::lock_guard lock(mutex);
  constexpr int kRecords = 12;
  constexpr const char* kDigits = "0123456789abcdef";
  std::string part;
  for (int record = 0; record < kRecords; ++record) {
    for (std::uint64_t bits = random(), at = 0; at < kRecordBytes; ++at) {
      part += kDigits[bits >> (4 * at) & 15];
    }
  }
  return part;
}

std::vector<std::string> SplitStamps(const std::string& text) {
  std::vector<std::string> stamps;
  std::istringstream parts(text);
  for (std::string stamp; std::getline(parts, stamp, ',');) {
    stamps.push_back(
        stamp.substr(std::min(stamp.find_first_not_of(' '), stamp.size())));
  }
  return stamps;
}

std::string TopRecords(const std::vector<std::string>& parts) {
  std::vector<std::string> records;
  for (const std::string& part : parts) {
    for (std::size_t at = 0; at + kRecordBytes <= part.size();
         at += kRecordBytes) {
      records.push_back(part.substr(at, kRecordBytes));
    }
  }
  std::sort(records.begin(), records.end(), std::greater<>());
  records.resize(std::min(records.size(), kTopRecords));
  std::string top;
  for (const std::string& record : records) {
    top += record;
  }
  return top;
}

class Case {
 public:
  Case(Record& record, std::string program, std::string folder)
      : record_(record),
        store_(record),
        fleet_(std::move(program),
               std::move(folder),
               store_.address(),
               1,
               record) {}

  // Ends all processes.
  void Stop() { fleet_.Stop(); }

  int Run(bool has_trouble) {
    for (int shard = 0; shard < kShards; ++shard) {
      for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
        AddLeaf(shard, zone);
      }
    }
    store_.Put("op/config", MakeConfiguration());
    fleet_.Start();
    if (!fleet_.WaitUntilReady(kLeadBeforeTraffic)) {
      return 2;
    }
    std::this_thread::sleep_for(kLeadBeforeTraffic);
    std::vector<std::thread> clients;
    for (const Daemon& daemon : fleet_.daemons()) {
      for (int caller = 0; caller < kCallersPerDaemon; ++caller) {
        clients.emplace_back([this, daemon] { Ask(daemon); });
      }
    }
    for (int trouble = 0; trouble < kTroubles; ++trouble) {
      std::this_thread::sleep_for(kTroublePause);
      SetSpoiledShare(has_trouble ? kSpoiledShare : 0.0);
      std::this_thread::sleep_for(kTroubleLength);
      SetSpoiledShare(0.0);
    }
    is_over_ = true;
    for (std::thread& client : clients) {
      client.join();
    }
    if (!fleet_.IsRunning()) {
      record_.Write("a daemon has ended");
      return 2;
    }
    return Judge();
  }

 private:
  // Every second leaf spoils answers.
  void SetSpoiledShare(double share) {
    for (std::size_t index = 0; index < leaves_.size(); index += 2) {
      leaves_[index]->set_spoiled_share(share);
    }
    record_.Write("leaves spoil " + std::to_string(share) + " of the answers");
  }

  void AddLeaf(int shard, std::size_t zone) {
    LeafSettings settings;
    settings.id = "i-" + std::to_string(shard) + "-" + std::to_string(zone + 1);
    settings.service = ShardName(shard);
    settings.zone = kZones[zone];
    settings.ip = "127.47.10." + std::to_string(leaves_.size() + 1);
    settings.slots = 2;
    settings.queue = 12;
    settings.work = milliseconds(7);
    settings.make_body = MakePart;
    leaves_.push_back(std::make_unique<Leaf>(settings));
    store_.Put("servers/" + settings.id, leaves_.back()->MakeEntry());
  }

  // A client that asks one daemon again and again.
  void Ask(const Daemon& daemon) {
    ClientConnection connection(daemon.front);
    while (!is_over_) {
      Success success;
      success.daemon = daemon.name;
      success.id = std::to_string(++ids_) + "-4";
      const auto answer = connection.Call(
          "GET /rany330/2f HTTP/1.1\r\nHost: " + std::string(kHost) +
              "\r\nMedlarspread-Request-Id: " + success.id +
              "\r\nMedlarspread-Deadline-Ms: 1000\r\n\r\n",
          kTimeout);
      const std::string status = answer ? answer->SecondWord() : "none";
      {
        const std::lock_guard lock(mutex_);
        ++statuses_[status];
        if (status == "200") {
          success.received = SteadyClock::now();
          success.stamps =
              SplitStamps(answer->Field("Medlarspread-Part-Stamps"));
          success.missing =
              std::atoi(answer->Field("Medlarspread-Missing-Parts").c_str());
          success.body = answer->body;
          successes_.push_back(success);
        }
      }
      std::this_thread::sleep_for(kCallerPause);
    }
  }

  // What is wrong with the success; empty if nothing is.
  static std::string FindFault(
      const Success& success,
      const std::map<std::string, const struct Run*>& runs) {
    std::vector<std::string> parts;
    for (const std::string& stamp : success.stamps) {
      const auto run = runs.find(stamp);
      if (run == runs.end() || run->second->request_id != success.id) {
        return "\"" + stamp + "\" is no signature for this request";
      }
      parts.push_back(run->second->body);
    }
    if (static_cast<int>(parts.size()) + success.missing != kShards) {
      return "parts and missing parts don't make up the shards";
    }
    return success.body == TopRecords(parts)
               ? ""
               : "the body isn't the greatest records of its parts";
  }

  int Judge() {
    std::map<std::string, const struct Run*> runs;
    std::vector<std::vector<struct Run>> all;
    std::size_t ran = 0;
    int spoiled = 0;
    for (const auto& leaf : leaves_) {
      all.push_back(leaf->runs());
    }
    for (const auto& of_leaf : all) {
      ran += of_leaf.size();
      for (const struct Run& run : of_leaf) {
        spoiled += run.is_spoiled ? 1 : 0;
        if (run.is_complete) {
          runs[run.stamp] = &run;
        }
      }
    }
    int wrong = 0;
    for (const Success& success : successes_) {
      const std::string fault = FindFault(success, runs);
      if (!fault.empty()) {
        ++wrong;
        record_.Write("success at " +
                      std::to_string(record_.MillisecondsOf(success.received)) +
                      " from " + success.daemon + " to id " + success.id +
                      ": " + fault);
      }
    }
    for (const auto& [status, count] : statuses_) {
      record_.Write("answers with status " + status + ": " +
                    std::to_string(count));
    }
    const std::string result =
        std::to_string(wrong) + " of " + std::to_string(successes_.size()) +
        " successes were wrong; leaves ran " + std::to_string(ran) +
        " requests and spoiled " + std::to_string(spoiled) + " answers";
    record_.Write(result);
    std::cout << result << std::endl;
    if (successes_.empty()) {
      return 2;
    }
    return wrong > 0 ? 1 : 0;
  }

  Record& record_;
  Store store_;
  Fleet fleet_;
  std::vector<std::unique_ptr<Leaf>> leaves_;
  std::atomic<bool> is_over_ = false;
  std::atomic<int> ids_ = 0;
  std::mutex mutex_;
  std::vector<Success> successes_;
  std::map<std::string, int> statuses_;
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
