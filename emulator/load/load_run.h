// An open-loop load run: requests are asked when they are due, however the
// system fares, and latency counts from when they were due.

#ifndef MEDLARSPREAD_EMULATOR_LOAD_LOAD_RUN_H_
#define MEDLARSPREAD_EMULATOR_LOAD_LOAD_RUN_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "emulator/load/class_report.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/http/client.h"

namespace medlarspread::emulator {

struct LoadSettings {
  // The callers' addresses of the daemons; each request goes to one of them.
  std::vector<std::string> targets;
  std::vector<ClassLoad> classes;
  base::Duration length = base::Milliseconds(10000);
  std::uint64_t seed = 1;
};

class LoadRun : public std::enable_shared_from_this<LoadRun> {
 public:
  LoadRun(const LoadSettings& settings,
          base::Clock clock,
          base::TaskRunner runner);

  // Calls `did_end` on the runner's sequence once every request is answered or
  // given up.
  void Start(base::Task did_end);
  // One per class, in the order of the settings.
  const std::vector<ClassReport>& reports() const { return reports_; }

 private:
  // A response that comes even later than this after its deadline is lost.
  static constexpr base::Duration kGrace = base::Milliseconds(5000);

  void ScheduleNext(std::size_t index, base::MonotonicTime previous_due);
  void Ask(std::size_t index, base::MonotonicTime due);
  void EndIfComplete();

  const LoadSettings settings_;
  const base::Clock clock_;
  const base::TaskRunner runner_;
  base::Random random_;
  std::vector<std::unique_ptr<http::Client>> clients_;
  std::vector<ClassReport> reports_;
  base::MonotonicTime end_;
  // Classes that have more to ask.
  int asking_ = 0;
  std::uint64_t next_query_ = 1;
  base::Task did_end_;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LOAD_LOAD_RUN_H_
