// The daemons under review, which run.sh starts, as a scenario sees them.

#ifndef MEDLARSPREAD_REVIEW_STANDINS_FLEET_H_
#define MEDLARSPREAD_REVIEW_STANDINS_FLEET_H_

#include <string>
#include <vector>

namespace medlarspread::review {

// Exit codes of a scenario.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

struct Daemon {
  int caller_port = 0;
  int readiness_port = 0;
};

// Parses arguments of the form CALLER_PORT:READINESS_PORT.
std::vector<Daemon> ParseDaemons(int count, char** arguments);

// Waits until all daemons answer GET /ready with 200.
bool AwaitReady(const std::vector<Daemon>& daemons, int timeout_ms);

}  // namespace medlarspread::review

#endif  // MEDLARSPREAD_REVIEW_STANDINS_FLEET_H_
