// Keeps the blackboard's view of the leaves from what the store says of them.

#ifndef MEDLARSPREAD_UPSTREAM_LEAF_DIRECTORY_H_
#define MEDLARSPREAD_UPSTREAM_LEAF_DIRECTORY_H_

#include <map>
#include <string>

#include "src/base/log.h"
#include "src/blackboard/blackboard.h"

namespace medlarspread::upstream {

// Runs on the control thread; the only writer of Blackboard::upstreams.
class LeafDirectory {
 public:
  LeafDirectory(blackboard::Blackboard& blackboard, base::Log log);

  // The entry of a leaf was written. `upstream.name` is unique to one start of
  // the leaf.
  void DidWrite(blackboard::Upstream upstream);
  // The entry is gone: nothing new goes there.
  void DidRemove(const std::string& name);
  // How many connections the leaves of each collection accept.
  void SetConnections(const std::map<std::string, int>& connections);
  // Makes the changes since the last call visible.
  void Publish();

 private:
  blackboard::Blackboard& blackboard_;
  const base::Log log_;
  std::map<std::string, int> connections_;
  blackboard::UpstreamsView view_;
  bool is_changed_ = false;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_LEAF_DIRECTORY_H_
