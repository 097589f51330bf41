// Sums in relaxed atomics.

#include "src/peer/traffic_counters.h"

#include <cassert>

namespace medlarspread::peer {

namespace {

// In the order of the alternatives of Message.
constexpr std::array<const char*, kMessageKinds> kMessageKindNames{
    "heartbeat",       "sub_query",    "shard_reply",   "cancel_sub_query",
    "targets_request", "targets_body", "claim_request", "claim_reply"};

}  // namespace

const char* MessageKindName(std::size_t kind) {
  assert(kind < kMessageKinds);
  return kMessageKindNames[kind];
}

void TrafficCounter::Add(std::size_t kind, std::size_t bytes) {
  assert(kind < kMessageKinds);
  rows_[kind].messages.fetch_add(1, std::memory_order_relaxed);
  rows_[kind].bytes.fetch_add(bytes, std::memory_order_relaxed);
}

TrafficTotal TrafficCounter::total_of(std::size_t kind) const {
  assert(kind < kMessageKinds);
  return {rows_[kind].messages.load(), rows_[kind].bytes.load()};
}

TrafficTotal TrafficCounter::total() const {
  TrafficTotal sum;
  for (std::size_t kind = 0; kind < kMessageKinds; ++kind) {
    const TrafficTotal row = total_of(kind);
    sum.messages += row.messages;
    sum.bytes += row.bytes;
  }
  return sum;
}

}  // namespace medlarspread::peer
