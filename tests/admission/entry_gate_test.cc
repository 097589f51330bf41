// Tests which requests are refused first, and that a refusal tells when to
// retry.

#include "src/admission/entry_gate.h"

#include <gtest/gtest.h>

#include "src/admission/urgency_queue.h"

namespace medlarspread::admission {
namespace {

using base::Milliseconds;

class EntryGateTest : public testing::Test {
 protected:
  EntryGateTest() {
    blackboard_.targets.Write(
        {.revision = 1, .classes = {{"desk", desk_}, {"audit", audit_}}});
  }

  // How many of 100 requests with this wait are admitted.
  int Admitted(const blackboard::ClassTargets& targets, std::int64_t wait_ms) {
    int admitted = 0;
    for (int i = 0; i < 100; ++i) {
      const Decision decision =
          gate_.Admit(targets, Milliseconds(wait_ms), Milliseconds(10'000));
      admitted += decision.is_admitted ? 1 : 0;
      EXPECT_TRUE(decision.is_admitted ||
                  decision.retry_after > base::Duration{});
    }
    return admitted;
  }

  const blackboard::ClassTargets desk_{.name = "desk",
                                       .collection = "proofs",
                                       .latency = Milliseconds(100)};
  const blackboard::ClassTargets audit_{.name = "audit",
                                        .collection = "proofs",
                                        .latency = Milliseconds(2000)};
  blackboard::Blackboard blackboard_;
  EntryGate gate_;
};

TEST_F(EntryGateTest, AdmitsLessAsTheWaitNearsTheTarget) {
  EXPECT_EQ(Admitted(desk_, 5), 100);
  EXPECT_EQ(Admitted(desk_, 50), 100);
  EXPECT_EQ(Admitted(desk_, 70), 50);
  EXPECT_EQ(Admitted(desk_, 90), 0);
  EXPECT_EQ(Admitted(audit_, 90), 100);
}

// If many requests of the class with more slack wait, only that class is
// refused.
TEST_F(EntryGateTest, ClassWithMostSlackIsRefusedFirst) {
  constexpr double kCompletionsPerSecond = 1000.0;
  const base::MonotonicTime now{1'000'000};
  const auto item = [now](std::uint64_t id, const auto& targets) {
    return QueueItem{.id = id,
                     .class_name = targets.name,
                     .target_due = now + targets.latency,
                     .deadline = now + targets.latency * 2,
                     .is_hedge = false};
  };
  UrgencyQueue queue(blackboard_);
  std::uint64_t id = 1;
  for (int i = 0; i < 2000; ++i) {
    queue.Push(item(id++, audit_));
    if (i % 100 == 0) {
      queue.Push(item(id++, desk_));
    }
  }
  const auto wait_ms = [&](const blackboard::ClassTargets& targets) {
    return queue.ExpectedWait(item(id, targets), kCompletionsPerSecond) /
           Milliseconds(1);
  };
  EXPECT_EQ(Admitted(desk_, wait_ms(desk_)), 100);
  EXPECT_EQ(Admitted(audit_, wait_ms(audit_)), 0);
}

TEST_F(EntryGateTest, RefusesRequestsThatWouldMissTheDeadline) {
  const Decision decision =
      gate_.Admit(desk_, Milliseconds(5), Milliseconds(5));
  EXPECT_FALSE(decision.is_admitted);
  EXPECT_GT(decision.retry_after, base::Duration{});
}

}  // namespace
}  // namespace medlarspread::admission
