// Tests LeafClient's handling of invalid bytes in replies, and its use of
// connections.

#include <future>
#include <vector>

#include <gtest/gtest.h>

#include "src/http/listener.h"
#include "src/upstream/leaf_client.h"
#include "tests/upstream/raw_leaf.h"

namespace medlarspread::upstream {
namespace {

using blackboard::Upstream;

constexpr base::Duration kLong = base::Milliseconds(20'000);

std::string AnswerTo(const std::string& attempt_id) {
  return R"({"attempt_id":")" + attempt_id +
         R"(","request_id":"r1","collection":"proofs","index_version":7,)"
         R"("layout_version":3,"low":0,"high":100,"items":[5],"count":1,)"
         R"("service_us":10,"state":"serving"})";
}

class RawReplyTest : public testing::Test {
 protected:
  void Open(RawLeaf::Script script) {
    raw_ = std::make_unique<RawLeaf>(std::move(script));
    leaf_.name = "l1";
    leaf_.address = raw_->address();
    leaf_.connections = 25;
  }

  std::future<LeafReply> Send(const std::string& attempt_id,
                              bool is_at_most_once = false) {
    LeafRequest request{.attempt_id = attempt_id,
                        .request_id = "r1",
                        .class_name = "lookup",
                        .collection = "proofs",
                        .snapshot = {7, 3},
                        .range = {0, 100},
                        .deadline_left = kLong,
                        .is_at_most_once = is_at_most_once,
                        .query = "{}"};
    auto promise = std::make_shared<std::promise<LeafReply>>();
    client_->port().send(leaf_, std::move(request), [promise](LeafReply reply) {
      promise->set_value(std::move(reply));
    });
    return promise->get_future();
  }

  std::unique_ptr<LeafClient> MakeClient(const LeafClientSettings& settings) {
    return std::make_unique<LeafClient>(
        settings, base::Clock(), base::TaskRunner(http::TrafficContext()));
  }

  std::unique_ptr<RawLeaf> raw_;
  Upstream leaf_;
  std::unique_ptr<LeafClient> client_ = MakeClient({});
};

TEST_F(RawReplyTest, BodyCutShortIsLost) {
  Open([](int) {
    const std::string whole = RawLeaf::Ok(AnswerTo("a1"));
    return RawLeaf::Reply{whole.substr(0, whole.size() - 7), true};
  });
  const LeafReply reply = Send("a1").get();
  EXPECT_EQ(reply.outcome, LeafOutcome::kLost) << reply.error.ToString();
  EXPECT_EQ(reply.error.peer, leaf_.address);
}

TEST_F(RawReplyTest, BytesThatAreNotHttpAreLost) {
  Open([](int) { return RawLeaf::Reply{"\x01\xff nonsense\r\n\r\n", true}; });
  EXPECT_EQ(Send("a1").get().outcome, LeafOutcome::kLost);
}

TEST_F(RawReplyTest, OversizedBodyIsMismatch) {
  Open([](int) {
    return RawLeaf::Reply{RawLeaf::Ok(std::string(5'000, ' ')), false};
  });
  LeafClientSettings settings;
  settings.connections.max_reply_bytes = 1'000;
  client_ = MakeClient(settings);
  const LeafReply reply = Send("a1").get();
  EXPECT_EQ(reply.outcome, LeafOutcome::kMismatch);
  EXPECT_EQ(reply.error.code, base::ErrorCode::kTooLarge);
}

// Guards against repeated at-most-once requests: the leaf reads the second
// request and closes the connection without a reply, and the HTTP library would
// repeat it on a new connection.
TEST_F(RawReplyTest, AtMostOnceRequestIsNeverRepeated) {
  Open([](int index) {
    return index == 2 ? RawLeaf::Reply{"", true}
                      : RawLeaf::Reply{RawLeaf::Ok(AnswerTo("a1")), false};
  });
  EXPECT_EQ(Send("a1", true).get().outcome, LeafOutcome::kAnswered);
  EXPECT_EQ(Send("a1", true).get().outcome, LeafOutcome::kLost);
  EXPECT_EQ(raw_->requests(), 2);
}

// A late duplicate of the first answer is read as the answer to the second
// request. That answer must be dropped, and the connection too, since its later
// replies would be wrong.
TEST_F(RawReplyTest, DuplicatedReplyIsDroppedWithItsConnection) {
  Open([](int index) {
    const std::string answer =
        RawLeaf::Ok(AnswerTo("a" + std::to_string(index)));
    const std::string copy = RawLeaf::Ok(AnswerTo("a1"));
    return RawLeaf::Reply{index == 2 ? copy + answer : answer, false};
  });
  EXPECT_EQ(Send("a1").get().outcome, LeafOutcome::kAnswered);
  const LeafReply second = Send("a2").get();
  EXPECT_EQ(second.outcome, LeafOutcome::kMismatch);
  EXPECT_NE(second.error.detail.find("attempt_id"), std::string::npos);
  EXPECT_EQ(Send("a3").get().outcome, LeafOutcome::kAnswered);
  EXPECT_EQ(client_->counters().connections.clients_replaced, 1);
  while (raw_->open_connections() > 1) {
    std::this_thread::yield();
  }
}

TEST_F(RawReplyTest, ConnectionsStayWithinTheBound) {
  constexpr int kBound = 4;
  constexpr int kBurst = 3 * kBound;
  constexpr int kBursts = 50;
  Open([](int) { return RawLeaf::Reply{RawLeaf::Ok(AnswerTo("a1")), false}; });
  LeafClientSettings settings;
  settings.connections.max_in_flight_per_leaf = kBound;
  client_ = MakeClient(settings);
  int answered = 0;
  int refused = 0;
  for (int burst = 0; burst < kBursts; ++burst) {
    std::vector<std::future<LeafReply>> replies;
    replies.reserve(kBurst);
    for (int i = 0; i < kBurst; ++i) {
      replies.push_back(Send("a1"));
    }
    for (auto& reply : replies) {
      const LeafOutcome outcome = reply.get().outcome;
      answered += outcome == LeafOutcome::kAnswered ? 1 : 0;
      refused += outcome == LeafOutcome::kShed ? 1 : 0;
    }
  }
  EXPECT_EQ(answered + refused, kBursts * kBurst);
  EXPECT_GE(answered, kBursts);
  EXPECT_LE(raw_->most_connections(), kBound);
}

TEST_F(RawReplyTest, IdleConnectionsAreGivenBack) {
  Open([](int) { return RawLeaf::Reply{RawLeaf::Ok(AnswerTo("a1")), false}; });
  LeafClientSettings settings;
  settings.connections.idle_time = base::Milliseconds(50);
  client_ = MakeClient(settings);
  EXPECT_EQ(Send("a1").get().outcome, LeafOutcome::kAnswered);
  EXPECT_EQ(raw_->most_connections(), 1);
  while (raw_->open_connections() > 0) {
    std::this_thread::yield();
  }
}

}  // namespace
}  // namespace medlarspread::upstream
