// Implements base::TaskRunner with Asio strands and the manual scheduler.

#include "src/base/task_runner.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>

#include "src/base/boot_timer.h"

namespace medlarspread::base {

void Timer::Cancel() {
  if (cancel_) {
    std::exchange(cancel_, nullptr)();
  }
}

std::uint64_t ManualScheduler::Add(MonotonicTime due, Task task) {
  const std::uint64_t id = next_id_++;
  tasks_.emplace(std::pair(due.microseconds, id), std::move(task));
  return id;
}

void ManualScheduler::Remove(std::uint64_t id) {
  std::erase_if(tasks_,
                [id](const auto& row) { return row.first.second == id; });
}

void ManualScheduler::RunReady() {
  while (!tasks_.empty() && tasks_.begin()->first.first <= Now().microseconds) {
    auto node = tasks_.extract(tasks_.begin());
    node.mapped()();
  }
}

void ManualScheduler::Advance(Duration duration) {
  const MonotonicTime end = Now() + duration;
  RunReady();
  while (!tasks_.empty() && tasks_.begin()->first.first <= end.microseconds) {
    time_->Advance(MonotonicTime{tasks_.begin()->first.first} - Now());
    RunReady();
  }
  time_->Advance(end - Now());
}

TaskRunner::TaskRunner(boost::asio::io_context& context)
    : target_(Threads{&context, boost::asio::make_strand(context)}) {}

TaskRunner::TaskRunner(std::shared_ptr<ManualScheduler> scheduler)
    : target_(std::move(scheduler)) {}

void TaskRunner::Post(Task task) const {
  if (const auto* threads = std::get_if<Threads>(&target_)) {
    boost::asio::post(threads->strand, std::move(task));
    return;
  }
  const auto& scheduler = std::get<std::shared_ptr<ManualScheduler>>(target_);
  scheduler->Add(scheduler->Now(), std::move(task));
}

Timer TaskRunner::After(Duration delay, Task task) const {
  if (const auto* manual =
          std::get_if<std::shared_ptr<ManualScheduler>>(&target_)) {
    const auto& scheduler = *manual;
    const auto id = scheduler->Add(scheduler->Now() + delay, std::move(task));
    return Timer([scheduler, id] { scheduler->Remove(id); });
  }
  const auto& threads = std::get<Threads>(target_);
  auto timer = std::make_shared<BootTimer>(*threads.context);
  auto cancelled = std::make_shared<std::atomic<bool>>(false);
  timer->expires_after(delay);
  // The handler keeps the timer alive. It runs on the strand, so a Cancel() on
  // the same sequence always takes effect before a handler that has not run
  // yet.
  timer->async_wait(boost::asio::bind_executor(
      threads.strand, [timer, cancelled, task = std::move(task)](
                          const boost::system::error_code& error) {
        if (!error && !cancelled->load()) {
          task();
        }
      }));
  // NOTE: an Asio timer is not thread-safe, so its cancellation is posted to
  // the strand; the flag makes Cancel() effective at once.
  return Timer([timer, cancelled, strand = threads.strand] {
    cancelled->store(true);
    boost::asio::post(strand, [timer] { timer->cancel(); });
  });
}

TaskRunner TaskRunner::MakeSequence() const {
  if (const auto* threads = std::get_if<Threads>(&target_)) {
    return TaskRunner(*threads->context);
  }
  return TaskRunner(std::get<std::shared_ptr<ManualScheduler>>(target_));
}

}  // namespace medlarspread::base
