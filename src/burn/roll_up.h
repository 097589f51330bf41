// What rolling up does to segments. Pure: roll_up_runner.h makes the calls.
//
// Every VM may roll up at any time. Which one does is computed from the list of
// members, to save calls; that two do it at once costs one of them a refused
// swap and counts nothing twice, because a roll-up is swapped in whole together
// with the list of its sources.

#ifndef MEDLARSPREAD_BURN_ROLL_UP_H_
#define MEDLARSPREAD_BURN_ROLL_UP_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/blackboard/views.h"
#include "src/burn/burn_settings.h"
#include "src/burn/segment.h"
#include "src/store/store.h"

namespace medlarspread::burn {

// Hours are rolled up into their day once they are this old. Longer than the
// longest trailing window, which needs minutes.
constexpr std::int64_t kHoursKept = 8;
// Days are kept for the quarter in progress and the one before it.
constexpr std::int64_t kDaysKept = 190;

// A segment as it is in the store.
struct StoredSegment {
  std::string key;
  std::int64_t version = 0;
  Segment segment;
};

// The entries that can be decoded; the keys of the others go to `damaged`.
std::vector<StoredSegment> DecodeEntries(
    const std::vector<store::Entry>& entries,
    std::vector<std::string>& damaged);

// Whether this VM is to do the work called `subject`: the live member with the
// highest hash does (rendezvous hashing).
bool IsHolder(const blackboard::MembershipView& view,
              const std::string& subject);

// The members that are there, live or leaving.
std::set<VmIncarnation> MembersOf(const blackboard::MembershipView& view);

struct SealInput {
  std::vector<StoredSegment> raws;
  std::map<VmIncarnation, std::int64_t> gone_wall_ms;
  std::set<VmIncarnation> members;
  std::int64_t now_wall_ms = 0;
};

// Closes the oldest open segment of each incarnation that is gone for long
// enough. The last one also gets the gap after the incarnation's last counts.
std::vector<StoredSegment> SealGone(const SealInput& input,
                                    const BurnSettings& settings);

// Adds a closed segment to the roll-up of its hour or day. For a day, cells are
// merged by hour.
void Fold(const StoredSegment& source, bool is_day, Segment& roll_up);

// Whether `roll_up` contains the segment of `key`.
bool Contains(const Segment& roll_up, const std::string& key);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_ROLL_UP_H_
