// Thrift structures over memory buffers.

#include "src/relay/news_codec.h"

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

std::string EncodeNews(const News& news) {
  peer::wire::StoreNews message;
  for (const store::Event& event : news.events) {
    peer::wire::StoreEvent row;
    row.key = event.key;
    row.revision = event.revision;
    row.era = event.era;
    if (event.value) {
      row.__set_value(*event.value);
    }
    message.events.push_back(std::move(row));
  }
  message.revision = news.position.revision;
  message.era = news.position.era;
  message.cursor = news.cursor;
  message.age_ms = static_cast<std::int32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(news.age).count());
  message.is_direct = news.is_direct;
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

base::Result<News> DecodeNews(const std::string& bytes,
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
  News news;
  for (peer::wire::StoreEvent& row : message.events) {
    store::Event event{std::move(row.key), std::nullopt, row.revision, row.era};
    if (row.__isset.value) {
      event.value = std::move(row.value);
    }
    news.events.push_back(std::move(event));
  }
  news.position = {message.era, message.revision};
  news.cursor = message.cursor;
  news.age = base::Milliseconds(message.age_ms);
  news.is_direct = message.is_direct;
  return news;
}

}  // namespace medlarspread::relay
