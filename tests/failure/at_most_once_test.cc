// Tests of the guarantee that a non-idempotent request runs at most once.

#include "tests/failure/failure_test.h"

namespace medlarspread::tests {
namespace {

class AtMostOnceTest : public FailureTest {
 protected:
  using Reply = std::future<base::Result<http::Response>>;

  Ask MakeOnce() {
    Ask ask = cluster_.MakeAsk();
    ask.is_idempotent = false;
    return ask;
  }

  // Returns 0 if the connection broke or no response arrived.
  static int StatusOf(Reply& reply) {
    const auto result = reply.get();
    return result.is_ok() ? result.value().status : 0;
  }

  bool AwaitRun(const Ask& ask) {
    return WaitUntil(
        [&] { return cluster_.MaxRunsOf(ask.asked.request_id) > 0; });
  }

  // Expects that no range of the request ran twice, and that none ran at all if
  // every response was a refusal.
  void ExpectAtMostOnce(const Ask& ask, const std::vector<int>& statuses) {
    const int runs = cluster_.MaxRunsOf(ask.asked.request_id);
    EXPECT_LE(runs, 1) << ask.asked.request_id;
    const bool is_refused = std::ranges::all_of(statuses, [](int status) {
      return status == http::kServiceUnavailable ||
             status == http::kTooManyRequests;
    });
    if (is_refused) {
      EXPECT_EQ(runs, 0) << ask.asked.request_id;
    }
    EXPECT_LE(std::ranges::count(statuses, int{http::kOk}), 1);
  }
};

TEST_F(AtMostOnceTest, TwoDaemonsGetTheSameRequestAtOnce) {
  cluster_.StartSmall(2, {"--service-ms", "5"});
  int answered = 0;
  for (int round = 0; round < 20; ++round) {
    const Ask ask = MakeOnce();
    Reply first = cluster_.Start(cluster_.daemons()[0], ask);
    Reply second = cluster_.Start(cluster_.daemons()[1], ask);
    const std::vector<int> statuses{StatusOf(first), StatusOf(second)};
    ExpectAtMostOnce(ask, statuses);
    answered += static_cast<int>(std::ranges::count(statuses, int{http::kOk}));
  }
  EXPECT_GT(answered, 0);
}

TEST_F(AtMostOnceTest, DaemonIsKilledWhileTheRequestRuns) {
  cluster_.StartSmall(2, {"--service-ms", "300"});
  const Ask ask = MakeOnce();
  Reply first = cluster_.Start(cluster_.daemons()[0], ask);
  ASSERT_TRUE(AwaitRun(ask));
  cluster_.daemons()[0].process->Signal(SIGKILL);
  EXPECT_NE(StatusOf(first), http::kOk);
  const int second = cluster_.Send(cluster_.daemons()[1], ask).status;
  EXPECT_EQ(second, http::kGatewayTimeout) << "it may have run";
  ExpectAtMostOnce(ask, {0, second});
}

TEST_F(AtMostOnceTest, DaemonIsFrozenWhileItClaims) {
  cluster_.StartSmall(2, {"--service-ms", "5"});
  // The store applies the claim's write late, so that the daemon is frozen
  // before the write takes effect.
  cluster_.ControlPlatform("faults", R"({"delay_ms":300})");
  Ask ask = MakeOnce();
  ask.deadline_ms = 3000;
  Reply first = cluster_.Start(cluster_.daemons()[0], ask);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  cluster_.daemons()[0].process->Signal(SIGSTOP);
  const int second = cluster_.Send(cluster_.daemons()[1], ask).status;
  cluster_.daemons()[0].process->Signal(SIGCONT);
  const int first_status = StatusOf(first);
  ExpectAtMostOnce(ask, {first_status, second});
  cluster_.ControlPlatform("faults", R"({"delay_ms":0})");
}

TEST_F(AtMostOnceTest, StoreLosesTheReplyToTheClaim) {
  cluster_.StartSmall(2, {"--service-ms", "5"});
  for (const std::string how : {"error", "hang"}) {
    for (int round = 0; round < 4; ++round) {
      cluster_.ControlPlatform(
          "faults", R"({"lose_write_replies":2,"lost_reply":")" + how + "\"}");
      const Ask ask = MakeOnce();
      Reply first = cluster_.Start(cluster_.daemons()[0], ask);
      Reply second = cluster_.Start(cluster_.daemons()[1], ask);
      ExpectAtMostOnce(ask, {StatusOf(first), StatusOf(second)});
      // A caller's later retry must not make the request run again.
      cluster_.ControlPlatform("faults", R"({"lose_write_replies":0})");
      const int third =
          cluster_.Send(cluster_.daemons()[round % 2], ask).status;
      ExpectAtMostOnce(ask, {0, third});
    }
  }
}

TEST_F(AtMostOnceTest, StoreIsDown) {
  cluster_.StartSmall(2, {"--service-ms", "5"});
  cluster_.ControlPlatform("faults", R"({"outage":"refuse"})");
  Ask ask = MakeOnce();
  ask.deadline_ms = 1000;
  const int status = cluster_.Send(cluster_.daemons()[0], ask).status;
  EXPECT_NE(status, http::kOk);
  ExpectAtMostOnce(ask, {status});
  EXPECT_TRUE(cluster_.AwaitFullAnswer(cluster_.daemons()[0]))
      << "idempotent requests do not need the store";
  cluster_.ControlPlatform("faults", R"({"outage":"none"})");
}

TEST_F(AtMostOnceTest, LeafLosesItsReply) {
  cluster_.StartSmall(2, {"--service-ms", "5"});
  cluster_.ControlLeaves(R"({"faults":{"lost":0.5,"crossed":0.3}})");
  for (int round = 0; round < 6; ++round) {
    Ask ask = MakeOnce();
    ask.deadline_ms = 600;
    Reply reply = cluster_.Start(cluster_.daemons()[round % 2], ask);
    ExpectAtMostOnce(ask, {StatusOf(reply)});
  }
}

}  // namespace
}  // namespace medlarspread::tests
