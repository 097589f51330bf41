// Compares whole sessions with golden files. After an intended change, record
// them again with MEDLARSPREAD_RECORD_GOLDEN=1 build/tests/golden_test and
// review the diff before committing it.

#include <cstdlib>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "tests/golden/session_world.h"

namespace medlarspread::golden {
namespace {

using base::Milliseconds;
using blackboard::UpstreamState;
using upstream::LeafOutcome;

constexpr char kFirstId[] = "1764691210000-session01";
constexpr char kSecondId[] = "1764691210000-session02";
constexpr base::Duration kDeadline = Milliseconds(500);

std::string PathOf(const std::string& name) {
  return std::string(MEDLARSPREAD_SOURCE_DIR) + "/tests/golden/sessions/" +
         name + ".txt";
}

// Returns the first line that differs, for the failure message.
std::string FirstDifference(const std::string& golden,
                            const std::string& actual) {
  std::istringstream golden_lines(golden);
  std::istringstream actual_lines(actual);
  std::string golden_line;
  std::string actual_line;
  for (int number = 1;; ++number) {
    const bool has_golden = !std::getline(golden_lines, golden_line).fail();
    const bool has_actual = !std::getline(actual_lines, actual_line).fail();
    if (!has_golden && !has_actual) {
      return "none";
    }
    if (has_golden != has_actual || golden_line != actual_line) {
      return "line " + std::to_string(number) +
             "\n  golden: " + (has_golden ? golden_line : "(end)") +
             "\n  actual: " + (has_actual ? actual_line : "(end)");
    }
  }
}

void CompareWithGolden(const std::string& name, const std::string& record) {
  if (std::getenv("MEDLARSPREAD_RECORD_GOLDEN") != nullptr) {
    std::ofstream(PathOf(name)) << record;
    return;
  }
  std::ifstream file(PathOf(name));
  ASSERT_TRUE(file.is_open()) << "no golden file " << PathOf(name);
  std::ostringstream golden;
  golden << file.rdbuf();
  EXPECT_TRUE(golden.str() == record)
      << "the session differs from " << PathOf(name)
      << "\nfirst difference: " << FirstDifference(golden.str(), record)
      << "\nTo record it again: MEDLARSPREAD_RECORD_GOLDEN=1 golden_test";
}

// Runs the session twice, since the record must depend on nothing but the seed.
void Check(const std::string& name,
           const std::function<void(SessionWorld&)>& session) {
  std::string records[2];
  for (std::string& record : records) {
    SessionWorld world;
    session(world);
    record = world.record();
  }
  EXPECT_EQ(records[0], records[1]) << "the session is not repeatable";
  CompareWithGolden(name, records[0]);
}

TEST(SessionTest, Ordinary) {
  Check("ordinary", [](SessionWorld& world) {
    world.Ask("vm-a", kFirstId, true, kDeadline);
    world.Advance(Milliseconds(50));
    world.Ask("vm-c", kSecondId, true, kDeadline);
    world.Advance(Milliseconds(100));
  });
}

TEST(SessionTest, SecondSendWins) {
  Check("second_send_wins", [](SessionWorld& world) {
    // The queue owners learn the usual reply latency before the straggler
    // occurs.
    for (int i = 0; i < 150; ++i) {
      world.Ask("vm-a", "1764691210000-warm" + std::to_string(1000 + i), true,
                kDeadline);
      world.Advance(Milliseconds(10));
    }
    world.ClearRecord();
    world.RecordNote("after 150 requests the next one to a low leaf straggles");
    auto is_late = std::make_shared<bool>(true);
    world.script = [is_late](const std::string& leaf, int) {
      LeafScript script;
      if (leaf.starts_with("low") && *is_late) {
        *is_late = false;
        script.delay = Milliseconds(400);
      }
      return script;
    };
    world.Ask("vm-a", kFirstId, true, kDeadline);
    world.Advance(Milliseconds(600));
  });
}

TEST(SessionTest, VersionChangesMidQuery) {
  Check("version_changes_mid_query", [](SessionWorld& world) {
    world.Ask("vm-a", kFirstId, true, kDeadline);
    world.RecordNote(
        "all leaves move to version 8; low ones still hold 7 as well");
    for (const char* leaf : {"low-1", "low-2"}) {
      world.SetHoldings(leaf, {7, 8});
    }
    for (const char* leaf : {"high-1", "high-2"}) {
      world.SetHoldings(leaf, {8});
    }
    world.Advance(Milliseconds(200));
  });
}

TEST(SessionTest, ShedThenRetried) {
  Check("shed_then_retried", [](SessionWorld& world) {
    world.script = [](const std::string& leaf, int nth) {
      LeafScript script;
      if (leaf.starts_with("low") && nth == 0) {
        script.outcome = LeafOutcome::kShed;
        script.delay = Milliseconds(1);
        script.retry_after = Milliseconds(10);
      }
      return script;
    };
    world.Ask("vm-a", kFirstId, true, kDeadline);
    world.Advance(Milliseconds(200));
  });
}

TEST(SessionTest, RefusedWithRetryTime) {
  Check("refused_with_retry_time", [](SessionWorld& world) {
    world.script = [](const std::string&, int) {
      LeafScript script;
      script.outcome = LeafOutcome::kShed;
      script.delay = Milliseconds(1);
      script.retry_after = Milliseconds(700);
      return script;
    };
    world.Ask("vm-a", kFirstId, false, kDeadline);
    world.Advance(Milliseconds(1000));
  });
}

TEST(SessionTest, AtMostOnceWithLostStoreReply) {
  Check("at_most_once_with_lost_store_reply", [](SessionWorld& world) {
    auto has_lost = std::make_shared<bool>(false);
    world.store().choose_fault = [has_lost](bool is_write) {
      if (is_write && !*has_lost) {
        *has_lost = true;
        return targets::StoreFault::kLostReply;
      }
      return targets::StoreFault::kNone;
    };
    world.Ask("vm-a", kFirstId, false, Milliseconds(2000));
    world.Advance(Milliseconds(1000));
    world.RecordNote("the balancer gives the same request to another daemon");
    world.Ask("vm-b", kFirstId, false, Milliseconds(2000));
    world.Advance(Milliseconds(2000));
  });
}

TEST(SessionTest, DrainingLeaf) {
  Check("draining_leaf", [](SessionWorld& world) {
    auto drained = std::make_shared<std::string>();
    world.script = [drained](const std::string& leaf, int) {
      LeafScript script;
      if (leaf.starts_with("low") && drained->empty()) {
        *drained = leaf;
        script.outcome = LeafOutcome::kDraining;
        script.delay = Milliseconds(1);
      }
      return script;
    };
    world.Ask("vm-a", kFirstId, true, kDeadline);
    world.Advance(Milliseconds(100));
    world.RecordNote("the news is published: " + *drained + " drains");
    world.SetState(*drained, UpstreamState::kDraining);
    world.Ask("vm-a", kSecondId, true, kDeadline);
    world.Advance(Milliseconds(100));
  });
}

TEST(SessionTest, RacingOperators) {
  Check("racing_operators", [](SessionWorld& world) {
    world.Change("vm-a", "change-one", 1, 80);
    world.Change("vm-b", "change-two", 1, 90);
    world.Advance(Milliseconds(3000));
    world.RecordNote("the loser looks again and states the revision it saw");
    world.Change("vm-b", "change-three", 2, 90);
    world.Advance(Milliseconds(3000));
  });
}

}  // namespace
}  // namespace medlarspread::golden
