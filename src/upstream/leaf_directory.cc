// One row for each leaf with an entry that can be read.

#include "src/upstream/leaf_directory.h"

#include <utility>

namespace medlarspread::upstream {

namespace {

// Starts are remembered of so many leaves more than there are, so that a late
// write of a leaf that is gone is known for what it is. A fleet of 8,700 leaves
// replaces some hundred in the seconds in which a write may come late.
constexpr std::size_t kMostGone = 4'000;

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

std::string NameOfStart(const std::string& id, std::int64_t started_wall_ms) {
  return started_wall_ms == 0 ? id : id + "@" + std::to_string(started_wall_ms);
}

LeafDirectory::LeafDirectory(blackboard::Blackboard& blackboard, base::Log log)
    : blackboard_(blackboard), log_(std::move(log)) {}

void LeafDirectory::DidWrite(LeafEntry entry) {
  blackboard::Upstream& upstream = entry.upstream;
  Life& life = lives_[upstream.id];
  if (entry.started_wall_ms == 0 && life.started_wall_ms != 0) {
    DidSpoil(upstream.id,
             base::MakeError(base::ErrorCode::kMalformed,
                             base::Step::kWatchStore, upstream.address,
                             "leaf " + upstream.id +
                                 " told when it started, this entry does not"));
    return;
  }
  if (IsOutdated(entry, life)) {
    log_.Write({.level = base::LogLevel::kInfo,
                .step = base::Step::kWatchStore,
                .peer = upstream.address,
                .message = "left out an old entry of leaf " + upstream.id +
                           ": start " + std::to_string(entry.started_wall_ms) +
                           " of " + std::to_string(life.started_wall_ms) +
                           ", number " + std::to_string(entry.sequence) +
                           " of " + std::to_string(life.sequence)});
    return;
  }
  if (life.name != upstream.name) {
    (void)EraseRow(life);
  }
  life = {upstream.name, entry.started_wall_ms, entry.sequence};
  const auto connections = connections_.find(upstream.collection);
  if (connections != connections_.end()) {
    upstream.connections = connections->second;
  }
  blackboard::Upstream& row = view_.upstreams[upstream.name];
  if (row == upstream) {
    return;
  }
  if (row.name.empty() || row.state != upstream.state) {
    LogState(upstream);
  }
  row = std::move(upstream);
  is_changed_ = true;
}

bool LeafDirectory::IsOutdated(const LeafEntry& entry, const Life& life) const {
  if (entry.started_wall_ms != life.started_wall_ms) {
    return entry.started_wall_ms < life.started_wall_ms;
  }
  return entry.sequence < life.sequence;
}

void LeafDirectory::DidRemove(const std::string& id) {
  const auto life = lives_.find(id);
  if (life == lives_.end()) {
    return;
  }
  const bool was_in_use = EraseRow(life->second);
  if (life->second.started_wall_ms == 0) {
    // NOTE: the numbers begin anew with each start; without the time of the
    // start nothing tells one from another.
    lives_.erase(life);
  }
  if (was_in_use) {
    log_.Write({.level = base::LogLevel::kInfo,
                .step = base::Step::kWatchStore,
                .message = "leaf " + id + " is gone"});
  }
  ForgetOldLives();
}

void LeafDirectory::DidSpoil(const std::string& id, const base::Error& error) {
  const auto life = lives_.find(id);
  const bool was_in_use = life != lives_.end() && EraseRow(life->second);
  log_.DidFail(error, was_in_use ? "the leaf is out of use until its entry can "
                                   "be read again"
                                 : "an entry that can't be read is left out");
}

bool LeafDirectory::EraseRow(Life& life) {
  const bool was_there = view_.upstreams.erase(life.name) > 0;
  life.name.clear();
  is_changed_ = is_changed_ || was_there;
  return was_there;
}

void LeafDirectory::ForgetOldLives() {
  if (lives_.size() <= view_.upstreams.size() + kMostGone) {
    return;
  }
  std::erase_if(lives_,
                [](const auto& row) { return row.second.name.empty(); });
}

void LeafDirectory::LogState(const blackboard::Upstream& upstream) const {
  log_.Write({.level = base::LogLevel::kInfo,
              .step = base::Step::kWatchStore,
              .peer = upstream.address,
              .message = "leaf " + upstream.name + " of " +
                         upstream.collection + " is " +
                         StateName(upstream.state)});
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
