// Implementation of upstream::LeafDirectory.

#include "src/upstream/leaf_directory.h"

#include <utility>

namespace medlarspread::upstream {

namespace {

// How many leaves that are gone are remembered, so that a late write of one is
// recognized. A fleet of 8,700 leaves replaces some hundred in the seconds
// within which a late write may arrive.
constexpr std::size_t kMaxGoneLeaves = 4'000;

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

std::string MakeLeafName(const std::string& id, std::int64_t started_wall_ms) {
  return started_wall_ms == 0 ? id : id + "@" + std::to_string(started_wall_ms);
}

LeafDirectory::LeafDirectory(blackboard::Blackboard& blackboard, base::Log log)
    : blackboard_(blackboard), log_(std::move(log)) {}

void LeafDirectory::DidWrite(LeafEntry entry) {
  blackboard::Upstream& upstream = entry.upstream;
  EntryHistory& history = histories_[upstream.id];
  if (entry.started_wall_ms == 0 && history.started_wall_ms != 0) {
    DidInvalidate(
        upstream.id,
        base::MakeError(
            base::ErrorCode::kMalformed, base::Step::kWatchStore,
            upstream.address,
            "leaf " + upstream.id +
                " reported its start time earlier, but not in this entry"));
    return;
  }
  if (IsOutdated(entry, history)) {
    log_.Write({.level = base::LogLevel::kInfo,
                .step = base::Step::kWatchStore,
                .peer = upstream.address,
                .message = "ignored an outdated entry of leaf " + upstream.id +
                           ": start " + std::to_string(entry.started_wall_ms) +
                           " of " + std::to_string(history.started_wall_ms) +
                           ", number " + std::to_string(entry.sequence) +
                           " of " + std::to_string(history.sequence)});
    return;
  }
  if (history.name != upstream.name) {
    (void)EraseRow(history);
  }
  history = {upstream.name, entry.started_wall_ms, entry.sequence};
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

bool LeafDirectory::IsOutdated(const LeafEntry& entry,
                               const EntryHistory& history) const {
  if (entry.started_wall_ms != history.started_wall_ms) {
    return entry.started_wall_ms < history.started_wall_ms;
  }
  return entry.sequence < history.sequence;
}

void LeafDirectory::DidRemove(const std::string& id) {
  const auto history = histories_.find(id);
  if (history == histories_.end()) {
    return;
  }
  const bool was_in_use = EraseRow(history->second);
  if (history->second.started_wall_ms == 0) {
    // NOTE: sequence numbers restart with each start, and without the start
    // time the starts can't be distinguished.
    histories_.erase(history);
  }
  if (was_in_use) {
    log_.Write({.level = base::LogLevel::kInfo,
                .step = base::Step::kWatchStore,
                .message = "leaf " + id + " is gone"});
  }
  ForgetGoneLeaves();
}

void LeafDirectory::DidInvalidate(const std::string& id,
                                  const base::Error& error) {
  const auto history = histories_.find(id);
  const bool was_in_use =
      history != histories_.end() && EraseRow(history->second);
  log_.DidFail(error, was_in_use
                          ? "the leaf is not used until a valid entry is "
                            "written"
                          : "ignored an invalid entry");
}

bool LeafDirectory::EraseRow(EntryHistory& history) {
  const bool was_there = view_.upstreams.erase(history.name) > 0;
  history.name.clear();
  is_changed_ = is_changed_ || was_there;
  return was_there;
}

void LeafDirectory::ForgetGoneLeaves() {
  if (histories_.size() <= view_.upstreams.size() + kMaxGoneLeaves) {
    return;
  }
  std::erase_if(histories_,
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
