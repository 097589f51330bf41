// The settings of one daemon as typed values, with one nested struct per
// section of the INI file. docs/SETTINGS.md describes each setting, and
// key_table.cc defines its range. The member initializers are the defaults.

#ifndef MEDLARSPREAD_SETTINGS_DAEMON_SETTINGS_H_
#define MEDLARSPREAD_SETTINGS_DAEMON_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "src/base/ablation.h"
#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/name_table.h"

namespace medlarspread::settings {

// What callers send: queries in this system's own JSON format, or opaque
// requests that are forwarded by routes, as on the users' platform.
enum class CallerInterface { kQueries, kOpaque };

inline constexpr base::NameTable<CallerInterface, 2> kCallerInterfaceNames{{{
    {CallerInterface::kQueries, "queries"},
    {CallerInterface::kOpaque, "opaque"},
}}};

// This VM.
struct VmSettings {
  std::string name;
  std::string region;
  std::string failure_domain;
  // The region of each failure domain, as comma-separated domain=region pairs.
  std::string regions;
  // The share of a CPU core that the VM has; 1 is a whole core.
  double processor_share = 1.0;
};

// The interface for callers.
struct CallersSettings {
  CallerInterface interface = CallerInterface::kQueries;
  // Where the load balancer's readiness probes arrive; only with the opaque
  // interface.
  std::string readiness_address;
  // "ip:port", like all addresses in these settings.
  std::string address;
  std::size_t max_body_bytes = 1 << 20;
  base::Duration body_timeout = base::Milliseconds(5000);
  // The limit on requests in flight; requests above it are refused.
  int max_requests = 2000;
  // Limit on what is received from an upstream for one request.
  std::size_t max_response_bytes = 256 << 10;
};

// The administration API.
struct OperatorsSettings {
  std::string address;
  // LoadSettings reads this from `token_file` if that is set.
  std::string token;
  std::string token_file;
};

// Links to the other daemons.
struct PeersSettings {
  std::string address;
  // Where this daemon receives requests that other daemons hand over; empty to
  // receive none.
  std::string query_address;
  // Comma-separated addresses of peers to contact before any other is known.
  std::string seeds;
  std::size_t max_frame_bytes = 4 << 20;
  // The limit on bytes queued for one peer; messages above it are refused.
  std::size_t max_queue_bytes = 16 << 20;
};

// The platform's key-value service and list of VMs.
struct PlatformSettings {
  std::string address;
  base::Duration timeout = base::Milliseconds(1000);
};

struct TrafficSettings {
  int threads = 4;
};

struct StopSettings {
  // A planned stop ends within this time even if requests are still in flight.
  base::Duration bound = base::Milliseconds(30000);
};

struct LoggingSettings {
  base::LogLevel level = base::LogLevel::kInfo;
  base::LogFormat format = base::LogFormat::kJson;
};

struct MembershipSettings {
  base::Duration heartbeat = base::Milliseconds(250);
  // Invariant: at least three heartbeats.
  base::Duration gone_after = base::Milliseconds(1000);
};

struct TargetsSettings {
  // The number of daemons per failure domain that read the targets from the
  // platform; the others get them from their peers.
  int readers_per_failure_domain = 2;
};

struct ClaimsSettings {
  // The minimum interval between two writes of a key; claims that arrive in
  // between are written as one batch.
  base::Duration group = base::Milliseconds(25);
};

struct BurnSettings {
  // The mean interval between two writes of this VM's counts to the store.
  base::Duration flush = std::chrono::minutes(1);
};

// Where shard requests are queued for a leaf. The first policy is the one for
// production; the others are baselines for benchmarks.
enum class RoutingPolicy { kQueueOwner, kFixedShare, kRandomReplica };

inline constexpr base::NameTable<RoutingPolicy, 3> kRoutingPolicyNames{{{
    {RoutingPolicy::kQueueOwner, "queue_owner"},
    {RoutingPolicy::kFixedShare, "fixed_share"},
    {RoutingPolicy::kRandomReplica, "random_replica"},
}}};

// Safety limits of the system; operators don't need to tune them.
struct RoutingSettings {
  RoutingPolicy policy = RoutingPolicy::kQueueOwner;
  // The number of bundles into which the key space of a collection is divided;
  // each bundle has one owner per region.
  int bundles_per_collection = 8;
  // The maximum of second sends, as a percentage of first sends.
  int second_send_budget_percent = 3;
};

// Limits on extra sends, which are the sends after the first of each request,
// summed over all daemons.
struct ExtraSendsSettings {
  // Extra sends allowed per request.
  double share = 0.2;
  // Extra sends allowed in any window in addition to `share`.
  double slack = 50.0;
  // The limit holds in any period of this length.
  base::Duration window = base::Milliseconds(10'000);
};

// For measurements only.
struct MeasuringSettings {
  // The mechanism that is switched off.
  base::Mechanism without = base::Mechanism::kNothing;
};

struct DaemonSettings {
  // The file that the settings were read from; empty if they were parsed from
  // memory.
  std::string file;
  VmSettings vm;
  CallersSettings callers;
  OperatorsSettings operators;
  PeersSettings peers;
  PlatformSettings platform;
  TrafficSettings traffic;
  StopSettings stop;
  LoggingSettings log;
  MembershipSettings membership;
  TargetsSettings targets;
  ClaimsSettings claims;
  BurnSettings burn;
  RoutingSettings routing;
  ExtraSendsSettings extra_sends;
  MeasuringSettings measuring;
};

}  // namespace medlarspread::settings

#endif  // MEDLARSPREAD_SETTINGS_DAEMON_SETTINGS_H_
