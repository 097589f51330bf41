// The settings of one daemon, as typed values: one nested struct per section of
// the INI file. docs/SETTINGS.md describes each; key_table.cc holds their
// ranges. The initial values here are the defaults.

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

// What callers send: queries in the product's own JSON, or opaque requests that
// are passed on by routes, as on the users' platform.
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
  // The region of each failure domain, "domain=region" with commas between.
  std::string regions;
  // Its part of a core, 1 for a whole one.
  double processor_share = 1.0;
};

// The listener for callers.
struct CallersSettings {
  CallerInterface interface = CallerInterface::kQueries;
  // Where the balancer asks whether this daemon is ready; only with the opaque
  // interface.
  std::string readiness_address;
  // "ip:port", as all addresses here.
  std::string address;
  std::size_t max_body_bytes = 1 << 20;
  base::Duration body_timeout = base::Milliseconds(5000);
  // Requests in flight at once; more are refused.
  int max_requests = 2000;
};

// The listener of the administration API.
struct OperatorsSettings {
  std::string address;
  // LoadSettings fills this in from `token_file` if that is set.
  std::string token;
  std::string token_file;
};

// Links to the other daemons.
struct PeersSettings {
  std::string address;
  // Where requests that other daemons hand over arrive; empty to take none.
  std::string query_address;
  // Addresses of peers that may be asked before any is known, with commas
  // between.
  std::string seeds;
  std::size_t max_frame_bytes = 4 << 20;
  // Bytes waiting to be sent to one peer; above it messages to it are refused.
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
  // A planned stop ends by then even if requests are still in flight.
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
  // Daemons of a failure domain that read the targets from the platform; the
  // others learn them from their peers.
  int readers_per_failure_domain = 2;
};

struct ClaimsSettings {
  // The least time between two writes of one key; claims that arrive meanwhile
  // are written together.
  base::Duration group = base::Milliseconds(25);
};

struct BurnSettings {
  base::Duration flush = std::chrono::minutes(1);
};

// Where shard requests wait for a leaf. All but the first are baselines that
// the benchmarks compare it with.
enum class RoutingPolicy { kQueueOwner, kFixedShare, kRandomReplica };

inline constexpr base::NameTable<RoutingPolicy, 3> kRoutingPolicyNames{{{
    {RoutingPolicy::kQueueOwner, "queue_owner"},
    {RoutingPolicy::kFixedShare, "fixed_share"},
    {RoutingPolicy::kRandomReplica, "random_replica"},
}}};

// Protective limits of the system, not weights that operators tune.
struct RoutingSettings {
  RoutingPolicy policy = RoutingPolicy::kQueueOwner;
  // Into how many bundles the key space of a collection is cut; each bundle has
  // one owner per region.
  int bundles_per_collection = 8;
  // Second sends in per cent of first sends, at most.
  int second_send_budget_percent = 3;
};

// The sends beyond the first of each request, over all daemons together.
struct ExtraSendsSettings {
  double share = 0.2;
  double slack = 50.0;
  // The bound holds in any span of this length.
  base::Duration window = base::Milliseconds(10'000);
};

// For measuring only.
struct MeasuringSettings {
  base::Mechanism without = base::Mechanism::kNothing;
};

struct DaemonSettings {
  // The file they were read from; empty if they were given as text.
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
