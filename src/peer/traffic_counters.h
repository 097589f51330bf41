// Counts the messages and bytes that a daemon exchanges with its peers, per
// kind of message, so that the cost of control can be told from that of
// queries.

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

// The name of an alternative of Message, for reports: "heartbeat".
const char* MessageKindName(std::size_t kind);

// Totals since the start. Bytes are those of the frames, headers included, and
// leave out what TCP and IP add.
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
