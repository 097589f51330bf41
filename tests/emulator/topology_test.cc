// Tests that topology files are parsed into leaf settings.

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <set>

#include <gtest/gtest.h>

#include "emulator/leaf/topology.h"

namespace medlarspread::emulator {
namespace {

class TopologyTest : public testing::Test {
 protected:
  base::Result<std::vector<LeafSettings>> Read(const std::string& text) {
    const std::string path =
        testing::TempDir() + "/topology-" + std::to_string(getpid()) + ".ini";
    std::ofstream(path) << text;
    auto leaves = ReadTopology(path, 7);
    std::remove(path.c_str());
    return leaves;
  }
};

TEST_F(TopologyTest, SpreadsShardsAndReplicas) {
  const auto leaves = Read(
      "[desk]\nshards = 3\nreplicas = 2\nregions = r1,r2\n"
      "failure_domains = r1a,r2a\nsnapshot = 4:2\nslots = 3\n"
      "[ledger]\ncollection = books\nservice_ms = 1.5\n");
  ASSERT_TRUE(leaves.is_ok()) << leaves.error().ToString();
  ASSERT_EQ(leaves.value().size(), 7U);
  const LeafSettings& second = leaves.value()[1];
  EXPECT_EQ(second.name, "desk-s0-r1");
  EXPECT_EQ(second.region, "r2");
  EXPECT_EQ(second.failure_domain, "r2a");
  EXPECT_EQ(second.slots, 3);
  EXPECT_EQ(second.seed, 8U);
  std::set<blackboard::KeyRange> ranges;
  for (const LeafSettings& leaf : leaves.value()) {
    if (leaf.collection == "desk") {
      EXPECT_EQ(leaf.holdings[0].snapshot, (blackboard::Snapshot{4, 2}));
      ranges.insert(leaf.holdings[0].range);
    }
  }
  EXPECT_EQ(ranges, (std::set<blackboard::KeyRange>{
                        {0, 21845}, {21845, 43690}, {43690, 65536}}));
  EXPECT_EQ(leaves.value()[6].collection, "books");
  EXPECT_EQ(leaves.value()[6].service_ms, 1.5);
}

TEST_F(TopologyTest, RefusesWhatMakesNoLeaf) {
  EXPECT_FALSE(Read("[desk]\nshards = 0\n").is_ok());
  EXPECT_FALSE(Read("[desk]\nsnapshot = none\n").is_ok());
  EXPECT_FALSE(ReadTopology("/nonexistent", 1).is_ok());
}

}  // namespace
}  // namespace medlarspread::emulator
