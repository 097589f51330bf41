// Tests which daemons receive reports, through live and dead relays, in virtual
// time.

#include "src/gossip/report_exchange.h"

#include <map>
#include <set>

#include <gtest/gtest.h>

namespace medlarspread::gossip {
namespace {

using base::Milliseconds;
using routing::LeafReport;

// Two failure domains with two strong daemons and some weak ones each.
class ReportExchangeTest : public testing::Test {
 protected:
  static constexpr int kWeak = 10;

  ReportExchangeTest() {
    for (const char* domain : {"n1", "s1"}) {
      for (int index = 0; index < kWeak + 2; ++index) {
        blackboard::Member member;
        member.name = std::string(domain) + "-" + std::to_string(index);
        member.failure_domain = domain;
        member.query_address = member.name;
        member.processor_share = index < 2 ? 0.5 : 0.12;
        members_.members[member.name] = member;
      }
    }
    blackboard::UpstreamsView leaves;
    for (const char* name : {"leaf-1", "leaf-2"}) {
      leaves.upstreams[name].name = name;
    }
    for (const auto& [name, member] : members_.members) {
      Daemon& daemon = daemons_[name];
      blackboard::MembershipView view = members_;
      view.self = name;
      daemon.blackboard.membership.Write(view);
      daemon.blackboard.upstreams.Write(leaves);
      daemon.exchange = std::make_shared<ReportExchange>(
          base::Clock(time_), base::TaskRunner(scheduler_), random_,
          daemon.blackboard,
          ReportPorts{
              [this](const std::string& address, const std::string& bytes) {
                Deliver(address, bytes);
              },
              [&daemon] { return std::exchange(daemon.found, {}); },
              [&daemon](const LeafReport& report) {
                daemon.received.push_back(report);
              },
              [&daemon](std::size_t) { return std::exchange(daemon.runs, {}); },
              [&daemon](const quarantine::RunReport& report) {
                daemon.received_runs.push_back(report);
              }});
      daemon.exchange->Start();
    }
  }

  ~ReportExchangeTest() override {
    for (auto& [name, daemon] : daemons_) {
      daemon.exchange->Stop();
    }
  }

  void Deliver(const std::string& address, const std::string& bytes) {
    ++datagrams_;
    if (dead_.contains(address)) {
      return;
    }
    base::TaskRunner(scheduler_).After(Milliseconds(1), [this, address, bytes] {
      daemons_[address].exchange->DidReceive(bytes, "peer");
    });
  }

  // The number of daemons that have received a report about the leaf.
  std::size_t CountReceivers(const std::string& leaf) const {
    std::size_t count = 0;
    for (const auto& [name, daemon] : daemons_) {
      for (const LeafReport& report : daemon.received) {
        if (report.leaf == leaf) {
          ++count;
          break;
        }
      }
    }
    return count;
  }

  struct Daemon {
    blackboard::Blackboard blackboard;
    std::vector<LeafReport> found;
    std::vector<LeafReport> received;
    std::vector<quarantine::RunReport> runs;
    std::vector<quarantine::RunReport> received_runs;
    std::shared_ptr<ReportExchange> exchange;
  };

  const std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(1'000'000, 0);
  const std::shared_ptr<base::ManualScheduler> scheduler_ =
      std::make_shared<base::ManualScheduler>(time_);
  const std::shared_ptr<base::Random> random_ =
      std::make_shared<base::Random>(7);
  blackboard::MembershipView members_;
  std::map<std::string, Daemon> daemons_;
  std::set<std::string> dead_;
  int datagrams_ = 0;
};

TEST_F(ReportExchangeTest, AllDaemonsReceiveAReport) {
  daemons_["n1-5"].found = {{"leaf-1", "lookup", 1, 1, {}}};
  scheduler_->Advance(Milliseconds(110));
  // All daemons, including the one that made the observation.
  EXPECT_EQ(CountReceivers("leaf-1"), daemons_.size());
  // One datagram to each domain, and one from the relay to each other daemon of
  // it.
  EXPECT_EQ(datagrams_, 2 + 2 * (kWeak + 1));
}

TEST_F(ReportExchangeTest, SendsNothingWithoutReports) {
  scheduler_->Advance(Milliseconds(10'000));
  EXPECT_EQ(datagrams_, 0);
}

// Guards against losing all reports when a relay is dead: another one is drawn
// for the next datagram.
TEST_F(ReportExchangeTest, DeadRelaysAreBypassed) {
  dead_ = {"n1-0", "s1-1"};
  for (int round = 0; round < 12; ++round) {
    daemons_["n1-5"].found = {{"leaf-1", "lookup", 1, 1, {}}};
    scheduler_->Advance(Milliseconds(100));
  }
  scheduler_->Advance(Milliseconds(500));
  EXPECT_EQ(CountReceivers("leaf-1"), daemons_.size() - dead_.size());
}

// Guards against overload by many reports at once: they are merged, so that a
// daemon receives at most five datagrams a second from each relay of its
// domain.
TEST_F(ReportExchangeTest, ReceivedReportsAreBounded) {
  for (int round = 0; round < 100; ++round) {
    for (auto& [name, daemon] : daemons_) {
      daemon.found = {{"leaf-1", "lookup", 1, 0, Milliseconds(60)},
                      {"leaf-2", "lookup", 1, 1, {}}};
    }
    scheduler_->Advance(Milliseconds(100));
  }
  constexpr std::size_t kSeconds = 10;
  constexpr std::size_t kRelays = 2;
  constexpr std::size_t kTimesASecond = 5;
  constexpr std::size_t kLeaves = 2;
  for (const auto& [name, daemon] : daemons_) {
    if (members_.members[name].processor_share < 0.5) {
      EXPECT_LE(daemon.received.size(),
                (kSeconds * kTimesASecond + 1) * kRelays * kLeaves)
          << name;
    }
  }
}

TEST_F(ReportExchangeTest, MergedReportsKeepTheirMeaning) {
  ReportMerge merge;
  merge.Add({"leaf-1", "lookup", 2, 1, Milliseconds(40)});
  merge.Add({"leaf-1", "lookup", 3, 0, Milliseconds(80)});
  merge.Add({"leaf-1", "lookup", 1, 1, {}});
  merge.Add({"leaf-2", "lookup", 1, 0, Milliseconds(5)});
  const auto reports = merge.Take(1);
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0],
            (LeafReport{"leaf-1", "lookup", 6, 2, Milliseconds(70)}));
  EXPECT_EQ(merge.Take(5).size(), 1U);
  EXPECT_TRUE(merge.is_empty());
}

TEST_F(ReportExchangeTest, ReportsOfUnknownLeavesAreDropped) {
  const std::string bytes =
      Encode({{{"leaf-9", "lookup", 1, 1, {}}, {"leaf-1", "lookup", 1, 1, {}}},
              false});
  daemons_["n1-5"].exchange->DidReceive(bytes, "peer");
  ASSERT_EQ(daemons_["n1-5"].received.size(), 1U);
  EXPECT_EQ(daemons_["n1-5"].received[0].leaf, "leaf-1");
}

// Reports about runs do not wait for the next interval, and their times are
// right at the receiver except for the time that the datagram travelled.
TEST_F(ReportExchangeTest, RunsAreSentAtOnce) {
  quarantine::RunReport report;
  report.fingerprint.bytes[0] = 7;
  report.began = base::MonotonicTime{900'000};
  report.ended = base::MonotonicTime{950'000};
  report.leaf = "leaf-9";
  daemons_["n1-5"].runs = {report};
  daemons_["n1-5"].exchange->SendSoon();
  scheduler_->Advance(Milliseconds(5));
  for (const auto& [name, daemon] : daemons_) {
    ASSERT_EQ(daemon.received_runs.size(), 1U) << name;
    const quarantine::RunReport& received = daemon.received_runs.front();
    EXPECT_EQ(received.fingerprint, report.fingerprint);
    EXPECT_EQ(received.leaf, "leaf-9");
    EXPECT_EQ(received.ended - received.began, Milliseconds(50));
    EXPECT_GE(received.ended, report.ended);
    EXPECT_LE(received.ended - report.ended, Milliseconds(2));
  }
}

}  // namespace
}  // namespace medlarspread::gossip
