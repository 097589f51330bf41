// Start, rounds, recovery from a freeze, and the view. heartbeat_handling.cc
// has the handling of received heartbeats.

#include "src/membership/membership_core.h"

#include <algorithm>
#include <utility>

#include "src/membership/shuffle.h"
#include "src/membership/view.h"

namespace medlarspread::membership {

namespace {

// Random variation of the time between rounds, as a share of it, so that the
// daemons' rounds don't synchronize.
constexpr double kRoundJitter = 0.2;
// How long changes are collected before the view is written, since each write
// copies the whole view.
constexpr base::Duration kPublishDelay = base::Milliseconds(20);
constexpr std::size_t kMaxDrainingPassedOn = 32;
// A table from another domain is requested only once the settle timeout divided
// by this has passed.
constexpr int kOwnDomainDivisor = 3;

Record MakeSelf(const MembershipSettings& settings) {
  Record self;
  self.name = settings.name;
  self.address = settings.address;
  self.region = settings.region;
  self.failure_domain = settings.failure_domain;
  self.incarnation = settings.incarnation;
  return self;
}

}  // namespace

MembershipCore::MembershipCore(const MembershipSettings& settings,
                               const base::Clock& clock,
                               base::Random& random,
                               const base::TaskRunner& control,
                               const peer::PeerPort& port,
                               const store::ReadVmList& read_vm_list,
                               blackboard::Blackboard& blackboard,
                               MembershipCallbacks callbacks,
                               const base::Log& log)
    : settings_(settings),
      clock_(clock),
      random_(random),
      control_(control),
      blackboard_(blackboard),
      callbacks_(std::move(callbacks)),
      log_(log),
      table_(MakeSelf(settings)),
      reachability_(settings.domain_grace),
      notices_(settings.draining_lifetime, kMaxDrainingPassedOn),
      messenger_(settings_,
                 clock,
                 random,
                 port,
                 table_,
                 reachability_,
                 notices_,
                 [this](const std::string&) { PublishIfChanged(); }),
      detector_(settings_, clock, random, log, table_, messenger_),
      prober_(settings_,
              clock,
              random,
              table_,
              reachability_,
              messenger_,
              detector_),
      list_(std::make_shared<VmList>(settings.name,
                                     settings.address,
                                     settings.list_timeout,
                                     control,
                                     read_vm_list,
                                     log)) {}

void MembershipCore::Start() {
  if (std::exchange(is_running_, true)) {
    return;
  }
  settling_since_ = clock_.Now();
  last_round_ = clock_.Now();
  RefreshTargets();
  has_changed_ = true;
  PublishIfChanged();
  ReadListIfDue();
  ScheduleRound();
}

void MembershipCore::Stop() {
  if (!std::exchange(is_running_, false)) {
    return;
  }
  round_timer_.Cancel();
  list_->Close();
  // Announces the end, so that the others need not detect it.
  table_.SetSelfState(RecordState::kGone);
  Announce();
}

void MembershipCore::Leave() {
  if (!is_running_) {
    return;
  }
  table_.SetSelfState(RecordState::kLeaving);
  MarkChanged();
  Announce();
}

void MembershipCore::NoteDrainingUpstream(const std::string& name) {
  if (!is_running_ || !notices_.Add(name, base::Duration(0), clock_.Now())) {
    return;
  }
  messenger_.SpreadInDomain({});
  messenger_.SpreadToDomains({});
}

void MembershipCore::ScheduleRound() {
  const double factor = 1.0 + kRoundJitter * (random_.Unit() - 0.5);
  const auto delay = static_cast<std::int64_t>(
      static_cast<double>(settings_.round.count()) * factor);
  round_timer_ =
      control_.After(base::Duration(delay), [self = shared_from_this()] {
        if (self->is_running_) {
          self->RunRound();
          self->ScheduleRound();
        }
      });
}

void MembershipCore::RunRound() {
  const base::MonotonicTime now = clock_.Now();
  DetectDelay(now);
  RefreshTargets();
  ReadListIfDue();
  if (!is_settled_) {
    AskForTable();
  } else {
    if (detector_.CheckTimeouts()) {
      MarkChanged();
    }
    detector_.ProbeNext(settings_.probes_per_round);
    RunDelegateDuties();
    SendSummaries();
    ProbeAbsent();
    if (is_announcement_due_) {
      Announce();
    }
  }
  table_.ForgetGoneBefore(now - settings_.gone_retention);
  PublishIfChanged();
}

void MembershipCore::DetectDelay(base::MonotonicTime now) {
  const base::Duration gap = now - std::exchange(last_round_, now);
  if (gap > settings_.freeze_threshold) {
    DidResume();
  } else if (gap > 2 * settings_.round) {
    detector_.Postpone(gap - settings_.round);
    prober_.Postpone(gap - settings_.round);
  }
}

void MembershipCore::DidResume() {
  log_.Write(
      {.level = base::LogLevel::kWarning,
       .step = base::Step::kMembership,
       .message =
           "this VM was frozen; asking peers for the current membership"});
  is_settled_ = false;
  settling_since_ = clock_.Now();
  detector_.Clear();
  prober_.Clear();
  MarkChanged();
  PublishIfChanged();
}

void MembershipCore::RefreshTargets() {
  const auto targets = blackboard_.targets.Read();
  const Record& self = table_.self();
  if (targets->revision == self.targets_revision &&
      targets->digest == self.targets_digest) {
    return;
  }
  table_.SetSelfTargets(targets->revision, targets->digest);
  MarkChanged();
  if (!is_settled_) {
    return;
  }
  // The delegates pass the revision on to the other domains. Within this one
  // the regular rounds are fast enough.
  if (messenger_.IsDelegate()) {
    messenger_.SpreadToDomains({});
    return;
  }
  for (const std::string& name :
       table_.DelegatesOf(settings_.failure_domain, settings_.delegates)) {
    messenger_.Send(name, messenger_.Compose(HeartbeatKind::kUpdate));
  }
}

void MembershipCore::RunDelegateDuties() {
  if (!messenger_.IsDelegate()) {
    prober_.Clear();
    return;
  }
  if (prober_.RunRound()) {
    log_.Write({.level = base::LogLevel::kWarning,
                .step = base::Step::kMembership,
                .message = "a failure domain has become unreachable"});
    MarkChanged();
    messenger_.SpreadInDomain({});
  }
}

void MembershipCore::SendSummaries() {
  if (clock_.Now() < next_summary_) {
    return;
  }
  next_summary_ = clock_.Now() + settings_.summary_interval;
  std::vector<std::string> receivers;
  if (messenger_.IsDelegate()) {
    // One other delegate at a time is enough, since all probe the same domains.
    auto other_delegates =
        table_.DelegatesOf(settings_.failure_domain, settings_.delegates);
    std::erase(other_delegates, settings_.name);
    if (!other_delegates.empty()) {
      receivers.push_back(
          other_delegates[random_.Below(other_delegates.size())]);
    }
  }
  const auto present = table_.PresentIn(settings_.failure_domain);
  if (!present.empty()) {
    const std::string& name = present[random_.Below(present.size())];
    if (receivers.empty() || receivers.front() != name) {
      receivers.push_back(name);
    }
  }
  if (receivers.empty()) {
    return;
  }
  peer::wire::Heartbeat heartbeat = messenger_.Compose(HeartbeatKind::kUpdate);
  heartbeat.domains = messenger_.SummarizeAll();
  for (const std::string& name : receivers) {
    messenger_.Send(name, heartbeat);
  }
}

// Occasionally probes a daemon of this domain that is gone, or listed and never
// heard from, since it may only have been cut off.
void MembershipCore::ProbeAbsent() {
  if (clock_.Now() < next_absent_) {
    return;
  }
  next_absent_ = clock_.Now() + settings_.absent_interval;
  std::vector<std::string> absent = table_.GoneIn(settings_.failure_domain);
  for (const auto& [name, vm] : list_->others()) {
    if (is_own_domain(vm.failure_domain) && table_.Find(name) == nullptr) {
      absent.push_back(name);
    }
  }
  if (!absent.empty()) {
    detector_.ProbeAbsent(absent[random_.Below(absent.size())]);
  }
}

// Only the delegates of each domain read the list and pass it on, and so does a
// daemon that knows no other in its domain.
void MembershipCore::ReadListIfDue() {
  if (clock_.Now() < next_list_) {
    return;
  }
  const bool is_alone = table_.PresentIn(settings_.failure_domain).empty();
  if (is_settled_ && !is_alone && !messenger_.IsDelegate()) {
    return;
  }
  next_list_ = clock_.Now() + settings_.list_interval;
  list_->Read([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->DidReadList();
    }
  });
}

void MembershipCore::DidReadList() {
  std::vector<Record> changed;
  for (const auto& [name, vm] : list_->others()) {
    const Record* known = table_.Find(name);
    // The list may still describe a VM that has been replaced by another one.
    if (!vm.is_leaving || known == nullptr || known->address != vm.address ||
        StateOf(*known) != RecordState::kLive) {
      continue;
    }
    Record leaving = *known;
    SetState(leaving, RecordState::kLeaving);
    MergeRecord(leaving, settings_.name, changed);
  }
  if (list_->is_self_leaving() &&
      StateOf(table_.self()) == RecordState::kLive) {
    table_.SetSelfState(RecordState::kLeaving);
    is_announcement_due_ = true;
  }
  if (!changed.empty()) {
    for (const Record& record : changed) {
      messenger_.AddRecent(record.name);
    }
    messenger_.SpreadInDomain(changed);
    messenger_.SpreadToDomains(changed);
  }
  MarkChanged();
  if (!is_settled_) {
    AskForTable();
  }
}

void MembershipCore::AskForTable() {
  std::vector<std::string> near = table_.PresentIn(settings_.failure_domain);
  std::vector<std::string> far;
  for (const std::string& domain : table_.Domains()) {
    if (!is_own_domain(domain)) {
      far.push_back(messenger_.PickDelegateOf(domain));
    }
  }
  for (const auto& [name, vm] : list_->others()) {
    if (!table_.IsPresentMember(name)) {
      (is_own_domain(vm.failure_domain) ? near : far).push_back(name);
    }
  }
  const base::Duration waited = clock_.Now() - settling_since_;
  const bool knows_nobody = near.empty() && far.empty();
  if ((knows_nobody && list_->was_read()) ||
      (!knows_nobody && waited >= settings_.settle_timeout)) {
    DidSettle();
    return;
  }
  const bool is_far_due =
      near.empty() || waited * kOwnDomainDivisor >= settings_.settle_timeout;
  for (auto* names : {&near, &far}) {
    if (names->empty() || (names == &far && !is_far_due)) {
      continue;
    }
    peer::wire::Heartbeat request = messenger_.Compose(HeartbeatKind::kProbe);
    request.wants_table = true;
    messenger_.Send((*names)[random_.Below(names->size())], std::move(request));
  }
}

void MembershipCore::DidSettle() {
  is_settled_ = true;
  detector_.Clear();
  prober_.Clear();
  MarkChanged();
  Announce();
}

void MembershipCore::Announce() {
  is_announcement_due_ = false;
  messenger_.SpreadInDomain({});
  messenger_.SpreadToDomains({});
}

void MembershipCore::HandleReplacement(std::int64_t newer_incarnation) {
  log_.Write(
      {.level = base::LogLevel::kError,
       .step = base::Step::kMembership,
       .peer = settings_.name,
       .message =
           "a newer incarnation runs under this name, membership ends here: " +
           std::to_string(newer_incarnation)});
  is_running_ = false;
  is_settled_ = false;
  round_timer_.Cancel();
  list_->Close();
  table_.SetSelfState(RecordState::kLeaving);
  has_changed_ = true;
  PublishIfChanged();
  if (callbacks_.did_get_replaced) {
    callbacks_.did_get_replaced(newer_incarnation);
  }
}

void MembershipCore::MarkChanged() {
  has_changed_ = true;
  if (std::exchange(is_publish_scheduled_, true)) {
    return;
  }
  control_.After(kPublishDelay, [self = shared_from_this()] {
    self->is_publish_scheduled_ = false;
    self->PublishIfChanged();
  });
}

void MembershipCore::PublishIfChanged() {
  if (!std::exchange(has_changed_, false)) {
    return;
  }
  blackboard_.membership.Write(
      ComposeView(table_, reachability_, messenger_, *list_, is_settled_));
}

}  // namespace medlarspread::membership
