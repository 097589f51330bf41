// Exchanges targets with the other daemons. Heartbeats show which revision a
// peer has in force; its body is requested if the revision is higher.

#ifndef MEDLARSPREAD_TARGETS_PEER_EXCHANGE_H_
#define MEDLARSPREAD_TARGETS_PEER_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/base/log.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/peer/message.h"
#include "src/targets/held_targets.h"
#include "src/targets/targets_settings.h"

namespace medlarspread::targets {

// Used on the control sequence only. Owned by shared pointer, because its
// timers keep it alive.
class PeerExchange : public std::enable_shared_from_this<PeerExchange> {
 public:
  PeerExchange(const TargetsSettings& settings,
               base::Random& random,
               base::TaskRunner control,
               peer::PeerPort peers,
               blackboard::Blackboard& blackboard,
               std::shared_ptr<HeldTargets> held,
               base::Log log);

  // A heartbeat named the targets that `peer` has in force. A digest of 0 means
  // that it knows none.
  void DidSeeRevision(const std::string& peer,
                      std::int64_t revision,
                      std::int64_t digest);
  void DidReceiveRequest(const peer::Sender& sender,
                         const peer::wire::TargetsRequest& request);
  void DidReceiveBody(const peer::Sender& sender,
                      const peer::wire::TargetsBody& body);

  // The highest revision that any daemon has been seen to have in force.
  std::int64_t HighestSeen() const;
  // The same, among the daemons in the membership view only.
  std::int64_t HighestLive() const;

  // Requests the targets at once if a peer is known to have a higher revision.
  void RequestNow();
  void Stop();

 private:
  // Requests the targets of `peer`; tries again after a timeout while any peer
  // has a higher revision.
  void Request(const std::string& peer);
  // Requests the targets of a random peer with a higher revision, if there is
  // one.
  void RequestAny();
  std::vector<std::string> PeersAhead() const;

  const TargetsSettings settings_;
  base::Random& random_;
  const base::TaskRunner control_;
  const peer::PeerPort peers_;
  blackboard::Blackboard& blackboard_;
  const std::shared_ptr<HeldTargets> held_;
  const base::Log log_;

  std::map<std::string, std::int64_t> revisions_;
  std::int64_t highest_seen_ = 0;
  bool is_stopped_ = false;
  // Invariant: true exactly while a reply is awaited, that is, while `timer_`
  // is pending.
  bool is_waiting_ = false;
  base::Timer timer_;
};

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_PEER_EXCHANGE_H_
