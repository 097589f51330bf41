// Thrift structures over memory buffers.

#include "src/gossip/report_codec.h"

#include <exception>
#include <memory>
#include <utility>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "src/peer/gen/peer_types.h"

namespace medlarspread::gossip {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using routing::LeafReport;

// No daemon sees more replies within the time of a report.
constexpr int kMostReplies = 10'000;
constexpr base::Duration kLongestWork = base::Milliseconds(600'000);

bool IsPossible(const LeafReport& report) {
  return !report.leaf.empty() && !report.class_name.empty() &&
         report.replies > 0 && report.replies <= kMostReplies &&
         report.failures >= 0 && report.failures <= report.replies &&
         report.work >= base::Duration{} && report.work <= kLongestWork;
}

}  // namespace

std::string Encode(const ReportDatagram& datagram) {
  peer::wire::LeafReports message;
  for (const LeafReport& report : datagram.reports) {
    peer::wire::LeafReport row;
    row.leaf = report.leaf;
    row.class_name = report.class_name;
    row.replies = report.replies;
    row.failures = report.failures;
    row.work_us = report.work.count();
    message.reports.push_back(std::move(row));
  }
  message.is_to_be_passed_on = datagram.is_to_be_passed_on;
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

base::Result<ReportDatagram> Decode(const std::string& bytes,
                                    const std::string& peer) {
  peer::wire::LeafReports message;
  try {
    auto buffer = std::make_shared<TMemoryBuffer>();
    buffer->write(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                  static_cast<std::uint32_t>(bytes.size()));
    // A length that the bytes claim must not make room for more than they are.
    TCompactProtocolT<TMemoryBuffer> protocol(
        buffer, static_cast<std::int32_t>(bytes.size()),
        static_cast<std::int32_t>(kMostReports));
    message.read(&protocol);
  } catch (const std::exception& exception) {
    return base::MakeError(base::ErrorCode::kMalformed, base::Step::kPeerLink,
                           peer, exception.what());
  }
  ReportDatagram datagram;
  datagram.is_to_be_passed_on = message.is_to_be_passed_on;
  for (peer::wire::LeafReport& row : message.reports) {
    LeafReport report{std::move(row.leaf), std::move(row.class_name),
                      row.replies, row.failures, base::Duration(row.work_us)};
    if (IsPossible(report)) {
      datagram.reports.push_back(std::move(report));
    }
  }
  return datagram;
}

}  // namespace medlarspread::gossip
