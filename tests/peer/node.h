// Test fixture for one daemon's links: a real PeerNetwork on loopback, with a
// blackboard that the test fills in and a record of received messages.

#ifndef MEDLARSPREAD_TESTS_PEER_NODE_H_
#define MEDLARSPREAD_TESTS_PEER_NODE_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "src/peer/codec.h"
#include "src/peer/peer_network.h"

namespace medlarspread::peer {

// Runs two traffic threads during its lifetime.
class Traffic {
 public:
  Traffic() {
    for (std::thread& thread : threads_) {
      thread = std::thread([this] { context_.run(); });
    }
  }
  ~Traffic() {
    context_.stop();
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }

  boost::asio::io_context& context() { return context_; }

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_ = boost::asio::make_work_guard(context_);
  std::vector<std::thread> threads_{2};
};

// Polls until `condition` is true; returns false after a generous timeout.
inline bool Eventually(const std::function<bool()>& condition) {
  constexpr auto kBound = std::chrono::seconds(20);
  constexpr auto kPause = std::chrono::milliseconds(2);
  const auto end = std::chrono::steady_clock::now() + kBound;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kPause);
  }
  return true;
}

inline PeerNetworkSettings SettingsOf(const std::string& name,
                                      std::int64_t incarnation) {
  PeerNetworkSettings settings;
  settings.self_name = name;
  settings.incarnation = incarnation;
  settings.listen_address = "127.0.0.1:0";
  settings.prune_interval = base::Milliseconds(5);
  settings.initial_backoff = base::Milliseconds(5);
  return settings;
}

class Node {
 public:
  Node(Traffic& traffic, const PeerNetworkSettings& settings)
      : network_(
            settings,
            traffic.context(),
            blackboard_,
            [this](const Sender& sender, Message message) {
              const std::lock_guard lock(mutex_);
              received_.push_back({sender, std::move(message)});
            },
            [this](const std::string& peer) {
              const std::lock_guard lock(mutex_);
              lost_.push_back(peer);
            }) {
    const auto status = network_.Open();
    EXPECT_TRUE(status.is_ok());
  }

  // Adds the peer to the membership view, or removes it if `address` is empty.
  void SetMember(const std::string& name, const std::string& address) {
    blackboard::MembershipView view = *blackboard_.membership.Read();
    view.members.erase(name);
    if (!address.empty()) {
      view.members[name].name = name;
      view.members[name].address = address;
    }
    blackboard_.membership.Write(view);
  }

  base::Status Send(const std::string& peer, Message message) {
    return network_.port().send(peer, std::move(message));
  }

  std::vector<ReceivedMessage> received() const {
    const std::lock_guard lock(mutex_);
    return received_;
  }
  std::vector<std::string> lost() const {
    const std::lock_guard lock(mutex_);
    return lost_;
  }
  PeerNetwork& network() { return network_; }
  const std::string& address() const { return network_.address(); }

 private:
  mutable std::mutex mutex_;
  std::vector<ReceivedMessage> received_;
  std::vector<std::string> lost_;
  blackboard::Blackboard blackboard_;
  PeerNetwork network_;
};

}  // namespace medlarspread::peer

#endif  // MEDLARSPREAD_TESTS_PEER_NODE_H_
