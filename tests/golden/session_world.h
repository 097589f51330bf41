// Runs the query paths, claims and targets of three daemons on one manual
// clock, with scripted leaves and a fake store. Records everything that crosses
// an interface (caller, upstream, platform, peer), one line per event, so that
// a whole session can be compared byte by byte with a golden file.

#ifndef MEDLARSPREAD_TESTS_GOLDEN_SESSION_WORLD_H_
#define MEDLARSPREAD_TESTS_GOLDEN_SESSION_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/claims/claim_service.h"
#include "src/daemon/traffic.h"
#include "src/peer/message.h"
#include "src/targets/targets_controller.h"
#include "src/upstream/leaf_port.h"
#include "tests/targets/fake_store.h"

namespace medlarspread::golden {

constexpr std::uint64_t kSeed = 424242;

// A leaf's behaviour for one request.
struct LeafScript {
  base::Duration delay = base::Milliseconds(5);
  upstream::LeafOutcome outcome = upstream::LeafOutcome::kAnswered;
  base::Duration retry_after{};
};

class SessionWorld {
 public:
  SessionWorld();

  // Returns the behaviour of `leaf` for its `nth` request (counted from 0).
  std::function<LeafScript(const std::string& leaf, int nth)> script;

  // Submits a caller's request to `daemon` and records the answer.
  void Ask(const std::string& daemon,
           const std::string& request_id,
           bool is_idempotent,
           base::Duration deadline);
  // Submits an operator's change to `daemon` and records the outcome.
  void Change(const std::string& daemon,
              const std::string& change_id,
              std::int64_t expected_revision,
              int latency_ms);
  void Advance(base::Duration duration) { scheduler_->Advance(duration); }
  // Sets the snapshot versions of which the leaf holds its half of the key
  // space.
  void SetHoldings(const std::string& leaf, std::vector<std::int64_t> versions);
  void SetState(const std::string& leaf, blackboard::UpstreamState state);
  // Clears the record after a part of the session that the test does not
  // compare.
  void ClearRecord() { record_.clear(); }
  // Adds a line of the test itself to the record.
  void RecordNote(const std::string& text);

  targets::FakeStore& store() { return store_; }
  const std::string& record() const { return record_; }

 private:
  struct Node {
    std::string name;
    blackboard::Blackboard blackboard;
    std::shared_ptr<base::Random> random;
    std::unique_ptr<claims::ClaimService> claims;
    std::unique_ptr<targets::TargetsController> targets;
    std::unique_ptr<daemon::Traffic> traffic;
  };

  void AddNode(const std::string& name, const std::string& region);
  void Publish();
  peer::PeerPort PeerPortOf(const std::string& sender);
  void Deliver(const std::string& sender,
               const std::string& receiver,
               const peer::Message& message);
  upstream::LeafPort LeafPortOf(const std::string& daemon);
  store::Store StoreOf(const std::string& daemon);
  void Write(const std::string& line);

  std::shared_ptr<base::ManualTime> time_;
  std::shared_ptr<base::ManualScheduler> scheduler_;
  base::Clock clock_;
  base::TaskRunner runner_;
  targets::FakeStore store_;
  blackboard::MembershipView membership_;
  blackboard::UpstreamsView upstreams_;
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::map<std::string, int> leaf_requests_;
  std::string record_;
};

}  // namespace medlarspread::golden

#endif  // MEDLARSPREAD_TESTS_GOLDEN_SESSION_WORLD_H_
