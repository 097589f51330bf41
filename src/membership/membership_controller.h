// Maintains the membership view on the blackboard: the known daemons, their
// incarnation, and whether they are live or leaving. Also distributes the
// active targets revision and notices of draining upstreams.

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

// Thread-safe: the work is done on the control sequence.
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

  // Tells the other daemons that this one ends, and sends nothing afterwards.
  // `did_stop` runs on the control sequence once the messages are handed to the
  // links.
  void Stop(base::Task did_stop = {});

  // Tells the other daemons that this one is leaving and takes no new work.
  void Leave();

  // Tells the other daemons that an upstream announced that it is draining.
  void NoteDrainingUpstream(const std::string& name);

  // Must be called for each heartbeat that the peer links receive.
  void DidReceiveHeartbeat(const peer::Sender& sender,
                           const peer::wire::Heartbeat& heartbeat);

 private:
  const base::TaskRunner control_;
  const std::shared_ptr<MembershipCore> core_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_MEMBERSHIP_CONTROLLER_H_
