// One daemon of a virtual fleet: the production code that serves opaque
// requests, over links and leaves in virtual time.
//
// What stands in for upstream::ForwardClient here is the link: the way there
// and back, the connections that this daemon may have to a leaf, and how long a
// reply is waited for. Other daemons are reached without connections.

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

// What all daemons of a fleet share.
struct FleetWorld {
  const FleetPlan& plan;
  base::Clock clock;
  base::TaskRunner runner;
  std::shared_ptr<base::Random> random;
  // By name.
  std::map<std::string, std::shared_ptr<VirtualLeaf>> leaves;
  // Those that live, by name.
  std::map<std::string, VirtualDaemon*> daemons;
  // The work that a request takes at a leaf, drawn anew each time.
  std::function<base::Duration(const std::string& request_id)> draw_work;
  // Set if the request ends the leaves that run it.
  std::function<const DeadlyRequest*(const std::string& request_id)> deadly;
  std::shared_ptr<VirtualStore> store;
  // Daemons have convicted requests so often, each counted at each daemon that
  // did not hear it from another one.
  int convictions = 0;
  // Whether datagrams between daemons arrive now.
  bool has_datagrams = true;
  // A send reached a leaf / a leaf began to work on it.
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
  // Power is lost: nothing leaves or arrives any more. Its sessions live on
  // unheard until their deadlines.
  void Kill();
  // Nothing reaches it or leaves it before `end`.
  void Freeze(base::MonotonicTime end) { frozen_until_ = end; }
  // None of its answers to other daemons arrives before `end`.
  void Mute(base::MonotonicTime end) { mute_until_ = end; }
  bool is_frozen() const { return world_.clock.Now() < frozen_until_; }

  const blackboard::Member& self() const { return self_; }

 private:
  // The connections to one leaf.
  struct Link {
    // All of them; the rest of `open` is in use or being opened.
    int open = 0;
    int free = 0;
    // They end with the leaf's process.
    int leaf_start = 1;
  };

  // One request on its way.
  struct Call {
    std::shared_ptr<VirtualLeaf> leaf;
    base::MonotonicTime sent;
    // Once its connection is open; zero if it was.
    base::MonotonicTime leaves_at;
    upstream::ForwardPort::Callback done;
    std::uint64_t job = 0;
    bool has_reached_leaf = false;
    bool is_finished = false;
    // The start of the leaf that its connection is to.
    int leaf_start = 0;
    base::Timer timer;
  };

  // A request to another daemon.
  struct PeerCall {
    upstream::ForwardPort::Callback done;
    // Gives the work up at the other daemon.
    query::ForwardService::Abandon abandon = [] {};
    bool is_finished = false;
    base::Timer timer;
  };

  upstream::ForwardPort MakePort();
  upstream::ForwardPort MakePeerPort();
  upstream::SentCall SendToPeer(const blackboard::Upstream& peer,
                                upstream::ForwardCall forwarded,
                                upstream::ForwardPort::Callback done);
  // A request that another daemon sent; `respond` is called at once or later.
  query::ForwardService::Abandon TakeFromPeer(
      const upstream::ForwardCall& call,
      base::Duration time_left,
      std::function<void(upstream::ForwardReply)> respond);
  std::shared_ptr<gossip::ReportExchange> MakeReports();
  std::shared_ptr<quarantine::Quarantine> MakeQuarantine();
  // Runs the task after the delay, and not while this daemon is frozen.
  void Deliver(base::Duration delay, base::Task task);
  upstream::SentCall Send(const blackboard::Upstream& upstream,
                          upstream::ForwardCall call,
                          upstream::ForwardPort::Callback done);
  void Arrive(const std::shared_ptr<Call>& call,
              const std::string& request_id,
              base::MonotonicTime deadline);
  void Finish(const std::shared_ptr<Call>& call, upstream::LeafOutcome outcome);
  // The connection is closed, and the leaf hears of it.
  void Abort(const std::shared_ptr<Call>& call);
  void EndAfter(const std::shared_ptr<Call>& call, base::Duration delay);
  upstream::Readiness ReadinessOf(const blackboard::Upstream& upstream);
  int ConnectionShare(const blackboard::Upstream& upstream) const;
  void SendDatagram(const std::string& address, const std::string& bytes);
  // The connections to the leaf as it is now.
  Link& LinkTo(const std::string& leaf);
  // The connection of a call has ended.
  void DropConnection(const Call& call);
  // One way, to a leaf or to another daemon.
  base::Duration DelayTo(const blackboard::Upstream& upstream) const;
  base::Duration DelayTo(const blackboard::Member& member) const;
  base::Duration Delay(const std::string& region,
                       const std::string& domain) const;
  // Opens one if there is a place; false if the leaf resets it.
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
