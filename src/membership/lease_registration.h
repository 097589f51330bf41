// Registers this daemon in the store for as long as it runs, and keeps the
// blackboard's membership view up to date from the registrations of all
// daemons.
//
// Where the store supports leases, this replaces heartbeats: a daemon that dies
// is removed when its lease ends. The resulting counts, which may be seconds
// old, are only used for values such as a daemon's share of a leaf's
// connections.
//
// Steps:
//   1. Daemons on larger VMs register themselves earlier, each under a lease.
//   2. A daemon on a VM that is small compared with others of its failure
//      domain does not register. It follows a registered daemon, which lists
//      its followers under one key. A daemon that is not listed after a while
//      registers itself.
//   3. A registered daemon renews its lease, and writes its list again when its
//      followers have changed.
//   4. After the store was restored from a backup, the lease may be lost and
//      its identifier assigned to another daemon. The lease is not renewed any
//      more; entry and list are written under a new one.
//
// Invariant: a daemon counts for at least the lease time after it was last
// heard from. Counting daemons that are already dead is safe, since it only
// makes the shares smaller.

#ifndef MEDLARSPREAD_MEMBERSHIP_LEASE_REGISTRATION_H_
#define MEDLARSPREAD_MEMBERSHIP_LEASE_REGISTRATION_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/membership/follower_list.h"
#include "src/store/event_source.h"

namespace medlarspread::membership {

struct LeaseRegistrationSettings {
  // How long a dead daemon still counts. Peers that call it detect its death
  // sooner.
  base::Duration time_to_live = base::Milliseconds(60'000);
  // Two renewals in a row may fail before the lease ends.
  base::Duration renewal_interval = base::Milliseconds(20'000);
  // The renewal interval of a daemon that reads the store. It lets that daemon,
  // and those that ask it, detect within two seconds that the store does not
  // respond. A renewal costs a tenth of a store call.
  base::Duration reader_renewal_interval = base::Milliseconds(1'000);
  // A daemon registers after this delay divided by its VM's number of cores.
  // A daemon with half a core registers 1.9 s before one with an eighth of a
  // core, which leaves it enough time to list the smaller one.
  base::Duration base_delay = base::Milliseconds(300);
  // A daemon on a small VM registers itself if it has not been listed for this
  // time.
  base::Duration listing_timeout = base::Milliseconds(6'000);
  // How often the list of followers is checked for changes and written if there
  // are any. It changes about twice while the whole fleet starts.
  base::Duration list_interval = base::Milliseconds(1'500);
  // How long the daemons on a removed list still count. Its writer, or the next
  // reader, needs seconds to detect the removal and write the list again.
  base::Duration removed_list_retention = base::Milliseconds(10'000);
};

// How long after its start a daemon on a VM with that many cores registers.
base::Duration RegistrationDelay(const LeaseRegistrationSettings& settings,
                                 double processor_share);

// Runs on the control thread. It is the only writer of Blackboard::membership
// with the opaque interface.
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
                    std::function<base::Duration()> renewal_delay,
                    std::function<void(const base::Status&)> did_renew,
                    base::Log log);

  void Start();
  void Stop();
  // An entry under kDaemonKeyPrefix was written, or removed if `value` is
  // absent.
  void DidChange(const std::string& name,
                 const std::optional<std::string>& value);
  // A list of followers under kFollowersKeyPrefix was written, or removed if
  // `value` is absent.
  void DidChangeFollowers(const std::string& reader,
                          const std::optional<std::string>& value);
  // A daemon that receives its store updates from this one identified itself
  // (see EncodeNamedEntry).
  void DidHearFollower(const std::string& entry);
  // The store was restored from a backup.
  void DidRestoreStore() { must_register_ = true; }
  // Writes the view to the blackboard if it changed since the last call.
  void Publish();

 private:
  using Members = std::map<std::string, blackboard::Member>;

  // Registers this daemon if no reader lists it; otherwise checks again later.
  void RegisterIfNeeded();
  // Whether a registered daemon of the failure domain runs on a VM so much
  // larger that this one follows it.
  bool is_on_small_vm() const;
  bool is_listed() const;
  void Register();
  void DidOpenLease(const base::Result<store::Lease>& lease);
  void Renew();
  void RenewLater();
  void WriteFollowers();
  void ForgetList(const std::string& reader);
  void RunAfter(base::Duration delay, void (LeaseRegistration::*step)());

  const LeaseRegistrationSettings settings_;
  const blackboard::Member self_;
  const base::Clock clock_;
  const base::TaskRunner control_;
  const store::EventSource source_;
  // Whether this daemon reads the store itself.
  const std::function<bool()> is_reading_store_;
  // How long to put off a renewal that is due.
  const std::function<base::Duration()> renewal_delay_;
  // Called with the outcome of each renewal.
  const std::function<void(const base::Status&)> did_renew_;
  blackboard::Blackboard& blackboard_;
  const base::Log log_;
  // Daemons that registered themselves, without this one.
  Members registered_;
  // Listed followers, by the reader's name.
  std::map<std::string, Members> lists_;
  // When removed lists are dropped, by the reader's name.
  std::map<std::string, base::MonotonicTime> forget_at_;
  FollowerList followers_;
  // The list that is stored under `lease_`.
  std::string written_followers_;
  bool is_changed_ = false;
  bool is_stopped_ = false;
  // Since when no reader lists this daemon; zero while one does.
  base::MonotonicTime unlisted_since_;
  // Zero while this daemon is not registered.
  std::int64_t lease_ = 0;
  // The lease was opened before the store was restored.
  bool must_register_ = false;
  base::MonotonicTime renewed_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_LEASE_REGISTRATION_H_
