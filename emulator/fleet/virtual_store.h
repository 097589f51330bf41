// Simulates the platform's store in virtual time, as far as needed for the
// daemons' verdicts: it stores values and notifies followers with a delay.

#ifndef MEDLARSPREAD_EMULATOR_FLEET_VIRTUAL_STORE_H_
#define MEDLARSPREAD_EMULATOR_FLEET_VIRTUAL_STORE_H_

#include <functional>
#include <map>
#include <string>

#include "src/base/result.h"
#include "src/base/task_runner.h"

namespace medlarspread::emulator {

class VirtualStore {
 public:
  using DidChange =
      std::function<void(const std::string& key, const std::string& value)>;

  explicit VirtualStore(base::TaskRunner runner) : runner_(std::move(runner)) {}

  void Put(const std::string& key,
           const std::string& value,
           const std::function<void(base::Status)>& done);
  // While unavailable, it fails writes and sends no notifications.
  void SetUnavailable(bool is_unavailable);
  // Sends all entries to the daemon, now or once the store is available again,
  // and then each change.
  void Follow(const std::string& daemon, DidChange did_change);
  void Unfollow(const std::string& daemon) { followers_.erase(daemon); }

  int writes() const { return writes_; }
  const std::map<std::string, std::string>& rows() const { return rows_; }

 private:
  void SendAll(const std::string& daemon);

  const base::TaskRunner runner_;
  std::map<std::string, std::string> rows_;
  std::map<std::string, DidChange> followers_;
  bool is_unavailable_ = false;
  int writes_ = 0;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_FLEET_VIRTUAL_STORE_H_
