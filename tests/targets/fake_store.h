// A key-value service that runs on the test's scheduler and simulates faults:
// outages, lost replies, writes that take effect late, and restores.

#ifndef MEDLARSPREAD_TESTS_TARGETS_FAKE_STORE_H_
#define MEDLARSPREAD_TESTS_TARGETS_FAKE_STORE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "src/base/task_runner.h"
#include "src/store/store.h"

namespace medlarspread::targets {

// What happens to a call.
enum class StoreFault {
  kNone,
  // Rejected without effect: kUnavailable for reads, kUnreachable for writes.
  kDown,
  // No reply, and no effect.
  kSilent,
  // A write takes effect, but its reply is lost. Reads get no reply.
  kLostReply,
  // As kLostReply, but the write takes effect only `late_by` after the call.
  kLate,
};

// Single-threaded. Must outlive the scheduler's tasks.
class FakeStore {
 public:
  explicit FakeStore(base::TaskRunner runner) : runner_(std::move(runner)) {}

  store::Store store();

  // Chooses the fault of each call; without it no call fails.
  std::function<StoreFault(bool is_write)> choose_fault;
  // Runs once, just before the next write takes effect or is rejected.
  std::function<void()> before_next_write;
  base::Duration late_by = base::Milliseconds(2500);

  // Returns the entry, or nothing.
  std::optional<store::Entry> Get(const std::string& key) const;
  // Restores an older entry, or its absence. Versions keep increasing unless
  // the entry's own version is to be restored as well.
  void Restore(const std::string& key,
               const std::optional<store::Entry>& entry,
               bool is_version_restored);

  int reads() const { return reads_; }
  int writes() const { return writes_; }
  int watches() const { return watches_; }

 private:
  struct Waiter {
    std::string key;
    std::int64_t after_version;
    store::Store::ReadCallback callback;
  };

  StoreFault ChooseFault(bool is_write);
  void Read(const std::string& key,
            base::Duration timeout,
            const store::Store::ReadCallback& callback);
  void Write(const std::string& key,
             const std::string& value,
             std::int64_t expected_version,
             base::Duration timeout,
             const store::Store::WriteCallback& callback);
  void Watch(const std::string& key,
             std::int64_t after_version,
             base::Duration wait,
             const store::Store::ReadCallback& callback);
  // Returns the new version, or nothing if the key has another version than
  // expected.
  std::optional<std::int64_t> Swap(const std::string& key,
                                   const std::string& value,
                                   std::int64_t expected_version);
  void WakeWaiters();

  base::TaskRunner runner_;
  std::map<std::string, store::Entry> entries_;
  std::int64_t next_version_ = 1;
  std::list<std::shared_ptr<Waiter>> waiters_;
  int reads_ = 0;
  int writes_ = 0;
  int watches_ = 0;
};

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TESTS_TARGETS_FAKE_STORE_H_
