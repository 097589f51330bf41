// Shares this daemon's observations of leaves with the other daemons, and
// receives theirs.
//
// In a fleet of hundreds of daemons, one daemon sends to a given collection
// only once in several seconds. Alone, it would learn that a leaf fails or is
// slow only after the fault is over, and each of the other daemons would pay
// for learning the same.
//
// Steps:
//   1. The observations are sent in one datagram to one relay of each failure
//      domain. Relays are the strong daemons; one is drawn at random each time,
//      so that a dead or frozen one loses only a part of the reports.
//   2. The relay merges the reports that it receives and forwards them in its
//      domain.
//   3. Each receiver counts a report like replies of its own, with less weight.
//
// Reports about the runs of a suspect request take the same path.
//
// Both are sent promptly, but the rate is bounded: a daemon receives at most
// kMaxReports every kForwardInterval from each relay of its domain, about 2
// KB/s. Datagrams may be lost; nothing waits for them.
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
  // Returns this daemon's observations since the last call.
  std::function<std::vector<routing::LeafReport>()> collect;
  // Receives another daemon's report about a leaf that is known here.
  std::function<void(const routing::LeafReport&)> did_receive_report;
  // Returns the reports about runs that are due, at most `max_count`.
  std::function<std::vector<quarantine::RunReport>(std::size_t max_count)>
      collect_runs =
          [](std::size_t) { return std::vector<quarantine::RunReport>(); };
  // Receives another daemon's report about a run.
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
  // Sends before the next regular interval, for reports that should not wait.
  void SendSoon();
  // Ignores bytes that are not a valid datagram.
  void DidReceive(const std::string& bytes, const std::string& peer);

 private:
  void SendFindings();
  void ForwardQueued();
  void DeliverReports(const std::vector<routing::LeafReport>& reports);
  void Send(const std::string& address, const ReportDatagram& datagram);
  // Adds the reports to those to be forwarded in this failure domain.
  void QueueForForwarding(const ReportDatagram& datagram);

  const base::Clock clock_;
  const base::TaskRunner runner_;
  const std::shared_ptr<base::Random> random_;
  const blackboard::Blackboard& blackboard_;
  const ReportPorts ports_;
  // This daemon's observations that are not sent yet.
  ReportMerge unsent_reports_;
  // Received reports to be forwarded in this failure domain.
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
