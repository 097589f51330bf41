// Tests DatagramSocket over the loopback interface.

#include "src/gossip/datagram_socket.h"

#include <chrono>

#include <gtest/gtest.h>

namespace medlarspread::gossip {
namespace {

TEST(DatagramSocketTest, DeliversDatagramsOfAnotherSocket) {
  boost::asio::io_context context;
  std::string received;
  const auto receiver = std::make_shared<DatagramSocket>(
      context, [&](const std::string& bytes, const std::string&) {
        received = bytes;
        context.stop();
      });
  const auto sender = std::make_shared<DatagramSocket>(
      context, [](const std::string&, const std::string&) {});
  ASSERT_TRUE(receiver->Open("127.0.0.1:0").is_ok());
  ASSERT_TRUE(sender->Open("127.0.0.1:0").is_ok());
  // Nothing listens on that port; the next datagram must still arrive.
  sender->Send("127.0.0.1:9", "lost");
  sender->Send("nowhere", "lost");
  sender->Send("127.0.0.1:" + std::to_string(receiver->port()), "found");
  context.run_for(std::chrono::seconds(10));
  EXPECT_EQ(received, "found");
  receiver->Close();
  sender->Close();
}

TEST(DatagramSocketTest, AddressInUseIsAnError) {
  boost::asio::io_context context;
  const auto ignore = [](const std::string&, const std::string&) {};
  const auto first = std::make_shared<DatagramSocket>(context, ignore);
  ASSERT_TRUE(first->Open("127.0.0.1:0").is_ok());
  const auto second = std::make_shared<DatagramSocket>(context, ignore);
  const auto opened =
      second->Open("127.0.0.1:" + std::to_string(first->port()));
  ASSERT_FALSE(opened.is_ok());
  EXPECT_EQ(opened.error().step, base::Step::kListen);
}

}  // namespace
}  // namespace medlarspread::gossip
