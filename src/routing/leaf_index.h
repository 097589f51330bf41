// Index of the leaves by collection, built from the blackboard's view of all
// upstreams.

#ifndef MEDLARSPREAD_ROUTING_LEAF_INDEX_H_
#define MEDLARSPREAD_ROUTING_LEAF_INDEX_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/blackboard/views.h"

namespace medlarspread::routing {

class LeafIndex {
 public:
  using Leaves = std::vector<const blackboard::Upstream*>;

  explicit LeafIndex(std::shared_ptr<const blackboard::UpstreamsView> view)
      : view_(std::move(view)) {
    for (const auto& [name, upstream] : view_->upstreams) {
      collections_[upstream.collection].push_back(&upstream);
    }
  }

  const Leaves& LeavesOf(const std::string& collection) const {
    static const Leaves none;
    const auto row = collections_.find(collection);
    return row == collections_.end() ? none : row->second;
  }

  const std::shared_ptr<const blackboard::UpstreamsView>& view() const {
    return view_;
  }

 private:
  // Owns the upstreams that `collections_` points to.
  const std::shared_ptr<const blackboard::UpstreamsView> view_;
  std::unordered_map<std::string, Leaves> collections_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_LEAF_INDEX_H_
