// Tests the decoding of valid and invalid configurations and leaf entries.

#include "src/platform/configuration_decoder.h"

#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace medlarspread::platform {
namespace {

constexpr const char* kValidConfiguration = R"({"version":7,"routes":[
 {"name":"g","host":"h.example","prefix":"/a/","kind":"idempotent",
  "timeout_ms":800,"slo_ms":80,"priority":2,"gather":["s1","s2"],
  "attempts":2,"top_k":5,"min_coverage":0.75},
 {"name":"s","host":"h.example","prefix":"/b/","kind":"non_idempotent",
  "timeout_ms":3000,"slo_ms":300,"priority":1,"attempts":1,
  "split":[{"service":"x","weight":3},{"service":"y","weight":0.5}]},
 {"name":"o","host":"h.example","prefix":"/c/","kind":"idempotent",
  "timeout_ms":3000,"service":"x","attempts":2}],
 "services":[{"name":"x","health_path":"/health","max_conns":26}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":262144,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

TEST(ConfigurationDecoderTest, DecodesEveryKindOfRoute) {
  const auto view = DecodeConfiguration(kValidConfiguration);
  ASSERT_TRUE(view.is_ok()) << view.error().ToString();
  EXPECT_EQ(view.value().revision, 7);
  ASSERT_EQ(view.value().routes.size(), 3U);
  const auto& gather = *view.value().routes[0];
  EXPECT_EQ(gather.targets.latency, base::Milliseconds(80));
  EXPECT_DOUBLE_EQ(gather.targets.coverage, 0.75);
  EXPECT_EQ(std::get<blackboard::AllShards>(gather.destination).most_records,
            5U);
  EXPECT_TRUE(gather.is_idempotent);
  const auto& split = *view.value().routes[1];
  EXPECT_FALSE(split.is_idempotent);
  EXPECT_EQ(std::get<blackboard::WeightedCollections>(split.destination)
                .parts[1]
                .weight,
            0.5);
  // Without a latency target the timeout is used.
  EXPECT_EQ(view.value().routes[2]->targets.latency, base::Milliseconds(3'000));
  EXPECT_EQ(view.value().connections.at("x"), 26);
  EXPECT_EQ(view.value().limits.body_bytes, 262144U);
}

TEST(ConfigurationDecoderTest, AnyPartThatIsMissingMakesItMalformed) {
  for (const char* text :
       {"", "[]", "{", R"({"version":7})", R"({"routes":[]})",
        R"({"version":0,"routes":[]})",
        R"({"version":7,"routes":[{"name":"a"}]})",
        R"({"version":7,"routes":[{"name":"a","host":"h","prefix":"/",)"
        R"("timeout_ms":5,"gather":[],"top_k":1}]})",
        R"({"version":7,"routes":[{"name":"a","host":"h","prefix":"/",)"
        R"("timeout_ms":5,"split":[{"service":"x"}]}]})"}) {
    const auto view = DecodeConfiguration(text);
    ASSERT_FALSE(view.is_ok()) << text;
    EXPECT_EQ(view.error().code, base::ErrorCode::kMalformed);
  }
}

RC_GTEST_PROP(ConfigurationDecoderProperty, NeverThrows, ()) {
  std::string text = kValidConfiguration;
  const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
  text[at] = *rc::gen::arbitrary<char>();
  (void)DecodeConfiguration(text);
  (void)DecodeLeaf("id", text, {});
}

// A valid entry in which `field` has the value `text`, or is missing if `text`
// is empty.
std::string MakeEntry(const std::string& field = "",
                      const std::string& text = "") {
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"service", "\"x\""},     {"addr", "\"10.0.0.1:80\""},
      {"zone", "\"z\""},        {"version", "\"v1\""},
      {"slots", "2"},           {"state", "\"ready\""},
      {"warmup_left_ms", "0"},  {"seq", "4"},
      {"born", "1796251705697"}};
  std::string entry;
  for (const auto& [name, value] : fields) {
    const std::string& shown = name == field ? text : value;
    if (!shown.empty()) {
      entry += entry.empty() ? "{\"" : ",\"";
      entry += name;
      entry += "\":";
      entry += shown;
    }
  }
  return entry + "}";
}

TEST(LeafDecoderTest, DecodesAnEntry) {
  const auto entry = DecodeLeaf("i-1", MakeEntry("born"), {5});
  ASSERT_TRUE(entry.is_ok()) << entry.error().ToString();
  EXPECT_EQ(entry.value().sequence, 4);
  EXPECT_EQ(entry.value().started_wall_ms, 0);
  const blackboard::Upstream& leaf = entry.value().upstream;
  EXPECT_EQ(leaf.id, "i-1");
  EXPECT_EQ(leaf.name, "i-1");
  EXPECT_EQ(leaf.collection, "x");
  EXPECT_EQ(leaf.failure_domain, "z");
  EXPECT_EQ(leaf.slots, 2);
  EXPECT_EQ(leaf.state, blackboard::UpstreamState::kServing);
}

TEST(LeafDecoderTest, TheStartOfALeafIsPartOfItsName) {
  const auto entry = DecodeLeaf("i-1", MakeEntry(), {});
  ASSERT_TRUE(entry.is_ok());
  EXPECT_EQ(entry.value().started_wall_ms, 1796251705697);
  EXPECT_EQ(entry.value().upstream.id, "i-1");
  EXPECT_EQ(entry.value().upstream.name, "i-1@1796251705697");
}

TEST(LeafDecoderTest, DrainingGoesBeforeCold) {
  std::string entry = MakeEntry("warmup_left_ms", "900");
  const auto cold = DecodeLeaf("i", entry, {5});
  EXPECT_EQ(cold.value().upstream.state, blackboard::UpstreamState::kCold);
  entry.replace(entry.find("ready"), 5, "draining");
  const auto draining = DecodeLeaf("i", entry, {});
  EXPECT_EQ(draining.value().upstream.state,
            blackboard::UpstreamState::kDraining);
}

TEST(LeafDecoderTest, EveryFieldButTheStartMustBeThere) {
  for (const char* field : {"service", "addr", "zone", "version", "slots",
                            "state", "warmup_left_ms", "seq"}) {
    const auto entry = DecodeLeaf("i", MakeEntry(field), {});
    ASSERT_FALSE(entry.is_ok()) << field;
    EXPECT_EQ(entry.error().code, base::ErrorCode::kMalformed);
  }
}

TEST(LeafDecoderTest, FieldsOfAnotherTypeOrRangeMakeItMalformed) {
  const std::vector<std::pair<std::string, std::string>> invalid = {
      {"service", "7"},         {"service", "\"\""},
      {"addr", "\"nowhere\""},  {"addr", "{}"},
      {"zone", "null"},         {"version", "[]"},
      {"slots", "\"2\""},       {"slots", "2.5"},
      {"slots", "0"},           {"slots", "99999999999"},
      {"state", "\"resting\""}, {"state", "true"},
      {"warmup_left_ms", "-1"}, {"warmup_left_ms", "\"0\""},
      {"seq", "\"4\""},         {"seq", "4.5"},
      {"born", "1.5"},          {"born", "\"1796251705697\""},
      {"born", "-3"},           {"born", "null"}};
  for (const auto& [field, text] : invalid) {
    EXPECT_FALSE(DecodeLeaf("i", MakeEntry(field, text), {}).is_ok())
        << field << ": " << text;
  }
}

TEST(LeafDecoderTest, BytesThatAreNoEntryAreMalformed) {
  std::string deep;
  constexpr int kDepth = 100'000;
  for (int level = 0; level < kDepth; ++level) {
    deep += "{\"a\":";
  }
  const std::string bytes("\x00\xff\xfe{}", 5);
  for (const std::string& text :
       {std::string(), std::string("{"), std::string("[]"),
        std::string("\"\\ud800\""), bytes, deep}) {
    EXPECT_FALSE(DecodeLeaf("i", text, {}).is_ok());
  }
}

RC_GTEST_PROP(LeafDecoderProperty, NeverThrows, ()) {
  std::string text = MakeEntry();
  const auto changes = *rc::gen::inRange(1, 6);
  for (int change = 0; change < changes; ++change) {
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text[at] = *rc::gen::arbitrary<char>();
  }
  (void)DecodeLeaf("id", text, {});
  (void)DecodeConfiguration(text);
}

}  // namespace
}  // namespace medlarspread::platform
