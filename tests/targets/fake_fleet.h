// Several targets controllers on one scheduler with one fake store. Simulates
// the peer links and heartbeats, and checks after each step that no daemon's
// revision has decreased and that daemons with the same revision have the same
// targets in force.

#ifndef MEDLARSPREAD_TESTS_TARGETS_FAKE_FLEET_H_
#define MEDLARSPREAD_TESTS_TARGETS_FAKE_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/targets/targets_controller.h"
#include "src/targets/targets_record.h"
#include "tests/targets/fake_store.h"

namespace medlarspread::targets {

struct FakeDaemon {
  std::string name;
  blackboard::Blackboard blackboard;
  std::unique_ptr<base::Random> random;
  std::unique_ptr<TargetsController> controller;
  // The revision that this daemon last had in force.
  std::int64_t last_revision = 0;

  std::int64_t revision() const { return blackboard.targets.Read()->revision; }
};

class FakeFleet {
 public:
  explicit FakeFleet(std::uint64_t seed);
  ~FakeFleet();

  // Starts a new daemon under the name, replacing a running one.
  FakeDaemon& Start(const std::string& name);
  // Removes the daemon at once.
  void Kill(const std::string& name);
  FakeDaemon& daemon(const std::string& name) { return *daemons_.at(name); }
  const std::map<std::string, std::unique_ptr<FakeDaemon>>& daemons() const {
    return daemons_;
  }

  // Advances time in small steps, with heartbeats between all daemons each
  // second.
  void Advance(base::Duration duration);
  // Submits the change and advances time until it has an outcome.
  ChangeOutcome ChangeAndWait(const std::string& name, TargetsChange change);
  // Submits the change; the result stays empty until there is an outcome.
  std::shared_ptr<std::optional<ChangeOutcome>> Change(const std::string& name,
                                                       TargetsChange change);

  // Whether every daemon has the revision in force.
  bool IsInForceEverywhere(std::int64_t revision) const;

  // The first violated invariant, or empty.
  const std::string& violation() const { return violation_; }

  FakeStore& store() { return store_; }
  base::ManualScheduler& scheduler() { return *scheduler_; }

  // Daemons whose links to all others are cut.
  std::set<std::string> cut;

 private:
  peer::PeerPort MakePort(const std::string& name);
  void Deliver(const std::string& from,
               const std::string& to,
               const peer::Message& message);
  void Heartbeat();
  void WriteMemberships();
  void CheckInvariants();
  bool IsLinked(const std::string& one, const std::string& other) const;

  std::shared_ptr<base::ManualTime> time_;
  std::shared_ptr<base::ManualScheduler> scheduler_;
  base::TaskRunner runner_;
  FakeStore store_;
  std::uint64_t next_seed_;
  base::Duration since_heartbeat_{};
  std::map<std::string, std::unique_ptr<FakeDaemon>> daemons_;
  // Kept until the end, because posted tasks may still refer to them.
  std::vector<std::unique_ptr<FakeDaemon>> gone_;
  std::map<std::int64_t, std::int64_t> digests_;
  std::string violation_;
};

// A valid change that sets the class's latency target.
TargetsChange MakeChange(const std::string& change_id,
                         const std::string& class_name,
                         std::int64_t latency_ms,
                         std::optional<std::int64_t> expected_revision = {});

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TESTS_TARGETS_FAKE_FLEET_H_
