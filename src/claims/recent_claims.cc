// A bounded set that removes its oldest element.

#include "src/claims/recent_claims.h"

namespace medlarspread::claims {

void RecentClaims::Add(const std::string& request_id) {
  if (!known_.insert(request_id).second) {
    return;
  }
  order_.push_back(request_id);
  if (order_.size() > capacity_) {
    known_.erase(order_.front());
    order_.pop_front();
  }
}

}  // namespace medlarspread::claims
