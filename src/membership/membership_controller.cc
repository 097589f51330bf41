// Posts every call to MembershipCore on the control sequence.

#include "src/membership/membership_controller.h"

#include <utility>

#include "src/membership/membership_core.h"

namespace medlarspread::membership {

MembershipController::MembershipController(
    const MembershipSettings& settings,
    const base::Clock& clock,
    base::Random& random,
    const base::TaskRunner& control,
    const peer::PeerPort& port,
    const store::ReadVmList& read_vm_list,
    blackboard::Blackboard& blackboard,
    MembershipCallbacks callbacks,
    const base::Log& log)
    : control_(control),
      core_(std::make_shared<MembershipCore>(settings,
                                             clock,
                                             random,
                                             control,
                                             port,
                                             read_vm_list,
                                             blackboard,
                                             std::move(callbacks),
                                             log)) {}

MembershipController::~MembershipController() = default;

void MembershipController::Start() {
  control_.Post([core = core_] { core->Start(); });
}

void MembershipController::Stop(base::Task did_stop) {
  control_.Post([core = core_, did_stop = std::move(did_stop)] {
    core->Stop();
    if (did_stop) {
      did_stop();
    }
  });
}

void MembershipController::Leave() {
  control_.Post([core = core_] { core->Leave(); });
}

void MembershipController::NoteDrainingUpstream(const std::string& name) {
  control_.Post([core = core_, name] { core->NoteDrainingUpstream(name); });
}

void MembershipController::DidReceiveHeartbeat(
    const peer::Sender& sender,
    const peer::wire::Heartbeat& heartbeat) {
  control_.Post([core = core_, sender, heartbeat] {
    core->DidReceiveHeartbeat(sender, heartbeat);
  });
}

}  // namespace medlarspread::membership
