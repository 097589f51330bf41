// Tests of the emulated platform: versions, leases, checkpoints, rate limits
// and delayed visibility.

#include <gtest/gtest.h>

#include "emulator/platform/call_meter.h"
#include "emulator/platform/key_value_store.h"
#include "emulator/support/lagged.h"

namespace medlarspread::emulator {
namespace {

class KeyValueStoreTest : public testing::Test {
 protected:
  std::int64_t Write(const std::string& key, std::int64_t expected_version) {
    return store_.Write(key, "value", expected_version, "").version;
  }

  std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(0, 0);
  base::Clock clock_{time_};
  KeyValueStore store_{clock_};
};

TEST_F(KeyValueStoreTest, SwapsOnlyTheExpectedVersion) {
  const std::int64_t first = Write("k", 0);
  EXPECT_EQ(store_.Write("k", "other", 0, "").status, StoreStatus::kConflict);
  EXPECT_EQ(store_.Write("k", "other", 0, "").version, first);
  EXPECT_EQ(store_.Read("k")->value, "value");
  EXPECT_GT(Write("k", first), first);
}

TEST_F(KeyValueStoreTest, NeverRepeatsAVersionAfterErase) {
  const std::int64_t first = Write("k", 0);
  EXPECT_EQ(store_.Erase("k", first + 1).status, StoreStatus::kConflict);
  EXPECT_EQ(store_.Erase("k", first).status, StoreStatus::kOk);
  EXPECT_EQ(store_.Erase("k", first).status, StoreStatus::kNotFound);
  EXPECT_GT(Write("k", 0), first);
}

TEST_F(KeyValueStoreTest, DropsKeysWithTheirLease) {
  const std::string lease = store_.CreateLease(base::Milliseconds(100));
  EXPECT_EQ(store_.Write("k", "v", 0, lease).status, StoreStatus::kOk);
  time_->Advance(base::Milliseconds(90));
  EXPECT_TRUE(store_.RenewLease(lease));
  time_->Advance(base::Milliseconds(90));
  EXPECT_TRUE(store_.Read("k"));
  time_->Advance(base::Milliseconds(20));
  EXPECT_FALSE(store_.Read("k"));
  EXPECT_FALSE(store_.RenewLease(lease));
  EXPECT_EQ(store_.Write("k", "v", 0, lease).status, StoreStatus::kNotFound);
}

TEST_F(KeyValueStoreTest, RestoresTheCheckpoint) {
  const std::int64_t first = Write("a", 0);
  store_.Checkpoint();
  const std::int64_t second = Write("a", first);
  Write("b", 0);
  store_.Restore(/*repeats_versions=*/false);
  EXPECT_EQ(store_.Read("a")->version, first);
  EXPECT_FALSE(store_.Read("b"));
  EXPECT_GT(Write("a", first), second);
  store_.Restore(/*repeats_versions=*/true);
  EXPECT_EQ(Write("a", first), second);
}

TEST_F(KeyValueStoreTest, ListsByPrefixAndBoundsValues) {
  Write("a/1", 0);
  Write("a/2", 0);
  Write("b/1", 0);
  EXPECT_EQ(store_.List("a/").size(), 2U);
  const std::string large(KeyValueStore::kMaxValueBytes + 1, 'x');
  EXPECT_EQ(store_.Write("c", large, 0, "").status, StoreStatus::kTooLarge);
}

TEST(CallMeterTest, RefusesAboveTheRate) {
  auto time = std::make_shared<base::ManualTime>(0, 0);
  CallMeter meter({.writes_per_second = 10, .reads_per_second = 20},
                  base::Clock(time));
  int admitted = 0;
  for (int call = 0; call < 15; ++call) {
    admitted += meter.Admit(CallKind::kPut) ? 1 : 0;
  }
  EXPECT_EQ(admitted, 10);
  EXPECT_TRUE(meter.Admit(CallKind::kWatch));
  EXPECT_EQ(meter.count(CallKind::kPut), 15);
  EXPECT_EQ(meter.over_rate(), 5);
  time->Advance(base::Milliseconds(200));
  EXPECT_TRUE(meter.Admit(CallKind::kErase));
  EXPECT_TRUE(meter.Admit(CallKind::kLease));
  EXPECT_FALSE(meter.Admit(CallKind::kPut));
}

TEST(LaggedTest, ShowsChangesInOrderAfterTheirLag) {
  Lagged<int> value(1);
  value.Set(2, {100});
  value.Set(3, {200});
  EXPECT_EQ(value.Read({99}), 1);
  EXPECT_EQ(value.latest(), 3);
  EXPECT_EQ(value.Read({100}), 2);
  EXPECT_EQ(value.Read({300}), 3);
}

}  // namespace
}  // namespace medlarspread::emulator
