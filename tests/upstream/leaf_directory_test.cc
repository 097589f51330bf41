// Tests how LeafDirectory converts store entries into the published view.

#include "src/upstream/leaf_directory.h"

#include <gtest/gtest.h>

namespace medlarspread::upstream {
namespace {

using blackboard::UpstreamState;

class LeafDirectoryTest : public testing::Test {
 protected:
  static LeafEntry MakeEntry(const std::string& id,
                             std::int64_t started = 0,
                             std::int64_t sequence = 0) {
    LeafEntry entry;
    entry.upstream.id = id;
    entry.upstream.name = MakeLeafName(id, started);
    entry.upstream.collection = "x";
    entry.started_wall_ms = started;
    entry.sequence = sequence;
    return entry;
  }

  // Names and states of the published leaves.
  std::map<std::string, UpstreamState> Published() {
    directory_.Publish();
    std::map<std::string, UpstreamState> states;
    for (const auto& [name, leaf] : blackboard_.upstreams.Read()->upstreams) {
      states[name] = leaf.state;
    }
    return states;
  }

  using States = std::map<std::string, UpstreamState>;

  blackboard::Blackboard blackboard_;
  LeafDirectory directory_{blackboard_, base::Log()};
};

TEST_F(LeafDirectoryTest, PublishesWhatChanged) {
  directory_.DidWrite(MakeEntry("i-1"));
  EXPECT_TRUE(blackboard_.upstreams.Read()->upstreams.empty());
  directory_.Publish();
  const auto first = blackboard_.upstreams.Read();
  EXPECT_EQ(first->upstreams.size(), 1U);
  directory_.DidWrite(MakeEntry("i-1"));
  directory_.Publish();
  // An unchanged entry causes no new view, which readers would have to index
  // again.
  EXPECT_EQ(blackboard_.upstreams.Read(), first);
  directory_.DidRemove("i-1");
  directory_.Publish();
  EXPECT_TRUE(blackboard_.upstreams.Read()->upstreams.empty());
}

TEST_F(LeafDirectoryTest, ConnectionsComeFromTheRoutes) {
  directory_.DidWrite(MakeEntry("i-1"));
  directory_.SetConnections({{"x", 26}});
  directory_.Publish();
  EXPECT_EQ(blackboard_.upstreams.Read()->upstreams.at("i-1").connections, 26);
  directory_.DidWrite(MakeEntry("i-2"));
  directory_.Publish();
  EXPECT_EQ(blackboard_.upstreams.Read()->upstreams.at("i-2").connections, 26);
}

// All learned state is stored under the leaf's name, so a new name discards the
// state of the previous start.
TEST_F(LeafDirectoryTest, AnotherStartUnderTheSameIdentifierIsAnotherLeaf) {
  LeafEntry former = MakeEntry("i-1", 1'000, 9);
  former.upstream.state = UpstreamState::kDraining;
  directory_.DidWrite(former);
  directory_.DidWrite(MakeEntry("i-1", 2'000, 1));
  EXPECT_EQ(Published(), (States{{"i-1@2000", UpstreamState::kServing}}));
}

TEST_F(LeafDirectoryTest, AnEntryOfAnEarlierStartNeverReplacesALaterOne) {
  directory_.DidWrite(MakeEntry("i-1", 2'000, 1));
  LeafEntry late = MakeEntry("i-1", 1'000, 50);
  late.upstream.state = UpstreamState::kDraining;
  directory_.DidWrite(late);
  EXPECT_EQ(Published(), (States{{"i-1@2000", UpstreamState::kServing}}));
  // It is not restored once the later one is removed either.
  directory_.DidRemove("i-1");
  directory_.DidWrite(late);
  EXPECT_EQ(Published(), States{});
}

TEST_F(LeafDirectoryTest, AnEarlierEntryOfTheSameStartIsLeftOut) {
  LeafEntry draining = MakeEntry("i-1", 0, 7);
  draining.upstream.state = UpstreamState::kDraining;
  directory_.DidWrite(draining);
  directory_.DidWrite(MakeEntry("i-1", 0, 6));
  EXPECT_EQ(Published(), (States{{"i-1", UpstreamState::kDraining}}));
}

// Leaves that don't report a start time restart their sequence numbers.
TEST_F(LeafDirectoryTest, ALeafThatWasGoneMayCountAnew) {
  directory_.DidWrite(MakeEntry("i-1", 0, 7));
  directory_.DidRemove("i-1");
  directory_.DidWrite(MakeEntry("i-1", 0, 1));
  EXPECT_EQ(Published(), (States{{"i-1", UpstreamState::kServing}}));
}

TEST_F(LeafDirectoryTest, AnInvalidEntryTakesItsLeafOutOfUse) {
  const base::Error error = base::MakeError(
      base::ErrorCode::kMalformed, base::Step::kWatchStore, "", "from a test");
  directory_.DidWrite(MakeEntry("i-1", 0, 3));
  directory_.DidWrite(MakeEntry("i-2", 0, 3));
  directory_.DidInvalidate("i-1", error);
  directory_.DidInvalidate("i-3", error);
  EXPECT_EQ(Published(), (States{{"i-2", UpstreamState::kServing}}));
  directory_.DidWrite(MakeEntry("i-1", 0, 4));
  EXPECT_EQ(Published(), (States{{"i-1", UpstreamState::kServing},
                                 {"i-2", UpstreamState::kServing}}));
}

TEST_F(LeafDirectoryTest, AnEntryWithoutThePreviouslyReportedStartIsInvalid) {
  directory_.DidWrite(MakeEntry("i-1", 2'000, 3));
  directory_.DidWrite(MakeEntry("i-1", 0, 4));
  EXPECT_EQ(Published(), States{});
  directory_.DidWrite(MakeEntry("i-1", 2'000, 5));
  EXPECT_EQ(Published(), (States{{"i-1@2000", UpstreamState::kServing}}));
}

TEST_F(LeafDirectoryTest, LeavesThatAreGoneAreForgottenInTheEnd) {
  constexpr int kLeaves = 20'000;
  for (int leaf = 0; leaf < kLeaves; ++leaf) {
    const std::string id = "i-" + std::to_string(leaf);
    directory_.DidWrite(MakeEntry(id, 1'000, 1));
    directory_.DidRemove(id);
  }
  // The first one has been forgotten and counts as new.
  directory_.DidWrite(MakeEntry("i-0", 500, 1));
  EXPECT_EQ(Published(), (States{{"i-0@500", UpstreamState::kServing}}));
}

}  // namespace
}  // namespace medlarspread::upstream
