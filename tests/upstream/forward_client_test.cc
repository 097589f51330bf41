// Tests ForwardClient with RawLeaf, a fake leaf that replies with scripted
// bytes.

#include "src/upstream/forward_client.h"

#include <optional>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "tests/upstream/raw_leaf.h"

namespace medlarspread::upstream {
namespace {

using base::Milliseconds;

constexpr auto kMaxWait = std::chrono::seconds(20);

class ForwardClientTest : public testing::Test {
 protected:
  void Open(RawLeaf::Script script) {
    raw_ = std::make_unique<RawLeaf>(std::move(script), "\r\n\r\n");
    leaf_.name = "i-1";
    leaf_.address = raw_->address();
    ForwardCodec codec;
    codec.encode = [](const blackboard::Upstream&, const ForwardCall& call) {
      return *call.message;
    };
    codec.set_time_left = [this](http1::Request&, base::Duration left) {
      sent_time_left_.push_back(left);
    };
    codec.match = [](const ForwardCall& call, const http1::Response& response) {
      const auto id = response.find(kRequestId);
      return id == response.end() || id->value() == call.request_id
                 ? http1::ResponseMatch::kYes
                 : http1::ResponseMatch::kNo;
    };
    codec.decode = [](const blackboard::Upstream&, http1::Response response) {
      ForwardReply reply;
      reply.outcome = LeafOutcome::kAnswered;
      reply.message = std::move(response);
      return reply;
    };
    codec.may_repeat_responses = true;
    client_ = std::make_unique<ForwardClient>(
        ForwardClientSettings{}, context_, clock_, base::TaskRunner(context_),
        std::move(codec),
        [this](const blackboard::Upstream&) { return share_; });
  }

  SentCall Send(std::optional<ForwardReply>& reply,
                base::Duration time_left = Milliseconds(20'000),
                const std::string& request_id = "") {
    ForwardCall call;
    call.request_id =
        request_id.empty() ? "r" + std::to_string(++last_id_) : request_id;
    call.message = std::make_shared<const http1::Request>(
        boost::beast::http::verb::get, "/", 11);
    call.time_left = time_left;
    return client_->port().send(leaf_, std::move(call),
                                [&reply](ForwardReply ended) {
                                  EXPECT_FALSE(reply.has_value());
                                  reply = std::move(ended);
                                });
  }

  // Sends the request and returns the status of the response.
  http1::Status Exchange(const std::string& request_id) {
    std::optional<ForwardReply> reply;
    (void)Send(reply, Milliseconds(20'000), request_id);
    RunUntil([&reply] { return reply.has_value(); });
    return reply->outcome == LeafOutcome::kAnswered ? reply->message.result()
                                                    : http1::Status::unknown;
  }

  // A leaf that rejects the first request and runs all later ones.
  static RawLeaf::Reply RejectFirst(int index, const std::string& request_id) {
    const std::string status = index == 1 ? "503 Unavailable" : "200 OK";
    return {"HTTP/1.1 " + status + "\r\n" + kRequestId + ": " + request_id +
                "\r\nContent-Length: 0\r\n\r\n",
            false};
  }

  Readiness Ready(const std::string& request_id = "other") {
    return client_->port().readiness(leaf_, request_id);
  }

  void RunUntil(const std::function<bool()>& is_done) {
    const auto end = std::chrono::steady_clock::now() + kMaxWait;
    while (!is_done() && std::chrono::steady_clock::now() < end) {
      context_.run_one_for(std::chrono::milliseconds(10));
      context_.restart();
    }
    ASSERT_TRUE(is_done());
  }

  static constexpr const char* kRequestId = "Request-Id";

  int last_id_ = 0;
  // Used when the client is created.
  base::Clock clock_;
  boost::asio::io_context context_;
  // This daemon's share of the leaf's connections.
  double share_ = 2.0;
  // The remaining times that were sent to the leaf.
  std::vector<base::Duration> sent_time_left_;
  std::unique_ptr<RawLeaf> raw_;
  blackboard::Upstream leaf_;
  std::unique_ptr<ForwardClient> client_;
};

TEST_F(ForwardClientTest, NeverUsesMoreConnectionsThanItsShare) {
  Open([](int) { return RawLeaf::Reply{"", false}; });
  std::optional<ForwardReply> first;
  std::optional<ForwardReply> second;
  std::optional<ForwardReply> third;
  (void)Send(first);
  EXPECT_EQ(Ready(), Readiness::kMustConnect);
  (void)Send(second);
  EXPECT_EQ(Ready(), Readiness::kFull);
  (void)Send(third);
  RunUntil([&third] { return third.has_value(); });
  EXPECT_EQ(third->outcome, LeafOutcome::kUnreachable);
  EXPECT_FALSE(first.has_value());
}

TEST_F(ForwardClientTest, StatesTheTimeLeftWhenTheRequestLeaves) {
  Open([](int) { return RawLeaf::Reply{"", false}; });
  std::optional<ForwardReply> reply;
  (void)Send(reply, Milliseconds(20'000));
  // The connection is not open yet.
  EXPECT_TRUE(sent_time_left_.empty());
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  RunUntil([this] { return !sent_time_left_.empty(); });
  EXPECT_LE(sent_time_left_.front(), Milliseconds(20'000 - 30));
}

// Guards against a call that waits for its deadline, or gets an answer made of
// two, when a leaf breaks off its answer and sends another one.
TEST_F(ForwardClientTest, ASplicedAnswerEndsTheCallAsLostAtOnce) {
  Open([](int) {
    const std::string whole = std::string("HTTP/1.1 200 OK\r\n") + kRequestId +
                              ": r1\r\nContent-Length: 900\r\n\r\n" +
                              std::string(900, 'x');
    return RawLeaf::Reply{whole.substr(0, 100) + RejectFirst(1, "r1").bytes,
                          false};
  });
  std::optional<ForwardReply> reply;
  (void)Send(reply);
  const base::MonotonicTime sent = clock_.Now();
  RunUntil([&reply] { return reply.has_value(); });
  EXPECT_EQ(reply->outcome, LeafOutcome::kLost);
  EXPECT_EQ(reply->error.code, base::ErrorCode::kMalformed);
  EXPECT_LT(clock_.Now() - sent, Milliseconds(2'000));
}

TEST_F(ForwardClientTest, CancelClosesTheConnectionAndCallsNobody) {
  Open([](int) { return RawLeaf::Reply{"", false}; });
  std::optional<ForwardReply> reply;
  const SentCall call = Send(reply);
  // The connection is not open yet.
  EXPECT_FALSE(call.has_left());
  RunUntil([this] { return raw_->requests() == 1; });
  EXPECT_TRUE(call.has_left());
  call.cancel();
  RunUntil([this] { return raw_->open_connections() == 0; });
  EXPECT_FALSE(reply.has_value());
  EXPECT_EQ(Ready(), Readiness::kMustConnect);
}

TEST_F(ForwardClientTest, APreparedConnectionIsUsed) {
  Open([](int) {
    return RawLeaf::Reply{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                          false};
  });
  client_->port().prepare(leaf_);
  RunUntil([this] { return Ready() == Readiness::kOpen; });
  std::optional<ForwardReply> reply;
  (void)Send(reply);
  RunUntil([&reply] { return reply.has_value(); });
  EXPECT_EQ(reply->outcome, LeafOutcome::kAnswered);
  EXPECT_EQ(client_->counters().connections_opened, 1);
}

TEST_F(ForwardClientTest, ALingeringCallEndsSoon) {
  Open([](int) { return RawLeaf::Reply{"", false}; });
  std::optional<ForwardReply> reply;
  const SentCall call = Send(reply);
  RunUntil([this] { return raw_->requests() == 1; });
  call.let_linger();
  RunUntil([&reply] { return reply.has_value(); });
  EXPECT_EQ(reply->outcome, LeafOutcome::kTimeout);
  EXPECT_LT(reply->service_time, Milliseconds(5'000));
}

TEST_F(ForwardClientTest, WithoutAReplyItEndsWithTheDeadline) {
  Open([](int) { return RawLeaf::Reply{"", false}; });
  std::optional<ForwardReply> reply;
  (void)Send(reply, Milliseconds(30));
  RunUntil([&reply] { return reply.has_value(); });
  EXPECT_EQ(reply->outcome, LeafOutcome::kTimeout);
}

TEST_F(ForwardClientTest, ALeafThatIsGoneLosesItsIdleConnections) {
  Open([](int) {
    return RawLeaf::Reply{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                          false};
  });
  std::optional<ForwardReply> reply;
  (void)Send(reply);
  RunUntil([&reply] { return reply.has_value(); });
  EXPECT_EQ(reply->outcome, LeafOutcome::kAnswered);
  client_->Prune({});
  RunUntil([this] { return raw_->open_connections() == 0; });
}

TEST_F(ForwardClientTest, ClosesIdleSpareConnections) {
  const auto time = std::make_shared<base::ManualTime>(1'000'000, 0);
  clock_ = base::Clock(time);
  Open([](int) {
    return RawLeaf::Reply{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                          false};
  });
  std::optional<ForwardReply> first;
  std::optional<ForwardReply> second;
  (void)Send(first);
  (void)Send(second);
  RunUntil([&] { return first.has_value() && second.has_value(); });
  ASSERT_EQ(client_->counters().connections_opened, 2);
  client_->CloseSpare();
  time->Advance(Milliseconds(1'000));
  client_->CloseSpare();
  client_->CloseSpare();
  // One connection is left: of two more simultaneous requests only one opens a
  // connection.
  first.reset();
  second.reset();
  (void)Send(first);
  (void)Send(second);
  RunUntil([&] { return first.has_value() && second.has_value(); });
  EXPECT_EQ(client_->counters().connections_opened, 3);
}

// With more daemons than connections of the leaf, no idle connection is kept.
TEST_F(ForwardClientTest, KeepsNoIdleConnectionWithAShareBelowOne) {
  const auto time = std::make_shared<base::ManualTime>(1'000'000, 0);
  clock_ = base::Clock(time);
  share_ = 0.6;
  Open([](int) {
    return RawLeaf::Reply{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                          false};
  });
  std::optional<ForwardReply> reply;
  (void)Send(reply);
  // One connection is always permitted.
  EXPECT_EQ(Ready(), Readiness::kFull);
  RunUntil([&reply] { return reply.has_value(); });
  client_->CloseSpare();
  EXPECT_EQ(Ready(), Readiness::kOpen);
  time->Advance(Milliseconds(1'000));
  client_->CloseSpare();
  RunUntil([this] { return raw_->open_connections() == 0; });
  EXPECT_EQ(Ready(), Readiness::kMustConnect);
}

// Guards against a request that runs twice: a leaf rejects it, the daemon sends
// it again on the same connection, and the rejection, which the leaf sends a
// second time, is taken for the response to the second send.
TEST_F(ForwardClientTest, RetryDoesNotTakeARepeatedRejection) {
  Open([](int index) { return RejectFirst(index, "r1"); });
  raw_->set_repeats_responses(true);
  EXPECT_EQ(Exchange("r1"), http1::Status::service_unavailable);
  EXPECT_EQ(Ready("r1"), Readiness::kMustConnect);
  EXPECT_EQ(Exchange("r1"), http1::Status::ok);
  EXPECT_EQ(client_->counters().connections_opened, 2);
}

// The same at the connection limit: the connection that has carried the request
// gives way to a new one.
TEST_F(ForwardClientTest, RetryAtTheConnectionLimitReplacesTheConnection) {
  share_ = 1.0;
  Open([](int index) { return RejectFirst(index, "r1"); });
  raw_->set_repeats_responses(true);
  EXPECT_EQ(Exchange("r1"), http1::Status::service_unavailable);
  EXPECT_EQ(Ready("r1"), Readiness::kMustConnect);
  EXPECT_EQ(Exchange("r1"), http1::Status::ok);
  EXPECT_EQ(client_->counters().connections_replaced, 1);
  RunUntil([this] { return raw_->open_connections() == 1; });
}

// A repeated response to another request is recognized by its identifier, so
// the connection stays in use.
TEST_F(ForwardClientTest, OtherRequestsKeepUsingTheConnection) {
  Open([](int index) {
    return RejectFirst(index, "r" + std::to_string(index));
  });
  raw_->set_repeats_responses(true);
  EXPECT_EQ(Exchange("r1"), http1::Status::service_unavailable);
  EXPECT_EQ(Ready("r2"), Readiness::kOpen);
  EXPECT_EQ(Exchange("r2"), http1::Status::ok);
  EXPECT_EQ(Exchange("r3"), http1::Status::ok);
  EXPECT_EQ(client_->counters().connections_opened, 1);
}

// A request that has ended is not sent again, so its identifier is forgotten.
TEST_F(ForwardClientTest, ForgetsRequestsAfterTheirDeadline) {
  const auto time = std::make_shared<base::ManualTime>(1'000'000, 0);
  clock_ = base::Clock(time);
  Open([](int index) {
    return RejectFirst(index, "r" + std::to_string(index));
  });
  EXPECT_EQ(Exchange("r1"), http1::Status::service_unavailable);
  EXPECT_EQ(Exchange("r2"), http1::Status::ok);
  EXPECT_EQ(Ready("r1"), Readiness::kMustConnect);
  time->Advance(Milliseconds(21'000));
  EXPECT_EQ(Exchange("r3"), http1::Status::ok);
  EXPECT_EQ(Ready("r1"), Readiness::kOpen);
}

}  // namespace
}  // namespace medlarspread::upstream
