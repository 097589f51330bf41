// Pages for operators: the queues, the report on burnt error budget and the
// metrics. The pages about targets are in admin_api.

#ifndef MEDLARSPREAD_DAEMON_OPERATOR_PAGES_H_
#define MEDLARSPREAD_DAEMON_OPERATOR_PAGES_H_

#include <string>

#include "src/admin_api/admin_api.h"
#include "src/caller_api/caller_api.h"
#include "src/daemon/controllers.h"
#include "src/daemon/metering.h"
#include "src/daemon/traffic.h"
#include "src/http/listener.h"
#include "src/peer/peer_network.h"

namespace medlarspread::daemon {

// Safe to use from any thread. The constructor's arguments must outlive it.
class OperatorPages {
 public:
  OperatorPages(Controllers& controllers,
                Traffic& traffic,
                const peer::PeerNetwork& network,
                const blackboard::Blackboard& blackboard,
                const caller_api::CallerApi& caller_api,
                Metering& metering);

  admin_api::AdminPorts ports();

 private:
  // Returns JSON: {"sessions", "sub_queries", "collections": [{"collection",
  // "queued", "running"}]}.
  std::string DescribeQueues() const;
  void ReportBurn(const std::string& format, http::Responder respond);

  Controllers& controllers_;
  Traffic& traffic_;
  const peer::PeerNetwork& network_;
  const blackboard::Blackboard& blackboard_;
  const caller_api::CallerApi& caller_api_;
  Metering& metering_;
};

}  // namespace medlarspread::daemon

#endif  // MEDLARSPREAD_DAEMON_OPERATOR_PAGES_H_
