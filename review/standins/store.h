// The platform's store as PROTOCOL.md describes it: keys, watches and leases.
// It is always up and loses nothing. Each read with stale_ok is answered by one
// of its replicas, which may be behind.

#ifndef MEDLARSPREAD_REVIEW_STANDINS_STORE_H_
#define MEDLARSPREAD_REVIEW_STANDINS_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "review/standins/http.h"

namespace medlarspread::review {

class Store {
 public:
  // Opens the listener; returns its port, 0 if the port is taken.
  int Open(int port);

  // How many items a page of a range holds at most.
  void set_page_size(std::size_t items) { page_size_ = items; }
  // How far each replica is behind. Without replicas no read is stale.
  void set_replica_lags(std::vector<std::chrono::milliseconds> lags);

  // Writes the text under the key. Its return is the acknowledgement.
  void Put(const std::string& key, const std::string& text);
  void Remove(const std::string& key);

 private:
  using Clock = std::chrono::steady_clock;
  struct Item {
    // Base64, as it is on the wire.
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Change {
    std::string key;
    std::int64_t revision = 0;
    // The item as JSON; empty for a removal.
    std::string json;
    std::optional<Item> item;
    Clock::time_point when;
  };
  struct Lease {
    Clock::time_point ends;
    std::chrono::milliseconds time_to_live{};
  };

  std::string Answer(const Message& request);
  std::string AnswerRange(const std::map<std::string, std::string>& query);
  // The items as one of the replicas has them. Needs `mutex_`.
  std::map<std::string, Item> ReadReplica();
  std::string AnswerWatch(const std::map<std::string, std::string>& query);
  std::string AnswerTransaction(const std::string& body);
  std::string AnswerLease(const std::string& body);
  std::string AnswerKeep(std::int64_t lease);
  // The following need `mutex_`.
  void Write(const std::string& key,
             const std::string& value,
             std::int64_t lease);
  void Erase(const std::string& key);
  void EndLeases();
  static std::string ToJson(const std::string& key, const Item& item);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::vector<Change> changes_;
  std::map<std::int64_t, Lease> leases_;
  std::size_t page_size_ = 500;
  std::vector<std::chrono::milliseconds> replica_lags_;
  // Picks the replica of each stale read.
  std::mt19937 random_{1};
  std::int64_t revision_ = 100;
  std::int64_t last_lease_ = 70'000;
};

}  // namespace medlarspread::review

#endif  // MEDLARSPREAD_REVIEW_STANDINS_STORE_H_
