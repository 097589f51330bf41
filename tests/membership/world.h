// A simulation of several membership controllers with fake links. The test
// controls time, delays, partitions, frozen and killed VMs, and the platform's
// VM list.

#ifndef MEDLARSPREAD_TESTS_MEMBERSHIP_WORLD_H_
#define MEDLARSPREAD_TESTS_MEMBERSHIP_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/membership/membership_controller.h"

namespace medlarspread::membership {

class World;

// A VM with one daemon. It has its own scheduler, so that it can be frozen.
class Vm {
 public:
  Vm(World& world, const MembershipSettings& settings);

  const std::string& name() const { return settings_.name; }
  const MembershipSettings& settings() const { return settings_; }
  std::shared_ptr<const blackboard::MembershipView> view() const {
    return blackboard_.membership.Read();
  }
  // Whether the VM is a live (or leaving) member in this daemon's view.
  bool Sees(const std::string& name) const;
  bool SeesLeaving(const std::string& name) const;
  void SetTargets(std::int64_t revision);

  MembershipController& controller() { return *controller_; }
  base::ManualScheduler& scheduler() { return *scheduler_; }

  bool is_frozen = false;
  bool is_dead = false;
  // Arguments that the callbacks received.
  std::map<std::string, std::int64_t> seen_targets;
  std::vector<std::string> heard_draining;
  std::int64_t replaced_by = 0;
  // The newest incarnation received by name, as the peer links track it.
  std::map<std::string, std::int64_t> newest_incarnations;

 private:
  const MembershipSettings settings_;
  std::shared_ptr<base::ManualScheduler> scheduler_;
  base::Random random_;
  blackboard::Blackboard blackboard_;
  std::unique_ptr<MembershipController> controller_;
};

class World {
 public:
  explicit World(std::uint64_t seed) : seed_(seed), random_(seed) {}

  // Starts a daemon and adds it to the list. Without `address` it gets one made
  // from its name and incarnation.
  Vm& Add(const std::string& name,
          const std::string& region,
          const std::string& domain,
          std::int64_t incarnation = 1,
          const std::string& address = "");
  // Adds `count` daemons named <domain>-<index>.
  void AddDomain(const std::string& region,
                 const std::string& domain,
                 int count);

  void Advance(base::Duration duration);
  // Advances until the condition holds. Returns the time that took, or `bound`
  // if it never did.
  base::Duration Until(base::Duration bound,
                       const std::function<bool()>& condition);

  // All VMs that run and are not frozen.
  std::vector<Vm*> running() const;
  // The latest VM of that name.
  Vm& operator[](const std::string& name) { return *by_name_.at(name); }
  // Whether every running VM is settled and sees exactly the running VMs.
  bool AllAgree() const;
  // Whether no other running VM (of the domain, if given) has it as a member.
  bool NobodySees(const std::string& name,
                  const std::string& domain = "") const;

  // Drops all messages between the two regions from now on.
  void Cut(const std::string& region, const std::string& other) {
    cuts_.insert({region, other});
    cuts_.insert({other, region});
  }
  void Heal() { cuts_.clear(); }

  std::shared_ptr<base::ManualTime> time =
      std::make_shared<base::ManualTime>(1'000'000, 0);
  // The platform's VM list, changed by the tests directly.
  std::map<std::string, store::Vm> listed;
  bool is_list_down = false;
  int list_reads = 0;

 private:
  friend class Vm;
  base::Status Send(const Vm& from,
                    const std::string& peer,
                    const peer::Message& message);
  void Deliver(const std::string& address,
               const peer::Sender& sender,
               const peer::wire::Heartbeat& heartbeat);
  void ReadList(const store::VmListCallback& callback);

  const std::uint64_t seed_;
  base::Random random_;
  std::shared_ptr<base::ManualScheduler> network_ =
      std::make_shared<base::ManualScheduler>(time);
  std::vector<std::unique_ptr<Vm>> vms_;
  std::map<std::string, Vm*> by_name_;
  std::map<std::string, Vm*> by_address_;
  std::set<std::pair<std::string, std::string>> cuts_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_TESTS_MEMBERSHIP_WORLD_H_
