// Composes the blackboard's membership view from the state of membership.

#ifndef MEDLARSPREAD_MEMBERSHIP_VIEW_H_
#define MEDLARSPREAD_MEMBERSHIP_VIEW_H_

#include "src/blackboard/views.h"
#include "src/membership/domain_reachability.h"
#include "src/membership/member_table.h"
#include "src/membership/messenger.h"
#include "src/membership/vm_list.h"

namespace medlarspread::membership {

// 1. Members are the present daemons of reachable domains, including those that
//    the platform's list doesn't contain (yet).
// 2. Absent are the daemons of unreachable domains, those that are gone and not
//    yet forgotten, and those that are listed but were never heard from.
blackboard::MembershipView ComposeView(const MemberTable& table,
                                       const DomainReachability& reachability,
                                       const Messenger& messenger,
                                       const VmList& list,
                                       bool is_settled);

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_VIEW_H_
