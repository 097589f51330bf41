// LeafDirectory: entries in, one view out.

#include "src/upstream/leaf_directory.h"

#include <gtest/gtest.h>

namespace medlarspread::upstream {
namespace {

TEST(LeafDirectoryTest, PublishesWhatChanged) {
  blackboard::Blackboard blackboard;
  LeafDirectory directory(blackboard, base::Log());
  blackboard::Upstream leaf;
  leaf.name = "i-1";
  leaf.collection = "x";
  directory.DidWrite(leaf);
  EXPECT_TRUE(blackboard.upstreams.Read()->upstreams.empty());
  directory.Publish();
  const auto first = blackboard.upstreams.Read();
  EXPECT_EQ(first->upstreams.size(), 1U);
  directory.DidWrite(leaf);
  directory.Publish();
  // The same entry again makes no new view, which readers would index anew.
  EXPECT_EQ(blackboard.upstreams.Read(), first);
  directory.DidRemove("i-1");
  directory.Publish();
  EXPECT_TRUE(blackboard.upstreams.Read()->upstreams.empty());
}

TEST(LeafDirectoryTest, ConnectionsComeFromTheRoutes) {
  blackboard::Blackboard blackboard;
  LeafDirectory directory(blackboard, base::Log());
  blackboard::Upstream leaf;
  leaf.name = "i-1";
  leaf.collection = "x";
  directory.DidWrite(leaf);
  directory.SetConnections({{"x", 26}});
  directory.Publish();
  EXPECT_EQ(blackboard.upstreams.Read()->upstreams.at("i-1").connections, 26);
  leaf.name = "i-2";
  directory.DidWrite(leaf);
  directory.Publish();
  EXPECT_EQ(blackboard.upstreams.Read()->upstreams.at("i-2").connections, 26);
}

}  // namespace
}  // namespace medlarspread::upstream
