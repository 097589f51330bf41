// The administration API: operators state and read targets, read the status and
// the burn report, and set the log level. See docs/INTERFACES.md.

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
  // Empty: every call but the metrics is refused.
  std::string token;
  // Bodies of this API are small, below what the listener lets through.
  std::size_t max_body_bytes = 16 << 10;
};

// What other parts of the daemon contribute. Called from traffic threads; must
// not block.
struct AdminPorts {
  // The queues of this daemon as a JSON text.
  std::function<std::string()> describe_queues;
  // Answers with the burn report in the format ("json", "text", "html"), or
  // with an error if there is no such format.
  std::function<void(const std::string& format, http::Responder)> report_burn;
  // The metrics in the text format.
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

  // For the operators' listener; may outlive this object.
  http::Handler handler() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::admin_api

#endif  // MEDLARSPREAD_ADMIN_API_ADMIN_API_H_
