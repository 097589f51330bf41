// What this process has used so far, as the kernel counts it.

#ifndef MEDLARSPREAD_BENCH_UPSTREAM_PROCESS_USAGE_H_
#define MEDLARSPREAD_BENCH_UPSTREAM_PROCESS_USAGE_H_

#include <cstdint>

namespace medlarspread::bench {

// Processor time of all threads, user and system, in microseconds.
std::int64_t ProcessorMicroseconds();
// Resident memory in bytes.
std::int64_t ResidentBytes();
// Open sockets, listening and connected.
int OpenSockets();

}  // namespace medlarspread::bench

#endif  // MEDLARSPREAD_BENCH_UPSTREAM_PROCESS_USAGE_H_
