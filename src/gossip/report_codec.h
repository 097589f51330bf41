// Serializes the leaf reports that daemons exchange as datagrams, in Thrift's
// compact protocol.

#ifndef MEDLARSPREAD_GOSSIP_REPORT_CODEC_H_
#define MEDLARSPREAD_GOSSIP_REPORT_CODEC_H_

#include <cstddef>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/quarantine/run_report.h"
#include "src/routing/leaf_report.h"

namespace medlarspread::gossip {

// The most reports of each kind in a datagram, so that it fits into one packet.
constexpr std::size_t kMaxReports = 16;
constexpr std::size_t kMaxRuns = 6;

struct ReportDatagram {
  std::vector<routing::LeafReport> reports;
  // Whether the receiver should forward them in its failure domain.
  bool is_to_be_passed_on = false;
  std::vector<quarantine::RunReport> runs = {};
};

// Times of runs are sent as ages, because the clocks of two daemons may differ.
// `now` is the time by the caller's clock. The receiver sees the times late by
// the time that the datagram travelled.
std::string Encode(const ReportDatagram& datagram,
                   base::MonotonicTime now = {});
// Fails with kMalformed if the bytes are not a datagram or hold a list of more
// than kMaxReports entries. Reports with implausible values are dropped.
base::Result<ReportDatagram> Decode(const std::string& bytes,
                                    const std::string& peer,
                                    base::MonotonicTime now = {});

}  // namespace medlarspread::gossip

#endif  // MEDLARSPREAD_GOSSIP_REPORT_CODEC_H_
