// One daemon of a virtual fleet: the production code that serves opaque
// requests, over links and leaves in virtual time.
//
// upstream::ForwardClient is replaced by a simulated link, which models the
// network delay in each direction, the limit on connections to a leaf and the
// reply timeout. Calls to other daemons don't use connections.

#ifndef MEDLARSPREAD_EMULATOR_FLEET_VIRTUAL_DAEMON_H_
#define MEDLARSPREAD_EMULATOR_FLEET_VIRTUAL_DAEMON_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/fleet/fleet_plan.h"
#include "emulator/fleet/virtual_leaf.h"
#include "emulator/fleet/virtual_store.h"
#include "src/blackboard/blackboard.h"
#include "src/gossip/report_exchange.h"
#include "src/quarantine/quarantine.h"
#include "src/quarantine/verdict_controller.h"
#include "src/query/forward_service.h"

namespace medlarspread::emulator {

class VirtualDaemon;

// State shared by all daemons of a fleet.
struct FleetWorld {
  const FleetPlan& plan;
  base::Clock clock;
  base::TaskRunner runner;
  std::shared_ptr<base::Random> random;
  // By name.
  std::map<std::string, std::shared_ptr<VirtualLeaf>> leaves;
  // The running daemons, by name.
  std::map<std::string, VirtualDaemon*> daemons;
  // Draws the service time of a request at a leaf, anew for each call.
  std::function<base::Duration(const std::string& request_id)> draw_work;
  // Returns null unless the request crashes the leaves that run it.
  std::function<const DeadlyRequest*(const std::string& request_id)> deadly;
  std::shared_ptr<VirtualStore> store;
  // How often daemons convicted a request on their own evidence, rather than
  // on a verdict received from another daemon.
  int convictions = 0;
  // Whether datagrams between daemons are currently delivered.
  bool has_datagrams = true;
  // Called when a send reaches a leaf, and when a leaf starts running it.
  std::function<void(const std::string& request_id, const std::string& leaf)>
      did_arrive;
  std::function<void(const std::string& request_id)> did_run;
};

class VirtualDaemon {
 public:
  // `world` must outlive it.
  VirtualDaemon(FleetWorld& world,
                blackboard::Member self,
                const blackboard::MembershipView& members,
                const blackboard::UpstreamsView& leaves,
                const blackboard::RoutesView& routes);

  VirtualDaemon(const VirtualDaemon&) = delete;
  VirtualDaemon& operator=(const VirtualDaemon&) = delete;

  void Submit(query::IncomingRequest request, query::ForwardedCallback done);
  // Simulates power loss: the daemon no longer sends or receives. Its sessions
  // stay in memory, isolated, until their deadlines.
  void Kill();
  // The daemon neither receives nor sends until `end`.
  void Freeze(base::MonotonicTime end) { frozen_until_ = end; }
  // All of its replies to other daemons are lost until `end`.
  void Mute(base::MonotonicTime end) { mute_until_ = end; }
  bool is_frozen() const { return world_.clock.Now() < frozen_until_; }

  const blackboard::Member& self() const { return self_; }

 private:
  // The connections to one leaf.
  struct Link {
    // All connections; those that aren't free are in use or being opened.
    int open = 0;
    int free = 0;
    // The start of the leaf's process that the connections belong to; they are
    // lost when the process ends.
    int leaf_start = 1;
  };

  // One outstanding request to a leaf.
  struct Call {
    std::shared_ptr<VirtualLeaf> leaf;
    base::MonotonicTime sent;
    // When a new connection is open and the request is sent; zero if an open
    // connection was reused.
    base::MonotonicTime leaves_at;
    upstream::ForwardPort::Callback done;
    std::uint64_t job = 0;
    bool has_reached_leaf = false;
    bool is_finished = false;
    // The start of the leaf's process that the connection belongs to.
    int leaf_start = 0;
    base::Timer timer;
  };

  // One outstanding request to another daemon.
  struct PeerCall {
    upstream::ForwardPort::Callback done;
    // Cancels the work at the other daemon.
    query::ForwardService::Abandon abandon = [] {};
    bool is_finished = false;
    base::Timer timer;
  };

  upstream::ForwardPort MakePort();
  upstream::ForwardPort MakePeerPort();
  upstream::SentCall SendToPeer(const blackboard::Upstream& peer,
                                upstream::ForwardCall forwarded,
                                upstream::ForwardPort::Callback done);
  // Handles a request from another daemon; `respond` is called during the call
  // or later.
  query::ForwardService::Abandon TakeFromPeer(
      const upstream::ForwardCall& call,
      base::Duration time_left,
      std::function<void(upstream::ForwardReply)> respond);
  std::shared_ptr<gossip::ReportExchange> MakeReports();
  std::shared_ptr<quarantine::Quarantine> MakeQuarantine();
  // Runs the task after the delay, postponed while this daemon is frozen.
  void Deliver(base::Duration delay, base::Task task);
  upstream::SentCall Send(const blackboard::Upstream& upstream,
                          upstream::ForwardCall call,
                          upstream::ForwardPort::Callback done);
  void Arrive(const std::shared_ptr<Call>& call,
              const std::string& request_id,
              base::MonotonicTime deadline);
  void Finish(const std::shared_ptr<Call>& call, upstream::LeafOutcome outcome);
  // Closes the connection of the call and notifies the leaf.
  void Abort(const std::shared_ptr<Call>& call);
  void EndAfter(const std::shared_ptr<Call>& call, base::Duration delay);
  upstream::Readiness ReadinessOf(const blackboard::Upstream& upstream);
  int ConnectionShare(const blackboard::Upstream& upstream) const;
  void SendDatagram(const std::string& address, const std::string& bytes);
  // The connections to the current process of the leaf.
  Link& LinkTo(const std::string& leaf);
  // Handles the loss of a call's connection.
  void DropConnection(const Call& call);
  // One-way network delay to a leaf or to another daemon.
  base::Duration DelayTo(const blackboard::Upstream& upstream) const;
  base::Duration DelayTo(const blackboard::Member& member) const;
  base::Duration Delay(const std::string& region,
                       const std::string& domain) const;
  // Opens a connection if the limit allows it. Returns false if the leaf resets
  // it.
  bool Open(const blackboard::Upstream& upstream);

  FleetWorld& world_;
  const blackboard::Member self_;
  bool is_dead_ = false;
  base::MonotonicTime frozen_until_;
  base::MonotonicTime mute_until_;
  blackboard::Blackboard blackboard_;
  std::map<std::string, Link> links_;
  const std::shared_ptr<routing::LeafTracker> tracker_;
  const std::shared_ptr<quarantine::VerdictController> verdicts_;
  const std::shared_ptr<quarantine::Quarantine> quarantine_;
  query::ForwardService service_;
  const std::shared_ptr<gossip::ReportExchange> reports_;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_FLEET_VIRTUAL_DAEMON_H_
