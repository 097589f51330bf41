// Keeps the membership view of the blackboard: which daemons there are, of
// which incarnation, live or leaving. Carries the revision of the targets and
// news of draining upstreams along with it.

#ifndef MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_CONTROLLER_H_
#define MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_CONTROLLER_H_

#include <memory>
#include <string>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/membership/membership_callbacks.h"
#include "src/membership/membership_settings.h"
#include "src/peer/message.h"
#include "src/store/store.h"

namespace medlarspread::membership {

class MembershipCore;

// Safe to call from any thread: the work is done on the control sequence.
class MembershipController {
 public:
  // `random` and `blackboard` must outlive the control sequence.
  MembershipController(const MembershipSettings& settings,
                       const base::Clock& clock,
                       base::Random& random,
                       const base::TaskRunner& control,
                       const peer::PeerPort& port,
                       const store::ReadVmList& read_vm_list,
                       blackboard::Blackboard& blackboard,
                       MembershipCallbacks callbacks,
                       const base::Log& log = base::Log());
  ~MembershipController();

  MembershipController(const MembershipController&) = delete;
  MembershipController& operator=(const MembershipController&) = delete;

  void Start();

  // Tells the others that this daemon ends and falls silent. `did_stop` runs on
  // the control sequence once the messages are handed to the links.
  void Stop(base::Task did_stop = {});

  // Tells all that this daemon is leaving: it gets no new work from now on.
  void Leave();

  // Tells all that an upstream said it was draining.
  void NoteDrainingUpstream(const std::string& name);

  // For each heartbeat that the links receive.
  void DidReceiveHeartbeat(const peer::Sender& sender,
                           const peer::wire::Heartbeat& heartbeat);

 private:
  const base::TaskRunner control_;
  const std::shared_ptr<MembershipCore> core_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_CONTROLLER_H_
