// The JSON line that a program prints once it accepts calls. It gives the
// actual address to the process that started it.

#ifndef MEDLARSPREAD_EMULATOR_SUPPORT_READY_LINE_H_
#define MEDLARSPREAD_EMULATOR_SUPPORT_READY_LINE_H_

#include <cstdint>
#include <string>

namespace medlarspread::emulator {

struct ReadyLine {
  // "platform" or "leaf".
  std::string kind;
  std::string name;
  std::string address;
  // The following are empty for the platform.
  std::string collection;
  std::string region;
  std::string failure_domain;
  // The seed of all random choices of this instance.
  std::uint64_t seed = 0;

  std::string ToJson() const;
};

// Writes the line to standard output and flushes it.
void PrintReadyLine(const ReadyLine& line);

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_SUPPORT_READY_LINE_H_
