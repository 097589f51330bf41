// Runs work in slots, in FIFO order.

#include "emulator/leaf/work_queue.h"

#include <utility>

namespace medlarspread::emulator {

WorkQueue::WorkQueue(int slots, int queue_limit, base::TaskRunner runner)
    : slots_(slots), queue_limit_(queue_limit), runner_(std::move(runner)) {}

bool WorkQueue::Submit(Work work) {
  if (running() >= slots_ && queued() >= queue_limit_) {
    return false;
  }
  auto entry = std::make_shared<Entry>();
  entry->work = std::move(work);
  entry->deadline =
      runner_.After(entry->work.deadline, [self = shared_from_this(), entry] {
        self->End(entry, WorkEnd::kDeadline);
      });
  queued_.push_back(entry);
  StartNext();
  return true;
}

bool WorkQueue::Cancel(const std::string& attempt_id) {
  for (const auto* list : {&running_, &queued_}) {
    for (const EntryPointer& entry : *list) {
      if (entry->work.attempt_id == attempt_id) {
        End(EntryPointer(entry), WorkEnd::kCancelled);
        return true;
      }
    }
  }
  return false;
}

void WorkQueue::StartNext() {
  while (running() < slots_ && !queued_.empty()) {
    const EntryPointer entry = queued_.front();
    queued_.pop_front();
    running_.push_back(entry);
    entry->work.did_start();
    entry->finish =
        runner_.After(entry->work.service, [self = shared_from_this(), entry] {
          self->End(entry, WorkEnd::kFinished);
        });
  }
}

void WorkQueue::End(const EntryPointer& entry, WorkEnd end) {
  const bool ran = running_.remove(entry) > 0;
  const bool was_queued = queued_.remove(entry) > 0;
  if (!ran && !was_queued) {
    return;
  }
  entry->deadline.Cancel();
  entry->finish.Cancel();
  entry->work.did_end(end, ran);
  StartNext();
}

}  // namespace medlarspread::emulator
