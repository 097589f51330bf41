// Divides the known daemons into members and absent ones.

#include "src/membership/view.h"

#include <utility>

namespace medlarspread::membership {

namespace {

blackboard::Member FromList(const store::Vm& vm) {
  return {.name = vm.name,
          .address = vm.address,
          .region = vm.region,
          .failure_domain = vm.failure_domain,
          .incarnation = 0,
          .state = blackboard::MemberState::kGone,
          .targets_revision = 0};
}

}  // namespace

blackboard::MembershipView ComposeView(const MemberTable& table,
                                       const DomainReachability& reachability,
                                       const Messenger& messenger,
                                       const VmList& list,
                                       bool is_settled) {
  blackboard::MembershipView view;
  view.self = table.self().name;
  view.is_settled = is_settled;
  table.ForEach([&](const Record& record) {
    blackboard::Member member = ToMember(record);
    const bool is_own_domain =
        record.failure_domain == table.self().failure_domain;
    if (!is_own_domain) {
      // Daemons report the targets revision of other domains only as the
      // domain's lowest, which is what decides whether a revision is active
      // there.
      member.targets_revision =
          messenger.LowestRevisionOf(record.failure_domain);
    }
    const bool is_member =
        record.name == view.self ||
        (IsPresent(record) &&
         (is_own_domain || reachability.IsReachable(record.failure_domain)));
    (is_member ? view.members : view.absent)[record.name] = std::move(member);
  });
  for (const auto& [name, vm] : list.others()) {
    if (table.Find(name) == nullptr) {
      view.absent[name] = FromList(vm);
    }
  }
  return view;
}

}  // namespace medlarspread::membership
