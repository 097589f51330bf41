// Tells the other daemons what this one found of leaves that it seldom sends
// to, and hears what they found.
//
// In a fleet of hundreds a daemon sends a request to a single collection once
// in seconds: before it has learnt that a leaf fails or is slow, the trouble is
// over, and every other daemon pays for the same lesson.
//
// Steps:
//   1. What was found is sent in one datagram to one strong daemon of each
//      failure domain, drawn anew each time, so that one that is dead or frozen
//      costs a part of the news and not all.
//   2. That daemon merges what it got and passes it on to those of its domain.
//   3. Whoever hears of a leaf counts it as replies of its own of less weight.
//
// What became of runs of a suspect request goes the same way.
//
// Both go out at once, but seldom enough to bound what is sent: a daemon hears
// no more than kMaxReports every kForwardInterval from each strong daemon of
// its domain, some 2 KB/s. Datagrams may be lost; nothing waits for them.
//
// Runs on the traffic thread.

#ifndef MEDLARSPREAD_GOSSIP_REPORT_EXCHANGE_H_
#define MEDLARSPREAD_GOSSIP_REPORT_EXCHANGE_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/gossip/report_codec.h"
#include "src/gossip/report_merge.h"
#include "src/quarantine/run_report.h"
#include "src/routing/leaf_report.h"

namespace medlarspread::gossip {

struct ReportPorts {
  // Sends a datagram to "ip:port". It may be lost.
  std::function<void(const std::string& address, std::string bytes)> send;
  // What this daemon has found since the last call.
  std::function<std::vector<routing::LeafReport>()> collect;
  // Another daemon's finding of a leaf that is known here.
  std::function<void(const routing::LeafReport&)> did_receive_report;
  // What is to be told of runs now, at most so many reports.
  std::function<std::vector<quarantine::RunReport>(std::size_t max_count)>
      collect_runs =
          [](std::size_t) { return std::vector<quarantine::RunReport>(); };
  // Another daemon's finding of a run.
  std::function<void(const quarantine::RunReport&)> did_receive_run =
      [](const quarantine::RunReport&) {};
};

class ReportExchange : public std::enable_shared_from_this<ReportExchange> {
 public:
  ReportExchange(base::Clock clock,
                 base::TaskRunner runner,
                 std::shared_ptr<base::Random> random,
                 const blackboard::Blackboard& blackboard,
                 ReportPorts ports);

  void Start();
  void Stop() { is_stopped_ = true; }
  // There is something to collect that should not wait for the next round.
  void SendSoon();
  // Bytes that are no datagram of a daemon are left out.
  void DidReceive(const std::string& bytes, const std::string& peer);

 private:
  void SendFindings();
  void ForwardQueued();
  void DeliverReports(const std::vector<routing::LeafReport>& reports);
  void Send(const std::string& address, const ReportDatagram& datagram);
  // To be passed on in this failure domain.
  void QueueForForwarding(const ReportDatagram& datagram);

  const base::Clock clock_;
  const base::TaskRunner runner_;
  const std::shared_ptr<base::Random> random_;
  const blackboard::Blackboard& blackboard_;
  const ReportPorts ports_;
  // Found here and not told yet.
  ReportMerge unsent_reports_;
  // Heard, to be passed on in this failure domain.
  ReportMerge queued_reports_;
  std::deque<quarantine::RunReport> queued_runs_;
  bool is_forward_scheduled_ = false;
  base::MonotonicTime last_forwarded_;
  base::MonotonicTime last_sent_;
  bool is_send_scheduled_ = false;
  bool is_stopped_ = false;
};

}  // namespace medlarspread::gossip

#endif  // MEDLARSPREAD_GOSSIP_REPORT_EXCHANGE_H_
