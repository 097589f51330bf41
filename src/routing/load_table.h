// The recent load of the queues in each region and the network time to each
// region. Both are taken from the replies of the queue owners, so they need no
// extra messages.

#ifndef MEDLARSPREAD_ROUTING_LOAD_TABLE_H_
#define MEDLARSPREAD_ROUTING_LOAD_TABLE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <tuple>

#include "src/base/clock.h"
#include "src/routing/shard_request.h"

namespace medlarspread::routing {

// Safe to use from any thread.
class LoadTable {
 public:
  explicit LoadTable(base::Clock clock);

  // A reply to a request of `class_name` for the shard whose range starts at
  // `low` came from `region`. `network` is the round trip.
  void DidHear(const std::string& collection,
               const std::string& class_name,
               std::int32_t low,
               const std::string& region,
               const ShardLoad& load,
               base::Duration network);

  // Expected wait of a request of `class_name` in the shard's queue. The last
  // reported value is reduced by its age, since a queue without new requests
  // drains at that rate.
  base::Duration ExpectedWait(const std::string& collection,
                              const std::string& class_name,
                              std::int32_t low,
                              const std::string& region) const;

  // Round trip time to the queue owners in `region`.
  base::Duration NetworkTime(const std::string& region,
                             bool is_own_region) const;

 private:
  struct Row {
    base::Duration wait{};
    base::Duration service_excess{};
    base::MonotonicTime heard;
  };
  using Key = std::tuple<std::string, std::string, std::int32_t, std::string>;

  const base::Clock clock_;
  mutable std::mutex mutex_;
  std::map<Key, Row> rows_;
  std::map<std::string, base::Duration> network_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_LOAD_TABLE_H_
