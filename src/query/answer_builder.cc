// Merges items and computes coverage exactly.

#include "src/query/answer_builder.h"

#include <utility>

namespace medlarspread::query {

namespace {

using blackboard::KeyRange;
using blackboard::kKeySpace;

// The members of a JSON array given as text, without the brackets.
std::string_view MembersOf(std::string_view array) {
  const auto open = array.find('[');
  const auto close = array.rfind(']');
  if (open == std::string_view::npos || close == std::string_view::npos ||
      close <= open) {
    return {};
  }
  std::string_view members = array.substr(open + 1, close - open - 1);
  const bool is_blank =
      members.find_first_not_of(" \t\r\n") == std::string_view::npos;
  return is_blank ? std::string_view() : members;
}

}  // namespace

AnswerBuilder::AnswerBuilder(blackboard::Snapshot snapshot, int shards_total)
    : snapshot_(snapshot), shards_total_(shards_total) {}

bool AnswerBuilder::Add(const KeyRange& range, std::string items) {
  const auto next = parts_.lower_bound(range);
  if (next != parts_.end() && next->first.low < range.high) {
    return false;
  }
  if (next != parts_.begin() && std::prev(next)->first.high > range.low) {
    return false;
  }
  parts_.emplace_hint(next, range, std::move(items));
  return true;
}

Coverage AnswerBuilder::MakeCoverage() const {
  Coverage coverage;
  coverage.shards_answered = shards_answered();
  coverage.shards_total = shards_total_;
  // Summed as integers, so that a complete answer is exactly 1.
  std::int32_t covered = 0;
  std::int32_t position = 0;
  for (const auto& [range, items] : parts_) {
    if (position < range.low) {
      coverage.missing.push_back({position, range.low});
    }
    covered += range.width();
    position = range.high;
  }
  if (position < kKeySpace) {
    coverage.missing.push_back({position, kKeySpace});
  }
  coverage.share = static_cast<double>(covered) / kKeySpace;
  coverage.is_partial = covered != kKeySpace;
  return coverage;
}

std::string AnswerBuilder::MakeItems() const {
  std::string merged = "[";
  for (const auto& [range, items] : parts_) {
    const std::string_view members = MembersOf(items);
    if (members.empty()) {
      continue;
    }
    if (merged.size() > 1) {
      merged += ',';
    }
    merged += members;
  }
  return merged + "]";
}

}  // namespace medlarspread::query
