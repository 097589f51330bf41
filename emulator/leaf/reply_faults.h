// Fault injection for replies: selects a fault per reply and applies it to the
// body.

#ifndef MEDLARSPREAD_EMULATOR_LEAF_REPLY_FAULTS_H_
#define MEDLARSPREAD_EMULATOR_LEAF_REPLY_FAULTS_H_

#include <array>
#include <cstddef>
#include <string>

#include "emulator/leaf/query_message.h"
#include "src/base/name_table.h"

namespace medlarspread::emulator {

enum class ReplyFault {
  // A 200 without a body.
  kEmpty,
  // Fewer items than `count` says.
  kTruncated,
  // The answer for another range.
  kWrongRange,
  // The answer from another index version.
  kWrongVersion,
  // The answer to another attempt, an earlier one if there was one.
  kCrossed,
  // The body holds the answer twice.
  kDuplicated,
  // The whole answer, but only after `late`.
  kLate,
  // No reply until the faults are set again.
  kLost,
  // No fault.
  kNone,
};

constexpr std::size_t kReplyFaultCount = 8;
constexpr base::NameTable<ReplyFault, kReplyFaultCount> kReplyFaults{
    {{{ReplyFault::kEmpty, "empty"},
      {ReplyFault::kTruncated, "truncated"},
      {ReplyFault::kWrongRange, "wrong_range"},
      {ReplyFault::kWrongVersion, "wrong_version"},
      {ReplyFault::kCrossed, "crossed"},
      {ReplyFault::kDuplicated, "duplicated"},
      {ReplyFault::kLate, "late"},
      {ReplyFault::kLost, "lost"}}}};

// The fraction of replies that each fault applies to, in the order of
// kReplyFaults.
class ReplyFaultShares {
 public:
  void set_share(ReplyFault fault, double share) {
    shares_[static_cast<std::size_t>(fault)] = share;
  }
  // Selects the fault for one reply; `unit` is uniform in [0, 1).
  ReplyFault Choose(double unit) const;

 private:
  std::array<double, kReplyFaultCount> shares_{};
};

// Makes the body of a 200 response with `fault`. `previous` is the body of an
// earlier answer, or empty.
std::string FaultyBody(ReplyFault fault,
                       LeafAnswer answer,
                       const std::string& previous);

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LEAF_REPLY_FAULTS_H_
