// CPU time and memory used by this process.

#ifndef MEDLARSPREAD_METRICS_PROCESS_USAGE_H_
#define MEDLARSPREAD_METRICS_PROCESS_USAGE_H_

#include <cstdint>

namespace medlarspread::metrics {

struct ProcessUsage {
  // User and system CPU time since the process started.
  double cpu_seconds = 0.0;
  std::int64_t resident_bytes = 0;
};

// Values that can't be read are 0.
ProcessUsage ReadProcessUsage();

}  // namespace medlarspread::metrics

#endif  // MEDLARSPREAD_METRICS_PROCESS_USAGE_H_
