// Starts the listeners of leaves and registers the leaves.

#include "emulator/leaf/leaf_host.h"

#include <future>
#include <utility>

#include <cpprest/json.h>

#include "emulator/support/ready_line.h"
#include "src/http/client.h"

namespace medlarspread::emulator {

base::Status LeafHost::Start(const LeafSettings& settings) {
  auto service = std::make_shared<LeafService>(
      settings, clock_, base::TaskRunner(http::TrafficContext()));
  auto listener = std::make_unique<http::Listener>(
      http::ListenerSettings{.address = settings.address},
      [service](const http::Request& request, http::Responder respond) {
        service->DidReceive(request, std::move(respond));
      });
  const base::Status opened = listener->Open();
  if (!opened.is_ok()) {
    return opened;
  }
  PrintReadyLine({.kind = "leaf",
                  .name = settings.name,
                  .address = listener->address(),
                  .collection = settings.collection,
                  .region = settings.region,
                  .failure_domain = settings.failure_domain,
                  .seed = settings.seed});
  leaves_.push_back({settings, std::move(listener)});
  return base::Done{};
}

base::Status LeafHost::Register(const std::string& platform_address) const {
  http::Client client({.address = platform_address},
                      base::TaskRunner(http::TrafficContext()));
  std::promise<base::Result<http::Response>> promise;
  http::Request request;
  request.method = "POST";
  request.path = "/control/vms";
  request.body = VmRows();
  constexpr base::Duration kTimeout = base::Milliseconds(5000);
  client.Send(request, kTimeout,
              [&promise](base::Result<http::Response> result) {
                promise.set_value(std::move(result));
              });
  const auto result = promise.get_future().get();
  if (!result.is_ok()) {
    return result.error();
  }
  return base::Done{};
}

std::string LeafHost::VmRows() const {
  using web::json::value;
  value rows = value::array();
  for (const Leaf& leaf : leaves_) {
    value row;
    row["name"] = value::string(leaf.settings.name);
    row["role"] = value::string("upstream");
    row["address"] = value::string(leaf.listener->address());
    row["region"] = value::string(leaf.settings.region);
    row["failure_domain"] = value::string(leaf.settings.failure_domain);
    row["state"] = value::string("live");
    row["collection"] = value::string(leaf.settings.collection);
    rows[rows.size()] = std::move(row);
  }
  value body;
  body["vms"] = std::move(rows);
  return body.serialize();
}

}  // namespace medlarspread::emulator
