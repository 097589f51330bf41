// The membership protocol, run on the control sequence: rounds, heartbeats,
// reads of the platform's VM list, and the view composed from them.
//
// 1. Start: the list is read, and listed daemons are asked for their table
//    until one answers. Until then the view is not settled.
// 2. Each round: probes in this daemon's failure domain and, on a delegate,
//    probes of other domains. At longer intervals, summaries are sent to
//    compare tables, and one absent daemon is probed.
// 3. A change is broadcast at once: within a failure domain by the daemon that
//    detects it, to other domains by the delegates, and there by the delegate
//    that receives it.
// 4. A round that runs much too late means that the VM was frozen. The view is
//    then not settled and no daemon is declared gone until a peer has sent its
//    table. If that table calls this daemon gone, it refutes that.

#ifndef MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_CORE_H_
#define MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_CORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/membership/domain_prober.h"
#include "src/membership/domain_reachability.h"
#include "src/membership/draining_notices.h"
#include "src/membership/failure_detector.h"
#include "src/membership/member_table.h"
#include "src/membership/membership_callbacks.h"
#include "src/membership/membership_settings.h"
#include "src/membership/messenger.h"
#include "src/membership/vm_list.h"
#include "src/peer/message.h"
#include "src/store/store.h"

namespace medlarspread::membership {

// All calls run on `control`. The timers keep the object alive until Stop().
class MembershipCore : public std::enable_shared_from_this<MembershipCore> {
 public:
  MembershipCore(const MembershipSettings& settings,
                 const base::Clock& clock,
                 base::Random& random,
                 const base::TaskRunner& control,
                 const peer::PeerPort& port,
                 const store::ReadVmList& read_vm_list,
                 blackboard::Blackboard& blackboard,
                 MembershipCallbacks callbacks,
                 const base::Log& log);

  void Start();
  void Stop();
  void Leave();
  void NoteDrainingUpstream(const std::string& name);
  void DidReceiveHeartbeat(const peer::Sender& sender,
                           const peer::wire::Heartbeat& heartbeat);

 private:
  // Rounds.
  void ScheduleRound();
  void RunRound();
  void DetectDelay(base::MonotonicTime now);
  void DidResume();
  void RefreshTargets();
  void RunDelegateDuties();
  void SendSummaries();
  void ProbeAbsent();
  void ReadListIfDue();
  void DidReadList();

  // Joining, at the start and after a freeze.
  void AskForTable();
  void DidSettle();
  // Broadcasts this daemon's own record.
  void Announce();
  void HandleReplacement(std::int64_t newer_incarnation);

  // Heartbeats.
  bool MergeSender(const peer::wire::Heartbeat& heartbeat);
  void DidHearDomain(const std::string& domain);
  void MergeOthers(const peer::wire::Heartbeat& heartbeat);
  void MergeRecord(const Record& record,
                   const std::string& from,
                   std::vector<Record>& changed);
  void PassOn(const std::vector<Record>& changed, bool is_from_own_domain);
  void MergeDraining(const peer::wire::Heartbeat& heartbeat);
  void MergeUnreachable(const peer::wire::Heartbeat& heartbeat);
  void MergeSummaries(const peer::wire::Heartbeat& heartbeat);
  void MergeSummary(const std::string& domain,
                    const peer::wire::DomainSummary& summary,
                    bool is_from_domain);
  std::vector<std::string> ChooseWanted(const peer::wire::Heartbeat& heartbeat);
  void Reply(const peer::wire::Heartbeat& heartbeat, bool is_outdated);
  void ReportTargets(const Record& sender);

  // The view.
  void MarkChanged();
  void PublishIfChanged();

  bool is_own_domain(const std::string& domain) const {
    return domain == settings_.failure_domain;
  }

  const MembershipSettings settings_;
  const base::Clock clock_;
  base::Random& random_;
  const base::TaskRunner control_;
  blackboard::Blackboard& blackboard_;
  const MembershipCallbacks callbacks_;
  const base::Log log_;

  MemberTable table_;
  DomainReachability reachability_;
  DrainingNotices notices_;
  Messenger messenger_;
  FailureDetector detector_;
  DomainProber prober_;
  const std::shared_ptr<VmList> list_;

  bool is_running_ = false;
  bool is_settled_ = false;
  // Whether this daemon's record must be broadcast in the next round.
  bool is_announcement_due_ = false;
  bool has_changed_ = false;
  bool is_publish_scheduled_ = false;
  base::Timer round_timer_;
  base::MonotonicTime settling_since_;
  base::MonotonicTime last_round_;
  base::MonotonicTime next_summary_;
  base::MonotonicTime next_absent_;
  base::MonotonicTime next_list_;
  // When the records of a domain were last requested.
  std::map<std::string, base::MonotonicTime> wanted_at_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_CORE_H_
