// The load of one request class in a load run.

#ifndef MEDLARSPREAD_EMULATOR_LOAD_CLASS_LOAD_H_
#define MEDLARSPREAD_EMULATOR_LOAD_CLASS_LOAD_H_

#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/result.h"

namespace medlarspread::emulator {

struct ClassLoad {
  std::string name;
  // Mean arrivals per second of a Poisson process.
  double rate = 10.0;
  base::Duration deadline = base::Milliseconds(1000);
  bool is_at_most_once = false;
  // The targets that answers are evaluated against.
  base::Duration latency_target = base::Milliseconds(100);
  double coverage_target = 1.0;
};

// Parses the fields of several classes: "name=counter", "rate=100",
// "deadline_ms=500", "at_most_once=1", "latency_ms=80", "coverage=0.99",
// "name=..", ...; each name starts a class. The rate and the deadline must be
// positive.
base::Result<std::vector<ClassLoad>> ParseClassLoads(
    const std::vector<std::string>& fields);

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LOAD_CLASS_LOAD_H_
