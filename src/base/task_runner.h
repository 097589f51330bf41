// Where work runs. A TaskRunner executes tasks one after another, in order,
// never two at once. On a daemon it is a sequence (strand) over the control
// thread or over the traffic threads; in tests it is a manual queue whose time
// the test moves.

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

// A timer that was started by TaskRunner::After. Dropping the handle does not
// stop the timer. NOTE: a task that is already queued may still run after
// Cancel() from another sequence; from its own sequence it never does.
class Timer {
 public:
  Timer() = default;
  explicit Timer(Task cancel) : cancel_(std::move(cancel)) {}
  void Cancel();

 private:
  Task cancel_;
};

// The queue of all ManualRunner-backed sequences of one test. Single-threaded.
class ManualScheduler {
 public:
  explicit ManualScheduler(std::shared_ptr<ManualTime> time)
      : time_(std::move(time)) {}

  std::uint64_t Add(MonotonicTime due, Task task);
  void Remove(std::uint64_t id);
  MonotonicTime Now() const { return {time_->monotonic_microseconds()}; }

  // Runs everything that is due now.
  void RunReady();
  // Moves time forward by `duration`, running each task at its due time.
  void Advance(Duration duration);

 private:
  std::shared_ptr<ManualTime> time_;
  std::uint64_t next_id_ = 1;
  // Ordered by due time, then by insertion: that makes runs repeatable.
  std::map<std::pair<std::int64_t, std::uint64_t>, Task> tasks_;
};

class TaskRunner {
 public:
  // A new sequence over the threads that run `context`.
  explicit TaskRunner(boost::asio::io_context& context);
  explicit TaskRunner(std::shared_ptr<ManualScheduler> scheduler);

  // Runs `task` later on this sequence, never inside the call.
  void Post(Task task) const;
  // Runs `task` on this sequence once `delay` has passed.
  Timer After(Duration delay, Task task) const;
  // Another sequence over the same threads.
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
