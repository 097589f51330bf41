// The client of the platform's list of VMs, which lags behind the actual state:
// implements ReadVmList.

#ifndef MEDLARSPREAD_STORE_VM_LIST_CLIENT_H_
#define MEDLARSPREAD_STORE_VM_LIST_CLIENT_H_

#include <cstddef>
#include <memory>
#include <string>

#include "src/base/task_runner.h"
#include "src/store/store.h"

namespace medlarspread::store {

struct VmListClientSettings {
  // "ip:port" of the platform.
  std::string address;
  std::size_t max_body_bytes = 16 << 20;
};

class VmListClient {
 public:
  // Callbacks run on `sequence`.
  VmListClient(VmListClientSettings settings, base::TaskRunner sequence);

  // Fails with what the HTTP client reports, kOverloaded (429), kUnavailable
  // (any other status) or kMalformed. One invalid row fails the whole list,
  // because a list without that VM would look like the loss of the VM. Unknown
  // fields are ignored. The call may outlive this object.
  ReadVmList read_vm_list() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::store

#endif  // MEDLARSPREAD_STORE_VM_LIST_CLIENT_H_
