// Controls the targets: puts targets from the store and from peers into force
// on this daemon, sends them to peers, and carries out the operators' changes.
// See docs/design/08-targets.md.

#ifndef MEDLARSPREAD_TARGETS_TARGETS_CONTROLLER_H_
#define MEDLARSPREAD_TARGETS_TARGETS_CONTROLLER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/peer/message.h"
#include "src/store/store.h"
#include "src/targets/targets_alarms.h"
#include "src/targets/targets_change.h"
#include "src/targets/targets_settings.h"

namespace medlarspread::targets {

// Thread-safe: the work is done on the control sequence. `random` and
// `blackboard` must outlive the control sequence.
class TargetsController {
 public:
  TargetsController(const TargetsSettings& settings,
                    base::Clock clock,
                    base::Random& random,
                    base::TaskRunner control,
                    store::Store store,
                    peer::PeerPort peers,
                    blackboard::Blackboard& blackboard,
                    base::Log log = {});
  ~TargetsController();
  TargetsController(const TargetsController&) = delete;
  TargetsController& operator=(const TargetsController&) = delete;

  void Start();
  // Stops reading the store and requesting targets from peers. Targets stay in
  // force and are still sent to peers; new changes are refused, pending changes
  // continue to their outcome.
  void Stop();

  void DidReceive(const peer::Sender& sender,
                  const peer::wire::TargetsRequest& request);
  void DidReceive(const peer::Sender& sender,
                  const peer::wire::TargetsBody& body);

  // A heartbeat named the targets that `peer` has in force.
  void DidSeeRevision(const std::string& peer,
                      std::int64_t revision,
                      std::int64_t digest);

  // Calls back once, on the control sequence, within the change timeout.
  void Change(TargetsChange change, ChangeCallback callback);

  // Whether targets are in force and no known peer has higher ones. Once true,
  // it stays true.
  bool is_ready() const;

  TargetsAlarms alarms() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_TARGETS_CONTROLLER_H_
