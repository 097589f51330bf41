// The control plane of a daemon: the controllers that keep the blackboard (the
// state shared with the traffic threads) up to date and call the platform. All
// of them run on the control thread's sequence.

#ifndef MEDLARSPREAD_DAEMON_CONTROLLERS_H_
#define MEDLARSPREAD_DAEMON_CONTROLLERS_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/burn/burn_controller.h"
#include "src/claims/claim_service.h"
#include "src/membership/membership_controller.h"
#include "src/metrics/registry.h"
#include "src/peer/message.h"
#include "src/settings/daemon_settings.h"
#include "src/store/store_client.h"
#include "src/store/vm_list_client.h"
#include "src/targets/targets_controller.h"
#include "src/upstream/health_client.h"
#include "src/upstream/leaf_client.h"
#include "src/upstream/upstream_controller.h"

namespace medlarspread::daemon {

// How other daemons identify and reach this process.
struct DaemonIdentity {
  // Increases with each start of the VM's process.
  std::int64_t incarnation = 0;
  // The address that accepts connections from peers, "ip:port".
  std::string peer_address;
};

class Controllers {
 public:
  // `random`, `blackboard` and `registry` must outlive the control thread.
  Controllers(const settings::DaemonSettings& settings,
              const DaemonIdentity& identity,
              const base::Clock& clock,
              base::Random& random,
              const base::TaskRunner& control,
              const base::TaskRunner& traffic,
              const peer::PeerPort& peers,
              blackboard::Blackboard& blackboard,
              metrics::Registry& registry,
              const base::Log& log);

  void Start();
  // Stops the controllers. burn() and claims() must have been stopped before.
  void Stop();

  // Whether a newer process runs under this daemon's name; this one must then
  // stop.
  bool is_replaced() const { return is_replaced_.load(); }

  upstream::LeafClient& leaves() { return leaves_; }
  upstream::UpstreamController& upstreams() { return upstreams_; }
  targets::TargetsController& targets() { return targets_; }
  membership::MembershipController& membership() { return membership_; }
  claims::ClaimService& claims() { return claims_; }
  burn::BurnController& burn() { return *burn_; }

 private:
  upstream::UpstreamCallbacks MakeUpstreamCallbacks();
  membership::MembershipCallbacks MakeMembershipCallbacks();

  const base::Log log_;
  std::atomic<bool> is_replaced_ = false;
  store::StoreClient store_client_;
  // Wraps store_client_ and counts its calls in the metrics.
  const store::Store store_;
  store::VmListClient vm_list_;
  upstream::LeafClient leaves_;
  upstream::HealthClient health_;
  upstream::UpstreamController upstreams_;
  targets::TargetsController targets_;
  membership::MembershipController membership_;
  claims::ClaimService claims_;
  const std::shared_ptr<burn::BurnController> burn_;
};

}  // namespace medlarspread::daemon

#endif  // MEDLARSPREAD_DAEMON_CONTROLLERS_H_
