// The platform's metadata store: keys, leases, watches and transactions, with
// one revision counter and linearizable answers.

#ifndef MEDLARSPREAD_REVIEW_STANDINS_2_STORE_H_
#define MEDLARSPREAD_REVIEW_STANDINS_2_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "review/standins-2/record.h"
#include "review/standins-2/wire.h"

namespace medlarspread::review {

class Store {
 public:
  explicit Store(Record& record);

  std::string address() const { return listener_.address(); }

  // Writes or removes a key, as the operator and the leaves do. Returns the
  // time of the acknowledgement.
  Time Put(const std::string& key, const std::string& value);
  Time Remove(const std::string& key);
  // Like Put(), but the store loses its answer to the watch that began last. As
  // PROTOCOL says, that connection returns nothing further.
  Time PutAndLoseOneAnswer(const std::string& key, const std::string& value);

  // The connections that are open now go silent for good: nothing is answered
  // on them and none is closed. New connections work.
  Time SilenceOpenConnections();

  // The watches that wait now.
  int waiting_watches() const;
  // When the last of them began; absent if none waits.
  std::optional<Time> last_watch_began() const;
  // When a lease was last renewed.
  Time last_renewal() const;

 private:
  struct Item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct Change {
    std::string key;
    std::int64_t revision = 0;
    // Absent for a removal.
    std::optional<Item> item;
  };
  struct Lease {
    milliseconds time_to_live{};
    Time ends;
  };
  struct Watch {
    Time began;
    bool is_answer_lost = false;
  };
  // One connection of a client.
  struct Peer {
    std::int64_t number = 0;
    bool is_silent = false;
  };

  void Serve(int socket);
  // The answer to a call; absent if it is lost.
  std::optional<std::string> Handle(int socket,
                                    Peer& peer,
                                    const Message& call);
  std::optional<std::string> HandleWatch(int socket,
                                         Peer& peer,
                                         const std::string& target);
  std::string HandleRange(const std::string& target);
  std::string HandleKey(const std::string& target);
  std::string HandleTransaction(const std::string& body);
  std::string HandleOpenLease(const std::string& body);
  std::string HandleKeepLease(const std::string& target);
  std::string HandleEndLease(const std::string& target);

  // These need the lock.
  void WriteItem(const std::string& key,
                 const std::string& value,
                 std::int64_t lease);
  void RemoveItem(const std::string& key);
  void EndLeases();
  std::string EventsAfter(const std::string& prefix, std::int64_t after) const;

  Record& record_;
  mutable std::mutex mutex_;
  std::condition_variable did_change_;
  std::int64_t revision_ = 1;
  std::int64_t next_lease_ = 1;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  std::map<std::int64_t, Lease> leases_;
  std::list<Watch> watches_;
  std::set<std::shared_ptr<Peer>> peers_;
  std::int64_t next_peer_ = 1;
  Time last_renewal_;
  Listener listener_;
};

}  // namespace medlarspread::review

#endif  // MEDLARSPREAD_REVIEW_STANDINS_2_STORE_H_
