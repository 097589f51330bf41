// Options, runs and the result table of the fleet command.

#include "emulator/fleet/fleet_command.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <optional>

#include <cxxopts.hpp>

#include "emulator/fleet/patterns.h"
#include "emulator/fleet/virtual_fleet.h"

namespace medlarspread::emulator {

namespace {

constexpr int kUsageError = 2;

struct FleetOptions {
  // The pattern to run; empty for all patterns.
  std::string pattern;
  std::uint64_t first_seed = 1;
  int seeds = 1;
  bool by_second = false;
  // Run random plans generated from the seeds instead of patterns.
  bool is_drawn = false;
  base::Mechanism without = base::Mechanism::kNothing;
};

std::optional<FleetOptions> ParseOptions(int count, char** arguments) {
  cxxopts::Options options(
      "medlarspread_emulator fleet",
      "Simulates load patterns of a fleet in virtual time.");
  FleetOptions parsed;
  auto add = options.add_options();
  add("pattern", "the pattern to run; default: all",
      cxxopts::value(parsed.pattern));
  add("seed", "the first seed", cxxopts::value(parsed.first_seed));
  add("seeds", "number of seeds", cxxopts::value(parsed.seeds));
  add("by-second", "print a row for each second",
      cxxopts::value(parsed.by_second));
  add("drawn", "run random plans generated from the seeds instead of patterns",
      cxxopts::value(parsed.is_drawn));
  std::string without = "nothing";
  add("without", "the mechanism to disable in all daemons",
      cxxopts::value(without));
  add("help", "print this help");
  try {
    const auto result = options.parse(count, arguments);
    if (result.count("help") > 0) {
      std::cout << options.help() << "patterns:\n";
      for (const Pattern& pattern : Patterns()) {
        std::cout << "  " << pattern.name << ": " << pattern.what << "\n";
      }
      return std::nullopt;
    }
  } catch (const cxxopts::exceptions::exception& failure) {
    std::cerr << failure.what() << "\n";
    return std::nullopt;
  }
  const auto mechanism = base::kMechanismNames.ValueOf(without);
  if (!mechanism) {
    std::cerr << "unknown mechanism " << without << "\n";
    return std::nullopt;
  }
  parsed.without = *mechanism;
  if (!parsed.pattern.empty() && FindPattern(parsed.pattern) == nullptr) {
    std::cerr << "unknown pattern " << parsed.pattern << "; see --help\n";
    return std::nullopt;
  }
  return parsed;
}

double Percentile(std::vector<base::Duration> times, double percent) {
  if (times.empty()) {
    return 0.0;
  }
  std::sort(times.begin(), times.end());
  const auto index = static_cast<std::size_t>(
      percent / 100.0 * static_cast<double>(times.size() - 1));
  return base::ToMilliseconds(times[index]);
}

void PrintHead() {
  std::printf("%-28s %6s %7s %7s %6s %6s %6s %7s %7s %7s\n", "run", "asked",
              "in time", "credit", "late", "refus.", "failed", "missing", "p50",
              "p99");
}

void PrintRow(const std::string& name, const CallerCounts& counts) {
  std::printf("%-28s %6d %7.4f %7.4f %6d %6d %6d %7d %7.1f %7.1f\n",
              name.c_str(), counts.asked, counts.share_in_time(),
              counts.mean_credit(), counts.late, counts.refused, counts.failed,
              counts.missing, Percentile(counts.latencies, 50.0),
              Percentile(counts.latencies, 99.0));
}

// Runs one plan; returns the counts of its evaluated seconds.
CallerCounts RunPlan(const std::string& name,
                     const FleetPlan& plan,
                     int first,
                     int last,
                     bool by_second,
                     bool& has_passed) {
  const auto began = std::chrono::steady_clock::now();
  const FleetReport report = VirtualFleet(plan).Run();
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - began;
  if (by_second) {
    for (int second = 0; second < last + 3; ++second) {
      PrintRow("  second " + std::to_string(second),
               report.Sum(second, second + 1));
    }
  }
  const CallerCounts counts = report.Sum(first, last);
  PrintRow(name + " seed " + std::to_string(plan.seed), counts);
  std::printf(
      "    sends %d, extra %d, connections reset %d, played in %.2f s\n",
      report.sends, report.extra_sends, report.connection_resets, took.count());
  if (report.deadly_crashes > 0 || report.convictions > 0) {
    std::printf(
        "    leaves ended under deadly requests %d, tries once known %d, "
        "verdicts %d, convictions at daemons %d, writes to the store %d\n",
        report.deadly_crashes, report.deadly_retries, report.verdicts,
        report.convictions, report.store_writes);
  }
  for (const std::string& violation : report.violations) {
    std::printf("    VIOLATION: %s\n", violation.c_str());
    has_passed = false;
  }
  return counts;
}

}  // namespace

int RunFleet(int count, char** arguments, StopSignal& /*stop*/) {
  const auto options = ParseOptions(count, arguments);
  if (!options) {
    return kUsageError;
  }
  bool has_passed = true;
  PrintHead();
  const auto last_seed =
      options->first_seed + static_cast<std::uint64_t>(options->seeds);
  if (options->is_drawn) {
    CallerCounts all;
    for (auto seed = options->first_seed; seed < last_seed; ++seed) {
      FleetPlan plan = DrawPlan(seed);
      plan.without = options->without;
      all += RunPlan("drawn", plan, 2, 14, options->by_second, has_passed);
    }
    PrintRow("drawn, all seeds", all);
    return has_passed ? 0 : 1;
  }
  for (const Pattern& pattern : Patterns()) {
    if (!options->pattern.empty() && options->pattern != pattern.name) {
      continue;
    }
    CallerCounts all;
    for (auto seed = options->first_seed; seed < last_seed; ++seed) {
      FleetPlan plan = pattern.make(seed);
      plan.without = options->without;
      all += RunPlan(std::string(pattern.name), plan, pattern.first_second,
                     pattern.last_second, options->by_second, has_passed);
    }
    PrintRow(std::string(pattern.name) + ", all seeds", all);
  }
  return has_passed ? 0 : 1;
}

}  // namespace medlarspread::emulator
