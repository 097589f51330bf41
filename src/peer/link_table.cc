// All maps are guarded by one mutex.

#include "src/peer/link_table.h"

#include <algorithm>
#include <utility>

namespace medlarspread::peer {

namespace {

using base::ErrorCode;
using base::Step;

// After this many failures in a row the backoff no longer increases.
constexpr int kMaxBackoffDoublings = 16;

}  // namespace

LinkTable::LinkTable(BackoffSettings backoff,
                     base::Clock clock,
                     std::uint64_t seed)
    : backoff_(backoff), clock_(std::move(clock)), random_(seed) {}

base::Result<LinkTable::Outgoing> LinkTable::FindOrConnect(
    const std::string& peer,
    const std::string& address,
    const std::function<ConnectionPointer()>& connect) {
  const std::lock_guard lock(mutex_);
  if (is_closed_) {
    return base::MakeError(ErrorCode::kStopping, Step::kPeerLink, peer,
                           "peer links are closed");
  }
  Peer& entry = outgoing_[peer];
  Outgoing result;
  if (entry.address != address) {
    result.replaced = std::exchange(entry.connection, nullptr);
    if (result.replaced) {
      replaced_.insert(result.replaced);
    }
    entry = Peer{.address = address, .connection = nullptr, .retry_at = {}};
  }
  if (entry.connection && !entry.connection->is_closed()) {
    result.connection = entry.connection;
    return result;
  }
  if (clock_.Now() < entry.retry_at) {
    return base::MakeError(
        ErrorCode::kUnreachable, Step::kPeerLink, peer,
        "link failed recently; waiting before the next attempt");
  }
  if (entry.connection) {
    replaced_.insert(entry.connection);
  }
  entry.connection = connect();
  result.connection = entry.connection;
  return result;
}

bool LinkTable::AddIncoming(const ConnectionPointer& connection) {
  const std::lock_guard lock(mutex_);
  if (is_closed_) {
    return false;
  }
  incoming_[connection.get()].connection = connection;
  return true;
}

LinkTable::SenderUpdate LinkTable::RecordSender(
    const ConnectionPointer& connection,
    const Sender& sender) {
  const std::lock_guard lock(mutex_);
  const auto link = incoming_.find(connection.get());
  if (link != incoming_.end()) {
    link->second.sender = sender;
  }
  std::int64_t& newest = newest_incarnations_[sender.name];
  const bool is_newer = sender.incarnation > newest;
  newest = std::max(newest, sender.incarnation);
  SenderUpdate result{.newest_incarnation = newest, .outdated = {}};
  if (!is_newer) {
    return result;
  }
  for (const auto& [key, other] : incoming_) {
    if (other.sender.name == sender.name &&
        other.sender.incarnation < sender.incarnation) {
      result.outdated.push_back(other.connection);
    }
  }
  return result;
}

void LinkTable::RecordFailure(Peer& peer) {
  const int doublings = std::min(peer.failures++, kMaxBackoffDoublings);
  const auto longest =
      std::min(backoff_.maximum, backoff_.initial * (1 << doublings));
  // Random jitter between half and all of the delay, so that peers don't
  // reconnect at the same time.
  const double share = 0.5 + 0.5 * random_.Unit();
  const auto delay =
      static_cast<std::int64_t>(static_cast<double>(longest.count()) * share);
  peer.retry_at = clock_.Now() + base::Duration(delay);
}

std::string LinkTable::Remove(const Connection& connection, bool is_failure) {
  const std::lock_guard lock(mutex_);
  std::string peer;
  const auto link = incoming_.find(&connection);
  if (link != incoming_.end()) {
    peer = link->second.sender.name;
    incoming_.erase(link);
  } else {
    peer = connection.label();
    std::erase_if(replaced_, [&connection](const auto& other) {
      return other.get() == &connection;
    });
    const auto entry = outgoing_.find(peer);
    if (entry != outgoing_.end() &&
        entry->second.connection.get() == &connection) {
      entry->second.connection.reset();
      if (connection.was_connected()) {
        entry->second.failures = 0;
      }
      if (is_failure) {
        RecordFailure(entry->second);
      }
    }
  }
  did_remove_.notify_all();
  return peer;
}

std::vector<ConnectionPointer> LinkTable::LinksOf(
    const std::string& peer) const {
  const std::lock_guard lock(mutex_);
  std::vector<ConnectionPointer> links;
  const auto entry = outgoing_.find(peer);
  if (entry != outgoing_.end() && entry->second.connection) {
    links.push_back(entry->second.connection);
  }
  for (const auto& [key, link] : incoming_) {
    if (link.sender.name == peer) {
      links.push_back(link.connection);
    }
  }
  return links;
}

void LinkTable::DiscardPeer(const std::string& peer) {
  const std::lock_guard lock(mutex_);
  const auto entry = outgoing_.find(peer);
  if (entry != outgoing_.end() && !entry->second.connection) {
    outgoing_.erase(entry);
  }
  newest_incarnations_.erase(peer);
}

std::vector<ConnectionPointer> LinkTable::CloseToNewLinks() {
  const std::lock_guard lock(mutex_);
  is_closed_ = true;
  std::vector<ConnectionPointer> links(replaced_.begin(), replaced_.end());
  for (const auto& [name, peer] : outgoing_) {
    if (peer.connection) {
      links.push_back(peer.connection);
    }
  }
  for (const auto& [key, link] : incoming_) {
    links.push_back(link.connection);
  }
  return links;
}

bool LinkTable::WaitUntilEmpty(base::Duration timeout) {
  std::unique_lock lock(mutex_);
  return did_remove_.wait_for(lock, timeout, [this] {
    return incoming_.empty() && replaced_.empty() &&
           std::all_of(outgoing_.begin(), outgoing_.end(),
                       [](const auto& row) { return !row.second.connection; });
  });
}

std::size_t LinkTable::size() const {
  const std::lock_guard lock(mutex_);
  return incoming_.size() + replaced_.size() +
         static_cast<std::size_t>(std::count_if(
             outgoing_.begin(), outgoing_.end(),
             [](const auto& row) { return row.second.connection != nullptr; }));
}

}  // namespace medlarspread::peer
