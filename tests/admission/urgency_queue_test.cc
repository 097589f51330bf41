// Tests the order of the queue, and the removal and expiry of items.

#include "src/admission/urgency_queue.h"

#include <gtest/gtest.h>

namespace medlarspread::admission {
namespace {

using base::Milliseconds;

constexpr base::MonotonicTime kStart{1'000'000};

class UrgencyQueueTest : public testing::Test {
 protected:
  static QueueItem Item(std::uint64_t id,
                        std::string class_name,
                        std::int64_t due_ms) {
    return {.id = id,
            .class_name = std::move(class_name),
            .target_due = kStart + Milliseconds(due_ms),
            .deadline = kStart + Milliseconds(due_ms + 100)};
  }

  std::optional<std::uint64_t> Pop(std::int64_t after_ms = 0) {
    return queue_.Pop(kStart + Milliseconds(after_ms),
                      [](const QueueItem&) { return true; });
  }

  blackboard::Blackboard blackboard_;
  UrgencyQueue queue_{blackboard_};
};

TEST_F(UrgencyQueueTest, SecondSendsFirstThenEarliestDue) {
  queue_.Push(Item(1, "audit", 300));
  queue_.Push(Item(2, "counter", 50));
  QueueItem hedge = Item(3, "audit", 400);
  hedge.is_hedge = true;
  queue_.Push(hedge);
  EXPECT_EQ(Pop(), 3u);
  EXPECT_EQ(Pop(), 2u);
  EXPECT_EQ(Pop(), 1u);
  EXPECT_EQ(Pop(), std::nullopt);
}

TEST_F(UrgencyQueueTest, LateItemsComeLast) {
  queue_.Push(Item(1, "counter", 10));
  queue_.Push(Item(2, "audit", 300));
  EXPECT_EQ(Pop(20), 2u);
  EXPECT_EQ(Pop(20), 1u);
}

TEST_F(UrgencyQueueTest, ClassThatBurnsItsBudgetMovesForward) {
  blackboard::TargetsView targets;
  targets.classes["desk"].latency = Milliseconds(100);
  targets.classes["site"].latency = Milliseconds(100);
  blackboard_.targets.Write(targets);
  queue_.Push(Item(1, "desk", 90));
  queue_.Push(Item(2, "site", 100));
  queue_.Push(Item(3, "desk", 91));
  EXPECT_EQ(Pop(), 1u);
  blackboard_.burn.Write({.classes = {{"site", {.short_window_burn = 10.0}}}});
  EXPECT_EQ(Pop(), 2u);
  EXPECT_EQ(Pop(), 3u);
}

// Three items; each order puts a different one first.
TEST_F(UrgencyQueueTest, EachOrderPutsADifferentItemFirst) {
  blackboard::TargetsView targets;
  targets.classes["counter"].latency = Milliseconds(100);
  targets.classes["audit"].latency = Milliseconds(3000);
  blackboard_.targets.Write(targets);
  const std::vector<std::pair<UrgencyOrder, std::vector<std::uint64_t>>> cases =
      {{UrgencyOrder::kArrival, {1, 2, 3}},
       {UrgencyOrder::kTargetDue, {2, 3, 1}},
       {UrgencyOrder::kTightestClass, {3, 2, 1}},
       {UrgencyOrder::kClassSlack, {3, 2, 1}}};
  for (const auto& [order, expected] : cases) {
    UrgencyQueue queue(blackboard_, order);
    queue.Push(Item(1, "audit", 3000));
    queue.Push(Item(2, "audit", 20));
    queue.Push(Item(3, "counter", 90));
    std::vector<std::uint64_t> popped;
    while (const auto id =
               queue.Pop(kStart, [](const QueueItem&) { return true; })) {
      popped.push_back(*id);
    }
    EXPECT_EQ(popped, expected) << kUrgencyOrderNames.NameOf(order);
  }
}

TEST_F(UrgencyQueueTest, PredicateSkipsItems) {
  queue_.Push(Item(1, "desk", 10));
  queue_.Push(Item(2, "desk", 20));
  queue_.Push(Item(3, "site", 15));
  const auto popped =
      queue_.Pop(kStart, [](const QueueItem& item) { return item.id == 2; });
  EXPECT_EQ(popped, 2u);
  EXPECT_EQ(queue_.size(), 2u);
}

TEST_F(UrgencyQueueTest, RemovesAndExpires) {
  queue_.Push(Item(1, "desk", 10));
  queue_.Push(Item(2, "desk", 20));
  queue_.Push(Item(3, "site", 30));
  EXPECT_TRUE(queue_.Remove(2));
  EXPECT_FALSE(queue_.Remove(2));
  EXPECT_TRUE(queue_.TakeExpired(kStart + Milliseconds(109)).empty());
  EXPECT_EQ(queue_.TakeExpired(kStart + Milliseconds(110)),
            std::vector<std::uint64_t>{1});
  EXPECT_EQ(queue_.size(), 1u);
}

TEST_F(UrgencyQueueTest, ExpectedWaitCountsItemsAhead) {
  for (std::uint64_t id = 1; id <= 10; ++id) {
    queue_.Push(Item(id, "desk", static_cast<std::int64_t>(id) * 10));
  }
  EXPECT_EQ(queue_.ExpectedWait(Item(11, "site", 55), 1000.0), Milliseconds(5));
  EXPECT_EQ(queue_.ExpectedWait(Item(11, "site", 5), 1000.0), Milliseconds(0));
}

// No item is ahead of the new one, but its class gets only one slot in ten.
TEST_F(UrgencyQueueTest, ExpectedWaitUsesTheShareOfTheClass) {
  for (std::uint64_t id = 1; id <= 9; ++id) {
    queue_.Push(Item(id, "desk", 10));
  }
  queue_.Push(Item(10, "audit", 20));
  for (int i = 0; i < 10; ++i) {
    Pop();
  }
  for (std::uint64_t id = 11; id <= 30; ++id) {
    queue_.Push(Item(id, "audit", 500));
  }
  EXPECT_EQ(queue_.ExpectedWait(Item(31, "audit", 400), 1000.0),
            Milliseconds(200));
}

}  // namespace
}  // namespace medlarspread::admission
