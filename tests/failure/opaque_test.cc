// Runs the real daemon with the opaque interface as processes against emulated
// stores and leaves.

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

#include <gtest/gtest.h>
#include <boost/asio/write.hpp>

#include "emulator/hosted/hosted_leaf.h"
#include "emulator/hosted/hosted_store.h"
#include "tests/support/free_port.h"
#include "tests/support/http_call.h"
#include "tests/support/process_group.h"

namespace medlarspread::tests {
namespace {

using emulator::HostedLeaf;
using emulator::HostedStore;
using emulator::LeafBehavior;

constexpr int kNotFound = 404;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
// A change must be in force this long after the store accepted it.
constexpr std::chrono::milliseconds kInForceBound(3'000);

class OpaqueTest : public testing::Test {
 protected:
  void SetUp() override {
    std::string pattern = testing::TempDir() + "/medlarspread.XXXXXX";
    folder_ = mkdtemp(pattern.data());
    store_ = std::make_unique<HostedStore>(context_);
    for (const char* service : {"s1", "s2", "s3"}) {
      AddLeaf(std::string(service) + "-a", service, "n1");
      AddLeaf(std::string(service) + "-b", service, "n2");
    }
    thread_ = std::thread([this] { context_.run(); });
  }

  void TearDown() override {
    processes_.reset();
    context_.stop();
    thread_.join();
    std::filesystem::remove_all(folder_);
  }

  void AddLeaf(const std::string& id,
               const std::string& service,
               const std::string& zone) {
    leaves_[id] = std::make_unique<HostedLeaf>(context_, id, service, zone);
    Announce(id, "ready");
  }

  void Announce(const std::string& id, const std::string& state) {
    store_->Put("servers/" + id, leaves_[id]->MakeEntry(state));
  }

  void Configure(int version,
                 const std::string& extra_route = "",
                 int attempts = 2) {
    store_->Put(
        "op/config",
        R"({"version":)" + std::to_string(version) +
            R"(,"routes":[{"name":"all","host":"h","prefix":"/all/",)"
            R"("kind":"idempotent","timeout_ms":2000,"slo_ms":1500,)"
            R"("gather":["s1","s2","s3"],"top_k":2,"attempts":)" +
            std::to_string(attempts) +
            R"(,)"
            R"("min_coverage":0.6},{"name":"pay","host":"h",)"
            R"("prefix":"/pay/","kind":"non_idempotent","timeout_ms":2000,)"
            R"("slo_ms":500,"service":"s1","attempts":2})" +
            extra_route +
            R"(],"services":[{"name":"s1","max_conns":40},)"
            R"({"name":"s2","max_conns":40},{"name":"s3","max_conns":40}]})");
  }

  // A route from `prefix` to one service, for Configure().
  static std::string RouteTo(const std::string& service,
                             const std::string& prefix) {
    return R"(,{"name":"one","host":"h","prefix":")" + prefix +
           R"(","kind":"idempotent","timeout_ms":900,"service":")" + service +
           R"(","attempts":2})";
  }

  struct Daemon {
    Process* process = nullptr;
    std::string caller;
    std::string readiness;
    std::string metrics;
  };

  // The daemon accepts requests from other daemons if `query_port` is set.
  Daemon Start(const std::string& name,
               const std::string& processor_share = "1",
               int query_port = 0) {
    const std::filesystem::path file = folder_ / (name + ".ini");
    std::ofstream(file) << "[vm]\nname = " << name
                        << "\nregion = r\nfailure_domain = n1\n"
                           "regions = n1=r, n2=r\nprocessor_share = "
                        << processor_share << "\n"
                        << "[callers]\ninterface = opaque\n"
                           "address = 127.0.0.1:0\n"
                           "readiness_address = 127.0.0.1:0\n"
                           "[operators]\naddress = 127.0.0.1:0\n"
                           "[peers]\naddress = 127.0.0.1:"
                        << FreePort() << "\n"
                        << (query_port == 0 ? ""
                                            : "query_address = 127.0.0.1:" +
                                                  std::to_string(query_port))
                        << "\n[platform]\naddress = " << store_->address()
                        << "\ntimeout_ms = 300\n[stop]\nbound_s = 6\n";
    Daemon daemon;
    daemon.process =
        &processes_->Start(DAEMON_PROGRAM, {"serve", file.string()});
    auto fields = daemon.process->AwaitReady();
    EXPECT_TRUE(fields.has_value());
    daemon.caller = (*fields)["caller"];
    daemon.readiness = (*fields)["readiness"];
    daemon.metrics = (*fields)["metrics"];
    return daemon;
  }

  static int StatusOf(const std::string& address, const std::string& path) {
    return static_cast<int>(
        AwaitCall({.address = address, .path = path}).status);
  }

  static bool AwaitReadiness(const Daemon& daemon, int status) {
    return WaitUntil(
        [&] { return StatusOf(daemon.readiness, "/ready") == status; });
  }

  static Call MakeCall(const Daemon& daemon,
                       const std::string& path,
                       const std::string& id) {
    return {.address = daemon.caller,
            .path = path,
            .headers = {{"Host", "h"},
                        {"Medlarspread-Request-Id", id},
                        {"Medlarspread-Deadline-Ms", "1900"}}};
  }

  int runs(const std::string& request_id) const {
    int total = 0;
    for (const auto& [id, leaf] : leaves_) {
      total += leaf->RunsOf(request_id);
    }
    return total;
  }

  boost::asio::io_context context_;
  std::filesystem::path folder_;
  std::unique_ptr<HostedStore> store_;
  std::map<std::string, std::unique_ptr<HostedLeaf>> leaves_;
  std::unique_ptr<ProcessGroup> processes_ = std::make_unique<ProcessGroup>();
  std::thread thread_;
};

TEST_F(OpaqueTest, AnswersOnlyOnceItKnowsTheRoutes) {
  const Daemon daemon = Start("vm1");
  EXPECT_EQ(StatusOf(daemon.readiness, "/ready"), kUnavailable);
  EXPECT_EQ(AwaitCall(MakeCall(daemon, "/all/1", "r0")).status, kUnavailable);
  Configure(3);
  ASSERT_TRUE(AwaitReadiness(daemon, http::kOk));
  const auto answer = AwaitCall(MakeCall(daemon, "/all/1", "r1"));
  ASSERT_EQ(answer.status, http::kOk) << answer.body;
  // The two greatest records of the three shards.
  EXPECT_EQ(answer.body, "s3..............s2..............");
  EXPECT_EQ(runs("r1"), 3);
  EXPECT_EQ(AwaitCall(MakeCall(daemon, "/none/1", "r2")).status, kNotFound);
  EXPECT_EQ(AwaitCall(MakeCall(daemon, "/pay/1", "r3")).status, http::kOk);
  EXPECT_EQ(StatusOf(daemon.metrics, "/metrics"), http::kOk);
}

// Guards against log lines that are written into the middle of the ready line.
TEST_F(OpaqueTest, TheReadyLineIsWholeAtEachStart) {
  constexpr int kRounds = 25;
  constexpr int kAtOnce = 8;
  constexpr std::chrono::milliseconds kStarted(5'000);
  const std::filesystem::path file = folder_ / "vm.ini";
  std::ofstream(file) << "[vm]\nname = vm\nregion = r\nfailure_domain = n1\n"
                         "[callers]\ninterface = opaque\n"
                         "address = 127.0.0.1:0\n"
                         "readiness_address = 127.0.0.1:0\n"
                         "[operators]\naddress = 127.0.0.1:0\n"
                         "[peers]\naddress = 127.0.0.1:0\n"
                         "[platform]\naddress = 127.0.0.1:1\n";
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::unique_ptr<Process>> started;
    started.reserve(kAtOnce);
    for (int index = 0; index < kAtOnce; ++index) {
      started.push_back(std::make_unique<Process>(
          DAEMON_PROGRAM, std::vector<std::string>{"serve", file.string()}));
    }
    for (const auto& process : started) {
      ASSERT_TRUE(process->AwaitReady(kStarted).has_value())
          << "round " << round;
    }
  }
}

TEST_F(OpaqueTest, ANewConfigurationIsInForceAndAnOldOneNever) {
  const Daemon daemon = Start("vm1");
  Configure(3);
  ASSERT_TRUE(AwaitReadiness(daemon, http::kOk));
  Configure(5, R"(,{"name":"new","host":"h","prefix":"/new/",)"
               R"("kind":"idempotent","timeout_ms":900,"service":"s2",)"
               R"("attempts":2})");
  ASSERT_TRUE(WaitUntil([&] {
    return AwaitCall(MakeCall(daemon, "/new/1", "n")).status == http::kOk;
  }));
  Configure(4);
  store_->Put("other", "x");
  ASSERT_TRUE(WaitUntil([&] { return store_->calls() > 6; }));
  EXPECT_EQ(AwaitCall(MakeCall(daemon, "/new/1", "n2")).status, http::kOk);
}

TEST_F(OpaqueTest, ADrainingLeafGetsNothingNew) {
  const Daemon daemon = Start("vm1");
  Configure(3);
  ASSERT_TRUE(AwaitReadiness(daemon, http::kOk));
  ASSERT_EQ(AwaitCall(MakeCall(daemon, "/pay/1", "a")).status, http::kOk);
  Announce("s1-a", "draining");
  ASSERT_TRUE(WaitUntil([&] {
    const int before = leaves_["s1-a"]->runs();
    (void)AwaitCall(MakeCall(daemon, "/pay/1", "b"));
    return leaves_["s1-a"]->runs() == before;
  }));
  const int before = leaves_["s1-a"]->runs();
  for (int request = 0; request < 20; ++request) {
    EXPECT_EQ(
        AwaitCall(MakeCall(daemon, "/pay/1", "c" + std::to_string(request)))
            .status,
        http::kOk);
  }
  EXPECT_EQ(leaves_["s1-a"]->runs(), before);
}

TEST_F(OpaqueTest, ANonIdempotentRequestRunsAtMostOnce) {
  const Daemon daemon = Start("vm1");
  Configure(3);
  ASSERT_TRUE(AwaitReadiness(daemon, http::kOk));
  leaves_["s1-a"]->set_behavior(LeafBehavior::kShed);
  leaves_["s1-b"]->set_behavior(LeafBehavior::kShed);
  EXPECT_EQ(AwaitCall(MakeCall(daemon, "/pay/1", "p1")).status, kUnavailable);
  EXPECT_EQ(runs("p1"), 0);
  leaves_["s1-a"]->set_behavior(LeafBehavior::kMute);
  leaves_["s1-b"]->set_behavior(LeafBehavior::kMute);
  const auto status = AwaitCall(MakeCall(daemon, "/pay/1", "p2")).status;
  EXPECT_TRUE(status == kBadGateway || status == kGatewayTimeout) << status;
  EXPECT_LE(runs("p2"), 1);
}

TEST_F(OpaqueTest, AMutedShardIsAskedElsewhere) {
  const Daemon daemon = Start("vm1");
  Configure(3);
  ASSERT_TRUE(AwaitReadiness(daemon, http::kOk));
  leaves_["s2-a"]->set_behavior(LeafBehavior::kMute);
  const auto answer = AwaitCall(MakeCall(daemon, "/all/1", "m"));
  EXPECT_EQ(answer.status, http::kOk);
  EXPECT_EQ(answer.body, "s3..............s2..............");
  EXPECT_EQ(leaves_["s2-b"]->RunsOf("m"), 1);
}

TEST_F(OpaqueTest, ACallerThatLeavesCancelsItsWork) {
  const Daemon daemon = Start("vm1");
  Configure(3);
  ASSERT_TRUE(AwaitReadiness(daemon, http::kOk));
  leaves_["s1-a"]->set_behavior(LeafBehavior::kMute);
  leaves_["s1-b"]->set_behavior(LeafBehavior::kMute);
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect(http1::ParseEndpoint(daemon.caller).value());
  const std::string request =
      "GET /pay/1 HTTP/1.1\r\nHost: h\r\nMedlarspread-Request-Id: left\r\n"
      "Medlarspread-Deadline-Ms: 1900\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(request));
  ASSERT_TRUE(WaitUntil([&] { return runs("left") == 1; }));
  socket.close();
  EXPECT_TRUE(WaitUntil([&] {
    return leaves_["s1-a"]->cancelled() + leaves_["s1-b"]->cancelled() > 0;
  }));
}

TEST_F(OpaqueTest, APlannedStopCutsNothingOff) {
  const Daemon daemon = Start("vm1");
  Configure(3);
  ASSERT_TRUE(AwaitReadiness(daemon, http::kOk));
  for (const char* id : {"s1-a", "s1-b"}) {
    leaves_[id]->set_work(base::Milliseconds(700));
  }
  auto answer = StartCall(MakeCall(daemon, "/pay/1", "slow"));
  ASSERT_TRUE(WaitUntil([&] { return runs("slow") == 1; }));
  daemon.process->Signal(SIGTERM);
  EXPECT_TRUE(AwaitReadiness(daemon, kUnavailable));
  const auto result = answer.get();
  ASSERT_TRUE(result.is_ok()) << result.error().ToString();
  EXPECT_EQ(result.value().status, http::kOk);
  // Open connections are still served before the process ends.
  for (const char* id : {"s1-a", "s1-b"}) {
    leaves_[id]->set_work(base::Milliseconds(2));
  }
  EXPECT_EQ(AwaitCall(MakeCall(daemon, "/pay/1", "late")).status, http::kOk);
  EXPECT_EQ(daemon.process->AwaitExit(), 0);
}

TEST_F(OpaqueTest, ReadsItsSettingsAgainOnASignal) {
  const Daemon daemon = Start("vm1");
  Configure(3);
  ASSERT_TRUE(AwaitReadiness(daemon, http::kOk));
  daemon.process->Signal(SIGHUP);
  EXPECT_EQ(AwaitCall(MakeCall(daemon, "/pay/1", "h")).status, http::kOk);
  daemon.process->Signal(SIGTERM);
  EXPECT_EQ(daemon.process->AwaitExit(), 0);
}

TEST_F(OpaqueTest, ServesDuringAStoreOutageAndCatchesUp) {
  const Daemon daemon = Start("vm1");
  Configure(3);
  ASSERT_TRUE(AwaitReadiness(daemon, http::kOk));
  store_->set_silent(true);
  EXPECT_EQ(AwaitCall(MakeCall(daemon, "/all/1", "q")).status, http::kOk);
  Configure(6, R"(,{"name":"new","host":"h","prefix":"/new/",)"
               R"("kind":"idempotent","timeout_ms":900,"service":"s2",)"
               R"("attempts":2})");
  EXPECT_EQ(AwaitCall(MakeCall(daemon, "/new/1", "n")).status, kNotFound);
  store_->set_silent(false);
  EXPECT_TRUE(WaitUntil([&] {
    return AwaitCall(MakeCall(daemon, "/new/1", "n")).status == http::kOk;
  }));
}

TEST_F(OpaqueTest, ListsTheStoreAgainWhenItDiscardedItsHistory) {
  const Daemon daemon = Start("vm1");
  Configure(3);
  ASSERT_TRUE(AwaitReadiness(daemon, http::kOk));
  store_->ForgetHistory();
  Configure(6, R"(,{"name":"new","host":"h","prefix":"/new/",)"
               R"("kind":"idempotent","timeout_ms":900,"service":"s2",)"
               R"("attempts":2})");
  EXPECT_TRUE(WaitUntil([&] {
    return AwaitCall(MakeCall(daemon, "/new/1", "n")).status == http::kOk;
  }));
}

// Guards against a configuration that every daemon rejects because, after the
// store was restored from a backup, it was written with a lower revision.
TEST_F(OpaqueTest, AChangeAfterTheStoreWasRestoredIsInForceInTime) {
  Configure(3);
  std::vector<Daemon> daemons;
  for (const char* name : {"vm1", "vm2", "vm3"}) {
    daemons.push_back(Start(name));
  }
  for (const Daemon& daemon : daemons) {
    ASSERT_TRUE(AwaitReadiness(daemon, http::kOk));
  }
  ASSERT_TRUE(WaitUntil([&] { return store_->waiting_watches() == 1; }));
  store_->TakeCopy();
  // Changes that the restore will lose, the configuration's among them.
  for (int change = 0; change < 40; ++change) {
    store_->Put("other", std::to_string(change));
  }
  Configure(5, RouteTo("s1", "/old/"));
  for (const Daemon& daemon : daemons) {
    ASSERT_TRUE(WaitUntil([&] {
      return AwaitCall(MakeCall(daemon, "/old/1", "o")).status == http::kOk;
    }));
  }
  store_->RestoreCopy();
  // The operator writes the lost configuration again, and then a change.
  Configure(5, RouteTo("s1", "/old/"));
  Configure(8, RouteTo("s2", "/new/"));
  const auto written = std::chrono::steady_clock::now();
  for (const Daemon& daemon : daemons) {
    EXPECT_TRUE(WaitUntil(
        [&] {
          return AwaitCall(MakeCall(daemon, "/new/1", "n")).status == http::kOk;
        },
        kInForceBound));
  }
  RecordProperty("in_force_after_ms",
                 std::to_string((std::chrono::steady_clock::now() - written) /
                                std::chrono::milliseconds(1)));
}

// Guards against a daemon that is missing from the registry because it mistakes
// a lease that the restored store granted to another process for its own.
TEST_F(OpaqueTest, ADaemonRegistersAgainAfterTheStoreWasRestored) {
  Configure(3);
  store_->TakeCopy();
  const Daemon daemon = Start("vm1");
  ASSERT_TRUE(AwaitReadiness(daemon, http::kOk));
  ASSERT_TRUE(WaitUntil([&] { return store_->LeaseOf("daemons/vm1") == 1; }));
  store_->RestoreCopy();
  store_->GiveOutLease();
  EXPECT_TRUE(WaitUntil([&] { return store_->LeaseOf("daemons/vm1") == 2; }));
}

// Keys that no leaf wrote, some of them over a leaf's entry: that leaf is not
// used, the entries of all others stay valid, and later changes still take
// effect.
TEST_F(OpaqueTest, EntriesOfAnotherWriterAreIgnored) {
  const Daemon daemon = Start("vm1");
  Configure(3);
  ASSERT_TRUE(AwaitReadiness(daemon, http::kOk));
  store_->Put("servers/odd-1", "\xff\xfe{}");
  store_->Put("servers/odd-2", R"({"service":"s1"})");
  store_->Put("servers/odd-3", leaves_["s1-a"]->MakeEntry("resting"));
  store_->Put("daemons/odd", "\xff\xfe");
  store_->Put("else/odd", "\xff\xfe");
  store_->PutUnreadable("servers/odd-4");
  store_->PutUnreadable("servers/s1-a");
  ASSERT_TRUE(WaitUntil([&] {
    const int before = leaves_["s1-a"]->runs();
    const auto status = AwaitCall(MakeCall(daemon, "/pay/1", "a")).status;
    return status == http::kOk && leaves_["s1-a"]->runs() == before;
  }));
  // A daemon that starts now reads the same entries.
  const Daemon late = Start("vm2");
  ASSERT_TRUE(AwaitReadiness(late, http::kOk));
  for (const Daemon& asked : {daemon, late}) {
    const int before = leaves_["s1-a"]->runs();
    for (int request = 0; request < 20; ++request) {
      const std::string id = "r" + std::to_string(request);
      EXPECT_EQ(AwaitCall(MakeCall(asked, "/pay/1", id)).status, http::kOk);
    }
    EXPECT_EQ(leaves_["s1-a"]->runs(), before);
  }
  Announce("s1-a", "ready");
  leaves_["s1-b"]->set_behavior(LeafBehavior::kShed);
  EXPECT_TRUE(WaitUntil([&] {
    return AwaitCall(MakeCall(daemon, "/pay/1", "b")).status == http::kOk;
  }));
}

TEST_F(OpaqueTest, ALeafThatRestartsUnderItsIdentifierIsUsedAgain) {
  leaves_["s1-a"]->set_started(1'000);
  Announce("s1-a", "ready");
  const std::string old_entry = leaves_["s1-a"]->MakeEntry("draining");
  const Daemon daemon = Start("vm1");
  Configure(3);
  ASSERT_TRUE(AwaitReadiness(daemon, http::kOk));
  ASSERT_EQ(AwaitCall(MakeCall(daemon, "/pay/1", "a")).status, http::kOk);
  // The first process drains and ends; the next one has another address.
  Announce("s1-a", "draining");
  const auto former = std::move(leaves_["s1-a"]);
  leaves_["s1-a"] = std::make_unique<HostedLeaf>(context_, "s1-a", "s1", "n1");
  leaves_["s1-a"]->set_started(2'000);
  Announce("s1-a", "ready");
  leaves_["s1-b"]->set_behavior(LeafBehavior::kShed);
  ASSERT_TRUE(WaitUntil([&] {
    (void)AwaitCall(MakeCall(daemon, "/pay/1", "b"));
    return leaves_["s1-a"]->runs() > 0;
  }));
  // A late write of the first process changes nothing.
  store_->Put("servers/s1-a", old_entry);
  store_->Put("other", "x");
  ASSERT_TRUE(WaitUntil([&] { return store_->calls() > 6; }));
  const int before = former->runs();
  EXPECT_EQ(AwaitCall(MakeCall(daemon, "/pay/1", "c")).status, http::kOk);
  EXPECT_EQ(former->runs(), before);
}

TEST_F(OpaqueTest, OneDaemonOfADomainReadsTheStoreForTheOthers) {
  Configure(3);
  std::vector<Daemon> daemons;
  for (const char* name : {"vm1", "vm2", "vm3", "vm4"}) {
    daemons.push_back(Start(name));
  }
  for (const Daemon& daemon : daemons) {
    ASSERT_TRUE(AwaitReadiness(daemon, http::kOk));
  }
  // Every daemon has registered, and all but the store reader have switched to
  // the store reader.
  for (const char* name : {"vm1", "vm2", "vm3", "vm4"}) {
    ASSERT_TRUE(WaitUntil(
        [&] { return store_->Holds(std::string("daemons/") + name); }));
  }
  ASSERT_TRUE(WaitUntil([&] { return store_->waiting_watches() == 1; }));
  const int before = store_->calls();
  Configure(6, R"(,{"name":"new","host":"h","prefix":"/new/",)"
               R"("kind":"idempotent","timeout_ms":900,"service":"s2",)"
               R"("attempts":2})");
  for (const Daemon& daemon : daemons) {
    EXPECT_TRUE(WaitUntil([&] {
      return AwaitCall(MakeCall(daemon, "/new/1", "n")).status == http::kOk;
    }));
  }
  // With one store reader a change costs one or two watches, not one per
  // daemon.
  EXPECT_LE(store_->calls() - before, 4);
}

// A small daemon that hands over requests to all shards to a large one.
class HandoverTest : public OpaqueTest {
 protected:
  // With three attempts a part can be resent when its aggregator fails; with
  // two the caller gets an error.
  void StartBoth(int attempts = 3) {
    Configure(3, "", attempts);
    large_ = Start("large", "1", FreePort());
    ASSERT_TRUE(AwaitReadiness(large_, http::kOk));
    small_ = Start("small", "0.1", FreePort());
    ASSERT_TRUE(AwaitReadiness(small_, http::kOk));
    ASSERT_TRUE(WaitUntil([&] {
      EXPECT_EQ(Ask(small_).status, http::kOk);
      return FannedOut() > 0;
    }));
  }

  http::Response Ask(const Daemon& daemon) {
    return AwaitCall(
        MakeCall(daemon, "/all/1", "h" + std::to_string(++asked_)));
  }

  // The number of requests that the large daemon has fanned out for the small
  // one.
  int FannedOut() const {
    const std::string name = "medlarspread_requests_fanned_out_for_peers_total";
    const std::string page =
        AwaitCall({.address = large_.metrics, .path = "/metrics"}).body;
    const auto line = page.find("\n" + name + " ");
    return line == std::string::npos
               ? 0
               : std::stoi(page.substr(line + name.size() + 2));
  }

  Daemon large_;
  Daemon small_;
  int asked_ = 0;
};

TEST_F(HandoverTest, TheLargeDaemonFansOutAndTheAnswerIsWhole) {
  StartBoth();
  const int before = FannedOut();
  const auto answer = Ask(small_);
  ASSERT_EQ(answer.status, http::kOk);
  EXPECT_EQ(answer.body, "s3..............s2..............");
  EXPECT_EQ(runs("h" + std::to_string(asked_)), 3);
  EXPECT_EQ(FannedOut(), before + 1);
}

TEST_F(HandoverTest, AKilledAggregatorCostsNoAnswer) {
  StartBoth();
  large_.process->Signal(SIGKILL);
  for (int request = 0; request < 10; ++request) {
    EXPECT_EQ(Ask(small_).status, http::kOk);
  }
}

TEST_F(HandoverTest, AFrozenAggregatorCostsNoAnswer) {
  StartBoth();
  large_.process->Signal(SIGSTOP);
  for (int request = 0; request < 10; ++request) {
    EXPECT_EQ(Ask(small_).status, http::kOk);
  }
  large_.process->Signal(SIGCONT);
}

TEST_F(HandoverTest, WithTwoAttemptsOneAnswerIsLostWithAFrozenAggregator) {
  StartBoth(2);
  large_.process->Signal(SIGSTOP);
  const auto first = Ask(small_);
  EXPECT_EQ(first.status, kGatewayTimeout);
  EXPECT_EQ(runs("h" + std::to_string(asked_)), 0);
  for (int request = 0; request < 10; ++request) {
    EXPECT_EQ(Ask(small_).status, http::kOk);
    EXPECT_EQ(runs("h" + std::to_string(asked_)), 3);
  }
  large_.process->Signal(SIGCONT);
}

TEST_F(HandoverTest, AStoppingAggregatorCutsNothingOff) {
  StartBoth();
  for (const auto& [id, leaf] : leaves_) {
    leaf->set_work(base::Milliseconds(400));
  }
  auto answer = StartCall(MakeCall(small_, "/all/1", "slow"));
  ASSERT_TRUE(WaitUntil([&] { return runs("slow") >= 3; }));
  large_.process->Signal(SIGTERM);
  const auto result = answer.get();
  ASSERT_TRUE(result.is_ok()) << result.error().ToString();
  EXPECT_EQ(result.value().status, http::kOk);
  for (int request = 0; request < 5; ++request) {
    EXPECT_EQ(Ask(small_).status, http::kOk);
  }
  EXPECT_EQ(large_.process->AwaitExit(), 0);
}

}  // namespace
}  // namespace medlarspread::tests
