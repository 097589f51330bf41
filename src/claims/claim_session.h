// One claim from the asker's side: asks the daemon that groups the claims of
// the key, then the next in order, then commits it here. It keeps itself alive
// through its timers and callbacks until it has answered.
//
// Only this session turns a recorded nonce into a grant, at most once and only
// before its deadline. Whatever arrives after it has answered is dropped.

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
  // Matches replies to this session; unique over incarnations, by chance.
  std::int64_t claim_id = 0;
  std::string request_id;
  std::string nonce;
  std::int64_t made_at_ms = 0;
  base::MonotonicTime deadline;
  // The daemons that may group the claim, best first. May contain `self`.
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
  // Goes on to the next daemon if this one was being asked.
  void DidLosePeer(const std::string& peer);

 private:
  void TryNext();
  bool Ask(const std::string& peer);
  void CommitHere();
  // What a daemon, or this one's own committer, says of the nonce.
  void DidLearn(ClaimOutcome outcome, const base::Error& error);
  void DidPassDeadline();
  // Ends without a grant and without knowing another's claim.
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
  // The daemon that is being asked; empty if none is.
  std::string asked_;
  bool is_committing_here_ = false;
  // A daemon that was asked did not say what became of the nonce.
  bool may_be_recorded_ = false;
  base::Timer forward_timer_;
  base::Timer deadline_timer_;
};

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_CLAIM_SESSION_H_
