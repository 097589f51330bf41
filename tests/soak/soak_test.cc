// Short soak runs with fixed seeds, among them every seed that ever failed.

#include <chrono>

#include <gtest/gtest.h>

#include "tests/soak/soak.h"

namespace medlarspread::soak {
namespace {

class SoakTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(SoakTest, ViolatesNoGuarantee) {
  SoakOptions options;
  options.daemon_program = DAEMON_PROGRAM;
  options.seed = GetParam();
  const SoakReport report = RunSoak(options);
  for (const std::string& violation : report.violations) {
    ADD_FAILURE() << violation;
  }
  EXPECT_GT(report.answered, 50);
  EXPECT_GT(report.faults, 5);
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds, SoakTest, testing::Values(1, 2, 3));

// In addition to all other faults, one request crashes every leaf that runs it.
class DeadlyRequestSoakTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(DeadlyRequestSoakTest, ReachesFewLeavesAfterThreeCrashes) {
  SoakOptions options;
  options.daemon_program = DAEMON_PROGRAM;
  options.seed = GetParam();
  options.length = std::chrono::seconds(20);
  options.has_deadly_request = true;
  const SoakReport report = RunSoak(options);
  for (const std::string& violation : report.violations) {
    ADD_FAILURE() << violation;
  }
  EXPECT_GT(report.answered, 50);
  EXPECT_GE(report.leaves_ended, 3);
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds,
                         DeadlyRequestSoakTest,
                         testing::Values(1, 2));

// Every run checks the extra-send bound of the leaves; in these runs a leaf of
// another service also takes over an address.
class ReusedAddressSoakTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(ReusedAddressSoakTest, TheNewLeafGetsFewRequestsOfTheOldOne) {
  SoakOptions options;
  options.daemon_program = DAEMON_PROGRAM;
  options.seed = GetParam();
  options.has_reused_address = true;
  const SoakReport report = RunSoak(options);
  for (const std::string& violation : report.violations) {
    ADD_FAILURE() << violation;
  }
  EXPECT_GT(report.answered, 50);
  // Requests already sent when a daemon, or its replacement after a restart,
  // first learns that the leaf has been replaced.
  EXPECT_LE(report.arrivals_at_reused_address, 12);
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds,
                         ReusedAddressSoakTest,
                         testing::Values(1, 2));

// Guards against configurations that every daemon rejects after the store was
// restored from a backup.
class RestoredStoreSoakTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(RestoredStoreSoakTest, ChangesComeIntoForceInTimeAndNeverRevert) {
  SoakOptions options;
  options.daemon_program = DAEMON_PROGRAM;
  options.seed = GetParam();
  options.length = std::chrono::seconds(25);
  options.has_restores = true;
  const SoakReport report = RunSoak(options);
  for (const std::string& violation : report.violations) {
    ADD_FAILURE() << violation;
  }
  EXPECT_GT(report.answered, 50);
  EXPECT_GE(report.restores, 1);
  EXPECT_GT(report.checked_routes, 5);
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds,
                         RestoredStoreSoakTest,
                         testing::Values(1, 11));

// Guards against a repeated rejection that is taken for the reply to another
// send of the request: the request then runs twice, or its caller is told that
// it has not run.
class RepeatedReplySoakTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(RepeatedReplySoakTest, NoReplyIsTakenForAnotherOne) {
  SoakOptions options;
  options.daemon_program = DAEMON_PROGRAM;
  options.seed = GetParam();
  options.has_repeated_replies = true;
  const SoakReport report = RunSoak(options);
  for (const std::string& violation : report.violations) {
    ADD_FAILURE() << violation;
  }
  EXPECT_GT(report.answered, 50);
  EXPECT_GT(report.repeated_replies, 50);
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds,
                         RepeatedReplySoakTest,
                         testing::Values(11, 21));

// Guards against leaves that send without end: their bytes took a daemon's
// memory or processor time, and the other leaves' requests waited.
class EndlessReplySoakTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(EndlessReplySoakTest, TakesLittleMemoryAndLosesNoRequest) {
  SoakOptions options;
  options.daemon_program = DAEMON_PROGRAM;
  options.seed = GetParam();
  options.has_endless_replies = true;
  const SoakReport report = RunSoak(options);
  for (const std::string& violation : report.violations) {
    ADD_FAILURE() << violation;
  }
  EXPECT_GT(report.answered, 50);
  EXPECT_GT(report.endless_replies, 20);
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds,
                         EndlessReplySoakTest,
                         testing::Values(1, 2));

// Guards against an answer that is made of two: a leaf breaks off a reply and
// goes on with another one on the same connection.
class SplicedReplySoakTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(SplicedReplySoakTest, NoAnswerIsMadeOfTwoReplies) {
  SoakOptions options;
  options.daemon_program = DAEMON_PROGRAM;
  options.seed = GetParam();
  options.has_spliced_replies = true;
  const SoakReport report = RunSoak(options);
  for (const std::string& violation : report.violations) {
    ADD_FAILURE() << violation;
  }
  EXPECT_GT(report.answered, 50);
  EXPECT_GT(report.spliced_replies, 20);
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds,
                         SplicedReplySoakTest,
                         testing::Values(1, 2));

// Guards against a daemon that serves by old routes after its start, because
// the pages of its stale read of the store differed in age.
class StaleReadSoakTest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(StaleReadSoakTest, ChangesAreInForceAfterAStart) {
  SoakOptions options;
  options.daemon_program = DAEMON_PROGRAM;
  options.seed = GetParam();
  options.length = std::chrono::seconds(30);
  options.daemons = 5;
  options.has_stale_reads = true;
  const SoakReport report = RunSoak(options);
  for (const std::string& violation : report.violations) {
    ADD_FAILURE() << violation;
  }
  EXPECT_GT(report.answered, 50);
  EXPECT_GT(report.checked_routes, 5);
}

INSTANTIATE_TEST_SUITE_P(FixedSeeds, StaleReadSoakTest, testing::Values(12));

}  // namespace
}  // namespace medlarspread::soak
