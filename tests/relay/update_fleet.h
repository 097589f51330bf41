// A fleet whose daemons follow the store, in virtual time and without a
// network: the production classes make the decisions, and only the store and
// the connections between daemons are simulated.

#ifndef MEDLARSPREAD_TESTS_RELAY_UPDATE_FLEET_H_
#define MEDLARSPREAD_TESTS_RELAY_UPDATE_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/relay/propagation_delays.h"
#include "src/relay/update_reader.h"
#include "src/relay/update_server.h"
#include "src/store/event_log.h"
#include "src/store/follower.h"
#include "src/store/outage_detector.h"
#include "tests/support/model_store.h"

namespace medlarspread::relay {

struct FleetSize {
  int daemons = 0;
  // The first daemons of each domain are strong; the others have an eighth of a
  // core.
  int strong_in_domain = 0;
  int domains = 3;
};

// What a VM does with packets that arrive.
enum class VmState {
  kUp,
  // It has no power: its process has ended, and packets to it are lost.
  kDark,
  // Its process has ended, and connections to it are refused.
  kRefusing,
  // Its process is stopped; connections to it open, but nothing answers.
  kFrozen,
};

class Fleet;

// The parts of a daemon that follow the store.
class FleetDaemon {
 public:
  // A daemon that has no peers yet learns them with its first list.
  FleetDaemon(Fleet& fleet,
              std::string name,
              std::uint64_t seed,
              bool has_peers = true);

  void Start();
  // From then on it neither sends requests nor answers them.
  void Kill(VmState state = VmState::kDark);
  void Freeze() { state_ = VmState::kFrozen; }
  // What arrived while the VM was frozen is handled now.
  void Thaw();
  void Handle(const http1::Request& request, http1::Respond respond);
  VmState state() const { return state_; }
  bool is_alive() const {
    return state_ == VmState::kUp || state_ == VmState::kFrozen;
  }
  // While cut off, it cannot reach the store.
  void set_cut_off(bool is_cut_off) { is_cut_off_ = is_cut_off; }
  // While isolated, it cannot reach other daemons, nor they it.
  void set_isolated(bool is_isolated) { is_isolated_ = is_isolated; }
  bool is_isolated() const { return is_isolated_; }
  bool is_reader() const { return source_->is_reader(); }
  bool is_reading_store() const {
    return is_alive() && source_->is_reading_store();
  }
  const std::string& name() const { return name_; }
  // The highest version received so far.
  int version() const { return version_; }
  // Whether it takes the leaf to be there.
  bool has_leaf(const std::string& key) const { return leaves_.contains(key); }
  // How often a leaf was taken to be gone.
  int removals() const { return removals_; }
  // When that version or a later one was received; absent if none was.
  std::optional<base::MonotonicTime> received(int version) const;
  std::string domain() const;

 private:
  using Done = std::function<void(base::Result<StoreUpdate>)>;

  void DidChange(const std::vector<store::Event>& events,
                 const store::Position& reached);
  void Renew();
  void Fetch(const std::string& peer, const std::string& target, Done done);
  void Send(const std::string& peer,
            const std::string& target,
            const std::shared_ptr<Done>& done);
  void Finish(const std::shared_ptr<Done>& done,
              base::Result<StoreUpdate> update);
  // The call, which does nothing once this daemon has ended.
  template <typename... Arguments>
  std::function<void(Arguments...)> IfAlive(
      std::function<void(Arguments...)> call) {
    if (!call) {
      return call;
    }
    return [this, call = std::move(call)](Arguments... arguments) {
      if (is_alive()) {
        call(std::move(arguments)...);
      }
    };
  }
  // Runs the task now, or once the VM is no longer frozen.
  void RunUnlessFrozen(const std::function<void()>& task);

  Fleet& fleet_;
  const std::string name_;
  blackboard::Blackboard blackboard_;
  VmState state_ = VmState::kUp;
  bool is_cut_off_ = false;
  bool is_isolated_ = false;
  int version_ = 0;
  std::map<int, base::MonotonicTime> received_;
  std::set<std::string> leaves_;
  int removals_ = 0;
  // The processes to which a connection is open.
  std::set<const FleetDaemon*> connected_to_;
  std::vector<std::function<void()>> frozen_tasks_;
  base::MonotonicTime renewed_;
  const std::shared_ptr<store::OutageDetector> outages_;
  store::EventSource store_;
  store::EventLog log_;
  std::shared_ptr<UpdateReader> source_;
  std::shared_ptr<UpdateServer> server_;
  std::shared_ptr<store::Follower> follower_;
};

class Fleet {
 public:
  Fleet(FleetSize size, std::uint64_t seed, bool has_replicas = false);

  void Advance(base::Duration time_to_pass) {
    scheduler->Advance(time_to_pass);
  }
  // A random duration below `most`.
  base::Duration Chance(base::Duration most) {
    return base::Duration(static_cast<std::int64_t>(
        random.Below(static_cast<std::uint64_t>(most.count()))));
  }
  // Starts a new process in place of a killed one.
  void Restart(const std::string& name);
  // The first daemon that reads the store for its failure domain.
  FleetDaemon& FirstReader();
  // The daemons of a failure domain, in the order in which they read the store.
  std::vector<FleetDaemon*> Ranked(const std::string& domain);
  int Change();
  // Writes the newest version once more.
  void WriteAgain();
  bool IsInForce(const FleetDaemon* left_out) const;
  // Returns the time from now until the last daemon has the newest version;
  // kNever if that takes much longer than the bound.
  base::Duration AwaitInForce() { return AwaitInForceAt(nullptr); }
  base::Duration AwaitInForceButFor(const FleetDaemon& left_out) {
    return AwaitInForceAt(&left_out);
  }
  // Removes a leaf that all daemons know. Returns the time until the last
  // daemon takes it to be gone; kNever if that takes much longer.
  base::Duration RemoveLeaf();
  // The longest time from the acknowledgement of a version until that daemon
  // had it; kNever if it does not have it yet.
  base::Duration LongestDelayAt(const FleetDaemon& daemon) const;

  static constexpr base::Duration kNever = base::Milliseconds(20'000);
  static constexpr base::Duration kReplicaLag = base::Milliseconds(3'000);
  static constexpr std::size_t kMostPageItems = 50;

  const std::shared_ptr<base::ManualTime> time =
      std::make_shared<base::ManualTime>(1'000'000, 0);
  const std::shared_ptr<base::ManualScheduler> scheduler =
      std::make_shared<base::ManualScheduler>(time);
  const base::TaskRunner runner{scheduler};
  base::Random random;
  blackboard::Blackboard blackboard;
  tests::ModelStore store{runner};
  std::map<std::string, std::unique_ptr<FleetDaemon>> daemons;
  // Killed daemons whose timers and requests are still pending.
  std::vector<std::unique_ptr<FleetDaemon>> ended;
  int version = 1;
  // When each version was acknowledged.
  std::map<int, base::MonotonicTime> acknowledged;

 private:
  base::Duration AwaitInForceAt(const FleetDaemon* left_out);
  // Simulates the steady writes of leaves.
  void Beat();
};

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_TESTS_RELAY_UPDATE_FLEET_H_
