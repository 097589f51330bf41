// Tests the emulator's commands as processes, with the load command as client.

#include <csignal>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "tests/support/http_call.h"
#include "tests/support/process_group.h"

namespace medlarspread::tests {
namespace {

using testing::HasSubstr;

class EmulatorProcessTest : public testing::Test {
 protected:
  ProcessGroup processes_;
};

TEST_F(EmulatorProcessTest, LeafEntersThePlatformsList) {
  Process& platform = processes_.Start(EMULATOR_PROGRAM, {"platform"});
  const auto platform_ready = platform.AwaitReady();
  ASSERT_TRUE(platform_ready);
  const std::string address = platform_ready->at("address");
  Process& leaf = processes_.Start(
      EMULATOR_PROGRAM, {"leaf", "--name", "leaf-7", "--platform", address});
  const auto leaf_ready = leaf.AwaitReady();
  ASSERT_TRUE(leaf_ready);
  EXPECT_EQ(leaf_ready->at("name"), "leaf-7");
  EXPECT_TRUE(WaitUntil([&address] {
    return AwaitCall({.address = address, .path = "/v1/vms"})
               .body.find("leaf-7") != std::string::npos;
  }));
  leaf.Signal(SIGSTOP);
  leaf.Signal(SIGCONT);
  leaf.Signal(SIGTERM);
  EXPECT_EQ(leaf.AwaitExit(), 0);
  platform.Signal(SIGKILL);
  EXPECT_EQ(platform.AwaitExit(), 128 + SIGKILL);
}

TEST_F(EmulatorProcessTest, LoadToolAccountsForWhatItAsks) {
  Process& platform = processes_.Start(EMULATOR_PROGRAM, {"platform"});
  const auto ready = platform.AwaitReady();
  ASSERT_TRUE(ready);
  // The platform has no path for queries and answers 404.
  Process& load = processes_.Start(
      EMULATOR_PROGRAM, {"load", "--target", ready->at("address"), "--class",
                         "name=a,rate=100,deadline_ms=200", "--class",
                         "name=b,rate=50", "--seconds", "0.3", "--json"});
  const std::string output = load.ReadToEnd();
  EXPECT_EQ(load.AwaitExit(), 0);
  EXPECT_THAT(output, HasSubstr(R"("seed":1)"));
  EXPECT_THAT(output, HasSubstr(R"("class":"a")"));
  EXPECT_THAT(output, HasSubstr(R"("class":"b")"));
  EXPECT_THAT(output, HasSubstr(R"("answered":0)"));
  EXPECT_THAT(output, HasSubstr(R"("failed":0)"));
}

}  // namespace
}  // namespace medlarspread::tests
