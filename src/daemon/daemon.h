// One daemon: builds the control and traffic sides, opens the listeners, runs
// until it is told to stop, and stops gracefully.

#ifndef MEDLARSPREAD_DAEMON_DAEMON_H_
#define MEDLARSPREAD_DAEMON_DAEMON_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/random.h"
#include "src/base/result.h"
#include "src/blackboard/blackboard.h"
#include "src/caller_api/caller_api.h"
#include "src/daemon/control_thread.h"
#include "src/daemon/controllers.h"
#include "src/daemon/graceful_stop.h"
#include "src/daemon/message_router.h"
#include "src/daemon/metering.h"
#include "src/daemon/operator_pages.h"
#include "src/daemon/traffic.h"
#include "src/http/listener.h"
#include "src/peer/peer_network.h"
#include "src/settings/daemon_settings.h"

namespace medlarspread::daemon {

class Daemon {
 public:
  // `announce` gets one JSON line with the daemon's addresses once it listens.
  Daemon(settings::DaemonSettings settings,
         base::Log log,
         std::ostream& announce);

  // Opens everything. Errors: kInvalidArgument or kUnavailable at kListen.
  base::Status Start();
  // Runs until `should_stop`, then stops gracefully; ends at once when
  // `should_end_now`. Returns whether nothing in flight was cut off.
  bool RunUntil(const std::atomic<bool>& should_stop,
                const std::atomic<bool>& should_end_now);

 private:
  base::Status OpenListeners();
  void Announce();
  // Writes the lifecycle to the blackboard and starts itself again.
  void CheckReadiness();
  std::vector<StopStep> MakeStopSteps();

  const settings::DaemonSettings settings_;
  const base::Log log_;
  std::ostream& announce_;
  const base::Clock clock_;
  const std::shared_ptr<base::Random> random_;
  const std::int64_t incarnation_;
  blackboard::Blackboard blackboard_;
  ControlThread control_;
  // Null until the receivers exist; messages before that are dropped.
  std::atomic<MessageRouter*> router_slot_ = nullptr;
  std::atomic<bool> is_stopping_ = false;
  std::unique_ptr<peer::PeerNetwork> network_;
  std::unique_ptr<Controllers> controllers_;
  std::unique_ptr<Traffic> traffic_;
  std::unique_ptr<MessageRouter> router_;
  Metering metering_{clock_};
  std::unique_ptr<OperatorPages> operator_pages_;
  std::unique_ptr<caller_api::CallerApi> caller_api_;
  std::unique_ptr<admin_api::AdminApi> admin_api_;
  std::unique_ptr<http::Listener> callers_;
  std::unique_ptr<http::Listener> operators_;
};

}  // namespace medlarspread::daemon

#endif  // MEDLARSPREAD_DAEMON_DAEMON_H_
