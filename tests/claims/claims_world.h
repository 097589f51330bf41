// Runs the ClaimServices of several daemons over one fake store, with the links
// between them, in manual time. Each daemon has its own task queue, so that it
// can be paused at any moment while time advances for the others.

#ifndef MEDLARSPREAD_TESTS_CLAIMS_CLAIMS_WORLD_H_
#define MEDLARSPREAD_TESTS_CLAIMS_CLAIMS_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/claims/claim_service.h"
#include "tests/claims/fake_store.h"

namespace medlarspread::claims {

enum class LinkFault { kNone, kLose, kDuplicate, kLate, kRefuse };

class ClaimsWorld {
 public:
  static constexpr std::int64_t kStartMilliseconds = 1'764'691'200'000;
  static constexpr base::Duration kDeadline = base::Milliseconds(2000);

  explicit ClaimsWorld(int daemons);

  // An identifier created `age_ms` ago.
  std::string MakeId(const std::string& suffix, std::int64_t age_ms = 0) const;

  // Requests the claim at daemon `index`. Returns the index of the result.
  std::size_t Ask(int index,
                  const std::string& request_id,
                  base::Duration deadline = kDeadline);
  void Advance(base::Duration duration);

  // Whether a result has arrived.
  bool is_settled(std::size_t question) const {
    return questions_[question].answers > 0;
  }
  ClaimResult result(std::size_t question) const {
    return questions_[question].result;
  }
  // The number of grants; the tests require at most one per identifier.
  int grants(const std::string& request_id) const;
  // The maximum number of grants of one identifier, or of answers to one call.
  int max_grants() const;
  int max_answers() const;

  // A paused daemon runs no tasks; messages to it are queued.
  void Pause(int index) { daemons_[Index(index)].is_paused = true; }
  void Resume(int index) { daemons_[Index(index)].is_paused = false; }
  // Stops the daemon at once and starts a new incarnation with empty memory.
  void Restart(int index);
  void Stop(int index, std::function<void()> did_stop);
  // Sets the daemons that daemon `index` considers live.
  void SetView(int index, const std::vector<int>& live);
  // The daemon that groups the claims of this identifier in a full view.
  int GroupingDaemon(const std::string& request_id) const;
  ClaimCounts Counts(int index);

  std::function<LinkFault()> next_link_fault = [] { return LinkFault::kNone; };
  ClaimSettings settings;

  FakeStore& store() { return *store_; }

 private:
  struct Daemon {
    std::shared_ptr<base::ManualScheduler> scheduler;
    std::unique_ptr<blackboard::Blackboard> blackboard;
    std::unique_ptr<ClaimService> service;
    bool is_paused = false;
    int incarnation = 0;
  };
  struct Question {
    std::string request_id;
    ClaimResult result;
    int answers = 0;
    bool was_granted = false;
  };

  static std::size_t Index(int index) {
    return static_cast<std::size_t>(index);
  }
  static std::string Name(int index) { return "vm" + std::to_string(index); }

  void Boot(int index);
  base::Status Send(int from, const std::string& to, peer::Message message);
  void Deliver(int from, int to, const peer::Message& message);
  void RunReady();

  std::shared_ptr<base::ManualTime> time_;
  // The scheduler of the store and of the links.
  std::shared_ptr<base::ManualScheduler> network_;
  std::shared_ptr<FakeStore> store_;
  base::Random random_{7};
  std::vector<Daemon> daemons_;
  // Stopped incarnations; kept, but never run again.
  std::vector<Daemon> ended_;
  std::vector<Question> questions_;
};

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_TESTS_CLAIMS_CLAIMS_WORLD_H_
