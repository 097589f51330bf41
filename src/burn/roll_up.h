// Operations of the roll-up on segments. Pure: roll_up_runner.h makes the store
// calls.
//
// Any VM may roll up at any time. To save calls, one VM is chosen from the
// member list. If two VMs do the same work, the compare-and-swap of one of them
// fails and nothing is counted twice, because a roll-up is written in one value
// together with the list of its sources.

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

// Hours are rolled up into their day once they are this old. This exceeds the
// longest trailing window, which needs counts per minute.
constexpr std::int64_t kHoursKept = 8;
// Days are kept for the current and the previous quarter.
constexpr std::int64_t kDaysKept = 190;

// A segment together with its key and version in the store.
struct StoredSegment {
  std::string key;
  std::int64_t version = 0;
  Segment segment;
};

// Decodes `entries`; keys of entries that cannot be decoded go to `damaged`.
std::vector<StoredSegment> DecodeEntries(
    const std::vector<store::Entry>& entries,
    std::vector<std::string>& damaged);

// Whether this VM is responsible for the work named `subject`: the live member
// with the highest hash is (rendezvous hashing).
bool IsResponsible(const blackboard::MembershipView& view,
                   const std::string& subject);

// Returns the current members, live or leaving.
std::set<VmIncarnation> CurrentMembers(const blackboard::MembershipView& view);

struct SealInput {
  std::vector<StoredSegment> raws;
  std::map<VmIncarnation, std::int64_t> gone_wall_ms;
  std::set<VmIncarnation> members;
  std::int64_t now_wall_ms = 0;
};

// Closes the oldest open segment of each incarnation that has been gone long
// enough. The last open segment also gets the gap after the incarnation's last
// counts.
std::vector<StoredSegment> SealGoneWriters(const SealInput& input,
                                           const BurnSettings& settings);

// Merges a closed segment into the roll-up of its hour or day. For a day, cells
// are merged by hour.
void MergeSegment(const StoredSegment& source, bool is_day, Segment& roll_up);

// Whether `roll_up` contains the segment of `key`.
bool Contains(const Segment& roll_up, const std::string& key);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_ROLL_UP_H_
