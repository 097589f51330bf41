// Makes this daemon known to the others for as long as it lives, and keeps the
// blackboard's view of the daemons from what the store says of all.
//
// Where the store has leases this takes the place of heartbeats: a daemon that
// dies is gone when its lease ends. Only counts that may be seconds old depend
// on it, such as the shares of a leaf's connections.
//
// Steps:
//   1. The stronger a VM, the sooner its daemon registers itself under a lease.
//   2. A daemon on a VM that is weak beside others of its failure domain does
//      not: it follows one of them, which lists its followers in one key. If it
//      is not listed after a while, it registers itself all the same.
//   3. Whoever is registered renews its lease, and writes its list again when
//      its followers have changed.
//   4. When the store was restored from a copy, the lease may be lost and its
//      identifier given to another daemon: it is not renewed any more, and
//      entry and list are written under a new lease.
//
// Invariant: a daemon counts for at least the time of a lease after it was last
// heard; dead ones that still count are the safe side of every share.

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
  // How long a dead daemon still counts. Peers that call it find out sooner.
  base::Duration time_to_live = base::Milliseconds(60'000);
  // Two renewals may be lost before the lease ends.
  base::Duration renewal = base::Milliseconds(20'000);
  // A daemon that reads the store renews this often, which shows it and those
  // that ask it within two seconds that the store has fallen silent. A renewal
  // costs a tenth of a call.
  base::Duration reader_renewal = base::Milliseconds(1'000);
  // A daemon registers itself this long after its start, divided by its VM's
  // part of a core. Half a core comes 1.9 s before an eighth, time enough to
  // register and to list it.
  base::Duration pace = base::Milliseconds(300);
  // A daemon on a weak VM that is not listed for this time registers itself.
  base::Duration listing_patience = base::Milliseconds(6'000);
  // The list of followers is looked at this often, and written if it changed:
  // a start of the whole fleet changes it twice or so.
  base::Duration list_interval = base::Milliseconds(1'500);
  // How long those of a list still count that was taken away: its writer, or
  // the next reader, needs seconds to find out and to write it again.
  base::Duration unlisted_kept = base::Milliseconds(10'000);
};

// How long after its start a daemon on a VM with that part of a core registers.
base::Duration RegistrationWait(const LeaseRegistrationSettings& settings,
                                double processor_share);

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
  // The list of a reader's followers, under kFollowersKeyPrefix, was written or
  // removed.
  void DidChangeFollowers(const std::string& reader,
                          const std::optional<std::string>& value);
  // A daemon that takes its news from this one said who it is
  // (EncodeNamedEntry).
  void DidHearFollower(const std::string& entry);
  // The store was restored from a copy.
  void DidRestoreStore() { must_register_ = true; }
  // Makes the changes since the last call visible.
  void Publish();

 private:
  using Members = std::map<std::string, blackboard::Member>;

  // Registers this daemon if nobody lists it, or looks again later.
  void ConsiderRegistering();
  // Whether another daemon of the failure domain is registered that is so much
  // stronger that this one follows it.
  bool is_weak() const;
  bool is_listed() const;
  void Register();
  void DidOpenLease(const base::Result<store::Lease>& lease);
  void Renew();
  void RenewLater();
  void WriteFollowers();
  void ForgetList(const std::string& reader);
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
  // Daemons that registered themselves, without this one.
  Members registered_;
  // What readers list, by the reader's name.
  std::map<std::string, Members> lists_;
  // When lists that were taken away are forgotten, by the reader's name.
  std::map<std::string, base::MonotonicTime> forget_at_;
  FollowerList followers_;
  // The list as it stands in the store under `lease_`.
  std::string written_followers_;
  bool is_changed_ = false;
  bool is_stopped_ = false;
  // Since when nobody lists this daemon; zero while somebody does.
  base::MonotonicTime unlisted_since_;
  // Zero while this daemon is not registered.
  std::int64_t lease_ = 0;
  // The lease is of the time before a restore of the store.
  bool must_register_ = false;
  base::MonotonicTime renewed_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_LEASE_REGISTRATION_H_
