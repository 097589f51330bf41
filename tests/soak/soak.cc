// One soak run: emulated store and leaves, daemon processes, callers, fault
// injection and checks.

#include "tests/soak/soak.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "emulator/hosted/hosted_leaf.h"
#include "emulator/hosted/hosted_store.h"
#include "emulator/support/arrival_record.h"
#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/http1/client_connection.h"
#include "tests/soak/fault_proxy.h"
#include "tests/support/free_port.h"
#include "tests/support/process_group.h"

namespace medlarspread::soak {

namespace {

using emulator::HostedLeaf;
using emulator::HostedStore;
using emulator::LeafBehavior;

constexpr int kHttpVersion = 11;
constexpr base::Duration kStep = base::Milliseconds(10);
constexpr base::Duration kFaultInterval = base::Milliseconds(350);
constexpr base::Duration kMaxFaultDuration = base::Milliseconds(2'500);
// A draining leaf gets no new request later than this after the store accepted
// its draining state, from daemons that were undisturbed for the whole time.
constexpr base::Duration kDrainBound = base::Milliseconds(3'000);
// A daemon counts as undisturbed this long after its last fault.
constexpr base::Duration kUndisturbed = base::Milliseconds(3'000);
// A change of the routes must be in force kInForceBound after the store
// accepted it, at daemons that have been connected to the store without a
// disturbance for kConnected.
constexpr base::Duration kInForceBound = base::Milliseconds(3'000);
constexpr base::Duration kConnected = base::Milliseconds(5'000);
// The minimum and maximum age of a backup at the restore, the longest store
// outage before the restore, and the time within which the writers have written
// the lost changes again.
constexpr base::Duration kMinBackupAge = base::Milliseconds(100);
constexpr base::Duration kMaxBackupAge = base::Milliseconds(10'000);
constexpr base::Duration kMaxRestoreOutage = base::Milliseconds(3'000);
constexpr base::Duration kRewriteTime = base::Milliseconds(1'800);
// Operators change the routes within kChangesAfterRestore after a restore. The
// change that the restore discards is made kAppliedBeforeRestore before it, so
// that the daemons have applied it.
constexpr base::Duration kChangesAfterRestore = base::Milliseconds(2'500);
constexpr base::Duration kAppliedBeforeRestore = base::Milliseconds(1'500);
// All leaves together write at this interval, which keeps the store's revision
// growing.
constexpr base::Duration kHeartbeat = base::Milliseconds(50);
// Faults hit the store and the daemons for kFaultPhase, then neither is
// disturbed for kQuietPhase, which is long enough to check the bounds that hold
// only without disturbance.
constexpr base::Duration kFaultPhase = base::Milliseconds(4'000);
constexpr base::Duration kQuietPhase = base::Milliseconds(10'000);
// With has_stale_reads: how far a replica of the store is behind at most, and
// the size of a page. In each quiet phase one daemon of each of the two failure
// domains is down for kDowntime, and the routes change kChangeBeforeStart
// before its start, so that its peers know the change by then.
constexpr base::Duration kMostBehind = base::Milliseconds(4'000);
constexpr std::size_t kMostPageItems = 10;
constexpr base::Duration kDowntime = base::Milliseconds(1'500);
constexpr base::Duration kChangeBeforeStart = base::Milliseconds(1'200);
constexpr std::size_t kDomains = 2;
constexpr base::Duration kFirstRestart = kFaultPhase + kMaxFaultDuration;
// With has_repeated_replies: the shares of requests that leaves refuse and of
// replies that they send twice. A run has fewer leaves than kSeedsPerRun, so
// that each draws from a seed of its own.
constexpr double kRefusedShare = 0.5;
constexpr double kRepeatedShare = 0.3;
constexpr std::uint64_t kSeedsPerRun = 1'000;
// With has_endless_replies: the share of replies that are replaced.
constexpr double kEndlessShare = 0.1;
// With has_spliced_replies: the share of replies that break off.
constexpr double kSplicedShare = 0.05;
// What a daemon may use, see "The size to design for" in DEVELOPERS.md.
constexpr std::size_t kMaxResidentBytes = std::size_t{64} << 20;
// The maximum attempts of the route to all shards. Must match Configure().
constexpr int kMaxAttempts = 2;
// The pause between two deadly requests, of which each is retried once on
// failure, and the time until a leaf that crashed on one is replaced.
constexpr base::Duration kDeadlyRequestInterval = base::Milliseconds(1'500);
constexpr base::Duration kCrashedLeafDowntime = base::Milliseconds(1'000);
// After this many crashed leaves, and kQuarantineBound without a disturbance of
// the store or of a daemon, all daemons must have quarantined the request; at
// most kMaxQuarantinedAttempts attempts may reach leaves after that.
constexpr int kCrashesUntilQuarantine = 3;
constexpr base::Duration kQuarantineBound = base::Milliseconds(4'000);
constexpr int kMaxQuarantinedAttempts = 3;
const std::vector<std::string> kServices = {"s1", "s2", "s3"};
// A leaf of the first service ends, and a leaf of the second starts at its
// address.
constexpr const char* kServiceOfEndedLeaf = "s2";
constexpr const char* kServiceOfNewLeaf = "s3";
constexpr base::Duration kAddressReuseStart = base::Milliseconds(4'000);
constexpr base::Duration kAddressUnusedTime = base::Milliseconds(1'000);
// The time from the end of the leaf until its store entry is removed.
constexpr base::Duration kStaleEntryTime = base::Milliseconds(7'000);
constexpr base::Duration kWork = base::Milliseconds(2);
constexpr base::Duration kSlowWork = base::Milliseconds(120);
// The configured bound on sends to leaves beyond the first send of each
// request.
constexpr admission::ExtraSendBound kExtraSendBound{0.2, 50.0,
                                                    base::Milliseconds(10'000)};

struct Leaf {
  std::unique_ptr<HostedLeaf> leaf;
  std::unique_ptr<FaultProxy> proxy;
  std::string service;
  bool is_ended = false;
  // When the leaf began to drain; zero while it serves.
  base::MonotonicTime draining_since;
  // How many requests the leaf had run at kDrainBound, after which it must get
  // no new ones; -1 before that and after a disturbance.
  int runs_at_bound = -1;
};

struct Daemon {
  std::string name;
  std::unique_ptr<tests::Process> process;
  std::string caller;
  bool is_paused = false;
  bool is_stopping = false;
  bool is_gone = false;
  base::MonotonicTime started;
  // When the process was last resumed after a pause.
  base::MonotonicTime disturbed;
  // The highest revision that a response of this process has shown.
  int revision_seen = 0;
  std::shared_ptr<http1::ClientConnection> connection;
};

struct SentRequest {
  std::string id;
  bool is_idempotent = true;
  bool is_route_check = false;
  int revision = 0;
  // The requested route must be in force.
  bool is_due = false;
  std::size_t daemon = 0;
};

// The last write of a key by an operator or a leaf.
struct StoreWrite {
  // Absent if the key was removed.
  std::optional<std::string> value;
  base::MonotonicTime at;
};

class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& options);
  ~SoakRun();

  SoakReport Run();

 private:
  base::MonotonicTime now() const { return clock_.Now(); }
  std::uint64_t DrawBelow(std::uint64_t bound) { return random_.Below(bound); }
  void AddViolation(const std::string& what) {
    report_.violations.push_back(what);
  }

  void AddLeaf(const std::string& service, const std::string& zone);
  void WriteEntry(const Leaf& leaf, const std::string& state);
  // Writes to the store as an operator or a leaf does.
  void Write(const std::string& key, std::optional<std::string> value);
  void Configure();
  void StartDaemon(std::size_t index);

  void CheckMemory();
  void Tick();
  void InjectFault();
  bool is_fault_phase() const;
  void FaultOnLeaf();
  void FaultOnStore();
  void FaultOnDaemon();
  void RestartAfter(base::Duration delay, std::size_t index);
  void RunAfter(base::Duration delay, std::function<void()> task);
  base::Duration DrawRestoreTime(base::Duration least, base::Duration most);
  void WriteHeartbeat();
  // A random leaf writes its entry again.
  void WriteLeafHeartbeat();
  // Kills a daemon of each failure domain and starts it again.
  void RestartSome();
  void PlanRestore();
  void BeginRestore(int left);
  void Restore(int left);
  void RewriteLostChanges();

  void SendDeadlyRequest(int attempts_left);
  void DidEndLeaf(Leaf& leaf);
  void CheckDeadlyRequest();
  void ReuseAddress();
  void StartLeafAtReusedAddress(FaultProxy& proxy);
  void EndAddressReuse(const Leaf& leaf);
  void SetWork(const std::string& service, base::Duration work);
  // Counts every arrival at the leaf for its service.
  void CountArrivals(HostedLeaf& leaf, const std::string& service);
  void SendRequests();
  void Send(SentRequest sent, const std::string& path);
  void DidEnd(const SentRequest& sent, http1::ExchangeResult result);
  void CheckAnswer(const SentRequest& sent, const http1::Response& response);
  void CheckMergedAnswer(const SentRequest& sent,
                         const http1::Response& response);
  void CheckRoute(const SentRequest& sent, unsigned status);
  // Whether the newest route must be in force at the daemon by now.
  bool IsDue(const Daemon& daemon) const;
  void CheckDrains();
  void CheckRuns();
  int RunsOf(const std::string& id) const;
  // Whether a leaf signs its replies with this text.
  bool IsStamp(const std::string& text) const;

  const SoakOptions options_;
  const base::Clock clock_;
  base::Random random_;
  boost::asio::io_context context_;
  const base::TaskRunner runner_{context_};
  std::filesystem::path folder_;
  HostedStore store_{context_};
  FaultProxy store_proxy_{context_, store_.address()};
  std::vector<std::unique_ptr<Leaf>> leaves_;
  // Leaves at reused addresses, which no store entry names.
  std::vector<std::unique_ptr<HostedLeaf>> leaves_at_reused_addresses_;
  emulator::ArrivalRecord arrivals_;
  std::vector<Daemon> daemons_;
  int revision_ = 0;
  int next_leaf_ = 0;
  int next_request_ = 0;
  base::MonotonicTime began_;
  base::MonotonicTime end_;
  base::MonotonicTime next_fault_;
  // The last write of each key.
  std::map<std::string, StoreWrite> last_writes_;
  // When the store last accepted a new configuration.
  base::MonotonicTime configured_at_;
  base::MonotonicTime backed_up_at_;
  // Until when the store or the link to it is disturbed.
  base::MonotonicTime store_disturbed_;
  // Until when the store, the link to it or any daemon is disturbed.
  base::MonotonicTime last_disturbance_;
  std::vector<std::string> non_idempotent_ids_;
  std::vector<std::string> merged_ids_;
  std::vector<std::string> refused_ids_;
  // Draws for the deadly request, separate so that the other faults of a seed
  // stay the same.
  base::Random deadly_random_;
  // Draws for restores, separate for the same reason.
  base::Random restore_random_;
  // Draws for stale reads, separate for the same reason.
  base::Random stale_random_;
  // When all daemons must have quarantined the deadly request; zero until
  // enough leaves have crashed.
  base::MonotonicTime quarantined_by_;
  // Attempts of the deadly request at undisturbed daemons after that time.
  std::vector<std::string> quarantined_attempts_;
  SoakReport report_;
};

SoakRun::SoakRun(const SoakOptions& options)
    : options_(options),
      random_(options.seed),
      deadly_random_(options.seed),
      restore_random_(options.seed),
      stale_random_(options.seed) {
  std::string pattern =
      std::filesystem::temp_directory_path().string() + "/soak.XXXXXX";
  folder_ = mkdtemp(pattern.data());
  if (options_.has_stale_reads) {
    store_.AddReplicas(kMostBehind, kMostPageItems, options_.seed);
  }
  for (const std::string& service : kServices) {
    for (const char* zone : {"n1", "n1", "n2"}) {
      AddLeaf(service, zone);
    }
  }
  Configure();
}

SoakRun::~SoakRun() {
  daemons_.clear();
  std::filesystem::remove_all(folder_);
}

void SoakRun::AddLeaf(const std::string& service, const std::string& zone) {
  auto leaf = std::make_unique<Leaf>();
  leaf->service = service;
  leaf->leaf = std::make_unique<HostedLeaf>(
      context_, service + "-" + std::to_string(next_leaf_++), service, zone);
  leaf->proxy = std::make_unique<FaultProxy>(context_, leaf->leaf->address());
  if (options_.has_repeated_replies) {
    leaf->leaf->set_refused_share(kRefusedShare);
    leaf->proxy->RepeatReplies(
        kRepeatedShare,
        options_.seed * kSeedsPerRun + static_cast<std::uint64_t>(next_leaf_));
  }
  if (options_.has_endless_replies) {
    leaf->proxy->SendEndlessReplies(
        kEndlessShare,
        options_.seed * kSeedsPerRun + static_cast<std::uint64_t>(next_leaf_));
  }
  if (options_.has_spliced_replies) {
    leaf->proxy->SpliceReplies(
        kSplicedShare,
        options_.seed * kSeedsPerRun + static_cast<std::uint64_t>(next_leaf_));
  }
  CountArrivals(*leaf->leaf, service);
  WriteEntry(*leaf, "ready");
  leaf->leaf->set_did_end([this, ended = leaf.get()] { DidEndLeaf(*ended); });
  leaves_.push_back(std::move(leaf));
}

void SoakRun::WriteEntry(const Leaf& leaf, const std::string& state) {
  Write("servers/" + leaf.leaf->id(),
        leaf.leaf->MakeEntry(state, leaf.proxy->address()));
}

void SoakRun::Write(const std::string& key, std::optional<std::string> value) {
  if (value) {
    store_.Put(key, *value);
  } else {
    store_.Remove(key);
  }
  last_writes_[key] = {std::move(value), now()};
}

// Each revision has a route of its own in addition to the permanent ones: a
// daemon that has applied a revision must never again serve the route of an
// earlier one.
void SoakRun::Configure() {
  ++revision_;
  configured_at_ = now();
  const std::string own =
      R"({"name":"own","host":"h","prefix":"/v)" + std::to_string(revision_) +
      R"(/","kind":"idempotent","timeout_ms":900,"service":"s1","attempts":2})";
  Write("op/config",
        R"({"version":)" + std::to_string(revision_) + R"(,"routes":[)" + own +
            R"(,{"name":"all","host":"h","prefix":"/all/","kind":"idempotent",)"
            R"("timeout_ms":900,"slo_ms":150,"gather":["s1","s2","s3"],)"
            R"("attempts":2,"top_k":2,"min_coverage":0.6},)"
            R"({"name":"pay","host":"h","prefix":"/pay/",)"
            R"("kind":"non_idempotent","timeout_ms":900,"slo_ms":150,)"
            R"("service":"s1","attempts":2}],"services":[)"
            R"({"name":"s1","max_conns":40},{"name":"s2","max_conns":40},)"
            R"({"name":"s3","max_conns":40}]})");
}

void SoakRun::StartDaemon(std::size_t index) {
  Daemon daemon;
  daemon.name = "vm" + std::to_string(index);
  const std::filesystem::path file = folder_ / (daemon.name + ".ini");
  // Daemons announce these addresses to their peers, so they can't bind to port
  // 0.
  const int peer_port = tests::FreePort();
  const int query_port = tests::FreePort();
  // Two failure domains; the last daemon is small and hands over requests to
  // the first.
  const bool is_small = index + 1 == static_cast<std::size_t>(options_.daemons);
  const std::string domain = index % 2 == 0 ? "n1" : "n2";
  std::ofstream(file) << "[vm]\nname = " << daemon.name
                      << "\nregion = r\nfailure_domain = " << domain
                      << "\nregions = n1=r, n2=r\nprocessor_share = "
                      << (is_small ? "0.1" : "1")
                      << "\n[extra_sends]\nshare = " << kExtraSendBound.share
                      << "\nslack = " << kExtraSendBound.slack
                      << "\n[callers]\n"
                         "interface = opaque\naddress = 127.0.0.1:0\n"
                         "readiness_address = 127.0.0.1:0\n"
                         "[operators]\naddress = 127.0.0.1:0\n"
                         "[peers]\naddress = 127.0.0.1:"
                      << peer_port
                      << "\nquery_address = 127.0.0.1:" << query_port
                      << "\n[platform]\naddress = " << store_proxy_.address()
                      << "\ntimeout_ms = 400\n[stop]\nbound_s = 6\n";
  daemon.process = std::make_unique<tests::Process>(
      options_.daemon_program,
      std::vector<std::string>{"serve", file.string()});
  auto fields = daemon.process->AwaitReady();
  if (!fields) {
    // The process has printed the reason, for example that another process has
    // bound one of the two ports meanwhile.
    const auto status = daemon.process->AwaitExit(std::chrono::seconds(1));
    AddViolation(daemon.name + " did not start, exit status " +
                 (status ? std::to_string(*status) : "none") + ", ports " +
                 std::to_string(peer_port) + " and " +
                 std::to_string(query_port));
    daemon.is_gone = true;
  } else {
    daemon.caller = (*fields)["caller"];
    daemon.started = now();
  }
  if (index < daemons_.size()) {
    daemons_[index] = std::move(daemon);
  } else {
    daemons_.push_back(std::move(daemon));
  }
}

SoakReport SoakRun::Run() {
  for (int index = 0; index < options_.daemons; ++index) {
    StartDaemon(static_cast<std::size_t>(index));
  }
  began_ = now();
  end_ = began_ + options_.length;
  next_fault_ = now() + kFaultInterval * 3;
  last_disturbance_ = now();
  Tick();
  if (options_.has_deadly_request) {
    RunAfter(kDeadlyRequestInterval, [this] { SendDeadlyRequest(2); });
  }
  if (options_.has_restores) {
    WriteHeartbeat();
  }
  if (options_.has_stale_reads) {
    WriteLeafHeartbeat();
    RunAfter(kFirstRestart, [this] { RestartSome(); });
  }
  if (options_.has_restores) {
    PlanRestore();
  }
  if (options_.has_reused_address) {
    RunAfter(kAddressReuseStart, [this] { ReuseAddress(); });
  }
  // Requests in flight at the end may use their whole deadline.
  context_.run_for(options_.length + std::chrono::milliseconds(2'500));
  CheckRuns();
  CheckDeadlyRequest();
  for (const std::string& excess : arrivals_.FindExcess(kExtraSendBound)) {
    AddViolation(excess);
  }
  for (const auto& leaf : leaves_) {
    report_.repeated_replies += leaf->proxy->repeated_replies();
    report_.endless_replies += leaf->proxy->endless_replies();
    report_.spliced_replies += leaf->proxy->spliced_replies();
    if (leaf->proxy->unlimited_replies() > 0) {
      AddViolation("a reply without end was read beyond " +
                   std::to_string(FaultProxy::kMostEndlessBytes) + " bytes");
    }
  }
  CheckMemory();
  return report_;
}

void SoakRun::CheckMemory() {
  for (const Daemon& daemon : daemons_) {
    const std::size_t peak =
        daemon.process ? daemon.process->PeakResidentBytes() : 0;
    report_.peak_resident_bytes = std::max(report_.peak_resident_bytes, peak);
    if (peak > kMaxResidentBytes) {
      AddViolation(daemon.name + " used " + std::to_string(peak) +
                   " bytes of memory, " + std::to_string(kMaxResidentBytes) +
                   " are allowed");
    }
  }
}

void SoakRun::Tick() {
  if (now() >= end_) {
    return;
  }
  if (now() >= next_fault_) {
    InjectFault();
    next_fault_ = now() + kFaultInterval / 2 +
                  base::Duration(static_cast<std::int64_t>(DrawBelow(
                      static_cast<std::uint64_t>(kFaultInterval.count()))));
  }
  SendRequests();
  CheckDrains();
  RunAfter(kStep, [this] { Tick(); });
}

void SoakRun::RunAfter(base::Duration delay, std::function<void()> task) {
  (void)runner_.After(delay, std::move(task));
}

void SoakRun::InjectFault() {
  ++report_.faults;
  const auto kind = DrawBelow(4);
  if (kind < 2 && is_fault_phase()) {
    kind == 0 ? FaultOnStore() : FaultOnDaemon();
    return;
  }
  FaultOnLeaf();
}

bool SoakRun::is_fault_phase() const {
  const base::Duration since = now() - began_;
  return since % (kFaultPhase + kQuietPhase) < kFaultPhase;
}

void SoakRun::FaultOnLeaf() {
  Leaf& leaf = *leaves_[DrawBelow(leaves_.size())];
  const base::Duration length = kMaxFaultDuration / (1 + DrawBelow(4));
  const auto kind = DrawBelow(5);
  if (leaf.is_ended) {
    return;
  }
  switch (kind) {
    case 0: {
      // A draining leaf is replaced, so that its shard keeps its replicas.
      if (leaf.draining_since == base::MonotonicTime{}) {
        leaf.draining_since = now();
        WriteEntry(leaf, "draining");
        AddLeaf(leaf.service, "n1");
      }
      return;
    }
    case 1:
    case 2: {
      constexpr LeafBehavior kMoods[] = {
          LeafBehavior::kShed, LeafBehavior::kMute, LeafBehavior::kNoProof};
      leaf.leaf->set_behavior(kMoods[DrawBelow(3)]);
      RunAfter(length,
               [&leaf] { leaf.leaf->set_behavior(LeafBehavior::kAnswer); });
      return;
    }
    default: {
      constexpr LinkFault kFaults[] = {LinkFault::kDelay, LinkFault::kReset,
                                       LinkFault::kOneWay, LinkFault::kSilent};
      leaf.proxy->set_fault(kFaults[DrawBelow(4)]);
      RunAfter(length, [&leaf] { leaf.proxy->set_fault(LinkFault::kNone); });
    }
  }
}

void SoakRun::FaultOnStore() {
  last_disturbance_ = now() + kMaxFaultDuration;
  store_disturbed_ = std::max(store_disturbed_, last_disturbance_);
  const base::Duration length = kMaxFaultDuration / (1 + DrawBelow(4));
  switch (DrawBelow(4)) {
    case 0:
      store_.ForgetHistory();
      return;
    case 1:
      store_.set_silent(true);
      RunAfter(length, [this] { store_.set_silent(false); });
      return;
    default: {
      constexpr LinkFault kFaults[] = {LinkFault::kDelay, LinkFault::kReset,
                                       LinkFault::kOneWay, LinkFault::kSilent};
      store_proxy_.set_fault(kFaults[DrawBelow(4)]);
      RunAfter(length, [this] { store_proxy_.set_fault(LinkFault::kNone); });
    }
  }
}

base::Duration SoakRun::DrawRestoreTime(base::Duration least,
                                        base::Duration most) {
  const auto span = static_cast<std::uint64_t>((most - least).count());
  return least +
         base::Duration(static_cast<std::int64_t>(restore_random_.Below(span)));
}

void SoakRun::WriteHeartbeat() {
  store_.Put("heartbeats", std::to_string(now().microseconds));
  RunAfter(kHeartbeat, [this] { WriteHeartbeat(); });
}

void SoakRun::WriteLeafHeartbeat() {
  const Leaf& leaf = *leaves_[stale_random_.Below(leaves_.size())];
  if (!leaf.is_ended && leaf.draining_since == base::MonotonicTime{}) {
    WriteEntry(leaf, "ready");
  }
  RunAfter(kHeartbeat, [this] { WriteLeafHeartbeat(); });
}

void SoakRun::RestartSome() {
  last_disturbance_ = std::max(last_disturbance_, now() + kDowntime);
  for (std::size_t domain = 0; domain < kDomains; ++domain) {
    const std::size_t members =
        (daemons_.size() + kDomains - 1 - domain) / kDomains;
    const std::size_t index = domain + kDomains * stale_random_.Below(members);
    Daemon& daemon = daemons_[index];
    if (!daemon.is_gone && !daemon.is_paused && !daemon.is_stopping) {
      daemon.is_gone = true;
      daemon.process->Signal(SIGKILL);
      RestartAfter(kDowntime, index);
    }
  }
  RunAfter(kFaultPhase + kQuietPhase, [this] { RestartSome(); });
}

void SoakRun::PlanRestore() {
  store_.TakeCopy();
  backed_up_at_ = now();
  const base::Duration age = DrawRestoreTime(kMinBackupAge, kMaxBackupAge);
  // A change that the daemons apply and the restore discards.
  RunAfter(std::max(base::Duration{}, age - kAppliedBeforeRestore),
           [this] { Configure(); });
  RunAfter(age,
           [this] { BeginRestore(restore_random_.Below(3) == 0 ? 2 : 1); });
}

void SoakRun::BeginRestore(int left) {
  const bool has_outage = restore_random_.Below(4) > 0;
  const base::Duration outage =
      has_outage ? DrawRestoreTime(kMaxRestoreOutage / 15, kMaxRestoreOutage)
                 : base::Duration{};
  last_disturbance_ = std::max(last_disturbance_, now() + outage);
  store_disturbed_ = std::max(store_disturbed_, now() + outage);
  store_.set_silent(has_outage);
  RunAfter(outage, [this, left] { Restore(left); });
}

void SoakRun::Restore(int left) {
  ++report_.restores;
  store_.RestoreCopy();
  store_.set_silent(false);
  RewriteLostChanges();
  for (int change = 0; change < 2; ++change) {
    RunAfter(DrawRestoreTime({}, kChangesAfterRestore),
             [this] { Configure(); });
  }
  if (left > 1) {
    RunAfter(DrawRestoreTime({}, kMaxRestoreOutage),
             [this, left] { BeginRestore(left - 1); });
  } else {
    RunAfter(kConnected + kInForceBound, [this] { PlanRestore(); });
  }
}

void SoakRun::RewriteLostChanges() {
  for (const auto& [key, written] : last_writes_) {
    if (written.at < backed_up_at_) {
      continue;
    }
    const base::Duration delay = DrawRestoreTime({}, kRewriteTime);
    if (key == "op/config") {
      configured_at_ = now() + delay;
    }
    RunAfter(delay, [this, key = key] { Write(key, last_writes_[key].value); });
  }
}

bool SoakRun::IsDue(const Daemon& daemon) const {
  return now() - configured_at_ > kInForceBound &&
         now() - store_disturbed_ > kConnected &&
         now() - daemon.started > kConnected &&
         now() - daemon.disturbed > kConnected && !daemon.is_paused &&
         !daemon.is_stopping;
}

void SoakRun::FaultOnDaemon() {
  const std::size_t index = DrawBelow(daemons_.size());
  Daemon& daemon = daemons_[index];
  if (DrawBelow(3) == 0) {
    Configure();
    return;
  }
  if (daemon.is_gone || daemon.is_paused || daemon.is_stopping) {
    return;
  }
  last_disturbance_ = now() + kMaxFaultDuration;
  switch (DrawBelow(4)) {
    case 0:
      daemon.is_paused = true;
      daemon.process->Signal(SIGSTOP);
      RunAfter(kMaxFaultDuration / 2, [this, index] {
        daemons_[index].process->Signal(SIGCONT);
        daemons_[index].is_paused = false;
        daemons_[index].disturbed = now();
      });
      return;
    case 1:
      daemon.is_gone = true;
      daemon.process->Signal(SIGKILL);
      RestartAfter(base::Milliseconds(400), index);
      return;
    case 2:
      daemon.process->Signal(SIGHUP);
      return;
    default:
      daemon.is_stopping = true;
      daemon.process->Signal(SIGTERM);
      // Callers keep using the connection until the process has ended.
      RestartAfter(base::Milliseconds(6'200), index);
  }
}

void SoakRun::RestartAfter(base::Duration delay, std::size_t index) {
  if (options_.has_stale_reads) {
    RunAfter(std::max(base::Duration{}, delay - kChangeBeforeStart),
             [this] { Configure(); });
  }
  RunAfter(delay, [this, index] { StartDaemon(index); });
}

void SoakRun::SendDeadlyRequest(int attempts_left) {
  if (now() >= end_) {
    return;
  }
  const bool is_last = attempts_left == 1;
  const auto again = [this, is_last, attempts_left] {
    RunAfter(is_last ? kDeadlyRequestInterval : kStep,
             [this, is_last, attempts_left] {
               SendDeadlyRequest(is_last ? 2 : attempts_left - 1);
             });
  };
  const Daemon& daemon = daemons_[deadly_random_.Below(daemons_.size())];
  if (daemon.is_gone || daemon.is_stopping || daemon.is_paused) {
    again();
    return;
  }
  http1::ClientConnection::Settings settings;
  settings.peer = http1::ParseEndpoint(daemon.caller).value();
  settings.did_change = [](http1::ClientConnection&) {};
  auto connection =
      std::make_shared<http1::ClientConnection>(context_, std::move(settings));
  const std::string id = "d" + std::to_string(next_request_++);
  const bool is_calm = now() - last_disturbance_ > kQuarantineBound &&
                       now() - daemon.started > kQuarantineBound;
  if (is_calm && quarantined_by_ != base::MonotonicTime{} &&
      now() > quarantined_by_) {
    quarantined_attempts_.push_back(id);
  }
  auto request = std::make_shared<http1::Request>(boost::beast::http::verb::get,
                                                  "/all/deadly", kHttpVersion);
  request->set("Host", "h");
  request->set("Medlarspread-Request-Id", id);
  request->set("Medlarspread-Deadline-Ms", "800");
  http1::Exchange exchange;
  exchange.request = request;
  exchange.match = [](const http1::Response&) {
    return http1::ResponseMatch::kYes;
  };
  exchange.done = [this, connection, again,
                   id](const http1::ExchangeResult& result) {
    const auto* response = std::get_if<http1::Response>(&result);
    if (response != nullptr && response->result_int() == 200) {
      AddViolation(id + ": a request that crashes leaves was answered");
    }
    if (response != nullptr && response->result_int() == 503) {
      refused_ids_.push_back(id);
    }
    again();
  };
  connection->Start(std::move(exchange));
}

void SoakRun::DidEndLeaf(Leaf& leaf) {
  if (std::exchange(leaf.is_ended, true)) {
    return;
  }
  leaf.proxy->Close();
  if (++report_.leaves_ended == kCrashesUntilQuarantine) {
    quarantined_by_ = now() + kQuarantineBound;
  }
  RunAfter(kCrashedLeafDowntime, [this, &leaf] {
    Write("servers/" + leaf.leaf->id(), std::nullopt);
    AddLeaf(leaf.service, "n1");
  });
}

void SoakRun::CheckDeadlyRequest() {
  const auto reached =
      std::count_if(quarantined_attempts_.begin(), quarantined_attempts_.end(),
                    [this](const std::string& id) { return RunsOf(id) > 0; });
  if (reached > kMaxQuarantinedAttempts) {
    AddViolation(
        "a request that must have been quarantined reached leaves in " +
        std::to_string(reached) + " more attempts; " +
        std::to_string(report_.leaves_ended) + " leaves crashed in total");
  }
}

void SoakRun::CountArrivals(HostedLeaf& leaf, const std::string& service) {
  leaf.set_did_arrive([this, service](const std::string& request_id) {
    (void)arrivals_.DidArrive(request_id, service, now());
  });
}

void SoakRun::SetWork(const std::string& service, base::Duration work) {
  for (const auto& leaf : leaves_) {
    if (leaf->service == service) {
      leaf->leaf->set_work(work);
    }
  }
}

void SoakRun::ReuseAddress() {
  const auto ended =
      std::find_if(leaves_.begin(), leaves_.end(), [](const auto& leaf) {
        return leaf->service == kServiceOfEndedLeaf && !leaf->is_ended &&
               leaf->draining_since == base::MonotonicTime{};
      });
  if (ended == leaves_.end()) {
    return;
  }
  last_disturbance_ = now() + kStaleEntryTime;
  store_disturbed_ = std::max(store_disturbed_, last_disturbance_);
  store_proxy_.set_fault(LinkFault::kSilent);
  SetWork(kServiceOfEndedLeaf, kSlowWork);
  Leaf& leaf = **ended;
  leaf.is_ended = true;
  leaf.proxy->set_fault(LinkFault::kReset);
  leaf.leaf->End();
  RunAfter(kAddressUnusedTime,
           [this, &leaf] { StartLeafAtReusedAddress(*leaf.proxy); });
  RunAfter(kStaleEntryTime, [this, &leaf] { EndAddressReuse(leaf); });
}

void SoakRun::StartLeafAtReusedAddress(FaultProxy& proxy) {
  auto new_leaf = std::make_unique<HostedLeaf>(
      context_, "tenant-" + std::to_string(leaves_at_reused_addresses_.size()),
      kServiceOfNewLeaf, "n1");
  new_leaf->set_did_arrive([this](const std::string& request_id) {
    ++report_.arrivals_at_reused_address;
    (void)arrivals_.DidArrive(request_id, kServiceOfNewLeaf, now());
  });
  proxy.set_target(new_leaf->address());
  proxy.set_fault(LinkFault::kNone);
  leaves_at_reused_addresses_.push_back(std::move(new_leaf));
}

void SoakRun::EndAddressReuse(const Leaf& leaf) {
  store_proxy_.set_fault(LinkFault::kNone);
  SetWork(kServiceOfEndedLeaf, kWork);
  Write("servers/" + leaf.leaf->id(), std::nullopt);
  AddLeaf(leaf.service, "n1");
}

void SoakRun::SendRequests() {
  for (std::size_t index = 0; index < daemons_.size(); ++index) {
    Daemon& daemon = daemons_[index];
    const bool is_busy = daemon.connection && !daemon.connection->is_closed() &&
                         !daemon.connection->is_free();
    if (daemon.is_gone || is_busy) {
      continue;
    }
    SentRequest sent;
    sent.id = "r" + std::to_string(next_request_++);
    sent.daemon = index;
    switch (DrawBelow(4)) {
      case 0:
        sent.is_idempotent = false;
        Send(sent, "/pay/1");
        break;
      case 1:
        sent.is_route_check = true;
        sent.revision = revision_ - static_cast<int>(DrawBelow(2));
        sent.is_due = sent.revision == revision_ && IsDue(daemon);
        Send(sent, "/v" + std::to_string(sent.revision) + "/1");
        break;
      default:
        merged_ids_.push_back(sent.id);
        Send(sent, "/all/1");
    }
  }
}

void SoakRun::Send(SentRequest sent, const std::string& path) {
  Daemon& daemon = daemons_[sent.daemon];
  if (!daemon.connection || daemon.connection->is_closed()) {
    if (daemon.is_stopping) {
      // The load balancer sends no new connections to a stopping daemon.
      return;
    }
    http1::ClientConnection::Settings settings;
    settings.peer = http1::ParseEndpoint(daemon.caller).value();
    settings.did_change = [](http1::ClientConnection&) {};
    daemon.connection = std::make_shared<http1::ClientConnection>(
        context_, std::move(settings));
  }
  ++report_.requests;
  if (!sent.is_idempotent) {
    non_idempotent_ids_.push_back(sent.id);
  }
  auto request = std::make_shared<http1::Request>(boost::beast::http::verb::get,
                                                  path, kHttpVersion);
  request->set("Host", "h");
  request->set("Medlarspread-Request-Id", sent.id);
  request->set("Medlarspread-Deadline-Ms", "800");
  http1::Exchange exchange;
  exchange.request = request;
  exchange.match = [](const http1::Response&) {
    return http1::ResponseMatch::kYes;
  };
  exchange.done = [this, sent](http1::ExchangeResult result) {
    DidEnd(sent, std::move(result));
  };
  daemon.connection->Start(std::move(exchange));
}

void SoakRun::DidEnd(const SentRequest& sent, http1::ExchangeResult result) {
  if (const auto* response = std::get_if<http1::Response>(&result)) {
    CheckAnswer(sent, *response);
    return;
  }
  ++report_.unknown;
  const Daemon& daemon = daemons_[sent.daemon];
  const bool is_planned =
      daemon.is_stopping && !daemon.is_gone && !daemon.is_paused;
  // A request sent while the daemon closed the connection never ran, so it was
  // not cut off.
  if (is_planned && RunsOf(sent.id) > 0) {
    AddViolation(sent.id + ": cut off by a planned stop of " + daemon.name);
  }
}

void SoakRun::CheckAnswer(const SentRequest& sent,
                          const http1::Response& response) {
  const unsigned status = response.result_int();
  if (sent.is_route_check) {
    CheckRoute(sent, status);
    return;
  }
  if (status == 503 || status == 429 || status == 408 || status == 421) {
    ++report_.refused;
    if (!sent.is_idempotent) {
      refused_ids_.push_back(sent.id);
    }
    return;
  }
  if (status == 502 || status == 504) {
    ++report_.unknown;
    return;
  }
  if (status != 200) {
    AddViolation(sent.id + ": status " + std::to_string(status));
    return;
  }
  ++report_.answered;
  if (sent.is_idempotent) {
    CheckMergedAnswer(sent, response);
    return;
  }
  const std::string stamp(response["Medlarspread-Leaf-Stamp"]);
  if (stamp.find("s1-") == std::string::npos || !IsStamp(stamp) ||
      response.body() != HostedLeaf::RecordOf("s1") ||
      response["Medlarspread-Request-Id"] != sent.id) {
    AddViolation(sent.id + ": not the reply of a leaf of its service");
  }
}

bool SoakRun::IsStamp(const std::string& text) const {
  return std::any_of(leaves_.begin(), leaves_.end(), [&](const auto& leaf) {
    return text == "stamp-" + leaf->leaf->id();
  });
}

void SoakRun::CheckMergedAnswer(const SentRequest& sent,
                                const http1::Response& response) {
  const std::string stamps(response["Medlarspread-Part-Stamps"]);
  const std::string missing(response["Medlarspread-Missing-Parts"]);
  std::istringstream list(stamps);
  for (std::string stamp; std::getline(list >> std::ws, stamp, ',');) {
    if (!IsStamp(stamp)) {
      AddViolation(sent.id + ": no leaf has the stamp " + stamp);
    }
  }
  std::vector<std::string> records;
  for (const std::string& service : kServices) {
    const auto first = stamps.find("stamp-" + service + "-");
    if (first == std::string::npos) {
      continue;
    }
    records.push_back(HostedLeaf::RecordOf(service));
    if (stamps.find("stamp-" + service + "-", first + 1) != std::string::npos) {
      AddViolation(sent.id + ": two stamps of one shard: " + stamps);
    }
  }
  if (records.size() + std::stoul(missing) != kServices.size() ||
      records.size() < 2) {
    AddViolation(sent.id + ": " + stamps + " and " + missing + " missing");
  }
  std::sort(records.rbegin(), records.rend());
  records.resize(std::min<std::size_t>(records.size(), 2));
  std::string expected;
  for (const std::string& record : records) {
    expected += record;
  }
  if (response.body() != expected) {
    AddViolation(sent.id + ": not the greatest records of " + stamps);
  }
}

void SoakRun::CheckRoute(const SentRequest& sent, unsigned status) {
  Daemon& daemon = daemons_[sent.daemon];
  report_.checked_routes += sent.is_due ? 1 : 0;
  if (sent.is_due && status == 404) {
    AddViolation(sent.id + ": " + daemon.name + " has not applied revision " +
                 std::to_string(sent.revision) + " in time");
  }
  const bool is_applied = status != 404 && status != 503;
  if (is_applied && sent.revision < daemon.revision_seen) {
    AddViolation(sent.id + ": " + daemon.name + " reverted to revision " +
                 std::to_string(sent.revision) + " from " +
                 std::to_string(daemon.revision_seen));
  }
  if (is_applied) {
    daemon.revision_seen = std::max(daemon.revision_seen, sent.revision);
  }
}

void SoakRun::CheckDrains() {
  for (const auto& leaf : leaves_) {
    if (leaf->draining_since == base::MonotonicTime{}) {
      continue;
    }
    const bool is_calm = now() - last_disturbance_ > kUndisturbed &&
                         leaf->draining_since > last_disturbance_;
    const bool is_due = now() - leaf->draining_since > kDrainBound;
    if (!is_calm || !is_due) {
      leaf->runs_at_bound = -1;
    } else if (leaf->runs_at_bound < 0) {
      leaf->runs_at_bound = leaf->leaf->runs();
    } else if (leaf->leaf->runs() > leaf->runs_at_bound) {
      AddViolation(leaf->leaf->id() +
                   ": got a new request after the drain bound");
      leaf->runs_at_bound = leaf->leaf->runs();
    }
  }
}

void SoakRun::CheckRuns() {
  for (const std::string& id : non_idempotent_ids_) {
    if (RunsOf(id) > 1) {
      AddViolation(id + ": ran " + std::to_string(RunsOf(id)) + " times");
    }
  }
  for (const std::string& id : merged_ids_) {
    std::map<std::string, int> leaves_of;
    for (const auto& leaf : leaves_) {
      leaves_of[leaf->service] += leaf->leaf->RunsOf(id) > 0 ? 1 : 0;
    }
    for (const auto& [service, count] : leaves_of) {
      if (count > kMaxAttempts) {
        std::string text = id;
        text.append(": ran on ").append(std::to_string(count));
        text.append(" leaves of ").append(service);
        AddViolation(text);
      }
    }
  }
  for (const std::string& id : refused_ids_) {
    if (RunsOf(id) > 0) {
      AddViolation(id + ": refused as not executed, but ran");
    }
  }
}

int SoakRun::RunsOf(const std::string& id) const {
  int runs = 0;
  for (const auto& leaf : leaves_) {
    runs += leaf->leaf->RunsOf(id);
  }
  return runs;
}

}  // namespace

SoakReport RunSoak(const SoakOptions& options) {
  return SoakRun(options).Run();
}

}  // namespace medlarspread::soak
