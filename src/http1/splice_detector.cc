// Searches for the beginnings of response heads.

#include "src/http1/splice_detector.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace medlarspread::http1 {

namespace {

// A digit stands where the pattern has a `d`.
constexpr std::string_view kStatusLinePattern = "HTTP/1.d ddd";
constexpr std::size_t kVersionBytes = std::string_view("HTTP/1.d").size();
// Longer reasons and field names are not taken for those of a head.
constexpr std::size_t kMaxReasonBytes = 64;
constexpr std::size_t kMaxFieldNameBytes = 128;
// No more bytes than these are needed to decide on a head.
constexpr std::size_t kMaxHeadBytes =
    kStatusLinePattern.size() + kMaxReasonBytes + kMaxFieldNameBytes + 8;

enum class HeadMatch { kNone, kPartial, kWhole };

bool IsTokenCharacter(char character) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
         kSymbols.find(character) != std::string_view::npos;
}

bool IsReasonCharacter(char character) {
  constexpr unsigned char kFirstPrintable = 0x20;
  return character == '\t' ||
         static_cast<unsigned char>(character) >= kFirstPrintable;
}

// The text up to its first character that is not accepted.
template <typename IsAccepted>
std::string_view SpanOf(std::string_view text, IsAccepted is_accepted) {
  const auto end = std::find_if_not(text.begin(), text.end(), is_accepted);
  return text.substr(0, static_cast<std::size_t>(end - text.begin()));
}

// kWhole stands for a text that begins with `expected`.
HeadMatch MatchText(std::string_view text, std::string_view expected) {
  if (text.starts_with(expected)) {
    return HeadMatch::kWhole;
  }
  return expected.starts_with(text) ? HeadMatch::kPartial : HeadMatch::kNone;
}

// How many characters the text has in common with the begin of a status line.
std::size_t CommonWithStatusLine(std::string_view text) {
  const auto [end, ignored] = std::mismatch(
      text.begin(), text.end(), kStatusLinePattern.begin(),
      kStatusLinePattern.end(), [](char found, char expected) {
        return expected == 'd'
                   ? std::isdigit(static_cast<unsigned char>(found)) != 0
                   : found == expected;
      });
  return static_cast<std::size_t>(end - text.begin());
}

HeadMatch MatchStatusLinePattern(std::string_view text) {
  const std::size_t common = CommonWithStatusLine(text);
  if (common == kStatusLinePattern.size()) {
    return HeadMatch::kWhole;
  }
  return common == text.size() ? HeadMatch::kPartial : HeadMatch::kNone;
}

// What follows the first line of a head: a field's name, or an empty line.
HeadMatch MatchSecondLine(std::string_view text) {
  if (text.starts_with('\r')) {
    return MatchText(text, "\r\n");
  }
  const std::string_view name = SpanOf(text, IsTokenCharacter);
  if (name.size() > kMaxFieldNameBytes) {
    return HeadMatch::kNone;
  }
  if (name.size() == text.size()) {
    return HeadMatch::kPartial;
  }
  return !name.empty() && text[name.size()] == ':' ? HeadMatch::kWhole
                                                   : HeadMatch::kNone;
}

// Whether the text begins with a head, or may do so once more bytes follow.
HeadMatch MatchHead(std::string_view text) {
  if (const auto match = MatchStatusLinePattern(text);
      match != HeadMatch::kWhole) {
    return match;
  }
  text.remove_prefix(kStatusLinePattern.size());
  const std::string_view reason = SpanOf(text, IsReasonCharacter);
  if (reason.size() > kMaxReasonBytes ||
      (!reason.empty() && reason.front() != ' ')) {
    return HeadMatch::kNone;
  }
  text.remove_prefix(reason.size());
  constexpr std::string_view kLineEnd = "\r\n";
  if (const auto match = MatchText(text, kLineEnd);
      match != HeadMatch::kWhole) {
    return match;
  }
  return MatchSecondLine(text.substr(kLineEnd.size()));
}

struct Finding {
  HeadMatch match = HeadMatch::kNone;
  std::size_t offset = 0;
};

// The first head in the text that begins before `limit`.
Finding FindHead(std::string_view text, std::size_t limit) {
  constexpr char kFirst = kStatusLinePattern.front();
  for (std::size_t at = text.find(kFirst); at < limit;
       at = text.find(kFirst, at + 1)) {
    const HeadMatch match = MatchHead(text.substr(at));
    if (match != HeadMatch::kNone) {
      return {match, at};
    }
  }
  return {};
}

}  // namespace

void SpliceDetector::Start() {
  *this = {};
}

void SpliceDetector::Add(std::string_view bytes) {
  if (is_spliced_ || bytes.empty()) {
    return;
  }
  if (std::exchange(size_, size_ + bytes.size()) == 0) {
    // The response's own head begins with the first byte.
    bytes.remove_prefix(1);
  }
  std::string joined = std::exchange(candidate_, {});
  std::string_view text = bytes;
  if (!joined.empty()) {
    text = joined.append(bytes);
  }
  const Finding found = FindHead(text, text.size());
  if (found.match == HeadMatch::kWhole) {
    is_spliced_ = true;
    splice_offset_ = size_ - (text.size() - found.offset);
  } else if (found.match == HeadMatch::kPartial) {
    candidate_ = text.substr(found.offset);
  }
}

SpliceVerdict SpliceDetector::VerdictWith(std::string_view bytes_behind) const {
  if (is_spliced_) {
    return SpliceVerdict::kSpliced;
  }
  const std::string text =
      candidate_ + std::string(bytes_behind.substr(0, kMaxHeadBytes));
  // The response after a sound one begins right behind it.
  const bool has_version_across_end =
      !candidate_.empty() && !bytes_behind.empty() &&
      CommonWithStatusLine(text) >= kVersionBytes;
  if (has_version_across_end) {
    return SpliceVerdict::kSpliced;
  }
  const Finding found = FindHead(text, candidate_.size());
  switch (found.match) {
    case HeadMatch::kNone:
      return SpliceVerdict::kWhole;
    case HeadMatch::kWhole:
      return SpliceVerdict::kSpliced;
    case HeadMatch::kPartial:
      break;
  }
  const bool has_line_end = text.find('\r', found.offset) != std::string::npos;
  return has_line_end ? SpliceVerdict::kLikelySpliced
                      : SpliceVerdict::kLikelyWhole;
}

}  // namespace medlarspread::http1
