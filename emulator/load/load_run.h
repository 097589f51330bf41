// An open-loop load run: requests are sent at their scheduled times, regardless
// of outstanding responses, and latency counts from the scheduled time.

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
  // The daemons' addresses for callers; each request goes to one of them.
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

  // Calls `did_end` on the runner's sequence once every request has been
  // answered or has failed.
  void Start(base::Task did_end);
  // One report per class, in the order of the settings.
  const std::vector<ClassReport>& reports() const { return reports_; }

 private:
  // How long after its deadline a request waits for a response until it fails.
  static constexpr base::Duration kGrace = base::Milliseconds(5000);

  void ScheduleNext(std::size_t index, base::MonotonicTime previous_due);
  void SendRequest(std::size_t index, base::MonotonicTime due);
  void EndIfComplete();

  const LoadSettings settings_;
  const base::Clock clock_;
  const base::TaskRunner runner_;
  base::Random random_;
  std::vector<std::unique_ptr<http::Client>> clients_;
  std::vector<ClassReport> reports_;
  base::MonotonicTime end_;
  // Number of classes with requests left to send.
  int active_classes_ = 0;
  std::uint64_t next_query_ = 1;
  base::Task did_end_;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LOAD_LOAD_RUN_H_
