// Requests and parses the list of VMs.

#include "src/store/vm_list_client.h"

#include <optional>
#include <utility>
#include <vector>

#include <cpprest/json.h>

#include "src/base/name_table.h"
#include "src/http/client.h"
#include "src/store/json_fields.h"

namespace medlarspread::store {

namespace {

using base::ErrorCode;
using base::Step;
using HttpResult = base::Result<http::Response>;

constexpr char kPath[] = "/v1/vms";

enum class VmState { kLive, kLeaving };

constexpr base::NameTable<VmRole, 2> kRoleNames{{{
    {VmRole::kEntry, "entry"},
    {VmRole::kUpstream, "upstream"},
}}};

constexpr base::NameTable<VmState, 2> kStateNames{{{
    {VmState::kLive, "live"},
    {VmState::kLeaving, "leaving"},
}}};

std::optional<Vm> ParseVm(const web::json::value& row) {
  const auto name = ReadString(row, "name");
  const auto address = ReadString(row, "address");
  const auto region = ReadString(row, "region");
  const auto failure_domain = ReadString(row, "failure_domain");
  const auto role = kRoleNames.ValueOf(ReadString(row, "role").value_or(""));
  const auto state = kStateNames.ValueOf(ReadString(row, "state").value_or(""));
  if (!name || name->empty() || !address || !region || !failure_domain ||
      !role || !state) {
    return std::nullopt;
  }
  const std::string collection = ReadString(row, "collection").value_or("");
  if (*role == VmRole::kUpstream && collection.empty()) {
    return std::nullopt;
  }
  return Vm{.name = *name,
            .role = *role,
            .address = *address,
            .region = *region,
            .failure_domain = *failure_domain,
            .is_leaving = *state == VmState::kLeaving,
            .collection = collection};
}

std::optional<std::vector<Vm>> ParseVmList(const std::string& body) {
  const auto object = ParseObject(body);
  const auto* array = object ? FindArray(*object, "vms") : nullptr;
  if (array == nullptr) {
    return std::nullopt;
  }
  std::vector<Vm> vms;
  for (const auto& row : array->as_array()) {
    auto vm = ParseVm(row);
    if (!vm) {
      return std::nullopt;
    }
    vms.push_back(std::move(*vm));
  }
  return vms;
}

}  // namespace

class VmListClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const VmListClientSettings& settings, base::TaskRunner sequence)
      : address_(settings.address),
        client_({.address = settings.address,
                 .step = Step::kMembership,
                 .max_body_bytes = settings.max_body_bytes},
                std::move(sequence)) {}

  void Read(base::Duration timeout, VmListCallback callback) {
    http::Request request;
    request.path = kPath;
    client_.Send(
        request, timeout,
        [self = shared_from_this(), callback = std::move(callback)](
            const HttpResult& result) { callback(self->DidRead(result)); });
  }

 private:
  base::Result<std::vector<Vm>> DidRead(const HttpResult& result) const {
    if (!result.is_ok()) {
      return result.error();
    }
    const int status = result.value().status;
    if (status != http::kOk) {
      const bool is_overload = status == http::kTooManyRequests;
      return base::MakeError(
          is_overload ? ErrorCode::kOverloaded : ErrorCode::kUnavailable,
          Step::kMembership, address_, "status " + std::to_string(status));
    }
    auto vms = ParseVmList(result.value().body);
    if (!vms) {
      return base::MakeError(
          ErrorCode::kMalformed, Step::kMembership, address_,
          "the list of VMs does not match the published format");
    }
    return std::move(*vms);
  }

  const std::string address_;
  http::Client client_;
};

VmListClient::VmListClient(VmListClientSettings settings,
                           base::TaskRunner sequence)
    : impl_(std::make_shared<Impl>(settings, std::move(sequence))) {}

ReadVmList VmListClient::read_vm_list() const {
  return [impl = impl_](base::Duration timeout, VmListCallback callback) {
    impl->Read(timeout, std::move(callback));
  };
}

}  // namespace medlarspread::store
