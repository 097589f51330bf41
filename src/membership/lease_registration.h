// Registers this daemon in the store for as long as it lives, and keeps the
// blackboard's view of the daemons from the entries of all.
//
// Where the store has leases this takes the place of heartbeats: a daemon that
// dies is gone when its lease ends. Only counts that may be seconds old depend
// on it, such as the shares of a leaf's connections.

#ifndef MEDLARSPREAD_MEMBERSHIP_LEASE_REGISTRATION_H_
#define MEDLARSPREAD_MEMBERSHIP_LEASE_REGISTRATION_H_

#include <memory>
#include <optional>
#include <string>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/store/event_source.h"

namespace medlarspread::membership {

// Before the name of a daemon in the key of its entry.
constexpr const char* kDaemonKeyPrefix = "daemons/";

struct LeaseRegistrationSettings {
  // How long a dead daemon still counts.
  base::Duration time_to_live = base::Milliseconds(15'000);
  // Two renewals may be lost before the lease ends.
  base::Duration renewal = base::Milliseconds(5'000);
};

// Runs on the control thread; the only writer of Blackboard::membership with
// the opaque interface.
class LeaseRegistration
    : public std::enable_shared_from_this<LeaseRegistration> {
 public:
  LeaseRegistration(LeaseRegistrationSettings settings,
                    blackboard::Member self,
                    base::TaskRunner control,
                    store::EventSource source,
                    blackboard::Blackboard& blackboard,
                    base::Log log);

  void Start();
  void Stop();
  // An entry under kDaemonKeyPrefix was written; or removed, if `value` is
  // absent.
  void DidChange(const std::string& name,
                 const std::optional<std::string>& value);
  // Makes the changes since the last call visible.
  void Publish();

 private:
  void Register();
  void DidOpenLease(const base::Result<store::Lease>& lease);
  void Renew();
  void Again(base::Duration delay, void (LeaseRegistration::*step)());

  const LeaseRegistrationSettings settings_;
  const blackboard::Member self_;
  const base::TaskRunner control_;
  const store::EventSource source_;
  blackboard::Blackboard& blackboard_;
  const base::Log log_;
  blackboard::MembershipView view_;
  bool is_changed_ = false;
  bool is_stopped_ = false;
  std::int64_t lease_ = 0;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_LEASE_REGISTRATION_H_
