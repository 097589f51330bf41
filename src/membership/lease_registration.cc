// Lease, entry, renewals.

#include "src/membership/lease_registration.h"

#include <sstream>
#include <string_view>
#include <utility>

namespace medlarspread::membership {

namespace {

// Each call is paid for; a registration may come seconds late.
constexpr base::Duration kRetry = base::Milliseconds(2'000);

// For a daemon that takes no requests from others.
constexpr std::string_view kNoAddress = "-";

// The value of a daemon's entry: words with blanks between.
std::string MakeEntry(const blackboard::Member& member) {
  std::ostringstream entry;
  entry << member.failure_domain << ' ' << member.address << ' '
        << member.region << ' '
        << (member.query_address.empty() ? kNoAddress : member.query_address)
        << ' ' << member.processor_share;
  return entry.str();
}

// Words that are missing, as in the entry of another version, leave what the
// daemon is without them.
blackboard::Member ParseEntry(const std::string& name,
                              const std::string& value) {
  blackboard::Member member;
  member.name = name;
  std::istringstream words(value);
  words >> member.failure_domain >> member.address >> member.region >>
      member.query_address;
  if (double share = 0.0; words >> share && share > 0.0) {
    member.processor_share = share;
  }
  if (member.query_address == kNoAddress) {
    member.query_address.clear();
  }
  return member;
}

}  // namespace

LeaseRegistration::LeaseRegistration(
    LeaseRegistrationSettings settings,
    blackboard::Member self,
    base::Clock clock,
    base::TaskRunner control,
    store::EventSource source,
    blackboard::Blackboard& blackboard,
    std::function<bool()> is_reading_store,
    std::function<void(const base::Status&)> did_renew,
    base::Log log)
    : settings_(settings),
      self_(std::move(self)),
      clock_(std::move(clock)),
      control_(std::move(control)),
      source_(std::move(source)),
      is_reading_store_(std::move(is_reading_store)),
      did_renew_(std::move(did_renew)),
      blackboard_(blackboard),
      log_(std::move(log)) {
  view_.self = self_.name;
  view_.members[self_.name] = self_;
  is_changed_ = true;
}

void LeaseRegistration::Start() {
  Publish();
  Register();
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
  if (!value) {
    view_.members.erase(name);
    return;
  }
  view_.members[name] = ParseEntry(name, *value);
}

void LeaseRegistration::Publish() {
  if (!is_changed_) {
    return;
  }
  is_changed_ = false;
  view_.is_settled = true;
  blackboard_.membership.Write(view_);
  log_.Write({.level = base::LogLevel::kInfo,
              .step = base::Step::kMembership,
              .message = std::to_string(view_.members.size()) +
                         " daemons are registered"});
}

void LeaseRegistration::Register() {
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
    Again(kRetry, &LeaseRegistration::Register);
    return;
  }
  lease_ = lease.value().id;
  source_.put(kDaemonKeyPrefix + self_.name, MakeEntry(self_), lease_,
              [self = shared_from_this()](const base::Status& status) {
                if (!status.is_ok()) {
                  self->log_.DidFail(status.error(),
                                     "this daemon is not registered yet");
                  self->Again(kRetry, &LeaseRegistration::Register);
                  return;
                }
                self->renewed_ = self->clock_.Now();
                self->RenewLater();
              });
}

// The interval is looked at again each second, since the daemon may become a
// reader meanwhile.
void LeaseRegistration::RenewLater() {
  Again(settings_.reader_renewal, &LeaseRegistration::Renew);
}

void LeaseRegistration::Renew() {
  const base::Duration interval =
      is_reading_store_() ? settings_.reader_renewal : settings_.renewal;
  if (clock_.Now() - renewed_ < interval) {
    RenewLater();
    return;
  }
  renewed_ = clock_.Now();
  source_.keep_lease(lease_, [self = shared_from_this()](
                                 const base::Status& status) {
    const bool has_ended =
        !status.is_ok() && status.error().code == base::ErrorCode::kNotFound;
    if (has_ended) {
      self->log_.DidFail(status.error(), "registering again");
      self->Again(base::Duration{}, &LeaseRegistration::Register);
      return;
    }
    self->did_renew_(status);
    self->RenewLater();
  });
}

void LeaseRegistration::Again(base::Duration delay,
                              void (LeaseRegistration::*step)()) {
  control_.After(delay, [self = shared_from_this(), step] {
    if (!self->is_stopped_) {
      (self.get()->*step)();
    }
  });
}

}  // namespace medlarspread::membership
