// Estimates of reply times and failure rates, and the choice of a leaf.

#include "src/routing/leaf_tracker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlarspread::routing {

namespace {

using base::Mechanism;
using blackboard::UpstreamState;
using upstream::LeafOutcome;

// In microseconds, used until measured: the extra time of a reply from another
// failure domain of the region and from another region.
constexpr double kInitialDistanceInRegion = 1'000.0;
constexpr double kInitialDistanceToRegion = 20'000.0;
constexpr double kInitialTypical = 10'000.0;
// The fastest reply of a domain is raised by this factor per reply, so that a
// link that has become slower is noticed after a few hundred replies.
constexpr double kFastestDrift = 1.002;
constexpr double kTypicalWeight = 0.05;
constexpr double kUnloadedWeight = 0.02;
constexpr double kSlownessWeight = 0.5;
// Bounds the effect of a single reply: a leaf that paused once is back to its
// usual speed, and only several slow replies in a row should divert requests to
// another region.
constexpr double kMaxSlowness = 4.0;
// Time constant in microseconds of the decay of a leaf's slowness, after which
// the leaf is tried again.
constexpr double kSlownessDecayTime = 4'000'000.0;
// Requests take about 1.6 times as long in the first seconds after a leaf's
// start.
constexpr double kColdFactor = 1.6;
// A request is overdue after this many times its typical time.
constexpr double kOverdueFactor = 3.0;
// In microseconds; large enough that a penalized leaf is chosen only if no
// other leaf is available.
constexpr double kStalledPenalty = 60'000.0;
constexpr double kFailingPenalty = 10'000'000.0;
constexpr base::Duration kInitialStallTime = base::Milliseconds(60);
constexpr int kMaxStallDoublings = 3;
constexpr base::Duration kInitialAvoidanceTime = base::Milliseconds(150);
constexpr int kMaxAvoidanceDoublings = 4;
// Interval of the probe requests to a leaf whose address another leaf has taken
// over. The leaf's entry disappears when its lease ends, so the probes only
// serve leaves that were marked as replaced by mistake.
constexpr base::Duration kReplacedProbeInterval = base::Milliseconds(30'000);
// Weight of one reply in a leaf's failure share, and the time constant in
// microseconds of its decay: about a third of the share is left after that.
constexpr double kFailureWeight = 0.3;
constexpr double kFailureDecayTime = 3'000'000.0;
// Cost of a failed send as a multiple of the latency target. A retry takes time
// and, if many sends fail, exceeds the budget of extra sends, so that the shard
// is missing from the answer. A healthy leaf farther away is therefore
// preferred as long as its reply is in time. The cost is higher for requests
// that must not be repeated, because their failure is final.
constexpr double kFailureCost = 1.0;
constexpr double kUnrepeatableFailureCost = 3.0;
// Replies from a leaf are reported to other daemons only while this daemon gets
// at most kMaxRepliesToReport of them in about kRepliesDecayTime microseconds.
// With more replies it can judge the leaf by itself, and so can other daemons
// that are as busy.
constexpr double kMaxRepliesToReport = 3.0;
constexpr double kRepliesDecayTime = 3'000'000.0;
// Weight of a reply reported by another daemon relative to an own one. A
// reported reply may be some tenths of a second old and depends on that
// daemon's estimates. One reported failure still outweighs the distance to
// another region. Effect of the reports in the virtual fleet (195 daemons, each
// sending one request every eight seconds to a single collection): with half of
// the leaves eight times slower, 93 instead of 617 of 1,618 requests were late;
// with most leaves losing one answer in twelve, 57 instead of 110 failed.
constexpr double kReportedReplyWeight = 0.5;
// Replies in one report beyond this number are ignored.
constexpr int kMaxRepliesPerReport = 20;
// Memory bounds; no regular daemon has more classes or sends more reports.
constexpr std::size_t kMaxClasses = 10'000;
constexpr std::size_t kMaxReports = 64;
// Time in microseconds that a leaf takes to accept a connection, without the
// network round trip.
constexpr double kConnectCost = 6'000.0;

// In microseconds.
double FailureCost(const LeafRequirements& requirements) {
  return (requirements.is_repeatable ? kFailureCost
                                     : kUnrepeatableFailureCost) *
         static_cast<double>(requirements.target.count());
}

}  // namespace

LeafTracker::LeafTracker(DaemonLocation location,
                         base::Clock clock,
                         std::shared_ptr<base::Random> random,
                         base::Ablation ablation)
    : location_(std::move(location)),
      clock_(std::move(clock)),
      random_(std::move(random)),
      ablation_(ablation) {}

const blackboard::Upstream* LeafTracker::Choose(
    const LeafIndex::Leaves& leaves,
    const LeafRequirements& requirements,
    const MayUse& may_use,
    const ReadinessOf& readiness_of) {
  const base::MonotonicTime now = clock_.Now();
  const blackboard::Upstream* best = nullptr;
  double best_time = 0.0;
  for (const blackboard::Upstream* leaf : leaves) {
    if (leaf->state == UpstreamState::kDraining ||
        leaf->state == UpstreamState::kUnreachable || !may_use(*leaf) ||
        IsBlockedAsReplaced(*leaf, now)) {
      continue;
    }
    if (requirements.is_optional && ablation_.has(Mechanism::kLeafPace) &&
        !WouldAnswerInTime(*leaf, now)) {
      continue;
    }
    const upstream::Readiness readiness = readiness_of(*leaf);
    if (readiness == upstream::Readiness::kFull) {
      continue;
    }
    // Jitter of up to 10% spreads the daemons over leaves with similar
    // estimates.
    double time = ExpectedReplyTime(*leaf, requirements, now) *
                  (1.0 + 0.1 * random_->Unit());
    if (readiness == upstream::Readiness::kMustConnect &&
        ablation_.has(Mechanism::kConnectCost)) {
      time += kConnectCost + Distance(*leaf);
    }
    if (best == nullptr || time < best_time) {
      best = leaf;
      best_time = time;
    }
  }
  return best;
}

base::Duration LeafTracker::SecondSendDelay(const blackboard::Upstream& leaf,
                                            const std::string& class_name,
                                            base::Duration first_delay) const {
  base::Duration delay = first_delay;
  if (const auto row = work_.find(class_name); row != work_.end()) {
    delay = row->second.second_sends.Delay().value_or(first_delay);
  }
  return delay + base::Duration(static_cast<std::int64_t>(Distance(leaf)));
}

base::Duration LeafTracker::UnloadedServiceTime(
    const std::string& class_name) const {
  const auto row = work_.find(class_name);
  return row == work_.end()
             ? base::Duration{}
             : base::Duration(static_cast<std::int64_t>(row->second.unloaded));
}

void LeafTracker::DidSend(const blackboard::Upstream& leaf,
                          base::MonotonicTime now) {
  Row& row = rows_[leaf.name];
  row.in_flight.insert(now);
  row.pace.DidSend(now);
  if (row.probe_at) {
    row.probe_at = now + kReplacedProbeInterval;
  }
}

void LeafTracker::DidReply(const blackboard::Upstream& leaf,
                           const std::string& class_name,
                           base::MonotonicTime sent,
                           bool is_in_time,
                           const upstream::ForwardReply& reply) {
  DidCancel(leaf, sent);
  Row& row = rows_[leaf.name];
  if (reply.outcome == LeafOutcome::kAnswered ||
      reply.outcome == LeafOutcome::kTimeout) {
    row.pace.DidEnd(is_in_time, reply.service_time, row.in_flight.size(),
                    clock_.Now());
  }
  const bool is_failure = reply.outcome != LeafOutcome::kAnswered;
  LearnFailures(row, is_failure ? 1.0 : 0.0, kFailureWeight, 1, clock_.Now());
  RecordForReport(leaf, class_name, is_failure, reply.service_time);
  switch (reply.outcome) {
    case LeafOutcome::kAnswered:
      row.failures_in_a_row = 0;
      row.stalls_in_a_row = 0;
      row.avoid_until = {};
      row.stalled_until = {};
      row.probe_at.reset();
      LearnFromAnswer(leaf, class_name, reply.service_time);
      return;
    case LeafOutcome::kShed:
    case LeafOutcome::kCold:
    case LeafOutcome::kDraining:
    case LeafOutcome::kWrongSnapshot:
    case LeafOutcome::kFailed:
    case LeafOutcome::kMismatch:
    case LeafOutcome::kUnreachable:
    case LeafOutcome::kLost:
      DidFail(row, reply.retry_after);
      return;
    case LeafOutcome::kReplaced:
      row.probe_at = clock_.Now() + kReplacedProbeInterval;
      return;
    case LeafOutcome::kTimeout:
      DidStall(leaf, class_name, reply.service_time);
      return;
  }
}

void LeafTracker::DidCancel(const blackboard::Upstream& leaf,
                            base::MonotonicTime sent) {
  const auto row = rows_.find(leaf.name);
  if (row == rows_.end()) {
    return;
  }
  if (row->second.late_reply == sent) {
    row->second.late_reply.reset();
  }
  const auto position = row->second.in_flight.find(sent);
  if (position != row->second.in_flight.end()) {
    row->second.in_flight.erase(position);
  }
}

bool LeafTracker::AwaitLateReply(const blackboard::Upstream& leaf,
                                 base::MonotonicTime sent) {
  Row& row = rows_[leaf.name];
  if (row.late_reply) {
    return false;
  }
  row.late_reply = sent;
  return true;
}

void LeafTracker::DidGiveUp(const blackboard::Upstream& leaf,
                            base::MonotonicTime sent) {
  DidCancel(leaf, sent);
  Row& row = rows_[leaf.name];
  const base::MonotonicTime now = clock_.Now();
  row.pace.DidEnd(false, now - sent, row.in_flight.size(), now);
}

void LeafTracker::DidStall(const blackboard::Upstream& leaf,
                           const std::string& class_name,
                           base::Duration age) {
  RecordForReport(leaf, class_name, false, age);
  Row& row = rows_[leaf.name];
  const int doublings = std::min(row.stalls_in_a_row, kMaxStallDoublings);
  ++row.stalls_in_a_row;
  row.stalled_until = clock_.Now() + kInitialStallTime * (1 << doublings);
}

void LeafTracker::Prune(const blackboard::UpstreamsView& view) {
  std::erase_if(rows_, [&view](const auto& row) {
    return row.second.in_flight.empty() && !view.upstreams.contains(row.first);
  });
}

bool LeafTracker::is_replaced(const blackboard::Upstream& leaf) const {
  const auto row = rows_.find(leaf.name);
  return row != rows_.end() && row->second.probe_at.has_value();
}

bool LeafTracker::IsBlockedAsReplaced(const blackboard::Upstream& leaf,
                                      base::MonotonicTime now) const {
  const auto row = rows_.find(leaf.name);
  return row != rows_.end() && row->second.probe_at &&
         now < *row->second.probe_at;
}

bool LeafTracker::WouldAnswerInTime(const blackboard::Upstream& leaf,
                                    base::MonotonicTime now) const {
  const auto row = rows_.find(leaf.name);
  return row == rows_.end() ||
         row->second.pace.MaySend(row->second.in_flight.size(), now);
}

double LeafTracker::ExpectedReplyTime(const blackboard::Upstream& leaf,
                                      const LeafRequirements& requirements,
                                      base::MonotonicTime now) const {
  const double typical = TypicalOf(requirements.class_name);
  double time = Distance(leaf);
  const bool is_cold = leaf.state == UpstreamState::kCold &&
                       ablation_.has(Mechanism::kColdStarts);
  double work = is_cold ? typical * kColdFactor : typical;
  const auto row = rows_.find(leaf.name);
  if (row == rows_.end()) {
    return time + work;
  }
  const Row& state = row->second;
  work *= Slowness(state, now);
  time += FailureShare(state, now) * FailureCost(requirements);
  const double in_flight = ablation_.has(Mechanism::kInFlight)
                               ? static_cast<double>(state.in_flight.size())
                               : 0.0;
  time += work * (1.0 + in_flight / std::max(1, leaf.slots));
  const bool counts_stalls = ablation_.has(Mechanism::kStalls);
  if (counts_stalls && !state.in_flight.empty()) {
    const base::Duration age = now - *state.in_flight.begin();
    const auto overdue_after = base::Duration(
        static_cast<std::int64_t>(kOverdueFactor * typical + Distance(leaf)));
    if (age > overdue_after) {
      time += std::max(kStalledPenalty, static_cast<double>(age.count()));
    }
  }
  if (counts_stalls && now < state.stalled_until) {
    time += kStalledPenalty;
  }
  if (ablation_.has(Mechanism::kAvoidance) && now < state.avoid_until) {
    time += kFailingPenalty;
  }
  return time;
}

double LeafTracker::Distance(const blackboard::Upstream& leaf) const {
  if (leaf.failure_domain == location_.failure_domain) {
    return 0.0;
  }
  const auto here = fastest_.find(location_.failure_domain);
  const auto there = fastest_.find(leaf.failure_domain);
  if (here != fastest_.end() && there != fastest_.end()) {
    return std::max(0.0, there->second - here->second);
  }
  return leaf.region == location_.region ? kInitialDistanceInRegion
                                         : kInitialDistanceToRegion;
}

double LeafTracker::FailureShare(const Row& row,
                                 base::MonotonicTime now) const {
  if (!ablation_.has(Mechanism::kFailureShare)) {
    return 0.0;
  }
  const auto age = static_cast<double>((now - row.failure_share_at).count());
  return row.failure_share * std::exp(-age / kFailureDecayTime);
}

void LeafTracker::LearnFailures(Row& row,
                                double share,
                                double weight,
                                int replies,
                                base::MonotonicTime now) const {
  const double known = FailureShare(row, now);
  const double left = std::pow(1.0 - weight, replies);
  row.failure_share = share + left * (known - share);
  row.failure_share_at = now;
}

void LeafTracker::LearnSlowness(Row& row,
                                double ratio,
                                double weight,
                                base::MonotonicTime now) const {
  const double known = Slowness(row, now);
  const double bounded = std::min(kMaxSlowness, ratio);
  row.slowness = std::max(1.0, known + weight * (bounded - known));
  row.slowness_at = now;
}

void LeafTracker::LearnTypical(Work& work, double time) {
  if (work.typical == 0.0) {
    work.typical = time;
  }
  // Bounded so that stragglers don't raise the typical time.
  const double bounded = std::min(time, 3.0 * work.typical);
  work.typical += kTypicalWeight * (bounded - work.typical);
}

void LeafTracker::RecordForReport(const blackboard::Upstream& leaf,
                                  const std::string& class_name,
                                  bool is_failure,
                                  base::Duration time) {
  Row& row = rows_[leaf.name];
  const base::MonotonicTime now = clock_.Now();
  const auto age = static_cast<double>((now - row.recent_replies_at).count());
  row.recent_replies =
      1.0 + row.recent_replies * std::exp(-age / kRepliesDecayTime);
  row.recent_replies_at = now;
  const auto key = std::pair(leaf.name, class_name);
  const bool has_capacity =
      reports_.size() < kMaxReports || reports_.contains(key);
  if (row.recent_replies > kMaxRepliesToReport || !has_capacity ||
      !ablation_.has(Mechanism::kSharedReports)) {
    return;
  }
  LeafReport& report = reports_[key];
  report.leaf = leaf.name;
  report.class_name = class_name;
  ++report.replies;
  if (is_failure) {
    ++report.failures;
    return;
  }
  const int answers = report.replies - report.failures;
  const auto there = base::Duration(std::max<std::int64_t>(
      1, time.count() - static_cast<std::int64_t>(Distance(leaf))));
  report.work += (there - report.work) / answers;
}

std::vector<LeafReport> LeafTracker::TakeReports() {
  std::vector<LeafReport> reports;
  for (auto& [key, report] : reports_) {
    reports.push_back(std::move(report));
  }
  reports_.clear();
  return reports;
}

void LeafTracker::DidHear(const LeafReport& report) {
  const bool is_known = work_.contains(report.class_name);
  if (!ablation_.has(Mechanism::kSharedReports) ||
      (!is_known && work_.size() >= kMaxClasses)) {
    return;
  }
  const base::MonotonicTime now = clock_.Now();
  Row& row = rows_[report.leaf];
  LearnFailures(row, static_cast<double>(report.failures) / report.replies,
                kReportedReplyWeight * kFailureWeight,
                std::min(kMaxRepliesPerReport, report.replies), now);
  if (report.replies == report.failures) {
    return;
  }
  Work& work = work_[report.class_name];
  const auto time = static_cast<double>(report.work.count());
  work.second_sends.DidReply(report.work);
  LearnTypical(work, time);
  LearnSlowness(row, time / work.typical,
                kReportedReplyWeight * kSlownessWeight, now);
}

double LeafTracker::Slowness(const Row& row, base::MonotonicTime now) const {
  if (!ablation_.has(Mechanism::kSlowness)) {
    return 1.0;
  }
  const auto age = static_cast<double>((now - row.slowness_at).count());
  return 1.0 + (row.slowness - 1.0) * std::exp(-age / kSlownessDecayTime);
}

double LeafTracker::TypicalOf(const std::string& class_name) const {
  const auto row = work_.find(class_name);
  return row == work_.end() || row->second.typical == 0.0 ? kInitialTypical
                                                          : row->second.typical;
}

void LeafTracker::LearnFromAnswer(const blackboard::Upstream& leaf,
                                  const std::string& class_name,
                                  base::Duration time) {
  const auto total = static_cast<double>(time.count());
  const auto [fastest, is_new] =
      fastest_.try_emplace(leaf.failure_domain, total);
  if (!is_new) {
    fastest->second = std::min(fastest->second * kFastestDrift, total);
  }
  Work& work = work_[class_name];
  const double own = std::max(1.0, total - Distance(leaf));
  work.second_sends.DidReply(base::Duration(static_cast<std::int64_t>(own)));
  LearnTypical(work, own);
  Row& row = rows_[leaf.name];
  if (row.in_flight.empty()) {
    const double unloaded = work.unloaded == 0.0 ? own : work.unloaded;
    work.unloaded =
        unloaded + kUnloadedWeight * (std::min(own, 3.0 * unloaded) - unloaded);
  }
  LearnSlowness(row, own / work.typical, kSlownessWeight, clock_.Now());
}

void LeafTracker::DidFail(Row& row, base::Duration retry_after) {
  const int doublings = std::min(row.failures_in_a_row, kMaxAvoidanceDoublings);
  ++row.failures_in_a_row;
  const base::Duration pause =
      std::max(retry_after, kInitialAvoidanceTime * (1 << doublings));
  const auto jitter = static_cast<std::int64_t>(
      random_->Unit() * 0.5 * static_cast<double>(pause.count()));
  row.avoid_until = clock_.Now() + pause + base::Duration(jitter);
}

}  // namespace medlarspread::routing
