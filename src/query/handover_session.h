// A part of a request to all shards that this daemon hands to an aggregator,
// from its start to its one end.
//
// Steps:
//   1. The request and the names of the part's shards are sent to the peer,
//      which fans it out and answers with the part's merged records.
//   2. A peer that refused it or was not reached has sent nothing: the part is
//      fanned out here, as if the request had just arrived.
//   3. A peer that is silent for a while is probed on a connection of its own.
//      If it answers the probe it is at work on the shards, and the session
//      waits on. If not, and the request has not even left for it, the part is
//      fanned out here as in step 2. Else, or if its connection breaks, it is
//      fanned out here as a repeat, if the route allows more leaves than the
//      peer may have sent to: each send of it is paid for from the budget of
//      extra sends, and the first answer counts. Otherwise it has failed, at
//      once.
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
#include "src/routing/peer_health.h"
#include "src/upstream/forward_port.h"

namespace medlarspread::query {

struct HandoverDependencies {
  base::Clock clock;
  base::TaskRunner runner;
  // Sends to peers; a peer stands in the place of a leaf.
  upstream::ForwardPort peers;
  std::shared_ptr<routing::PeerHealth> health;
  // Makes a session that fans the shards out here; not started yet.
  std::function<std::shared_ptr<FanOutSession>(ForwardedRequest,
                                               std::vector<std::string>,
                                               FanOutSession::Done)>
      fan_out_here;
  base::Log log;
};

class HandoverSession : public std::enable_shared_from_this<HandoverSession> {
 public:
  HandoverSession(std::shared_ptr<const HandoverDependencies> dependencies,
                  ForwardedRequest request,
                  std::vector<std::string> shards,
                  const blackboard::Member& peer,
                  FanOutSession::Done done);

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
  void Probe();
  void DidAnswerProbe(std::optional<int> missing);
  void DidMissProbe();
  // Fans the request out here; at most once.
  void FanOutHere(bool is_repeat);
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
  // Set once the request is fanned out here.
  std::shared_ptr<FanOutSession> here_;
  bool is_here_running_ = false;
  bool is_peer_running_ = false;
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
