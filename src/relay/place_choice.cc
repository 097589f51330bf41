// Ranks, the order of the places, and which of them are left alone.

#include "src/relay/place_choice.h"

#include <algorithm>
#include <set>
#include <utility>

#include "src/base/rendezvous.h"

namespace medlarspread::relay {

namespace {

using blackboard::MembershipView;

// How long a peer whose news are old is left alone: it finds another place
// itself within this time, if there is one.
constexpr base::Duration kOldAvoidance = base::Milliseconds(4'000);
// A peer that does not answer may have restarted: it is back within a second.
// The time doubles with each failure in a row.
constexpr base::Duration kFirstPeerAvoidance = base::Milliseconds(500);
constexpr int kMostPeerDoublings = 3;
// The store is asked again at once after one failure, since it cuts watches
// that are well now and then; after more it is left alone for a time that
// doubles.
constexpr base::Duration kFirstStoreAvoidance = base::Milliseconds(500);
constexpr int kMostStoreDoublings = 3;
// How many daemons of the own domain are asked before others.
constexpr std::size_t kMostPeers = 2;
// The first in rank of a domain that ask the store themselves. One of three
// reaches it unless it is away for all or most.
constexpr std::size_t kMostDirect = 3;
// A follower that no peer has answered for this time asks the store itself. All
// daemons that lost power at once are back within a second of one another.
constexpr base::Duration kPatience = base::Milliseconds(2'000);
// A VM with this part of the strongest one's processor share counts as strong.
constexpr double kStrongPart = 0.5;

// The strong VMs of the domain first. When the reader changes, all others read
// everything from the new one at once: a dozen readings of some 80 KB fill the
// link of a small VM for half a second, and with it every request that it has
// in work.
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
      const bool is_strong = member.processor_share >= kStrongPart * strongest;
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

}  // namespace

PlaceChoice::PlaceChoice(PlaceSettings settings,
                         base::Clock clock,
                         const blackboard::Blackboard& blackboard)
    : settings_(std::move(settings)),
      clock_(std::move(clock)),
      blackboard_(blackboard),
      answered_(clock_.Now()) {}

bool PlaceChoice::knows_nobody() const {
  return blackboard_.membership.Read()->members.size() <= 1;
}

bool PlaceChoice::is_reader() const {
  const auto ranked =
      RankedMembers(*blackboard_.membership.Read(), settings_.failure_domain);
  return ranked.empty() || ranked.front() == settings_.vm;
}

bool PlaceChoice::is_in_own_domain(const std::string& peer) const {
  const auto view = blackboard_.membership.Read();
  return std::any_of(
      view->members.begin(), view->members.end(), [&](const auto& row) {
        return row.second.address == peer &&
               row.second.failure_domain == settings_.failure_domain;
      });
}

std::vector<std::string> PlaceChoice::Places() const {
  const auto view = blackboard_.membership.Read();
  const auto ranked = RankedMembers(*view, settings_.failure_domain);
  const auto self = std::find(ranked.begin(), ranked.end(), settings_.vm);
  const auto rank = static_cast<std::size_t>(self - ranked.begin());
  std::vector<std::string> places;
  for (std::size_t index = 0; index < std::min(rank, kMostPeers); ++index) {
    places.push_back(view->members.at(ranked[index]).address);
  }
  const auto others = ReadersOfOtherDomains();
  const bool asks_store = rank < kMostDirect;
  if (asks_store) {
    places.emplace_back(kStore);
  }
  places.insert(places.end(), others.begin(), others.end());
  if (!asks_store && clock_.Now() - answered_ >= kPatience) {
    places.emplace_back(kStore);
  }
  if (knows_nobody()) {
    places.insert(places.end(), settings_.seeds.begin(), settings_.seeds.end());
  }
  return places;
}

std::vector<std::string> PlaceChoice::ReadersOfOtherDomains() const {
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

std::string PlaceChoice::Choose(const std::string& current) const {
  const std::vector<std::string> places = Places();
  for (const std::string& place : places) {
    if (!is_avoided(place)) {
      return place;
    }
  }
  // Everything has failed of late or is old.
  if (is_answering(current)) {
    return current;
  }
  for (const std::string& place : places) {
    if (is_answering(place)) {
      return place;
    }
  }
  return places.front();
}

bool PlaceChoice::is_avoided(const std::string& place) const {
  const auto row = rows_.find(place);
  return row != rows_.end() && clock_.Now() < row->second.avoid_until;
}

bool PlaceChoice::is_answering(const std::string& place) const {
  const auto row = rows_.find(place);
  return row != rows_.end() && row->second.is_answering;
}

void PlaceChoice::DidAnswer(const std::string& place) {
  answered_ = clock_.Now();
  rows_.erase(place);
}

void PlaceChoice::DidGrowOld(const std::string& place) {
  answered_ = clock_.Now();
  rows_[place] = {clock_.Now() + kOldAvoidance, 0, true};
}

void PlaceChoice::DidFail(const std::string& place) {
  Row& row = rows_[place];
  row.is_answering = false;
  ++row.failures;
  base::Duration avoidance{};
  if (place != kStore) {
    const int doublings = std::min(row.failures - 1, kMostPeerDoublings);
    avoidance = kFirstPeerAvoidance * (1 << doublings);
  } else if (row.failures > 1) {
    const int doublings = std::min(row.failures - 2, kMostStoreDoublings);
    avoidance = kFirstStoreAvoidance * (1 << doublings);
  }
  row.avoid_until = clock_.Now() + avoidance;
}

int PlaceChoice::store_failures() const {
  const auto row = rows_.find(kStore);
  return row == rows_.end() ? 0 : row->second.failures;
}

}  // namespace medlarspread::relay
