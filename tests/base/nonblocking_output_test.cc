// NonblockingOutput with a reader that doesn't read: no write blocks, and
// dropped lines are reported.

#include "src/base/nonblocking_output.h"

#include <ostream>
#include <string>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace medlarspread::base {
namespace {

class NonblockingOutputTest : public testing::Test {
 protected:
  void SetUp() override { ASSERT_EQ(pipe(ends_), 0); }
  void TearDown() override {
    close(ends_[0]);
    close(ends_[1]);
  }

  std::string ReadAll() {
    (void)fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string all;
    char bytes[4096];
    for (ssize_t size = 0; (size = read(ends_[0], bytes, sizeof(bytes))) > 0;) {
      all.append(bytes, static_cast<std::size_t>(size));
    }
    return all;
  }

  int ends_[2] = {};
};

TEST_F(NonblockingOutputTest, LinesArriveWhole) {
  NonblockingOutput output(ends_[1]);
  std::ostream stream(&output);
  stream << "one " << 1 << "\n" << std::flush << "two\n" << std::flush;
  EXPECT_EQ(ReadAll(), "one 1\ntwo\n");
}

TEST_F(NonblockingOutputTest, NeverBlocksAndReportsDroppedLines) {
  NonblockingOutput output(ends_[1], 4096);
  std::ostream stream(&output);
  const std::string line(999, 'x');
  constexpr int kLines = 1'000;
  for (int number = 0; number < kLines; ++number) {
    stream << line << "\n" << std::flush;
  }
  EXPECT_GT(output.dropped_lines(), 0);
  std::string all = ReadAll();
  stream << "last\n" << std::flush;
  all += ReadAll();
  const std::string expected_report =
      std::to_string(output.dropped_lines()) + " lines were dropped";
  EXPECT_NE(all.find(expected_report), std::string::npos);
  EXPECT_EQ(all.substr(all.size() - 5), "last\n");
}

}  // namespace
}  // namespace medlarspread::base
