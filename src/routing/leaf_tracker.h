// Tracks the health of the leaves, from this daemon's own requests and from the
// reports of other daemons, and chooses the leaf of a collection with the
// earliest expected reply.
//
// The expected reply time is the sum of
//   - the network distance to the leaf's failure domain, estimated from the
//     fastest replies from there and from the own domain,
//   - the typical service time of the request's class, multiplied by the leaf's
//     recent slowness compared to others and by its requests in flight,
//   - penalties for an overdue request (the leaf may have stalled), a request
//     that timed out, recent failures and a cold start,
//   - the time to connect if no connection is open.
// Reports from other daemons only change these estimates. They can make a leaf
// look worse than it is but never leave a collection without a usable leaf.
//
// A leaf whose address has been taken over by another leaf gets no more
// requests, however bad the other leaves are: they would reach the new leaf but
// not be counted as its load. Each leaf here is one process start, so a
// replacement is final. A single probe request is still sent now and then, in
// case the leaf was marked as replaced by mistake.
//
// Not thread-safe; used on the traffic thread.

#ifndef MEDLARSPREAD_ROUTING_LEAF_TRACKER_H_
#define MEDLARSPREAD_ROUTING_LEAF_TRACKER_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/admission/second_send_policy.h"
#include "src/base/ablation.h"
#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/blackboard/views.h"
#include "src/routing/leaf_index.h"
#include "src/routing/leaf_pace.h"
#include "src/routing/leaf_report.h"
#include "src/upstream/forward_port.h"

namespace medlarspread::routing {

// The region and failure domain that this daemon runs in.
struct DaemonLocation {
  std::string region;
  std::string failure_domain;
};

// Properties of a request that affect the choice of its leaf.
struct LeafRequirements {
  // Class of the request.
  std::string class_name;
  // Latency target.
  base::Duration target{};
  // Whether the request may be sent again after a failed attempt that may have
  // run.
  bool is_repeatable = true;
  // Whether the caller can do without this reply. Such a request isn't sent to
  // a leaf that is expected to answer late.
  bool is_optional = false;
};

class LeafTracker {
 public:
  LeafTracker(DaemonLocation location,
              base::Clock clock,
              std::shared_ptr<base::Random> random,
              base::Ablation ablation = {});

  // Whether the caller of Choose() accepts the leaf at all.
  using MayUse = std::function<bool(const blackboard::Upstream&)>;
  using ReadinessOf =
      std::function<upstream::Readiness(const blackboard::Upstream&)>;

  // The leaf with the earliest expected reply, including the expected cost of a
  // failure, or null if no request may be sent to any of `leaves` now.
  const blackboard::Upstream* Choose(const LeafIndex::Leaves& leaves,
                                     const LeafRequirements& requirements,
                                     const MayUse& may_use,
                                     const ReadinessOf& readiness_of);
  // Service time of a request of the class at a leaf that serves no other
  // request of this daemon; zero until measured.
  base::Duration UnloadedServiceTime(const std::string& class_name) const;
  // How long after a send to the leaf a second send to another leaf is
  // worthwhile. `first_delay` is used until enough replies of the class have
  // been measured.
  base::Duration SecondSendDelay(const blackboard::Upstream& leaf,
                                 const std::string& class_name,
                                 base::Duration first_delay) const;

  void DidSend(const blackboard::Upstream& leaf, base::MonotonicTime now);
  // A request sent at `sent` ended, within its latency target or not.
  void DidReply(const blackboard::Upstream& leaf,
                const std::string& class_name,
                base::MonotonicTime sent,
                bool is_in_time,
                const upstream::ForwardReply& reply);
  // A request sent at `sent` was cancelled, which says nothing about the leaf.
  void DidCancel(const blackboard::Upstream& leaf, base::MonotonicTime sent);
  // Whether to keep waiting for the reply to a request sent at `sent` although
  // it is no longer needed. The reply shows when the leaf has recovered, and
  // one is enough for that, so this returns false while another one is awaited.
  bool AwaitLateReply(const blackboard::Upstream& leaf,
                      base::MonotonicTime sent);
  // A request sent at `sent` was cancelled because its latency target has
  // passed. It only shows that the reply would have been late.
  void DidGiveUp(const blackboard::Upstream& leaf, base::MonotonicTime sent);
  // A request was still unanswered and overdue `age` after it was sent.
  void DidStall(const blackboard::Upstream& leaf,
                const std::string& class_name,
                base::Duration age);

  // This daemon's findings since the last call about leaves that it rarely
  // sends to.
  std::vector<LeafReport> TakeReports();
  // Takes in another daemon's findings about a leaf.
  void DidHear(const LeafReport& report);

  // Whether another leaf is known to have taken over the address of this one.
  bool is_replaced(const blackboard::Upstream& leaf) const;

  // Forgets the leaves that are no longer in `view`.
  void Prune(const blackboard::UpstreamsView& view);

 private:
  struct Row {
    // Send times of the requests in flight.
    std::multiset<base::MonotonicTime> in_flight;
    // Time of recent replies relative to the typical time of their class.
    double slowness = 1.0;
    base::MonotonicTime slowness_at;
    // Share of recent replies that were failures or refusals, from 0 to 1.
    double failure_share = 0.0;
    base::MonotonicTime failure_share_at;
    int failures_in_a_row = 0;
    int stalls_in_a_row = 0;
    base::MonotonicTime avoid_until;
    base::MonotonicTime stalled_until;
    // Set while the leaf counts as replaced: when the next probe may be sent.
    std::optional<base::MonotonicTime> probe_at;
    LeafPace pace;
    // Send time of the request whose reply is awaited only as a sign of
    // recovery.
    std::optional<base::MonotonicTime> late_reply;
    // Exponentially decaying count of replies to this daemon's requests.
    double recent_replies = 0.0;
    base::MonotonicTime recent_replies_at;
  };
  struct Work {
    admission::SecondSendPolicy second_sends;
    // Typical service time in microseconds; 0 until the first reply.
    double typical = 0.0;
    // The same for requests that were the only ones at their leaf, so that
    // queueing at the leaf doesn't affect it.
    double unloaded = 0.0;
  };

  bool WouldAnswerInTime(const blackboard::Upstream& leaf,
                         base::MonotonicTime now) const;
  double ExpectedReplyTime(const blackboard::Upstream& leaf,
                           const LeafRequirements& requirements,
                           base::MonotonicTime now) const;
  // Extra time in microseconds of a reply from the leaf's failure domain over
  // one from the own domain.
  double Distance(const blackboard::Upstream& leaf) const;
  double Slowness(const Row& row, base::MonotonicTime now) const;
  double FailureShare(const Row& row, base::MonotonicTime now) const;
  // Moves the failure share towards `share`, by `weight` for each of `replies`
  // replies.
  void LearnFailures(Row& row,
                     double share,
                     double weight,
                     int replies,
                     base::MonotonicTime now) const;
  // A reply took `ratio` times the typical time of its class.
  void LearnSlowness(Row& row,
                     double ratio,
                     double weight,
                     base::MonotonicTime now) const;
  static void LearnTypical(Work& work, double time);
  double TypicalOf(const std::string& class_name) const;
  // Records a reply for the reports to other daemons, if this daemon rarely
  // sends to the leaf.
  void RecordForReport(const blackboard::Upstream& leaf,
                       const std::string& class_name,
                       bool is_failure,
                       base::Duration time);
  void LearnFromAnswer(const blackboard::Upstream& leaf,
                       const std::string& class_name,
                       base::Duration time);
  void DidFail(Row& row, base::Duration retry_after);
  // Whether the leaf counts as replaced and its next probe is not due yet.
  bool IsBlockedAsReplaced(const blackboard::Upstream& leaf,
                           base::MonotonicTime now) const;

  const DaemonLocation location_;
  const base::Clock clock_;
  const std::shared_ptr<base::Random> random_;
  const base::Ablation ablation_;
  std::unordered_map<std::string, Row> rows_;
  std::unordered_map<std::string, Work> work_;
  // Pending reports by leaf and class.
  std::map<std::pair<std::string, std::string>, LeafReport> reports_;
  // The fastest recent reply from each failure domain, in microseconds.
  std::map<std::string, double> fastest_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_LEAF_TRACKER_H_
