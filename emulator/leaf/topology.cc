// Parses a topology file with libinih.

#include "emulator/leaf/topology.h"

#include <sstream>

#include <INIReader.h>
#include <ini.h>

namespace medlarspread::emulator {

namespace {

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

// Returns the settings shared by all leaves of the section.
LeafSettings ReadCommon(const INIReader& reader, const std::string& section) {
  LeafSettings leaf;
  const auto integer = [&](const char* name, int fallback) {
    return static_cast<int>(reader.GetInteger(section, name, fallback));
  };
  const auto real = [&](const char* name, double fallback) {
    return reader.GetReal(section, name, fallback);
  };
  leaf.collection = reader.Get(section, "collection", section);
  leaf.slots = integer("slots", leaf.slots);
  leaf.connections = integer("connections", leaf.connections);
  leaf.queue_limit = integer("queue_limit", leaf.queue_limit);
  leaf.items_per_answer = integer("items", leaf.items_per_answer);
  leaf.service_ms = real("service_ms", leaf.service_ms);
  leaf.gamma_shape = real("gamma_shape", leaf.gamma_shape);
  leaf.straggler_share = real("straggler_share", leaf.straggler_share);
  leaf.straggler_factor = real("straggler_factor", leaf.straggler_factor);
  leaf.delay_ms = real("delay_ms", leaf.delay_ms);
  leaf.connect_ms = real("connect_ms", leaf.connect_ms);
  return leaf;
}

// Callback of the library for each entry; collects the sections in file order.
int NoteSection(void* user,
                const char* section,
                const char* /*name*/,
                const char* /*value*/) {
  auto& sections = *static_cast<std::vector<std::string>*>(user);
  if (sections.empty() || sections.back() != section) {
    sections.emplace_back(section);
  }
  return 1;
}

base::Error MakeInvalid(const std::string& path, const std::string& detail) {
  return base::MakeError(base::ErrorCode::kInvalidArgument,
                         base::Step::kSettings, "", path + ": " + detail);
}

// Returns the text form of the holding of shard `index` of `shards`.
std::string HoldingText(const std::string& snapshot, int index, int shards) {
  const int low = blackboard::kKeySpace * index / shards;
  const int high = blackboard::kKeySpace * (index + 1) / shards;
  return snapshot + ":" + std::to_string(low) + "-" + std::to_string(high);
}

base::Status AddSection(const INIReader& reader,
                        const std::string& section,
                        std::vector<LeafSettings>& leaves) {
  const int shards = static_cast<int>(reader.GetInteger(section, "shards", 1));
  const int replicas =
      static_cast<int>(reader.GetInteger(section, "replicas", 1));
  const auto regions = SplitList(reader.Get(section, "regions", "r1"));
  const auto domains = SplitList(reader.Get(section, "failure_domains", "r1a"));
  if (shards < 1 || replicas < 1 || regions.empty() || domains.empty()) {
    return MakeInvalid(section, "shards, replicas, regions or failure_domains");
  }
  for (int shard = 0; shard < shards; ++shard) {
    const auto holdings = ParseHoldings(
        HoldingText(reader.Get(section, "snapshot", "1:1"), shard, shards));
    if (!holdings.is_ok()) {
      return holdings.error();
    }
    for (int replica = 0; replica < replicas; ++replica) {
      LeafSettings leaf = ReadCommon(reader, section);
      leaf.name = section + "-s" + std::to_string(shard) + "-r" +
                  std::to_string(replica);
      leaf.region = regions[replica % regions.size()];
      leaf.failure_domain = domains[replica % domains.size()];
      leaf.holdings = holdings.value();
      leaves.push_back(leaf);
    }
  }
  return base::Done{};
}

}  // namespace

base::Result<std::vector<LeafSettings>> ReadTopology(const std::string& path,
                                                     std::uint64_t seed) {
  const INIReader reader(path);
  if (reader.ParseError() != 0) {
    return MakeInvalid(path, "line " + std::to_string(reader.ParseError()));
  }
  std::vector<LeafSettings> leaves;
  // NOTE: INIReader of this release can't list its sections.
  std::vector<std::string> sections;
  ini_parse(path.c_str(), NoteSection, &sections);
  for (const std::string& section : sections) {
    const base::Status added = AddSection(reader, section, leaves);
    if (!added.is_ok()) {
      return added.error();
    }
  }
  for (LeafSettings& leaf : leaves) {
    leaf.seed = seed++;
  }
  return leaves;
}

}  // namespace medlarspread::emulator
