// Parsing arbitrary bytes never throws, and never succeeds without the required
// keys. RapidCheck prints the seed of a failure.

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "src/settings/load_settings.h"

namespace medlarspread::settings {
namespace {

TEST(SettingsPropertyTest, RandomTextIsRefusedWithAReason) {
  EXPECT_TRUE(rc::check([](const std::string& bytes) {
    const auto result = ParseSettings("[vm]\nname = vm-1\n" + bytes, "random");
    RC_ASSERT(!result.is_ok());
    RC_ASSERT(!result.error().detail.empty());
  }));
}

}  // namespace
}  // namespace medlarspread::settings
