// Obtains claims for the daemon's query sessions and groups claims of other
// daemons. Safe to call from any thread; the work is done on one sequence.
//
// The protocol for one claim:
//   1. The requesting daemon checks the identifier's age and selects the daemon
//      that groups the claims of its key: the first in rendezvous order.
//   2. That daemon records (identifier, nonce) together with other claims of
//      the key by one compare-and-swap. If two daemons group claims of the same
//      key, their swaps conflict, and the loser reads the key again.
//   3. A swap of unknown outcome is resolved by reading the key.
//   4. The outcome is sent to the requesting daemon. It grants the claim only
//      if it is still waiting and its deadline has not passed; no other daemon
//      sends the request.
//   5. If no reply arrives, the requesting daemon tries the next daemon in
//      order, and finally commits the claim itself. The nonce stays the same,
//      so that a claim that is recorded twice is still a single claim.

#ifndef MEDLARSPREAD_CLAIMS_CLAIM_SERVICE_H_
#define MEDLARSPREAD_CLAIMS_CLAIM_SERVICE_H_

#include <functional>
#include <memory>
#include <string>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/claims/claim_counts.h"
#include "src/claims/claim_port.h"
#include "src/claims/claim_settings.h"
#include "src/peer/message.h"
#include "src/store/store.h"

namespace medlarspread::claims {

class ClaimService {
 public:
  // `random` and `blackboard` must outlive the tasks of `runner`.
  ClaimService(ClaimSettings settings,
               base::Clock clock,
               base::Random& random,
               base::TaskRunner runner,
               store::Store store,
               peer::PeerPort peers,
               const blackboard::Blackboard& blackboard,
               base::Log log = {});
  ~ClaimService();
  ClaimService(const ClaimService&) = delete;
  ClaimService& operator=(const ClaimService&) = delete;

  // Starts erasing expired claims.
  void Start();

  // The port for query sessions. Its callbacks run on the service's sequence.
  ClaimPort port();

  void DidReceive(const peer::Sender& sender,
                  const peer::wire::ClaimRequest& request);
  void DidReceive(const peer::Sender& sender,
                  const peer::wire::ClaimReply& reply);
  void DidLosePeer(const std::string& peer);

  // Refuses new claims, and calls back once the open ones are settled, which is
  // at the latest when their deadlines have passed. Call it after the sessions
  // have ended. Other daemons are told to ask the next daemon.
  void Stop(std::function<void()> did_stop);

  // Runs `callback` with the counters on the service's sequence.
  void ReadCounts(std::function<void(ClaimCounts)> callback);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_CLAIM_SERVICE_H_
