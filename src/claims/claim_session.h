// Obtains one claim for the requesting daemon: asks the daemon that groups the
// claims of the key, then the next in order, and finally commits the claim on
// this daemon. Its timers and callbacks keep it alive until it has answered.
//
// Only this session turns a recorded nonce into a grant, at most once and only
// before its deadline. Replies that arrive after it has answered are dropped.

#ifndef MEDLARSPREAD_CLAIMS_CLAIM_SESSION_H_
#define MEDLARSPREAD_CLAIMS_CLAIM_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/base/task_runner.h"
#include "src/claims/claim_context.h"
#include "src/claims/claim_port.h"
#include "src/claims/group_committer.h"
#include "src/peer/message.h"

namespace medlarspread::claims {

struct ClaimTask {
  // Matches replies to this session. Random, and therefore unique over
  // incarnations with high probability.
  std::int64_t claim_id = 0;
  std::string request_id;
  std::string nonce;
  std::int64_t made_at_ms = 0;
  base::MonotonicTime deadline;
  // The daemons that may group the claim, in order of preference. May contain
  // `self`.
  std::vector<std::string> candidates;
  std::string self;
};

class ClaimSession : public std::enable_shared_from_this<ClaimSession> {
 public:
  using DidFinish = std::function<void(const ClaimResult&)>;

  ClaimSession(std::shared_ptr<ClaimContext> context,
               std::shared_ptr<GroupCommitter> committer,
               peer::PeerPort peers,
               ClaimTask task,
               DidFinish did_finish);

  void Start();
  void DidReceive(const std::string& peer, const peer::wire::ClaimReply& reply);
  // Asks the next daemon if `peer` was being asked.
  void DidLosePeer(const std::string& peer);

 private:
  void AskNextDaemon();
  bool Ask(const std::string& peer);
  void CommitLocally();
  // Handles the outcome reported by a peer or by this daemon's own committer.
  void DidLearnOutcome(ClaimOutcome outcome, const base::Error& error);
  void DidPassDeadline();
  // Ends without a grant when no other claim is known either.
  void GiveUp(const base::Error& error);
  void Finish(ClaimOutcome outcome, const base::Error& error);

  const std::shared_ptr<ClaimContext> context_;
  const std::shared_ptr<GroupCommitter> committer_;
  const peer::PeerPort peers_;
  const ClaimTask task_;
  // Empty once the session has answered.
  DidFinish did_finish_;

  std::size_t next_candidate_ = 0;
  int forwards_ = 0;
  // The peer that is being asked; empty if none is.
  std::string asked_peer_;
  bool is_committing_locally_ = false;
  // Whether an earlier peer may have recorded the nonce without replying.
  bool may_be_recorded_ = false;
  base::Timer forward_timer_;
  base::Timer deadline_timer_;
};

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_CLAIM_SESSION_H_
