// Validates, sets and prints the value of one key.

#include "src/settings/key.h"

#include <algorithm>
#include <charconv>
#include <sstream>

#include <boost/asio/ip/address_v4.hpp>

#include "src/base/json_string.h"

namespace medlarspread::settings {

namespace {

using Problem = std::optional<std::string>;

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMinSecretLength = 8;
constexpr std::size_t kMaxSecretLength = 256;
constexpr std::int64_t kMaxPort = 65535;

std::optional<std::int64_t> ParseInteger(std::string_view text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [rest, code] = std::from_chars(text.data(), end, number);
  if (code != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

std::optional<double> ParseDecimal(std::string_view text) {
  double number = 0.0;
  const char* end = text.data() + text.size();
  const auto [rest, code] = std::from_chars(text.data(), end, number);
  if (code != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

bool IsNameCharacter(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '.' ||
         character == '_' || character == '-';
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsSecret(const std::string& text) {
  return text.size() >= kMinSecretLength && text.size() <= kMaxSecretLength &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return character > ' ' && character <= '~';
         });
}

Problem CheckAddress(const std::string& text, bool is_remote) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return "must be ip:port; the port is missing";
  }
  boost::system::error_code code;
  const auto ip = boost::asio::ip::make_address_v4(text.substr(0, colon), code);
  if (code) {
    return "must be ip:port with an IPv4 address, such as 10.0.0.1:8080; host "
           "names are not resolved";
  }
  const auto port = ParseInteger(text.substr(colon + 1));
  const std::int64_t min_port = is_remote ? 1 : 0;
  if (!port || *port < min_port || *port > kMaxPort) {
    return "must have a port from " + std::to_string(min_port) + " to 65535";
  }
  if (is_remote && ip.is_unspecified()) {
    return "must be an address to connect to, not 0.0.0.0";
  }
  return std::nullopt;
}

// Whether `text` is a list of comma-separated name=name pairs; spaces are
// ignored.
bool IsNamePairList(std::string text) {
  std::erase(text, ' ');
  std::size_t at = 0;
  while (at <= text.size()) {
    const auto end = std::min(text.find(',', at), text.size());
    const std::string pair = text.substr(at, end - at);
    const auto equals = pair.find('=');
    if (equals == std::string::npos || !IsName(pair.substr(0, equals)) ||
        !IsName(pair.substr(equals + 1))) {
      return false;
    }
    at = end + 1;
  }
  return true;
}

Problem CheckAddresses(const std::string& text) {
  std::istringstream addresses(text);
  for (std::string address; std::getline(addresses, address, ',');) {
    std::erase(address, ' ');
    if (auto problem = CheckAddress(address, true)) {
      return problem;
    }
  }
  return std::nullopt;
}

Problem CheckText(TextRule rule, const std::string& text) {
  switch (rule) {
    case TextRule::kName:
      if (!IsName(text)) {
        return "must be 1 to 64 letters, digits, '.', '_' or '-'";
      }
      return std::nullopt;
    case TextRule::kListenAddress:
      return CheckAddress(text, false);
    case TextRule::kRemoteAddress:
      return CheckAddress(text, true);
    case TextRule::kSecret:
      if (!IsSecret(text)) {
        return "must be 8 to 256 printable characters without spaces";
      }
      return std::nullopt;
    case TextRule::kPath:
      if (text.empty()) {
        return "must not be empty";
      }
      return std::nullopt;
    case TextRule::kRemoteAddresses:
      return CheckAddresses(text);
    case TextRule::kNamePairs:
      if (!IsNamePairList(text)) {
        return "must be comma-separated name=name pairs";
      }
      return std::nullopt;
  }
  return std::nullopt;
}

std::string JoinNames(const std::vector<std::string>& names) {
  std::string text;
  for (std::size_t i = 0; i < names.size(); ++i) {
    if (i > 0) {
      text += i + 1 == names.size() ? " or " : ", ";
    }
    text += names[i];
  }
  return text;
}

std::string RangeOf(const IntegerValue& value) {
  return std::to_string(value.min) + " to " + std::to_string(value.max);
}

std::string RangeOf(const DecimalValue& value) {
  return base::JsonNumber(value.min) + " to " + base::JsonNumber(value.max);
}

struct Setter {
  const std::string& text;
  DaemonSettings& settings;

  Problem operator()(const TextValue& value) const {
    Problem problem = CheckText(value.rule, text);
    if (!problem) {
      value.member(settings) = text;
    }
    return problem;
  }

  Problem operator()(const IntegerValue& value) const {
    const auto number = ParseInteger(text);
    if (!number || *number < value.min || *number > value.max) {
      return "must be a whole number from " + RangeOf(value);
    }
    value.set(settings, *number);
    return std::nullopt;
  }

  Problem operator()(const DecimalValue& value) const {
    const auto number = ParseDecimal(text);
    if (!number || !(*number >= value.min) || !(*number <= value.max)) {
      return "must be a number from " + RangeOf(value);
    }
    value.set(settings, *number);
    return std::nullopt;
  }

  Problem operator()(const ChoiceValue& value) const {
    if (!value.set(settings, text)) {
      return "must be " + JoinNames(value.names);
    }
    return std::nullopt;
  }
};

struct ValueFormatter {
  const DaemonSettings& settings;

  std::string operator()(const TextValue& value) const {
    DaemonSettings copy = settings;
    const std::string& text = value.member(copy);
    const bool is_hidden = value.rule == TextRule::kSecret && !text.empty();
    return is_hidden ? "(hidden)" : text;
  }
  std::string operator()(const IntegerValue& value) const {
    return std::to_string(value.get(settings));
  }
  std::string operator()(const DecimalValue& value) const {
    return base::JsonNumber(value.get(settings));
  }
  std::string operator()(const ChoiceValue& value) const {
    return value.get(settings);
  }
};

struct RangeDescriber {
  std::string operator()(const TextValue& value) const {
    switch (value.rule) {
      case TextRule::kName:
        return "1 to 64 letters, digits, `.`, `_`, `-`";
      case TextRule::kListenAddress:
        return "ip:port (port 0: any free port)";
      case TextRule::kRemoteAddress:
        return "ip:port";
      case TextRule::kSecret:
        return "8 to 256 printable characters";
      case TextRule::kPath:
        return "a path";
      case TextRule::kNamePairs:
        return "comma-separated name=name pairs";
      case TextRule::kRemoteAddresses:
        return "comma-separated ip:port addresses";
    }
    return "";
  }
  std::string operator()(const IntegerValue& value) const {
    return RangeOf(value);
  }
  std::string operator()(const DecimalValue& value) const {
    return RangeOf(value);
  }
  std::string operator()(const ChoiceValue& value) const {
    return JoinNames(value.names);
  }
};

}  // namespace

std::optional<std::string> SetKey(const Key& key,
                                  const std::string& text,
                                  DaemonSettings& settings) {
  return std::visit(Setter{text, settings}, key.value);
}

std::string FormatKey(const Key& key, const DaemonSettings& settings) {
  return std::visit(ValueFormatter{settings}, key.value);
}

std::string DescribeRange(const Key& key) {
  return std::visit(RangeDescriber{}, key.value);
}

}  // namespace medlarspread::settings
