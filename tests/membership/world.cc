// Implementation of the simulated network and VMs.

#include "tests/membership/world.h"

#include <algorithm>

namespace medlarspread::membership {

namespace {

constexpr base::Duration kStep = base::Milliseconds(5);
constexpr std::uint64_t kMaxDelayMilliseconds = 12;

}  // namespace

Vm::Vm(World& world, const MembershipSettings& settings)
    : settings_(settings),
      scheduler_(std::make_shared<base::ManualScheduler>(world.time)),
      random_(world.seed_ + std::hash<std::string>()(settings.address)) {
  MembershipCallbacks callbacks;
  callbacks.did_see_targets = [this](const std::string& peer,
                                     std::int64_t revision, std::int64_t) {
    seen_targets[peer] = revision;
  };
  callbacks.did_hear_draining = [this](const std::string& upstream,
                                       base::Duration) {
    heard_draining.push_back(upstream);
  };
  callbacks.did_get_replaced = [this](std::int64_t newer) {
    replaced_by = newer;
  };
  const peer::PeerPort port{
      [this, &world](const std::string& peer, peer::Message message) {
        return world.Send(*this, peer, message);
      }};
  controller_ = std::make_unique<MembershipController>(
      settings_, base::Clock(world.time), random_, base::TaskRunner(scheduler_),
      port,
      [&world](base::Duration, const store::VmListCallback& callback) {
        world.ReadList(callback);
      },
      blackboard_, std::move(callbacks));
}

bool Vm::Sees(const std::string& name) const {
  const auto current = view();
  const auto member = current->members.find(name);
  return member != current->members.end() &&
         member->second.state == blackboard::MemberState::kLive;
}

bool Vm::SeesLeaving(const std::string& name) const {
  const auto current = view();
  const auto member = current->members.find(name);
  return member != current->members.end() &&
         member->second.state == blackboard::MemberState::kLeaving;
}

void Vm::SetTargets(std::int64_t revision) {
  blackboard::TargetsView targets;
  targets.revision = revision;
  targets.digest = revision;
  blackboard_.targets.Write(targets);
}

Vm& World::Add(const std::string& name,
               const std::string& region,
               const std::string& domain,
               std::int64_t incarnation,
               const std::string& address) {
  MembershipSettings settings;
  settings.name = name;
  settings.address =
      address.empty() ? name + ":" + std::to_string(incarnation) : address;
  settings.region = region;
  settings.failure_domain = domain;
  settings.incarnation = incarnation;
  store::Vm row;
  row.name = name;
  row.address = settings.address;
  row.region = region;
  row.failure_domain = domain;
  listed[name] = row;
  vms_.push_back(std::make_unique<Vm>(*this, settings));
  Vm& vm = *vms_.back();
  by_name_[name] = &vm;
  by_address_[settings.address] = &vm;
  vm.controller().Start();
  return vm;
}

void World::AddDomain(const std::string& region,
                      const std::string& domain,
                      int count) {
  for (int i = 0; i < count; ++i) {
    Add(domain + "-" + std::to_string(i), region, domain);
  }
}

void World::Advance(base::Duration duration) {
  const std::int64_t end = time->monotonic_microseconds() + duration.count();
  while (time->monotonic_microseconds() < end) {
    time->Advance(kStep);
    network_->RunReady();
    for (Vm* vm : running()) {
      vm->scheduler().RunReady();
    }
  }
}

base::Duration World::Until(base::Duration bound,
                            const std::function<bool()>& condition) {
  base::Duration waited{0};
  while (waited < bound && !condition()) {
    Advance(kStep);
    waited += kStep;
  }
  return waited;
}

std::vector<Vm*> World::running() const {
  std::vector<Vm*> result;
  for (const auto& vm : vms_) {
    if (!vm->is_dead && !vm->is_frozen) {
      result.push_back(vm.get());
    }
  }
  return result;
}

bool World::AllAgree() const {
  const auto all = running();
  return std::all_of(all.begin(), all.end(), [&all](const Vm* vm) {
    const auto view = vm->view();
    return view->is_settled && view->members.size() == all.size() &&
           std::all_of(all.begin(), all.end(), [vm](const Vm* other) {
             return vm->Sees(other->name());
           });
  });
}

bool World::NobodySees(const std::string& name,
                       const std::string& domain) const {
  const auto all = running();
  return std::none_of(all.begin(), all.end(), [&](const Vm* vm) {
    const bool is_meant =
        domain.empty() || vm->settings().failure_domain == domain;
    return is_meant && vm->name() != name && vm->view()->members.contains(name);
  });
}

base::Status World::Send(const Vm& from,
                         const std::string& peer,
                         const peer::Message& message) {
  const auto view = from.view();
  auto member = view->members.find(peer);
  if (member == view->members.end()) {
    member = view->absent.find(peer);
    if (member == view->absent.end()) {
      return base::MakeError(base::ErrorCode::kNotFound, base::Step::kPeerLink,
                             peer, "not a member");
    }
  }
  const std::string address = member->second.address;
  const auto target = by_address_.find(address);
  const peer::Sender sender{from.name(), from.settings().incarnation};
  if (target == by_address_.end() ||
      cuts_.contains(
          {from.settings().region, target->second->settings().region})) {
    return base::Done{};
  }
  const auto delay = base::Milliseconds(
      1 + static_cast<std::int64_t>(random_.Below(kMaxDelayMilliseconds)));
  network_->Add(network_->Now() + delay,
                [this, address, sender,
                 heartbeat = std::get<peer::wire::Heartbeat>(message)] {
                  Deliver(address, sender, heartbeat);
                });
  return base::Done{};
}

void World::Deliver(const std::string& address,
                    const peer::Sender& sender,
                    const peer::wire::Heartbeat& heartbeat) {
  Vm& target = *by_address_.at(address);
  if (target.is_dead) {
    return;
  }
  std::int64_t& newest = target.newest_incarnations[sender.name];
  newest = std::max(newest, sender.incarnation);
  if (sender.incarnation == newest) {
    target.controller().DidReceiveHeartbeat(sender, heartbeat);
    return;
  }
  // Like the peer links: the older incarnation is notified of the newer one.
  peer::wire::Heartbeat notice;
  notice.others.resize(1);
  notice.others[0].name = sender.name;
  notice.others[0].incarnation = newest;
  Vm& older = *by_address_.at(heartbeat.sender.address);
  if (!older.is_dead) {
    older.controller().DidReceiveHeartbeat({target.name(), 1}, notice);
  }
}

void World::ReadList(const store::VmListCallback& callback) {
  ++list_reads;
  if (is_list_down) {
    callback(base::MakeError(base::ErrorCode::kUnavailable,
                             base::Step::kReadStore, "platform", "down"));
    return;
  }
  std::vector<store::Vm> rows;
  for (const auto& [name, vm] : listed) {
    rows.push_back(vm);
  }
  callback(rows);
}

}  // namespace medlarspread::membership
