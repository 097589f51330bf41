// Every store call is counted once and forwarded unchanged.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "src/daemon/metered_store.h"

namespace medlarspread::daemon {
namespace {

using testing::HasSubstr;

TEST(MeteredStoreTest, CountsCallsAndFailuresAndPassesThemOn) {
  const auto time = std::make_shared<base::ManualTime>(0, 0);
  metrics::Registry registry{base::Clock(time)};
  store::Store store;
  store.read = [time](const std::string& key, base::Duration,
                      const store::Store::ReadCallback& callback) {
    time->Advance(base::Milliseconds(20));
    callback(std::optional(store::Entry{key, "value", 3}));
  };
  store.compare_and_swap = [](const std::string&, const std::string&,
                              std::int64_t expected_version, base::Duration,
                              const store::Store::WriteCallback& callback) {
    callback(base::MakeError(expected_version == 0
                                 ? base::ErrorCode::kConflict
                                 : base::ErrorCode::kUnknownOutcome,
                             base::Step::kWriteStore, "", ""));
  };
  const store::Store metered = MeterStore(store, registry, base::Clock(time));

  std::string read_key;
  metered.read("a/b", {},
               [&](const auto& result) { read_key = result.value()->key; });
  EXPECT_EQ(read_key, "a/b");
  base::Error error;
  const auto keep_error = [&error](const auto& result) {
    error = result.error();
  };
  metered.compare_and_swap("k", "v", 0, {}, keep_error);
  EXPECT_EQ(error.code, base::ErrorCode::kConflict);
  metered.compare_and_swap("k", "v", 1, {}, keep_error);
  EXPECT_EQ(error.code, base::ErrorCode::kUnknownOutcome);

  const std::string text = registry.Render();
  EXPECT_THAT(text, HasSubstr("\nmedlarspread_store_calls_total 3\n"));
  EXPECT_THAT(text, HasSubstr("\nmedlarspread_store_failures_total 1\n"));
  EXPECT_THAT(text,
              HasSubstr("\nmedlarspread_store_latency_seconds_count 3\n"));
  EXPECT_THAT(text, HasSubstr("medlarspread_store_latency_seconds_sum 0.02\n"));
}

}  // namespace
}  // namespace medlarspread::daemon
