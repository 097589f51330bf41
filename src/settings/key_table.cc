// Defines all keys with their ranges and descriptions.

#include "src/settings/key_table.h"

#include <chrono>

namespace medlarspread::settings {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kKibibyte = 1024;
constexpr std::int64_t kMebibyte = 1024 * kKibibyte;

template <auto kSection, auto kMember>
TextValue Text(TextRule rule) {
  return {[](DaemonSettings& settings) -> std::string& {
            return settings.*kSection.*kMember;
          },
          rule};
}

template <auto kSection, auto kMember>
IntegerValue Integer(std::int64_t min, std::int64_t max) {
  return {[](const DaemonSettings& settings) {
            return static_cast<std::int64_t>(settings.*kSection.*kMember);
          },
          [](DaemonSettings& settings, std::int64_t value) {
            auto& member = settings.*kSection.*kMember;
            member = static_cast<std::decay_t<decltype(member)>>(value);
          },
          min, max};
}

template <auto kSection, auto kMember>
DecimalValue Decimal(double min, double max) {
  return {[](const DaemonSettings& settings) -> double {
            return settings.*kSection.*kMember;
          },
          [](DaemonSettings& settings, double value) {
            settings.*kSection.*kMember = value;
          },
          min, max};
}

// A duration given as a decimal number of seconds.
template <auto kSection, auto kMember>
DecimalValue Seconds(double min, double max) {
  return {[](const DaemonSettings& settings) -> double {
            return std::chrono::duration<double>(settings.*kSection.*kMember)
                .count();
          },
          [](DaemonSettings& settings, double value) {
            settings.*kSection.*kMember =
                std::chrono::duration_cast<base::Duration>(
                    std::chrono::duration<double>(value));
          },
          min, max};
}

// A duration given as an integer number of `Unit`.
template <typename Unit, auto kSection, auto kMember>
IntegerValue Time(std::int64_t min, std::int64_t max) {
  return {[](const DaemonSettings& settings) -> std::int64_t {
            return std::chrono::duration_cast<Unit>(settings.*kSection.*kMember)
                .count();
          },
          [](DaemonSettings& settings, std::int64_t value) {
            settings.*kSection.*kMember = Unit(value);
          },
          min, max};
}

ChoiceValue LevelChoice() {
  return {[](const DaemonSettings& settings) {
            return base::LogLevelName(settings.log.level);
          },
          [](DaemonSettings& settings, std::string_view name) {
            const auto level = base::LogLevelFromName(name);
            settings.log.level = level.value_or(settings.log.level);
            return level.has_value();
          },
          {"debug", "info", "warning", "error"}};
}

ChoiceValue FormatChoice() {
  return {[](const DaemonSettings& settings) {
            return base::LogFormatName(settings.log.format);
          },
          [](DaemonSettings& settings, std::string_view name) {
            const auto format = base::LogFormatFromName(name);
            settings.log.format = format.value_or(settings.log.format);
            return format.has_value();
          },
          {"json", "text"}};
}

ChoiceValue InterfaceChoice() {
  return {[](const DaemonSettings& settings) {
            return kCallerInterfaceNames.NameOf(settings.callers.interface);
          },
          [](DaemonSettings& settings, std::string_view name) {
            const auto chosen = kCallerInterfaceNames.ValueOf(name);
            settings.callers.interface =
                chosen.value_or(settings.callers.interface);
            return chosen.has_value();
          },
          {"queries", "opaque"}};
}

ChoiceValue PolicyChoice() {
  return {[](const DaemonSettings& settings) {
            return kRoutingPolicyNames.NameOf(settings.routing.policy);
          },
          [](DaemonSettings& settings, std::string_view name) {
            const auto policy = kRoutingPolicyNames.ValueOf(name);
            settings.routing.policy = policy.value_or(settings.routing.policy);
            return policy.has_value();
          },
          {"queue_owner", "fixed_share", "random_replica"}};
}

ChoiceValue MechanismChoice() {
  std::vector<std::string> names;
  for (const auto& row : base::kMechanismNames.rows) {
    names.emplace_back(row.second);
  }
  return {[](const DaemonSettings& settings) {
            return base::kMechanismNames.NameOf(settings.measuring.without);
          },
          [](DaemonSettings& settings, std::string_view name) {
            const auto mechanism = base::kMechanismNames.ValueOf(name);
            settings.measuring.without =
                mechanism.value_or(settings.measuring.without);
            return mechanism.has_value();
          },
          std::move(names)};
}

std::vector<Key> VmKeys() {
  using Settings = DaemonSettings;
  constexpr auto kVm = &Settings::vm;
  return {
      {"vm", "name", Text<kVm, &VmSettings::name>(TextRule::kName), true,
       "The name of this VM in the platform's list of VMs."},
      {"vm", "region", Text<kVm, &VmSettings::region>(TextRule::kName), true,
       "The region of this VM."},
      {"vm", "failure_domain",
       Text<kVm, &VmSettings::failure_domain>(TextRule::kName), true,
       "The failure domain of this VM within its region."},
      {"vm", "regions", Text<kVm, &VmSettings::regions>(TextRule::kNamePairs),
       false,
       "The region of each failure domain, as comma-separated domain=region "
       "pairs. Used with the opaque interface, where leaves report only their "
       "failure domain."},
      {"vm", "processor_share",
       Decimal<kVm, &VmSettings::processor_share>(0.001, 1024.0), false,
       "The share of a CPU core that this VM has; 1 is a whole core. Daemons "
       "on small VMs hand requests to all shards over to daemons on larger "
       "VMs. Used with the opaque interface."},
  };
}

std::vector<Key> CallersKeys() {
  constexpr auto kCallers = &DaemonSettings::callers;
  return {
      {"callers", "address",
       Text<kCallers, &CallersSettings::address>(TextRule::kListenAddress),
       true, "The address that callers connect to."},
      {"callers", "interface", InterfaceChoice(), false,
       "What callers send: queries in JSON, or opaque requests that are "
       "forwarded by the operators' routes."},
      {"callers", "readiness_address",
       Text<kCallers, &CallersSettings::readiness_address>(
           TextRule::kListenAddress),
       false,
       "The address for the load balancer's readiness probes. Required with "
       "the opaque interface."},
      {"callers", "max_body_bytes",
       Integer<kCallers, &CallersSettings::max_body_bytes>(kKibibyte,
                                                           64 * kMebibyte),
       false,
       "The maximum size of a request body; a larger one is rejected with "
       "413."},
      {"callers", "body_timeout_ms",
       Time<milliseconds, kCallers, &CallersSettings::body_timeout>(10, 60000),
       false,
       "The maximum time that a request body may take to arrive; a slower one "
       "is rejected with 408."},
      {"callers", "max_requests",
       Integer<kCallers, &CallersSettings::max_requests>(1, 100000), false,
       "The maximum number of requests in flight on this VM, which limits "
       "memory use. A request above it is refused at once, with the time after "
       "which to retry."},
      {"callers", "max_response_bytes",
       Integer<kCallers, &CallersSettings::max_response_bytes>(4096, 67108864),
       false,
       "With the opaque interface: the maximum that an upstream may send for "
       "one request, header included. A longer response counts as a failure of "
       "the upstream."},
  };
}

std::vector<Key> OperatorsKeys() {
  constexpr auto kOperators = &DaemonSettings::operators;
  return {
      {"operators", "address",
       Text<kOperators, &OperatorsSettings::address>(TextRule::kListenAddress),
       true, "The address of the administration API."},
      {"operators", "token",
       Text<kOperators, &OperatorsSettings::token>(TextRule::kSecret), false,
       "The bearer token of the administration API. Exactly one of token and "
       "token_file must be set."},
      {"operators", "token_file",
       Text<kOperators, &OperatorsSettings::token_file>(TextRule::kPath), false,
       "A file whose first line is the token. A relative path is relative to "
       "the settings file."},
  };
}

std::vector<Key> LinkKeys() {
  constexpr auto kPeers = &DaemonSettings::peers;
  constexpr auto kPlatform = &DaemonSettings::platform;
  return {
      {"peers", "address",
       Text<kPeers, &PeersSettings::address>(TextRule::kListenAddress), true,
       "The address that the other daemons connect to, as in the platform's "
       "list of VMs."},
      {"peers", "query_address",
       Text<kPeers, &PeersSettings::query_address>(TextRule::kListenAddress),
       false,
       "The address where this daemon receives requests to all shards that "
       "other daemons hand over. If it is not set, the daemon receives none. "
       "Used with the opaque interface."},
      {"peers", "seeds",
       Text<kPeers, &PeersSettings::seeds>(TextRule::kRemoteAddresses), false,
       "Peers to ask for the routes before any other peer is known and while "
       "the store is unavailable. Used with the opaque interface."},
      {"peers", "max_frame_bytes",
       Integer<kPeers, &PeersSettings::max_frame_bytes>(64 * kKibibyte,
                                                        64 * kMebibyte),
       false,
       "The maximum size of a message between daemons. Must be the same on all "
       "VMs."},
      {"peers", "max_queue_bytes",
       Integer<kPeers, &PeersSettings::max_queue_bytes>(64 * kKibibyte,
                                                        1024 * kMebibyte),
       false,
       "The maximum number of bytes queued for one peer, which limits memory "
       "use. Messages above it are refused."},
      {"platform", "address",
       Text<kPlatform, &PlatformSettings::address>(TextRule::kRemoteAddress),
       true,
       "The address of the platform's key-value service and list of VMs."},
      {"platform", "timeout_ms",
       Time<milliseconds, kPlatform, &PlatformSettings::timeout>(10, 60000),
       false, "The timeout of a call to the platform."},
  };
}

std::vector<Key> ProcessKeys() {
  return {
      {"traffic", "threads",
       Integer<&DaemonSettings::traffic, &TrafficSettings::threads>(1, 64),
       false,
       "The number of threads for requests. One more thread handles control "
       "state."},
      {"stop", "bound_s",
       Seconds<&DaemonSettings::stop, &StopSettings::bound>(0.1, 600.0), false,
       "The maximum time that a planned stop waits for requests in flight. "
       "Requests that are aborted after it are logged."},
      {"log", "level", LevelChoice(), false,
       "The lowest level that is logged. `medlarspread log-level` changes it "
       "without a restart."},
      {"log", "format", FormatChoice(), false,
       "The format of the log on standard error: one JSON object or one line "
       "of text per event."},
  };
}

std::vector<Key> ControlKeys() {
  constexpr auto kMembership = &DaemonSettings::membership;
  return {
      {"membership", "heartbeat_ms",
       Time<milliseconds, kMembership, &MembershipSettings::heartbeat>(50,
                                                                       60000),
       false,
       "The interval between two rounds of heartbeats within the failure "
       "domain."},
      {"membership", "gone_after_ms",
       Time<milliseconds, kMembership, &MembershipSettings::gone_after>(150,
                                                                        600000),
       false,
       "The time without a message after which a peer is declared gone; at "
       "least three heartbeats. A shorter time detects lost VMs sooner, but "
       "also declares paused VMs gone."},
      {"targets", "readers_per_failure_domain",
       Integer<&DaemonSettings::targets,
               &TargetsSettings::readers_per_failure_domain>(1, 16),
       false,
       "The number of daemons per failure domain that read the targets from "
       "the platform. The others get them from their peers."},
      {"claims", "group_ms",
       Time<milliseconds, &DaemonSettings::claims, &ClaimsSettings::group>(
           0, 1000),
       false,
       "The minimum interval between two writes of a key of claims. Claims "
       "that arrive in between are written as one batch. The interval adds to "
       "the latency of non-idempotent requests and limits the rate of calls to "
       "the platform."},
      {"burn", "flush_s",
       Time<seconds, &DaemonSettings::burn, &BurnSettings::flush>(1, 600),
       false,
       "The mean interval between two writes of this VM's counts. If a VM is "
       "lost, so are the counts of about this time; the report shows it as "
       "unaccounted."},
  };
}

std::vector<Key> ExtraSendsKeys() {
  constexpr auto kExtra = &DaemonSettings::extra_sends;
  return {
      {"extra_sends", "share",
       Decimal<kExtra, &ExtraSendsSettings::share>(0.0, 1.0), false,
       "The maximum of extra sends to a collection, which are the sends after "
       "the first of each request, as a share of its requests, summed over all "
       "daemons. Used with the opaque interface."},
      {"extra_sends", "slack",
       Decimal<kExtra, &ExtraSendsSettings::slack>(0.0, 100000.0), false,
       "Extra sends to a collection that are allowed in any window in addition "
       "to that share, summed over all daemons."},
      {"extra_sends", "window_s",
       Seconds<kExtra, &ExtraSendsSettings::window>(0.1, 600.0), false,
       "The length of the window over which extra sends are counted."},
      {"measuring", "without", MechanismChoice(), false,
       "For measurements only: the mechanism to switch off. Used with the "
       "opaque interface."},
  };
}

std::vector<Key> RoutingKeys() {
  constexpr auto kRouting = &DaemonSettings::routing;
  return {
      {"routing", "policy", PolicyChoice(), false,
       "Where requests are queued for a leaf. Keep the default: the other "
       "policies are baselines for benchmarks. Must be the same on all VMs."},
      {"routing", "bundles_per_collection",
       Integer<kRouting, &RoutingSettings::bundles_per_collection>(1, 64),
       false,
       "The number of bundles into which the key space of a collection is "
       "divided. In each region one daemon owns the queues of a bundle. A "
       "safety limit that needs no tuning. Must be the same on all VMs."},
      {"routing", "second_send_budget_percent",
       Integer<kRouting, &RoutingSettings::second_send_budget_percent>(0, 5),
       false,
       "The maximum of second sends to another replica, as a percentage of "
       "first sends. A safety limit that needs no tuning."},
  };
}

}  // namespace

const std::vector<Key>& Keys() {
  static const std::vector<Key> keys = [] {
    std::vector<Key> all;
    for (const auto& group :
         {VmKeys(), CallersKeys(), OperatorsKeys(), LinkKeys(), ProcessKeys(),
          ControlKeys(), RoutingKeys(), ExtraSendsKeys()}) {
      all.insert(all.end(), group.begin(), group.end());
    }
    return all;
  }();
  return keys;
}

const Key* FindKey(std::string_view section, std::string_view name) {
  for (const Key& key : Keys()) {
    if (key.section == section && key.name == name) {
      return &key;
    }
  }
  return nullptr;
}

}  // namespace medlarspread::settings
