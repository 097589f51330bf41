// Composes the membership view for the blackboard out of what membership knows.

#ifndef MEDLARSPREAD_MEMBERSHIP_VIEW_H_
#define MEDLARSPREAD_MEMBERSHIP_VIEW_H_

#include "src/blackboard/views.h"
#include "src/membership/domain_watch.h"
#include "src/membership/member_table.h"
#include "src/membership/messenger.h"
#include "src/membership/vm_list.h"

namespace medlarspread::membership {

// 1. Present daemons of domains that can be reached are members, heard ones
//    also if the platform does not list them (yet).
// 2. Those of domains that can't be reached, those that are gone but not yet
//    forgotten, and those that are listed but were never heard, are absent.
blackboard::MembershipView ComposeView(const MemberTable& table,
                                       const DomainWatch& watch,
                                       const Messenger& messenger,
                                       const VmList& list,
                                       bool is_settled);

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_VIEW_H_
