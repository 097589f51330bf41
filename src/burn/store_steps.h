// A queue of steps that run one after another on the control sequence; most
// make one call to the store. If a call fails, the failure is logged, the rest
// of its step is skipped, and the queue goes on with the next step.

#ifndef MEDLARSPREAD_BURN_STORE_STEPS_H_
#define MEDLARSPREAD_BURN_STORE_STEPS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/base/log.h"
#include "src/burn/roll_up.h"
#include "src/store/store.h"

namespace medlarspread::burn {

// Must be owned by a std::shared_ptr. The `done` callback of Run() must keep
// alive what the steps refer to.
class StoreSteps : public std::enable_shared_from_this<StoreSteps> {
 public:
  StoreSteps(store::Store store, base::Duration timeout, base::Log log);

  // Appends a step. Each step must lead to exactly one call of Next().
  void Push(std::function<void()> step);
  void Next();
  // Runs the steps, then `done`. Must not be called while steps are running.
  void Run(std::function<void()> done);
  bool is_running() const { return done_ != nullptr; }

  // Each makes one store call and passes the result to `then`; on failure it
  // calls Next().
  void List(const std::string& prefix,
            std::function<void(const std::vector<store::Entry>&)> then);
  // Passes version 0 and an empty segment if the key does not exist.
  void Read(const std::string& key, std::function<void(StoredSegment)> then);
  void Swap(const StoredSegment& stored,
            std::function<void(std::int64_t version)> then);

  // Makes one store call, then calls Next().
  void Erase(const std::string& key, std::int64_t version);
  // Like List(), but passes errors to `then` as well.
  void TryList(const std::string& prefix, store::Store::ListCallback then);

  // Returns the entries that can be decoded; logs the others.
  std::vector<StoredSegment> Decode(
      const std::vector<store::Entry>& entries) const;

 private:
  void DidFail(const base::Error& error);

  const store::Store store_;
  const base::Duration timeout_;
  const base::Log log_;
  std::function<void()> done_;
  std::deque<std::function<void()>> steps_;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_STORE_STEPS_H_
