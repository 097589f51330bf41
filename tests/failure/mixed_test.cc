// Injects faults of all kinds, drawn from a printed seed, while idempotent and
// non-idempotent requests run. Checks every answer and, at the end, what the
// leaves executed.

#include <utility>

#include "src/base/name_table.h"
#include "tests/failure/failure_test.h"

namespace medlarspread::tests {
namespace {

using emulator::Violation;

enum class Fault {
  kWrongReplies,
  kLostReplies,
  kSlowLeaf,
  kFrozenLeaf,
  kDrainingLeaf,
  kVersionChange,
  kStoreOutage,
  kStoreLosesReplies,
  kFrozenDaemon,
  kKilledDaemon,
};

constexpr base::NameTable<Fault, 10> kFaults{
    {{{Fault::kWrongReplies, "wrong replies"},
      {Fault::kLostReplies, "lost replies"},
      {Fault::kSlowLeaf, "slow leaf"},
      {Fault::kFrozenLeaf, "frozen leaf"},
      {Fault::kDrainingLeaf, "draining leaf"},
      {Fault::kVersionChange, "version change"},
      {Fault::kStoreOutage, "store outage"},
      {Fault::kStoreLosesReplies, "store loses replies"},
      {Fault::kFrozenDaemon, "frozen daemon"},
      {Fault::kKilledDaemon, "killed daemon"}}}};

// One request and the HTTP statuses of its submissions; 0 means that no
// response arrived.
struct Submitted {
  Ask ask;
  std::vector<int> statuses;
};

class MixedTest : public FailureTest {
 protected:
  void InjectFault(Fault fault);
  void ClearFaults();
  // Sends a batch of requests and checks the responses. About half of the
  // requests are non-idempotent, and each of those is sent to two daemons.
  void SendBatch();
  void CheckRuns() const;
  void Unfreeze() {
    for (const Process* process : std::exchange(frozen_, {})) {
      process->Signal(SIGCONT);
    }
  }

  Leaf& RandomLeaf() {
    return cluster_.leaves()[random_.Below(cluster_.leaves().size())];
  }
  // A daemon whose process was not killed.
  Daemon& RandomDaemon() {
    return *running_daemons_[random_.Below(running_daemons_.size())];
  }

  base::Random random_{seed_};
  std::vector<Daemon*> running_daemons_;
  std::vector<Submitted> submitted_;
  std::vector<Process*> frozen_;
  int version_ = 1;
};

void MixedTest::InjectFault(Fault fault) {
  // A frozen leaf can't receive its next control call.
  Unfreeze();
  switch (fault) {
    case Fault::kWrongReplies:
      cluster_.ControlLeaves(
          R"({"late_ms":100,"faults":{"empty":0.05,"truncated":0.05,)"
          R"("wrong_range":0.05,"wrong_version":0.05,"crossed":0.05,)"
          R"("duplicated":0.05,"late":0.05}})");
      break;
    case Fault::kLostReplies:
      cluster_.ControlLeaf(RandomLeaf(), R"({"faults":{"lost":0.3}})");
      break;
    case Fault::kSlowLeaf:
      cluster_.ControlLeaf(RandomLeaf(), R"({"slow_factor":20})");
      break;
    case Fault::kFrozenLeaf:
      frozen_.push_back(RandomLeaf().process);
      frozen_.back()->Signal(SIGSTOP);
      break;
    case Fault::kDrainingLeaf:
      // NOTE: only one replica of each shard drains, because a leaf that has
      // reported that it drains gets no work for 30 s or longer, whatever it
      // reports next. With both draining the shard would have no leaf.
      cluster_.ControlLeaf(cluster_.leaves()[random_.Below(2)],
                           R"({"state":"draining"})");
      break;
    case Fault::kVersionChange:
      ++version_;
      for (Leaf& leaf : cluster_.leaves()) {
        const bool is_low = leaf.name.starts_with("low");
        cluster_.ControlLeaf(
            leaf, R"({"holdings":")" + std::to_string(version_) +
                      ":1:" + (is_low ? "0-32768" : "32768-65536") + "\"}");
        SendBatch();
      }
      break;
    case Fault::kStoreOutage:
      cluster_.ControlPlatform("faults", random_.Below(2) == 0
                                             ? R"({"outage":"refuse"})"
                                             : R"({"outage":"hang"})");
      break;
    case Fault::kStoreLosesReplies:
      cluster_.ControlPlatform("faults", R"({"lose_write_replies":3})");
      break;
    case Fault::kFrozenDaemon:
      frozen_.push_back(RandomDaemon().process);
      frozen_.back()->Signal(SIGSTOP);
      break;
    case Fault::kKilledDaemon:
      if (running_daemons_.size() > 2) {
        const std::size_t index = random_.Below(running_daemons_.size());
        running_daemons_[index]->process->Signal(SIGKILL);
        running_daemons_.erase(running_daemons_.begin() +
                               static_cast<std::ptrdiff_t>(index));
      }
      break;
  }
}

void MixedTest::ClearFaults() {
  Unfreeze();
  cluster_.ControlLeaves(R"({"faults":{},"slow_factor":1,"state":"serving"})");
  cluster_.ControlPlatform("faults",
                           R"({"outage":"none","lose_write_replies":0})");
}

void MixedTest::SendBatch() {
  using Reply = std::future<base::Result<http::Response>>;
  constexpr int kBatch = 8;
  std::vector<std::vector<Reply>> replies(kBatch);
  const std::size_t first = submitted_.size();
  for (std::vector<Reply>& copies : replies) {
    Ask ask = cluster_.MakeAsk();
    ask.deadline_ms = 400;
    ask.is_idempotent = random_.Below(2) == 0;
    copies.push_back(cluster_.Start(RandomDaemon(), ask));
    if (!ask.is_idempotent) {
      copies.push_back(cluster_.Start(RandomDaemon(), ask));
    }
    submitted_.push_back({ask, {}});
  }
  // A frozen daemon responds only after it continues, so the batch must not
  // wait for it.
  Unfreeze();
  for (std::size_t index = 0; index < replies.size(); ++index) {
    Submitted& request = submitted_[first + index];
    for (Reply& reply : replies[index]) {
      const auto result = reply.get();
      request.statuses.push_back(result.is_ok() ? result.value().status : 0);
      if (result.is_ok()) {
        const Violation violation = ViolationOf(request.ask, result.value());
        EXPECT_EQ(violation, Violation::kNone)
            << emulator::kViolations.NameOf(violation) << " in "
            << result.value().body;
      }
    }
  }
}

void MixedTest::CheckRuns() const {
  for (const auto& [ask, statuses] : submitted_) {
    const int runs = cluster_.MaxRunsOf(ask.asked.request_id);
    const bool is_refused = std::ranges::all_of(statuses, [](int status) {
      return status == http::kServiceUnavailable ||
             status == http::kTooManyRequests;
    });
    if (is_refused) {
      EXPECT_EQ(runs, 0) << ask.asked.request_id << " was refused";
    }
    if (!ask.is_idempotent) {
      EXPECT_LE(runs, 1) << ask.asked.request_id << " is not idempotent";
      EXPECT_LE(std::ranges::count(statuses, int{http::kOk}), 1);
    }
  }
}

TEST_F(MixedTest, ViolatesNoGuarantee) {
  cluster_.StartSmall(3, {"--service-ms", "4"});
  for (Daemon& daemon : cluster_.daemons()) {
    running_daemons_.push_back(&daemon);
  }
  constexpr int kRounds = 20;
  constexpr std::chrono::seconds kLongest(40);
  const auto end = std::chrono::steady_clock::now() + kLongest;
  for (int round = 0; round < kRounds && std::chrono::steady_clock::now() < end;
       ++round) {
    // Injects one fault or two at once.
    for (std::uint64_t count = 1 + random_.Below(2); count > 0; --count) {
      const Fault fault =
          kFaults.rows[random_.Below(kFaults.rows.size())].first;
      std::cout << "round " << round << ": " << kFaults.NameOf(fault)
                << std::endl;
      InjectFault(fault);
    }
    SendBatch();
    SendBatch();
    if (random_.Below(2) == 0) {
      ClearFaults();
    }
  }
  ClearFaults();
  for (const Daemon* daemon : running_daemons_) {
    EXPECT_TRUE(cluster_.AwaitFullAnswer(*daemon));
  }
  CheckRuns();
  std::map<int, int> by_status;
  for (const Submitted& request : submitted_) {
    for (const int status : request.statuses) {
      ++by_status[status];
    }
  }
  for (const auto& [status, count] : by_status) {
    std::cout << "status " << status << ": " << count << std::endl;
  }
  EXPECT_GT(by_status[http::kOk], 0);
}

}  // namespace
}  // namespace medlarspread::tests
