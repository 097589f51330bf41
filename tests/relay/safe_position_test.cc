// SafePosition: what the store told counts at once, what peers told later.

#include "src/relay/safe_position.h"

#include <gtest/gtest.h>

namespace medlarspread::relay {
namespace {

using store::Position;

TEST(SafePositionTest, WhatTheStoreToldCountsAtOnce) {
  SafePosition safe;
  EXPECT_FALSE(safe.At({0}).has_value());
  safe.DidHearFromStore({1, 7});
  EXPECT_EQ(safe.At({0}), (Position{1, 7}));
  safe.DidHearFromStore({1, 5});
  EXPECT_EQ(safe.At({0}), (Position{1, 7}));
}

// A removal that a peer holds back has a lower revision than what it told.
TEST(SafePositionTest, WhatAPeerToldCountsOnceNothingCanBeHeldBack) {
  constexpr base::MonotonicTime kStart{1'000'000};
  SafePosition safe;
  safe.DidHearFromStore({1, 7});
  safe.DidHearFromPeer({1, 20}, kStart);
  EXPECT_EQ(safe.At(kStart + base::Milliseconds(4'900)), (Position{1, 7}));
  safe.DidHearFromPeer({1, 30}, kStart + base::Milliseconds(4'900));
  EXPECT_EQ(safe.At(kStart + base::Milliseconds(5'000)), (Position{1, 20}));
  EXPECT_EQ(safe.At(kStart + base::Milliseconds(9'900)), (Position{1, 30}));
}

// Guards against revisions that are compared across a restore of the store.
TEST(SafePositionTest, ALaterEraSupersedesHigherRevisions) {
  SafePosition safe;
  safe.DidHearFromStore({1, 90});
  safe.DidHearFromStore({2, 40});
  EXPECT_EQ(safe.At({0}), (Position{2, 40}));
}

}  // namespace
}  // namespace medlarspread::relay
