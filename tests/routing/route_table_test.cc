// Tests route lookup by host and longest prefix, and requests without a route.

#include "src/routing/route_table.h"

#include <gtest/gtest.h>

namespace medlarspread::routing {
namespace {

std::shared_ptr<const blackboard::WorkRoute> MakeRoute(
    const std::string& name,
    const std::string& host,
    const std::string& prefix) {
  auto route = std::make_shared<blackboard::WorkRoute>();
  route->targets.name = name;
  route->host = host;
  route->prefix = prefix;
  return route;
}

class RouteTableTest : public testing::Test {
 protected:
  std::string Find(std::string_view host, std::string_view target) const {
    const auto route = table_.Find(host, target);
    return route ? route->targets.name : "";
  }

  const RouteTable table_{std::make_shared<const blackboard::RoutesView>(
      blackboard::RoutesView{1,
                             {MakeRoute("short", "a.example", "/x/"),
                              MakeRoute("long", "a.example", "/x/y/"),
                              MakeRoute("root", "b.example", "/")},
                             {},
                             {}})};
};

TEST_F(RouteTableTest, LongestPrefixWins) {
  EXPECT_EQ(Find("a.example", "/x/y/1"), "long");
  EXPECT_EQ(Find("a.example", "/x/z"), "short");
}

TEST_F(RouteTableTest, HostIsComparedWithoutCaseAndPort) {
  EXPECT_EQ(Find("A.Example:8080", "/x/1"), "short");
}

TEST_F(RouteTableTest, PathEndsAtTheQuery) {
  EXPECT_EQ(Find("a.example", "/x?/x/y/"), "");
  EXPECT_EQ(Find("a.example", "/x/?q=/x/y/"), "short");
}

TEST_F(RouteTableTest, NothingIsDecoded) {
  EXPECT_EQ(Find("a.example", "/x%2fy/1"), "");
}

TEST_F(RouteTableTest, OtherHostsHaveNoRoute) {
  EXPECT_EQ(Find("c.example", "/x/"), "");
  EXPECT_EQ(Find("b.example", "/anything"), "root");
}

}  // namespace
}  // namespace medlarspread::routing
