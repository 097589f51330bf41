// Who fans out for whom.

#include "src/routing/aggregator_choice.h"

#include <set>

#include <gtest/gtest.h>

namespace medlarspread::routing {
namespace {

using blackboard::Member;
using blackboard::MembershipView;
using blackboard::UpstreamsView;

// Two regions of two failure domains; leaves in the first domain of each.
class AggregatorChoiceTest : public testing::Test {
 protected:
  AggregatorChoiceTest() {
    for (const char* domain : {"n1", "s1"}) {
      for (const std::string& shard : kShards) {
        AddLeaf(shard, domain);
      }
    }
  }

  void AddLeaf(const std::string& shard, const std::string& domain) {
    blackboard::Upstream leaf;
    leaf.name = shard + domain;
    leaf.collection = shard;
    leaf.failure_domain = domain;
    upstreams_.upstreams[leaf.name] = leaf;
  }

  void AddDaemon(const std::string& name,
                 const std::string& domain,
                 double processor_share) {
    Member member;
    member.name = name;
    member.region = domain.substr(0, 1);
    member.failure_domain = domain;
    member.query_address = "10.0.0.1:1";
    member.processor_share = processor_share;
    membership_.members[name] = member;
  }

  AggregatorChoice ChooseFor(const std::string& self) {
    membership_.self = self;
    const LeafIndex index(std::make_shared<const UpstreamsView>(upstreams_));
    return ChooseAggregators(membership_, index, kShards);
  }

  const std::vector<std::string> kShards{"a", "b", "c", "d"};
  MembershipView membership_;
  UpstreamsView upstreams_;
};

TEST_F(AggregatorChoiceTest, EqualDaemonsBesideTheLeavesFanOutThemselves) {
  AddDaemon("x", "n1", 0.25);
  AddDaemon("y", "n1", 0.25);
  const AggregatorChoice choice = ChooseFor("x");
  EXPECT_TRUE(choice.peers.empty());
  EXPECT_TRUE(choice.is_aggregator);
  EXPECT_EQ(choice.aggregators, 2);
  EXPECT_EQ(choice.entries, 0);
}

TEST_F(AggregatorChoiceTest, ADaemonFarFromTheLeavesHandsOverInItsRegion) {
  AddDaemon("near", "n1", 0.25);
  AddDaemon("far", "n2", 0.25);
  AddDaemon("other", "s1", 0.25);
  const AggregatorChoice choice = ChooseFor("far");
  ASSERT_EQ(choice.peers.size(), 1U);
  EXPECT_EQ(choice.peers[0].name, "near");
  EXPECT_FALSE(choice.is_aggregator);
  EXPECT_EQ(choice.aggregators, 2);
  EXPECT_EQ(choice.entries, 1);
}

TEST_F(AggregatorChoiceTest, ASmallDaemonHandsOverToALargeOne) {
  AddDaemon("large", "n1", 0.5);
  AddDaemon("small", "n1", 0.12);
  EXPECT_EQ(ChooseFor("small").peers[0].name, "large");
  EXPECT_TRUE(ChooseFor("large").peers.empty());
}

TEST_F(AggregatorChoiceTest, ALargeDaemonFarFromTheLeavesHandsOverToo) {
  AddDaemon("large", "n2", 0.5);
  AddDaemon("small", "n1", 0.12);
  EXPECT_EQ(ChooseFor("large").peers[0].name, "small");
}

TEST_F(AggregatorChoiceTest, UsesThreePeersAtMostAndSpreadsOverAll) {
  std::set<std::string> first;
  for (int index = 0; index < 8; ++index) {
    AddDaemon("large" + std::to_string(index), "n1", 0.5);
  }
  for (int index = 0; index < 40; ++index) {
    AddDaemon("small" + std::to_string(index), "n1", 0.12);
  }
  for (int index = 0; index < 40; ++index) {
    const AggregatorChoice choice = ChooseFor("small" + std::to_string(index));
    ASSERT_EQ(choice.peers.size(), kMostAggregatorsUsed);
    first.insert(choice.peers[0].name);
  }
  EXPECT_GE(first.size(), 6U);
}

TEST_F(AggregatorChoiceTest, WithoutLeavesInTheRegionEverybodyFansOut) {
  for (auto& [name, leaf] : upstreams_.upstreams) {
    if (leaf.failure_domain == "n1") {
      leaf.state = blackboard::UpstreamState::kDraining;
    }
  }
  AddDaemon("x", "n1", 0.5);
  AddDaemon("y", "n2", 0.12);
  EXPECT_TRUE(ChooseFor("y").peers.empty());
  EXPECT_EQ(ChooseFor("y").entries, 0);
}

TEST_F(AggregatorChoiceTest, ADaemonThatTakesNoRequestsIsNoAggregator) {
  AddDaemon("large", "n1", 0.5);
  membership_.members["large"].query_address.clear();
  AddDaemon("small", "n1", 0.12);
  EXPECT_TRUE(ChooseFor("small").peers.empty());
}

}  // namespace
}  // namespace medlarspread::routing
