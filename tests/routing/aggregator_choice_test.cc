// Tests which daemons fan out requests on behalf of others.

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
      for (const std::string& shard : shards_) {
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
    return ChooseAggregators(membership_, index, shards_);
  }

  static std::string FirstPeer(const AggregatorPart& part) {
    return part.peers.empty() ? "" : part.peers.front().name;
  }

  std::vector<std::string> shards_{"a", "b", "c", "d"};
  MembershipView membership_;
  UpstreamsView upstreams_;
};

TEST_F(AggregatorChoiceTest, EqualDaemonsNearTheLeavesFanOutThemselves) {
  AddDaemon("x", "n1", 0.25);
  AddDaemon("y", "n1", 0.25);
  const AggregatorChoice choice = ChooseFor("x");
  ASSERT_EQ(choice.parts.size(), 1U);
  EXPECT_EQ(choice.parts[0].shards, shards_);
  EXPECT_TRUE(choice.parts[0].peers.empty());
  // All daemons are equal.
  EXPECT_TRUE(choice.senders.empty());
}

TEST_F(AggregatorChoiceTest, ADaemonFarFromTheLeavesHandsOverInItsRegion) {
  AddDaemon("near", "n1", 0.25);
  AddDaemon("far", "n2", 0.25);
  AddDaemon("other", "s1", 0.25);
  const AggregatorChoice choice = ChooseFor("far");
  ASSERT_EQ(choice.parts.size(), 1U);
  EXPECT_EQ(choice.parts[0].shards, shards_);
  EXPECT_EQ(FirstPeer(choice.parts[0]), "near");
  EXPECT_EQ(choice.senders.at("a").aggregators, 2);
  EXPECT_EQ(choice.senders.at("a").daemons, 3);
  EXPECT_FALSE(choice.senders.at("a").is_aggregator);
}

TEST_F(AggregatorChoiceTest, ASmallDaemonHandsOverToALargeOne) {
  AddDaemon("large", "n1", 0.5);
  AddDaemon("small", "n1", 0.12);
  EXPECT_EQ(FirstPeer(ChooseFor("small").parts[0]), "large");
  EXPECT_TRUE(ChooseFor("large").parts[0].peers.empty());
  EXPECT_TRUE(ChooseFor("large").senders.at("a").is_aggregator);
}

TEST_F(AggregatorChoiceTest, SplitsTheShardsByTheDomainsOfTheirLeaves) {
  upstreams_.upstreams.clear();
  AddLeaf("a", "n1");
  AddLeaf("b", "n2");
  AddLeaf("c", "n1");
  AddLeaf("d", "n2");
  AddDaemon("large1", "n1", 0.5);
  AddDaemon("large2", "n2", 0.5);
  AddDaemon("small", "n1", 0.12);
  const AggregatorChoice choice = ChooseFor("small");
  ASSERT_EQ(choice.parts.size(), 2U);
  EXPECT_EQ(choice.parts[0].shards, (std::vector<std::string>{"a", "c"}));
  EXPECT_EQ(FirstPeer(choice.parts[0]), "large1");
  EXPECT_EQ(choice.parts[1].shards, (std::vector<std::string>{"b", "d"}));
  EXPECT_EQ(FirstPeer(choice.parts[1]), "large2");
  // An aggregator keeps its own part and hands over the other.
  const AggregatorChoice own = ChooseFor("large1");
  EXPECT_TRUE(own.parts[0].peers.empty());
  EXPECT_EQ(FirstPeer(own.parts[1]), "large2");
  EXPECT_TRUE(own.senders.at("a").is_aggregator);
  EXPECT_FALSE(own.senders.at("b").is_aggregator);
  EXPECT_EQ(own.senders.at("b").aggregators, 1);
}

TEST_F(AggregatorChoiceTest, AShardWithoutALeafInTheRegionJoinsTheLargestPart) {
  upstreams_.upstreams.erase("dn1");
  AddDaemon("large", "n1", 0.5);
  AddDaemon("small", "n1", 0.12);
  const AggregatorChoice choice = ChooseFor("small");
  ASSERT_EQ(choice.parts.size(), 1U);
  EXPECT_EQ(choice.parts[0].shards.size(), 4U);
}

TEST_F(AggregatorChoiceTest, EverySenderToAShardSharesItsBudget) {
  // Region n has lost its leaf of the shard.
  upstreams_.upstreams.erase("dn1");
  AddDaemon("large", "n1", 0.5);
  AddDaemon("small", "n1", 0.12);
  AddDaemon("other", "s1", 0.5);
  const admission::Senders senders = ChooseFor("large").senders.at("d");
  EXPECT_TRUE(senders.is_aggregator);
  EXPECT_EQ(senders.aggregators, 2);
}

TEST_F(AggregatorChoiceTest, ADomainWithFewLeavesGetsNoPart) {
  upstreams_.upstreams.clear();
  shards_ = {"a", "b", "c", "d", "e", "f"};
  for (const char* shard : {"a", "b", "c", "d", "e"}) {
    AddLeaf(shard, "n1");
  }
  AddLeaf("f", "n2");
  AddDaemon("large1", "n1", 0.5);
  AddDaemon("large2", "n2", 0.5);
  const AggregatorChoice choice = ChooseFor("large2");
  ASSERT_EQ(choice.parts.size(), 1U);
  EXPECT_EQ(FirstPeer(choice.parts[0]), "large1");
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
    ASSERT_EQ(choice.parts[0].peers.size(), kMaxAggregatorsUsed);
    first.insert(FirstPeer(choice.parts[0]));
  }
  EXPECT_GE(first.size(), 6U);
}

TEST_F(AggregatorChoiceTest, WithoutLeavesInTheRegionEveryDaemonFansOut) {
  for (auto& [name, leaf] : upstreams_.upstreams) {
    if (leaf.failure_domain == "n1") {
      leaf.state = blackboard::UpstreamState::kDraining;
    }
  }
  AddDaemon("x", "n1", 0.5);
  AddDaemon("y", "n2", 0.12);
  const AggregatorChoice choice = ChooseFor("y");
  ASSERT_EQ(choice.parts.size(), 1U);
  EXPECT_TRUE(choice.parts[0].peers.empty());
}

TEST_F(AggregatorChoiceTest, ADaemonThatTakesNoRequestsIsNoAggregator) {
  AddDaemon("large", "n1", 0.5);
  membership_.members["large"].query_address.clear();
  AddDaemon("small", "n1", 0.12);
  EXPECT_TRUE(ChooseFor("small").parts[0].peers.empty());
}

TEST_F(AggregatorChoiceTest, WithoutKnownMembersTheDaemonFansOutItself) {
  const AggregatorChoice choice = ChooseFor("x");
  ASSERT_EQ(choice.parts.size(), 1U);
  EXPECT_EQ(choice.parts[0].shards, shards_);
}

}  // namespace
}  // namespace medlarspread::routing
