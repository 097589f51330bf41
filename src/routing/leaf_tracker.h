// What this daemon's own requests tell of the leaves, and what other daemons
// say of them, and which leaf of a collection the next request goes to: the one
// with the earliest expected reply.
//
// The estimate of a reply adds up
//   - the distance to the leaf's failure domain, from the fastest replies seen
//     from there and from here,
//   - the work, from the replies of that class of work, times how much slower
//     than others this leaf was of late, times what it has in work already,
//   - what is known to be wrong: an overdue request (the leaf stands still), a
//     request given up after it was overdue, failures, a cold start,
//   - a new connection, where none is open.
// What other daemons say changes no more than the same figures, so that it can
// make leaves look dearer than they are but never leave a collection without.
//
// A leaf whose address has been taken over by another one gets nothing more,
// however the others look: the request would reach a leaf that nobody counts it
// for. Each leaf here is one start of a process, so that is final. Only in case
// the word was wrong one request asks again, now and then.
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

// Where this daemon runs.
struct Place {
  std::string region;
  std::string failure_domain;
};

// What a request needs of its leaf.
struct LeafNeed {
  // Its class of work.
  std::string class_name;
  // Within this time it should be answered.
  base::Duration target{};
  // Whether it may be sent again after a failure that may have run.
  bool is_repeatable = true;
  // Whether the caller can do without this reply: then it isn't sent to a leaf
  // that would answer late.
  bool is_optional = false;
};

class LeafTracker {
 public:
  LeafTracker(Place place,
              base::Clock clock,
              std::shared_ptr<base::Random> random,
              base::Ablation ablation = {});

  // Whether the caller of Choose() takes a leaf at all.
  using MayUse = std::function<bool(const blackboard::Upstream&)>;
  using ReadinessOf =
      std::function<upstream::Readiness(const blackboard::Upstream&)>;

  // The leaf with the earliest expected reply, what a failure would cost
  // included, or null if none of `leaves` may be sent to now.
  const blackboard::Upstream* Choose(const LeafIndex::Leaves& leaves,
                                     const LeafNeed& need,
                                     const MayUse& may_use,
                                     const ReadinessOf& readiness_of);
  // What a request of the class takes at a leaf that has nothing else to do for
  // this daemon; zero until replies have shown it.
  base::Duration WorkAlone(const std::string& class_name) const;
  // How long after a send to the leaf a second one to another leaf pays.
  // `first_delay` holds until enough replies of the class have been seen.
  base::Duration SecondSendDelay(const blackboard::Upstream& leaf,
                                 const std::string& class_name,
                                 base::Duration first_delay) const;

  void DidSend(const blackboard::Upstream& leaf, base::MonotonicTime now);
  // The end of a request that was sent at `sent`, in time for its target or
  // not.
  void DidReply(const blackboard::Upstream& leaf,
                const std::string& class_name,
                base::MonotonicTime sent,
                bool is_in_time,
                const upstream::ForwardReply& reply);
  // A request sent at `sent` was cancelled: it says nothing of the leaf.
  void DidCancel(const blackboard::Upstream& leaf, base::MonotonicTime sent);
  // Whether the reply to a request sent at `sent` is worth waiting for although
  // nobody needs it: it shows when the leaf is back, and one such reply shows
  // as much as many. False if another one is waited for already.
  bool AwaitLateReply(const blackboard::Upstream& leaf,
                      base::MonotonicTime sent);
  // A request sent at `sent` was cancelled because its target has passed: all
  // that is known is that its reply would have been late.
  void DidGiveUp(const blackboard::Upstream& leaf, base::MonotonicTime sent);
  // A request was overdue `age` after it was sent.
  void DidStall(const blackboard::Upstream& leaf,
                const std::string& class_name,
                base::Duration age);

  // What this daemon found since the last call, of leaves that it seldom sends
  // to.
  std::vector<LeafReport> TakeReports();
  // What others found of a leaf.
  void DidHear(const LeafReport& report);

  // Whether another leaf has the address of this one, as far as is known.
  bool is_replaced(const blackboard::Upstream& leaf) const;

  // Forgets the leaves that are no longer in `view`.
  void Prune(const blackboard::UpstreamsView& view);

 private:
  struct Row {
    // When the requests in flight were sent.
    std::multiset<base::MonotonicTime> in_flight;
    // Time of replies divided by what is typical of their class.
    double slowness = 1.0;
    base::MonotonicTime slowness_at;
    // Share of the replies of late that were failures or refusals, 0 to 1.
    double failure_share = 0.0;
    base::MonotonicTime failure_share_at;
    int failures_in_a_row = 0;
    int stalls_in_a_row = 0;
    base::MonotonicTime avoid_until;
    base::MonotonicTime stalled_until;
    // Set while the leaf counts as replaced: when one request may ask again.
    std::optional<base::MonotonicTime> ask_again_at;
    LeafPace pace;
    // When the request that is waited for without need was sent.
    std::optional<base::MonotonicTime> late_reply;
    // Replies of this daemon's requests of late.
    double recent_replies = 0.0;
    base::MonotonicTime recent_replies_at;
  };
  struct Work {
    admission::SecondSendPolicy second_sends;
    // Microseconds; 0 until a reply was seen.
    double typical = 0.0;
    // The same of requests that were alone at their leaf: it stays what it is
    // while requests queue.
    double alone = 0.0;
  };

  bool IsInTime(const blackboard::Upstream& leaf,
                base::MonotonicTime now) const;
  double Expect(const blackboard::Upstream& leaf,
                const LeafNeed& need,
                base::MonotonicTime now) const;
  // Microseconds that a reply from the domain takes longer than one from the
  // nearest.
  double Distance(const blackboard::Upstream& leaf) const;
  double Slowness(const Row& row, base::MonotonicTime now) const;
  double FailureShare(const Row& row, base::MonotonicTime now) const;
  // Moves the share of failures towards `share`, by `weight` for each of so
  // many replies.
  void LearnFailures(Row& row,
                     double share,
                     double weight,
                     int replies,
                     base::MonotonicTime now) const;
  // A reply took `ratio` times what is typical of its class.
  void LearnSlowness(Row& row,
                     double ratio,
                     double weight,
                     base::MonotonicTime now) const;
  static void LearnTypical(Work& work, double time);
  double TypicalOf(const std::string& class_name) const;
  // Notes a reply to be told to others, if this daemon sends there seldom.
  void Note(const blackboard::Upstream& leaf,
            const std::string& class_name,
            bool is_failure,
            base::Duration time);
  void Learn(const blackboard::Upstream& leaf,
             const std::string& class_name,
             base::Duration time);
  void DidFail(Row& row, base::Duration retry_after);
  // Whether the leaf counts as replaced and is not due to be asked again.
  bool MustNotSend(const blackboard::Upstream& leaf,
                   base::MonotonicTime now) const;

  const Place place_;
  const base::Clock clock_;
  const std::shared_ptr<base::Random> random_;
  const base::Ablation ablation_;
  std::unordered_map<std::string, Row> rows_;
  std::unordered_map<std::string, Work> work_;
  // To be told, by leaf and class.
  std::map<std::pair<std::string, std::string>, LeafReport> reports_;
  // The fastest reply of late from each failure domain, in microseconds.
  std::map<std::string, double> fastest_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_LEAF_TRACKER_H_
