// Starts programs for a test, learns their addresses from the line of JSON
// that they print when ready, signals them by identifier and ends them all
// when the group goes. The product itself starts no process; its tests do.

#ifndef MEDLARSPREAD_TESTS_SUPPORT_PROCESS_GROUP_H_
#define MEDLARSPREAD_TESTS_SUPPORT_PROCESS_GROUP_H_

#include <sys/types.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlarspread::tests {

// How long a test waits for a condition that must come true.
constexpr std::chrono::milliseconds kPatience(20000);

// Waits until `condition` holds; false if it does not within `bound`.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds bound = kPatience);

// The string fields of one ready line, by name.
using ReadyFields = std::map<std::string, std::string>;

class Process {
 public:
  // Starts `program`; its standard error goes to the test's.
  Process(const std::string& program,
          const std::vector<std::string>& arguments);
  // Kills the process if it still runs.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // The next ready line on standard output, or nothing if the process ends or
  // `bound` passes first.
  std::optional<ReadyFields> AwaitReady(
      std::chrono::milliseconds bound = kPatience);
  // All that it prints from here until it ends.
  std::string ReadToEnd(std::chrono::milliseconds bound = kPatience);

  void Signal(int signal) const;
  // The exit status, or 128 plus the signal that ended it, as in a shell;
  // nothing if it still runs when `bound` has passed.
  std::optional<int> AwaitExit(std::chrono::milliseconds bound = kPatience);

 private:
  // False at the end of the output or once `deadline` has passed.
  bool ReadMore(std::chrono::steady_clock::time_point deadline);

  pid_t identifier_ = -1;
  int output_ = -1;
  // Read from output_ and not yet consumed.
  std::string buffer_;
  std::optional<int> exit_status_;
};

class ProcessGroup {
 public:
  ProcessGroup() = default;
  // Kills the processes, the last one first.
  ~ProcessGroup();
  ProcessGroup(const ProcessGroup&) = delete;
  ProcessGroup& operator=(const ProcessGroup&) = delete;

  // The process lives until the group goes.
  Process& Start(const std::string& program,
                 const std::vector<std::string>& arguments);

 private:
  std::vector<std::unique_ptr<Process>> processes_;
};

}  // namespace medlarspread::tests

#endif  // MEDLARSPREAD_TESTS_SUPPORT_PROCESS_GROUP_H_
