// Simulates a fleet of daemons, its leaves and its callers in one process and
// in virtual time. The daemons run the production code; the network, the
// leaves, the store and the callers are modelled. Runs are deterministic for a
// plan and seed.
//
// Steps of a run:
//   1. Create leaves, daemons and routes from the plan.
//   2. Callers send requests at random times. A caller retries once: after the
//      retry delay in a refusal, or at once after a failure.
//   3. Faults begin and end.
//   4. Count the results at callers and leaves and check the invariants.

#ifndef MEDLARSPREAD_EMULATOR_FLEET_VIRTUAL_FLEET_H_
#define MEDLARSPREAD_EMULATOR_FLEET_VIRTUAL_FLEET_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "emulator/fleet/fleet_plan.h"
#include "emulator/fleet/virtual_daemon.h"
#include "emulator/support/arrival_record.h"

namespace medlarspread::emulator {

// Results at the callers of one class, for the requests sent in a time
// interval. A request belongs to the interval of its first attempt.
struct CallerCounts {
  int asked = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int failed = 0;
  // Shards missing from answers that arrived in time.
  int missing = 0;
  // Sum over the answers in time of the squared fraction of shards included.
  double credit = 0.0;
  // Times from the first attempt to the answer, of answered requests.
  std::vector<base::Duration> latencies;

  double share_in_time() const;
  // Average credit per request.
  double mean_credit() const;
  CallerCounts& operator+=(const CallerCounts& other);
};

struct FleetReport {
  // By class, then by second.
  std::map<std::string, std::vector<CallerCounts>> classes;
  int sends = 0;
  int extra_sends = 0;
  int connection_resets = 0;
  // Leaf crashes caused by deadly requests.
  int deadly_crashes = 0;
  // See FleetWorld::convictions.
  int convictions = 0;
  int store_writes = 0;
  // Distinct requests with a verdict in the store.
  int verdicts = 0;
  // Verdicts that still block a request.
  int standing_verdicts = 0;
  // Attempts that reached leaves after FleetPlan::known_after: the maximum over
  // all deadly requests.
  int deadly_retries = 0;
  // Invariant violations; empty if the run passed.
  std::vector<std::string> violations;

  // Total over the seconds [first, last) and over all classes or class `name`.
  CallerCounts Sum(int first, int last, const std::string& name = "") const;
};

class VirtualFleet {
 public:
  explicit VirtualFleet(FleetPlan plan);
  ~VirtualFleet();

  FleetReport Run();

 private:
  // One request of a caller, across all attempts.
  struct CallerRequest {
    int class_index = 0;
    int second = 0;
    base::MonotonicTime began;
    int attempts = 0;
    std::string target;
    // Null for ordinary requests. Only those count in CallerCounts.
    const DeadlyRequest* deadly = nullptr;
  };

  // Effects of a deadly request.
  struct DeadlyCounts {
    int crashes = 0;
    // Set at the third crash.
    std::optional<base::MonotonicTime> known_at;
    std::set<std::string> attempts_after_known;
  };

  void AddLeaf(const std::string& collection,
               int region,
               int domain,
               const LeafPlan& plan,
               double speed);
  void MakeLeaves();
  void MakeRoutes();
  void MakeDaemons();
  void StartDaemons();
  void ScheduleFaults();
  void Begin(const Fault& fault);
  // Freeze or mute the daemons that a fault applies to.
  void Freeze(const Fault& fault);
  void Mute(const Fault& fault);
  void End(const Fault& fault);
  // Randomly selects the leaves that a fault applies to.
  std::vector<std::shared_ptr<VirtualLeaf>> SelectLeaves(const Fault& fault);
  void ScheduleCaller(int class_index);
  void ScheduleDeadly(const DeadlyRequest& deadly);
  void CheckDeadly();
  void SendAttempt(const std::shared_ptr<CallerRequest>& caller_request);
  void DidAnswer(const std::shared_ptr<CallerRequest>& caller_request,
                 const std::string& request_id,
                 const query::ForwardedAnswer& answer);
  void Retry(const std::shared_ptr<CallerRequest>& caller_request,
             base::Duration pause);
  VirtualDaemon* PickDaemon();
  CallerCounts& CountsOf(const CallerRequest& caller_request);
  void CountArrival(const std::string& request_id, const std::string& leaf);
  void CheckExtraSends();
  void RecordViolation(const std::string& what);
  base::MonotonicTime start() const { return {}; }

  const FleetPlan plan_;
  const std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(0, 0);
  const std::shared_ptr<base::ManualScheduler> scheduler_ =
      std::make_shared<base::ManualScheduler>(time_);
  const base::Clock clock_{time_};
  const base::TaskRunner runner_{scheduler_};
  // Separate random streams, so that requests and faults are the same whatever
  // the daemons decide and policies can be compared.
  base::Random arrivals_random_;
  base::Random fault_random_;
  const std::shared_ptr<base::Random> random_;
  FleetWorld world_;
  blackboard::MembershipView members_;
  blackboard::UpstreamsView leaves_;
  blackboard::RoutesView routes_;
  // Null while a daemon is without power.
  std::vector<std::unique_ptr<VirtualDaemon>> daemons_;
  // Daemons that lost power; kept alive because their sessions refer to them.
  std::vector<std::unique_ptr<VirtualDaemon>> dead_;
  std::map<const Fault*, std::vector<std::shared_ptr<VirtualLeaf>>>
      affected_leaves_;
  double burst_ = 1.0;
  std::map<const DeadlyRequest*, DeadlyCounts> deadly_;
  // By request ID.
  std::map<std::string, const DeadlyRequest*> deadly_by_request_;
  int requests_ = 0;
  // By request ID: the index of its class, and how often leaves ran it.
  std::map<std::string, int> class_by_request_;
  std::map<std::string, int> runs_;
  ArrivalRecord arrivals_;
  FleetReport report_;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_FLEET_VIRTUAL_FLEET_H_
