// Tests LeafClient with a fake leaf over loopback.

#include "src/upstream/leaf_client.h"

#include <future>
#include <mutex>

#include <gtest/gtest.h>

#include "src/http/listener.h"

namespace medlarspread::upstream {
namespace {

using blackboard::Upstream;

constexpr base::Duration kLong = base::Milliseconds(20'000);

LeafRequest MakeRequest(const std::string& attempt_id,
                        base::Duration deadline_left = kLong) {
  return {.attempt_id = attempt_id,
          .request_id = "r1",
          .class_name = "lookup",
          .collection = "proofs",
          .snapshot = {7, 3},
          .range = {0, 100},
          .deadline_left = deadline_left,
          .query = "{}"};
}

http::Response MakeAnswer(const std::string& attempt_id) {
  http::Response response;
  response.body =
      R"({"attempt_id":")" + attempt_id +
      R"(","request_id":"r1","collection":"proofs","index_version":7,)"
      R"("layout_version":3,"low":0,"high":100,"items":[5],"count":1,)"
      R"("service_us":10,"state":"serving"})";
  return response;
}

class LeafClientTest : public testing::Test {
 protected:
  // Starts a fake leaf that runs `handler`.
  Upstream OpenLeaf(http::Handler handler) {
    listener_ = std::make_unique<http::Listener>(
        http::ListenerSettings{.address = "127.0.0.1:0"}, std::move(handler));
    EXPECT_TRUE(listener_->Open().is_ok());
    Upstream leaf;
    leaf.name = "l1";
    leaf.address = listener_->address();
    leaf.connections = 25;
    return leaf;
  }

  std::future<LeafReply> Send(LeafClient& client,
                              const Upstream& leaf,
                              LeafRequest request) {
    auto promise = std::make_shared<std::promise<LeafReply>>();
    client.port().send(leaf, std::move(request), [promise](LeafReply reply) {
      promise->set_value(std::move(reply));
    });
    return promise->get_future();
  }

  base::TaskRunner traffic_{http::TrafficContext()};
  std::unique_ptr<http::Listener> listener_;
};

TEST_F(LeafClientTest, AnswersThroughOneClientPerLeaf) {
  const Upstream leaf =
      OpenLeaf([](const http::Request&, const http::Responder& respond) {
        respond(MakeAnswer("a1"));
      });
  LeafClient client({}, base::Clock(), traffic_);
  for (int i = 0; i < 3; ++i) {
    const LeafReply reply = Send(client, leaf, MakeRequest("a1")).get();
    ASSERT_EQ(reply.outcome, LeafOutcome::kAnswered) << reply.error.ToString();
    EXPECT_EQ(reply.items, "[5]");
  }
  EXPECT_EQ(client.counters().connections.clients_opened, 1);
  EXPECT_EQ(client.counters().queries_sent, 3);
}

TEST_F(LeafClientTest, LateAndCrossedRepliesAreNotAnswers) {
  std::promise<http::Responder> first;
  std::atomic<int> calls = 0;
  const Upstream leaf =
      OpenLeaf([&](const http::Request&, http::Responder respond) {
        if (++calls == 1) {
          first.set_value(std::move(respond));
          return;
        }
        respond(MakeAnswer("a1"));
      });
  LeafClient client({}, base::Clock(), traffic_);
  std::atomic<int> callbacks = 0;
  std::promise<LeafReply> timed_out;
  client.port().send(leaf, MakeRequest("a1", base::Milliseconds(50)),
                     [&](LeafReply reply) {
                       if (++callbacks == 1) {
                         timed_out.set_value(std::move(reply));
                       }
                     });
  EXPECT_EQ(timed_out.get_future().get().outcome, LeafOutcome::kTimeout);
  // The leaf now answers the second attempt with the first one's identifier.
  const LeafReply crossed = Send(client, leaf, MakeRequest("a2")).get();
  EXPECT_EQ(crossed.outcome, LeafOutcome::kMismatch);
  EXPECT_NE(crossed.error.detail.find("attempt_id"), std::string::npos);
  EXPECT_EQ(crossed.error.peer, leaf.address);
  // The late reply frees its connection and causes no callback.
  first.get_future().get()(MakeAnswer("a1"));
  while (client.counters().connections.in_flight > 0) {
    std::this_thread::yield();
  }
  EXPECT_EQ(callbacks, 1);
  EXPECT_EQ(client.counters().mismatches, 1);
}

TEST_F(LeafClientTest, RefusedConnectionIsUnreachable) {
  Upstream leaf = OpenLeaf({});
  listener_->Close();
  LeafClient client({}, base::Clock(), traffic_);
  const LeafReply reply = Send(client, leaf, MakeRequest("a1")).get();
  EXPECT_EQ(reply.outcome, LeafOutcome::kUnreachable);
  EXPECT_FALSE(MayHaveRun(reply.outcome));
}

TEST_F(LeafClientTest, TimedOutRequestsCountAgainstTheBound) {
  std::mutex mutex;
  std::vector<http::Responder> kept;
  const Upstream leaf = OpenLeaf(
      [&](const http::Request& request, const http::Responder& respond) {
        if (request.path == "/v1/cancel") {
          respond({});
          return;
        }
        const std::lock_guard lock(mutex);
        kept.push_back(respond);
      });
  LeafClientSettings settings;
  settings.connections.max_in_flight_per_leaf = 3;
  LeafClient client(settings, base::Clock(), traffic_);
  auto first = Send(client, leaf, MakeRequest("a1", base::Milliseconds(50)));
  auto second = Send(client, leaf, MakeRequest("a2", base::Milliseconds(50)));
  EXPECT_EQ(first.get().outcome, LeafOutcome::kTimeout);
  EXPECT_EQ(second.get().outcome, LeafOutcome::kTimeout);
  const LeafReply third = Send(client, leaf, MakeRequest("a3")).get();
  EXPECT_EQ(third.outcome, LeafOutcome::kShed);
  EXPECT_EQ(third.error.code, base::ErrorCode::kOverloaded);
  EXPECT_GT(third.retry_after.count(), 0);
  client.port().cancel(leaf, "a1");
  EXPECT_EQ(client.counters().cancels_sent, 1);
  EXPECT_LE(client.counters().connections.in_flight, 3);
  while (client.counters().connections.in_flight > 2) {
    std::this_thread::yield();
  }
  const std::lock_guard lock(mutex);
  EXPECT_EQ(kept.size(), 2u);
  for (const http::Responder& respond : kept) {
    respond(MakeAnswer("a1"));
  }
}

TEST_F(LeafClientTest, PassedDeadlineIsNotSent) {
  const Upstream leaf =
      OpenLeaf([](const http::Request&, const http::Responder& respond) {
        respond(MakeAnswer("a1"));
      });
  LeafClient client({}, base::Clock(), traffic_);
  const LeafReply reply =
      Send(client, leaf, MakeRequest("a1", base::Duration(0))).get();
  EXPECT_FALSE(MayHaveRun(reply.outcome));
  EXPECT_EQ(client.counters().queries_sent, 0);
}

TEST_F(LeafClientTest, IdleClientsAreDropped) {
  const Upstream leaf =
      OpenLeaf([](const http::Request&, const http::Responder& respond) {
        respond(MakeAnswer("a1"));
      });
  LeafClientSettings settings;
  settings.connections.idle_time = base::Milliseconds(20);
  LeafClient client(settings, base::Clock(), traffic_);
  EXPECT_EQ(Send(client, leaf, MakeRequest("a1")).get().outcome,
            LeafOutcome::kAnswered);
  while (client.counters().connections.clients > 0) {
    std::this_thread::yield();
  }
  EXPECT_EQ(client.counters().connections.clients_dropped, 1);
  EXPECT_EQ(Send(client, leaf, MakeRequest("a1")).get().outcome,
            LeafOutcome::kAnswered);
}

}  // namespace
}  // namespace medlarspread::upstream
