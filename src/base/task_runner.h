// A TaskRunner executes tasks one at a time and in order. In a daemon it is a
// sequence (strand) on the control thread or on the traffic threads; in tests
// it is a manual queue whose time the test advances.

#ifndef MEDLARSPREAD_BASE_TASK_RUNNER_H_
#define MEDLARSPREAD_BASE_TASK_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include "src/base/clock.h"

namespace medlarspread::base {

using Task = std::function<void()>;

// A handle to a timer that TaskRunner::After started. Destroying the handle
// does not stop the timer. NOTE: a task that is already queued may still run
// after a Cancel() on another sequence, but never after a Cancel() on its own.
class Timer {
 public:
  Timer() = default;
  explicit Timer(Task cancel) : cancel_(std::move(cancel)) {}
  void Cancel();

 private:
  Task cancel_;
};

// The task queue of all sequences of one test, with manual time.
// Single-threaded.
class ManualScheduler {
 public:
  explicit ManualScheduler(std::shared_ptr<ManualTime> time)
      : time_(std::move(time)) {}

  std::uint64_t Add(MonotonicTime due, Task task);
  void Remove(std::uint64_t id);
  MonotonicTime Now() const { return {time_->monotonic_microseconds()}; }

  // Runs all tasks that are due now.
  void RunReady();
  // Advances time by `duration` and runs each task at its due time.
  void Advance(Duration duration);

 private:
  std::shared_ptr<ManualTime> time_;
  std::uint64_t next_id_ = 1;
  // Ordered by due time, then by insertion, so that runs are reproducible.
  std::map<std::pair<std::int64_t, std::uint64_t>, Task> tasks_;
};

class TaskRunner {
 public:
  // A new sequence on the threads that run `context`.
  explicit TaskRunner(boost::asio::io_context& context);
  explicit TaskRunner(std::shared_ptr<ManualScheduler> scheduler);

  // Runs `task` later on this sequence, never inside the call.
  void Post(Task task) const;
  // Runs `task` on this sequence once `delay` has passed.
  Timer After(Duration delay, Task task) const;
  // A new sequence on the same threads.
  TaskRunner MakeSequence() const;

 private:
  struct Threads {
    boost::asio::io_context* context;
    boost::asio::strand<boost::asio::io_context::executor_type> strand;
  };
  std::variant<Threads, std::shared_ptr<ManualScheduler>> target_;
};

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_TASK_RUNNER_H_
