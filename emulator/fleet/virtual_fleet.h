// A fleet of daemons, its leaves and its callers in one process and in virtual
// time: the production code decides, only its surroundings are modelled. The
// same plan and seed give the same run.
//
// Steps of a run:
//   1. leaves, daemons and routes are made from the plan;
//   2. callers send requests at random times; one that is refused comes back
//      once, when it was told to, and one that fails comes back at once;
//   3. troubles begin and end;
//   4. what callers and leaves saw is counted and checked.

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

// What callers of one class saw, of the requests sent within some time. A
// caller counts from its first try.
struct CallerCounts {
  int asked = 0;
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int failed = 0;
  // Shards left out of answers in time.
  int missing = 0;
  // Answers in time, each times the square of the share of shards that are in.
  double credit = 0.0;
  // Time to the answer, of those that got one.
  std::vector<base::Duration> latencies;

  double share_in_time() const;
  // Credit a request.
  double mean_credit() const;
  CallerCounts& operator+=(const CallerCounts& other);
};

struct FleetReport {
  // By class, then by second.
  std::map<std::string, std::vector<CallerCounts>> classes;
  int sends = 0;
  int extra_sends = 0;
  int connection_resets = 0;
  // Leaves that ended under deadly requests.
  int deadly_crashes = 0;
  // By daemons that were not told by another one.
  int convictions = 0;
  int store_writes = 0;
  // Different requests that the store holds a verdict on.
  int verdicts = 0;
  // Those of them that still keep a request from leaves.
  int standing_verdicts = 0;
  // Tries of deadly requests that reached leaves although they should have been
  // known, of the one with the most.
  int deadly_retries = 0;
  // What no run may show; empty if all is well.
  std::vector<std::string> violations;

  // Over seconds [first, last) and all classes, or one.
  CallerCounts Sum(int first, int last, const std::string& name = "") const;
};

class VirtualFleet {
 public:
  explicit VirtualFleet(FleetPlan plan);
  ~VirtualFleet();

  FleetReport Run();

 private:
  // One caller's request over all its tries.
  struct Errand {
    int class_index = 0;
    int second = 0;
    base::MonotonicTime began;
    int tries = 0;
    std::string target;
    // Null for requests like any other, the only ones that are counted.
    const DeadlyRequest* deadly = nullptr;
  };

  // What came of a deadly request.
  struct DeadlyCounts {
    int crashes = 0;
    // Set at the third.
    std::optional<base::MonotonicTime> known_at;
    std::set<std::string> tries_after;
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
  void ScheduleTroubles();
  void Begin(const Trouble& trouble);
  // Daemons, not leaves, stand still or fall silent.
  void Freeze(const Trouble& trouble);
  void Mute(const Trouble& trouble);
  void End(const Trouble& trouble);
  // Draws the leaves that a trouble is about.
  std::vector<std::shared_ptr<VirtualLeaf>> Draw(const Trouble& trouble);
  void ScheduleCaller(int class_index);
  void ScheduleDeadly(const DeadlyRequest& deadly);
  void CheckDeadly();
  void Try(const std::shared_ptr<Errand>& errand);
  void DidAnswer(const std::shared_ptr<Errand>& errand,
                 const std::string& request_id,
                 const query::ForwardedAnswer& answer);
  void Retry(const std::shared_ptr<Errand>& errand, base::Duration pause);
  VirtualDaemon* PickDaemon();
  CallerCounts& CountsOf(const Errand& errand);
  void CountArrival(const std::string& request_id, const std::string& leaf);
  void CheckExtraSends();
  void Violate(const std::string& what);
  base::MonotonicTime start() const { return {}; }

  const FleetPlan plan_;
  const std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(0, 0);
  const std::shared_ptr<base::ManualScheduler> scheduler_ =
      std::make_shared<base::ManualScheduler>(time_);
  const base::Clock clock_{time_};
  const base::TaskRunner runner_{scheduler_};
  // Streams of their own: what callers ask and what befalls which leaf is the
  // same whatever the daemons decide, so that policies can be compared.
  base::Random arrivals_random_;
  base::Random trouble_random_;
  const std::shared_ptr<base::Random> random_;
  FleetWorld world_;
  blackboard::MembershipView members_;
  blackboard::UpstreamsView leaves_;
  blackboard::RoutesView routes_;
  // Null while a daemon has no power.
  std::vector<std::unique_ptr<VirtualDaemon>> daemons_;
  // Sessions of daemons that lost power hold on to them.
  std::vector<std::unique_ptr<VirtualDaemon>> dead_;
  std::map<const Trouble*, std::vector<std::shared_ptr<VirtualLeaf>>> drawn_;
  double burst_ = 1.0;
  std::map<const DeadlyRequest*, DeadlyCounts> deadly_;
  // By request.
  std::map<std::string, const DeadlyRequest*> deadly_of_;
  int requests_ = 0;
  // By request: the class, and how often leaves ran it.
  std::map<std::string, int> class_of_;
  std::map<std::string, int> runs_;
  ArrivalRecord arrivals_;
  FleetReport report_;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_FLEET_VIRTUAL_FLEET_H_
