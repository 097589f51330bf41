// Options and output of the `load` command.

#include "emulator/load/load_command.h"

#include <cstdlib>
#include <future>
#include <iostream>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "emulator/load/load_run.h"
#include "src/http/listener.h"

namespace medlarspread::emulator {

namespace {

constexpr int kFailure = 1;
constexpr int kViolated = 3;

cxxopts::Options LoadOptions() {
  using cxxopts::value;
  cxxopts::Options options(
      "medlarspread_emulator load",
      "Sends requests at given rates and checks every answer. Classes: "
      "name=NAME,rate=R,deadline_ms=D,at_most_once=0|1,latency_ms=L,"
      "coverage=C; --class may be repeated.");
  options.add_options()("target", "addresses of the daemons for callers",
                        value<std::vector<std::string>>())(
      "class", "load of a class", value<std::vector<std::string>>())(
      "seconds", "duration of the run in seconds",
      value<double>()->default_value("10"))(
      "seed", "random seed", value<std::uint64_t>()->default_value("1"))(
      "threads", "traffic threads", value<int>()->default_value("2"))(
      "json", "print JSON");
  return options;
}

void PrintReports(const LoadRun& run, std::uint64_t seed, bool is_json) {
  if (!is_json) {
    std::cout << "seed " << seed << "\n";
    for (const ClassReport& report : run.reports()) {
      std::cout << report.ToText() << "\n";
    }
    return;
  }
  std::cout << R"({"seed":)" << seed << R"(,"classes":[)";
  const char* separator = "";
  for (const ClassReport& report : run.reports()) {
    std::cout << separator << report.ToJson();
    separator = ",";
  }
  std::cout << "]}\n";
}

}  // namespace

int RunLoad(int count, char** arguments, StopSignal& /*stop*/) {
  const auto parsed = LoadOptions().parse(count, arguments);
  const auto classes =
      ParseClassLoads(parsed["class"].as<std::vector<std::string>>());
  if (!classes.is_ok()) {
    std::cerr << classes.error().ToString() << "\n";
    return kFailure;
  }
  constexpr double kMillisecondsPerSecond = 1000.0;
  LoadSettings settings;
  settings.targets = parsed["target"].as<std::vector<std::string>>();
  settings.classes = classes.value();
  settings.seed = parsed["seed"].as<std::uint64_t>();
  settings.length = base::Milliseconds(static_cast<std::int64_t>(
      parsed["seconds"].as<double>() * kMillisecondsPerSecond));
  http::InitializeTrafficThreads(parsed["threads"].as<int>());
  auto run = std::make_shared<LoadRun>(
      settings, base::Clock(), base::TaskRunner(http::TrafficContext()));
  std::promise<void> ended;
  run->Start([&ended] { ended.set_value(); });
  ended.get_future().wait();
  PrintReports(*run, settings.seed, parsed.count("json") > 0);
  std::int64_t violations = 0;
  for (const ClassReport& report : run->reports()) {
    violations += report.violations();
  }
  std::cout.flush();
  // NOTE: Exits without cleanup, because an orderly shutdown would wait for the
  // library's idle connections.
  std::_Exit(violations == 0 ? 0 : kViolated);
}

}  // namespace medlarspread::emulator
