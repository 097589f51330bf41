// Computes the rendezvous order of the live daemons.

#include "src/claims/grouping_order.h"

#include <utility>

#include "src/base/rendezvous.h"

namespace medlarspread::claims {

std::vector<std::string> GroupingOrder(const blackboard::MembershipView& view,
                                       const std::string& key) {
  std::vector<std::string> live;
  live.reserve(view.members.size());
  for (const auto& [name, member] : view.members) {
    if (member.state == blackboard::MemberState::kLive) {
      live.push_back(name);
    }
  }
  return base::RankByRendezvous(key, std::move(live));
}

}  // namespace medlarspread::claims
