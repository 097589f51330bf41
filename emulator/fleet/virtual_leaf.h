// Simulates a leaf in virtual time: slots, a queue, pauses and injected faults.

#ifndef MEDLARSPREAD_EMULATOR_FLEET_VIRTUAL_LEAF_H_
#define MEDLARSPREAD_EMULATOR_FLEET_VIRTUAL_LEAF_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "emulator/fleet/fleet_plan.h"
#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/views.h"
#include "src/upstream/leaf_port.h"

namespace medlarspread::emulator {

class VirtualLeaf : public std::enable_shared_from_this<VirtualLeaf> {
 public:
  // The faults that are currently active.
  struct Faults {
    double slowness = 1.0;
    double reset_probability = 0.0;
    double shed_probability = 0.0;
    bool is_dark = false;
  };

  struct Job {
    base::Duration work{};
    base::MonotonicTime deadline;
    // Called once, unless the leaf is dark or the job was cancelled.
    std::function<void(upstream::LeafOutcome)> done;
    // Called when a slot starts the job.
    std::function<void()> will_run;
    // If set, the leaf crashes this long after the start of the job and stays
    // down for `down`.
    std::optional<base::Duration> crash_after = {};
    base::Duration down{};
  };

  VirtualLeaf(blackboard::Upstream upstream,
              const LeafPlan& plan,
              double speed,
              base::Clock clock,
              base::TaskRunner runner,
              std::shared_ptr<base::Random> random);

  // Starts or queues the job. Returns its number, for Cancel().
  std::uint64_t Submit(Job job);
  // Cancels the job, because its connection was closed.
  void Cancel(std::uint64_t number);

  // Opens a connection. Returns false if it is reset because the leaf is at its
  // connection limit.
  bool Connect();
  // Closes a connection that was opened to process start `start`; has no effect
  // if the process has restarted since.
  void Disconnect(int start) { connections_ -= start == starts_ ? 1 : 0; }

  // The process ends: connections break, work is lost, and new connections are
  // refused until the process restarts after `down`.
  void Crash(base::Duration down);
  bool is_down() const { return is_down_; }
  // Ends the process permanently and starts a leaf of another collection at its
  // address, which rejects requests meant for this leaf.
  void ReassignAddress(const std::string& collection);
  // The collection that currently uses the address.
  const std::string& collection_at_address() const {
    return tenant_.empty() ? upstream_.collection : tenant_;
  }
  // How often the process has started; identifies the current process.
  int starts() const { return starts_; }

  Faults& faults() { return faults_; }
  const blackboard::Upstream& upstream() const { return upstream_; }
  const LeafPlan& plan() const { return plan_; }
  int resets() const { return resets_; }

 private:
  void StartNext();
  void Run(std::uint64_t number, Job job);
  void End(std::uint64_t number, upstream::LeafOutcome outcome);
  // Completion time of work that starts now, including pauses.
  base::MonotonicTime CompletionTime(base::Duration work) const;

  const blackboard::Upstream upstream_;
  const LeafPlan plan_;
  const double speed_;
  const base::Clock clock_;
  const base::TaskRunner runner_;
  const std::shared_ptr<base::Random> random_;
  // Offset of the start of pauses from multiples of the pause interval.
  const base::Duration pause_phase_;
  Faults faults_;
  std::deque<std::pair<std::uint64_t, Job>> queue_;
  // Invariant: size() <= plan_.slots.
  std::map<std::uint64_t, Job> running_;
  std::uint64_t numbers_ = 0;
  int connections_ = 0;
  int starts_ = 1;
  bool is_down_ = false;
  // The collection that took over the address; empty if none did.
  std::string tenant_;
  // Connections reset because of the connection limit.
  int resets_ = 0;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_FLEET_VIRTUAL_LEAF_H_
