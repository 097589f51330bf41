// Implementation of membership::LeaseRegistration.

#include "src/membership/lease_registration.h"

#include <algorithm>
#include <utility>

#include "src/membership/daemon_entry.h"

namespace medlarspread::membership {

namespace {

// Store calls cost money, and a registration may be seconds late.
constexpr base::Duration kRetryDelay = base::Milliseconds(2'000);
// How often an unregistered daemon checks whether it should register.
constexpr base::Duration kRegistrationCheckInterval = base::Milliseconds(1'000);
// A daemon with less than this fraction of another one's cores follows it.
constexpr double kSmallVmRatio = 0.5;
// A renewal is put off for at most this many intervals in all.
constexpr int kMaxRenewalDelays = 2;
// Lower bound of the number of cores in the registration delay.
constexpr double kMinShare = 0.1;

}  // namespace

base::Duration RegistrationDelay(const LeaseRegistrationSettings& settings,
                                 double processor_share) {
  const double share = std::max(kMinShare, processor_share);
  return base::Duration(static_cast<std::int64_t>(
      static_cast<double>(settings.base_delay.count()) / share));
}

LeaseRegistration::LeaseRegistration(
    LeaseRegistrationSettings settings,
    blackboard::Member self,
    base::Clock clock,
    base::TaskRunner control,
    store::EventSource source,
    blackboard::Blackboard& blackboard,
    std::function<bool()> is_reading_store,
    std::function<base::Duration()> renewal_delay,
    std::function<void(const base::Status&)> did_renew,
    base::Log log)
    : settings_(settings),
      self_(std::move(self)),
      clock_(std::move(clock)),
      control_(std::move(control)),
      source_(std::move(source)),
      is_reading_store_(std::move(is_reading_store)),
      renewal_delay_(std::move(renewal_delay)),
      did_renew_(std::move(did_renew)),
      blackboard_(blackboard),
      log_(std::move(log)),
      followers_(settings.time_to_live),
      is_changed_(true) {}

void LeaseRegistration::Start() {
  Publish();
  RunAfter(RegistrationDelay(settings_, self_.processor_share),
           &LeaseRegistration::RegisterIfNeeded);
  RunAfter(settings_.list_interval, &LeaseRegistration::WriteFollowers);
}

void LeaseRegistration::Stop() {
  is_stopped_ = true;
}

void LeaseRegistration::DidChange(const std::string& name,
                                  const std::optional<std::string>& value) {
  if (name == self_.name) {
    return;
  }
  is_changed_ = true;
  auto member = value ? DecodeEntry(name, *value) : std::nullopt;
  if (member) {
    registered_[name] = std::move(*member);
    return;
  }
  if (value) {
    log_.Write({.level = base::LogLevel::kWarning,
                .step = base::Step::kMembership,
                .message = "the entry of daemon " + name +
                           " is invalid; the daemon counts as gone"});
  }
  registered_.erase(name);
}

void LeaseRegistration::DidChangeFollowers(
    const std::string& reader,
    const std::optional<std::string>& value) {
  if (!value) {
    forget_at_[reader] = clock_.Now() + settings_.removed_list_retention;
    control_.After(settings_.removed_list_retention,
                   [self = shared_from_this(), reader] {
                     if (!self->is_stopped_) {
                       self->ForgetList(reader);
                     }
                   });
    return;
  }
  is_changed_ = true;
  forget_at_.erase(reader);
  std::vector<blackboard::Member> members = DecodeFollowers(*value);
  if (reader == self_.name) {
    followers_.DidReadStored(members, clock_.Now());
  }
  Members& list = lists_[reader];
  list.clear();
  for (blackboard::Member& member : members) {
    std::string name = member.name;
    list[std::move(name)] = std::move(member);
  }
}

void LeaseRegistration::ForgetList(const std::string& reader) {
  const auto due = forget_at_.find(reader);
  if (due == forget_at_.end() || clock_.Now() < due->second) {
    return;
  }
  forget_at_.erase(due);
  const bool was_listed = lists_.erase(reader) > 0;
  is_changed_ = is_changed_ || was_listed;
  Publish();
}

void LeaseRegistration::DidHearFollower(const std::string& entry) {
  const auto member = DecodeNamedEntry(entry);
  // NOTE: a daemon of another failure domain asks here only because its own
  // readers are unavailable. If it were listed, a list could grow to the whole
  // fleet, and each of its changes would be sent to the whole fleet.
  const bool is_listed_here = member && member->name != self_.name &&
                              member->failure_domain == self_.failure_domain;
  if (is_listed_here) {
    followers_.DidHear(*member, clock_.Now());
  }
}

void LeaseRegistration::WriteFollowers() {
  RunAfter(settings_.list_interval, &LeaseRegistration::WriteFollowers);
  if (lease_ == 0) {
    return;
  }
  std::vector<blackboard::Member> members = followers_.Current(clock_.Now());
  std::erase_if(members, [this](const blackboard::Member& member) {
    return registered_.contains(member.name);
  });
  std::string list = EncodeFollowers(members);
  if (list == written_followers_) {
    return;
  }
  source_.put(std::string(kFollowersKeyPrefix) + self_.name, list, lease_,
              [self = shared_from_this(), list,
               lease = lease_](const base::Status& status) {
                if (!status.is_ok()) {
                  self->log_.DidFail(
                      status.error(),
                      "the list of followers was not written; retrying");
                } else if (lease == self->lease_) {
                  self->written_followers_ = list;
                }
              });
}

void LeaseRegistration::Publish() {
  if (!is_changed_) {
    return;
  }
  is_changed_ = false;
  blackboard::MembershipView view;
  view.self = self_.name;
  view.is_settled = true;
  view.members = registered_;
  for (const auto& [reader, members] : lists_) {
    view.members.insert(members.begin(), members.end());
  }
  view.members[self_.name] = self_;
  log_.Write({.level = base::LogLevel::kInfo,
              .step = base::Step::kMembership,
              .message = std::to_string(view.members.size()) +
                         " known daemons, " +
                         std::to_string(registered_.size()) +
                         " of them registered, without this one"});
  blackboard_.membership.Write(std::move(view));
}

bool LeaseRegistration::is_on_small_vm() const {
  return std::any_of(
      registered_.begin(), registered_.end(), [this](const auto& row) {
        const blackboard::Member& other = row.second;
        return other.failure_domain == self_.failure_domain &&
               self_.processor_share < kSmallVmRatio * other.processor_share;
      });
}

bool LeaseRegistration::is_listed() const {
  return std::any_of(lists_.begin(), lists_.end(), [this](const auto& row) {
    return row.second.contains(self_.name);
  });
}

void LeaseRegistration::RegisterIfNeeded() {
  const base::MonotonicTime now = clock_.Now();
  if (is_listed()) {
    unlisted_since_ = {};
  } else if (unlisted_since_ == base::MonotonicTime{}) {
    unlisted_since_ = now;
  }
  const bool waits_for_list =
      unlisted_since_ == base::MonotonicTime{} ||
      (is_on_small_vm() && now - unlisted_since_ < settings_.listing_timeout);
  if (waits_for_list) {
    RunAfter(kRegistrationCheckInterval, &LeaseRegistration::RegisterIfNeeded);
    return;
  }
  log_.Write(
      {.level = base::LogLevel::kInfo,
       .step = base::Step::kMembership,
       .message = is_on_small_vm()
                      ? "no reader lists this daemon as a follower; registering"
                      : "registering"});
  Register();
}

void LeaseRegistration::Register() {
  must_register_ = false;
  source_.open_lease(
      settings_.time_to_live,
      [self = shared_from_this()](const base::Result<store::Lease>& lease) {
        self->DidOpenLease(lease);
      });
}

void LeaseRegistration::DidOpenLease(const base::Result<store::Lease>& lease) {
  if (is_stopped_) {
    return;
  }
  if (!lease.is_ok()) {
    log_.DidFail(lease.error(), "this daemon is not registered yet");
    RunAfter(kRetryDelay, &LeaseRegistration::Register);
    return;
  }
  lease_ = lease.value().id;
  written_followers_.clear();
  source_.put(std::string(kDaemonKeyPrefix) + self_.name, EncodeEntry(self_),
              lease_, [self = shared_from_this()](const base::Status& status) {
                if (!status.is_ok()) {
                  self->log_.DidFail(status.error(),
                                     "this daemon is not registered yet");
                  self->RunAfter(kRetryDelay, &LeaseRegistration::Register);
                  return;
                }
                self->renewed_ = self->clock_.Now();
                self->RenewLater();
              });
}

// The interval is checked again each second, since the daemon may become a
// reader in the meantime.
void LeaseRegistration::RenewLater() {
  RunAfter(settings_.reader_renewal_interval, &LeaseRegistration::Renew);
}

void LeaseRegistration::Renew() {
  if (must_register_) {
    log_.Write({.level = base::LogLevel::kInfo,
                .step = base::Step::kMembership,
                .message = "the store was restored; registering again"});
    Register();
    return;
  }
  const base::Duration interval = is_reading_store_()
                                      ? settings_.reader_renewal_interval
                                      : settings_.renewal_interval;
  if (clock_.Now() - renewed_ < interval) {
    RenewLater();
    return;
  }
  const base::Duration delay = renewal_delay_();
  const bool may_wait = clock_.Now() - renewed_ < interval * kMaxRenewalDelays;
  if (delay > base::Duration{} && may_wait) {
    RunAfter(delay, &LeaseRegistration::Renew);
    return;
  }
  renewed_ = clock_.Now();
  source_.keep_lease(lease_, [self = shared_from_this()](
                                 const base::Status& status) {
    const bool has_ended =
        !status.is_ok() && status.error().code == base::ErrorCode::kNotFound;
    if (has_ended) {
      self->log_.DidFail(status.error(),
                         "the lease has ended; registering again");
      self->RunAfter(base::Duration{}, &LeaseRegistration::Register);
      return;
    }
    self->did_renew_(status);
    self->RenewLater();
  });
}

void LeaseRegistration::RunAfter(base::Duration delay,
                                 void (LeaseRegistration::*step)()) {
  control_.After(delay, [self = shared_from_this(), step] {
    if (!self->is_stopped_) {
      (self.get()->*step)();
    }
  });
}

}  // namespace medlarspread::membership
