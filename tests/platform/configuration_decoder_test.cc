// Configurations and entries of leaves, well-formed and not.

#include "src/platform/configuration_decoder.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace medlarspread::platform {
namespace {

constexpr const char* kWhole = R"({"version":7,"routes":[
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
  const auto view = DecodeConfiguration(kWhole);
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
  // Without a latency target the timeout is one.
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
  std::string text = kWhole;
  const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
  text[at] = *rc::gen::arbitrary<char>();
  (void)DecodeConfiguration(text);
  (void)DecodeLeaf("id", text, {});
}

TEST(LeafDecoderTest, DecodesAnEntry) {
  const auto leaf = DecodeLeaf(
      "i-1",
      R"({"service":"x","addr":"10.0.0.1:80","zone":"z","version":"v1",)"
      R"("slots":2,"state":"ready","warmup_left_ms":0,"seq":4})",
      {5});
  ASSERT_TRUE(leaf.is_ok());
  EXPECT_EQ(leaf.value().name, "i-1");
  EXPECT_EQ(leaf.value().collection, "x");
  EXPECT_EQ(leaf.value().failure_domain, "z");
  EXPECT_EQ(leaf.value().state, blackboard::UpstreamState::kServing);
}

TEST(LeafDecoderTest, DrainingGoesBeforeCold) {
  const auto draining =
      DecodeLeaf("i",
                 R"({"service":"x","addr":"a","zone":"z","state":"draining",)"
                 R"("warmup_left_ms":900})",
                 {});
  EXPECT_EQ(draining.value().state, blackboard::UpstreamState::kDraining);
  const auto cold =
      DecodeLeaf("i",
                 R"({"service":"x","addr":"a","zone":"z","state":"ready",)"
                 R"("warmup_left_ms":900})",
                 {5});
  EXPECT_EQ(cold.value().state, blackboard::UpstreamState::kCold);
}

TEST(LeafDecoderTest, AMissingFieldMakesItMalformed) {
  EXPECT_FALSE(DecodeLeaf("i", R"({"service":"x"})", {}).is_ok());
}

}  // namespace
}  // namespace medlarspread::platform
