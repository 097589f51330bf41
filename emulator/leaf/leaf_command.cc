// Options and main functions of the `leaf` and `leaves` commands.

#include "emulator/leaf/leaf_command.h"

#include <cstdlib>
#include <iostream>
#include <vector>

#include <cxxopts.hpp>

#include "emulator/leaf/leaf_host.h"
#include "emulator/leaf/topology.h"

namespace medlarspread::emulator {

namespace {

constexpr int kFailure = 1;

void AddHostOptions(cxxopts::Options& options) {
  options.add_options()("platform", "address of the platform to register with",
                        cxxopts::value<std::string>()->default_value(""))(
      "seed", "random seed",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "threads", "traffic threads", cxxopts::value<int>()->default_value("2"));
}

cxxopts::Options LeafOptions() {
  using cxxopts::value;
  cxxopts::Options options("medlarspread_emulator leaf",
                           "Runs one emulated leaf.");
  AddHostOptions(options);
  options.add_options()("name", "name",
                        value<std::string>()->default_value("leaf"))(
      "address", "address to listen on",
      value<std::string>()->default_value("127.0.0.1:0"))(
      "collection", "collection", value<std::string>()->default_value("main"))(
      "region", "region", value<std::string>()->default_value("r1"))(
      "failure-domain", "failure domain",
      value<std::string>()->default_value("r1a"))(
      "holdings", "VERSION:LAYOUT:LOW-HIGH,...",
      value<std::string>()->default_value("1:1:0-65536"));
  options.add_options()("slots", "requests processed concurrently",
                        value<int>()->default_value("2"))(
      "connections", "maximum concurrent requests",
      value<int>()->default_value("25"))("queue-limit",
                                         "maximum requests waiting for a slot",
                                         value<int>()->default_value("8"))(
      "items", "items per answer", value<int>()->default_value("1"));
  options.add_options()("service-ms", "mean service time in ms",
                        value<double>()->default_value("5"))(
      "gamma-shape", "shape parameter of the service time distribution",
      value<double>()->default_value("4"))("straggler-share",
                                           "fraction of slow requests",
                                           value<double>()->default_value("0"))(
      "straggler-factor", "service time factor of slow requests",
      value<double>()->default_value("10"))(
      "delay-ms", "one-way network delay in ms",
      value<double>()->default_value("0"))("connect-ms",
                                           "time to open a connection in ms",
                                           value<double>()->default_value("0"));
  return options;
}

base::Result<LeafSettings> ToSettings(const cxxopts::ParseResult& parsed) {
  LeafSettings leaf;
  leaf.name = parsed["name"].as<std::string>();
  leaf.address = parsed["address"].as<std::string>();
  leaf.collection = parsed["collection"].as<std::string>();
  leaf.region = parsed["region"].as<std::string>();
  leaf.failure_domain = parsed["failure-domain"].as<std::string>();
  leaf.slots = parsed["slots"].as<int>();
  leaf.connections = parsed["connections"].as<int>();
  leaf.queue_limit = parsed["queue-limit"].as<int>();
  leaf.items_per_answer = parsed["items"].as<int>();
  leaf.service_ms = parsed["service-ms"].as<double>();
  leaf.gamma_shape = parsed["gamma-shape"].as<double>();
  leaf.straggler_share = parsed["straggler-share"].as<double>();
  leaf.straggler_factor = parsed["straggler-factor"].as<double>();
  leaf.delay_ms = parsed["delay-ms"].as<double>();
  leaf.connect_ms = parsed["connect-ms"].as<double>();
  leaf.seed = parsed["seed"].as<std::uint64_t>();
  auto holdings = ParseHoldings(parsed["holdings"].as<std::string>());
  if (!holdings.is_ok()) {
    return holdings.error();
  }
  leaf.holdings = holdings.value();
  return leaf;
}

int Fail(const base::Error& error) {
  std::cerr << error.ToString() << "\n";
  return kFailure;
}

// Runs the leaves until the process gets a stop signal.
int Serve(const std::vector<LeafSettings>& leaves,
          const cxxopts::ParseResult& parsed,
          StopSignal& stop) {
  http::InitializeTrafficThreads(parsed["threads"].as<int>());
  LeafHost host{base::Clock()};
  for (const LeafSettings& leaf : leaves) {
    const base::Status started = host.Start(leaf);
    if (!started.is_ok()) {
      return Fail(started.error());
    }
  }
  const auto platform = parsed["platform"].as<std::string>();
  if (!platform.empty()) {
    const base::Status registered = host.Register(platform);
    if (!registered.is_ok()) {
      return Fail(registered.error());
    }
  }
  stop.Wait();
  // NOTE: Exits without cleanup, because an orderly shutdown would wait for
  // replies that an injected fault never sends.
  std::_Exit(0);
}

}  // namespace

int RunLeaf(int count, char** arguments, StopSignal& stop) {
  const auto parsed = LeafOptions().parse(count, arguments);
  const auto leaf = ToSettings(parsed);
  if (!leaf.is_ok()) {
    return Fail(leaf.error());
  }
  return Serve({leaf.value()}, parsed, stop);
}

int RunLeaves(int count, char** arguments, StopSignal& stop) {
  cxxopts::Options options("medlarspread_emulator leaves",
                           "Runs many emulated leaves in one process.");
  AddHostOptions(options);
  options.add_options()("topology", "INI file of services",
                        cxxopts::value<std::string>());
  const auto parsed = options.parse(count, arguments);
  const auto leaves = ReadTopology(parsed["topology"].as<std::string>(),
                                   parsed["seed"].as<std::uint64_t>());
  if (!leaves.is_ok()) {
    return Fail(leaves.error());
  }
  return Serve(leaves.value(), parsed, stop);
}

}  // namespace medlarspread::emulator
