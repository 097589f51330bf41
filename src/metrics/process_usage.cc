// Reads resource usage with getrusage() and from /proc.

#include "src/metrics/process_usage.h"

#include <fstream>

#include <sys/resource.h>
#include <unistd.h>

namespace medlarspread::metrics {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

double ToSeconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_usec) / kMicrosecondsPerSecond;
}

}  // namespace

ProcessUsage ReadProcessUsage() {
  ProcessUsage result;
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) == 0) {
    result.cpu_seconds = ToSeconds(usage.ru_utime) + ToSeconds(usage.ru_stime);
  }
  std::ifstream pages("/proc/self/statm");
  std::int64_t all = 0;
  std::int64_t resident = 0;
  if (pages >> all >> resident) {
    result.resident_bytes = resident * sysconf(_SC_PAGESIZE);
  }
  return result;
}

}  // namespace medlarspread::metrics
