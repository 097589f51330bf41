// The slots of one leaf and the bounded queue in front of them. Work ends after
// its service time, at its deadline or on cancellation, which frees its slot
// immediately. All calls must be on the runner's sequence.

#ifndef MEDLARSPREAD_EMULATOR_LEAF_WORK_QUEUE_H_
#define MEDLARSPREAD_EMULATOR_LEAF_WORK_QUEUE_H_

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "src/base/task_runner.h"

namespace medlarspread::emulator {

enum class WorkEnd { kFinished, kDeadline, kCancelled };

struct Work {
  std::string attempt_id;
  base::Duration deadline{};
  base::Duration service{};
  // Called when a slot starts the work.
  std::function<void()> did_start;
  // Called once; `ran` is whether a slot had started the work.
  std::function<void(WorkEnd end, bool ran)> did_end;
};

class WorkQueue : public std::enable_shared_from_this<WorkQueue> {
 public:
  WorkQueue(int slots, int queue_limit, base::TaskRunner runner);

  // Returns false if the queue is full; no callback of the work is then called.
  bool Submit(Work work);
  // Cancels the attempt. Returns whether it was queued or running.
  bool Cancel(const std::string& attempt_id);

  int running() const { return static_cast<int>(running_.size()); }
  int queued() const { return static_cast<int>(queued_.size()); }

 private:
  struct Entry {
    Work work;
    base::Timer deadline;
    base::Timer finish;
  };
  using EntryPointer = std::shared_ptr<Entry>;

  void StartNext();
  void End(const EntryPointer& entry, WorkEnd end);

  const int slots_;
  const int queue_limit_;
  const base::TaskRunner runner_;
  // Invariant: running_.size() <= slots_, and queued_ is empty unless all slots
  // are in use.
  std::list<EntryPointer> running_;
  std::list<EntryPointer> queued_;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LEAF_WORK_QUEUE_H_
