// Options and main function of the `platform` command.

#include "emulator/platform/platform_command.h"

#include <iostream>
#include <memory>
#include <utility>

#include <cxxopts.hpp>

#include "emulator/platform/platform_service.h"
#include "emulator/support/ready_line.h"
#include "src/http/listener.h"

namespace medlarspread::emulator {

int RunPlatform(int count, char** arguments, StopSignal& stop) {
  cxxopts::Options options(
      "medlarspread_emulator platform",
      "Runs the platform's key-value service and VM list.");
  options.add_options()(
      "address", "address to listen on",
      cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
      "writes-per-second", "rate limit of writes",
      cxxopts::value<double>()->default_value("400"))(
      "reads-per-second", "rate limit of reads",
      cxxopts::value<double>()->default_value("2000"));
  const auto parsed = options.parse(count, arguments);
  constexpr int kThreads = 2;
  http::InitializeTrafficThreads(kThreads);
  const CallRates rates{parsed["writes-per-second"].as<double>(),
                        parsed["reads-per-second"].as<double>()};
  auto service = std::make_shared<PlatformService>(
      rates, base::Clock(), base::TaskRunner(http::TrafficContext()));
  constexpr std::size_t kMaxBodyBytes = 4 << 20;
  http::Listener listener(
      {.address = parsed["address"].as<std::string>(),
       .max_body_bytes = kMaxBodyBytes},
      [service](const http::Request& request, http::Responder respond) {
        service->DidReceive(request, std::move(respond));
      });
  const base::Status opened = listener.Open();
  if (!opened.is_ok()) {
    std::cerr << opened.error().ToString() << "\n";
    return 1;
  }
  PrintReadyLine({.kind = "platform",
                  .name = "platform",
                  .address = listener.address(),
                  .collection = "",
                  .region = "",
                  .failure_domain = "",
                  .seed = 0});
  stop.Wait();
  // NOTE: Exits without cleanup, because an orderly shutdown would wait for
  // calls that hang in a simulated outage.
  std::_Exit(0);
}

}  // namespace medlarspread::emulator
