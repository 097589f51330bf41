// Learning targets from the other daemons and giving them ours. Heartbeats show
// which revision a peer has in force; the body is asked for when it is higher.

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

// Used on the control sequence only. Shared, because its timers keep it alive.
class PeerExchange : public std::enable_shared_from_this<PeerExchange> {
 public:
  PeerExchange(const TargetsSettings& settings,
               base::Random& random,
               base::TaskRunner control,
               peer::PeerPort peers,
               blackboard::Blackboard& blackboard,
               std::shared_ptr<HeldTargets> held,
               base::Log log);

  // A heartbeat shows what `peer` has in force. A digest of 0 means nothing.
  void DidSeeRevision(const std::string& peer,
                      std::int64_t revision,
                      std::int64_t digest);
  void DidReceiveRequest(const peer::Sender& sender,
                         const peer::wire::TargetsRequest& request);
  void DidReceiveBody(const peer::Sender& sender,
                      const peer::wire::TargetsBody& body);

  // The highest revision that any daemon was ever seen to have in force.
  std::int64_t HighestSeen() const;
  // The same, of the daemons in the membership view only.
  std::int64_t HighestLive() const;

  // Asks a peer at once if one is known to hold a higher revision.
  void RequestNow();
  void Stop();

 private:
  // Asks `peer`; another attempt follows unless we have caught up by then.
  void Request(const std::string& peer);
  // Asks any peer that is ahead, if there is one.
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
  // Invariant: set exactly while an answer is waited for, that is, while
  // `timer_` is due.
  bool is_waiting_ = false;
  base::Timer timer_;
};

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_PEER_EXCHANGE_H_
