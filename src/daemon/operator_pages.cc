// Renders the pages for operators.

#include "src/daemon/operator_pages.h"

#include <utility>

#include <cpprest/json.h>

#include "src/burn/report_format.h"

namespace medlarspread::daemon {

namespace {

using web::json::value;

}  // namespace

OperatorPages::OperatorPages(Controllers& controllers,
                             Traffic& traffic,
                             const peer::PeerNetwork& network,
                             const blackboard::Blackboard& blackboard,
                             const caller_api::CallerApi& caller_api,
                             Metering& metering)
    : controllers_(controllers),
      traffic_(traffic),
      network_(network),
      blackboard_(blackboard),
      caller_api_(caller_api),
      metering_(metering) {}

admin_api::AdminPorts OperatorPages::ports() {
  admin_api::AdminPorts ports;
  ports.describe_queues = [this] { return DescribeQueues(); };
  ports.report_burn = [this](const std::string& format,
                             http::Responder respond) {
    ReportBurn(format, std::move(respond));
  };
  ports.write_metrics = [this] {
    return metering_.Render(traffic_, network_, blackboard_,
                            caller_api_.invalid_requests());
  };
  return ports;
}

std::string OperatorPages::DescribeQueues() const {
  auto page = value::object();
  page["sessions"] = value::number(traffic_.queries().in_flight());
  page["sub_queries"] = value::number(traffic_.sub_query_server().in_flight());
  auto collections = value::array();
  for (const auto& row : traffic_.dispatchers().rows()) {
    auto object = value::object();
    object["collection"] = value::string(row.collection);
    object["queued"] = value::number(row.queued);
    object["running"] = value::number(row.running);
    collections[collections.size()] = std::move(object);
  }
  page["collections"] = std::move(collections);
  return page.serialize();
}

void OperatorPages::ReportBurn(const std::string& format,
                               http::Responder respond) {
  const auto known = burn::kReportFormatNames.ValueOf(format);
  if (!known) {
    respond({http::kBadRequest,
             {},
             R"({"error":"invalid","field":"format",)"
             R"("detail":"one of text, json, html"})",
             "application/json"});
    return;
  }
  controllers_.burn().Report(
      {}, [format = *known,
           respond = std::move(respond)](const burn::BurnReport& report) {
        respond({http::kOk,
                 {},
                 burn::FormatReport(report, format),
                 burn::ContentTypeOf(format)});
      });
}

}  // namespace medlarspread::daemon
