// In-memory version of the platform's key-value service that simulates the
// failures which the burn report must handle: outages, lost replies and
// rejected writes.

#ifndef MEDLARSPREAD_TESTS_BURN_FAKE_STORE_H_
#define MEDLARSPREAD_TESTS_BURN_FAKE_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "src/base/task_runner.h"
#include "src/store/store.h"

namespace medlarspread::burn {

class FakeStore {
 public:
  explicit FakeStore(base::TaskRunner runner) : runner_(std::move(runner)) {}

  // Returns the store as seen by the VM `vm`; callbacks run on `runner`.
  store::Store StoreFor(const std::string& vm, base::TaskRunner runner);

  void set_available(bool is_available) { is_available_ = is_available; }
  void CutOff(const std::string& vm, bool is_cut) { is_cut_[vm] = is_cut; }
  // The next writes take effect, but their replies are lost.
  void LoseReplies(int count) { replies_to_lose_ = count; }
  // The next write of `vm` takes effect, but its reply is lost and the VM is
  // cut off from the store.
  void CutOffWithNextWrite(const std::string& vm) { cut_with_write_ = vm; }
  // Makes erasing keys with this prefix fail; an empty prefix ends the failure.
  void FailErasesOf(const std::string& prefix) { unerasable_ = prefix; }
  // The next writes are lost before they take effect; the writer gets an
  // unknown outcome here too.
  void LoseWrites(int count) { writes_to_lose_ = count; }

  // Runs for each write that takes effect.
  std::function<void(const store::Entry&)> did_write;

  std::map<std::string, store::Entry>& entries() { return entries_; }
  std::int64_t write_calls() const { return write_calls_; }
  std::int64_t read_calls() const { return read_calls_; }

 private:
  bool IsReachable(const std::string& vm) const;
  std::optional<store::Entry> Read(const std::string& key) const;
  base::Result<std::int64_t> Swap(const std::string& vm,
                                  const std::string& key,
                                  const std::string& value,
                                  std::int64_t expected_version);
  base::Result<std::vector<store::Entry>> List(const std::string& prefix);
  base::Status Erase(const std::string& key, std::int64_t expected_version);

  const base::TaskRunner runner_;
  std::map<std::string, store::Entry> entries_;
  std::int64_t last_version_ = 0;
  bool is_available_ = true;
  std::map<std::string, bool> is_cut_;
  std::string cut_with_write_;
  std::string unerasable_;
  int replies_to_lose_ = 0;
  int writes_to_lose_ = 0;
  std::int64_t write_calls_ = 0;
  std::int64_t read_calls_ = 0;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_TESTS_BURN_FAKE_STORE_H_
