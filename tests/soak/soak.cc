// The world of one run: stand-ins, daemons, callers, faults, checks.

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
constexpr base::Duration kLongestFault = base::Milliseconds(2'500);
// A leaf gets nothing new so long after the store took its word that it
// drains, from daemons that were undisturbed all the while.
constexpr base::Duration kDrainBound = base::Milliseconds(3'000);
// A daemon counts as undisturbed so long after its last fault.
constexpr base::Duration kCalm = base::Milliseconds(3'000);
// A change of the routes is in force so long after the store took it, at
// daemons that were in touch with it for the whole of the second time.
constexpr base::Duration kInForceBound = base::Milliseconds(3'000);
constexpr base::Duration kInTouch = base::Milliseconds(5'000);
// How old a copy of the store may be, how long the store is away before it
// comes back from it, and how soon its writers have written again what was
// lost.
constexpr base::Duration kLeastCopyAge = base::Milliseconds(100);
constexpr base::Duration kMostCopyAge = base::Milliseconds(10'000);
constexpr base::Duration kLongestRestore = base::Milliseconds(3'000);
constexpr base::Duration kWrittenAgain = base::Milliseconds(1'800);
// After a restore operators change the routes within this time.
constexpr base::Duration kChangesAfterRestore = base::Milliseconds(2'500);
constexpr base::Duration kKnownBeforeRestore = base::Milliseconds(1'500);
// Leaves write this often, all of them together; it carries the store's
// revisions on.
constexpr base::Duration kHeartbeat = base::Milliseconds(50);
// The store and the daemons are disturbed for a while, then left alone for long
// enough to check the bounds that hold only then.
constexpr base::Duration kStormy = base::Milliseconds(4'000);
constexpr base::Duration kQuiet = base::Milliseconds(10'000);
// Of the route to all shards, as Configure() writes it.
constexpr int kMostAttempts = 2;
// A caller that sends a deadly request: each time once more if it fails.
constexpr base::Duration kDeadlyGap = base::Milliseconds(1'500);
constexpr base::Duration kDeadlyDown = base::Milliseconds(1'000);
// After so many leaves, and so long without a disturbance of the store or a
// daemon, all must know it; so many tries may reach leaves after that.
constexpr int kLeavesToKnow = 3;
constexpr base::Duration kKnownAfter = base::Milliseconds(4'000);
constexpr int kMostTriesOnceKnown = 3;
const std::vector<std::string> kServices = {"s1", "s2", "s3"};
// A leaf of the one service ends, and one of the other starts at its address.
constexpr const char* kServiceThatLosesALeaf = "s2";
constexpr const char* kServiceOfTenant = "s3";
constexpr base::Duration kReuseBegin = base::Milliseconds(4'000);
constexpr base::Duration kAddressFree = base::Milliseconds(1'000);
// From the end of the leaf until its entry goes.
constexpr base::Duration kEntryStands = base::Milliseconds(7'000);
constexpr base::Duration kWork = base::Milliseconds(2);
constexpr base::Duration kSlowWork = base::Milliseconds(120);
// What daemons are told that leaves bear beyond the first sends.
constexpr admission::ExtraSendBound kExtraSends{0.2, 50.0,
                                                base::Milliseconds(10'000)};

struct Leaf {
  std::unique_ptr<HostedLeaf> leaf;
  std::unique_ptr<FaultProxy> proxy;
  std::string service;
  bool is_ended = false;
  // Since when it drains; zero while it serves.
  base::MonotonicTime draining_since;
  // What it had run when it must have got nothing new any longer.
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
  // When it was last paused.
  base::MonotonicTime disturbed;
  // The highest revision that an answer of this process has shown.
  int revision_seen = 0;
  std::shared_ptr<http1::ClientConnection> connection;
};

struct Sent {
  std::string id;
  bool is_idempotent = true;
  bool is_probe = false;
  int revision = 0;
  // The route has to be in force.
  bool is_due = false;
  std::size_t daemon = 0;
};

// A key of operators or leaves.
struct Written {
  // Absent if the key was removed.
  std::optional<std::string> value;
  base::MonotonicTime at;
};

class World {
 public:
  explicit World(const SoakOptions& options);
  ~World();

  SoakReport Run();

 private:
  base::MonotonicTime now() const { return clock_.Now(); }
  std::uint64_t Pick(std::uint64_t bound) { return random_.Below(bound); }
  void Violate(const std::string& what) { report_.violations.push_back(what); }

  void AddLeaf(const std::string& service, const std::string& zone);
  void WriteEntry(const Leaf& leaf, const std::string& state);
  // As operators and leaves do.
  void Write(const std::string& key, std::optional<std::string> value);
  void Configure();
  void StartDaemon(std::size_t index);

  void Tick();
  void InjectFault();
  bool is_stormy() const;
  void FaultOnLeaf();
  void FaultOnStore();
  void FaultOnDaemon();
  void Later(base::Duration delay, std::function<void()> task);
  base::Duration RestoreTime(base::Duration least, base::Duration most);
  void Beat();
  void PlanRestore();
  void BeginRestore(int left);
  void Restore(int left);
  void WriteAgain();

  void TryDeadly(int tries_left);
  void DidEndLeaf(Leaf& leaf);
  void CheckDeadly();
  void ReuseAddress();
  void StartTenant(FaultProxy& proxy);
  void EndReuse(const Leaf& leaf);
  void SetWork(const std::string& service, base::Duration work);
  // Every arrival at the leaf counts for its service.
  void CountArrivals(HostedLeaf& leaf, const std::string& service);
  void SendRequests();
  void Send(Sent sent, const std::string& path);
  void DidEnd(const Sent& sent, http1::ExchangeResult result);
  void CheckAnswer(const Sent& sent, const http1::Response& response);
  void CheckGathered(const Sent& sent, const http1::Response& response);
  void CheckProbe(const Sent& sent, unsigned status);
  // Whether the newest route must be in force at the daemon by now.
  bool IsDue(const Daemon& daemon) const;
  void CheckDrains();
  void CheckRuns();
  int RunsOf(const std::string& id) const;

  const SoakOptions options_;
  const base::Clock clock_;
  base::Random random_;
  boost::asio::io_context context_;
  const base::TaskRunner runner_{context_};
  std::filesystem::path folder_;
  HostedStore store_{context_};
  FaultProxy store_proxy_{context_, store_.address()};
  std::vector<std::unique_ptr<Leaf>> leaves_;
  // Leaves that no entry names.
  std::vector<std::unique_ptr<HostedLeaf>> tenants_;
  emulator::ArrivalRecord arrivals_;
  std::vector<Daemon> daemons_;
  int revision_ = 0;
  int next_leaf_ = 0;
  int next_request_ = 0;
  base::MonotonicTime began_;
  base::MonotonicTime end_;
  base::MonotonicTime next_fault_;
  // By key.
  std::map<std::string, Written> written_;
  // When the store last took the newest configuration.
  base::MonotonicTime configured_;
  base::MonotonicTime copied_;
  // The same for the store and the way to it.
  base::MonotonicTime store_disturbed_;
  // When anything was last done to the store, to a link, or to a daemon.
  base::MonotonicTime last_disturbance_;
  std::vector<std::string> once_;
  std::vector<std::string> gathered_;
  std::vector<std::string> refused_;
  // Draws for the deadly request, so that the other faults stay as they are.
  base::Random deadly_random_;
  // Draws for restores, for the same reason.
  base::Random restore_random_;
  // When all must know it; zero before enough leaves have ended.
  base::MonotonicTime known_at_;
  // Its tries at undisturbed daemons after that.
  std::vector<std::string> tries_once_known_;
  SoakReport report_;
};

World::World(const SoakOptions& options)
    : options_(options),
      random_(options.seed),
      deadly_random_(options.seed),
      restore_random_(options.seed) {
  std::string pattern =
      std::filesystem::temp_directory_path().string() + "/soak.XXXXXX";
  folder_ = mkdtemp(pattern.data());
  for (const std::string& service : kServices) {
    for (const char* zone : {"n1", "n1", "n2"}) {
      AddLeaf(service, zone);
    }
  }
  Configure();
}

World::~World() {
  daemons_.clear();
  std::filesystem::remove_all(folder_);
}

void World::AddLeaf(const std::string& service, const std::string& zone) {
  auto leaf = std::make_unique<Leaf>();
  leaf->service = service;
  leaf->leaf = std::make_unique<HostedLeaf>(
      context_, service + "-" + std::to_string(next_leaf_++), service, zone);
  leaf->proxy = std::make_unique<FaultProxy>(context_, leaf->leaf->address());
  CountArrivals(*leaf->leaf, service);
  WriteEntry(*leaf, "ready");
  leaf->leaf->set_did_end([this, ended = leaf.get()] { DidEndLeaf(*ended); });
  leaves_.push_back(std::move(leaf));
}

void World::WriteEntry(const Leaf& leaf, const std::string& state) {
  Write("servers/" + leaf.leaf->id(),
        leaf.leaf->MakeEntry(state, leaf.proxy->address()));
}

void World::Write(const std::string& key, std::optional<std::string> value) {
  if (value) {
    store_.Put(key, *value);
  } else {
    store_.Remove(key);
  }
  written_[key] = {std::move(value), now()};
}

// Each revision has a route of its own beside the lasting ones: a daemon that
// knows it must never again take the route of an earlier revision.
void World::Configure() {
  ++revision_;
  configured_ = now();
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

void World::StartDaemon(std::size_t index) {
  Daemon daemon;
  daemon.name = "vm" + std::to_string(index);
  const std::filesystem::path file = folder_ / (daemon.name + ".ini");
  // Peers are told these addresses, so a daemon can't leave them to the system.
  const int peer_port = tests::FreePort();
  const int query_port = tests::FreePort();
  // Two domains; the last daemon is small and hands requests to the first.
  const bool is_small = index + 1 == static_cast<std::size_t>(options_.daemons);
  const std::string domain = index % 2 == 0 ? "n1" : "n2";
  std::ofstream(file) << "[vm]\nname = " << daemon.name
                      << "\nregion = r\nfailure_domain = " << domain
                      << "\nregions = n1=r, n2=r\nprocessor_share = "
                      << (is_small ? "0.1" : "1")
                      << "\n[extra_sends]\nshare = " << kExtraSends.share
                      << "\nslack = " << kExtraSends.slack
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
    // What it printed tells why, for example that another process has taken
    // one of the two ports meanwhile.
    const auto status = daemon.process->AwaitExit(std::chrono::seconds(1));
    Violate(daemon.name + " did not start, exit status " +
            (status ? std::to_string(*status) : "none") + ", ports " +
            std::to_string(peer_port) + " and " + std::to_string(query_port));
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

SoakReport World::Run() {
  for (int index = 0; index < options_.daemons; ++index) {
    StartDaemon(static_cast<std::size_t>(index));
  }
  began_ = now();
  end_ = began_ + options_.length;
  next_fault_ = now() + kFaultInterval * 3;
  last_disturbance_ = now();
  Tick();
  if (options_.has_deadly_request) {
    Later(kDeadlyGap, [this] { TryDeadly(2); });
  }
  if (options_.has_restores) {
    Beat();
    PlanRestore();
  }
  if (options_.has_reused_address) {
    Later(kReuseBegin, [this] { ReuseAddress(); });
  }
  // What is in flight at the end may take its whole deadline.
  context_.run_for(options_.length + std::chrono::milliseconds(2'500));
  CheckRuns();
  CheckDeadly();
  for (const std::string& excess : arrivals_.FindExcess(kExtraSends)) {
    Violate(excess);
  }
  return report_;
}

void World::Tick() {
  if (now() >= end_) {
    return;
  }
  if (now() >= next_fault_) {
    InjectFault();
    next_fault_ = now() + kFaultInterval / 2 +
                  base::Duration(static_cast<std::int64_t>(Pick(
                      static_cast<std::uint64_t>(kFaultInterval.count()))));
  }
  SendRequests();
  CheckDrains();
  Later(kStep, [this] { Tick(); });
}

void World::Later(base::Duration delay, std::function<void()> task) {
  (void)runner_.After(delay, std::move(task));
}

void World::InjectFault() {
  ++report_.faults;
  const auto kind = Pick(4);
  if (kind < 2 && is_stormy()) {
    kind == 0 ? FaultOnStore() : FaultOnDaemon();
    return;
  }
  FaultOnLeaf();
}

bool World::is_stormy() const {
  const base::Duration since = now() - began_;
  return since % (kStormy + kQuiet) < kStormy;
}

void World::FaultOnLeaf() {
  Leaf& leaf = *leaves_[Pick(leaves_.size())];
  const base::Duration length = kLongestFault / (1 + Pick(4));
  const auto kind = Pick(5);
  if (leaf.is_ended) {
    return;
  }
  switch (kind) {
    case 0: {
      // One that drains is replaced, so that its shard stays whole.
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
      leaf.leaf->set_behavior(kMoods[Pick(3)]);
      Later(length,
            [&leaf] { leaf.leaf->set_behavior(LeafBehavior::kAnswer); });
      return;
    }
    default: {
      constexpr LinkFault kFaults[] = {LinkFault::kDelay, LinkFault::kReset,
                                       LinkFault::kOneWay, LinkFault::kSilent};
      leaf.proxy->set_fault(kFaults[Pick(4)]);
      Later(length, [&leaf] { leaf.proxy->set_fault(LinkFault::kNone); });
    }
  }
}

void World::FaultOnStore() {
  last_disturbance_ = now() + kLongestFault;
  store_disturbed_ = std::max(store_disturbed_, last_disturbance_);
  const base::Duration length = kLongestFault / (1 + Pick(4));
  switch (Pick(4)) {
    case 0:
      store_.ForgetHistory();
      return;
    case 1:
      store_.set_silent(true);
      Later(length, [this] { store_.set_silent(false); });
      return;
    default: {
      constexpr LinkFault kFaults[] = {LinkFault::kDelay, LinkFault::kReset,
                                       LinkFault::kOneWay, LinkFault::kSilent};
      store_proxy_.set_fault(kFaults[Pick(4)]);
      Later(length, [this] { store_proxy_.set_fault(LinkFault::kNone); });
    }
  }
}

base::Duration World::RestoreTime(base::Duration least, base::Duration most) {
  const auto span = static_cast<std::uint64_t>((most - least).count());
  return least +
         base::Duration(static_cast<std::int64_t>(restore_random_.Below(span)));
}

void World::Beat() {
  store_.Put("heartbeats", std::to_string(now().microseconds));
  Later(kHeartbeat, [this] { Beat(); });
}

void World::PlanRestore() {
  store_.TakeCopy();
  copied_ = now();
  const base::Duration age = RestoreTime(kLeastCopyAge, kMostCopyAge);
  // A change that daemons have taken and that will be lost.
  Later(std::max(base::Duration{}, age - kKnownBeforeRestore),
        [this] { Configure(); });
  Later(age, [this] { BeginRestore(restore_random_.Below(3) == 0 ? 2 : 1); });
}

void World::BeginRestore(int left) {
  const bool is_away = restore_random_.Below(4) > 0;
  const base::Duration away =
      is_away ? RestoreTime(kLongestRestore / 15, kLongestRestore)
              : base::Duration{};
  last_disturbance_ = std::max(last_disturbance_, now() + away);
  store_disturbed_ = std::max(store_disturbed_, now() + away);
  store_.set_silent(is_away);
  Later(away, [this, left] { Restore(left); });
}

void World::Restore(int left) {
  ++report_.restores;
  store_.RestoreCopy();
  store_.set_silent(false);
  WriteAgain();
  for (int change = 0; change < 2; ++change) {
    Later(RestoreTime({}, kChangesAfterRestore), [this] { Configure(); });
  }
  if (left > 1) {
    Later(RestoreTime({}, kLongestRestore),
          [this, left] { BeginRestore(left - 1); });
  } else {
    Later(kInTouch + kInForceBound, [this] { PlanRestore(); });
  }
}

void World::WriteAgain() {
  for (const auto& [key, written] : written_) {
    if (written.at < copied_) {
      continue;
    }
    const base::Duration delay = RestoreTime({}, kWrittenAgain);
    if (key == "op/config") {
      configured_ = now() + delay;
    }
    Later(delay, [this, key = key] { Write(key, written_[key].value); });
  }
}

bool World::IsDue(const Daemon& daemon) const {
  return now() - configured_ > kInForceBound &&
         now() - store_disturbed_ > kInTouch &&
         now() - daemon.started > kInTouch &&
         now() - daemon.disturbed > kInTouch && !daemon.is_paused &&
         !daemon.is_stopping;
}

void World::FaultOnDaemon() {
  const std::size_t index = Pick(daemons_.size());
  Daemon& daemon = daemons_[index];
  if (Pick(3) == 0) {
    Configure();
    return;
  }
  if (daemon.is_gone || daemon.is_paused || daemon.is_stopping) {
    return;
  }
  last_disturbance_ = now() + kLongestFault;
  const auto restart = [this, index] { StartDaemon(index); };
  switch (Pick(4)) {
    case 0:
      daemon.is_paused = true;
      daemon.process->Signal(SIGSTOP);
      Later(kLongestFault / 2, [this, index] {
        daemons_[index].process->Signal(SIGCONT);
        daemons_[index].is_paused = false;
        daemons_[index].disturbed = now();
      });
      return;
    case 1:
      daemon.is_gone = true;
      daemon.process->Signal(SIGKILL);
      Later(base::Milliseconds(400), restart);
      return;
    case 2:
      daemon.process->Signal(SIGHUP);
      return;
    default:
      daemon.is_stopping = true;
      daemon.process->Signal(SIGTERM);
      // Callers go on using the connection until the process is gone.
      Later(base::Milliseconds(6'200), restart);
  }
}

void World::TryDeadly(int tries_left) {
  if (now() >= end_) {
    return;
  }
  const bool is_last = tries_left == 1;
  const auto again = [this, is_last, tries_left] {
    Later(is_last ? kDeadlyGap : kStep, [this, is_last, tries_left] {
      TryDeadly(is_last ? 2 : tries_left - 1);
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
  const bool is_calm = now() - last_disturbance_ > kKnownAfter &&
                       now() - daemon.started > kKnownAfter;
  if (is_calm && known_at_ != base::MonotonicTime{} && now() > known_at_) {
    tries_once_known_.push_back(id);
  }
  auto request = std::make_shared<http1::Request>(boost::beast::http::verb::get,
                                                  "/all/deadly", kHttpVersion);
  request->set("Host", "h");
  request->set("Medlarspread-Request-Id", id);
  request->set("Medlarspread-Deadline-Ms", "800");
  http1::Exchange exchange;
  exchange.request = request;
  exchange.is_mine = [](const http1::Response&) { return true; };
  exchange.done = [this, connection, again,
                   id](const http1::ExchangeResult& result) {
    const auto* response = std::get_if<http1::Response>(&result);
    if (response != nullptr && response->result_int() == 200) {
      Violate(id + ": a request that ends leaves was answered");
    }
    if (response != nullptr && response->result_int() == 503) {
      refused_.push_back(id);
    }
    again();
  };
  connection->Start(std::move(exchange));
}

void World::DidEndLeaf(Leaf& leaf) {
  if (std::exchange(leaf.is_ended, true)) {
    return;
  }
  leaf.proxy->Close();
  if (++report_.leaves_ended == kLeavesToKnow) {
    known_at_ = now() + kKnownAfter;
  }
  Later(kDeadlyDown, [this, &leaf] {
    Write("servers/" + leaf.leaf->id(), std::nullopt);
    AddLeaf(leaf.service, "n1");
  });
}

void World::CheckDeadly() {
  const auto reached =
      std::count_if(tries_once_known_.begin(), tries_once_known_.end(),
                    [this](const std::string& id) { return RunsOf(id) > 0; });
  if (reached > kMostTriesOnceKnown) {
    Violate("a request under which leaves had ended reached leaves in " +
            std::to_string(reached) + " tries more; " +
            std::to_string(report_.leaves_ended) + " ended in all");
  }
}

void World::CountArrivals(HostedLeaf& leaf, const std::string& service) {
  leaf.set_did_arrive([this, service](const std::string& request_id) {
    (void)arrivals_.DidArrive(request_id, service, now());
  });
}

void World::SetWork(const std::string& service, base::Duration work) {
  for (const auto& leaf : leaves_) {
    if (leaf->service == service) {
      leaf->leaf->set_work(work);
    }
  }
}

void World::ReuseAddress() {
  const auto ended =
      std::find_if(leaves_.begin(), leaves_.end(), [](const auto& leaf) {
        return leaf->service == kServiceThatLosesALeaf && !leaf->is_ended &&
               leaf->draining_since == base::MonotonicTime{};
      });
  if (ended == leaves_.end()) {
    return;
  }
  last_disturbance_ = now() + kEntryStands;
  store_disturbed_ = std::max(store_disturbed_, last_disturbance_);
  store_proxy_.set_fault(LinkFault::kSilent);
  SetWork(kServiceThatLosesALeaf, kSlowWork);
  Leaf& leaf = **ended;
  leaf.is_ended = true;
  leaf.proxy->set_fault(LinkFault::kReset);
  leaf.leaf->End();
  Later(kAddressFree, [this, &leaf] { StartTenant(*leaf.proxy); });
  Later(kEntryStands, [this, &leaf] { EndReuse(leaf); });
}

void World::StartTenant(FaultProxy& proxy) {
  auto tenant = std::make_unique<HostedLeaf>(
      context_, "tenant-" + std::to_string(tenants_.size()), kServiceOfTenant,
      "n1");
  tenant->set_did_arrive([this](const std::string& request_id) {
    ++report_.arrivals_at_reused_address;
    (void)arrivals_.DidArrive(request_id, kServiceOfTenant, now());
  });
  proxy.set_target(tenant->address());
  proxy.set_fault(LinkFault::kNone);
  tenants_.push_back(std::move(tenant));
}

void World::EndReuse(const Leaf& leaf) {
  store_proxy_.set_fault(LinkFault::kNone);
  SetWork(kServiceThatLosesALeaf, kWork);
  Write("servers/" + leaf.leaf->id(), std::nullopt);
  AddLeaf(leaf.service, "n1");
}

void World::SendRequests() {
  for (std::size_t index = 0; index < daemons_.size(); ++index) {
    Daemon& daemon = daemons_[index];
    const bool is_busy = daemon.connection && !daemon.connection->is_closed() &&
                         !daemon.connection->is_free();
    if (daemon.is_gone || is_busy) {
      continue;
    }
    Sent sent;
    sent.id = "r" + std::to_string(next_request_++);
    sent.daemon = index;
    switch (Pick(4)) {
      case 0:
        sent.is_idempotent = false;
        Send(sent, "/pay/1");
        break;
      case 1:
        sent.is_probe = true;
        sent.revision = revision_ - static_cast<int>(Pick(2));
        sent.is_due = sent.revision == revision_ && IsDue(daemon);
        Send(sent, "/v" + std::to_string(sent.revision) + "/1");
        break;
      default:
        gathered_.push_back(sent.id);
        Send(sent, "/all/1");
    }
  }
}

void World::Send(Sent sent, const std::string& path) {
  Daemon& daemon = daemons_[sent.daemon];
  if (!daemon.connection || daemon.connection->is_closed()) {
    if (daemon.is_stopping) {
      // The balancer sends no new connections to a daemon that stops.
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
    once_.push_back(sent.id);
  }
  auto request = std::make_shared<http1::Request>(boost::beast::http::verb::get,
                                                  path, kHttpVersion);
  request->set("Host", "h");
  request->set("Medlarspread-Request-Id", sent.id);
  request->set("Medlarspread-Deadline-Ms", "800");
  http1::Exchange exchange;
  exchange.request = request;
  exchange.is_mine = [](const http1::Response&) { return true; };
  exchange.done = [this, sent](http1::ExchangeResult result) {
    DidEnd(sent, std::move(result));
  };
  daemon.connection->Start(std::move(exchange));
}

void World::DidEnd(const Sent& sent, http1::ExchangeResult result) {
  if (const auto* response = std::get_if<http1::Response>(&result)) {
    CheckAnswer(sent, *response);
    return;
  }
  ++report_.unknown;
  const Daemon& daemon = daemons_[sent.daemon];
  const bool is_planned =
      daemon.is_stopping && !daemon.is_gone && !daemon.is_paused;
  // A request that crosses the close of its connection is not lost.
  if (is_planned && RunsOf(sent.id) > 0) {
    Violate(sent.id + ": cut off by a planned stop of " + daemon.name);
  }
}

void World::CheckAnswer(const Sent& sent, const http1::Response& response) {
  const unsigned status = response.result_int();
  if (sent.is_probe) {
    CheckProbe(sent, status);
    return;
  }
  if (status == 503 || status == 429 || status == 408 || status == 421) {
    ++report_.refused;
    if (!sent.is_idempotent) {
      refused_.push_back(sent.id);
    }
    return;
  }
  if (status == 502 || status == 504) {
    ++report_.unknown;
    return;
  }
  if (status != 200) {
    Violate(sent.id + ": status " + std::to_string(status));
    return;
  }
  ++report_.answered;
  if (sent.is_idempotent) {
    CheckGathered(sent, response);
    return;
  }
  const std::string stamp(response["Medlarspread-Leaf-Stamp"]);
  if (stamp.find("s1-") == std::string::npos ||
      response.body() != HostedLeaf::RecordOf("s1") ||
      response["Medlarspread-Request-Id"] != sent.id) {
    Violate(sent.id + ": not the answer of its leaf");
  }
}

void World::CheckGathered(const Sent& sent, const http1::Response& response) {
  const std::string proofs(response["Medlarspread-Part-Stamps"]);
  const std::string missing(response["Medlarspread-Missing-Parts"]);
  std::vector<std::string> records;
  for (const std::string& service : kServices) {
    const auto first = proofs.find("stamp-" + service + "-");
    if (first == std::string::npos) {
      continue;
    }
    records.push_back(HostedLeaf::RecordOf(service));
    if (proofs.find("stamp-" + service + "-", first + 1) != std::string::npos) {
      Violate(sent.id + ": two proofs of one shard: " + proofs);
    }
  }
  if (records.size() + std::stoul(missing) != kServices.size() ||
      records.size() < 2) {
    Violate(sent.id + ": " + proofs + " and " + missing + " missing");
  }
  std::sort(records.rbegin(), records.rend());
  records.resize(std::min<std::size_t>(records.size(), 2));
  std::string expected;
  for (const std::string& record : records) {
    expected += record;
  }
  if (response.body() != expected) {
    Violate(sent.id + ": not the greatest records of " + proofs);
  }
}

void World::CheckProbe(const Sent& sent, unsigned status) {
  Daemon& daemon = daemons_[sent.daemon];
  report_.checked_routes += sent.is_due ? 1 : 0;
  if (sent.is_due && status == 404) {
    Violate(sent.id + ": " + daemon.name + " does not know revision " +
            std::to_string(sent.revision) + " in time");
  }
  const bool is_taken = status != 404 && status != 503;
  if (is_taken && sent.revision < daemon.revision_seen) {
    Violate(sent.id + ": " + daemon.name + " went back to revision " +
            std::to_string(sent.revision) + " from " +
            std::to_string(daemon.revision_seen));
  }
  if (is_taken) {
    daemon.revision_seen = std::max(daemon.revision_seen, sent.revision);
  }
}

void World::CheckDrains() {
  for (const auto& leaf : leaves_) {
    if (leaf->draining_since == base::MonotonicTime{}) {
      continue;
    }
    const bool is_calm = now() - last_disturbance_ > kCalm &&
                         leaf->draining_since > last_disturbance_;
    const bool is_due = now() - leaf->draining_since > kDrainBound;
    if (!is_calm || !is_due) {
      leaf->runs_at_bound = -1;
    } else if (leaf->runs_at_bound < 0) {
      leaf->runs_at_bound = leaf->leaf->runs();
    } else if (leaf->leaf->runs() > leaf->runs_at_bound) {
      Violate(leaf->leaf->id() + ": sent to after it drained");
      leaf->runs_at_bound = leaf->leaf->runs();
    }
  }
}

void World::CheckRuns() {
  for (const std::string& id : once_) {
    if (RunsOf(id) > 1) {
      Violate(id + ": ran " + std::to_string(RunsOf(id)) + " times");
    }
  }
  for (const std::string& id : gathered_) {
    std::map<std::string, int> leaves_of;
    for (const auto& leaf : leaves_) {
      leaves_of[leaf->service] += leaf->leaf->RunsOf(id) > 0 ? 1 : 0;
    }
    for (const auto& [service, count] : leaves_of) {
      if (count > kMostAttempts) {
        std::string text = id;
        text.append(": ran on ").append(std::to_string(count));
        text.append(" leaves of ").append(service);
        Violate(text);
      }
    }
  }
  for (const std::string& id : refused_) {
    if (RunsOf(id) > 0) {
      Violate(id + ": refused as not run, and ran");
    }
  }
}

int World::RunsOf(const std::string& id) const {
  int runs = 0;
  for (const auto& leaf : leaves_) {
    runs += leaf->leaf->RunsOf(id);
  }
  return runs;
}

}  // namespace

SoakReport RunSoak(const SoakOptions& options) {
  return World(options).Run();
}

}  // namespace medlarspread::soak
