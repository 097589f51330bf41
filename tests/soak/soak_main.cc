// Runs the soak test by hand: medlarspread_soak DAEMON FIRST_SEED SEEDS
// [SECONDS] [deadly] [reused] [restored] [repeated] [stale] [endless] [spliced]

#include <cstdlib>
#include <iostream>
#include <string_view>

#include "tests/soak/soak.h"

int main(int count, char** arguments) {
  if (count < 4) {
    std::cerr << "usage: medlarspread_soak DAEMON FIRST_SEED SEEDS [SECONDS] "
                 "[deadly] [reused] [restored] [repeated] [stale] [endless] "
                 "[spliced]\n";
    return 2;
  }
  medlarspread::soak::SoakOptions options;
  options.daemon_program = arguments[1];
  const std::uint64_t first = std::strtoull(arguments[2], nullptr, 10);
  const std::uint64_t seeds = std::strtoull(arguments[3], nullptr, 10);
  if (count > 4) {
    options.length =
        std::chrono::seconds(std::strtoll(arguments[4], nullptr, 10));
  }
  for (int index = 5; index < count; ++index) {
    const std::string_view word(arguments[index]);
    options.has_deadly_request = options.has_deadly_request || word == "deadly";
    options.has_reused_address = options.has_reused_address || word == "reused";
    options.has_restores = options.has_restores || word == "restored";
    options.has_repeated_replies =
        options.has_repeated_replies || word == "repeated";
    options.has_endless_replies =
        options.has_endless_replies || word == "endless";
    options.has_spliced_replies =
        options.has_spliced_replies || word == "spliced";
    if (word == "stale") {
      options.has_stale_reads = true;
      // Several daemons of a failure domain follow another one.
      options.daemons = 5;
    }
  }
  bool is_clean = true;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    options.seed = seed;
    const auto report = medlarspread::soak::RunSoak(options);
    std::cout << "seed " << seed << ": " << report.requests << " requests, "
              << report.answered << " answered, " << report.refused
              << " refused, " << report.unknown << " unknown, " << report.faults
              << " faults, " << report.leaves_ended << " leaves ended, "
              << report.arrivals_at_reused_address
              << " arrivals at a reused address, " << report.restores
              << " restores, " << report.repeated_replies
              << " replies sent twice, " << report.endless_replies
              << " endless, " << report.spliced_replies << " spliced, "
              << (report.peak_resident_bytes >> 20) << " MB at most, "
              << report.checked_routes << " routes checked, "
              << report.violations.size() << " violations\n";
    for (const std::string& violation : report.violations) {
      std::cout << "  " << violation << "\n";
      is_clean = false;
    }
    std::cout.flush();
  }
  return is_clean ? 0 : 1;
}
