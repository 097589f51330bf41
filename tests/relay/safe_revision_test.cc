// SafeRevision: what the store told counts at once, what peers told later.

#include "src/relay/safe_revision.h"

#include <gtest/gtest.h>

namespace medlarspread::relay {
namespace {

TEST(SafeRevisionTest, WhatTheStoreToldCountsAtOnce) {
  SafeRevision safe;
  EXPECT_FALSE(safe.At({0}).has_value());
  safe.DidHearFromStore(7);
  EXPECT_EQ(safe.At({0}), 7);
  safe.DidHearFromStore(5);
  EXPECT_EQ(safe.At({0}), 7);
}

// A removal that a peer holds back has a lower revision than what it told.
TEST(SafeRevisionTest, WhatAPeerToldCountsOnceNothingCanBeHeldBack) {
  constexpr base::MonotonicTime kStart{1'000'000};
  SafeRevision safe;
  safe.DidHearFromStore(7);
  safe.DidHearFromPeer(20, kStart);
  EXPECT_EQ(safe.At(kStart + base::Milliseconds(4'900)), 7);
  safe.DidHearFromPeer(30, kStart + base::Milliseconds(4'900));
  EXPECT_EQ(safe.At(kStart + base::Milliseconds(5'000)), 20);
  EXPECT_EQ(safe.At(kStart + base::Milliseconds(9'900)), 30);
}

}  // namespace
}  // namespace medlarspread::relay
