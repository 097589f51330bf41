// Selects and applies reply faults.

#include "emulator/leaf/reply_faults.h"

#include <utility>

namespace medlarspread::emulator {

namespace {

// Returns a range of the same width, adjacent to the given one if possible.
blackboard::KeyRange NeighbourOf(blackboard::KeyRange range) {
  const std::int32_t width = range.width();
  if (range.high + width <= blackboard::kKeySpace) {
    return {range.high, range.high + width};
  }
  return {range.low >= width ? range.low - width : 0, range.low + 1};
}

}  // namespace

ReplyFault ReplyFaultShares::Choose(double unit) const {
  for (std::size_t index = 0; index < kReplyFaultCount; ++index) {
    if (unit < shares_[index]) {
      return static_cast<ReplyFault>(index);
    }
    unit -= shares_[index];
  }
  return ReplyFault::kNone;
}

std::string FaultyBody(ReplyFault fault,
                       LeafAnswer answer,
                       const std::string& previous) {
  switch (fault) {
    case ReplyFault::kEmpty:
      return "";
    case ReplyFault::kTruncated:
      answer.items = answer.count - 1;
      break;
    case ReplyFault::kWrongRange:
      answer.query.range = NeighbourOf(answer.query.range);
      break;
    case ReplyFault::kWrongVersion:
      ++answer.query.snapshot.index_version;
      break;
    case ReplyFault::kCrossed:
      if (!previous.empty()) {
        return previous;
      }
      answer.query.attempt_id += "-other";
      break;
    case ReplyFault::kDuplicated:
      return AnswerBody(answer) + AnswerBody(answer);
    case ReplyFault::kLate:
    case ReplyFault::kLost:
    case ReplyFault::kNone:
      break;
  }
  return AnswerBody(answer);
}

}  // namespace medlarspread::emulator
