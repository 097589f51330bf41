// The platform's lagging list as this daemon last read it. An outage of the
// list leaves it as it was.

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

// A session that keeps itself alive while a read is under way.
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

  // Reads the list, unless a read is under way. `did_read` runs on success.
  void Read(DidRead did_read);
  // No callback runs any more.
  void Close() { is_closed_ = true; }

  // Whether the list was read at least once.
  bool was_read() const { return was_read_; }
  // The other entry VMs on it, by name.
  const std::map<std::string, store::Vm>& others() const { return others_; }
  // This VM itself is listed as leaving, at its own address: a row with another
  // one still means a VM that this one has replaced.
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
