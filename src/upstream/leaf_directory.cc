// One row for each entry of a leaf.

#include "src/upstream/leaf_directory.h"

#include <utility>

namespace medlarspread::upstream {

namespace {

const char* StateName(blackboard::UpstreamState state) {
  switch (state) {
    case blackboard::UpstreamState::kServing:
      return "serving";
    case blackboard::UpstreamState::kCold:
      return "cold";
    case blackboard::UpstreamState::kDraining:
      return "draining";
    case blackboard::UpstreamState::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

}  // namespace

LeafDirectory::LeafDirectory(blackboard::Blackboard& blackboard, base::Log log)
    : blackboard_(blackboard), log_(std::move(log)) {}

void LeafDirectory::DidWrite(blackboard::Upstream upstream) {
  const auto connections = connections_.find(upstream.collection);
  if (connections != connections_.end()) {
    upstream.connections = connections->second;
  }
  blackboard::Upstream& row = view_.upstreams[upstream.name];
  if (row == upstream) {
    return;
  }
  if (row.name.empty() || row.state != upstream.state) {
    log_.Write({.level = base::LogLevel::kInfo,
                .step = base::Step::kWatchStore,
                .peer = upstream.address,
                .message = "leaf " + upstream.name + " of " +
                           upstream.collection + " is " +
                           StateName(upstream.state)});
  }
  row = std::move(upstream);
  is_changed_ = true;
}

void LeafDirectory::DidRemove(const std::string& name) {
  if (view_.upstreams.erase(name) > 0) {
    is_changed_ = true;
    log_.Write({.level = base::LogLevel::kInfo,
                .step = base::Step::kWatchStore,
                .message = "leaf " + name + " is gone"});
  }
}

void LeafDirectory::SetConnections(
    const std::map<std::string, int>& connections) {
  connections_ = connections;
  for (auto& [name, upstream] : view_.upstreams) {
    const auto row = connections_.find(upstream.collection);
    if (row != connections_.end() && upstream.connections != row->second) {
      upstream.connections = row->second;
      is_changed_ = true;
    }
  }
}

void LeafDirectory::Publish() {
  if (is_changed_) {
    is_changed_ = false;
    blackboard_.upstreams.Write(view_);
  }
}

}  // namespace medlarspread::upstream
