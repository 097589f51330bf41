// Counts the messages and bytes between a daemon and its peers by message kind,
// so that control traffic can be told from query traffic.

#ifndef MEDLARSPREAD_PEER_TRAFFIC_COUNTERS_H_
#define MEDLARSPREAD_PEER_TRAFFIC_COUNTERS_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <variant>

#include "src/peer/message.h"

namespace medlarspread::peer {

constexpr std::size_t kMessageKinds = std::variant_size_v<Message>;

// The name of a Message alternative for reports, such as "heartbeat".
const char* MessageKindName(std::size_t kind);

// Totals since the start. `bytes` counts whole frames including their headers,
// but not the overhead of TCP and IP.
struct TrafficTotal {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

// Safe to use from any thread.
class TrafficCounter {
 public:
  void Add(std::size_t kind, std::size_t bytes);
  TrafficTotal total_of(std::size_t kind) const;
  TrafficTotal total() const;

 private:
  struct Row {
    std::atomic<std::uint64_t> messages = 0;
    std::atomic<std::uint64_t> bytes = 0;
  };
  std::array<Row, kMessageKinds> rows_;
};

}  // namespace medlarspread::peer

#endif  // MEDLARSPREAD_PEER_TRAFFIC_COUNTERS_H_
