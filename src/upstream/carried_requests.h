// The requests that one connection has carried, for as long as they may be sent
// again.
//
// A leaf may send a response a second time, before a later response on the same
// connection. The request identifier tells responses to different requests
// apart, but not the responses to two sends of one request. So a connection
// must not carry a request that it has carried before.
//
// Bookkeeping only; not thread-safe.

#ifndef MEDLARSPREAD_UPSTREAM_CARRIED_REQUESTS_H_
#define MEDLARSPREAD_UPSTREAM_CARRIED_REQUESTS_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <unordered_set>

#include "src/base/clock.h"

namespace medlarspread::upstream {

class CarriedRequests {
 public:
  // The request is not sent again after `may_repeat_until`.
  void Add(const std::string& request_id,
           base::MonotonicTime may_repeat_until,
           base::MonotonicTime now) {
    while (!by_age_.empty() && by_age_.front().may_repeat_until <= now) {
      hashes_.erase(by_age_.front().hash);
      by_age_.pop_front();
    }
    const std::size_t hash = HashOf(request_id);
    by_age_.push_back({hash, may_repeat_until});
    hashes_.insert(hash);
  }

  bool Contains(const std::string& request_id) const {
    return hashes_.contains(HashOf(request_id));
  }

 private:
  struct Request {
    std::size_t hash = 0;
    base::MonotonicTime may_repeat_until;
  };

  // NOTE: requests with equal hashes are taken for the same one, which at worst
  // avoids a usable connection.
  static std::size_t HashOf(const std::string& request_id) {
    return std::hash<std::string>{}(request_id);
  }

  // Bounded by the requests that a connection can carry, one at a time, within
  // the longest time for which one of them may be sent again.
  std::deque<Request> by_age_;
  std::unordered_set<std::size_t> hashes_;
};

}  // namespace medlarspread::upstream

#endif  // MEDLARSPREAD_UPSTREAM_CARRIED_REQUESTS_H_
