// A stand-in for the store of the users' platform: keys, leases, watches, and
// the ways in which it fails.
//
// Runs on the thread of its context; the controls may be called from others.

#ifndef MEDLARSPREAD_EMULATOR_HOSTED_HOSTED_STORE_H_
#define MEDLARSPREAD_EMULATOR_HOSTED_HOSTED_STORE_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "src/base/task_runner.h"
#include "src/http1/caller_listener.h"

namespace medlarspread::emulator {

class HostedStore {
 public:
  explicit HostedStore(boost::asio::io_context& context);

  std::string address() const;

  // Writes or removes a key as the operators and the leaves do.
  void Put(const std::string& key, const std::string& value);
  // The same with a value that is no base64.
  void PutUnreadable(const std::string& key);
  void Remove(const std::string& key);
  // While silent, it reads calls and answers none, those that wait included.
  void set_silent(bool is_silent) { is_silent_ = is_silent; }
  // Cuts all watches and forgets the changes up to now.
  void ForgetHistory();
  // Keeps a copy of everything as it is now, leases included.
  void TakeCopy();
  // Comes back as it was at the last copy, in a new era: what was written since
  // is lost, and its revisions and leases are given out again. All connections
  // are cut.
  void RestoreCopy();
  // Gives the next lease out to somebody else.
  void GiveOutLease();

  // Whether somebody has written the key.
  bool Holds(const std::string& key) const;
  // The lease under which the key was written last; zero if there is none.
  std::int64_t LeaseOf(const std::string& key) const;

  // Calls so far, without renewals.
  int calls() const { return calls_; }
  // Watches that wait for a change now.
  int waiting_watches() const { return waiting_; }

 private:
  struct Row {
    std::string value;
    std::int64_t revision = 0;
    bool is_removed = false;
    bool is_unreadable = false;
    std::int64_t lease = 0;
  };
  // What a copy holds.
  struct Content {
    std::map<std::string, Row> rows;
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
  // Every answer names the era.
  http1::Response MakeJson(http1::Status status, const std::string& body) const;
  void OpenLease(const http1::Respond& respond);
  void KeepLease(const std::string& target, const http1::Respond& respond);
  void Range(const std::string& target, const http1::Respond& respond);
  http1::Abandon StartWatch(const std::string& target, http1::Respond respond);
  void Transact(const std::string& body, const http1::Respond& respond);
  // All rows, removed ones too, with a later revision, as a JSON array.
  std::string RowsAfter(const std::string& prefix,
                        std::int64_t after,
                        bool with_removed) const;
  void Change(const std::string& key, Row row);
  void AnswerWatches();

  const base::TaskRunner runner_;
  std::shared_ptr<http1::CallerListener> listener_;
  // Guards `content_.rows` against the controls that read it.
  mutable std::mutex mutex_;
  Content content_;
  Content copy_;
  std::int64_t era_ = 1;
  std::map<std::uint64_t, Watch> watches_;
  std::uint64_t next_watch_ = 1;
  std::atomic<bool> is_silent_ = false;
  std::atomic<int> calls_ = 0;
  std::atomic<int> waiting_ = 0;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_HOSTED_HOSTED_STORE_H_
