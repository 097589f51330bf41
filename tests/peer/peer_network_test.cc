// Links between real PeerNetworks, and with raw sockets that violate the
// protocol.

#include "src/peer/peer_network.h"

#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "tests/peer/node.h"

namespace medlarspread::peer {
namespace {

using boost::asio::ip::tcp;

Message MakeMessage(std::int64_t id) {
  wire::CancelSubQuery message;
  message.sub_query_id = id;
  return message;
}

std::int64_t IdOf(const ReceivedMessage& received) {
  return std::get<wire::CancelSubQuery>(received.message).sub_query_id;
}

tcp::endpoint EndpointOf(const std::string& address) {
  const auto colon = address.rfind(':');
  return {boost::asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

std::string AddressOf(const tcp::acceptor& acceptor) {
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

class PeerNetworkTest : public testing::Test {
 protected:
  // Blocks until the other end closes the socket or sends a byte.
  static bool IsClosedByPeer(tcp::socket& socket) {
    char byte = 0;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::buffer(&byte, 1), error);
    return error.failed();
  }

  // Retries until the send succeeds; a link in backoff rejects it at once.
  static bool SendEventually(Node& node,
                             const std::string& peer,
                             std::int64_t id) {
    return Eventually([&] { return node.Send(peer, MakeMessage(id)).is_ok(); });
  }

  // The connection may be refused before the message is queued, so that the
  // send fails, or after that. The loss is reported in both cases.
  static void ExpectRefusedConnection(Node& node, const std::string& peer) {
    const base::Status status = node.Send(peer, MakeMessage(1));
    if (!status.is_ok()) {
      EXPECT_EQ(status.error().code, base::ErrorCode::kConnectionLost);
    }
    ASSERT_TRUE(Eventually([&] { return !node.lost().empty(); }));
    EXPECT_EQ(node.lost()[0], peer);
  }

  Traffic traffic_;
  boost::asio::io_context raw_context_;
};

TEST_F(PeerNetworkTest, DeliversInOrderBothWays) {
  Node a(traffic_, SettingsOf("a", 1));
  Node b(traffic_, SettingsOf("b", 1));
  a.SetMember("b", b.address());
  b.SetMember("a", a.address());
  constexpr std::int64_t kCount = 500;
  for (std::int64_t id = 0; id < kCount; ++id) {
    ASSERT_TRUE(a.Send("b", MakeMessage(id)).is_ok());
    ASSERT_TRUE(b.Send("a", MakeMessage(id)).is_ok());
  }
  for (const Node* node : {&a, &b}) {
    ASSERT_TRUE(Eventually([&] { return node->received().size() == kCount; }));
    for (std::int64_t id = 0; id < kCount; ++id) {
      ASSERT_EQ(IdOf(node->received()[static_cast<std::size_t>(id)]), id);
    }
  }
  EXPECT_EQ(a.received()[0].sender.name, "b");
  EXPECT_EQ(a.network().sent().total().messages, kCount);
  EXPECT_EQ(a.network().sent().total().bytes,
            b.network().received().total().bytes);
  EXPECT_TRUE(a.lost().empty());
}

TEST_F(PeerNetworkTest, RefusesUnknownPeersAndItself) {
  Node a(traffic_, SettingsOf("a", 1));
  const auto unknown = a.Send("nobody", MakeMessage(1));
  ASSERT_FALSE(unknown.is_ok());
  EXPECT_EQ(unknown.error().code, base::ErrorCode::kNotFound);
  EXPECT_EQ(unknown.error().peer, "nobody");
  a.SetMember("bad", "127.0.0.1:70000");
  EXPECT_EQ(a.Send("bad", MakeMessage(1)).error().code,
            base::ErrorCode::kInvalidArgument);
  EXPECT_EQ(a.Send("a", MakeMessage(1)).error().code,
            base::ErrorCode::kInvalidArgument);
}

TEST_F(PeerNetworkTest, RefusedConnectionIsReportedAndTriedAgain) {
  Node a(traffic_, SettingsOf("a", 1));
  std::string address;
  {
    Node early(traffic_, SettingsOf("b", 1));
    address = early.address();
    early.network().Close();
  }
  a.SetMember("b", address);
  ExpectRefusedConnection(a, "b");

  auto settings = SettingsOf("b", 2);
  settings.listen_address = address;
  Node late(traffic_, settings);
  ASSERT_TRUE(Eventually([&] {
    const bool is_sent = a.Send("b", MakeMessage(2)).is_ok();
    return is_sent && !late.received().empty();
  }));
  EXPECT_EQ(IdOf(late.received()[0]), 2);
}

TEST_F(PeerNetworkTest, BackoffRefusesAtOnce) {
  auto settings = SettingsOf("a", 1);
  settings.initial_backoff = base::Milliseconds(60000);
  settings.max_backoff = base::Milliseconds(60000);
  Node a(traffic_, settings);
  std::string address;
  {
    tcp::acceptor closed(raw_context_, tcp::endpoint(tcp::v4(), 0));
    address = AddressOf(closed);
  }
  a.SetMember("b", address);
  ExpectRefusedConnection(a, "b");
  EXPECT_EQ(a.Send("b", MakeMessage(2)).error().code,
            base::ErrorCode::kUnreachable);
}

TEST_F(PeerNetworkTest, OversizedAndMalformedFramesCloseTheLink) {
  Node a(traffic_, SettingsOf("a", 1));
  const std::string oversized("\x7F\xFF\xFF\xFF", 4);
  const std::string malformed("\x00\x00\x00\x03zzz", 7);
  const std::string empty("\x00\x00\x00\x00", 4);
  for (const std::string& frame : {oversized, malformed, empty}) {
    tcp::socket socket(raw_context_);
    socket.connect(EndpointOf(a.address()));
    boost::asio::write(socket, boost::asio::buffer(frame));
    EXPECT_TRUE(IsClosedByPeer(socket));
  }
  EXPECT_TRUE(a.received().empty());
  EXPECT_TRUE(Eventually([&] { return a.network().link_count() == 0; }));
}

TEST_F(PeerNetworkTest, TruncatedFrameIsNotDelivered) {
  Node a(traffic_, SettingsOf("a", 1));
  const Codec codec({"raw", 1}, 1000);
  const std::string frame = codec.Encode(MakeMessage(1), "a").value();
  {
    tcp::socket socket(raw_context_);
    socket.connect(EndpointOf(a.address()));
    boost::asio::write(socket, boost::asio::buffer(frame));
    boost::asio::write(socket,
                       boost::asio::buffer(frame.substr(0, frame.size() - 1)));
  }
  ASSERT_TRUE(Eventually([&] { return !a.lost().empty(); }));
  EXPECT_EQ(a.lost()[0], "raw");
  EXPECT_EQ(a.received().size(), 1U);
}

TEST_F(PeerNetworkTest, QueueToAPeerThatDoesNotReadIsBounded) {
  auto settings = SettingsOf("a", 1);
  settings.max_queue_bytes = std::size_t{256} * 1024;
  settings.flush_timeout = base::Milliseconds(20);
  Node a(traffic_, settings);
  tcp::acceptor deaf(raw_context_, tcp::endpoint(tcp::v4(), 0));
  a.SetMember("deaf", AddressOf(deaf));
  ASSERT_TRUE(a.Send("deaf", MakeMessage(1)).is_ok());
  const tcp::socket accepted = deaf.accept();
  wire::TargetsBody body;
  body.body = std::string(std::size_t{100} * 1024, 'x');
  base::Status status = base::Done{};
  // The kernel buffers a few megabytes before the queue fills up.
  constexpr int kMaxSends = 10000;
  for (int i = 0; i < kMaxSends && status.is_ok(); ++i) {
    status = a.Send("deaf", body);
  }
  ASSERT_FALSE(status.is_ok());
  EXPECT_EQ(status.error().code, base::ErrorCode::kOverloaded);
  EXPECT_EQ(status.error().peer, "deaf");
}

TEST_F(PeerNetworkTest, HalfOpenLinkEndsWhenThePeerLeavesTheView) {
  Node a(traffic_, SettingsOf("a", 1));
  tcp::acceptor frozen(raw_context_, tcp::endpoint(tcp::v4(), 0));
  a.SetMember("frozen", AddressOf(frozen));
  ASSERT_TRUE(a.Send("frozen", MakeMessage(1)).is_ok());
  tcp::socket accepted = frozen.accept();
  // Pruning compares the view with the one it saw last, so it must have seen a
  // view with the member before the view without it.
  ASSERT_TRUE(Eventually([&] {
    a.SetMember("frozen", "");
    a.SetMember("frozen", AddressOf(frozen));
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    a.SetMember("frozen", "");
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return !a.lost().empty();
  }));
  EXPECT_EQ(a.lost()[0], "frozen");
}

TEST_F(PeerNetworkTest, NewerIncarnationDropsOlderLinksAndTheOlderLearns) {
  Node a(traffic_, SettingsOf("a", 1));
  Node older(traffic_, SettingsOf("b", 10));
  older.SetMember("a", a.address());
  ASSERT_TRUE(older.Send("a", MakeMessage(1)).is_ok());
  ASSERT_TRUE(Eventually([&] { return a.received().size() == 1; }));

  Node newer(traffic_, SettingsOf("b", 20));
  newer.SetMember("a", a.address());
  ASSERT_TRUE(newer.Send("a", MakeMessage(2)).is_ok());
  ASSERT_TRUE(Eventually([&] { return !older.lost().empty(); }));
  EXPECT_TRUE(Eventually([&] { return !a.lost().empty(); }));

  ASSERT_TRUE(Eventually([&] {
    // Sends may fail at first, while the link is in backoff.
    const bool is_sent = older.Send("a", MakeMessage(3)).is_ok();
    return is_sent && !older.received().empty();
  }));
  const auto notice =
      std::get<wire::Heartbeat>(older.received()[0].message).others;
  ASSERT_EQ(notice.size(), 1U);
  EXPECT_EQ(notice[0].name, "b");
  EXPECT_EQ(notice[0].incarnation, 20);
  for (const ReceivedMessage& received : a.received()) {
    EXPECT_NE(IdOf(received), 3);
  }
}

TEST_F(PeerNetworkTest, PeerWithANewAddressGetsANewLink) {
  Node a(traffic_, SettingsOf("a", 1));
  Node old_node(traffic_, SettingsOf("b", 1));
  Node new_node(traffic_, SettingsOf("b", 2));
  a.SetMember("b", old_node.address());
  ASSERT_TRUE(a.Send("b", MakeMessage(1)).is_ok());
  ASSERT_TRUE(Eventually([&] { return old_node.received().size() == 1; }));
  a.SetMember("b", new_node.address());
  ASSERT_TRUE(SendEventually(a, "b", 2));
  ASSERT_TRUE(Eventually([&] { return new_node.received().size() == 1; }));
  EXPECT_TRUE(Eventually([&] { return !old_node.lost().empty(); }));
  EXPECT_EQ(old_node.received().size(), 1U);
}

TEST_F(PeerNetworkTest, CloseWritesWhatIsQueued) {
  auto a = std::make_unique<Node>(traffic_, SettingsOf("a", 1));
  Node b(traffic_, SettingsOf("b", 1));
  a->SetMember("b", b.address());
  constexpr std::int64_t kCount = 2000;
  for (std::int64_t id = 0; id < kCount; ++id) {
    ASSERT_TRUE(a->Send("b", MakeMessage(id)).is_ok());
  }
  const PeerPort port = a->network().port();
  a->network().Close();
  EXPECT_EQ(a->network().link_count(), 0U);
  EXPECT_EQ(port.send("b", MakeMessage(1)).error().code,
            base::ErrorCode::kStopping);
  ASSERT_TRUE(Eventually([&] { return b.received().size() == kCount; }));
}

}  // namespace
}  // namespace medlarspread::peer
