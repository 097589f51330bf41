// Starts and calls the processes of a cluster.

#include "tests/support/cluster.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <map>

// NOTE: cpprest's macro U breaks gtest's headers unless these come first.
#include <gtest/gtest.h>

#include <cpprest/json.h>

#include "tests/support/http_call.h"

namespace medlarspread::tests {

namespace {

using web::json::value;

constexpr char kToken[] = "token-of-the-tests";
constexpr int kIdentifierDigits = 16;

// The fields of one entry in the platform's list.
std::string VmRow(const Daemon& daemon) {
  return R"({"vms":[{"name":")" + daemon.name +
         R"(","role":"entry","state":"live","region":"r1",)"
         R"("failure_domain":"r1a","address":")" +
         daemon.peer + R"("}]})";
}

std::int64_t NumberOf(const value& json, const std::string& name) {
  return json.has_number_field(name) ? json.at(name).as_number().to_int64() : 0;
}

// `body` as JSON, or an empty object.
value ParseOrEmpty(const std::string& body) {
  try {
    return value::parse(body);
  } catch (const web::json::json_exception&) {
    return value::object();
  }
}

void ExpectOk(const http::Response& response, const std::string& call) {
  EXPECT_EQ(response.status, http::kOk) << call << ": " << response.body;
}

}  // namespace

Cluster::Cluster(const std::string& daemon_program,
                 const std::string& emulator_program,
                 std::uint64_t seed)
    : daemon_program_(daemon_program),
      emulator_program_(emulator_program),
      random_(seed) {
  std::string pattern = testing::TempDir() + "/medlarspread.XXXXXX";
  folder_ = mkdtemp(pattern.data());
  const auto ready =
      processes_.Start(emulator_program_, {"platform"}).AwaitReady();
  if (!ready) {
    throw std::runtime_error("the platform did not start");
  }
  platform_ = ready->at("address");
}

Cluster::~Cluster() {
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

Leaf& Cluster::StartLeaf(const std::string& name,
                         const std::string& holdings,
                         const std::vector<std::string>& options) {
  std::vector<std::string> arguments{
      "leaf",         "--name",    name,
      "--collection", kCollection, "--holdings",
      holdings,       "--seed",    std::to_string(random_.Below(1000)),
      "--platform",   platform_};
  arguments.insert(arguments.end(), options.begin(), options.end());
  Process& process = processes_.Start(emulator_program_, arguments);
  const auto ready = process.AwaitReady();
  if (!ready) {
    throw std::runtime_error("leaf " + name + " did not start");
  }
  leaves_.push_back({&process, name, ready->at("address")});
  return leaves_.back();
}

std::string Cluster::WriteSettings(const std::string& name) const {
  const std::filesystem::path path = folder_ / (name + ".ini");
  std::ofstream file(path);
  file << "[vm]\nname = " << name << "\nregion = r1\nfailure_domain = r1a\n"
       << "[callers]\naddress = 127.0.0.1:0\n"
       << "[operators]\naddress = 127.0.0.1:0\ntoken = " << kToken << "\n"
       << "[peers]\naddress = 127.0.0.1:0\n"
       << "[platform]\naddress = " << platform_ << "\n"
       << "[membership]\nheartbeat_ms = 200\ngone_after_ms = 1500\n"
       << "[log]\nlevel = warning\n";
  return path;
}

Daemon& Cluster::StartDaemon(const std::string& name) {
  Process& process = processes_.Start(
      daemon_program_, {"serve", "--settings", WriteSettings(name)});
  const auto ready = process.AwaitReady();
  if (!ready) {
    throw std::runtime_error("daemon " + name + " did not start");
  }
  daemons_.push_back({&process, name, ready->at("caller"), ready->at("admin"),
                      ready->at("peer")});
  Daemon& daemon = daemons_.back();
  ControlPlatform("vms", VmRow(daemon));
  return daemon;
}

void Cluster::StartSmall(int daemons,
                         const std::vector<std::string>& leaf_options) {
  for (const std::string replica : {"a", "b"}) {
    StartLeaf("low-" + replica, "1:1:0-32768", leaf_options);
    StartLeaf("high-" + replica, "1:1:32768-65536", leaf_options);
  }
  for (int index = 0; index < daemons; ++index) {
    StartDaemon("vm-" + std::to_string(index));
  }
  ASSERT_TRUE(WaitUntil([this] {
    return PutTargets(daemons_[0], "first", 1000, std::nullopt).status ==
           http::kOk;
  }));
  for (const Daemon& daemon : daemons_) {
    ASSERT_TRUE(AwaitFullAnswer(daemon)) << daemon.name;
  }
}

void Cluster::ControlPlatform(const std::string& call,
                              const std::string& body) const {
  ExpectOk(AwaitCall({.method = "POST",
                      .address = platform_,
                      .path = "/control/" + call,
                      .body = body}),
           call);
}

void Cluster::ControlLeaf(const Leaf& leaf, const std::string& body) const {
  ExpectOk(AwaitCall({.method = "PUT",
                      .address = leaf.address,
                      .path = "/control",
                      .body = body}),
           leaf.name);
}

void Cluster::ControlLeaves(const std::string& body) const {
  for (const Leaf& leaf : leaves_) {
    ControlLeaf(leaf, body);
  }
}

std::string Cluster::StoreContents() const {
  return AwaitCall({.address = platform_,
                    .path = "/v1/kv",
                    .parameters = {{"prefix", ""}}})
      .body;
}

LeafRuns Cluster::RunsOf(const Leaf& leaf) const {
  // NOTE: no request has this identifier, so the response contains only the
  // totals.
  const value json =
      ParseOrEmpty(AwaitCall({.address = leaf.address,
                              .path = "/control/runs",
                              .parameters = {{"request_id", "none"}}})
                       .body);
  return {NumberOf(json, "arrived"), NumberOf(json, "arrived_while_draining"),
          NumberOf(json, "started")};
}

int Cluster::MaxRunsOf(const std::string& request_id) const {
  std::map<std::int64_t, int> runs;
  for (const Leaf& leaf : leaves_) {
    const http::Response response =
        AwaitCall({.address = leaf.address,
                   .path = "/control/runs",
                   .parameters = {{"request_id", request_id}}});
    EXPECT_EQ(response.status, http::kOk) << leaf.name;
    const value json = ParseOrEmpty(response.body);
    for (const value& run : json.at("runs").as_array()) {
      runs[NumberOf(run, "low")] += static_cast<int>(NumberOf(run, "started"));
    }
  }
  int most = 0;
  for (const auto& [low, count] : runs) {
    most = std::max(most, count);
  }
  return most;
}

http::Response Cluster::Admin(const Daemon& daemon,
                              const std::string& method,
                              const std::string& path,
                              const std::string& body) const {
  return AwaitCall(
      {.method = method,
       .address = daemon.admin,
       .path = path,
       .body = body,
       .headers = {{"Authorization", std::string("Bearer ") + kToken}}});
}

http::Response Cluster::PutTargets(
    const Daemon& daemon,
    const std::string& change_id,
    int latency_ms,
    std::optional<std::int64_t> expected_revision) const {
  value body;
  body["change_id"] = value::string(change_id);
  if (expected_revision) {
    body["expected_revision"] = value::number(*expected_revision);
  }
  body["collection"] = value::string(kCollection);
  body["latency_ms"] = value::number(latency_ms);
  body["percentile"] = value::number(99);
  body["coverage"] = value::number(1.0);
  body["coverage_percentile"] = value::number(99);
  return Admin(daemon, "PUT", std::string("/v1/classes/") + kClass,
               body.serialize());
}

Cluster::InForce Cluster::TargetsOf(const Daemon& daemon) const {
  const value json = ParseOrEmpty(Admin(daemon, "GET", "/v1/classes", "").body);
  InForce in_force;
  in_force.revision = NumberOf(json, "revision");
  if (json.has_array_field("classes")) {
    for (const value& row : json.at("classes").as_array()) {
      if (row.at("name").as_string() == kClass) {
        in_force.latency_ms = static_cast<int>(NumberOf(row, "latency_ms"));
      }
    }
  }
  return in_force;
}

Ask Cluster::MakeAsk() {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  const std::string unique = random_.Hexadecimal(kIdentifierDigits);
  return {{std::to_string(now.count()) + "-" + unique,
           R"({"unique":")" + unique + "\"}"}};
}

std::future<base::Result<http::Response>> Cluster::Start(const Daemon& daemon,
                                                         const Ask& ask) const {
  value body;
  body["request_id"] = value::string(ask.asked.request_id);
  body["class"] = value::string(kClass);
  body["deadline_ms"] = value::number(ask.deadline_ms);
  body["idempotent"] = value::boolean(ask.is_idempotent);
  body["query"] = value::parse(ask.asked.query);
  return StartCall({.method = "POST",
                    .address = daemon.caller,
                    .path = "/v1/query",
                    .body = body.serialize()});
}

http::Response Cluster::Send(const Daemon& daemon, const Ask& ask) const {
  const auto result = Start(daemon, ask).get();
  if (result.is_ok()) {
    return result.value();
  }
  http::Response failure;
  failure.status = 0;
  failure.body = result.error().ToString();
  return failure;
}

bool Cluster::AwaitFullAnswer(const Daemon& daemon) {
  std::string last;
  const bool is_whole = WaitUntil([&] {
    const Ask ask = MakeAsk();
    const http::Response response = Send(daemon, ask);
    last = std::to_string(response.status) + " " + response.body;
    if (response.status != http::kOk) {
      return false;
    }
    const auto checked = CheckAnswer(ask.asked, response.body);
    EXPECT_EQ(checked.violation, emulator::Violation::kNone) << response.body;
    return !checked.is_partial;
  });
  EXPECT_TRUE(is_whole) << daemon.name << ": " << last;
  return is_whole;
}

}  // namespace medlarspread::tests
