// Keeps the blackboard's view of the leaves from what the store says of them.
//
// Invariants, by the identifier of a leaf:
//   - an entry of an earlier start, or an earlier entry of the same start,
//   never
//     replaces a later one: writes reach the store late and out of order;
//   - a leaf whose entry can't be read is out of use until one can be.

#ifndef MEDLARSPREAD_UPSTREAM_LEAF_DIRECTORY_H_
#define MEDLARSPREAD_UPSTREAM_LEAF_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>

#include "src/base/log.h"
#include "src/blackboard/blackboard.h"

namespace medlarspread::upstream {

// What a leaf wrote of itself.
struct LeafEntry {
  blackboard::Upstream upstream;
  // When this start of the leaf was, Unix time; zero if leaves don't tell.
  std::int64_t started_wall_ms = 0;
  // Counts the entries of one start.
  std::int64_t sequence = 0;
};

// The name of one start of the leaf.
std::string NameOfStart(const std::string& id, std::int64_t started_wall_ms);

// Runs on the control thread; the only writer of Blackboard::upstreams.
class LeafDirectory {
 public:
  LeafDirectory(blackboard::Blackboard& blackboard, base::Log log);

  // The entry of the leaf `entry.upstream.id` was written.
  void DidWrite(LeafEntry entry);
  // The entry is gone: nothing new goes there.
  void DidRemove(const std::string& id);
  // The entry was overwritten with something that no leaf writes: nothing new
  // goes to the leaf that it named before.
  void DidSpoil(const std::string& id, const base::Error& error);
  // How many connections the leaves of each collection accept.
  void SetConnections(const std::map<std::string, int>& connections);
  // Makes the changes since the last call visible.
  void Publish();

 private:
  // What is known of the entries under one identifier.
  struct Life {
    // The row in the view; empty if there is none.
    std::string name;
    std::int64_t started_wall_ms = 0;
    std::int64_t sequence = 0;
  };

  bool IsOutdated(const LeafEntry& entry, const Life& life) const;
  // True if there was a row.
  bool EraseRow(Life& life);
  void ForgetOldLives();
  void LogState(const blackboard::Upstream& upstream) const;

  blackboard::Blackboard& blackboard_;
  const base::Log log_;
  std::map<std::string, int> connections_;
  // By identifier, also of leaves that are gone, up to a number.
  std::map<std::string, Life> lives_;
  blackboard::UpstreamsView view_;
  bool is_changed_ = false;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_LEAF_DIRECTORY_H_
