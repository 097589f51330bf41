// LatencyHistogram: cumulative bucket counts.

#include "src/metrics/latency_histogram.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace medlarspread::metrics {
namespace {

using testing::HasSubstr;

TEST(LatencyHistogramTest, CountsAreCumulative) {
  LatencyHistogram histogram;
  histogram.Observe(base::Milliseconds(5));
  histogram.Observe(base::Milliseconds(6));
  histogram.Observe(base::Milliseconds(60'000));
  const std::string text = histogram.Render("latency", R"(class="a")");
  EXPECT_THAT(text, HasSubstr("latency_bucket{class=\"a\",le=\"0.005\"} 1\n"));
  EXPECT_THAT(text, HasSubstr("latency_bucket{class=\"a\",le=\"0.01\"} 2\n"));
  EXPECT_THAT(text, HasSubstr("latency_bucket{class=\"a\",le=\"5\"} 2\n"));
  EXPECT_THAT(text, HasSubstr("latency_bucket{class=\"a\",le=\"+Inf\"} 3\n"));
  EXPECT_THAT(text, HasSubstr("latency_count{class=\"a\"} 3\n"));
  EXPECT_THAT(text, HasSubstr("latency_sum{class=\"a\"} 60.011\n"));
}

}  // namespace
}  // namespace medlarspread::metrics
