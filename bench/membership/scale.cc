// One membership controller at the size to design for, driven by hand: its
// peers are played by a port that answers each probe and sends probes of its
// own as often as real peers would. Nothing touches the network, so that the
// figures are those of the state and the decisions alone: CPU per second of the
// controller's time, memory per member, bytes of the encoded messages.

#include <sys/resource.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include <cxxopts.hpp>

#include "src/base/rendezvous.h"
#include "src/membership/membership_controller.h"
#include "src/membership/record.h"
#include "src/peer/codec.h"

namespace medlarspread {
namespace {

using membership::HeartbeatKind;

constexpr std::size_t kMaxFrameBytes = std::size_t{16} * 1024 * 1024;
constexpr int kRegions = 6;
// What a daemon of 94 gets a second: as many probes as it sends, and one
// heartbeat with summaries.
constexpr base::Duration kProbedInterval = base::Milliseconds(200);
constexpr base::Duration kSummaryInterval = base::Milliseconds(1000);
// A second, to each delegate: as many as it sends.
constexpr int kForeignProbes = 2;

struct ScaleOptions {
  int domains = 16;
  int members = 94;
  int seconds = 60;
  // Measures one of its domain's delegates instead of an ordinary daemon.
  bool is_delegate = false;
};

std::int64_t CpuMicroseconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  return (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
             kMicrosecondsPerSecond +
         usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
}

long ResidentKilobytes() {
  std::ifstream status("/proc/self/statm");
  long total_pages = 0;
  long resident_pages = 0;
  status >> total_pages >> resident_pages;
  constexpr long kPageKilobytes = 4;
  return resident_pages * kPageKilobytes;
}

membership::Record MakeRecord(int domain, int index) {
  char text[64];
  membership::Record record;
  std::snprintf(text, sizeof(text), "entry-%02d-%03d", domain, index);
  record.name = text;
  std::snprintf(text, sizeof(text), "10.%d.%d.%d:7400", domain, index / 250,
                index % 250);
  record.address = text;
  std::snprintf(text, sizeof(text), "region-%d", domain % kRegions);
  record.region = text;
  std::snprintf(text, sizeof(text), "domain-%02d", domain);
  record.failure_domain = text;
  constexpr std::int64_t kIncarnation = 1'764'691'200'000'000;
  record.incarnation = kIncarnation + index;
  record.targets_revision = 1;
  record.targets_digest = 1;
  return record;
}

class Scale {
 public:
  explicit Scale(const ScaleOptions& options);

  void Run();

 private:
  base::Status DidSend(const std::string& peer, const peer::Message& message);
  void Receive(const membership::Record& from,
               HeartbeatKind kind,
               bool has_summaries);
  void DeliverTable();
  void ScheduleIncoming();
  void ScheduleSummaries();
  std::size_t BytesOf(const peer::Message& message) const;

  const ScaleOptions options_;
  std::shared_ptr<base::ManualTime> time_ =
      std::make_shared<base::ManualTime>(1'000'000, 0);
  std::shared_ptr<base::ManualScheduler> scheduler_ =
      std::make_shared<base::ManualScheduler>(time_);
  base::TaskRunner control_{scheduler_};
  base::Random random_{1};
  blackboard::Blackboard blackboard_;
  std::map<std::string, membership::Record> records_;
  membership::Record self_;
  std::unique_ptr<membership::MembershipController> controller_;
  // Of other daemons, as last sent by the controller: all agree.
  std::map<std::string, peer::wire::DomainSummary> summaries_{};
  std::uint64_t sent_messages_ = 0;
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t received_messages_ = 0;
  std::uint64_t received_bytes_ = 0;
  // CPU spent on playing the peers and on counting bytes.
  std::int64_t overhead_us_ = 0;
};

Scale::Scale(const ScaleOptions& options) : options_(options) {
  std::vector<std::string> own_domain;
  for (int domain = 0; domain < options.domains; ++domain) {
    for (int index = 0; index < options.members; ++index) {
      membership::Record record = MakeRecord(domain, index);
      if (domain == 0) {
        own_domain.push_back(record.name);
      }
      records_[record.name] = std::move(record);
    }
  }
  const std::string domain = MakeRecord(0, 0).failure_domain;
  const auto ranked = base::RankByRendezvous(domain, own_domain);
  self_ = records_.at(options.is_delegate ? ranked.front() : ranked.back());
  membership::MembershipSettings settings;
  settings.name = self_.name;
  settings.address = self_.address;
  settings.region = self_.region;
  settings.failure_domain = self_.failure_domain;
  settings.incarnation = self_.incarnation;
  controller_ = std::make_unique<membership::MembershipController>(
      settings, base::Clock(time_), random_, control_,
      peer::PeerPort{[this](const std::string& peer, peer::Message message) {
        return DidSend(peer, message);
      }},
      [](base::Duration, const store::VmListCallback& callback) {
        callback(base::MakeError(base::ErrorCode::kUnavailable,
                                 base::Step::kReadStore, "", "not used"));
      },
      blackboard_, membership::MembershipCallbacks());
  blackboard::TargetsView targets;
  targets.revision = 1;
  targets.digest = 1;
  blackboard_.targets.Write(targets);
}

// One heartbeat with summaries a second; a delegate gets a second one from its
// fellows, and probes from the delegates of other domains.
void Scale::ScheduleSummaries() {
  control_.After(kSummaryInterval, [this] {
    Receive(MakeRecord(0, 0), HeartbeatKind::kUpdate, true);
    if (options_.is_delegate) {
      Receive(MakeRecord(0, 1), HeartbeatKind::kUpdate, true);
      for (int probe = 0; probe < kForeignProbes; ++probe) {
        const int domain =
            1 + static_cast<int>(random_.Below(options_.domains - 1));
        Receive(MakeRecord(domain, 0), HeartbeatKind::kProbe, false);
      }
    }
    ScheduleSummaries();
  });
}

std::size_t Scale::BytesOf(const peer::Message& message) const {
  const peer::Codec codec({self_.name, self_.incarnation}, kMaxFrameBytes);
  return codec.Encode(message, "").value().size();
}

base::Status Scale::DidSend(const std::string& peer,
                            const peer::Message& message) {
  const std::int64_t start = CpuMicroseconds();
  ++sent_messages_;
  sent_bytes_ += BytesOf(message);
  const auto& heartbeat = std::get<peer::wire::Heartbeat>(message);
  if (heartbeat.domains.size() >= summaries_.size()) {
    summaries_ = heartbeat.domains;
  }
  const auto record = records_.find(peer);
  if (record != records_.end() &&
      membership::KindOf(heartbeat) == HeartbeatKind::kProbe) {
    control_.After(base::Milliseconds(1), [this, from = record->second] {
      Receive(from, HeartbeatKind::kAnswer, false);
    });
  }
  overhead_us_ += CpuMicroseconds() - start;
  return base::Done{};
}

void Scale::Receive(const membership::Record& from,
                    HeartbeatKind kind,
                    bool has_summaries) {
  const std::int64_t start = CpuMicroseconds();
  peer::wire::Heartbeat heartbeat;
  heartbeat.sender = from;
  heartbeat.kind = static_cast<int>(kind);
  if (has_summaries) {
    heartbeat.domains = summaries_;
    for (auto& [domain, summary] : heartbeat.domains) {
      summary.age_ms = 0;
    }
  }
  ++received_messages_;
  received_bytes_ += BytesOf(heartbeat);
  overhead_us_ += CpuMicroseconds() - start;
  controller_->DidReceiveHeartbeat({from.name, from.incarnation}, heartbeat);
}

void Scale::DeliverTable() {
  peer::wire::Heartbeat table;
  table.kind = static_cast<int>(HeartbeatKind::kTable);
  for (const auto& [name, record] : records_) {
    if (name != self_.name) {
      table.sender = record;
      table.others.push_back(record);
    }
  }
  std::printf("table_frame_bytes %zu\n", BytesOf(table));
  controller_->DidReceiveHeartbeat(
      {table.sender.name, table.sender.incarnation}, table);
}

void Scale::ScheduleIncoming() {
  control_.After(kProbedInterval, [this] {
    const int index = static_cast<int>(random_.Below(options_.members));
    const membership::Record from = MakeRecord(0, index);
    if (from.name != self_.name) {
      Receive(from, HeartbeatKind::kProbe, false);
    }
    ScheduleIncoming();
  });
}

void Scale::Run() {
  const long kilobytes_before = ResidentKilobytes();
  controller_->Start();
  scheduler_->Advance(base::Milliseconds(10));
  DeliverTable();
  ScheduleIncoming();
  ScheduleSummaries();
  scheduler_->Advance(base::Milliseconds(5000));
  const auto view = blackboard_.membership.Read();
  std::printf("members %zu settled %d\n", view->members.size(),
              static_cast<int>(view->is_settled));
  std::printf("kilobytes %ld\n", ResidentKilobytes() - kilobytes_before);
  sent_messages_ = sent_bytes_ = received_messages_ = received_bytes_ = 0;
  overhead_us_ = 0;
  const std::int64_t start = CpuMicroseconds();
  for (int second = 0; second < options_.seconds; ++second) {
    scheduler_->Advance(kSummaryInterval);
  }
  const auto cpu = static_cast<double>(CpuMicroseconds() - start);
  const auto seconds = static_cast<double>(options_.seconds);
  std::printf("cpu_us_per_s %.0f (and %.0f to play the peers)\n",
              (cpu - static_cast<double>(overhead_us_)) / seconds,
              static_cast<double>(overhead_us_) / seconds);
  std::printf("sent_per_s %.1f messages %.0f bytes\n",
              static_cast<double>(sent_messages_) / seconds,
              static_cast<double>(sent_bytes_) / seconds);
  std::printf("received_per_s %.1f messages %.0f bytes\n",
              static_cast<double>(received_messages_) / seconds,
              static_cast<double>(received_bytes_) / seconds);
  // One change of a member: the view is composed and written again.
  constexpr int kChanges = 200;
  const std::int64_t before = CpuMicroseconds();
  for (int change = 0; change < kChanges; ++change) {
    membership::Record record = MakeRecord(1, change % options_.members);
    record.incarnation += 1 + change;
    Receive(record, HeartbeatKind::kUpdate, false);
    scheduler_->Advance(base::Milliseconds(25));
  }
  std::printf("cpu_us_per_change %.0f\n",
              static_cast<double>(CpuMicroseconds() - before) / kChanges);
}

}  // namespace
}  // namespace medlarspread

int main(int argc, char** argv) {
  cxxopts::Options parser("medlarspread_member_scale",
                          "One membership controller at a given size");
  parser.add_options()("domains", "failure domains",
                       cxxopts::value<int>()->default_value("16"))(
      "members", "daemons in each", cxxopts::value<int>()->default_value("94"))(
      "seconds", "of the controller's time",
      cxxopts::value<int>()->default_value("60"))("delegate",
                                                  "measure a delegate");
  const auto arguments = parser.parse(argc, argv);
  medlarspread::Scale scale({.domains = arguments["domains"].as<int>(),
                             .members = arguments["members"].as<int>(),
                             .seconds = arguments["seconds"].as<int>(),
                             .is_delegate = arguments.count("delegate") > 0});
  scale.Run();
  return 0;
}
