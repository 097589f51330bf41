// Tests that datagrams survive encoding and that invalid bytes are rejected.

#include "src/gossip/report_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace medlarspread::gossip {
namespace {

using base::Milliseconds;

ReportDatagram MakeDatagram() {
  return {{{"i-1@1796251705697", "lookup", 3, 1, Milliseconds(60)},
           {"i-2", "all", 1, 1, {}}},
          true};
}

TEST(ReportCodecTest, RoundTrip) {
  const auto decoded = Decode(Encode(MakeDatagram()), "peer");
  ASSERT_TRUE(decoded.is_ok()) << decoded.error().ToString();
  EXPECT_EQ(decoded.value().reports, MakeDatagram().reports);
  EXPECT_TRUE(decoded.value().is_to_be_passed_on);
}

TEST(ReportCodecTest, ImplausibleReportsAreDropped) {
  const ReportDatagram odd{{{"", "lookup", 1, 0, Milliseconds(1)},
                            {"i-1", "", 1, 0, Milliseconds(1)},
                            {"i-1", "lookup", 0, 0, Milliseconds(1)},
                            {"i-1", "lookup", 1, 2, Milliseconds(1)},
                            {"i-1", "lookup", 1, -1, Milliseconds(1)},
                            {"i-1", "lookup", 1, 0, Milliseconds(-1)},
                            {"i-1", "lookup", 1'000'000, 0, Milliseconds(1)},
                            {"i-1", "lookup", 1, 0, Milliseconds(700'000)},
                            {"i-1", "lookup", 1, 0, Milliseconds(1)}},
                           false};
  const auto decoded = Decode(Encode(odd), "peer");
  ASSERT_TRUE(decoded.is_ok());
  EXPECT_EQ(decoded.value().reports.size(), 1U);
}

TEST(ReportCodecTest, TruncatedBytesAreMalformed) {
  const std::string whole = Encode(MakeDatagram());
  for (std::size_t size = 0; size + 1 < whole.size(); ++size) {
    EXPECT_FALSE(Decode(whole.substr(0, size), "peer").is_ok()) << size;
  }
}

TEST(ReportCodecTest, ImplausibleRunsAreDropped) {
  const base::MonotonicTime now{10'000'000};
  quarantine::RunReport report;
  report.began = now - Milliseconds(30);
  report.ended = now - Milliseconds(10);
  report.leaf = "leaf";
  ReportDatagram datagram{{}, false, {report, report, report}};
  datagram.runs[1].ended = now + Milliseconds(1);
  datagram.runs[2].began = now - Milliseconds(4'000'000);
  const base::MonotonicTime later = now + Milliseconds(500);
  const auto decoded = Decode(Encode(datagram, now), "peer", later);
  ASSERT_TRUE(decoded.is_ok());
  ASSERT_EQ(decoded.value().runs.size(), 1U);
  EXPECT_EQ(later - decoded.value().runs[0].began, Milliseconds(30));
  EXPECT_EQ(later - decoded.value().runs[0].ended, Milliseconds(10));
}

RC_GTEST_PROP(ReportCodecProperty, NeverThrows, ()) {
  std::string bytes = Encode(MakeDatagram());
  const auto changes = *rc::gen::inRange(1, 8);
  for (int change = 0; change < changes; ++change) {
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[at] = *rc::gen::arbitrary<char>();
  }
  (void)Decode(bytes, "peer");
}

}  // namespace
}  // namespace medlarspread::gossip
