// Tests that coverage is exact and that merged items keep the order of the key
// space.

#include "src/query/answer_builder.h"

#include <gtest/gtest.h>

namespace medlarspread::query {
namespace {

constexpr blackboard::Snapshot kSnapshot{3, 1};

TEST(AnswerBuilderTest, NothingAnsweredCoversNothing) {
  const Coverage coverage = AnswerBuilder(kSnapshot, 3).MakeCoverage();
  EXPECT_EQ(coverage.share, 0.0);
  EXPECT_TRUE(coverage.is_partial);
  EXPECT_EQ(coverage.missing,
            (std::vector<blackboard::KeyRange>{{0, blackboard::kKeySpace}}));
}

TEST(AnswerBuilderTest, NamesTheGaps) {
  AnswerBuilder builder(kSnapshot, 4);
  EXPECT_TRUE(builder.Add({32768, 49152}, "[3]"));
  EXPECT_TRUE(builder.Add({0, 16384}, "[1,2]"));
  const Coverage coverage = builder.MakeCoverage();
  EXPECT_EQ(coverage.share, 0.5);
  EXPECT_EQ(coverage.shards_answered, 2);
  EXPECT_EQ(coverage.shards_total, 4);
  EXPECT_TRUE(coverage.is_partial);
  EXPECT_EQ(coverage.missing, (std::vector<blackboard::KeyRange>{
                                  {16384, 32768}, {49152, 65536}}));
  EXPECT_EQ(builder.MakeItems(), "[1,2,3]");
}

TEST(AnswerBuilderTest, FullOnlyWhenEveryKeyIsCovered) {
  AnswerBuilder builder(kSnapshot, 2);
  builder.Add({0, 65535}, "[]");
  EXPECT_TRUE(builder.MakeCoverage().is_partial);
  builder.Add({65535, 65536}, "[ ]");
  EXPECT_FALSE(builder.MakeCoverage().is_partial);
  EXPECT_EQ(builder.MakeCoverage().share, 1.0);
  EXPECT_EQ(builder.MakeItems(), "[]");
}

TEST(AnswerBuilderTest, NoKeyCountsTwice) {
  AnswerBuilder builder(kSnapshot, 2);
  EXPECT_TRUE(builder.Add({100, 200}, "[1]"));
  EXPECT_FALSE(builder.Add({100, 200}, "[1]"));
  EXPECT_FALSE(builder.Add({150, 250}, "[1]"));
  EXPECT_FALSE(builder.Add({50, 101}, "[1]"));
  EXPECT_FALSE(builder.Add({120, 130}, "[1]"));
  EXPECT_FALSE(builder.Add({0, 300}, "[1]"));
  EXPECT_TRUE(builder.Add({200, 201}, "[2]"));
  EXPECT_EQ(builder.MakeItems(), "[1,2]");
}

}  // namespace
}  // namespace medlarspread::query
