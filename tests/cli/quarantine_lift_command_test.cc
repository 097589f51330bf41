// `quarantine lift`: the entry written to the store, and the errors reported.

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "src/quarantine/verdict_entry.h"
#include "tests/cli/fake_environment.h"

namespace medlarspread::cli {
namespace {

using testing::HasSubstr;

constexpr const char* kFingerprint = "00112233445566778899aabbccddeeff";

class QuarantineLiftCommandTest : public testing::Test {
 protected:
  QuarantineLiftCommandTest() {
    std::string pattern =
        std::filesystem::temp_directory_path().string() + "/lift.XXXXXX";
    folder_ = mkdtemp(pattern.data());
    file_ = (folder_ / "daemon.ini").string();
    std::ofstream(file_)
        << "[vm]\nname = vm0\nregion = r\nfailure_domain = n1\n"
           "[callers]\ninterface = opaque\naddress = 127.0.0.1:1\n"
           "readiness_address = 127.0.0.1:2\n"
           "[operators]\naddress = 127.0.0.1:3\n"
           "[peers]\naddress = 127.0.0.1:4\n"
           "[platform]\naddress = 10.0.0.9:80\n";
  }
  ~QuarantineLiftCommandTest() override {
    std::filesystem::remove_all(folder_);
  }

  std::filesystem::path folder_;
  std::string file_;
  FakeEnvironment fake_;
};

TEST_F(QuarantineLiftCommandTest, WritesToTheStoreOfTheSettings) {
  EXPECT_EQ(
      fake_.Run({"quarantine", "lift", kFingerprint, "--settings", file_}), 0)
      << fake_.error;
  ASSERT_EQ(fake_.written_keys.size(), 1U);
  const auto& [address, key, value] = fake_.written_keys.front();
  EXPECT_EQ(address, "10.0.0.9:80");
  EXPECT_EQ(key, std::string("quarantine/") + kFingerprint);
  const auto entry = quarantine::DecodeVerdict(value);
  ASSERT_TRUE(entry);
  EXPECT_EQ(entry->state, blackboard::QuarantineState::kLifted);
}

TEST_F(QuarantineLiftCommandTest, RefusesWhatIsNoFingerprint) {
  EXPECT_EQ(fake_.Run({"quarantine", "lift", "00", "--settings", file_}), 2);
  EXPECT_EQ(fake_.Run({"quarantine", "lift", kFingerprint}), 2);
  EXPECT_TRUE(fake_.written_keys.empty());
}

TEST_F(QuarantineLiftCommandTest, SaysIfTheStoreDidNotAnswer) {
  fake_.write_result = base::MakeError(
      base::ErrorCode::kTimeout, base::Step::kWriteStore, "10.0.0.9:80", "");
  EXPECT_EQ(
      fake_.Run({"quarantine", "lift", kFingerprint, "--settings", file_}), 4);
  EXPECT_THAT(fake_.error, HasSubstr("unknown whether it was lifted"));
}

}  // namespace
}  // namespace medlarspread::cli
