// Tests that records survive encoding exactly and that malformed bodies are
// rejected.

#include "src/targets/targets_record.h"

#include <limits>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/targets/class_targets_check.h"

namespace medlarspread::targets {
namespace {

// A random number in [low, high) that uses all digits of a double.
rc::Gen<double> AnyNumber(double low, double high) {
  constexpr std::int64_t kSteps = std::int64_t{1} << 52;
  return rc::gen::map(rc::gen::inRange<std::int64_t>(0, kSteps),
                      [low, high](std::int64_t step) {
                        return low + (high - low) * static_cast<double>(step) /
                                         static_cast<double>(kSteps);
                      });
}

blackboard::ClassTargets AnyClass(int index) {
  blackboard::ClassTargets targets;
  targets.name = "class-" + std::to_string(index);
  targets.collection = "archive_" + std::to_string(index);
  targets.latency = base::Duration(*rc::gen::inRange<std::int64_t>(
      kMinLatency.count(), kMaxLatency.count() + 1));
  targets.percentile = *AnyNumber(kMinPercentile, kMaxPercentile);
  targets.coverage = *AnyNumber(0.0, 1.0);
  targets.coverage_percentile = *AnyNumber(kMinPercentile, kMaxPercentile);
  return targets;
}

TargetsRecord MakeRecord(int changes) {
  TargetsRecord record;
  for (int i = 0; i < changes; ++i) {
    blackboard::ClassTargets targets;
    targets.name = "class-" + std::to_string(i % 7);
    targets.collection = "archive";
    record = ApplyChange(record,
                         {"id-" + std::to_string(i), {}, SetClass{targets}}, 0);
  }
  return record;
}

RC_GTEST_PROP(TargetsRecordPropertyTest, SurvivesItsEncoding, ()) {
  TargetsRecord record;
  const int changes = *rc::gen::inRange(1, 20);
  for (int i = 0; i < changes; ++i) {
    const auto floor = *rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000);
    const int index = *rc::gen::inRange(0, 5);
    record = ApplyChange(
        record, {"id-" + std::to_string(i), {}, SetClass{AnyClass(index)}},
        floor);
  }
  const std::string body = EncodeRecord(record);
  const auto decoded = DecodeRecord(body);
  RC_ASSERT(decoded.is_ok());
  RC_ASSERT(decoded.value() == record);
  RC_ASSERT(EncodeRecord(decoded.value()) == body);
}

TEST(TargetsRecordTest, ChangesAreAppliedAndMarked) {
  TargetsRecord record = MakeRecord(3);
  EXPECT_EQ(record.revision, 3);
  EXPECT_EQ(record.classes.size(), 3U);
  const TargetsChange removal{"gone", {}, RemoveClass{"class-1"}};
  record = ApplyChange(record, removal, 9);
  EXPECT_EQ(record.revision, 10);
  EXPECT_FALSE(record.classes.contains("class-1"));
  const ChangeMark* mark = FindMark(record, "gone");
  ASSERT_NE(mark, nullptr);
  EXPECT_EQ(*mark, (ChangeMark{"gone", 10, "class-1", DigestOf(removal)}));
  EXPECT_EQ(FindLastMarkOfClass(record, "class-1"), mark);
  EXPECT_EQ(FindLastMarkOfClass(record, "class-9"), nullptr);
}

TEST(TargetsRecordTest, MarksAreBounded) {
  const TargetsRecord record = MakeRecord(kMaxChangeMarks + 5);
  EXPECT_EQ(record.changes.size(), kMaxChangeMarks);
  EXPECT_EQ(FindMark(record, "id-4"), nullptr);
  EXPECT_NE(FindMark(record, "id-5"), nullptr);
  EXPECT_TRUE(DecodeRecord(EncodeRecord(record)).is_ok());
}

TEST(TargetsRecordTest, LargestRecordFitsTheStore) {
  TargetsRecord record;
  for (std::size_t i = 0; i < kMaxClasses; ++i) {
    std::string name = std::to_string(i);
    name.insert(0, 64 - name.size(), 'x');
    record.classes[name] = {name,        std::string(64, 'y'),
                            kMaxLatency, 2.0 / 3 * 100,
                            1.0 / 3,     99.0 / 7 * 5};
  }
  for (std::size_t i = 0; i < kMaxChangeMarks; ++i) {
    std::string id = std::to_string(i);
    id.insert(0, 64 - id.size(), 'z');
    record.revision = std::numeric_limits<std::int64_t>::max() -
                      static_cast<std::int64_t>(kMaxChangeMarks - i);
    record.changes.push_back({id, record.revision, std::string(64, 'x'),
                              std::numeric_limits<std::int64_t>::min()});
  }
  constexpr std::size_t kLimit = 1 << 20;
  EXPECT_LT(EncodeRecord(record).size(), kLimit);
  EXPECT_TRUE(DecodeRecord(EncodeRecord(record)).is_ok());
}

TEST(TargetsRecordTest, DigestTellsBodiesApart) {
  EXPECT_NE(DigestBody("a"), DigestBody("b"));
  EXPECT_NE(EmptyDigest(), 0);
}

TEST(TargetsRecordTest, MalformedBodiesAreErrors) {
  const std::string body = EncodeRecord(MakeRecord(2));
  ASSERT_TRUE(DecodeRecord(body).is_ok());
  const auto replaced = [&body](const std::string& from,
                                const std::string& to) {
    std::string text = body;
    const auto position = text.find(from);
    EXPECT_NE(position, std::string::npos) << from << " in " << body;
    return text.replace(position, from.size(), to);
  };
  const std::string cases[] = {
      "",
      "[]",
      body.substr(0, body.size() / 2),
      replaced(R"("format":1)", R"("format":2)"),
      replaced(R"("latency_us":100000)", R"("latency_us":"100000")"),
      replaced(R"("latency_us":100000)", R"("latency_us":1)"),
      replaced(R"("class-0")", R"("CLASS")"),
      replaced(R"("name":"class-1")", R"("name":"class-0")"),
      replaced(R"("id":"id-0")", R"("id":"id-1")"),
      replaced(R"("revision":1)", R"("revision":2)"),
      replaced(R"("changes":[)", R"("other":[)")};
  for (const std::string& text : cases) {
    const auto result = DecodeRecord(text);
    ASSERT_FALSE(result.is_ok()) << text;
    EXPECT_EQ(result.error().code, base::ErrorCode::kMalformed);
  }
}

struct FaultCase {
  const char* field;
  void (*spoil)(blackboard::ClassTargets&);
};

TEST(ClassTargetsCheckTest, NamesTheFieldAtFault) {
  blackboard::ClassTargets good;
  good.name = "counter-lookup_2";
  good.collection = "archive";
  EXPECT_FALSE(FindFault(good).has_value());
  using Targets = blackboard::ClassTargets;
  const FaultCase cases[] = {
      {"name", [](Targets& it) { it.name = ""; }},
      {"name", [](Targets& it) { it.name = "-x"; }},
      {"name", [](Targets& it) { it.name = "a/b"; }},
      {"name", [](Targets& it) { it.name = std::string(65, 'a'); }},
      {"collection", [](Targets& it) { it.collection = "A"; }},
      {"latency_ms", [](Targets& it) { it.latency = base::Duration(999); }},
      {"latency_ms",
       [](Targets& it) { it.latency = base::Milliseconds(600001); }},
      {"percentile", [](Targets& it) { it.percentile = 49.9; }},
      {"percentile", [](Targets& it) { it.percentile = 100.0; }},
      {"percentile",
       [](Targets& it) {
         it.percentile = std::numeric_limits<double>::quiet_NaN();
       }},
      {"coverage", [](Targets& it) { it.coverage = 1.01; }},
      {"coverage", [](Targets& it) { it.coverage = -0.01; }},
      {"coverage_percentile",
       [](Targets& it) { it.coverage_percentile = 99.995; }}};
  for (const FaultCase& row : cases) {
    blackboard::ClassTargets targets = good;
    row.spoil(targets);
    const auto fault = FindFault(targets);
    ASSERT_TRUE(fault.has_value()) << row.field;
    EXPECT_EQ(fault->field, row.field);
  }
}

}  // namespace
}  // namespace medlarspread::targets
