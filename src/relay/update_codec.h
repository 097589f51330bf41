// Serializes the store updates that daemons exchange, in Thrift's compact
// protocol. The message is called StoreNews on the wire.

#ifndef MEDLARSPREAD_RELAY_UPDATE_CODEC_H_
#define MEDLARSPREAD_RELAY_UPDATE_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/store/event_source.h"

namespace medlarspread::relay {

struct StoreUpdate {
  std::vector<store::Event> events;
  // All changes up to this position are included or already known.
  store::Position position;
  // The position in the sender's event log.
  std::int64_t cursor = 0;
  // Time since the store last answered the first daemon of the relay chain.
  base::Duration age{};
  // Whether the sender reads the store itself, not through a peer.
  bool is_direct = false;
  // The digest of the sender's items (store::EventLog); absent from daemons of
  // an earlier version.
  std::optional<std::uint64_t> digest = {};
};

std::string EncodeUpdate(const StoreUpdate& update);
// Fails with kMalformed if the bytes are not a complete message.
base::Result<StoreUpdate> DecodeUpdate(const std::string& bytes,
                                       const std::string& peer);

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_UPDATE_CODEC_H_
