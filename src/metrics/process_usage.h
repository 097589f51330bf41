// What this process uses of its VM.

#ifndef MEDLARSPREAD_METRICS_PROCESS_USAGE_H_
#define MEDLARSPREAD_METRICS_PROCESS_USAGE_H_

#include <cstdint>

namespace medlarspread::metrics {

struct ProcessUsage {
  // User and system time since the start.
  double cpu_seconds = 0.0;
  std::int64_t resident_bytes = 0;
};

// A figure that can't be read is 0.
ProcessUsage ReadProcessUsage();

}  // namespace medlarspread::metrics

#endif  // MEDLARSPREAD_METRICS_PROCESS_USAGE_H_
