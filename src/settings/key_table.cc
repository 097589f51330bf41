// The rows of the key table.

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

// A duration written as a number of seconds that may have a fraction.
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

// A duration written as a whole number of `Unit`.
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
       "The name of this VM, as in the platform's list of VMs."},
      {"vm", "region", Text<kVm, &VmSettings::region>(TextRule::kName), true,
       "The region of this VM."},
      {"vm", "failure_domain",
       Text<kVm, &VmSettings::failure_domain>(TextRule::kName), true,
       "The failure domain of this VM, inside its region."},
      {"vm", "regions", Text<kVm, &VmSettings::regions>(TextRule::kPairs),
       false,
       "The region of each failure domain, as domain=region with commas "
       "between. Used with the opaque interface, where leaves name only their "
       "failure domain."},
      {"vm", "processor_share",
       Decimal<kVm, &VmSettings::processor_share>(0.001, 1024.0), false,
       "The part of a core that this VM has, 1 for a whole one. Daemons on "
       "small VMs hand requests to all shards to daemons on larger ones. Used "
       "with the opaque interface."},
  };
}

std::vector<Key> CallersKeys() {
  constexpr auto kCallers = &DaemonSettings::callers;
  return {
      {"callers", "address",
       Text<kCallers, &CallersSettings::address>(TextRule::kListenAddress),
       true, "Where callers connect."},
      {"callers", "interface", InterfaceChoice(), false,
       "What callers send: queries in JSON, or opaque requests that are passed "
       "on by the operators' routes."},
      {"callers", "readiness_address",
       Text<kCallers, &CallersSettings::readiness_address>(
           TextRule::kListenAddress),
       false,
       "Where the balancer asks whether this daemon is ready. Required with "
       "the opaque interface."},
      {"callers", "max_body_bytes",
       Integer<kCallers, &CallersSettings::max_body_bytes>(kKibibyte,
                                                           64 * kMebibyte),
       false, "The largest request body; a larger one is answered with 413."},
      {"callers", "body_timeout_ms",
       Time<milliseconds, kCallers, &CallersSettings::body_timeout>(10, 60000),
       false,
       "How long a request body may take to arrive; a slower one is answered "
       "with 408."},
      {"callers", "max_requests",
       Integer<kCallers, &CallersSettings::max_requests>(1, 100000), false,
       "Requests in flight at once on this VM. One more is refused at once, "
       "with the time to come back. It bounds memory."},
  };
}

std::vector<Key> OperatorsKeys() {
  constexpr auto kOperators = &DaemonSettings::operators;
  return {
      {"operators", "address",
       Text<kOperators, &OperatorsSettings::address>(TextRule::kListenAddress),
       true, "Where the administration API listens."},
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
       "Where the other daemons connect, as in the platform's list of VMs."},
      {"peers", "query_address",
       Text<kPeers, &PeersSettings::query_address>(TextRule::kListenAddress),
       false,
       "Where this daemon takes requests to all shards that other daemons hand "
       "over. Without it, it takes none. Used with the opaque interface."},
      {"peers", "seeds",
       Text<kPeers, &PeersSettings::seeds>(TextRule::kAddresses), false,
       "Peers that may be asked for the routes before any is known and while "
       "the store does not answer. Used with the opaque interface."},
      {"peers", "max_frame_bytes",
       Integer<kPeers, &PeersSettings::max_frame_bytes>(64 * kKibibyte,
                                                        64 * kMebibyte),
       false, "The largest message between daemons. The same on all VMs."},
      {"peers", "max_queue_bytes",
       Integer<kPeers, &PeersSettings::max_queue_bytes>(64 * kKibibyte,
                                                        1024 * kMebibyte),
       false,
       "Bytes that may wait for one peer. Above it messages to this peer are "
       "refused. It bounds memory."},
      {"platform", "address",
       Text<kPlatform, &PlatformSettings::address>(TextRule::kRemoteAddress),
       true, "The platform's key-value service and list of VMs."},
      {"platform", "timeout_ms",
       Time<milliseconds, kPlatform, &PlatformSettings::timeout>(10, 60000),
       false, "How long one call to the platform may take."},
  };
}

std::vector<Key> ProcessKeys() {
  return {
      {"traffic", "threads",
       Integer<&DaemonSettings::traffic, &TrafficSettings::threads>(1, 64),
       false, "Threads for requests. One more thread serves control state."},
      {"stop", "bound_s",
       Seconds<&DaemonSettings::stop, &StopSettings::bound>(0.1, 600.0), false,
       "How long a planned stop waits for requests in flight. What is cut off "
       "after that is logged."},
      {"log", "level", LevelChoice(), false,
       "The least severe level that is logged. `medlarspread log-level` "
       "changes "
       "it without a restart."},
      {"log", "format", FormatChoice(), false,
       "One JSON object or one line of text per event, on standard error."},
  };
}

std::vector<Key> ControlKeys() {
  constexpr auto kMembership = &DaemonSettings::membership;
  return {
      {"membership", "heartbeat_ms",
       Time<milliseconds, kMembership, &MembershipSettings::heartbeat>(50,
                                                                       60000),
       false,
       "The time between two rounds of heartbeats inside the failure domain."},
      {"membership", "gone_after_ms",
       Time<milliseconds, kMembership, &MembershipSettings::gone_after>(150,
                                                                        600000),
       false,
       "The silence after which a peer is taken to be gone. At least three "
       "heartbeats. A shorter time finds lost VMs sooner, and paused ones "
       "too."},
      {"targets", "readers_per_failure_domain",
       Integer<&DaemonSettings::targets,
               &TargetsSettings::readers_per_failure_domain>(1, 16),
       false,
       "Daemons of each failure domain that read the targets from the "
       "platform. "
       "The others learn them from their peers."},
      {"claims", "group_ms",
       Time<milliseconds, &DaemonSettings::claims, &ClaimsSettings::group>(
           0, 1000),
       false,
       "The least time between two writes of one key of claims. Claims that "
       "arrive meanwhile are written together. It adds to the latency of "
       "non-idempotent requests and bounds the calls to the platform."},
      {"burn", "flush_s",
       Time<seconds, &DaemonSettings::burn, &BurnSettings::flush>(1, 600),
       false,
       "The mean time between two writes of this VM's counts. A VM that is "
       "lost takes about this much with it; the report shows it as "
       "unaccounted."},
  };
}

std::vector<Key> ExtraSendsKeys() {
  constexpr auto kExtra = &DaemonSettings::extra_sends;
  return {
      {"extra_sends", "share",
       Decimal<kExtra, &ExtraSendsSettings::share>(0.0, 1.0), false,
       "Sends to a collection beyond the first of each request, as a share of "
       "its requests, that its leaves bear from all daemons together. Used "
       "with "
       "the opaque interface."},
      {"extra_sends", "slack",
       Decimal<kExtra, &ExtraSendsSettings::slack>(0.0, 100000.0), false,
       "Extra sends that a collection bears from all daemons together beside "
       "that share, in any window."},
      {"extra_sends", "window_s",
       Seconds<kExtra, &ExtraSendsSettings::window>(0.1, 600.0), false,
       "The length of the window in which extra sends are counted."},
      {"measuring", "without", MechanismChoice(), false,
       "For measuring only: a mechanism that is left out. Used with the opaque "
       "interface."},
  };
}

std::vector<Key> RoutingKeys() {
  constexpr auto kRouting = &DaemonSettings::routing;
  return {
      {"routing", "policy", PolicyChoice(), false,
       "Where requests wait for a leaf. Leave it at the default: the others "
       "are baselines for benchmarks. The same on all VMs."},
      {"routing", "bundles_per_collection",
       Integer<kRouting, &RoutingSettings::bundles_per_collection>(1, 64),
       false,
       "Into how many bundles the key space of a collection is cut. In each "
       "region one daemon owns the queues of a bundle. A protective limit of "
       "the system, not a weight. The same on all VMs."},
      {"routing", "second_send_budget_percent",
       Integer<kRouting, &RoutingSettings::second_send_budget_percent>(0, 5),
       false,
       "Second sends to another replica, in per cent of first sends, at most. "
       "A protective limit of the system, not a weight."},
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
