// The platform's list of VMs as this daemon last read it. The list may lag
// behind; a failed read keeps the previous contents.

#ifndef MEDLARSPREAD_MEMBERSHIP_VM_LIST_H_
#define MEDLARSPREAD_MEMBERSHIP_VM_LIST_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/task_runner.h"
#include "src/store/store.h"

namespace medlarspread::membership {

// Keeps itself alive while a read is pending.
class VmList : public std::enable_shared_from_this<VmList> {
 public:
  using DidRead = std::function<void()>;

  // `control` is the sequence that uses this object and runs `did_read`.
  VmList(std::string self_name,
         std::string self_address,
         base::Duration timeout,
         base::TaskRunner control,
         store::ReadVmList read,
         base::Log log);

  // Reads the list, unless a read is pending. `did_read` runs on success.
  void Read(DidRead did_read);
  // No callback runs after this.
  void Close() { is_closed_ = true; }

  // Whether the list was read at least once.
  bool was_read() const { return was_read_; }
  // The other entry VMs on the list, by name.
  const std::map<std::string, store::Vm>& others() const { return others_; }
  // Whether this VM is listed as leaving with its current address. A row with
  // another address describes a VM that this one replaced.
  bool is_self_leaving() const { return is_self_leaving_; }

 private:
  void HandleList(const base::Result<std::vector<store::Vm>>& list,
                  const DidRead& did_read);

  const std::string self_name_;
  const std::string self_address_;
  const base::Duration timeout_;
  const base::TaskRunner control_;
  const store::ReadVmList read_;
  const base::Log log_;
  bool is_reading_ = false;
  bool was_read_ = false;
  bool is_closed_ = false;
  bool is_self_leaving_ = false;
  std::map<std::string, store::Vm> others_;
};

}  // namespace medlarspread::membership

#endif  // MEDLARSPREAD_MEMBERSHIP_VM_LIST_H_
