// The query path of a daemon: sessions for the requests of callers, queues for
// the shards that this daemon owns, and the claims of non-idempotent requests.
// Runs on the traffic threads and reads the blackboard.

#ifndef MEDLARSPREAD_DAEMON_TRAFFIC_H_
#define MEDLARSPREAD_DAEMON_TRAFFIC_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/burn/request_record.h"
#include "src/claims/claim_port.h"
#include "src/peer/message.h"
#include "src/query/query_service.h"
#include "src/routing/dispatcher_set.h"
#include "src/routing/policy.h"
#include "src/routing/router.h"
#include "src/routing/sub_query_client.h"
#include "src/routing/sub_query_server.h"
#include "src/upstream/leaf_port.h"

namespace medlarspread::daemon {

struct TrafficPorts {
  upstream::LeafPort leaves;
  std::function<void(const std::string&, const upstream::LeafReply&)> observe;
  peer::PeerPort peers;
  claims::ClaimPort claim;
  burn::RecordRequest record;
};

struct TrafficOptions {
  // Makes attempt identifiers unique across daemons and incarnations.
  std::string attempt_prefix;
  routing::Policy policy;
  // Limit on second sends, as a share of first sends.
  double second_send_share = 0.0;
  int most_in_flight = 0;
};

class Traffic {
 public:
  // `blackboard` must outlive all requests.
  Traffic(TrafficOptions options,
          base::Clock clock,
          std::shared_ptr<base::Random> random,
          base::TaskRunner runner,
          const blackboard::Blackboard& blackboard,
          TrafficPorts ports);

  query::QueryService& queries() { return *queries_; }
  const query::QueryService& queries() const { return *queries_; }
  routing::SubQueryClient& sub_query_client() { return *client_; }
  routing::SubQueryServer& sub_query_server() { return *server_; }
  const routing::DispatcherSet& dispatchers() const { return *dispatchers_; }

 private:
  std::shared_ptr<routing::Dispatcher> MakeDispatcher(
      const std::string& collection);
  // Sends a request for a shard that is late in this region to the shard's
  // owner in another region. Returns whether there is one.
  bool ForwardSecondSend(const routing::ShardRequest& request,
                         const routing::ShardCallback& done);

  const TrafficOptions options_;
  const base::Clock clock_;
  const std::shared_ptr<base::Random> random_;
  const base::TaskRunner runner_;
  const blackboard::Blackboard& blackboard_;
  const TrafficPorts ports_;
  const std::shared_ptr<routing::LeafWindows> windows_;
  const std::shared_ptr<routing::LoadTable> loads_;
  const std::shared_ptr<routing::DispatcherSet> dispatchers_;
  const std::shared_ptr<routing::SubQueryClient> client_;
  const std::shared_ptr<routing::SubQueryServer> server_;
  const std::shared_ptr<routing::Router> router_;
  const std::unique_ptr<query::QueryService> queries_;
};

}  // namespace medlarspread::daemon

#endif  // MEDLARSPREAD_DAEMON_TRAFFIC_H_
