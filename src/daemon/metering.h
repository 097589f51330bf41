// Feeds the metrics from what passes through the daemon anyway: answers to
// callers, replies of leaves, bytes on the links.

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
  void DidHearLeaf(const upstream::LeafReply& reply);
  void DidLosePeer();

  // The metrics page, with the values of the moment filled in.
  std::string Render(const Traffic& traffic,
                     const peer::PeerNetwork& network,
                     const blackboard::Blackboard& blackboard,
                     std::uint64_t invalid_requests);

  // For parts that count by themselves.
  metrics::Registry& registry() { return registry_; }

 private:
  // Counts what `total` has grown by since the last time.
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
