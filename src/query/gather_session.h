// One request to all shards whose parts are fanned out by several daemons, from
// its arrival to its one answer.
//
// The shards are split by the failure domain that holds their leaves, so that
// what crosses between domains is one request and one merged answer a part and
// not one a shard.
//
// Steps:
//   1. Each part is handed to an aggregator in its domain (HandoverSession), or
//      fanned out here (FanOutSession). A part waits for all of its shards.
//   2. When all parts are in, their records are merged and answered.
//   3. At the latency target the open parts are asked how many of their shards
//      are missing, and again and again after that. As soon as all that is
//      missing together keeps to the coverage target, they are told to answer
//      with what is in. No part knows that alone: two of them that each left
//      out as many as the whole may miss would be no answer.
//   4. At the deadline the answer goes out with what is in, if that is enough.
//
// Invariants: the caller is answered once; all parts are of the route's one
// revision, which the aggregators check.
//
// Runs on the traffic thread; keeps itself alive until the last part ended.

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

// The work on one part, wherever it is done.
struct GatherPart {
  using Report = std::function<void(int missing)>;

  std::function<void()> start;
  // Reports how many shards are missing now; that never grows. Nothing is
  // reported if the part can't be asked, or has ended.
  std::function<void(Report)> check;
  // Answer as soon as no more than so many shards are missing.
  std::function<void(int most_missing)> relax;
  // Whether a leaf may have run it by now.
  std::function<bool()> may_have_run;
  // The caller has left, or the part is no longer needed.
  std::function<void()> abandon;
};

class GatherSession : public std::enable_shared_from_this<GatherSession> {
 public:
  // Makes the work on a part; `done` is called once, unless it is abandoned.
  using MakePart = std::function<GatherPart(FanOutSession::Done done)>;

  struct Dependencies {
    base::Clock clock;
    base::TaskRunner runner;
    base::Log log;
  };

  GatherSession(Dependencies dependencies,
                ForwardedRequest request,
                FanOutSession::Done done);

  // Adds a part of so many shards; before Start().
  void Add(std::size_t shards, const MakePart& make);
  void Start();
  // The caller has left: everything is cancelled, and nobody is answered.
  // False if the session had answered already.
  bool Abandon();

 private:
  struct Part {
    GatherPart work;
    int shards = 0;
    // As last reported; an upper bound, since it never grows.
    int missing = 0;
    // How many it was told that it may miss, last.
    std::optional<int> told;
    // Set once it has ended; empty records and all shards missing if it failed.
    std::optional<Gathered> result;
  };

  // Asks the open parts, once and then at intervals.
  void Check();
  void DidReport(std::size_t index, int missing);
  void DidReachDeadline();
  void DidEnd(std::size_t index, ForwardedAnswer answer);
  // Tells the open parts to answer if what is missing keeps to the target.
  void RelaxIfEnough();
  void Conclude();
  void Finish(ForwardedAnswer answer);

  int total() const;
  // Shards that are missing from all parts; those of open parts as reported.
  int missing() const;
  // Shards that may be missing from an answer.
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
