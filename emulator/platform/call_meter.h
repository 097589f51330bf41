// Counts calls to the platform and enforces its rate limits.

#ifndef MEDLARSPREAD_EMULATOR_PLATFORM_CALL_METER_H_
#define MEDLARSPREAD_EMULATOR_PLATFORM_CALL_METER_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "src/base/clock.h"
#include "src/base/name_table.h"

namespace medlarspread::emulator {

enum class CallKind { kGet, kPut, kErase, kList, kWatch, kLease, kVms };

constexpr base::NameTable<CallKind, 7> kCallKinds{{{{CallKind::kGet, "get"},
                                                    {CallKind::kPut, "put"},
                                                    {CallKind::kErase, "erase"},
                                                    {CallKind::kList, "list"},
                                                    {CallKind::kWatch, "watch"},
                                                    {CallKind::kLease, "lease"},
                                                    {CallKind::kVms, "vms"}}}};

struct CallRates {
  double writes_per_second = 400;
  double reads_per_second = 2000;
};

class CallMeter {
 public:
  CallMeter(CallRates rates, base::Clock clock);

  // Counts the call. Returns false if it exceeds the rate limit.
  bool Admit(CallKind kind);

  std::int64_t count(CallKind kind) const {
    return counts_[static_cast<std::size_t>(kind)];
  }
  std::int64_t over_rate() const { return over_rate_; }

 private:
  // A token bucket that holds up to one second's calls, refilled continuously.
  struct Bucket {
    double rate = 0;
    double tokens = 0;
    base::MonotonicTime filled;

    bool Take(base::MonotonicTime now);
  };

  const base::Clock clock_;
  Bucket writes_;
  Bucket reads_;
  std::array<std::int64_t, kCallKinds.rows.size()> counts_{};
  std::int64_t over_rate_ = 0;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_PLATFORM_CALL_METER_H_
