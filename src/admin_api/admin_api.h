// The administration API: operators read and change the targets of classes,
// read the status and the burn report, and set the log level. See
// docs/INTERFACES.md.

#ifndef MEDLARSPREAD_ADMIN_API_ADMIN_API_H_
#define MEDLARSPREAD_ADMIN_API_ADMIN_API_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "src/base/log.h"
#include "src/blackboard/blackboard.h"
#include "src/http/listener.h"
#include "src/targets/targets_controller.h"

namespace medlarspread::admin_api {

struct AdminSettings {
  // The bearer token. If empty, every request except GET /metrics is rejected.
  std::string token;
  // Request bodies of this API are small, so this is below the limit of the
  // listener.
  std::size_t max_body_bytes = 16 << 10;
};

// Callbacks into other parts of the daemon. Called on traffic threads; must not
// block.
struct AdminPorts {
  // Returns the state of this daemon's queues as JSON.
  std::function<std::string()> describe_queues;
  // Responds with the burn report in `format` ("json", "text" or "html"), or
  // with an error if the format is unknown.
  std::function<void(const std::string& format, http::Responder)> report_burn;
  // Returns the metrics in the Prometheus text format.
  std::function<std::string()> write_metrics;
};

class AdminApi {
 public:
  // `targets` and `blackboard` must outlive the listener.
  AdminApi(AdminSettings settings,
           AdminPorts ports,
           targets::TargetsController& targets,
           const blackboard::Blackboard& blackboard,
           base::Log log);

  // Returns the handler for the operators' listener. It may outlive this
  // object.
  http::Handler handler() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::admin_api

#endif  // MEDLARSPREAD_ADMIN_API_ADMIN_API_H_
