// The daemon of the queries interface (JSON): creates the control plane and the
// query path, opens the listeners, runs until it is asked to stop, and then
// shuts down gracefully.

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
  // Once the listeners are open, one JSON line with their addresses is written
  // to `announce`.
  Daemon(settings::DaemonSettings settings,
         base::Log log,
         std::ostream& announce);

  // Creates all parts and opens the listeners. Errors: kInvalidArgument or
  // kUnavailable at kListen.
  base::Status Start();
  // Blocks until `should_stop` is set or a newer process has replaced this one,
  // then shuts down gracefully; `should_end_now` ends the shutdown at once.
  // Returns whether all work in flight was completed.
  bool RunUntil(const std::atomic<bool>& should_stop,
                const std::atomic<bool>& should_end_now);

 private:
  base::Status OpenListeners();
  void Announce();
  // Updates the lifecycle state on the blackboard and schedules the next check.
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
  // Null until the message handlers exist; messages that arrive before that are
  // dropped.
  std::atomic<MessageRouter*> active_router_ = nullptr;
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
