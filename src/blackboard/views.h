// The values on the blackboard. Controllers on the control thread write them;
// sessions on the traffic threads read them.

#ifndef MEDLARSPREAD_BLACKBOARD_VIEWS_H_
#define MEDLARSPREAD_BLACKBOARD_VIEWS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "src/base/clock.h"
#include "src/base/name_table.h"

namespace medlarspread::blackboard {

// The size of the key space of every collection. Shards are ranges of it.
constexpr std::int32_t kKeySpace = 65536;

// A range of the key space: [low, high).
struct KeyRange {
  std::int32_t low = 0;
  std::int32_t high = 0;

  std::int32_t width() const { return high - low; }
  bool is_valid() const { return 0 <= low && low < high && high <= kKeySpace; }
  // NOLINTNEXTLINE(modernize-use-nullptr): misfires on a defaulted <=>.
  friend auto operator<=>(const KeyRange&, const KeyRange&) = default;
};

// An index version and the shard layout in which it is served.
struct Snapshot {
  std::int64_t index_version = 0;
  std::int64_t layout_version = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): misfires on a defaulted <=>.
  friend auto operator<=>(const Snapshot&, const Snapshot&) = default;
};

// What one leaf can serve: a range of the key space in one snapshot.
struct Holding {
  Snapshot snapshot;
  KeyRange range;

  // NOLINTNEXTLINE(modernize-use-nullptr): misfires on a defaulted <=>.
  friend auto operator<=>(const Holding&, const Holding&) = default;
};

enum class MemberState { kLive, kLeaving, kGone };

// One daemon of this system, on its VM.
struct Member {
  std::string name;
  // The address that its peer link listens on, "ip:port".
  std::string address;
  std::string region;
  std::string failure_domain;
  // The address for requests that other daemons hand over, "ip:port"; empty if
  // it accepts none.
  std::string query_address;
  // The share of a processor core that its VM has; 1 is a whole core.
  double processor_share = 1.0;
  std::int64_t incarnation = 0;
  MemberState state = MemberState::kLive;
  std::int64_t targets_revision = 0;

  friend bool operator==(const Member&, const Member&) = default;
};

// The daemons believed to be live or leaving, this one included, by name.
struct MembershipView {
  std::string self;
  std::map<std::string, Member> members;
  // Daemons that are silent or unreachable and therefore not in `members`, but
  // that membership still tries to contact. They get no requests.
  std::map<std::string, Member> absent;
  // Whether a peer has confirmed this view since the start, or since this VM
  // last resumed from a freeze. While false, the view alone isn't reliable.
  bool is_settled = false;
};

enum class UpstreamState { kServing, kCold, kDraining, kUnreachable };

// One leaf (a replica of a shard) as this daemon knows it.
struct Upstream {
  // Unique to one process start of the leaf. Connections to the leaf and
  // statistics about it are keyed by this name.
  std::string name;
  // The leaf's own identifier. A restarted leaf may use it again but has none
  // of its earlier state.
  std::string id;
  // "ip:port" of its HTTP interface.
  std::string address;
  std::string region;
  std::string failure_domain;
  std::string collection;
  UpstreamState state = UpstreamState::kServing;
  // Requests that it serves concurrently.
  int slots = 1;
  // Connections it accepts from all daemons together.
  int connections = 1;
  std::vector<Holding> holdings;
  // When it became cold (kCold); its load grows slowly from then on.
  base::MonotonicTime cold_since;

  friend bool operator==(const Upstream&, const Upstream&) = default;
};

// All leaves by name.
struct UpstreamsView {
  std::map<std::string, Upstream> upstreams;
};

// The targets of one request class, as configured by operators.
struct ClassTargets {
  std::string name;
  std::string collection;
  // `percentile` of 100 answers must arrive within `latency`.
  base::Duration latency = base::Milliseconds(100);
  double percentile = 99.0;
  // Share of the key space that an answer must cover, 0 to 1.
  double coverage = 1.0;
  // Percentage of answers that must meet the coverage target.
  double coverage_percentile = 99.0;

  friend bool operator==(const ClassTargets&, const ClassTargets&) = default;
};

// The targets in force. Revision 0 means that none are known yet.
struct TargetsView {
  std::int64_t revision = 0;
  // XXH64 of the stored body; equal on all VMs with the same revision.
  std::int64_t digest = 0;
  std::map<std::string, ClassTargets> classes;
  // When this revision came into force on this VM; used only by `status`.
  std::int64_t in_force_since_wall_ms = 0;
};

// All requests of a route go to the leaves of one collection.
struct OneCollection {
  std::string collection;

  friend bool operator==(const OneCollection&, const OneCollection&) = default;
};

// Each request goes to one of several collections, in proportion to weights.
struct WeightedCollections {
  struct Part {
    std::string collection;
    double weight = 0.0;

    friend bool operator==(const Part&, const Part&) = default;
  };
  std::vector<Part> parts;

  friend bool operator==(const WeightedCollections&,
                         const WeightedCollections&) = default;
};

// Each request goes to every shard, and the answer consists of the greatest
// records of the shards' replies. Each shard is a collection with replicas.
struct AllShards {
  std::vector<std::string> shards;
  std::size_t most_records = 0;

  friend bool operator==(const AllShards&, const AllShards&) = default;
};

using Destination = std::variant<OneCollection, WeightedCollections, AllShards>;

// A route: the requests for one host whose path begins with a prefix. They form
// one request class with its targets and destination.
struct WorkRoute {
  // `targets.name` is the route's name; `targets.collection` stays empty.
  ClassTargets targets;
  std::string host;
  std::string prefix;
  Destination destination;
  bool is_idempotent = false;
  // 0 is the most urgent.
  int priority = 0;
  // The longest time that a request may wait for its final answer.
  base::Duration timeout{};
  // The most replicas of a shard that one request may be sent to.
  int most_attempts = 1;

  friend bool operator==(const WorkRoute&, const WorkRoute&) = default;
};

// Size limits and timeouts of requests from callers.
struct CallerLimits {
  std::size_t header_bytes = 16 << 10;
  std::size_t body_bytes = 1 << 20;
  base::Duration header_timeout = base::Milliseconds(3'000);
  base::Duration idle_timeout = base::Milliseconds(15'000);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

// The routes in force. Revision 0 means that none are known yet.
// Invariant: a published revision is never followed by a lower one.
struct RoutesView {
  std::int64_t revision = 0;
  std::vector<std::shared_ptr<const WorkRoute>> routes;
  // Connections that a leaf of each collection accepts from all daemons.
  std::map<std::string, int> connections;
  CallerLimits limits;
};

// The quarantine state of a request.
enum class QuarantineState {
  // It ends the leaves that run it and is no longer sent to any.
  kConvicted,
  // As kConvicted, but it was retried once in case the verdict was wrong.
  kRetried,
  // It was convicted but answered since then; treated like any other request.
  kCleared,
  // An operator allows it to run, even if leaves end while they run it.
  kLifted,
};

inline constexpr base::NameTable<QuarantineState, 4> kQuarantineStateNames{{{
    {QuarantineState::kConvicted, "convicted"},
    {QuarantineState::kRetried, "retried"},
    {QuarantineState::kCleared, "cleared"},
    {QuarantineState::kLifted, "lifted"},
}}};

struct QuarantineEntry {
  QuarantineState state = QuarantineState::kConvicted;
  // Start of the state by the wall clock of the writing daemon; for display.
  std::int64_t wall_ms = 0;
  // The leaves that ended while they ran the request, for operators.
  std::string evidence;

  friend bool operator==(const QuarantineEntry&,
                         const QuarantineEntry&) = default;
};

// The verdicts in the store, by the text form of the request's fingerprint.
struct QuarantineView {
  std::map<std::string, QuarantineEntry> entries;
};

enum class LifecycleState { kStarting, kReady, kStopping };

struct LifecycleView {
  LifecycleState state = LifecycleState::kStarting;
  // Why the daemon is not ready, for the log and the readiness page.
  std::string reason = "starting";
};

// Recent error budget burn of a class by this daemon's counts; for admission.
struct ClassBurn {
  // Rate of use of the error budget: 1.0 uses it up exactly.
  double short_window_burn = 0.0;
  double long_window_burn = 0.0;
};

struct BurnView {
  std::map<std::string, ClassBurn> classes;
};

}  // namespace medlarspread::blackboard

#endif  // MEDLARSPREAD_BLACKBOARD_VIEWS_H_
