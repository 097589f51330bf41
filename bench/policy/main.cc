// Prints one row per class: latency, targets met, refusals and extra sends.

#include <algorithm>
#include <cstdio>
#include <iostream>

#include <cxxopts.hpp>

#include "bench/policy/replay.h"

namespace medlarspread::bench {
namespace {

ReplayClass MakeClass(const char* name,
                      std::int64_t latency_ms,
                      double percentile,
                      double share) {
  ReplayClass row;
  row.targets.name = name;
  row.targets.collection = "proofs";
  row.targets.latency = base::Milliseconds(latency_ms);
  row.targets.percentile = percentile;
  row.share = share;
  return row;
}

std::vector<ReplayClass> CourierClasses() {
  return {MakeClass("counter", 80, 99.0, 0.3),
          MakeClass("dispute-desk", 100, 99.0, 0.3),
          MakeClass("reconciliation", 1000, 95.0, 0.25),
          MakeClass("audit", 3000, 90.0, 0.15)};
}

double Quantile(std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0.0;
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(share * last)];
}

void Print(const ReplayOptions& options, ReplayResult result) {
  const double extra =
      100.0 * static_cast<double>(result.sends - result.answers) /
      static_cast<double>(std::max<std::int64_t>(1, result.answers));
  std::printf("order %s, load %.2f, second sends %.3f, gate %s: extra %.2f%%\n",
              admission::kUrgencyOrderNames.NameOf(options.order), options.load,
              options.second_send_share, options.has_gate ? "on" : "off",
              extra);
  std::printf("  %-16s %8s %7s %7s %7s %8s %8s %8s\n", "class", "asked", "p50",
              "p99", "p99.9", "in time", "refused", "expired");
  for (auto& [name, row] : result.classes) {
    std::sort(row.latencies_ms.begin(), row.latencies_ms.end());
    const auto percent = [asked = row.asked](std::int64_t count) {
      return 100.0 * static_cast<double>(count) / static_cast<double>(asked);
    };
    std::printf("  %-16s %8ld %7.1f %7.1f %7.1f %7.2f%% %7.2f%% %7.2f%%\n",
                name.c_str(), static_cast<long>(row.asked),
                Quantile(row.latencies_ms, 0.5),
                Quantile(row.latencies_ms, 0.99),
                Quantile(row.latencies_ms, 0.999), percent(row.in_target),
                percent(row.refused), percent(row.expired));
  }
}

int Main(int argc, char** argv) {
  cxxopts::Options parser("medlarspread_queue_replay",
                          "Replays the queues of one bundle of shards.");
  parser.add_options()("load", "offered load", cxxopts::value<double>())(
      "order", "arrival, target_due, tightest_class or class_slack",
      cxxopts::value<std::string>()->default_value("class_slack"))(
      "second-sends", "share of first sends, 0 for none",
      cxxopts::value<double>()->default_value("0.03"))(
      "multiple", "second send after this multiple of the typical time",
      cxxopts::value<double>())("no-gate", "admit everything")(
      "news", "fresh, replies, replies_of_all or replies_halved",
      cxxopts::value<std::string>()->default_value("fresh"))(
      "stragglers", "share of slow requests", cxxopts::value<double>())(
      "seconds", "virtual time", cxxopts::value<double>())(
      "seed", "random seed", cxxopts::value<std::uint64_t>());
  const auto parsed = parser.parse(argc, argv);
  ReplayOptions options;
  options.classes = CourierClasses();
  const auto order =
      admission::kUrgencyOrderNames.ValueOf(parsed["order"].as<std::string>());
  if (!order) {
    std::cerr << "unknown order\n" << parser.help();
    return 2;
  }
  options.order = *order;
  const auto news = kWaitNewsNames.ValueOf(parsed["news"].as<std::string>());
  if (!news) {
    std::cerr << "unknown news\n" << parser.help();
    return 2;
  }
  options.news = *news;
  options.second_send_share = parsed["second-sends"].as<double>();
  options.has_gate = parsed.count("no-gate") == 0;
  if (parsed.count("load")) {
    options.load = parsed["load"].as<double>();
  }
  if (parsed.count("multiple")) {
    options.second_send_multiple = parsed["multiple"].as<double>();
  }
  if (parsed.count("stragglers")) {
    options.straggler_share = parsed["stragglers"].as<double>();
  }
  if (parsed.count("seconds")) {
    options.seconds = parsed["seconds"].as<double>();
  }
  if (parsed.count("seed")) {
    options.seed = parsed["seed"].as<std::uint64_t>();
  }
  Print(options, Replay(options).Run());
  return 0;
}

}  // namespace
}  // namespace medlarspread::bench

int main(int argc, char** argv) {
  return medlarspread::bench::Main(argc, argv);
}
