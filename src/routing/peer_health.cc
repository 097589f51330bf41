// Exponential backoff per peer.

#include "src/routing/peer_health.h"

#include <algorithm>

namespace medlarspread::routing {

namespace {

// A restarting daemon is available again within one or two seconds.
constexpr base::Duration kInitialPause = base::Milliseconds(1'000);
constexpr int kMaxDoublings = 3;

}  // namespace

bool PeerHealth::is_avoided(const std::string& peer) const {
  const auto row = rows_.find(peer);
  return row != rows_.end() && clock_.Now() < row->second.avoid_until;
}

void PeerHealth::DidAnswer(const std::string& peer) {
  rows_.erase(peer);
}

base::Duration PeerHealth::DidFail(const std::string& peer) {
  Row& row = rows_[peer];
  const int doublings = std::min(row.failures_in_a_row, kMaxDoublings);
  ++row.failures_in_a_row;
  const base::Duration pause = kInitialPause * (1 << doublings);
  row.avoid_until = clock_.Now() + pause;
  return pause;
}

}  // namespace medlarspread::routing
