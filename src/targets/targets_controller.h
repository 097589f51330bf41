// The controller of the targets: brings them into force on this daemon from the
// store and from peers, passes them on, and makes the operators' changes. See
// docs/design/08-targets.md.

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

// Every method may be called from any thread: the work is done on the control
// sequence. `random` and `blackboard` must outlive the control sequence.
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
  // Ends reading and asking. Targets stay in force and are still passed on;
  // new changes are refused, changes under way go on to their outcome.
  void Stop();

  void DidReceive(const peer::Sender& sender,
                  const peer::wire::TargetsRequest& request);
  void DidReceive(const peer::Sender& sender,
                  const peer::wire::TargetsBody& body);

  // A heartbeat shows which targets `peer` has in force.
  void DidSeeRevision(const std::string& peer,
                      std::int64_t revision,
                      std::int64_t digest);

  // Calls back once on the control sequence, within the change timeout.
  void Change(TargetsChange change, ChangeCallback callback);

  // Whether targets are in force that no known peer is ahead of. Once true it
  // stays true.
  bool is_ready() const;

  TargetsAlarms alarms() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace medlarspread::targets

#endif  // MEDLARSPREAD_TARGETS_TARGETS_CONTROLLER_H_
