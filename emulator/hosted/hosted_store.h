// Emulates the store of the users' platform: keys, leases, watches and failure
// modes.
//
// Handles calls on the thread of its context; the other functions may be called
// from any thread.

#ifndef MEDLARSPREAD_EMULATOR_HOSTED_HOSTED_STORE_H_
#define MEDLARSPREAD_EMULATOR_HOSTED_HOSTED_STORE_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/http1/caller_listener.h"

namespace medlarspread::emulator {

class HostedStore {
 public:
  explicit HostedStore(boost::asio::io_context& context);

  std::string address() const;

  // Writes or removes a key, as operators and leaves do.
  void Put(const std::string& key, const std::string& value);
  // Writes a key with a value that is not valid base64.
  void PutUnreadable(const std::string& key);
  void Remove(const std::string& key);
  // While silent, the store reads calls but answers none, including waiting
  // watches.
  void set_silent(bool is_silent) { is_silent_ = is_silent; }
  // Ends all watches and discards the change history.
  void ForgetHistory();
  // Takes a backup of the current content, including leases.
  void TakeCopy();
  // Restores the last backup and starts a new era: later writes are lost, and
  // their revisions and lease IDs are reused. Closes all connections.
  void RestoreCopy();
  // Assigns the next lease ID to another client.
  void GiveOutLease();
  // From now on a page of a list has a random number of items up to
  // `most_items`, and each page of a stale read comes from a random replica.
  // One in two is current, the others are up to `most_behind` behind.
  void AddReplicas(base::Duration most_behind,
                   std::size_t most_items,
                   std::uint64_t seed);

  // Whether the key exists.
  bool Holds(const std::string& key) const;
  // The lease of the last write to the key; zero if there is none.
  std::int64_t LeaseOf(const std::string& key) const;

  // Number of calls so far, except lease renewals.
  int calls() const { return calls_; }
  // Number of watches currently waiting for a change.
  int waiting_watches() const { return waiting_; }

 private:
  struct Row {
    std::string value;
    std::int64_t revision = 0;
    bool is_removed = false;
    bool is_unreadable = false;
    std::int64_t lease = 0;
  };
  using Rows = std::map<std::string, Row>;
  struct WrittenRow {
    base::MonotonicTime at;
    std::string key;
    Row row;
  };
  // The content that a backup contains.
  struct Content {
    Rows rows;
    // All changes so far, for replicas that are behind. Never trimmed, since no
    // run lasts long.
    std::vector<WrittenRow> history;
    std::int64_t revision = 1;
    std::int64_t forgotten = 0;
    std::int64_t next_lease = 1;
    std::set<std::int64_t> leases;
  };
  struct Watch {
    std::string prefix;
    std::int64_t after = 0;
    http1::Respond respond;
  };

  http1::Abandon Handle(const http1::Request& request, http1::Respond respond);
  // Makes a JSON response; every response contains the era.
  http1::Response MakeJson(http1::Status status, const std::string& body) const;
  void OpenLease(const http1::Respond& respond);
  void KeepLease(const std::string& target, const http1::Respond& respond);
  void Range(const std::string& target, const http1::Respond& respond);
  http1::Abandon StartWatch(const std::string& target, http1::Respond respond);
  void Transact(const std::string& body, const http1::Respond& respond);
  // Returns the rows with a revision later than `after` as a JSON array,
  // including removed ones.
  std::string RowsAfter(const std::string& prefix, std::int64_t after) const;
  // The row's value as it is sent; absent if the row was removed.
  static std::optional<std::string> TextOf(const Row& row);
  // The rows as a random replica has them.
  Rows ReadReplica();
  std::size_t DrawPageItems();
  void Change(const std::string& key, Row row);
  void AnswerWatches();

  const base::Clock clock_;
  const base::TaskRunner runner_;
  std::shared_ptr<http1::CallerListener> listener_;
  // Guards `content_.rows` against the controls that read it.
  mutable std::mutex mutex_;
  Content content_;
  Content copy_;
  std::int64_t era_ = 1;
  std::map<std::uint64_t, Watch> watches_;
  std::uint64_t next_watch_ = 1;
  // Zero without replicas.
  base::Duration most_behind_{};
  // Zero: a page has all items.
  std::size_t most_items_ = 0;
  std::unique_ptr<base::Random> replica_random_;
  std::atomic<bool> is_silent_ = false;
  std::atomic<int> calls_ = 0;
  std::atomic<int> waiting_ = 0;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_HOSTED_HOSTED_STORE_H_
