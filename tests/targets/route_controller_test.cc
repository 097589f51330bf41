// Tests that only a higher revision of routes comes into force.

#include "src/targets/route_controller.h"

#include <gtest/gtest.h>

namespace medlarspread::targets {
namespace {

TEST(RouteControllerTest, NeverGoesBackWhateverIsRead) {
  blackboard::Blackboard blackboard;
  RouteController controller(blackboard, base::Log());
  EXPECT_TRUE(controller.DidRead(blackboard::RoutesView{5, {}, {}, {}}));
  EXPECT_FALSE(controller.DidRead(blackboard::RoutesView{4, {}, {}, {}}));
  EXPECT_FALSE(controller.DidRead(blackboard::RoutesView{5, {}, {}, {}}));
  EXPECT_EQ(blackboard.routes.Read()->revision, 5);
  EXPECT_TRUE(controller.DidRead(blackboard::RoutesView{9, {}, {}, {}}));
  EXPECT_EQ(blackboard.routes.Read()->revision, 9);
}

TEST(RouteControllerTest, WhatCantBeReadLeavesTheLastOneInForce) {
  blackboard::Blackboard blackboard;
  RouteController controller(blackboard, base::Log());
  controller.DidRead(blackboard::RoutesView{5, {}, {}, {}});
  EXPECT_FALSE(controller.DidRead(base::MakeError(
      base::ErrorCode::kMalformed, base::Step::kTargets, "", "")));
  EXPECT_EQ(blackboard.routes.Read()->revision, 5);
}

}  // namespace
}  // namespace medlarspread::targets
