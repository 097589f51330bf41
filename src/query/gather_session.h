// Handles one request to all shards whose parts are fanned out by several
// daemons, from its arrival to its single answer.
//
// The shards are grouped by the failure domain of their leaves, so that one
// request and one merged answer per part, rather than per shard, cross between
// domains.
//
// Steps:
//   1. Each part is handed to an aggregator in its domain (HandoverSession), or
//      fanned out here (FanOutSession). A part waits for all of its shards.
//   2. When all parts have answered, their records are merged into the answer.
//   3. At the latency target, and then periodically, the open parts are asked
//      how many of their shards are missing. As soon as the total meets the
//      coverage target, they are told to answer with what they have. A part
//      cannot decide this alone: if two parts each left out as many shards as
//      the whole request may, the answer would miss the target.
//   4. At the deadline the answer is made from the parts that have answered, if
//      these are enough.
//
// Invariants: the caller is answered once; all parts are of the route's one
// revision, which the aggregators check.
//
// Runs on the traffic thread; the session keeps itself alive until the last
// part has ended.

#ifndef MEDLARSPREAD_QUERY_GATHER_SESSION_H_
#define MEDLARSPREAD_QUERY_GATHER_SESSION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/task_runner.h"
#include "src/query/fan_out_session.h"
#include "src/query/forwarded_request.h"

namespace medlarspread::query {

// The work on one part, on this daemon or at a peer.
struct GatherPart {
  using Report = std::function<void(int missing)>;

  std::function<void()> start;
  // Reports how many shards are missing; the number never increases. Reports
  // nothing if the part cannot be asked or has ended.
  std::function<void(Report)> check;
  // Allows an answer as soon as at most `most_missing` shards are missing.
  std::function<void(int most_missing)> relax;
  // Whether a leaf may have executed the part.
  std::function<bool()> may_have_run;
  // Cancels the work: the caller has disconnected, or the part is not needed
  // any more.
  std::function<void()> abandon;
};

class GatherSession : public std::enable_shared_from_this<GatherSession> {
 public:
  // Creates the work on a part. `done` is called once, unless the part is
  // abandoned.
  using MakePart = std::function<GatherPart(FanOutSession::Done done)>;

  struct Dependencies {
    base::Clock clock;
    base::TaskRunner runner;
    base::Log log;
  };

  GatherSession(Dependencies dependencies,
                ForwardedRequest request,
                FanOutSession::Done done);

  // Adds a part with `shards` shards; call before Start().
  void Add(std::size_t shards, const MakePart& make);
  void Start();
  // Called when the caller has disconnected: cancels everything without an
  // answer. Returns false if the session had answered already.
  bool Abandon();

 private:
  struct Part {
    GatherPart work;
    int shards = 0;
    // The last reported number; an upper bound, since it never increases.
    int missing = 0;
    // The last `most_missing` that the part was told.
    std::optional<int> last_relaxed_to;
    // Set once the part has ended. If it failed, there are no records and all
    // shards are missing.
    std::optional<MergedRecords> result;
  };

  // Asks the open parts how many shards are missing, now and then periodically.
  void Check();
  void DidReport(std::size_t index, int missing);
  void DidReachDeadline();
  void DidEnd(std::size_t index, ForwardedAnswer answer);
  // Tells the open parts to answer if the missing shards in total are within
  // the coverage target.
  void RelaxIfEnough();
  void Conclude();
  void Finish(ForwardedAnswer answer);

  int total() const;
  // The total of missing shards; for open parts, as last reported.
  int missing() const;
  // The maximum number of shards that an answer may lack.
  int most_missing() const;

  const Dependencies dependencies_;
  const ForwardedRequest request_;
  FanOutSession::Done done_;
  const base::MonotonicTime arrived_;
  std::vector<Part> parts_;
  FanOutSummary summary_;
  // Set at the latency target.
  bool is_checking_ = false;
  bool may_have_run_ = false;
  bool is_finished_ = false;
  base::Error last_error_;
  base::Timer check_timer_;
  base::Timer deadline_timer_;
};

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_GATHER_SESSION_H_
