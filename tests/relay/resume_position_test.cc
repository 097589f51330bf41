// Tests ResumePosition: positions from the store count at once, those from
// peers later.

#include "src/relay/resume_position.h"

#include <gtest/gtest.h>

namespace medlarspread::relay {
namespace {

using store::Position;

TEST(ResumePositionTest, StorePositionsCountAtOnce) {
  ResumePosition safe;
  EXPECT_FALSE(safe.At({0}).has_value());
  safe.DidReadStore({1, 7});
  EXPECT_EQ(safe.At({0}), (Position{1, 7}));
  safe.DidReadStore({1, 5});
  EXPECT_EQ(safe.At({0}), (Position{1, 7}));
}

// A removal that a peer delays has a lower revision than the position that the
// peer has already sent.
TEST(ResumePositionTest, PeerPositionsCountAfterTheRemovalDelay) {
  constexpr base::MonotonicTime kStart{1'000'000};
  ResumePosition safe;
  safe.DidReadStore({1, 7});
  safe.DidReadPeer({1, 20}, kStart);
  EXPECT_EQ(safe.At(kStart + base::Milliseconds(4'900)), (Position{1, 7}));
  safe.DidReadPeer({1, 30}, kStart + base::Milliseconds(4'900));
  EXPECT_EQ(safe.At(kStart + base::Milliseconds(5'000)), (Position{1, 20}));
  EXPECT_EQ(safe.At(kStart + base::Milliseconds(9'900)), (Position{1, 30}));
}

// Guards against comparing revisions across a restore of the store.
TEST(ResumePositionTest, ALaterEraSupersedesHigherRevisions) {
  ResumePosition safe;
  safe.DidReadStore({1, 90});
  safe.DidReadStore({2, 40});
  EXPECT_EQ(safe.At({0}), (Position{2, 40}));
}

}  // namespace
}  // namespace medlarspread::relay
