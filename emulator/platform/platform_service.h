// The emulated platform's HTTP service: key-value calls, the VM list and, under
// /control, calls that tests use to inject faults. All state is accessed on one
// sequence.
//
// Control calls (not counted and not affected by faults):
//   PUT  /control/vms {"vms":[..],"lag_ms"}   replaces the VM list
//   POST /control/vms {"vms":[..],"lag_ms"}   adds or replaces rows by name;
//                                             state "gone" removes a row
//   POST /control/faults {"outage":"none"|"refuse"|"hang","delay_ms",
//        "reply_delay_ms","lose_write_replies","lost_reply":"hang"|"error",
//        "fail_writes","key_prefix",
//        "outage_spares_vms"}                 sets the fields present
//   POST /control/checkpoint, POST /control/restore {"repeats_versions"}
//   GET  /control/counts

#ifndef MEDLARSPREAD_EMULATOR_PLATFORM_PLATFORM_SERVICE_H_
#define MEDLARSPREAD_EMULATOR_PLATFORM_PLATFORM_SERVICE_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "emulator/platform/call_meter.h"
#include "emulator/platform/key_value_store.h"
#include "emulator/support/lagged.h"
#include "src/base/task_runner.h"
#include "src/http/listener.h"
#include "src/store/store.h"

namespace medlarspread::emulator {

enum class Outage { kNone, kRefuse, kHang };
enum class LostReply { kHang, kError };

constexpr base::NameTable<Outage, 3> kOutages{{{{Outage::kNone, "none"},
                                                {Outage::kRefuse, "refuse"},
                                                {Outage::kHang, "hang"}}}};
constexpr base::NameTable<LostReply, 2> kLostReplies{
    {{{LostReply::kHang, "hang"}, {LostReply::kError, "error"}}}};

struct PlatformFaults {
  Outage outage = Outage::kNone;
  // The outage affects the key-value service only; the VM list stays available.
  bool outage_spares_vms = false;
  // Delay before a call takes effect, and between its effect and its reply.
  base::Duration delay{};
  base::Duration reply_delay{};
  // This many next writes to keys with `key_prefix` take effect, but their
  // replies are lost.
  int lose_write_replies = 0;
  LostReply lost_reply = LostReply::kHang;
  // This many next writes to such keys fail without effect, with the same 500
  // reply as for LostReply::kError.
  int fail_writes = 0;
  std::string key_prefix;
};

class PlatformService : public std::enable_shared_from_this<PlatformService> {
 public:
  PlatformService(CallRates rates, base::Clock clock, base::TaskRunner runner);

  // Called by the listener on any thread.
  void DidReceive(const http::Request& request, http::Responder respond);

 private:
  struct Watch {
    std::string key;
    std::int64_t after_version = 0;
    http::Responder respond;
    base::Timer timeout;
  };
  using WatchList = std::list<std::shared_ptr<Watch>>;

  void Handle(const http::Request& request, const http::Responder& respond);
  void Execute(const http::Request& request, const http::Responder& respond);
  // Executes a write, subject to the active faults.
  void ExecuteWrite(const http::Request& request,
                    const http::Responder& respond);
  void ReplyLater(const http::Responder& respond, http::Response response);

  http::Response Get(const std::string& key);
  http::Response Put(const std::string& key, const std::string& body);
  http::Response Erase(const http::Request& request, const std::string& key);
  http::Response List(const std::string& prefix);
  http::Response Vms();
  http::Response HandleLease(const http::Request& request);
  void StartWatch(const http::Request& request, const http::Responder& respond);
  void WakeWatches();

  http::Response HandleControl(const http::Request& request);
  http::Response SetVms(const http::Request& request);
  http::Response SetFaults(const std::string& body);
  http::Response Counts() const;
  void DidChangeOutage();

  const base::Clock clock_;
  const base::TaskRunner runner_;
  KeyValueStore store_;
  CallMeter meter_;
  PlatformFaults faults_;
  Lagged<std::vector<store::Vm>> vms_{{}};
  WatchList watches_;
  // Calls received during a hanging outage; they fail when it ends.
  std::vector<http::Responder> held_calls_;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_PLATFORM_PLATFORM_SERVICE_H_
