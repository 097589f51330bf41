// Which daemons group the claims of a key.

#ifndef MEDLARSPREAD_CLAIMS_GROUPING_ORDER_H_
#define MEDLARSPREAD_CLAIMS_GROUPING_ORDER_H_

#include <string>
#include <vector>

#include "src/blackboard/views.h"

namespace medlarspread::claims {

// The live daemons in the order in which they are asked, best first. Daemons
// whose views differ get different orders: that costs conflicts on the swap.
std::vector<std::string> GroupingOrder(const blackboard::MembershipView& view,
                                       const std::string& key);

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_GROUPING_ORDER_H_
