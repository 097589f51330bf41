// Converts datagrams to and from Thrift structures in memory buffers, and
// checks the values received.

#include "src/gossip/report_codec.h"

#include <algorithm>
#include <exception>
#include <memory>
#include <optional>
#include <utility>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "src/peer/gen/peer_types.h"

namespace medlarspread::gossip {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using quarantine::RunFinding;
using quarantine::RunReport;
using routing::LeafReport;

// No daemon gets more replies than this in the time that a report covers.
constexpr int kMaxReplies = 10'000;
constexpr base::Duration kMaxWork = base::Milliseconds(600'000);

bool IsPlausible(const LeafReport& report) {
  return !report.leaf.empty() && !report.class_name.empty() &&
         report.replies > 0 && report.replies <= kMaxReplies &&
         report.failures >= 0 && report.failures <= report.replies &&
         report.work >= base::Duration{} && report.work <= kMaxWork;
}

// A run that began longer ago than any evidence is kept cannot be reported by a
// daemon.
constexpr base::Duration kMaxRunAge = base::Milliseconds(3'600'000);

peer::wire::RunReport ToWire(const RunReport& report, base::MonotonicTime now) {
  peer::wire::RunReport row;
  row.fingerprint.assign(report.fingerprint.bytes.begin(),
                         report.fingerprint.bytes.end());
  row.finding = static_cast<std::int32_t>(report.finding);
  row.began_age_us = (now - report.began).count();
  row.ended_age_us = (now - report.ended).count();
  row.leaf = report.leaf;
  return row;
}

std::optional<RunReport> FromWire(peer::wire::RunReport row,
                                  base::MonotonicTime now) {
  const bool is_plausible =
      row.fingerprint.size() == quarantine::Fingerprint::kBytes &&
      row.finding >= 0 &&
      row.finding <= static_cast<std::int32_t>(RunFinding::kConvicted) &&
      row.ended_age_us >= 0 && row.began_age_us >= row.ended_age_us &&
      row.began_age_us <= kMaxRunAge.count();
  if (!is_plausible) {
    return std::nullopt;
  }
  RunReport report;
  std::copy(row.fingerprint.begin(), row.fingerprint.end(),
            report.fingerprint.bytes.begin());
  report.finding = static_cast<RunFinding>(row.finding);
  report.began = now - base::Duration(row.began_age_us);
  report.ended = now - base::Duration(row.ended_age_us);
  report.leaf = std::move(row.leaf);
  return report;
}

}  // namespace

std::string Encode(const ReportDatagram& datagram, base::MonotonicTime now) {
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
  for (const RunReport& report : datagram.runs) {
    message.runs.push_back(ToWire(report, now));
  }
  message.is_to_be_passed_on = datagram.is_to_be_passed_on;
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  message.write(&protocol);
  return buffer->getBufferAsString();
}

base::Result<ReportDatagram> Decode(const std::string& bytes,
                                    const std::string& peer,
                                    base::MonotonicTime now) {
  peer::wire::LeafReports message;
  try {
    auto buffer = std::make_shared<TMemoryBuffer>();
    buffer->write(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                  static_cast<std::uint32_t>(bytes.size()));
    // A length field must not cause an allocation larger than the datagram.
    TCompactProtocolT<TMemoryBuffer> protocol(
        buffer, static_cast<std::int32_t>(bytes.size()),
        static_cast<std::int32_t>(kMaxReports));
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
    if (IsPlausible(report)) {
      datagram.reports.push_back(std::move(report));
    }
  }
  for (peer::wire::RunReport& row : message.runs) {
    if (auto report = FromWire(std::move(row), now)) {
      datagram.runs.push_back(std::move(*report));
    }
  }
  return datagram;
}

}  // namespace medlarspread::gossip
