// The settings template for the platform is valid with all values that the
// platform may fill in.

#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <string>

#include <gtest/gtest.h>

#include "src/settings/load_settings.h"

namespace medlarspread::settings {
namespace {

using Values = std::map<std::string, std::string>;

std::string Render(Values values) {
  std::ifstream file(MEDLARSPREAD_SOURCE_DIR "/deploy/daemon.ini.template");
  std::string text{std::istreambuf_iterator<char>(file), {}};
  text = std::regex_replace(text, std::regex("\\{\\{#zones.*/zones\\}\\}"),
                            "hall-1=north, hall-2=south");
  for (const auto& [name, value] : values) {
    const std::string field = "{{" + name + "}}";
    for (auto at = text.find(field); at != std::string::npos;
         at = text.find(field)) {
      text.replace(at, field.size(), value);
    }
  }
  return text;
}

Values MakeValues() {
  return {{"node", "vm-1"},
          {"region", "north"},
          {"zone", "hall-1"},
          {"limits.cpu_share", "0.25"},
          {"listen.front", "10.1.0.39:8226"},
          {"listen.ready", "10.1.0.39:8227"},
          {"listen.control", "10.1.0.39:8224"},
          {"ip", "10.1.0.39"},
          {"port_range.0", "7740"},
          {"seeds", "10.1.0.39:8224, 10.2.0.33:8224"},
          {"platform.addr", "10.9.0.1:80"},
          {"bounds.grace_s", "6"},
          {"bounds.retry_ratio", "0.2"},
          {"bounds.retry_slack", "58"},
          {"bounds.retry_window_s", "10"}};
}

TEST(TemplateTest, IsCompleteAndValid) {
  const std::string text = Render(MakeValues());
  EXPECT_EQ(text.find("{{"), std::string::npos) << text;
  const auto settings = ParseSettings(text, "template");
  ASSERT_TRUE(settings.is_ok()) << settings.error().ToString();
  EXPECT_EQ(settings.value().stop.bound, base::Milliseconds(6'000));
  EXPECT_EQ(settings.value().extra_sends.slack, 58.0);
}

// A daemon that rejected one of these values would not start.
TEST(TemplateTest, EveryNumberMayHaveAFraction) {
  Values values = MakeValues();
  values["limits.cpu_share"] = "0.125";
  values["bounds.grace_s"] = "6.25";
  values["bounds.retry_ratio"] = "0.15";
  values["bounds.retry_slack"] = "57.6";
  values["bounds.retry_window_s"] = "9.5";
  const auto settings = ParseSettings(Render(values), "template");
  ASSERT_TRUE(settings.is_ok()) << settings.error().ToString();
  EXPECT_EQ(settings.value().stop.bound, base::Milliseconds(6'250));
  EXPECT_EQ(settings.value().extra_sends.slack, 57.6);
  EXPECT_EQ(settings.value().extra_sends.window, base::Milliseconds(9'500));
}

TEST(TemplateTest, WholeNumbersMayHaveADecimalPoint) {
  Values values = MakeValues();
  for (const char* name :
       {"bounds.grace_s", "bounds.retry_slack", "bounds.retry_window_s"}) {
    values[name] += ".0";
  }
  const auto settings = ParseSettings(Render(values), "template");
  EXPECT_TRUE(settings.is_ok()) << settings.error().ToString();
}

}  // namespace
}  // namespace medlarspread::settings
