// Handles a part of a request to all shards that this daemon hands to another
// daemon, the aggregator.
//
// Steps:
//   1. The request and the names of the part's shards are sent to the peer,
//      which fans the part out and answers with the merged records.
//   2. If the peer refuses the part before it has sent anything, or cannot be
//      reached, the part is fanned out here as if the request had just arrived.
//      If the peer's leaves rejected the part, the caller is refused too: the
//      peer has tried everything that this daemon could try.
//   3. The peer is probed on a separate connection, soon after the start and
//      again when it has been silent for a while. As long as it answers, the
//      session waits.
//   4. A peer that never confirmed that it works on the part is told that the
//      part is not needed any more, and the next peer replaces it, if the route
//      allows more leaves than the first peer may have sent to. The next peer's
//      sends count as repeats, since the first may be working on the part while
//      its confirmation is late.
//   5. A peer that had confirmed and fell silent, or whose connection broke,
//      may have sent to leaves. The part is fanned out here as a repeat, if the
//      route allows more leaves than the peer may have sent to. Each send of
//      the repeat is paid for from the budget of extra sends, and the first
//      answer is used. Otherwise the part fails at once.
//
// Invariants: the session ends once; a part runs at both daemons only if the
// request is idempotent, as requests to all shards are.
//
// Runs on the traffic thread; the session keeps itself alive until the last
// call has ended.

#ifndef MEDLARSPREAD_QUERY_HANDOVER_SESSION_H_
#define MEDLARSPREAD_QUERY_HANDOVER_SESSION_H_

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
#include "src/query/gather_session.h"
#include "src/routing/peer_health.h"
#include "src/upstream/forward_port.h"

namespace medlarspread::query {

struct HandoverDependencies {
  base::Clock clock;
  base::TaskRunner runner;
  // Sends to peers; the port treats a peer like a leaf.
  upstream::ForwardPort peers;
  std::shared_ptr<routing::PeerHealth> health;
  // Creates the work of fanning the shards out on this daemon, without starting
  // it.
  std::function<GatherPart(ForwardedRequest,
                           std::vector<std::string>,
                           FanOutSession::Done)>
      fan_out_here;
  base::Log log;
};

class HandoverSession : public std::enable_shared_from_this<HandoverSession> {
 public:
  // Creates the work on the part again, at another peer or on this daemon.
  using Replace =
      std::function<GatherPart(const ForwardedRequest&, FanOutSession::Done)>;

  HandoverSession(std::shared_ptr<const HandoverDependencies> dependencies,
                  ForwardedRequest request,
                  std::vector<std::string> shards,
                  const blackboard::Member& peer,
                  FanOutSession::Done done,
                  Replace replace);

  void Start();
  // Reports how many shards are missing, if the peer can be asked.
  void Check(std::function<void(int missing)> report);
  // Allows an answer as soon as at most `most_missing` shards are missing.
  void Relax(int most_missing);
  // Whether a leaf may have executed the part.
  bool may_have_run() const;
  // Called when the caller has disconnected: cancels everything without an
  // answer. Returns false if the session had answered already.
  bool Abandon();

 private:
  void DidReply(upstream::ForwardReply reply);
  void DidFail(const upstream::ForwardReply& reply);
  // Asks a silent peer whether it is still working on the part.
  void Probe(base::Duration wait);
  void DidAnswerProbe(std::optional<int> missing);
  void DidMissProbe();
  // Fans the part out on this daemon, at most once. A repeat is paid for from
  // the budget, and the leaves that the peer may have used count towards the
  // route's maximum.
  void FanOutHere(bool is_repeat);
  // Hands the part to another peer, or fans it out on this daemon.
  void ReplacePeer();
  // Starts the work that replaces the peer's.
  void StartElsewhere(GatherPart work);
  ForwardedRequest MakeLaterRequest() const;
  FanOutSession::Done MakeDone();
  void DidFanOut(ForwardedAnswer answer, const FanOutSummary& summary);
  void Finish(ForwardedAnswer answer, const FanOutSummary& summary);
  // Fails the part with an unknown outcome: the peer may have executed it.
  void FinishUnknown();
  FanOutSummary MakeSummary(int answered) const;
  void LogOutcome(const std::string& outcome) const;

  int shard_count() const { return static_cast<int>(shards_.size()); }

  // The time left until the caller's deadline or the route's timeout.
  base::Duration time_left() const;
  base::Duration elapsed() const {
    return dependencies_->clock.Now() - arrived_;
  }

  const std::shared_ptr<const HandoverDependencies> dependencies_;
  const ForwardedRequest request_;
  const std::vector<std::string> shards_;
  const blackboard::Upstream peer_;
  FanOutSession::Done done_;
  const base::MonotonicTime arrived_;
  upstream::SentCall call_;
  upstream::SentCall probe_;
  const Replace replace_;
  // Set once the part runs on this daemon or at another peer.
  std::optional<GatherPart> elsewhere_;
  bool is_elsewhere_running_ = false;
  bool is_peer_running_ = false;
  // The peer confirmed that it is working on the part.
  bool is_peer_at_work_ = false;
  // The peer received the part, or may have, and its connection broke.
  bool is_peer_unknown_ = false;
  bool is_finished_ = false;
  // Set once Check() was called.
  std::function<void(int missing)> report_;
  // Set once Relax() was called.
  std::optional<int> most_missing_;
  base::Error last_error_;
  // Fires when the peer is to be probed, or when its answer to a probe is
  // overdue.
  base::Timer timer_;
};

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_HANDOVER_SESSION_H_
