// Selects the daemons that group the claims of a key.

#ifndef MEDLARSPREAD_CLAIMS_GROUPING_ORDER_H_
#define MEDLARSPREAD_CLAIMS_GROUPING_ORDER_H_

#include <string>
#include <vector>

#include "src/blackboard/views.h"

namespace medlarspread::claims {

// The live daemons in the order in which they are asked. Daemons with different
// membership views get different orders, which costs conflicts on the swap but
// is safe.
std::vector<std::string> GroupingOrder(const blackboard::MembershipView& view,
                                       const std::string& key);

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_GROUPING_ORDER_H_
