// Implements the steps listed in virtual_fleet.h.

#include "emulator/fleet/virtual_fleet.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "src/base/overloaded.h"
#include "src/quarantine/verdict_entry.h"

namespace medlarspread::emulator {

namespace {

// Callers honour a retry delay of up to their remaining time divided by this.
constexpr int kMaxPauseDivisor = 3;
constexpr std::size_t kMaxViolations = 20;
// Number of crashes after which daemons should recognise a deadly request.
constexpr int kCrashesToRecognize = 3;
constexpr double kMicrosecondsPerSecond = 1e6;

// Offsets added to the plan's seed, one per random stream.
constexpr std::uint64_t kArrivalsStream = 1'000'000'007;
constexpr std::uint64_t kFaultStream = 2'000'000'011;

std::string RegionName(int index) {
  return "r" + std::to_string(index);
}

std::string PrefixOf(const ClassPlan& plan) {
  return "/" + plan.name + "/";
}

}  // namespace

std::string DomainName(const FleetPlan& plan, int region, int domain) {
  const std::string name = RegionName(region);
  return plan.domains_per_region == 1 ? name
                                      : name + "." + std::to_string(domain);
}

std::string CollectionName(int index) {
  return "c" + std::to_string(index);
}

double CallerCounts::share_in_time() const {
  return asked == 0 ? 1.0 : static_cast<double>(in_time) / asked;
}

double CallerCounts::mean_credit() const {
  return asked == 0 ? 1.0 : credit / asked;
}

CallerCounts& CallerCounts::operator+=(const CallerCounts& other) {
  asked += other.asked;
  in_time += other.in_time;
  late += other.late;
  refused += other.refused;
  failed += other.failed;
  missing += other.missing;
  credit += other.credit;
  latencies.insert(latencies.end(), other.latencies.begin(),
                   other.latencies.end());
  return *this;
}

CallerCounts FleetReport::Sum(int first,
                              int last,
                              const std::string& name) const {
  CallerCounts sum;
  for (const auto& [class_name, seconds] : classes) {
    if (!name.empty() && class_name != name) {
      continue;
    }
    for (int second = std::max(0, first);
         second < std::min<int>(last, static_cast<int>(seconds.size()));
         ++second) {
      sum += seconds[static_cast<std::size_t>(second)];
    }
  }
  return sum;
}

VirtualFleet::VirtualFleet(FleetPlan plan)
    : plan_(std::move(plan)),
      arrivals_random_(plan_.seed + kArrivalsStream),
      fault_random_(plan_.seed + kFaultStream),
      random_(std::make_shared<base::Random>(plan_.seed)),
      world_{plan_,   clock_, runner_,
             random_, {},     {},
             {},      {},     std::make_shared<VirtualStore>(runner_)} {
  world_.deadly = [this](const std::string& request_id) {
    const auto row = deadly_by_request_.find(request_id);
    return row == deadly_by_request_.end() ? nullptr : row->second;
  };
  world_.draw_work = [this](const std::string& request_id) {
    const ClassPlan& plan = plan_.classes[static_cast<std::size_t>(
        class_by_request_.at(request_id))];
    // Box-Muller transform: two uniform numbers give one normal deviate.
    constexpr double kTwoPi = 6.283185307179586;
    const double normal = std::sqrt(-2.0 * std::log(1.0 - random_->Unit())) *
                          std::cos(kTwoPi * random_->Unit());
    const double factor = std::exp(plan.work_spread * normal -
                                   plan.work_spread * plan.work_spread / 2.0);
    return base::Duration(static_cast<std::int64_t>(
        factor * static_cast<double>(plan.mean_work.count())));
  };
  world_.did_arrive = [this](const std::string& id, const std::string& leaf) {
    CountArrival(id, leaf);
  };
  world_.did_run = [this](const std::string& id) {
    if (const DeadlyRequest* deadly = world_.deadly(id)) {
      DeadlyCounts& counts = deadly_[deadly];
      if (++counts.crashes == kCrashesToRecognize) {
        counts.known_at = clock_.Now() + plan_.known_after;
      }
    }
    const auto& plan =
        plan_.classes[static_cast<std::size_t>(class_by_request_.at(id))];
    if (++runs_[id] > 1 && !plan.is_idempotent) {
      RecordViolation(id + " is not idempotent and ran twice");
    }
  };
  MakeLeaves();
  MakeRoutes();
  MakeDaemons();
}

VirtualFleet::~VirtualFleet() = default;

void VirtualFleet::AddLeaf(const std::string& collection,
                           int region,
                           int domain,
                           const LeafPlan& plan,
                           double speed) {
  blackboard::Upstream leaf;
  leaf.collection = collection;
  leaf.region = RegionName(region);
  leaf.failure_domain = DomainName(plan_, region, domain);
  leaf.name = collection + "-" + leaf.failure_domain;
  leaf.slots = plan.slots;
  leaf.connections = plan.connections;
  leaves_.upstreams[leaf.name] = leaf;
  world_.leaves[leaf.name] = std::make_shared<VirtualLeaf>(
      leaf, plan, speed, clock_, runner_, random_);
}

void VirtualFleet::MakeLeaves() {
  for (int collection = 0; collection < plan_.collections; ++collection) {
    for (int region = 0; region < plan_.regions; ++region) {
      // The region with the fast leaf differs between shards.
      const int speed = collection + region;
      AddLeaf(
          CollectionName(collection), region, 0, plan_.leaves,
          plan_.speeds[static_cast<std::size_t>(speed) % plan_.speeds.size()]);
    }
  }
  if (!plan_.single_leaves) {
    return;
  }
  for (int region = 0; region < plan_.regions; ++region) {
    for (int domain = 0; domain < plan_.domains_per_region; ++domain) {
      AddLeaf(kSingleCollection, region, domain, *plan_.single_leaves, 1.0);
    }
  }
}

void VirtualFleet::MakeRoutes() {
  routes_.revision = 1;
  for (const ClassPlan& plan : plan_.classes) {
    auto route = std::make_shared<blackboard::WorkRoute>();
    route->targets.name = plan.name;
    route->targets.latency = plan.target;
    route->targets.coverage = plan.coverage;
    route->host = "fleet";
    route->prefix = PrefixOf(plan);
    route->is_idempotent = plan.is_idempotent;
    route->most_attempts = plan.most_attempts;
    route->timeout = plan.deadline;
    if (plan.shards == 1) {
      route->destination = blackboard::OneCollection{
          plan.collection.empty() ? CollectionName(0) : plan.collection};
    } else {
      blackboard::AllShards all;
      all.most_records = 1;
      for (int shard = 0; shard < plan.shards; ++shard) {
        all.shards.push_back(CollectionName(shard));
      }
      route->destination = std::move(all);
    }
    routes_.routes.push_back(std::move(route));
    report_.classes[plan.name].resize(
        static_cast<std::size_t>(plan_.length / base::Milliseconds(1'000) + 1));
  }
}

void VirtualFleet::MakeDaemons() {
  for (int region = 0; region < plan_.regions; ++region) {
    for (int index = 0; index < plan_.daemons_per_region; ++index) {
      const int domain = index % plan_.domains_per_region;
      const int place = index / plan_.domains_per_region;
      const bool has_strong = plan_.strong_per_domain > 0;
      blackboard::Member member;
      member.name = RegionName(region) + "-d" + std::to_string(index);
      member.region = RegionName(region);
      member.failure_domain = DomainName(plan_, region, domain);
      // Daemons handle requests of others only if some are on strong VMs.
      member.query_address = has_strong || plan_.tells ? member.name : "";
      member.processor_share = has_strong && place >= plan_.strong_per_domain
                                   ? plan_.weak_share
                                   : 1.0;
      members_.members[member.name] = member;
    }
  }
  daemons_.resize(members_.members.size());
  StartDaemons();
}

void VirtualFleet::StartDaemons() {
  auto member = members_.members.begin();
  for (auto& daemon : daemons_) {
    daemon = std::make_unique<VirtualDaemon>(world_, member->second, members_,
                                             leaves_, routes_);
    world_.daemons[member->first] = daemon.get();
    ++member;
  }
}

FleetReport VirtualFleet::Run() {
  ScheduleFaults();
  for (int index = 0; index < static_cast<int>(plan_.classes.size()); ++index) {
    ScheduleCaller(index);
  }
  for (const DeadlyRequest& deadly : plan_.deadly_requests) {
    ScheduleDeadly(deadly);
  }
  scheduler_->Advance(plan_.length);
  base::Duration longest{};
  for (const ClassPlan& plan : plan_.classes) {
    longest = std::max(longest, plan.deadline);
  }
  // Also wait until the retries of the last requests have ended.
  scheduler_->Advance(3 * longest);
  CheckExtraSends();
  CheckDeadly();
  report_.convictions = world_.convictions;
  report_.verdicts = static_cast<int>(world_.store->rows().size());
  for (const auto& [key, value] : world_.store->rows()) {
    const auto entry = quarantine::DecodeVerdict(value);
    const bool is_standing =
        entry && (entry->state == blackboard::QuarantineState::kConvicted ||
                  entry->state == blackboard::QuarantineState::kRetried);
    report_.standing_verdicts += is_standing ? 1 : 0;
  }
  report_.store_writes = world_.store->writes();
  for (const auto& [name, leaf] : world_.leaves) {
    report_.connection_resets += leaf->resets();
  }
  return report_;
}

void VirtualFleet::ScheduleFaults() {
  for (const Fault& fault : plan_.faults) {
    (void)runner_.After(fault.begin, [this, &fault] { Begin(fault); });
    (void)runner_.After(fault.end, [this, &fault] { End(fault); });
  }
}

std::vector<std::shared_ptr<VirtualLeaf>> VirtualFleet::SelectLeaves(
    const Fault& fault) {
  std::vector<std::shared_ptr<VirtualLeaf>> leaves;
  for (const auto& [name, leaf] : world_.leaves) {
    if (fault.collection.empty() ||
        leaf->upstream().collection == fault.collection) {
      leaves.push_back(leaf);
    }
  }
  const auto count = static_cast<std::size_t>(
      std::lround(fault.share * static_cast<double>(leaves.size())));
  while (leaves.size() > count) {
    leaves.erase(leaves.begin() + static_cast<std::ptrdiff_t>(
                                      fault_random_.Below(leaves.size())));
  }
  return leaves;
}

void VirtualFleet::Begin(const Fault& fault) {
  if (fault.kind == FaultKind::kBurst) {
    burst_ = fault.strength;
    return;
  }
  if (fault.kind == FaultKind::kPowerLoss) {
    for (auto& daemon : daemons_) {
      daemon->Kill();
      dead_.push_back(std::move(daemon));
    }
    return;
  }
  if (fault.kind == FaultKind::kFrozenDaemons) {
    Freeze(fault);
    return;
  }
  if (fault.kind == FaultKind::kMuteDaemons) {
    Mute(fault);
    return;
  }
  if (fault.kind == FaultKind::kNoDatagrams) {
    world_.has_datagrams = false;
    return;
  }
  if (fault.kind == FaultKind::kStoreUnavailable) {
    world_.store->SetUnavailable(true);
    return;
  }
  affected_leaves_[&fault] = SelectLeaves(fault);
  for (const auto& leaf : affected_leaves_[&fault]) {
    VirtualLeaf::Faults& faults = leaf->faults();
    switch (fault.kind) {
      case FaultKind::kSlow:
        faults.slowness = fault.strength;
        break;
      case FaultKind::kResets:
        faults.reset_probability = fault.strength;
        break;
      case FaultKind::kSheds:
        faults.shed_probability = fault.strength;
        break;
      case FaultKind::kDark:
        faults.is_dark = true;
        break;
      case FaultKind::kCrash:
        leaf->Crash(fault.end - fault.begin);
        break;
      case FaultKind::kAddressReused:
        leaf->Crash(plan_.length);
        break;
      case FaultKind::kPowerLoss:
      case FaultKind::kBurst:
      case FaultKind::kFrozenDaemons:
      case FaultKind::kMuteDaemons:
      case FaultKind::kNoDatagrams:
      case FaultKind::kStoreUnavailable:
        break;
    }
  }
}

void VirtualFleet::Freeze(const Fault& fault) {
  for (const auto& daemon : daemons_) {
    if (daemon && fault_random_.Unit() < fault.share) {
      daemon->Freeze(start() + fault.end);
    }
  }
}

void VirtualFleet::Mute(const Fault& fault) {
  for (const auto& daemon : daemons_) {
    if (daemon && fault_random_.Unit() < fault.share) {
      daemon->Mute(start() + fault.end);
    }
  }
}

void VirtualFleet::End(const Fault& fault) {
  if (fault.kind == FaultKind::kBurst) {
    burst_ = 1.0;
    return;
  }
  if (fault.kind == FaultKind::kPowerLoss) {
    StartDaemons();
    return;
  }
  if (fault.kind == FaultKind::kNoDatagrams) {
    world_.has_datagrams = true;
    return;
  }
  if (fault.kind == FaultKind::kStoreUnavailable) {
    world_.store->SetUnavailable(false);
    return;
  }
  for (const auto& leaf : affected_leaves_[&fault]) {
    if (fault.kind == FaultKind::kAddressReused) {
      leaf->ReassignAddress(fault.tenant);
    } else {
      leaf->faults() = {};
    }
  }
}

void VirtualFleet::ScheduleCaller(int class_index) {
  const ClassPlan& plan = plan_.classes[static_cast<std::size_t>(class_index)];
  const double gap = -std::log(1.0 - arrivals_random_.Unit()) /
                     (plan.requests_per_second * burst_);
  const base::Duration delay(
      static_cast<std::int64_t>(gap * kMicrosecondsPerSecond));
  (void)runner_.After(delay, [this, class_index] {
    if (clock_.Now() - start() >= plan_.length) {
      return;
    }
    auto caller_request = std::make_shared<CallerRequest>();
    caller_request->class_index = class_index;
    caller_request->began = clock_.Now();
    caller_request->second =
        static_cast<int>((clock_.Now() - start()) / base::Milliseconds(1'000));
    caller_request->target =
        PrefixOf(plan_.classes[static_cast<std::size_t>(class_index)]);
    if (plan_.targets_per_class != 1) {
      const int count =
          CountsOf(*caller_request).asked + 1'000 * caller_request->second;
      caller_request->target += std::to_string(
          plan_.targets_per_class == 0 ? count
                                       : count % plan_.targets_per_class);
    }
    ++CountsOf(*caller_request).asked;
    SendAttempt(caller_request);
    ScheduleCaller(class_index);
  });
}

void VirtualFleet::ScheduleDeadly(const DeadlyRequest& deadly) {
  const auto plan = std::find_if(plan_.classes.begin(), plan_.classes.end(),
                                 [&deadly](const ClassPlan& row) {
                                   return row.name == deadly.class_name;
                                 });
  for (int time = 0; time < deadly.times; ++time) {
    (void)runner_.After(
        deadly.first + time * deadly.gap, [this, plan, &deadly] {
          auto caller_request = std::make_shared<CallerRequest>();
          caller_request->class_index =
              static_cast<int>(plan - plan_.classes.begin());
          caller_request->began = clock_.Now();
          caller_request->deadly = &deadly;
          caller_request->target =
              PrefixOf(*plan) + "deadly" +
              std::to_string(&deadly - plan_.deadly_requests.data());
          SendAttempt(caller_request);
        });
  }
}

void VirtualFleet::CheckDeadly() {
  for (const auto& [deadly, counts] : deadly_) {
    const int retries = static_cast<int>(counts.attempts_after_known.size());
    report_.deadly_crashes += counts.crashes;
    report_.deadly_retries = std::max(report_.deadly_retries, retries);
    if (retries > plan_.max_deadly_retries) {
      RecordViolation(
          "a deadly request that should have been blocked reached leaves in " +
          std::to_string(retries) + " more attempts; " +
          std::to_string(counts.crashes) + " leaf crashes in total");
    }
  }
}

VirtualDaemon* VirtualFleet::PickDaemon() {
  const double others = static_cast<double>(daemons_.size()) - 1.0;
  const double place = random_->Unit() * (plan_.first_daemon_load + others);
  const auto index =
      place < plan_.first_daemon_load
          ? std::size_t{0}
          : 1 + static_cast<std::size_t>(place - plan_.first_daemon_load);
  return daemons_[std::min(index, daemons_.size() - 1)].get();
}

void VirtualFleet::SendAttempt(
    const std::shared_ptr<CallerRequest>& caller_request) {
  const ClassPlan& plan =
      plan_.classes[static_cast<std::size_t>(caller_request->class_index)];
  const base::Duration left =
      caller_request->began + plan.deadline - clock_.Now();
  VirtualDaemon* daemon = PickDaemon();
  ++caller_request->attempts;
  if (daemon == nullptr || daemon->is_frozen()) {
    // No daemon answers; the caller times out after a third of its time.
    (void)runner_.After(left / kMaxPauseDivisor,
                        [this, caller_request] { Retry(caller_request, {}); });
    return;
  }
  query::IncomingRequest request;
  request.request_id = "q" + std::to_string(++requests_);
  request.host = "fleet";
  request.deadline = left;
  request.message = std::make_shared<const http1::Request>(
      boost::beast::http::verb::get, caller_request->target, 11);
  class_by_request_[request.request_id] = caller_request->class_index;
  if (caller_request->deadly != nullptr) {
    deadly_by_request_[request.request_id] = caller_request->deadly;
  }
  const std::string id = request.request_id;
  // A daemon that loses power doesn't answer; the caller's connection hangs.
  (void)runner_.After(
      plan_.links.to_callers, [this, daemon, caller_request, id,
                               request = std::move(request)]() mutable {
        daemon->Submit(std::move(request), [this, caller_request,
                                            id](query::ForwardedAnswer answer) {
          (void)runner_.After(
              plan_.links.to_callers,
              [this, caller_request, id, answer = std::move(answer)] {
                DidAnswer(caller_request, id, answer);
              });
        });
      });
}

void VirtualFleet::DidAnswer(
    const std::shared_ptr<CallerRequest>& caller_request,
    const std::string& request_id,
    const query::ForwardedAnswer& answer) {
  const ClassPlan& plan =
      plan_.classes[static_cast<std::size_t>(caller_request->class_index)];
  int missing = 0;
  if (caller_request->deadly != nullptr) {
    const auto* refused = std::get_if<query::Refused>(&answer);
    if (refused != nullptr && runs_[request_id] > 0) {
      RecordViolation(request_id + " was refused as not run, and ran");
    }
    if (refused != nullptr || plan.is_idempotent) {
      Retry(caller_request, refused ? refused->retry_after : base::Duration{});
    }
    return;
  }
  if (const auto* refused = std::get_if<query::Refused>(&answer)) {
    if (runs_[request_id] > 0) {
      RecordViolation(request_id + " was refused as not run, and ran");
    }
    Retry(caller_request, refused->retry_after);
    return;
  }
  if (std::holds_alternative<query::Unknown>(answer)) {
    if (plan.is_idempotent) {
      Retry(caller_request, {});
    } else {
      ++CountsOf(*caller_request).failed;
    }
    return;
  }
  if (const auto* passed = std::get_if<query::LeafResponse>(&answer)) {
    if (passed->message.result() != http1::Status::ok) {
      ++CountsOf(*caller_request).failed;
      return;
    }
  }
  if (const auto* gathered = std::get_if<query::MergedRecords>(&answer)) {
    missing = gathered->missing;
  }
  const base::Duration latency = clock_.Now() - caller_request->began;
  CallerCounts& counts = CountsOf(*caller_request);
  counts.latencies.push_back(latency);
  if (latency > plan.target) {
    ++counts.late;
    return;
  }
  const double share = 1.0 - static_cast<double>(missing) / plan.shards;
  ++counts.in_time;
  counts.missing += missing;
  counts.credit += share * share;
}

void VirtualFleet::Retry(const std::shared_ptr<CallerRequest>& caller_request,
                         base::Duration pause) {
  const ClassPlan& plan =
      plan_.classes[static_cast<std::size_t>(caller_request->class_index)];
  const base::Duration left =
      caller_request->began + plan.deadline - clock_.Now();
  constexpr int kMaxAttempts = 2;
  if (caller_request->attempts >= kMaxAttempts || left <= base::Duration{}) {
    if (caller_request->deadly != nullptr) {
      return;
    }
    CallerCounts& counts = CountsOf(*caller_request);
    ++(pause > base::Duration{} ? counts.refused : counts.failed);
    return;
  }
  (void)runner_.After(std::min(pause, left / kMaxPauseDivisor),
                      [this, caller_request] { SendAttempt(caller_request); });
}

CallerCounts& VirtualFleet::CountsOf(const CallerRequest& caller_request) {
  const std::string& name =
      plan_.classes[static_cast<std::size_t>(caller_request.class_index)].name;
  return report_.classes[name][static_cast<std::size_t>(caller_request.second)];
}

void VirtualFleet::CountArrival(const std::string& request_id,
                                const std::string& leaf) {
  if (const DeadlyRequest* deadly = world_.deadly(request_id)) {
    DeadlyCounts& counts = deadly_[deadly];
    if (counts.known_at && clock_.Now() > *counts.known_at) {
      counts.attempts_after_known.insert(request_id);
    }
  }
  ++report_.sends;
  const bool is_first = arrivals_.DidArrive(
      request_id, world_.leaves.at(leaf)->collection_at_address(),
      clock_.Now());
  report_.extra_sends += is_first ? 0 : 1;
}

// The bound is relative to the requests that callers sent, whether or not they
// reached a leaf. This check counts only those that did, which is stricter.
void VirtualFleet::CheckExtraSends() {
  for (const std::string& excess : arrivals_.FindExcess(
           plan_.checked_extra_sends.value_or(plan_.extra_sends))) {
    RecordViolation(excess);
  }
}

void VirtualFleet::RecordViolation(const std::string& what) {
  if (report_.violations.size() < kMaxViolations) {
    report_.violations.push_back(what);
  }
}

}  // namespace medlarspread::emulator
