// docs/SETTINGS.md contains the rendered key table, and its example is valid.

#include <fstream>
#include <iterator>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "src/settings/key_reference.h"
#include "src/settings/load_settings.h"

namespace medlarspread::settings {
namespace {

std::string ReadPage() {
  std::ifstream page(MEDLARSPREAD_SOURCE_DIR "/docs/SETTINGS.md");
  return {std::istreambuf_iterator<char>(page), {}};
}

TEST(KeyReferenceTest, PageHoldsTheWholeTable) {
  EXPECT_THAT(ReadPage(), testing::HasSubstr(RenderKeyReference()))
      << "docs/SETTINGS.md must contain this:\n"
      << RenderKeyReference();
}

TEST(KeyReferenceTest, ExampleOfThePageIsValid) {
  const std::string page = ReadPage();
  const std::string fence = "```ini\n";
  const auto start = page.find(fence);
  ASSERT_NE(start, std::string::npos);
  const auto end = page.find("```", start + fence.size());
  const auto result = ParseSettings(
      page.substr(start + fence.size(), end - start - fence.size()), "example");
  EXPECT_TRUE(result.is_ok()) << result.error().ToString();
}

}  // namespace
}  // namespace medlarspread::settings
