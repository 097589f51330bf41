// Store news between daemons as bytes: Thrift's compact protocol.

#ifndef MEDLARSPREAD_RELAY_UPDATE_CODEC_H_
#define MEDLARSPREAD_RELAY_UPDATE_CODEC_H_

#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/store/event_source.h"

namespace medlarspread::relay {

struct StoreUpdate {
  std::vector<store::Event> events;
  // Everything up to this position of the store is known.
  store::Position position;
  std::int64_t cursor = 0;
  // Since the store last answered the first daemon of the chain.
  base::Duration age{};
  // Whether the sender reads the store itself.
  bool is_direct = false;
};

std::string EncodeUpdate(const StoreUpdate& update);
// kMalformed if the bytes are not whole news.
base::Result<StoreUpdate> DecodeUpdate(const std::string& bytes,
                                       const std::string& peer);

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_UPDATE_CODEC_H_
