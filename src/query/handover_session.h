// A part of a request to all shards that this daemon hands to an aggregator,
// from its start to its one end.
//
// Steps:
//   1. The request and the names of the part's shards are sent to the peer,
//      which fans it out and answers with the part's merged records.
//   2. A peer that refused it before it sent anything, or was not reached: the
//      part is fanned out here, as if the request had just arrived. If its
//      leaves have rejected the part, so is the caller: the peer has tried all
//      that this daemon could try.
//   3. The peer is probed on a connection of its own, soon after the start and
//      again when it has been silent for a while. If it answers, the session
//      waits on.
//   4. A peer that never said that it is at work is told that its part is no
//      longer needed, and the next one takes its place, if the route allows
//      more leaves than the first may have sent to. The next one's sends are
//      repeats, since the first may be at work and only its word be late.
//   5. A peer that was at work and fell silent, or whose connection broke, may
//      have sent to leaves: the part is fanned out here as a repeat, if the
//      route allows more leaves than the peer may have sent to. Each send of it
//      is paid for from the budget of extra sends, and the first answer counts.
//      Otherwise it has failed, at once.
//
// Invariants: it ends once; a part runs at both daemons only where the request
// is idempotent, which requests to all shards are.
//
// Runs on the traffic thread; keeps itself alive until the last call ended.

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
  // Sends to peers; a peer stands in the place of a leaf.
  upstream::ForwardPort peers;
  std::shared_ptr<routing::PeerHealth> health;
  // Makes the work of fanning the shards out here; not started yet.
  std::function<GatherPart(ForwardedRequest,
                           std::vector<std::string>,
                           FanOutSession::Done)>
      fan_out_here;
  base::Log log;
};

class HandoverSession : public std::enable_shared_from_this<HandoverSession> {
 public:
  // Makes the work on the part anew, at another peer or here.
  using Replace =
      std::function<GatherPart(const ForwardedRequest&, FanOutSession::Done)>;

  HandoverSession(std::shared_ptr<const HandoverDependencies> dependencies,
                  ForwardedRequest request,
                  std::vector<std::string> shards,
                  const blackboard::Member& peer,
                  FanOutSession::Done done,
                  Replace replace);

  void Start();
  // Reports how many shards are missing now, if the peer can be asked.
  void Check(std::function<void(int missing)> report);
  // Answer as soon as no more than so many shards are missing.
  void Relax(int most_missing);
  // Whether a leaf may have run the part.
  bool may_have_run() const;
  // The caller has left: everything is cancelled, and nobody is answered.
  // False if the session had answered already.
  bool Abandon();

 private:
  void DidReply(upstream::ForwardReply reply);
  void DidFail(const upstream::ForwardReply& reply);
  // The peer has been silent: asks whether it lives.
  void Probe(base::Duration wait);
  void DidAnswerProbe(std::optional<int> missing);
  void DidMissProbe();
  // Fans the part out here; at most once. A repeat is paid for and uses no
  // leaves that the peer may have used.
  void FanOutHere(bool is_repeat);
  // Hands the part to another peer, or fans it out here.
  void ReplacePeer();
  // Starts what takes the peer's place.
  void StartElsewhere(GatherPart work);
  ForwardedRequest MakeLaterRequest() const;
  FanOutSession::Done MakeDone();
  void DidFanOut(ForwardedAnswer answer, const FanOutSummary& summary);
  void Finish(ForwardedAnswer answer, const FanOutSummary& summary);
  // A failure, for want of anything better: the peer may have run it.
  void FinishUnknown();
  FanOutSummary MakeSummary(int answered) const;
  void LogOutcome(const std::string& outcome) const;

  int shard_count() const { return static_cast<int>(shards_.size()); }

  // What is left of the caller's deadline and of the route's timeout.
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
  // Set once the part is worked on here, or by another peer.
  std::optional<GatherPart> elsewhere_;
  bool is_elsewhere_running_ = false;
  bool is_peer_running_ = false;
  // It said that it has the part in work.
  bool is_peer_at_work_ = false;
  // The peer got the part, or may have, and its connection was lost.
  bool is_peer_unknown_ = false;
  bool is_finished_ = false;
  // Set once Check() was called.
  std::function<void(int missing)> report_;
  // Set once Relax() was called.
  std::optional<int> most_missing_;
  base::Error last_error_;
  // When the peer is probed, or its answer to a probe is missed.
  base::Timer timer_;
};

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_HANDOVER_SESSION_H_
