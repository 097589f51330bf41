// Implements the links, heartbeats and invariant checks of the fake fleet.

#include "tests/targets/fake_fleet.h"

#include <algorithm>

namespace medlarspread::targets {

namespace {

constexpr base::Duration kStep = base::Milliseconds(10);
constexpr base::Duration kLinkDelay = base::Milliseconds(3);
constexpr base::Duration kHeartbeat = base::Milliseconds(1000);
constexpr std::int64_t kStartMicroseconds = 1000;
constexpr std::int64_t kStartWallMilliseconds = 1764691200000;

}  // namespace

FakeFleet::FakeFleet(std::uint64_t seed)
    : time_(std::make_shared<base::ManualTime>(kStartMicroseconds,
                                               kStartWallMilliseconds)),
      scheduler_(std::make_shared<base::ManualScheduler>(time_)),
      runner_(scheduler_),
      store_(runner_),
      next_seed_(seed) {}

FakeFleet::~FakeFleet() {
  // Waits for the outcome of every change, so that no change outlives the
  // fleet.
  for (auto& [name, daemon] : daemons_) {
    daemon->controller->Stop();
  }
  constexpr base::Duration kLongest = base::Milliseconds(60000);
  scheduler_->Advance(kLongest);
}

FakeDaemon& FakeFleet::Start(const std::string& name) {
  Kill(name);
  auto daemon = std::make_unique<FakeDaemon>();
  daemon->name = name;
  daemon->random = std::make_unique<base::Random>(next_seed_++);
  TargetsSettings settings;
  settings.self = name;
  settings.failure_domain = "domain";
  settings.peer_wait = 2 * kHeartbeat;
  daemon->controller = std::make_unique<TargetsController>(
      settings, base::Clock(time_), *daemon->random, runner_, store_.store(),
      MakePort(name), daemon->blackboard);
  daemon->controller->Start();
  FakeDaemon& reference = *daemon;
  daemons_[name] = std::move(daemon);
  WriteMemberships();
  return reference;
}

void FakeFleet::Kill(const std::string& name) {
  const auto found = daemons_.find(name);
  if (found == daemons_.end()) {
    return;
  }
  found->second->controller->Stop();
  gone_.push_back(std::move(found->second));
  daemons_.erase(found);
  WriteMemberships();
}

void FakeFleet::Advance(base::Duration duration) {
  while (duration > base::Duration(0)) {
    const base::Duration step = std::min(duration, kStep);
    scheduler_->Advance(step);
    duration -= step;
    since_heartbeat_ += step;
    CheckInvariants();
    if (since_heartbeat_ >= kHeartbeat) {
      since_heartbeat_ = base::Duration(0);
      Heartbeat();
    }
  }
}

std::shared_ptr<std::optional<ChangeOutcome>> FakeFleet::Change(
    const std::string& name,
    TargetsChange change) {
  auto outcome = std::make_shared<std::optional<ChangeOutcome>>();
  daemon(name).controller->Change(
      std::move(change),
      [outcome](ChangeOutcome result) { *outcome = result; });
  return outcome;
}

ChangeOutcome FakeFleet::ChangeAndWait(const std::string& name,
                                       TargetsChange change) {
  const auto outcome = Change(name, std::move(change));
  while (!outcome->has_value()) {
    Advance(kStep);
  }
  return **outcome;
}

bool FakeFleet::IsInForceEverywhere(std::int64_t revision) const {
  return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto& entry) {
    return entry.second->revision() == revision;
  });
}

peer::PeerPort FakeFleet::MakePort(const std::string& name) {
  peer::PeerPort port;
  port.send = [this, name](const std::string& to,
                           const peer::Message& message) -> base::Status {
    if (!daemons_.contains(to)) {
      return base::MakeError(base::ErrorCode::kUnreachable,
                             base::Step::kPeerLink, to, "by the test");
    }
    runner_.After(kLinkDelay,
                  [this, name, to, message] { Deliver(name, to, message); });
    return base::Done{};
  };
  return port;
}

void FakeFleet::Deliver(const std::string& from,
                        const std::string& to,
                        const peer::Message& message) {
  if (!IsLinked(from, to) || !daemons_.contains(to)) {
    return;
  }
  TargetsController& controller = *daemon(to).controller;
  const peer::Sender sender{from, 1};
  if (const auto* request = std::get_if<peer::wire::TargetsRequest>(&message)) {
    controller.DidReceive(sender, *request);
  } else if (const auto* body =
                 std::get_if<peer::wire::TargetsBody>(&message)) {
    controller.DidReceive(sender, *body);
  }
}

void FakeFleet::Heartbeat() {
  for (const auto& [from, sender] : daemons_) {
    const auto view = sender->blackboard.targets.Read();
    for (const auto& [to, receiver] : daemons_) {
      if (from != to && IsLinked(from, to)) {
        receiver->controller->DidSeeRevision(from, view->revision,
                                             view->digest);
      }
    }
  }
  WriteMemberships();
}

void FakeFleet::WriteMemberships() {
  for (const auto& [self, daemon] : daemons_) {
    blackboard::MembershipView view;
    view.self = self;
    view.is_settled = true;
    for (const auto& [name, other] : daemons_) {
      if (!IsLinked(self, name)) {
        continue;
      }
      blackboard::Member member;
      member.name = name;
      member.failure_domain = "domain";
      view.members[name] = member;
    }
    daemon->blackboard.membership.Write(view);
  }
}

void FakeFleet::CheckInvariants() {
  for (const auto& [name, daemon] : daemons_) {
    const auto view = daemon->blackboard.targets.Read();
    if (view->revision < daemon->last_revision) {
      violation_ = name + " went back to " + std::to_string(view->revision);
    }
    daemon->last_revision = view->revision;
    if (view->revision == 0) {
      continue;
    }
    const auto digest = digests_.emplace(view->revision, view->digest).first;
    if (digest->second != view->digest) {
      violation_ = name + " has other targets under revision " +
                   std::to_string(view->revision);
    }
  }
}

bool FakeFleet::IsLinked(const std::string& one,
                         const std::string& other) const {
  return one == other || (!cut.contains(one) && !cut.contains(other));
}

TargetsChange MakeChange(const std::string& change_id,
                         const std::string& class_name,
                         std::int64_t latency_ms,
                         std::optional<std::int64_t> expected_revision) {
  blackboard::ClassTargets targets;
  targets.name = class_name;
  targets.collection = "archive";
  targets.latency = base::Milliseconds(latency_ms);
  return {change_id, expected_revision, SetClass{targets}};
}

}  // namespace medlarspread::targets
