// Lease, entry, renewals.

#include "src/membership/lease_registration.h"

#include <utility>

#include "src/base/json_string.h"

namespace medlarspread::membership {

namespace {

// Each call is paid for; a registration may come seconds late.
constexpr base::Duration kRetry = base::Milliseconds(2'000);

}  // namespace

LeaseRegistration::LeaseRegistration(LeaseRegistrationSettings settings,
                                     blackboard::Member self,
                                     base::TaskRunner control,
                                     store::EventSource source,
                                     blackboard::Blackboard& blackboard,
                                     base::Log log)
    : settings_(settings),
      self_(std::move(self)),
      control_(std::move(control)),
      source_(std::move(source)),
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
  blackboard::Member& member = view_.members[name];
  member.name = name;
  member.failure_domain = *value;
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
  source_.open_lease(settings_.time_to_live,
                     [self = shared_from_this()](
                         const base::Result<store::Lease>& lease) {
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
  source_.put(kDaemonKeyPrefix + self_.name, self_.failure_domain, lease_,
              [self = shared_from_this()](const base::Status& status) {
                if (!status.is_ok()) {
                  self->log_.DidFail(status.error(),
                                     "this daemon is not registered yet");
                  self->Again(kRetry, &LeaseRegistration::Register);
                  return;
                }
                self->Again(self->settings_.renewal,
                            &LeaseRegistration::Renew);
              });
}

void LeaseRegistration::Renew() {
  source_.keep_lease(
      lease_, [self = shared_from_this()](const base::Status& status) {
        const bool has_ended =
            !status.is_ok() &&
            status.error().code == base::ErrorCode::kNotFound;
        if (has_ended) {
          self->log_.DidFail(status.error(), "registering again");
          self->Again(base::Duration{}, &LeaseRegistration::Register);
          return;
        }
        self->Again(self->settings_.renewal, &LeaseRegistration::Renew);
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
