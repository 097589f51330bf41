// Ranks daemons, orders the sources and applies their backoff.

#include "src/relay/source_selector.h"

#include <algorithm>
#include <set>
#include <utility>

#include "src/base/rendezvous.h"

namespace medlarspread::relay {

namespace {

using blackboard::MembershipView;

// The backoff of a peer with stale data. It finds another source itself within
// this time, if there is one.
constexpr base::Duration kStaleBackoff = base::Milliseconds(4'000);
// The backoff of a peer that does not answer. It may have restarted, which
// takes less than a second, so this starts low and doubles with each
// consecutive failure.
constexpr base::Duration kInitialPeerBackoff = base::Milliseconds(500);
constexpr int kMaxPeerDoublings = 3;
// The store is retried at once after one failure, since it occasionally cuts
// healthy watches. After more, the backoff starts here and doubles.
constexpr base::Duration kInitialStoreBackoff = base::Milliseconds(500);
constexpr int kMaxStoreDoublings = 2;
// How many daemons of its own domain a daemon tries before other sources.
constexpr std::size_t kMaxDomainPeers = 2;
// A follower uses the store itself after no peer has answered for this time.
// Daemons that lost power together are back within a second of one another.
constexpr base::Duration kStoreFallbackDelay = base::Milliseconds(2'000);
// A VM counts as strong if its processor share is at least this fraction of the
// strongest one's.
constexpr double kStrongShareRatio = 0.5;

// Ranks strong VMs before weak ones. When the store reader changes, all others
// list all keys from the new one at once: a dozen lists of about 80 KB each
// fill the link of a small VM for half a second and delay all requests that it
// is serving.
std::vector<std::string> RankedMembers(const MembershipView& view,
                                       const std::string& domain) {
  double strongest = 0.0;
  for (const auto& [name, member] : view.members) {
    if (member.failure_domain == domain) {
      strongest = std::max(strongest, member.processor_share);
    }
  }
  std::vector<std::string> strong;
  std::vector<std::string> others;
  for (const auto& [name, member] : view.members) {
    if (member.failure_domain == domain) {
      const bool is_strong =
          member.processor_share >= kStrongShareRatio * strongest;
      (is_strong ? strong : others).push_back(name);
    }
  }
  const std::string key = "store-reader/" + domain;
  auto ranked = base::RankByRendezvous(key, std::move(strong));
  for (std::string& name : base::RankByRendezvous(key, std::move(others))) {
    ranked.push_back(std::move(name));
  }
  return ranked;
}

std::size_t RankOf(const std::string& vm,
                   const std::vector<std::string>& ranked) {
  const auto place = std::find(ranked.begin(), ranked.end(), vm);
  return static_cast<std::size_t>(place - ranked.begin());
}

}  // namespace

SourceSelector::SourceSelector(SourceSelectorSettings settings,
                               base::Clock clock,
                               const blackboard::Blackboard& blackboard)
    : settings_(std::move(settings)),
      clock_(std::move(clock)),
      blackboard_(blackboard),
      last_answer_(clock_.Now()) {}

bool SourceSelector::knows_no_peers() const {
  return blackboard_.membership.Read()->members.size() <= 1;
}

bool SourceSelector::is_reader() const {
  const auto ranked =
      RankedMembers(*blackboard_.membership.Read(), settings_.failure_domain);
  return ranked.empty() || ranked.front() == settings_.vm;
}

bool SourceSelector::is_in_own_domain(const std::string& peer) const {
  const auto view = blackboard_.membership.Read();
  return std::any_of(
      view->members.begin(), view->members.end(), [&](const auto& row) {
        return row.second.address == peer &&
               row.second.failure_domain == settings_.failure_domain;
      });
}

bool SourceSelector::asks_store(std::size_t rank) {
  return rank < kMaxDirectReaders;
}

std::size_t SourceSelector::rank() const {
  return RankOf(settings_.vm, RankedMembers(*blackboard_.membership.Read(),
                                            settings_.failure_domain));
}

std::vector<std::string> SourceSelector::Peers() const {
  std::vector<std::string> peers = Sources();
  std::erase(peers, kStore);
  return peers;
}

std::vector<std::string> SourceSelector::PeersPreferredTo(
    const std::string& source) const {
  const std::vector<std::string> sources = Sources();
  std::vector<std::string> preferred;
  for (const std::string& each : sources) {
    if (each == source) {
      break;
    }
    if (each != kStore && !is_backing_off(each)) {
      preferred.push_back(each);
    }
  }
  return preferred;
}

std::vector<std::string> SourceSelector::Sources() const {
  const auto view = blackboard_.membership.Read();
  const auto ranked = RankedMembers(*view, settings_.failure_domain);
  const std::size_t rank = RankOf(settings_.vm, ranked);
  std::vector<std::string> sources;
  for (std::size_t index = 0; index < std::min(rank, kMaxDomainPeers);
       ++index) {
    sources.push_back(view->members.at(ranked[index]).address);
  }
  const auto others = ReadersOfOtherDomains();
  if (asks_store(rank)) {
    sources.emplace_back(kStore);
  }
  sources.insert(sources.end(), others.begin(), others.end());
  if (!asks_store(rank) && clock_.Now() - last_answer_ >= kStoreFallbackDelay) {
    sources.emplace_back(kStore);
  }
  if (knows_no_peers()) {
    sources.insert(sources.end(), settings_.seeds.begin(),
                   settings_.seeds.end());
  }
  return sources;
}

std::vector<std::string> SourceSelector::ReadersOfOtherDomains() const {
  const auto view = blackboard_.membership.Read();
  std::set<std::string> domains;
  for (const auto& [name, member] : view->members) {
    if (member.failure_domain != settings_.failure_domain) {
      domains.insert(member.failure_domain);
    }
  }
  std::vector<std::string> readers;
  readers.reserve(domains.size());
  for (const std::string& domain : domains) {
    readers.push_back(
        view->members.at(RankedMembers(*view, domain).front()).address);
  }
  return readers;
}

std::string SourceSelector::Choose(const std::string& current) const {
  const std::vector<std::string> sources = Sources();
  for (const std::string& source : sources) {
    if (!is_backing_off(source)) {
      return source;
    }
  }
  // All sources are in backoff.
  if (is_answering(current)) {
    return current;
  }
  for (const std::string& source : sources) {
    if (is_answering(source)) {
      return source;
    }
  }
  return sources.front();
}

bool SourceSelector::is_backing_off(const std::string& source) const {
  return backoff_left(source) > base::Duration{};
}

base::Duration SourceSelector::backoff_left(const std::string& source) const {
  const auto row = states_.find(source);
  return row == states_.end()
             ? base::Duration{}
             : std::max(base::Duration{},
                        row->second.backoff_until - clock_.Now());
}

bool SourceSelector::is_answering(const std::string& source) const {
  const auto row = states_.find(source);
  return row != states_.end() && row->second.is_answering;
}

void SourceSelector::DidAnswer(const std::string& source) {
  last_answer_ = clock_.Now();
  states_.erase(source);
}

void SourceSelector::DidBecomeStale(const std::string& source) {
  last_answer_ = clock_.Now();
  states_[source] = {clock_.Now() + kStaleBackoff, 0, true};
}

void SourceSelector::DidFail(const std::string& source) {
  SourceState& row = states_[source];
  row.is_answering = false;
  ++row.failures;
  base::Duration backoff{};
  if (source != kStore) {
    const int doublings = std::min(row.failures - 1, kMaxPeerDoublings);
    backoff = kInitialPeerBackoff * (1 << doublings);
  } else if (row.failures > 1) {
    const int doublings = std::min(row.failures - 2, kMaxStoreDoublings);
    backoff = kInitialStoreBackoff * (1 << doublings);
  }
  row.backoff_until = clock_.Now() + backoff;
}

int SourceSelector::store_failures() const {
  const auto row = states_.find(kStore);
  return row == states_.end() ? 0 : row->second.failures;
}

}  // namespace medlarspread::relay
