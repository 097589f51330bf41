// A queue of steps, most of which make one call to the store: one after
// another, on the control sequence. A call that fails is logged and what was to
// follow it is left out; the queue goes on with the next step.

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

// Owned by a std::shared_ptr. `done` of Run() keeps alive what the steps refer
// to.
class StoreSteps : public std::enable_shared_from_this<StoreSteps> {
 public:
  StoreSteps(store::Store store, base::Duration timeout, base::Log log);

  // Adds a step at the end. Each step has to lead to one call of Next().
  void Push(std::function<void()> step);
  void Next();
  // Runs the steps, then `done`. Must not be called while they run.
  void Run(std::function<void()> done);
  bool is_running() const { return done_ != nullptr; }

  // Each makes one call and passes the result on, or goes on with Next().
  void List(const std::string& prefix,
            std::function<void(const std::vector<store::Entry>&)> then);
  // Version 0 and an empty segment if there is none.
  void Read(const std::string& key, std::function<void(StoredSegment)> then);
  void Swap(const StoredSegment& stored,
            std::function<void(std::int64_t version)> then);

  // Each makes one call, then goes on with Next().
  void Erase(const std::string& key, std::int64_t version);
  // Lists in any case; the error is passed on.
  void TryList(const std::string& prefix, store::Store::ListCallback then);

  // Those of the entries that can be decoded; the others are logged.
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
