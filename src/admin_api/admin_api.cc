// Authorization, routing and handlers of the administration API.

#include "src/admin_api/admin_api.h"

#include <array>
#include <string_view>
#include <utility>

#include <cpprest/json.h>

#include "src/admin_api/bearer_token.h"
#include "src/admin_api/class_messages.h"
#include "src/admin_api/error_response.h"
#include "src/admin_api/status_report.h"
#include "src/store/json_fields.h"

namespace medlarspread::admin_api {

namespace {

using http::Request;
using http::Responder;
using http::Response;

constexpr std::string_view kClassesPath = "/v1/classes";
constexpr std::string_view kClassPrefix = "/v1/classes/";
constexpr std::string_view kMetricsPath = "/metrics";
constexpr char kAuthorization[] = "authorization";

Response MakeText(std::string body) {
  Response response;
  response.body = std::move(body);
  response.content_type = "text/plain; version=0.0.4; charset=utf-8";
  return response;
}

Response MakeUnauthorized() {
  Response response = MakeErrorResponse(http::kUnauthorized, "unauthorized",
                                        "a valid bearer token is required");
  response.headers["WWW-Authenticate"] = "Bearer";
  return response;
}

// Returns NAME of "/v1/classes/NAME", or "" for other paths.
std::string ClassNameIn(const std::string& path) {
  return path.starts_with(kClassPrefix) ? path.substr(kClassPrefix.size()) : "";
}

}  // namespace

class AdminApi::Impl {
 public:
  Impl(AdminSettings settings,
       AdminPorts ports,
       targets::TargetsController& targets,
       const blackboard::Blackboard& blackboard,
       base::Log log)
      : settings_(std::move(settings)),
        ports_(std::move(ports)),
        targets_(targets),
        blackboard_(blackboard),
        log_(std::move(log)) {}

  void Handle(const Request& request, const Responder& respond);

 private:
  using Call = void (Impl::*)(const Request&, const Responder&);
  struct Route {
    std::string_view method;
    // With a trailing slash it matches all paths below it, else exactly.
    std::string_view path;
    Call call;
  };

  void Dispatch(const Request& request, const Responder& respond);

  void ReadMetrics(const Request& request, const Responder& respond);
  void ReadClasses(const Request& request, const Responder& respond);
  void SetClass(const Request& request, const Responder& respond);
  void RemoveClass(const Request& request, const Responder& respond);
  void ReadStatus(const Request& request, const Responder& respond);
  void ReadBurn(const Request& request, const Responder& respond);
  void SetLogLevel(const Request& request, const Responder& respond);

  void Change(ParsedChange parsed, const Responder& respond);

  static const std::array<Route, 8> kRoutes;

  const AdminSettings settings_;
  const AdminPorts ports_;
  targets::TargetsController& targets_;
  const blackboard::Blackboard& blackboard_;
  const base::Log log_;
};

const std::array<AdminApi::Impl::Route, 8> AdminApi::Impl::kRoutes = {{
    {"GET", kMetricsPath, &Impl::ReadMetrics},
    {"GET", kClassesPath, &Impl::ReadClasses},
    {"GET", kClassPrefix, &Impl::ReadClasses},
    {"PUT", kClassPrefix, &Impl::SetClass},
    {"DELETE", kClassPrefix, &Impl::RemoveClass},
    {"GET", "/v1/status", &Impl::ReadStatus},
    {"GET", "/v1/burn", &Impl::ReadBurn},
    {"PUT", "/v1/log-level", &Impl::SetLogLevel},
}};

void AdminApi::Impl::Handle(const Request& request, const Responder& respond) {
  if (request.path != kMetricsPath) {
    const auto header = request.headers.find(kAuthorization);
    const bool is_authorized = header != request.headers.end() &&
                               IsAuthorized(header->second, settings_.token);
    if (!is_authorized) {
      respond(MakeUnauthorized());
      return;
    }
  }
  if (request.body.size() > settings_.max_body_bytes) {
    respond(MakeErrorResponse(http::kPayloadTooLarge, "too_large",
                              "the request body is too large", "body"));
    return;
  }
  Dispatch(request, respond);
}

void AdminApi::Impl::Dispatch(const Request& request,
                              const Responder& respond) {
  std::string allowed;
  for (const Route& route : kRoutes) {
    const bool is_match = route.path.ends_with('/')
                              ? request.path.starts_with(route.path) &&
                                    request.path.size() > route.path.size()
                              : request.path == route.path;
    if (!is_match) {
      continue;
    }
    if (request.method == route.method) {
      (this->*route.call)(request, respond);
      return;
    }
    allowed += (allowed.empty() ? "" : ", ") + std::string(route.method);
  }
  if (allowed.empty()) {
    respond(MakeErrorResponse(http::kNotFound, "not_found",
                              "there is no such resource"));
    return;
  }
  Response response = MakeErrorResponse(http::kMethodNotAllowed,
                                        "method_not_allowed", "use " + allowed);
  response.headers["Allow"] = allowed;
  respond(std::move(response));
}

void AdminApi::Impl::ReadMetrics(const Request& /*request*/,
                                 const Responder& respond) {
  respond(MakeText(ports_.write_metrics()));
}

void AdminApi::Impl::ReadClasses(const Request& request,
                                 const Responder& respond) {
  respond(
      RenderClasses(*blackboard_.targets.Read(), ClassNameIn(request.path)));
}

void AdminApi::Impl::SetClass(const Request& request,
                              const Responder& respond) {
  Change(ParseSetClass(ClassNameIn(request.path), request.body), respond);
}

void AdminApi::Impl::RemoveClass(const Request& request,
                                 const Responder& respond) {
  Change(ParseRemoveClass(ClassNameIn(request.path), request), respond);
}

void AdminApi::Impl::Change(ParsedChange parsed, const Responder& respond) {
  if (const auto* fault = std::get_if<targets::ChangeInvalid>(&parsed)) {
    respond(RenderOutcome(*fault));
    return;
  }
  targets_.Change(std::get<targets::TargetsChange>(std::move(parsed)),
                  [respond](const targets::ChangeOutcome& outcome) {
                    respond(RenderOutcome(outcome));
                  });
}

void AdminApi::Impl::ReadStatus(const Request& /*request*/,
                                const Responder& respond) {
  Response response;
  response.body = MakeStatusReport(blackboard_, targets_.alarms(),
                                   ports_.describe_queues());
  respond(std::move(response));
}

void AdminApi::Impl::ReadBurn(const Request& request,
                              const Responder& respond) {
  const auto format = request.parameters.find("format");
  ports_.report_burn(
      format == request.parameters.end() ? "json" : format->second, respond);
}

void AdminApi::Impl::SetLogLevel(const Request& request,
                                 const Responder& respond) {
  const auto object = store::ParseObject(request.body);
  const auto name = object ? store::ReadString(*object, "level")
                           : std::optional<std::string>();
  const auto level =
      name ? base::LogLevelFromName(*name) : std::optional<base::LogLevel>();
  if (!level) {
    respond(MakeErrorResponse(http::kBadRequest, "invalid",
                              "must be debug, info, warning or error",
                              "level"));
    return;
  }
  log_.set_level(*level);
  Response response;
  response.body = "{}";
  respond(std::move(response));
}

AdminApi::AdminApi(AdminSettings settings,
                   AdminPorts ports,
                   targets::TargetsController& targets,
                   const blackboard::Blackboard& blackboard,
                   base::Log log)
    : impl_(std::make_shared<Impl>(std::move(settings),
                                   std::move(ports),
                                   targets,
                                   blackboard,
                                   std::move(log))) {}

http::Handler AdminApi::handler() const {
  return [impl = impl_](const Request& request, const Responder& respond) {
    impl->Handle(request, respond);
  };
}

}  // namespace medlarspread::admin_api
