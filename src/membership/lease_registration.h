// Registers this daemon in the store for as long as it lives, and keeps the
// blackboard's view of the daemons from the entries of all.
//
// Where the store has leases this takes the place of heartbeats: a daemon that
// dies is gone when its lease ends. Only counts that may be seconds old depend
// on it, such as the shares of a leaf's connections.

#ifndef MEDLARSPREAD_MEMBERSHIP_LEASE_REGISTRATION_H_
#define MEDLARSPREAD_MEMBERSHIP_LEASE_REGISTRATION_H_

#include <functional>
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
  // How long a dead daemon still counts. Peers that call it find out sooner.
  base::Duration time_to_live = base::Milliseconds(60'000);
  // Two renewals may be lost before the lease ends.
  base::Duration renewal = base::Milliseconds(20'000);
  // A daemon that reads the store renews this often, which shows it and those
  // that ask it within two seconds that the store has fallen silent. A renewal
  // costs a tenth of a call.
  base::Duration reader_renewal = base::Milliseconds(1'000);
};

// Runs on the control thread; the only writer of Blackboard::membership with
// the opaque interface.
class LeaseRegistration
    : public std::enable_shared_from_this<LeaseRegistration> {
 public:
  LeaseRegistration(LeaseRegistrationSettings settings,
                    blackboard::Member self,
                    base::Clock clock,
                    base::TaskRunner control,
                    store::EventSource source,
                    blackboard::Blackboard& blackboard,
                    std::function<bool()> is_reading_store,
                    std::function<void(const base::Status&)> did_renew,
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
  void RenewLater();
  void Again(base::Duration delay, void (LeaseRegistration::*step)());

  const LeaseRegistrationSettings settings_;
  const blackboard::Member self_;
  const base::Clock clock_;
  const base::TaskRunner control_;
  const store::EventSource source_;
  // Whether this daemon takes its news from the store itself.
  const std::function<bool()> is_reading_store_;
  // Told of the outcome of each renewal.
  const std::function<void(const base::Status&)> did_renew_;
  blackboard::Blackboard& blackboard_;
  const base::Log log_;
  blackboard::MembershipView view_;
  bool is_changed_ = false;
  bool is_stopped_ = false;
  std::int64_t lease_ = 0;
  base::MonotonicTime renewed_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_LEASE_REGISTRATION_H_
