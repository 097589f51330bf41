// Tests of the guarantees on draining and stopping: an upstream that drains
// gets no new work after a few seconds, and a planned stop of a daemon cuts off
// no request in flight.

#include <algorithm>
#include <chrono>
#include <thread>

#include "tests/failure/failure_test.h"

namespace medlarspread::tests {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

class LeavingTest : public FailureTest {
 protected:
  // Sends requests to all daemons in turn until `length` has passed.
  void SendFor(milliseconds length) {
    const auto end = steady_clock::now() + length;
    for (std::size_t number = 0; steady_clock::now() < end; ++number) {
      const auto& daemons = cluster_.daemons();
      const Ask ask = cluster_.MakeAsk();
      const auto response =
          cluster_.Send(daemons[number % daemons.size()], ask);
      EXPECT_EQ(ViolationOf(ask, response), emulator::Violation::kNone)
          << response.body;
    }
  }

  // Sends requests to the daemons at `entries` and stops the one at `stopping`
  // while they run. Each request must be answered in full or refused as not
  // executed, and the daemon must exit with status 0, which reports that it cut
  // off no request.
  void StopUnderLoad(std::size_t stopping,
                     const std::vector<std::size_t>& entries) {
    constexpr std::size_t kInFlight = 30;
    std::vector<Ask> asks;
    std::vector<std::future<base::Result<http::Response>>> replies;
    const auto before = Started();
    for (std::size_t index = 0; index < kInFlight; ++index) {
      asks.push_back(cluster_.MakeAsk());
      const auto& entry = cluster_.daemons()[entries[index % entries.size()]];
      replies.push_back(cluster_.Start(entry, asks.back()));
    }
    ASSERT_TRUE(WaitUntil([&] { return Started() > before; }));
    cluster_.daemons()[stopping].process->Signal(SIGTERM);
    int answered = 0;
    for (std::size_t index = 0; index < kInFlight; ++index) {
      const auto result = replies[index].get();
      ASSERT_TRUE(result.is_ok()) << result.error().ToString();
      answered += ExpectWholeOrNotRun(asks[index], result.value()) ? 1 : 0;
    }
    EXPECT_GT(answered, 0);
    EXPECT_EQ(cluster_.daemons()[stopping].process->AwaitExit(), 0);
  }

 private:
  // The number of requests started, over all leaves.
  std::int64_t Started() {
    std::int64_t started = 0;
    for (const Leaf& leaf : cluster_.leaves()) {
      started += cluster_.RunsOf(leaf).started;
    }
    return started;
  }

  // Returns whether the request was answered.
  bool ExpectWholeOrNotRun(const Ask& ask, const http::Response& response) {
    EXPECT_EQ(ViolationOf(ask, response), emulator::Violation::kNone);
    EXPECT_NE(response.status, http::kGatewayTimeout) << response.body;
    if (response.status != http::kOk) {
      EXPECT_EQ(cluster_.MaxRunsOf(ask.asked.request_id), 0) << response.body;
      return false;
    }
    EXPECT_FALSE(CheckAnswer(ask.asked, response.body).is_partial)
        << response.body;
    return true;
  }
};

// The platform's list and the health page keep reporting the leaf as serving,
// so the daemons learn that it drains from its replies only.
TEST_F(LeavingTest, DrainingLeafGetsNoNewWorkAfterTwoSeconds) {
  cluster_.StartSmall(3, {"--service-ms", "2"});
  Leaf& leaf = cluster_.leaves()[0];
  cluster_.ControlLeaf(leaf,
                       R"({"state":"draining","refuses_when_draining":false,)"
                       R"("health_lag_ms":600000})");
  SendFor(milliseconds(2000));
  const auto before = cluster_.RunsOf(leaf).arrived;
  SendFor(milliseconds(2000));
  EXPECT_EQ(cluster_.RunsOf(leaf).arrived, before);
  EXPECT_TRUE(cluster_.AwaitFullAnswer(cluster_.daemons()[0]));
}

// The daemons are idle and get no replies, so they learn that the leaf drains
// from its health page only.
TEST_F(LeavingTest, IdleDaemonsLearnFromHealth) {
  cluster_.StartSmall(3, {"--service-ms", "2"});
  Leaf& leaf = cluster_.leaves()[1];
  cluster_.ControlLeaf(leaf,
                       R"({"state":"draining","refuses_when_draining":false})");
  std::this_thread::sleep_for(milliseconds(2000));
  const auto before = cluster_.RunsOf(leaf).arrived;
  SendFor(milliseconds(1000));
  EXPECT_EQ(cluster_.RunsOf(leaf).arrived, before);
}

// The daemon that stops has requests in flight, and its queues hold requests of
// the other daemons.
TEST_F(LeavingTest, StopUnderLoadCutsNothing) {
  cluster_.StartSmall(3, {"--service-ms", "150", "--slots", "8"});
  StopUnderLoad(1, {1, 0});
  EXPECT_TRUE(cluster_.AwaitFullAnswer(cluster_.daemons()[0]));
}

TEST_F(LeavingTest, AllDaemonsStopInTurn) {
  cluster_.StartSmall(3, {"--service-ms", "150", "--slots", "8"});
  StopUnderLoad(0, {0, 1, 2});
  StopUnderLoad(1, {1, 2});
  StopUnderLoad(2, {2});
}

TEST_F(LeavingTest, StopWhileTheStoreIsDownCutsNothing) {
  cluster_.StartSmall(2, {"--service-ms", "150", "--slots", "8"});
  cluster_.ControlPlatform("faults", R"({"outage":"refuse"})");
  StopUnderLoad(0, {0, 1});
  cluster_.ControlPlatform("faults", R"({"outage":"none"})");
}

// The daemon is killed without a planned stop: its requests in flight may be
// lost, but no answer is false, and the other daemons soon answer in full
// again.
TEST_F(LeavingTest, OtherDaemonsServeAfterAKill) {
  cluster_.StartSmall(3, {"--service-ms", "20"});
  std::vector<Ask> asks;
  std::vector<std::future<base::Result<http::Response>>> replies;
  for (int index = 0; index < 20; ++index) {
    asks.push_back(cluster_.MakeAsk());
    replies.push_back(
        cluster_.Start(cluster_.daemons()[index % 2], asks.back()));
  }
  cluster_.daemons()[2].process->Signal(SIGKILL);
  for (std::size_t index = 0; index < replies.size(); ++index) {
    const auto result = replies[index].get();
    ASSERT_TRUE(result.is_ok()) << result.error().ToString();
    EXPECT_EQ(ViolationOf(asks[index], result.value()),
              emulator::Violation::kNone)
        << result.value().body;
  }
  EXPECT_TRUE(cluster_.AwaitFullAnswer(cluster_.daemons()[0]));
  EXPECT_TRUE(cluster_.AwaitFullAnswer(cluster_.daemons()[1]));
}

// New requests to a stopping daemon are refused as not executed or find no
// listener; no connection is closed during a request.
TEST_F(LeavingTest, StoppingDaemonRefusesNewWork) {
  cluster_.StartSmall(2, {"--service-ms", "20"});
  Daemon& leaving = cluster_.daemons()[0];
  std::atomic<bool> is_stopping = false;
  int cut = 0;
  std::thread caller([&] {
    while (true) {
      const Ask ask = cluster_.MakeAsk();
      const auto result = cluster_.Start(leaving, ask).get();
      if (result.is_ok()) {
        EXPECT_EQ(ViolationOf(ask, result.value()), emulator::Violation::kNone)
            << result.value().body;
        continue;
      }
      cut += result.error().code == base::ErrorCode::kUnreachable ? 0 : 1;
      return;
    }
  });
  std::this_thread::sleep_for(milliseconds(200));
  leaving.process->Signal(SIGTERM);
  EXPECT_EQ(leaving.process->AwaitExit(), 0);
  caller.join();
  EXPECT_EQ(cut, 0) << "the connection was lost with a request on it";
}

}  // namespace
}  // namespace medlarspread::tests
