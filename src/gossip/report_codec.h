// Reports of leaves between daemons as datagrams: Thrift's compact protocol.

#ifndef MEDLARSPREAD_GOSSIP_REPORT_CODEC_H_
#define MEDLARSPREAD_GOSSIP_REPORT_CODEC_H_

#include <cstddef>
#include <string>
#include <vector>

#include "src/base/result.h"
#include "src/routing/leaf_report.h"

namespace medlarspread::gossip {

// So that a datagram of them stays below what one packet carries.
constexpr std::size_t kMostReports = 16;

struct ReportDatagram {
  std::vector<routing::LeafReport> reports;
  // Whether the receiver is to pass them on in its failure domain.
  bool is_to_be_passed_on = false;
};

std::string Encode(const ReportDatagram& datagram);
// kMalformed if the bytes are no datagram or hold more than kMostReports.
// Reports with impossible figures are left out.
base::Result<ReportDatagram> Decode(const std::string& bytes,
                                    const std::string& peer);

}  // namespace medlarspread::gossip

#endif  // MEDLARSPREAD_GOSSIP_REPORT_CODEC_H_
