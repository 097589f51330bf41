// Converts updates to and from Thrift structures in memory buffers.

#include "src/relay/update_codec.h"

#include <chrono>
#include <exception>
#include <memory>
#include <utility>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "src/peer/gen/peer_types.h"

namespace medlarspread::relay {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

}  // namespace

std::string EncodeUpdate(const StoreUpdate& update) {
  peer::wire::StoreNews message;
  for (const store::Event& event : update.events) {
    peer::wire::StoreEvent row;
    row.key = event.key;
    row.revision = event.revision;
    row.era = event.era;
    if (event.value) {
      row.__set_value(*event.value);
    }
    message.events.push_back(std::move(row));
  }
  message.revision = update.position.revision;
  message.era = update.position.era;
  message.cursor = update.cursor;
  message.age_ms = static_cast<std::int32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(update.age)
          .count());
  message.is_direct = update.is_direct;
  if (update.digest) {
    message.__set_digest(static_cast<std::int64_t>(*update.digest));
  }
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

base::Result<StoreUpdate> DecodeUpdate(const std::string& bytes,
                                       const std::string& peer) {
  peer::wire::StoreNews message;
  try {
    auto buffer = std::make_shared<TMemoryBuffer>();
    buffer->write(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                  static_cast<std::uint32_t>(bytes.size()));
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    message.read(&protocol);
  } catch (const std::exception& exception) {
    return base::MakeError(base::ErrorCode::kMalformed, base::Step::kPeerLink,
                           peer, exception.what());
  }
  StoreUpdate update;
  for (peer::wire::StoreEvent& row : message.events) {
    store::Event event{std::move(row.key), std::nullopt, row.revision, row.era};
    if (row.__isset.value) {
      event.value = std::move(row.value);
    }
    update.events.push_back(std::move(event));
  }
  update.position = {message.era, message.revision};
  update.cursor = message.cursor;
  update.age = base::Milliseconds(message.age_ms);
  update.is_direct = message.is_direct;
  if (message.__isset.digest) {
    update.digest = static_cast<std::uint64_t>(message.digest);
  }
  return update;
}

}  // namespace medlarspread::relay
