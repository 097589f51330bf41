// Maintains the blackboard's view of the leaves from their entries in the
// store.
//
// Invariants, per leaf identifier:
//   - An entry of an earlier start, or an earlier entry of the same start,
//     never replaces a later one, since writes may reach the store late and out
//     of order.
//   - A leaf with an invalid entry is not used until a valid one is written.

#ifndef MEDLARSPREAD_UPSTREAM_LEAF_DIRECTORY_H_
#define MEDLARSPREAD_UPSTREAM_LEAF_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>

#include "src/base/log.h"
#include "src/blackboard/blackboard.h"

namespace medlarspread::upstream {

// An entry that a leaf wrote about itself.
struct LeafEntry {
  blackboard::Upstream upstream;
  // Unix time of this start of the leaf; zero if leaves don't report it.
  std::int64_t started_wall_ms = 0;
  // Number of the entry within one start.
  std::int64_t sequence = 0;
};

// The name that identifies one start of the leaf.
std::string MakeLeafName(const std::string& id, std::int64_t started_wall_ms);

// Runs on the control thread. It is the only writer of Blackboard::upstreams.
class LeafDirectory {
 public:
  LeafDirectory(blackboard::Blackboard& blackboard, base::Log log);

  // The entry of the leaf `entry.upstream.id` was written.
  void DidWrite(LeafEntry entry);
  // The entry was removed: the leaf gets no new requests.
  void DidRemove(const std::string& id);
  // The entry was overwritten with an invalid one: the leaf that it described
  // before gets no new requests.
  void DidInvalidate(const std::string& id, const base::Error& error);
  // Sets how many connections the leaves of each collection accept.
  void SetConnections(const std::map<std::string, int>& connections);
  // Writes the view to the blackboard if it changed since the last call.
  void Publish();

 private:
  // What is known of the entries of one identifier.
  struct EntryHistory {
    // Name of the row in the view; empty if there is none.
    std::string name;
    std::int64_t started_wall_ms = 0;
    std::int64_t sequence = 0;
  };

  bool IsOutdated(const LeafEntry& entry, const EntryHistory& history) const;
  // Returns whether there was a row.
  bool EraseRow(EntryHistory& history);
  void ForgetGoneLeaves();
  void LogState(const blackboard::Upstream& upstream) const;

  blackboard::Blackboard& blackboard_;
  const base::Log log_;
  std::map<std::string, int> connections_;
  // By identifier. Includes a limited number of leaves that are gone.
  std::map<std::string, EntryHistory> histories_;
  blackboard::UpstreamsView view_;
  bool is_changed_ = false;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_LEAF_DIRECTORY_H_
