// The daemon of the opaque interface, put together and taken down.
//
// One thread serves all traffic, since an entry VM has a fraction of one core;
// the control thread follows the store. They meet at the blackboard.

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
  // `announce` gets one line with the addresses once they are open.
  OpaqueDaemon(settings::DaemonSettings settings,
               base::Log log,
               std::ostream& announce);

  // Opens the listeners and starts the controllers.
  base::Status Start();
  // Serves until a signal asks for the end and the requests in work are done.
  void Run();

 private:
  void Announce();
  std::shared_ptr<http1::CallerListener> MakeCallers();
  // For requests that other daemons hand over.
  std::shared_ptr<http1::CallerListener> MakePeers();
  // Starts on a part that another daemon handed over, if it is still needed.
  http1::Abandon SubmitPart(query::IncomingRequest request,
                            http1::Respond respond);
  // Takes what the request has waited for this thread off its time.
  void TakeOffWait(query::IncomingRequest& request);
  std::shared_ptr<http1::CallerListener> MakePage(
      const std::string& address,
      std::function<http1::Response()> render);
  http1::Response RenderReadiness() const;
  http1::Response RenderMetrics();
  double ConnectionShare(const blackboard::Upstream& upstream) const;
  query::ForwardService::Ports MakeQueryPorts();
  void Record(const burn::RequestRecord& record);
  // A send to a leaf beyond the first of its shard.
  void CountRepeat(const query::ShardAttempt& attempt);
  void CountEnd(upstream::LeafOutcome outcome);
  void PruneConnections();
  std::shared_ptr<gossip::ReportExchange> MakeReports();
  std::shared_ptr<quarantine::Quarantine> MakeQuarantine();

  void WaitForSignal();
  // Reads the settings file again, on a signal or because it has changed. What
  // holds from then on: the level of the log, the limits of requests and extra
  // sends, the bound of a stop. Addresses hold until the next start. A file
  // with a problem is left out.
  void Reload(const char* why);
  void WatchSettingsFile();

  // The steps of a stop:
  //   1. not ready; each answer closes its connection;
  //   2. when the balancer has moved the callers elsewhere: accept no more and
  //      close the connections without a request;
  //   3. end when no request is left, or when the bound is near.
  void DidAskToStop();
  void CloseCallers();
  void EndWhenDone();

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
  // NOTE: not through `traffic_`, whose tasks overtake what the loop reads.
  base::LoopLag traffic_lag_{clock_, [this](std::function<void()> task) {
                               boost::asio::post(traffic_context_,
                                                 std::move(task));
                             }};
  boost::asio::signal_set signals_{traffic_context_};
  platform::StoreCalls store_calls_;
  StoreControllers controllers_;
  upstream::ForwardClient leaves_;
  upstream::ForwardClient peers_;
  const std::shared_ptr<routing::LeafTracker> tracker_;
  const std::shared_ptr<quarantine::Quarantine> quarantine_;
  query::ForwardService queries_;
  // Datagrams between daemons; closed if this one has no address for them.
  const std::shared_ptr<gossip::DatagramSocket> datagrams_;
  const std::shared_ptr<gossip::ReportExchange> reports_;
  std::shared_ptr<http1::CallerListener> callers_;
  // Null if this daemon takes no requests from others.
  std::shared_ptr<http1::CallerListener> peer_listener_;
  std::shared_ptr<http1::CallerListener> readiness_;
  std::shared_ptr<http1::CallerListener> metrics_page_;
  base::MonotonicTime stop_began_;
  // When the settings file was last written, as it was last read.
  std::filesystem::file_time_type settings_written_;
};

}  // namespace medlarspread::daemon

#endif  // MEDLARSPREAD_DAEMON_OPAQUE_DAEMON_H_
