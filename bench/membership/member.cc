// One member for measurements: real links and a real membership controller on
// loopback, nothing else. The directory given by --directory stands in for the
// platform's list: each member writes its address there and lists all it finds.
//
// Writes lines to standard output, each with the wall time in microseconds:
//   TIME view COUNT SETTLED         the members of the view have changed
//   TIME stall MILLISECONDS         this process did not run for so long
//   TIME revision N                 the revision of the targets has risen
//   TIME stats CPU_US RSS_KB SENT_MESSAGES SENT_BYTES RECEIVED_MESSAGES
//        RECEIVED_BYTES LINKS
// SIGUSR1 raises the revision here, SIGUSR2 asks for a line of statistics,
// SIGTERM leaves and stops.

#include <sys/resource.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include "src/membership/membership_controller.h"
#include "src/peer/peer_network.h"

namespace medlarspread {
namespace {

constexpr int kTrafficThreads = 2;
constexpr base::Duration kViewInterval = base::Milliseconds(10);
constexpr std::int64_t kStallMicroseconds = 200'000;
// The size of a targets body with some twenty classes.
constexpr std::size_t kBodyBytes = 4096;

std::int64_t WallMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Pages in use, from the kernel's own count.
long ResidentKilobytes() {
  std::ifstream status("/proc/self/statm");
  long total_pages = 0;
  long resident_pages = 0;
  status >> total_pages >> resident_pages;
  constexpr long kPageKilobytes = 4;
  return resident_pages * kPageKilobytes;
}

std::int64_t CpuMicroseconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
  return (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) *
             kMicrosecondsPerSecond +
         usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
}

struct MemberOptions {
  std::string directory;
  std::string name;
  std::string region;
  std::string domain;
};

// The rows of the stand-in list: files named after the VMs, each with address,
// region and domain.
std::vector<store::Vm> ReadDirectory(const std::string& directory) {
  std::vector<store::Vm> rows;
  for (const auto& file : std::filesystem::directory_iterator(directory)) {
    if (file.path().extension() != ".vm") {
      continue;
    }
    store::Vm vm;
    vm.name = file.path().stem();
    std::ifstream(file.path()) >> vm.address >> vm.region >> vm.failure_domain;
    if (!vm.failure_domain.empty()) {
      rows.push_back(std::move(vm));
    }
  }
  return rows;
}

class Member {
 public:
  explicit Member(const MemberOptions& options);

  void Run();

 private:
  peer::PeerNetworkSettings NetworkSettings() const;
  membership::MembershipSettings ControllerSettings() const;
  void OpenController();
  void DidReceive(const peer::Sender& sender, peer::Message message);
  void DidSeeTargets(const std::string& peer, std::int64_t revision);
  void SetRevision(std::int64_t revision);
  void WaitForSignal();
  void DidGetSignal(int signal);
  void WatchView();
  void NoticeStall();
  void PrintStatistics();

  const MemberOptions options_;
  const std::int64_t incarnation_ = WallMicroseconds();
  boost::asio::io_context control_context_;
  boost::asio::io_context traffic_context_;
  base::TaskRunner control_{control_context_};
  base::Random random_{static_cast<std::uint64_t>(incarnation_) ^
                       std::hash<std::string>()(options_.name)};
  blackboard::Blackboard blackboard_;
  // To standard error, apart from the lines for run.py.
  const base::Log log_;
  peer::PeerNetwork network_;
  std::unique_ptr<membership::MembershipController> controller_;
  boost::asio::signal_set signals_{control_context_, SIGUSR1, SIGUSR2, SIGTERM};
  std::int64_t last_watch_ = WallMicroseconds();
  std::size_t shown_count_ = 0;
  bool was_shown_settled_ = false;
  std::int64_t asked_revision_ = 0;
};

Member::Member(const MemberOptions& options)
    : options_(options),
      log_({.level = base::LogLevel::kWarning,
            .format = base::LogFormat::kText,
            .vm = options.name},
           std::cerr),
      network_(
          NetworkSettings(),
          traffic_context_,
          blackboard_,
          [this](const peer::Sender& sender, peer::Message message) {
            DidReceive(sender, std::move(message));
          },
          [](const std::string&) {}) {}

peer::PeerNetworkSettings Member::NetworkSettings() const {
  peer::PeerNetworkSettings settings;
  settings.self_name = options_.name;
  settings.incarnation = incarnation_;
  settings.listen_address = "127.0.0.1:0";
  return settings;
}

membership::MembershipSettings Member::ControllerSettings() const {
  membership::MembershipSettings settings;
  settings.name = options_.name;
  settings.address = network_.address();
  settings.region = options_.region;
  settings.failure_domain = options_.domain;
  settings.incarnation = incarnation_;
  return settings;
}

void Member::OpenController() {
  membership::MembershipCallbacks callbacks;
  callbacks.did_see_targets = [this](const std::string& peer,
                                     std::int64_t revision, std::int64_t) {
    DidSeeTargets(peer, revision);
  };
  controller_ = std::make_unique<membership::MembershipController>(
      ControllerSettings(), base::Clock(), random_, control_, network_.port(),
      [this](base::Duration, const store::VmListCallback& callback) {
        callback(ReadDirectory(options_.directory));
      },
      blackboard_, std::move(callbacks), log_);
}

void Member::Run() {
  const base::Status status = network_.Open();
  if (!status.is_ok()) {
    std::fprintf(stderr, "%s\n", status.error().ToString().c_str());
    return;
  }
  OpenController();
  const std::string path = options_.directory + "/" + options_.name + ".vm";
  std::ofstream(path) << network_.address() << ' ' << options_.region << ' '
                      << options_.domain << '\n';
  auto guard = boost::asio::make_work_guard(traffic_context_);
  std::vector<std::thread> threads;
  threads.reserve(kTrafficThreads);
  for (int i = 0; i < kTrafficThreads; ++i) {
    threads.emplace_back([this] { traffic_context_.run(); });
  }
  controller_->Start();
  WaitForSignal();
  WatchView();
  control_context_.run();
  network_.Close();
  traffic_context_.stop();
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void Member::DidReceive(const peer::Sender& sender, peer::Message message) {
  if (const auto* heartbeat = std::get_if<peer::wire::Heartbeat>(&message)) {
    controller_->DidReceiveHeartbeat(sender, *heartbeat);
  } else if (std::holds_alternative<peer::wire::TargetsRequest>(message)) {
    peer::wire::TargetsBody body;
    body.revision = blackboard_.targets.Read()->revision;
    body.body = std::string(kBodyBytes, 'x');
    static_cast<void>(network_.port().send(sender.name, std::move(body)));
  } else if (const auto* body =
                 std::get_if<peer::wire::TargetsBody>(&message)) {
    control_.Post([this, revision = body->revision] { SetRevision(revision); });
  }
}

// Asks one peer for each new revision, as the targets controller does.
void Member::DidSeeTargets(const std::string& peer, std::int64_t revision) {
  if (revision <= asked_revision_) {
    return;
  }
  asked_revision_ = revision;
  static_cast<void>(network_.port().send(peer, peer::wire::TargetsRequest()));
}

void Member::SetRevision(std::int64_t revision) {
  if (revision <= blackboard_.targets.Read()->revision) {
    return;
  }
  blackboard::TargetsView targets;
  targets.revision = revision;
  targets.digest = revision;
  blackboard_.targets.Write(std::move(targets));
  std::printf("%ld revision %ld\n", WallMicroseconds(), revision);
  std::fflush(stdout);
}

void Member::WaitForSignal() {
  signals_.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (!error) {
          DidGetSignal(signal);
        }
      });
}

void Member::DidGetSignal(int signal) {
  if (signal == SIGTERM) {
    controller_->Leave();
    controller_->Stop([this] { control_context_.stop(); });
    return;
  }
  if (signal == SIGUSR1) {
    SetRevision(blackboard_.targets.Read()->revision + 1);
  } else {
    PrintStatistics();
  }
  WaitForSignal();
}

void Member::WatchView() {
  control_.After(kViewInterval, [this] { WatchView(); });
  NoticeStall();
  const auto view = blackboard_.membership.Read();
  if (view->members.size() == shown_count_ &&
      view->is_settled == was_shown_settled_) {
    return;
  }
  shown_count_ = view->members.size();
  was_shown_settled_ = view->is_settled;
  std::printf("%ld view %zu %d\n", WallMicroseconds(), shown_count_,
              static_cast<int>(was_shown_settled_));
  std::fflush(stdout);
}

// On a busy computer a late detection may only show that this process did not
// get to run.
void Member::NoticeStall() {
  const std::int64_t now = WallMicroseconds();
  const std::int64_t gap = now - std::exchange(last_watch_, now);
  if (gap > kStallMicroseconds) {
    constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;
    std::printf("%ld stall %ld\n", now, gap / kMicrosecondsPerMillisecond);
    std::fflush(stdout);
  }
}

void Member::PrintStatistics() {
  const peer::TrafficTotal sent = network_.sent().total();
  const peer::TrafficTotal received = network_.received().total();
  std::printf("%ld stats %ld %ld %lu %lu %lu %lu %zu\n", WallMicroseconds(),
              CpuMicroseconds(), ResidentKilobytes(), sent.messages, sent.bytes,
              received.messages, received.bytes, network_.link_count());
  std::fflush(stdout);
}

}  // namespace
}  // namespace medlarspread

int main(int argc, char** argv) {
  cxxopts::Options parser("medlarspread_member_bench",
                          "One member on loopback, for measurements");
  parser.add_options()("directory", "stand-in for the VM list",
                       cxxopts::value<std::string>())(
      "name", "name of this VM", cxxopts::value<std::string>())(
      "region", "its region", cxxopts::value<std::string>())(
      "domain", "its failure domain", cxxopts::value<std::string>());
  const auto arguments = parser.parse(argc, argv);
  medlarspread::Member member({arguments["directory"].as<std::string>(),
                               arguments["name"].as<std::string>(),
                               arguments["region"].as<std::string>(),
                               arguments["domain"].as<std::string>()});
  member.Run();
  return 0;
}
