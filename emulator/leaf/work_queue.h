// The slots of one leaf and the bounded queue before them. Work ends when its
// service time has passed, at its deadline, or when it is cancelled; each frees
// its slot at once. All calls come from the runner's sequence.

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
  // Runs when a slot starts on the work.
  std::function<void()> did_start;
  // Runs once; `ran` says whether a slot had started on it.
  std::function<void(WorkEnd end, bool ran)> did_end;
};

class WorkQueue : public std::enable_shared_from_this<WorkQueue> {
 public:
  WorkQueue(int slots, int queue_limit, base::TaskRunner runner);

  // False if the queue is full; the work is then dropped unseen.
  bool Submit(Work work);
  // Whether the attempt was queued or running.
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
  // Never more than slots_; queued_ is empty unless all slots are taken.
  std::list<EntryPointer> running_;
  std::list<EntryPointer> queued_;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LEAF_WORK_QUEUE_H_
