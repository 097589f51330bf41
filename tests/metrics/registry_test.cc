// Concurrent counting, rotation of distributions, the error of the quantile
// estimates, and the rendered text.

#include <algorithm>
#include <random>
#include <set>
#include <thread>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "src/metrics/registry.h"

namespace medlarspread::metrics {
namespace {

using testing::HasSubstr;

class RegistryTest : public testing::Test {
 protected:
  std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(0, 0);
  Registry registry_{base::Clock(time_)};
};

TEST_F(RegistryTest, CountsFromManyThreads) {
  constexpr int kThreads = 4;
  constexpr int kRounds = 5000;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([this] {
      for (int round = 0; round < kRounds; ++round) {
        registry_.Count(Counter::kUpstreamSends);
        registry_.Count(ClassCounter::kRequestsAnswered, "audit");
        registry_.Observe(ClassDistribution::kRequestLatency, "audit",
                          base::Milliseconds(5));
        registry_.Observe(Distribution::kShardLatency, base::Milliseconds(5));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::string text = registry_.Render();
  for (const char* line :
       {"\nmedlarspread_upstream_sends_total 20000\n",
        "\nmedlarspread_requests_answered_total{class=\"audit\"} 20000\n",
        "\nmedlarspread_request_latency_seconds_count{class=\"audit\"} 20000\n",
        "\nmedlarspread_shard_latency_seconds_count 20000\n",
        "\nmedlarspread_shard_latency_seconds{quantile=\"0.99\"} 0.005\n"}) {
    EXPECT_THAT(text, HasSubstr(line));
  }
}

TEST_F(RegistryTest, RendersHelpAndTypeOncePerMetric) {
  registry_.Set(Gauge::kLiveVms, 9);
  registry_.Count(ClassCounter::kRequestsRefused, "a\"b");
  const std::string text = registry_.Render();
  EXPECT_THAT(text, HasSubstr("# TYPE medlarspread_live_vms gauge\n"
                              "medlarspread_live_vms 9\n"));
  EXPECT_THAT(
      text,
      HasSubstr("medlarspread_requests_refused_total{class=\"a\\\"b\"} 1\n"));
  std::set<std::string> seen;
  for (std::size_t at = text.find("# TYPE "); at != std::string::npos;
       at = text.find("# TYPE ", at + 1)) {
    EXPECT_TRUE(seen.insert(text.substr(at, text.find('\n', at) - at)).second);
  }
  EXPECT_GT(seen.size(), 20U);
}

TEST_F(RegistryTest, NumberOfSeriesIsBounded) {
  for (int i = 0; i < 1000; ++i) {
    registry_.Count(ClassCounter::kRequestsRefused,
                    "class-" + std::to_string(i));
  }
  EXPECT_THAT(registry_.Render(),
              HasSubstr("requests_refused_total{class=\"(other)\"} 800\n"));
}

TEST_F(RegistryTest, WindowForgetsOldLatencies) {
  WindowedDistribution distribution{base::Clock(time_)};
  distribution.Observe(base::Milliseconds(9000));
  time_->Advance(std::chrono::seconds(59));
  EXPECT_DOUBLE_EQ(distribution.Summarize().quantiles[0], 9.0);
  time_->Advance(std::chrono::seconds(2));
  distribution.Observe(base::Milliseconds(1));
  // The younger accumulator, now reported, has all samples.
  EXPECT_DOUBLE_EQ(distribution.Summarize().quantiles[3], 9.0);
  time_->Advance(std::chrono::seconds(61));
  EXPECT_DOUBLE_EQ(distribution.Summarize().quantiles[3], 0.001);
  time_->Advance(std::chrono::seconds(300));
  const DistributionSummary summary = distribution.Summarize();
  EXPECT_DOUBLE_EQ(summary.quantiles[3], 0.0);
  EXPECT_EQ(summary.count, 2);
  EXPECT_DOUBLE_EQ(summary.sum_seconds, 9.001);
}

TEST(LatencyAccumulatorTest, IsExactForFewSamples) {
  LatencyAccumulator accumulator;
  EXPECT_DOUBLE_EQ(accumulator.Quantiles()[0], 0.0);
  for (const double seconds : {0.3, 0.1, 0.2}) {
    accumulator.Add(seconds);
  }
  EXPECT_THAT(accumulator.Quantiles(),
              testing::ElementsAre(0.2, 0.3, 0.3, 0.3));
}

TEST(LatencyAccumulatorTest, EstimatesStayNearTheTruth) {
  for (const unsigned seed : {1U, 2U, 3U}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 engine(seed);
    std::lognormal_distribution<double> latency(-4.0, 0.7);
    LatencyAccumulator accumulator;
    std::vector<double> all;
    for (int i = 0; i < 20000; ++i) {
      all.push_back(latency(engine));
      accumulator.Add(all.back());
    }
    std::sort(all.begin(), all.end());
    const QuantileValues values = accumulator.Quantiles();
    const std::array<double, 4> tolerance = {0.02, 0.02, 0.05, 0.15};
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      const auto rank = static_cast<std::size_t>(
          kQuantiles[i] * static_cast<double>(all.size()));
      EXPECT_NEAR(values[i], all[rank], tolerance[i] * all[rank])
          << "quantile " << kQuantiles[i];
    }
  }
}

}  // namespace
}  // namespace medlarspread::metrics
