// The fleet of the claims bench.

#include "bench/claims/fleet.h"

#include <cmath>
#include <ctime>
#include <utility>
#include <variant>

#include "bench/claims/percentile.h"

namespace medlarspread::claims {

namespace {

constexpr std::int64_t kStartMilliseconds = 1'764'691'200'000;
constexpr base::Duration kLinkDelay = base::Duration(500);
constexpr base::Duration kDeadline = base::Milliseconds(500);

double ProcessorMicroseconds() {
  return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

}  // namespace

Fleet::Fleet(const Load& load, std::uint64_t seed)
    : load_(load),
      random_(seed),
      time_(std::make_shared<base::ManualTime>(1, kStartMilliseconds)),
      scheduler_(std::make_shared<base::ManualScheduler>(time_)),
      runner_(scheduler_),
      store_(std::make_shared<FakeStore>(runner_)) {
  daemons_.reserve(static_cast<std::size_t>(load.daemons));
  for (int index = 0; index < load.daemons; ++index) {
    Boot(index);
  }
}

void Fleet::Boot(int index) {
  auto daemon = std::make_unique<Daemon>();
  blackboard::MembershipView view;
  view.self = std::to_string(index);
  for (int other = 0; other < load_.daemons; ++other) {
    blackboard::Member member;
    member.name = std::to_string(other);
    view.members[member.name] = member;
  }
  daemon->blackboard.membership.Write(view);
  daemon->service = std::make_unique<ClaimService>(
      load_.settings, base::Clock(time_), random_, runner_, store_->store(),
      peer::PeerPort{
          [this, index](const std::string& to, peer::Message message) {
            return Send(index, to, std::move(message));
          }},
      daemon->blackboard);
  daemon->service->Start();
  daemons_.push_back(std::move(daemon));
}

base::Status Fleet::Send(int from,
                         const std::string& to,
                         peer::Message message) {
  runner_.After(kLinkDelay, [this, from, to, message = std::move(message)] {
    ClaimService& service =
        *daemons_[static_cast<std::size_t>(std::stoi(to))]->service;
    const peer::Sender sender{std::to_string(from), 1};
    if (const auto* request = std::get_if<peer::wire::ClaimRequest>(&message)) {
      service.DidReceive(sender, *request);
    }
    if (const auto* reply = std::get_if<peer::wire::ClaimReply>(&message)) {
      service.DidReceive(sender, *reply);
    }
  });
  return base::Done();
}

void Fleet::Submit() {
  const std::int64_t made_at_ms =
      time_->wall_milliseconds() -
      static_cast<std::int64_t>(
          random_.Below(static_cast<std::uint64_t>(load_.oldest_ms + 1)));
  const std::string request_id =
      std::to_string(made_at_ms) + "-" + random_.Hexadecimal(16);
  const base::MonotonicTime asked = scheduler_->Now();
  const auto asker = random_.Below(daemons_.size());
  daemons_[asker]->service->port()(
      request_id, random_.Hexadecimal(16), kDeadline,
      [this, asked](const ClaimResult& result) {
        if (result.outcome == ClaimOutcome::kGranted) {
          waits_.push_back(scheduler_->Now() - asked);
        }
      });
  ++submitted_;
  const double gap_s =
      -std::log(1.0 - random_.Unit()) / load_.claims_per_second;
  runner_.After(base::Duration(static_cast<std::int64_t>(gap_s * 1e6)),
                [this] { Submit(); });
}

ClaimCounts Fleet::Sum() {
  ClaimCounts sum;
  for (const auto& daemon : daemons_) {
    daemon->service->ReadCounts([&sum](const ClaimCounts& counts) {
      sum.swaps += counts.swaps;
      sum.conflicts += counts.conflicts;
      sum.reads += counts.reads;
      sum.lists += counts.lists;
      sum.erases += counts.erases;
      sum.bytes_written += counts.bytes_written;
      sum.granted += counts.granted;
    });
  }
  scheduler_->RunReady();
  return sum;
}

Cost Fleet::Run() {
  Submit();
  scheduler_->Advance(load_.warm_up);
  const ClaimCounts before = Sum();
  waits_.clear();
  submitted_ = 0;
  const double processor_before = ProcessorMicroseconds();
  scheduler_->Advance(load_.measured);
  const double processor = ProcessorMicroseconds() - processor_before;
  const ClaimCounts after = Sum();
  const double seconds = base::ToMilliseconds(load_.measured) / 1000.0;
  const auto rate = [seconds](std::int64_t later, std::int64_t earlier) {
    return static_cast<double>(later - earlier) / seconds;
  };
  Cost cost;
  cost.swaps = rate(after.swaps, before.swaps);
  cost.conflicts = rate(after.conflicts, before.conflicts);
  cost.reads = rate(after.reads, before.reads);
  cost.lists = rate(after.lists, before.lists);
  cost.erases = rate(after.erases, before.erases);
  cost.bytes = rate(after.bytes_written, before.bytes_written);
  cost.granted = rate(after.granted, before.granted);
  cost.wait_median_ms = Percentile(waits_, 0.5);
  cost.wait_99_ms = Percentile(waits_, 0.99);
  cost.keys = store_->entries().size();
  cost.processor_us_per_claim =
      submitted_ == 0 ? 0.0 : processor / static_cast<double>(submitted_);
  return cost;
}

}  // namespace medlarspread::claims
