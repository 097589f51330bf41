// Token buckets for reads and writes, and counts per kind of call.

#include "emulator/platform/call_meter.h"

#include <algorithm>

namespace medlarspread::emulator {

namespace {

bool IsWrite(CallKind kind) {
  return kind == CallKind::kPut || kind == CallKind::kErase ||
         kind == CallKind::kLease;
}

}  // namespace

CallMeter::CallMeter(CallRates rates, base::Clock clock)
    : clock_(clock),
      writes_{rates.writes_per_second, rates.writes_per_second, clock.Now()},
      reads_{rates.reads_per_second, rates.reads_per_second, clock.Now()} {}

bool CallMeter::Admit(CallKind kind) {
  ++counts_[static_cast<std::size_t>(kind)];
  Bucket& bucket = IsWrite(kind) ? writes_ : reads_;
  if (bucket.Take(clock_.Now())) {
    return true;
  }
  ++over_rate_;
  return false;
}

bool CallMeter::Bucket::Take(base::MonotonicTime now) {
  const double seconds = std::chrono::duration<double>(now - filled).count();
  filled = now;
  tokens = std::min(rate, tokens + seconds * rate);
  if (tokens < 1) {
    return false;
  }
  tokens -= 1;
  return true;
}

}  // namespace medlarspread::emulator
