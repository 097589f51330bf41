// Updates the metrics from the daemon's traffic: answers to callers, replies
// from leaves and bytes on the peer links.

#ifndef MEDLARSPREAD_DAEMON_METERING_H_
#define MEDLARSPREAD_DAEMON_METERING_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "src/blackboard/blackboard.h"
#include "src/burn/request_record.h"
#include "src/daemon/traffic.h"
#include "src/metrics/registry.h"
#include "src/peer/peer_network.h"
#include "src/upstream/leaf_port.h"

namespace medlarspread::daemon {

// Safe to use from any thread.
class Metering {
 public:
  explicit Metering(const base::Clock& clock) : registry_(clock) {}

  void DidAnswerCaller(const burn::RequestRecord& record);
  void DidReceiveLeafReply(const upstream::LeafReply& reply);
  void DidLosePeer();

  // Updates the gauges and the totals, then renders the metrics page.
  std::string Render(const Traffic& traffic,
                     const peer::PeerNetwork& network,
                     const blackboard::Blackboard& blackboard,
                     std::uint64_t invalid_requests);

  // For components that update metrics themselves.
  metrics::Registry& registry() { return registry_; }

 private:
  // Adds the increase of `total` since the last call to the counter.
  void CountGrowth(metrics::Counter counter,
                   std::uint64_t total,
                   std::uint64_t& last);

  metrics::Registry registry_;
  std::mutex mutex_;
  std::uint64_t last_sent_ = 0;
  std::uint64_t last_received_ = 0;
  std::uint64_t last_invalid_ = 0;
};

}  // namespace medlarspread::daemon

#endif  // MEDLARSPREAD_DAEMON_METERING_H_
