// The thread that runs all controllers. They share one sequence (strand), so
// they need no locks against each other.

#ifndef MEDLARSPREAD_DAEMON_CONTROL_THREAD_H_
#define MEDLARSPREAD_DAEMON_CONTROL_THREAD_H_

#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "src/base/task_runner.h"

namespace medlarspread::daemon {

class ControlThread {
 public:
  ControlThread()
      : work_(boost::asio::make_work_guard(context_)),
        runner_(context_),
        thread_([this] { context_.run(); }) {}
  ~ControlThread() {
    context_.stop();
    thread_.join();
  }
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  boost::asio::io_context& context() { return context_; }
  // Posts to the sequence that all controllers share.
  const base::TaskRunner& runner() const { return runner_; }

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  const base::TaskRunner runner_;
  std::thread thread_;
};

}  // namespace medlarspread::daemon

#endif  // MEDLARSPREAD_DAEMON_CONTROL_THREAD_H_
