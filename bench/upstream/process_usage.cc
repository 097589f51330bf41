// Reads getrusage and /proc/self.

#include "bench/upstream/process_usage.h"

#include <filesystem>
#include <fstream>
#include <system_error>

#include <sys/resource.h>
#include <unistd.h>

namespace medlarspread::bench {

namespace {

std::int64_t ToMicroseconds(const timeval& time) {
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  return time.tv_sec * kMicrosecondsPerSecond + time.tv_usec;
}

}  // namespace

std::int64_t ProcessorMicroseconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return ToMicroseconds(usage.ru_utime) + ToMicroseconds(usage.ru_stime);
}

std::int64_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::int64_t total_pages = 0;
  std::int64_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * sysconf(_SC_PAGESIZE);
}

int OpenSockets() {
  int count = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/self/fd")) {
    std::error_code error;
    const auto target = std::filesystem::read_symlink(entry.path(), error);
    count += target.string().starts_with("socket:") ? 1 : 0;
  }
  return count;
}

}  // namespace medlarspread::bench
