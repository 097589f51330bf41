// The latest identifiers that this daemon knows to be claimed. They are
// answered without a store call, and stay known if the store is restored from
// an older backup.

#ifndef MEDLARSPREAD_CLAIMS_RECENT_CLAIMS_H_
#define MEDLARSPREAD_CLAIMS_RECENT_CLAIMS_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace medlarspread::claims {

class RecentClaims {
 public:
  explicit RecentClaims(std::size_t capacity) : capacity_(capacity) {}

  // Adds an identifier, and removes the oldest one if the capacity is exceeded.
  void Add(const std::string& request_id);
  bool Has(const std::string& request_id) const {
    return known_.contains(request_id);
  }

 private:
  const std::size_t capacity_;
  std::unordered_set<std::string> known_;
  // The same identifiers, oldest first.
  std::deque<std::string> order_;
};

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_RECENT_CLAIMS_H_
