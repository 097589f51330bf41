// Several VMs with their burn controllers and one shared fake store. Keeps
// every recorded request, from which an oracle computes the expected report.

#ifndef MEDLARSPREAD_TESTS_BURN_BURN_FLEET_H_
#define MEDLARSPREAD_TESTS_BURN_BURN_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/burn/burn_controller.h"
#include "src/burn/segment.h"
#include "tests/burn/fake_store.h"

namespace medlarspread::burn {

// 2026-11-10T08:00:00Z, well inside a quarter.
constexpr std::int64_t kFleetStartWallMs = 1'794'297'600'000;

struct RecordedRequest {
  RequestRecord record;
  VmIncarnation on;
  // Position in the fleet's history of records and store writes.
  std::int64_t order = 0;
};

class BurnFleet {
 public:
  explicit BurnFleet(std::uint64_t seed);

  // `clock_offset_ms` is how far the VM's wall clock is ahead.
  void StartVm(const std::string& name, std::int64_t clock_offset_ms = 0);
  // Starts another process with the identity that `name` has, as `alias`.
  void StartDuplicate(const std::string& name, const std::string& alias);
  // The VM crashes, and the membership is updated.
  void KillVm(const std::string& name);
  // The VM shuts down in an orderly way.
  void StopVm(const std::string& name);
  // The VM makes no progress and is missing from the membership until WakeVm().
  void FreezeVm(const std::string& name);
  void WakeVm(const std::string& name);
  bool IsRunning(const std::string& name) const;

  // Records a request that arrived `age_ms` ago by the VM's clock.
  void Record(const std::string& vm,
              RequestRecord record,
              std::int64_t age_ms = 0);

  void Advance(std::int64_t seconds);

  BurnReport ReportFrom(const std::string& vm);
  std::int64_t WallMsOf(const std::string& vm) const;

  FakeStore& store() { return store_; }
  BurnController& controller(const std::string& vm);
  const blackboard::Blackboard& board(const std::string& vm) const;

  // All recorded requests. Lost() returns those that were neither written to
  // the store nor are in the memory of a running VM, Kept() the others.
  const std::vector<RecordedRequest>& recorded() const { return recorded_; }
  std::vector<RecordedRequest> Lost() const;
  std::vector<RecordedRequest> Kept() const;

 private:
  struct Vm {
    VmIncarnation id;
    std::shared_ptr<base::ManualTime> time;
    // Each VM has its own task queue, so that it can be frozen.
    std::shared_ptr<base::ManualScheduler> scheduler;
    std::unique_ptr<base::Random> random;
    std::unique_ptr<blackboard::Blackboard> board;
    std::shared_ptr<BurnController> controller;
    bool is_frozen = false;
  };

  void PublishMembers();
  void Start(const std::string& alias,
             const VmIncarnation& id,
             std::int64_t clock_offset_ms);
  void NoteWrite(const store::Entry& entry);
  bool IsKept(const RecordedRequest& request) const;

  std::shared_ptr<base::ManualTime> store_time_;
  std::shared_ptr<base::ManualScheduler> store_scheduler_;
  FakeStore store_;
  base::Random random_;
  std::map<std::string, Vm> vms_;
  std::int64_t next_incarnation_ = 1;
  std::int64_t order_ = 0;
  std::vector<RecordedRequest> recorded_;
  // When each bucket was last written, by incarnation.
  std::map<std::pair<VmIncarnation, std::int64_t>, std::int64_t> written_;
};

// What a window of the report must contain, computed from the records.
struct ExpectedWindow {
  Counts counts;
  std::int64_t latency_allowed_millionths = 0;
  std::int64_t coverage_allowed_millionths = 0;
};

ExpectedWindow ExpectWindow(const std::vector<RecordedRequest>& requests,
                            const std::string& class_name,
                            std::int64_t start_wall_ms,
                            std::int64_t end_wall_ms);

// Fails the test unless each window of each class matches `requests`.
void ExpectExact(const BurnReport& report,
                 const std::vector<RecordedRequest>& requests);

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_TESTS_BURN_BURN_FLEET_H_
