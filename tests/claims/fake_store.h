// An in-memory key-value store. Tests can lose or delay the reply and the
// effect of each call separately, and restore the store from an older backup.

#ifndef MEDLARSPREAD_TESTS_CLAIMS_FAKE_STORE_H_
#define MEDLARSPREAD_TESTS_CLAIMS_FAKE_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/base/task_runner.h"
#include "src/store/store.h"

namespace medlarspread::claims {

// The fault injected into one call.
enum class StoreFault {
  kNone,
  // A write takes effect, but its reply is lost.
  kLoseReply,
  // The call is lost before it reaches the store.
  kLoseRequest,
  // A write takes effect only long after the client has timed out.
  kApplyLate,
  // The store answers that the call had no effect.
  kUnavailable,
};

class FakeStore : public std::enable_shared_from_this<FakeStore> {
 public:
  static constexpr base::Duration kDelay = base::Milliseconds(2);
  static constexpr base::Duration kLateness = base::Milliseconds(700);

  explicit FakeStore(base::TaskRunner network) : network_(network) {}

  store::Store store();

  std::function<StoreFault()> next_fault = [] { return StoreFault::kNone; };

  const std::map<std::string, store::Entry>& entries() const {
    return entries_;
  }
  // NOTE: Versions keep increasing after a restore, as the interface
  // guarantees.
  void Restore(std::map<std::string, store::Entry> entries) {
    entries_ = std::move(entries);
  }
  int calls() const { return calls_; }

 private:
  using Version = base::Result<std::int64_t>;

  void Swap(const store::Entry& wanted,
            base::Duration timeout,
            store::Store::WriteCallback callback);
  void Erase(const std::string& key,
             std::int64_t expected_version,
             base::Duration timeout,
             store::Store::EraseCallback callback);
  std::optional<store::Entry> Find(const std::string& key) const;
  Version Apply(const store::Entry& wanted);

  base::TaskRunner network_;
  std::map<std::string, store::Entry> entries_;
  std::int64_t last_version_ = 0;
  int calls_ = 0;
};

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_TESTS_CLAIMS_FAKE_STORE_H_
