// Implementation of membership::VmList.

#include "src/membership/vm_list.h"

#include <utility>

namespace medlarspread::membership {

VmList::VmList(std::string self_name,
               std::string self_address,
               base::Duration timeout,
               base::TaskRunner control,
               store::ReadVmList read,
               base::Log log)
    : self_name_(std::move(self_name)),
      self_address_(std::move(self_address)),
      timeout_(timeout),
      control_(std::move(control)),
      read_(std::move(read)),
      log_(std::move(log)) {}

void VmList::Read(DidRead did_read) {
  if (std::exchange(is_reading_, true)) {
    return;
  }
  // The answer arrives on the platform client's own sequence.
  read_(timeout_, [self = shared_from_this(), did_read = std::move(did_read)](
                      base::Result<std::vector<store::Vm>> list) {
    self->control_.Post([self, did_read, list = std::move(list)] {
      self->HandleList(list, did_read);
    });
  });
}

void VmList::HandleList(const base::Result<std::vector<store::Vm>>& list,
                        const DidRead& did_read) {
  is_reading_ = false;
  if (is_closed_) {
    return;
  }
  if (!list.is_ok()) {
    log_.DidFail(list.error(),
                 "the VM list was not read; membership continues with peer "
                 "heartbeats only");
    return;
  }
  was_read_ = true;
  others_.clear();
  is_self_leaving_ = false;
  for (const store::Vm& vm : list.value()) {
    if (vm.role != store::VmRole::kEntry) {
      continue;
    }
    if (vm.name == self_name_) {
      is_self_leaving_ = vm.is_leaving && vm.address == self_address_;
    } else {
      others_[vm.name] = vm;
    }
  }
  did_read();
}

}  // namespace medlarspread::membership
