// The controllers of the opaque interface. They follow the changes in the
// store, directly or through peers, and publish them on the blackboard. They
// run on the control thread.

#ifndef MEDLARSPREAD_DAEMON_STORE_CONTROLLERS_H_
#define MEDLARSPREAD_DAEMON_STORE_CONTROLLERS_H_

#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/http1/caller_listener.h"
#include "src/membership/lease_registration.h"
#include "src/quarantine/verdict_controller.h"
#include "src/relay/update_reader.h"
#include "src/relay/update_server.h"
#include "src/settings/daemon_settings.h"
#include "src/store/event_log.h"
#include "src/store/follower.h"
#include "src/targets/route_controller.h"
#include "src/upstream/leaf_directory.h"

namespace medlarspread::daemon {

class StoreControllers {
 public:
  StoreControllers(const settings::DaemonSettings& settings,
                   boost::asio::io_context& context,
                   base::Clock clock,
                   std::shared_ptr<base::Random> random,
                   base::TaskRunner control,
                   store::EventSource store,
                   blackboard::Blackboard& blackboard,
                   base::Log log);

  // Opens the listener for peers. Call before Start().
  base::Status Open() { return peer_listener_->Open(); }
  // Called on the control thread.
  void Start();
  void Stop();
  // Called with the era (see store::Position) that an answer of the store
  // contains.
  void DidSeeEra(std::int64_t era) { update_reader_->DidSeeEra(era); }
  quarantine::VerdictController& verdicts() { return *verdicts_; }

 private:
  // The store was restored from a backup, so what this daemon wrote to it
  // may be lost.
  void DidRestoreStore();
  void DidChange(const std::vector<store::Event>& events,
                 const store::Position& reached);
  void DidReach(const store::Position& position);
  void DidChangeLeaf(const std::string& id, const store::Event& event);
  void DidChangeConfiguration(const store::Event& event);
  // Makes the daemon ready once it has routes. Called after each batch of
  // changes, so only after the daemon has read the whole store.
  void CheckReadiness();

  const base::Clock clock_;
  blackboard::Blackboard& blackboard_;
  const base::Log log_;
  // Regions by failure domain.
  const std::map<std::string, std::string> regions_;
  upstream::LeafDirectory leaves_;
  targets::RouteController routes_;
  const std::shared_ptr<store::OutageDetector> outages_;
  // Observed by `outages_`.
  const store::EventSource store_;
  const std::shared_ptr<quarantine::VerdictController> verdicts_;
  // The changes that this daemon has seen, for the peers that follow it.
  store::EventLog event_log_;
  const std::shared_ptr<relay::UpdateReader> update_reader_;
  const std::shared_ptr<relay::UpdateServer> update_server_;
  const std::shared_ptr<http1::CallerListener> peer_listener_;
  const std::shared_ptr<membership::LeaseRegistration> registration_;
  const std::shared_ptr<store::Follower> follower_;
};

}  // namespace medlarspread::daemon

#endif  // MEDLARSPREAD_DAEMON_STORE_CONTROLLERS_H_
