// Which settings files are valid, and that every problem is reported with its
// line.

#include <cstdio>
#include <filesystem>
#include <fstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "src/settings/key_reference.h"
#include "src/settings/key_table.h"
#include "src/settings/load_settings.h"

namespace medlarspread::settings {
namespace {

using testing::HasSubstr;

constexpr const char* kMinimal = R"([vm]
name = vm-1
region = south
failure_domain = south-a
[callers]
address = 127.0.0.1:0
[operators]
address = 127.0.0.1:9001
token = secret-token
[peers]
address = 10.0.0.1:9002
[platform]
address = 10.0.0.9:7000
)";

// The problems of kMinimal followed by `more`, which starts on line 14.
std::string ProblemsWith(const std::string& more) {
  const auto result = ParseSettings(kMinimal + more, "test.ini");
  return result.is_ok() ? "" : result.error().detail;
}

TEST(LoadSettingsTest, MinimalFileTakesDefaults) {
  const auto result = ParseSettings(kMinimal, "test.ini");
  ASSERT_TRUE(result.is_ok()) << result.error().ToString();
  const DaemonSettings& settings = result.value();
  EXPECT_EQ(settings.vm.failure_domain, "south-a");
  EXPECT_EQ(settings.platform.address, "10.0.0.9:7000");
  EXPECT_EQ(settings.stop.bound, DaemonSettings{}.stop.bound);
}

TEST(LoadSettingsTest, EveryKeyReachesItsMember) {
  const auto result =
      ParseSettings(std::string(kMinimal) +
                        "[callers]\nmax_body_bytes = 2048\nmax_requests=7\n"
                        "body_timeout_ms = 20\n[log]\nlevel = debug\n"
                        "format = text\n[claims]\n"
                        "  group_ms = 0 ; a comment\n[burn]\nflush_s = 2\n",
                    "test.ini");
  ASSERT_TRUE(result.is_ok()) << result.error().ToString();
  const DaemonSettings& settings = result.value();
  EXPECT_EQ(settings.callers.max_body_bytes, 2048U);
  EXPECT_EQ(settings.callers.max_requests, 7);
  EXPECT_EQ(settings.callers.body_timeout, base::Milliseconds(20));
  EXPECT_EQ(settings.log.level, base::LogLevel::kDebug);
  EXPECT_EQ(settings.log.format, base::LogFormat::kText);
  EXPECT_EQ(settings.claims.group, base::Milliseconds(0));
  EXPECT_EQ(settings.burn.flush, base::Milliseconds(2000));
}

TEST(LoadSettingsTest, DefaultsAndLimitsAreValid) {
  for (const Key& key : Keys()) {
    if (const auto* value = std::get_if<IntegerValue>(&key.value)) {
      DaemonSettings settings;
      const std::string shown = FormatKey(key, settings);
      EXPECT_EQ(SetKey(key, shown, settings), std::nullopt) << key.name;
      for (const std::int64_t limit : {value->min, value->max}) {
        EXPECT_EQ(SetKey(key, std::to_string(limit), settings), std::nullopt);
        EXPECT_EQ(value->get(settings), limit) << key.name;
      }
      EXPECT_NE(SetKey(key, std::to_string(value->min - 1), settings),
                std::nullopt);
      EXPECT_NE(SetKey(key, std::to_string(value->max + 1), settings),
                std::nullopt);
    }
  }
}

TEST(LoadSettingsTest, RefusesUnknownNamesAndSuggests) {
  EXPECT_EQ(ProblemsWith("[callers]\nmax_bodybytes = 2048\n"),
            "test.ini:15: unknown key max_bodybytes in [callers]; did you mean "
            "max_body_bytes?");
  EXPECT_EQ(ProblemsWith("[trafic]\nthreads = 2\n"),
            "test.ini:15: unknown section [trafic]; did you mean traffic?");
  EXPECT_EQ(ProblemsWith("[traffic]\nheartbeat_ms = 100\n"),
            "test.ini:15: unknown key heartbeat_ms in [traffic]; it belongs to "
            "[membership]");
}

TEST(LoadSettingsTest, RefusesBadValues) {
  EXPECT_EQ(ProblemsWith("[traffic]\nthreads = 0\n"),
            "test.ini:15: [traffic] threads must be a whole number from 1 to "
            "64");
  for (const char* number :
       {"", "four", "4x", "+4", "4.0", "0x4", "99999999999999999999999999"}) {
    EXPECT_THAT(ProblemsWith(std::string("[traffic]\nthreads = ") + number),
                HasSubstr("must be a whole number"))
        << number;
  }
  EXPECT_EQ(ProblemsWith("[log]\nlevel = loud\n"),
            "test.ini:15: [log] level must be debug, info, warning or error");
  EXPECT_THAT(ProblemsWith("[membership]\nheartbeat_ms = 2000\n"),
              HasSubstr("at least three times"));
}

TEST(LoadSettingsTest, RefusesBadAddresses) {
  const Key& listen = *FindKey("callers", "address");
  const Key& remote = *FindKey("platform", "address");
  DaemonSettings settings;
  for (const char* text : {"", "10.0.0.1", "localhost:80", "10.0.0.1:",
                           "10.0.0.1:65536", "10.0.0.1:-1", "[::1]:80"}) {
    EXPECT_NE(SetKey(listen, text, settings), std::nullopt) << text;
  }
  EXPECT_EQ(SetKey(listen, "0.0.0.0:0", settings), std::nullopt);
  EXPECT_NE(SetKey(remote, "0.0.0.0:80", settings), std::nullopt);
  EXPECT_NE(SetKey(remote, "10.0.0.1:0", settings), std::nullopt);
}

TEST(LoadSettingsTest, RefusesDuplicates) {
  EXPECT_EQ(ProblemsWith("[vm]\nname = vm-2\n"),
            "test.ini:15: [vm] name is already set on line 2");
}

TEST(LoadSettingsTest, RefusesTextThatIsNotIni) {
  EXPECT_EQ(ProblemsWith("[traffic]\nthreads\n"),
            "test.ini:15: not a [section], key = value or comment line");
  EXPECT_THAT(ProblemsWith("[log]\nlevel = " + std::string(5000, 'x') + "\n"),
              HasSubstr("test.ini:15: longer than"));
  EXPECT_THAT(ProblemsWith(std::string("\0", 1)), HasSubstr("zero byte"));
  EXPECT_THAT(ParseSettings("name = x\n", "test.ini").error().detail,
              HasSubstr("test.ini:1: key name is before the first [section]"));
}

TEST(LoadSettingsTest, ReportsEveryProblemAtOnce) {
  const auto result = ParseSettings("[vm]\nname = a b\nnmae = x\n", "test.ini");
  ASSERT_FALSE(result.is_ok());
  EXPECT_EQ(result.error().code, base::ErrorCode::kInvalidArgument);
  EXPECT_EQ(result.error().step, base::Step::kSettings);
  for (const char* problem :
       {"test.ini:2: [vm] name must be", "test.ini:3: unknown key nmae",
        "test.ini: [vm] region is required",
        "test.ini: [platform] address is required",
        "exactly one of token and token_file"}) {
    EXPECT_THAT(result.error().detail, HasSubstr(problem));
  }
}

TEST(LoadSettingsTest, RefusesAddressesThatCannotWork) {
  std::string text = kMinimal;
  text.replace(text.find("10.0.0.1:9002"), 13, "127.0.0.1:9001");
  EXPECT_THAT(ParseSettings(text, "test.ini").error().detail,
              HasSubstr("must have different addresses"));
  text.replace(text.find("127.0.0.1:9001\n[pl"), 14, "0.0.0.0:9002");
  EXPECT_THAT(ParseSettings(text, "test.ini").error().detail,
              HasSubstr("[peers] address must not be 0.0.0.0"));
}

class TokenFileTest : public testing::Test {
 protected:
  TokenFileTest() {
    std::string pattern = testing::TempDir() + "settingsXXXXXX";
    folder_ = mkdtemp(pattern.data());
    std::string text = kMinimal;
    text.replace(text.find("token = secret-token"), 20, "token_file = token");
    std::ofstream(folder_ / "daemon.ini") << text;
  }
  ~TokenFileTest() override { std::filesystem::remove_all(folder_); }

  std::filesystem::path folder_;
};

TEST_F(TokenFileTest, IsReadNextToTheSettings) {
  std::ofstream(folder_ / "token") << "from-the-file\n";
  const auto result = LoadSettings((folder_ / "daemon.ini").string());
  ASSERT_TRUE(result.is_ok()) << result.error().ToString();
  EXPECT_EQ(result.value().operators.token, "from-the-file");
  EXPECT_THAT(RenderSettings(result.value()),
              testing::Not(HasSubstr("from-the-file")));
}

TEST_F(TokenFileTest, MustExistAndHoldAToken) {
  const std::string path = (folder_ / "daemon.ini").string();
  EXPECT_EQ(LoadSettings(path).error().code, base::ErrorCode::kNotFound);
  std::ofstream(folder_ / "token") << "\n";
  EXPECT_THAT(LoadSettings(path).error().detail,
              HasSubstr("token:1: the token must be"));
  EXPECT_EQ(LoadSettings(folder_.string()).error().code,
            base::ErrorCode::kNotFound);
}

}  // namespace
}  // namespace medlarspread::settings
