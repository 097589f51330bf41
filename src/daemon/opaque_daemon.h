// The daemon of the opaque interface, which forwards requests and answers
// without parsing their bodies: creates all parts, runs them and shuts them
// down.
//
// One thread serves all traffic, since an entry VM has only a fraction of a
// core. The control thread follows the changes in the store and publishes them
// to the traffic thread through the blackboard.

#ifndef MEDLARSPREAD_DAEMON_OPAQUE_DAEMON_H_
#define MEDLARSPREAD_DAEMON_OPAQUE_DAEMON_H_

#include <filesystem>
#include <memory>
#include <ostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/loop_lag.h"
#include "src/base/random.h"
#include "src/base/result.h"
#include "src/blackboard/blackboard.h"
#include "src/daemon/control_thread.h"
#include "src/daemon/store_controllers.h"
#include "src/gossip/datagram_socket.h"
#include "src/gossip/report_exchange.h"
#include "src/http1/caller_listener.h"
#include "src/metrics/registry.h"
#include "src/platform/store_calls.h"
#include "src/quarantine/quarantine.h"
#include "src/query/forward_service.h"
#include "src/settings/daemon_settings.h"
#include "src/upstream/forward_client.h"

namespace medlarspread::daemon {

class OpaqueDaemon {
 public:
  // Once the listeners are open, one JSON line with their addresses is written
  // to `announce`.
  OpaqueDaemon(settings::DaemonSettings settings,
               base::Log log,
               std::ostream& announce);

  // Opens the listeners and starts the controllers.
  base::Status Start();
  // Blocks until SIGTERM or SIGINT has arrived and the requests in flight are
  // done, or the shutdown timeout is near.
  void Run();

 private:
  void Announce();
  std::shared_ptr<http1::CallerListener> MakeCallerListener();
  // The listener for partial requests and probes from other daemons.
  std::shared_ptr<http1::CallerListener> MakePeerListener();
  // Executes a part of a request that another daemon delegated to this one,
  // unless that daemon has already closed the connection.
  http1::Abandon SubmitPart(query::IncomingRequest request,
                            http1::Respond respond);
  // Subtracts the time that the request waited for this thread from the time
  // left until its deadline.
  void DeductWaitTime(query::IncomingRequest& request);
  std::shared_ptr<http1::CallerListener> MakePageListener(
      const std::string& address,
      std::function<http1::Response()> render);
  http1::Response RenderReadiness() const;
  http1::Response RenderMetrics();
  double ConnectionShare(const blackboard::Upstream& upstream) const;
  query::ForwardService::Ports MakeQueryPorts();
  void Record(const burn::RequestRecord& record);
  // Counts a send to a leaf other than the first for its shard.
  void CountRepeat(const query::ShardAttempt& attempt);
  void CountLeafReply(const upstream::ForwardReply& reply);
  void PruneConnections();
  std::shared_ptr<gossip::ReportExchange> MakeReportExchange();
  std::shared_ptr<quarantine::Quarantine> MakeQuarantine();

  void WaitForSignal();
  // Reloads the settings file after SIGHUP or a change of the file. The log
  // level, the limits for requests and extra sends, and the shutdown timeout
  // take effect at once; addresses only at the next start. An invalid file is
  // ignored.
  void Reload(const char* why);
  void WatchSettingsFile();

  // The steps of a graceful shutdown:
  //   1. Report not ready; each answer now closes its connection.
  //   2. Once the load balancer has had time to move the callers elsewhere,
  //      stop accepting connections and close those that have no request.
  //   3. End when no request is left, or shortly before the shutdown timeout.
  void StartGracefulStop();
  void CloseCallers();
  void ExitWhenDrained();

  settings::DaemonSettings settings_;
  const base::Log log_;
  std::ostream& announce_;
  const base::Clock clock_;
  const std::shared_ptr<base::Random> random_;
  blackboard::Blackboard blackboard_;
  metrics::Registry metrics_{clock_};
  ControlThread control_;
  boost::asio::io_context traffic_context_{1};
  const base::TaskRunner traffic_{traffic_context_};
  // NOTE: posts to the io_context directly, because tasks posted through
  // `traffic_` run before socket reads that are already pending.
  base::LoopLag traffic_lag_{clock_, [this](std::function<void()> task) {
                               boost::asio::post(traffic_context_,
                                                 std::move(task));
                             }};
  boost::asio::signal_set signals_{traffic_context_};
  platform::StoreCalls store_calls_;
  StoreControllers controllers_;
  upstream::ForwardClient leaf_client_;
  upstream::ForwardClient peer_client_;
  const std::shared_ptr<routing::LeafTracker> tracker_;
  const std::shared_ptr<quarantine::Quarantine> quarantine_;
  query::ForwardService queries_;
  // Datagrams between daemons; stays closed if this daemon has no
  // query_address.
  const std::shared_ptr<gossip::DatagramSocket> datagrams_;
  const std::shared_ptr<gossip::ReportExchange> reports_;
  std::shared_ptr<http1::CallerListener> callers_;
  // Null if this daemon accepts no requests from other daemons.
  std::shared_ptr<http1::CallerListener> peer_listener_;
  std::shared_ptr<http1::CallerListener> readiness_;
  std::shared_ptr<http1::CallerListener> metrics_page_;
  base::MonotonicTime stop_began_;
  // The modification time of the settings file at the last check.
  std::filesystem::file_time_type settings_written_;
};

}  // namespace medlarspread::daemon

#endif  // MEDLARSPREAD_DAEMON_OPAQUE_DAEMON_H_
