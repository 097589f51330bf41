// Reports of leaves between daemons as datagrams: Thrift's compact protocol.

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

// So that a datagram of them stays below what one packet carries.
constexpr std::size_t kMaxReports = 16;
constexpr std::size_t kMaxRuns = 6;

struct ReportDatagram {
  std::vector<routing::LeafReport> reports;
  // Whether the receiver is to pass them on in its failure domain.
  bool is_to_be_passed_on = false;
  std::vector<quarantine::RunReport> runs = {};
};

// The clocks of two daemons need not agree: times of runs travel as ages, and
// `now` is the time by the clock of the daemon that calls. The way of the
// datagram makes them look later by so much.
std::string Encode(const ReportDatagram& datagram,
                   base::MonotonicTime now = {});
// kMalformed if the bytes are no datagram or hold more than kMaxReports.
// Reports with impossible figures are left out.
base::Result<ReportDatagram> Decode(const std::string& bytes,
                                    const std::string& peer,
                                    base::MonotonicTime now = {});

}  // namespace medlarspread::gossip

#endif  // MEDLARSPREAD_GOSSIP_REPORT_CODEC_H_
