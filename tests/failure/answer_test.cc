// Tests of the guarantees on answers: each answer comes from one snapshot,
// states its true coverage and is the complete answer to the caller's own
// request, and a request that is refused as not executed was not executed.

#include <atomic>
#include <thread>

#include "tests/failure/failure_test.h"

namespace medlarspread::tests {
namespace {

using emulator::Violation;

// Counts the outcomes of a series of requests.
struct Outcomes {
  int whole = 0;
  int partial = 0;
  int refused = 0;
  int other = 0;
  std::vector<std::string> refused_ids;
};

class AnswerTest : public FailureTest {
 protected:
  // Sends `count` requests, `width` at a time, to all daemons in turn, and
  // expects every answer to be free of violations.
  Outcomes SendMany(int count, int width, int deadline_ms) {
    Outcomes outcomes;
    for (int done = 0; done < count; done += width) {
      std::vector<Ask> asks;
      std::vector<std::future<base::Result<http::Response>>> replies;
      for (int index = 0; index < width; ++index) {
        asks.push_back(cluster_.MakeAsk());
        asks.back().deadline_ms = deadline_ms;
        const auto& daemons = cluster_.daemons();
        replies.push_back(
            cluster_.Start(daemons[index % daemons.size()], asks.back()));
      }
      for (int index = 0; index < width; ++index) {
        const auto result = replies[index].get();
        EXPECT_TRUE(result.is_ok()) << result.error().ToString();
        if (result.is_ok()) {
          CountOutcome(asks[index], result.value(), outcomes);
        }
      }
    }
    return outcomes;
  }

 private:
  static void CountOutcome(const Ask& ask,
                           const http::Response& response,
                           Outcomes& outcomes) {
    EXPECT_EQ(ViolationOf(ask, response), Violation::kNone)
        << emulator::kViolations.NameOf(ViolationOf(ask, response)) << " in "
        << response.status << " " << response.body;
    if (response.status == http::kOk) {
      const bool is_partial = CheckAnswer(ask.asked, response.body).is_partial;
      ++(is_partial ? outcomes.partial : outcomes.whole);
    } else if (response.status == http::kServiceUnavailable ||
               response.status == http::kTooManyRequests) {
      ++outcomes.refused;
      outcomes.refused_ids.push_back(ask.asked.request_id);
    } else {
      ++outcomes.other;
    }
  }
};

// Guarantee: every answer comes from one snapshot. Index version and layout
// change leaf by leaf while queries run.
TEST_F(AnswerTest, NeverMixesSnapshotsWhileVersionsChange) {
  cluster_.StartSmall(2, {"--service-ms", "20"});
  const std::vector<std::string> stages{"2:1:0-32768", "2:1:32768-65536",
                                        "2:2:0-20000", "2:2:20000-65536"};
  std::atomic<bool> is_changing = true;
  std::thread changer([&] {
    constexpr auto kPause = std::chrono::milliseconds(30);
    for (const std::size_t stage : {0U, 2U}) {
      // Low and high leaves in turn: low-a, high-a, low-b, high-b.
      for (std::size_t index = 0; index < cluster_.leaves().size(); ++index) {
        const std::string& holdings = stages[stage + index % 2];
        cluster_.ControlLeaf(cluster_.leaves()[index],
                             R"({"holdings":")" + holdings + "\"}");
        std::this_thread::sleep_for(kPause);
      }
    }
    is_changing = false;
  });
  while (is_changing) {
    SendMany(16, 16, 2000);
  }
  changer.join();
  EXPECT_TRUE(cluster_.AwaitFullAnswer(cluster_.daemons()[0]));
  EXPECT_GT(SendMany(16, 16, 5000).whole, 0);
}

// A reply from another index version than the requested one is not counted.
TEST_F(AnswerTest, DropsRepliesOfAnotherVersion) {
  cluster_.StartSmall(2, {"--service-ms", "2"});
  cluster_.ControlLeaf(cluster_.leaves()[0],
                       R"({"faults":{"wrong_version":1}})");
  cluster_.ControlLeaf(cluster_.leaves()[1],
                       R"({"faults":{"wrong_version":0.5}})");
  EXPECT_GT(SendMany(64, 8, 2000).whole, 0);
}

// Guarantee: an answer states its true coverage when replicas are lost.
TEST_F(AnswerTest, StatesCoverageTrulyWhenReplicasAreLost) {
  cluster_.StartSmall(2, {"--service-ms", "2"});
  cluster_.leaves()[1].process->Signal(SIGKILL);
  SendMany(16, 8, 1000);
  cluster_.leaves()[3].process->Signal(SIGKILL);
  const Outcomes outcomes = SendMany(16, 8, 1000);
  EXPECT_EQ(outcomes.whole, 0) << "nobody holds the upper half any more";
  EXPECT_GT(outcomes.partial, 0);
}

// Guarantee: an answer states its true coverage when replies are empty,
// truncated or for another key range.
TEST_F(AnswerTest, StatesCoverageTrulyWhenRepliesAreWrong) {
  cluster_.StartSmall(2, {"--service-ms", "2"});
  for (const std::string fault : {"empty", "truncated", "wrong_range"}) {
    for (const std::size_t index : {1U, 3U}) {
      cluster_.ControlLeaf(cluster_.leaves()[index],
                           R"({"faults":{")" + fault + R"(":1}})");
    }
    const Outcomes outcomes = SendMany(16, 8, 1000);
    EXPECT_EQ(outcomes.whole, 0) << fault;
  }
  cluster_.ControlLeaves(R"({"faults":{}})");
  EXPECT_TRUE(cluster_.AwaitFullAnswer(cluster_.daemons()[0]));
}

// Guarantee: a caller receives only its own answer, whatever leaves send.
TEST_F(AnswerTest, GivesEachCallerItsOwnAnswer) {
  cluster_.StartSmall(3, {"--service-ms", "2", "--slots", "4"});
  cluster_.ControlLeaves(
      R"({"late_ms":200,"faults":{"crossed":0.15,"duplicated":0.1,)"
      R"("late":0.15,"lost":0.02}})");
  const Outcomes outcomes = SendMany(120, 24, 1500);
  EXPECT_GT(outcomes.whole, 0);
}

// Guarantee: a request that is refused as not executed was not executed; here
// under overload.
TEST_F(AnswerTest, RefusesTrulyUnderOverload) {
  cluster_.StartSmall(2, {"--service-ms", "40"});
  const Outcomes outcomes = SendMany(300, 150, 300);
  EXPECT_GT(outcomes.refused, 0);
  for (const std::string& request_id : outcomes.refused_ids) {
    EXPECT_EQ(cluster_.MaxRunsOf(request_id), 0) << request_id;
  }
}

// The same guarantee when leaves shed requests or lose their replies.
TEST_F(AnswerTest, RefusesTrulyWhenLeavesShed) {
  cluster_.StartSmall(2, {"--service-ms", "2"});
  cluster_.ControlLeaf(cluster_.leaves()[0], R"({"refuse":"shed"})");
  cluster_.ControlLeaf(cluster_.leaves()[1], R"({"refuse":"cold"})");
  cluster_.ControlLeaf(cluster_.leaves()[2], R"({"refuse":"shed"})");
  cluster_.ControlLeaf(cluster_.leaves()[3], R"({"faults":{"lost":1}})");
  const Outcomes outcomes = SendMany(48, 12, 500);
  EXPECT_EQ(outcomes.whole, 0);
  for (const std::string& request_id : outcomes.refused_ids) {
    EXPECT_EQ(cluster_.MaxRunsOf(request_id), 0) << request_id;
  }
}

}  // namespace
}  // namespace medlarspread::tests
