// Polls the daemons' readiness.

#include "review/standins/fleet.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <string>
#include <thread>

#include "review/standins/http.h"

namespace medlarspread::review {

namespace {

constexpr int kCallTimeoutMs = 1'000;
constexpr std::chrono::milliseconds kPollInterval(100);

bool IsReady(const Daemon& daemon) {
  auto connection = Connection::Open(daemon.readiness_port, kCallTimeoutMs);
  if (!connection ||
      !connection->Write("GET /ready HTTP/1.1\r\nHost: "
                         "platform\r\nConnection: close\r\n\r\n")) {
    return false;
  }
  const auto answer = connection->Read(kCallTimeoutMs);
  return answer && answer->status() == 200;
}

}  // namespace

std::vector<Daemon> ParseDaemons(int count, char** arguments) {
  std::vector<Daemon> daemons;
  for (int index = 0; index < count; ++index) {
    const std::string ports = arguments[index];
    daemons.push_back({std::atoi(ports.c_str()),
                       std::atoi(ports.c_str() + ports.find(':') + 1)});
  }
  return daemons;
}

bool AwaitReady(const std::vector<Daemon>& daemons, int timeout_ms) {
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
  while (!std::all_of(daemons.begin(), daemons.end(), IsReady)) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace medlarspread::review
