// A leaf in virtual time: slots, a queue, pauses, and whatever is wrong with
// it.

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
  // What is wrong with a leaf at the moment.
  struct Faults {
    double slowness = 1.0;
    double reset_probability = 0.0;
    double shed_probability = 0.0;
    bool is_dark = false;
  };

  struct Job {
    base::Duration work{};
    base::MonotonicTime deadline;
    // Called once, unless the leaf is dark or the job was dropped.
    std::function<void(upstream::LeafOutcome)> done;
    // Called when a slot takes the job.
    std::function<void()> will_run;
    // If set, the run ends this leaf after so long, for the time `down`.
    std::optional<base::Duration> crash_after = {};
    base::Duration down{};
  };

  VirtualLeaf(blackboard::Upstream upstream,
              const LeafPlan& plan,
              double speed,
              base::Clock clock,
              base::TaskRunner runner,
              std::shared_ptr<base::Random> random);

  // The job's number, for Drop().
  std::uint64_t Take(Job job);
  // The connection of the job was closed: the work on it ends.
  void Drop(std::uint64_t number);

  // False if all connections are taken: the new one is reset.
  bool Connect();
  // Of a connection to that start of the leaf.
  void Disconnect(int start) { connections_ -= start == starts_ ? 1 : 0; }

  // The process ends: connections break, work is lost, and new connections are
  // refused until it is back.
  void Crash(base::Duration down);
  bool is_down() const { return is_down_; }
  // The process has ended for good, and one of another collection starts at its
  // address. It tells whoever asks for this one that it is another.
  void GiveAddressTo(const std::string& collection);
  // Which collection has the address now.
  const std::string& collection_at_address() const {
    return tenant_.empty() ? upstream_.collection : tenant_;
  }
  // How often the process has started; names its present start.
  int starts() const { return starts_; }

  Faults& faults() { return faults_; }
  const blackboard::Upstream& upstream() const { return upstream_; }
  const LeafPlan& plan() const { return plan_; }
  int resets() const { return resets_; }

 private:
  void StartNext();
  void Run(std::uint64_t number, Job job);
  void End(std::uint64_t number, upstream::LeafOutcome outcome);
  // When work that starts now is done, pauses included.
  base::MonotonicTime EndOf(base::Duration work) const;

  const blackboard::Upstream upstream_;
  const LeafPlan plan_;
  const double speed_;
  const base::Clock clock_;
  const base::TaskRunner runner_;
  const std::shared_ptr<base::Random> random_;
  // When its pauses begin, after a multiple of the interval.
  const base::Duration pause_phase_;
  Faults faults_;
  std::deque<std::pair<std::uint64_t, Job>> queue_;
  // Invariant: no more than the slots.
  std::map<std::uint64_t, Job> running_;
  std::uint64_t numbers_ = 0;
  int connections_ = 0;
  int starts_ = 1;
  bool is_down_ = false;
  // The collection that has the address now; empty while this leaf has it.
  std::string tenant_;
  // Connections beyond the cap.
  int resets_ = 0;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_FLEET_VIRTUAL_LEAF_H_
