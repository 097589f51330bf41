// A port with a listener, a port without one, and a host that doesn't respond.

#include "src/http1/port_check.h"

#include <optional>

#include <gtest/gtest.h>
#include <boost/asio/ip/tcp.hpp>

namespace medlarspread::http1 {
namespace {

using boost::asio::ip::tcp;

class PortCheckTest : public testing::Test {
 protected:
  // Only the check of a host that doesn't respond takes this long.
  static constexpr base::Duration kTimeout = base::Milliseconds(200);

  PortState Check(const std::string& address,
                  base::Duration timeout = base::Milliseconds(30'000)) {
    std::optional<PortState> state;
    CheckPort(context_, address, timeout, [&state](PortState found) {
      EXPECT_FALSE(state) << "called back twice";
      state = found;
    });
    EXPECT_FALSE(state) << "called back before it returned";
    context_.restart();
    context_.run();
    return state.value();
  }

  std::string AddressOf(const tcp::acceptor& acceptor) const {
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  }

  boost::asio::io_context context_;
  tcp::acceptor acceptor_{context_,
                          {boost::asio::ip::address_v4::loopback(), 0}};
};

TEST_F(PortCheckTest, AListenerIsThere) {
  EXPECT_EQ(Check(AddressOf(acceptor_)), PortState::kListening);
}

TEST_F(PortCheckTest, AProcessThatEndedRefuses) {
  const std::string address = AddressOf(acceptor_);
  acceptor_.close();
  EXPECT_EQ(Check(address), PortState::kRefused);
}

// The listener's accept queue is full, so the host drops connection requests.
TEST_F(PortCheckTest, SilenceIsNoRefusal) {
  tcp::acceptor full(context_);
  full.open(tcp::v4());
  full.bind({boost::asio::ip::address_v4::loopback(), 0});
  full.listen(0);
  std::vector<tcp::socket> callers;
  for (int caller = 0; caller < 8; ++caller) {
    callers.emplace_back(context_);
    callers.back().non_blocking();
    callers.back().async_connect(full.local_endpoint(),
                                 [](const boost::system::error_code&) {});
  }
  context_.run_for(std::chrono::milliseconds(50));
  std::optional<PortState> state;
  CheckPort(context_, AddressOf(full), kTimeout,
            [&state](PortState found) { state = found; });
  context_.restart();
  while (!state) {
    context_.run_one();
  }
  EXPECT_EQ(*state, PortState::kSilent);
}

TEST_F(PortCheckTest, WhatIsNoAddressIsSilent) {
  EXPECT_EQ(Check("nowhere"), PortState::kSilent);
}

}  // namespace
}  // namespace medlarspread::http1
