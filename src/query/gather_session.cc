// The steps of GatherSession.

#include "src/query/gather_session.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "src/base/overloaded.h"
#include "src/query/route_targets.h"
#include "src/query/top_records.h"

namespace medlarspread::query {

namespace {

using base::ErrorCode;
using base::Step;

// By the time of a retry after this delay, other leaves and peers are chosen.
constexpr base::Duration kRetryAfter = base::Milliseconds(50);
// Parts are asked this long before the target: two round trips, and the
// aggregator's own delay.
constexpr base::Duration kCheckTime = base::Milliseconds(6);
// The interval at which a part is asked after the target: long enough to cost
// little, since the answer is late anyway.
constexpr base::Duration kCheckInterval = base::Milliseconds(20);

}  // namespace

GatherSession::GatherSession(Dependencies dependencies,
                             ForwardedRequest request,
                             FanOutSession::Done done)
    : dependencies_(std::move(dependencies)),
      request_(std::move(request)),
      done_(std::move(done)),
      arrived_(dependencies_.clock.Now()) {}

void GatherSession::Add(std::size_t shards, const MakePart& make) {
  const std::size_t index = parts_.size();
  Part part;
  part.shards = static_cast<int>(shards);
  part.missing = part.shards;
  part.work = make([self = shared_from_this(), index](
                       ForwardedAnswer answer, const FanOutSummary& summary) {
    self->summary_.sends += summary.sends;
    self->summary_.extra_sends += summary.extra_sends;
    self->summary_.refusals += summary.refusals;
    self->DidEnd(index, std::move(answer));
  });
  parts_.push_back(std::move(part));
}

void GatherSession::Start() {
  check_timer_ = dependencies_.runner.After(
      std::max(base::Duration{},
               TimeToTarget(*request_.route, request_.waited) - kCheckTime),
      [self = shared_from_this()] { self->Check(); });
  deadline_timer_ = dependencies_.runner.After(
      TimeToDeadline(request_),
      [self = shared_from_this()] { self->DidReachDeadline(); });
  for (const Part& part : parts_) {
    if (!is_finished_) {
      part.work.start();
    }
  }
}

void GatherSession::DidReachDeadline() {
  if (is_finished_) {
    return;
  }
  last_error_ = base::MakeError(ErrorCode::kTimeout, Step::kMerge, "",
                                "no answer before the deadline");
  Conclude();
}

void GatherSession::Check() {
  if (is_finished_) {
    return;
  }
  is_checking_ = true;
  check_timer_ = dependencies_.runner.After(
      kCheckInterval, [self = shared_from_this()] { self->Check(); });
  for (std::size_t index = 0; index < parts_.size(); ++index) {
    if (!is_finished_ && !parts_[index].result) {
      parts_[index].work.check([self = shared_from_this(), index](int missing) {
        self->DidReport(index, missing);
      });
    }
  }
}

void GatherSession::DidReport(std::size_t index, int missing) {
  if (is_finished_) {
    return;
  }
  parts_[index].missing = std::min(parts_[index].missing, missing);
  RelaxIfEnough();
}

bool GatherSession::Abandon() {
  if (std::exchange(is_finished_, true)) {
    return false;
  }
  check_timer_.Cancel();
  deadline_timer_.Cancel();
  for (const Part& part : parts_) {
    if (!part.result) {
      part.work.abandon();
    }
  }
  done_ = nullptr;
  return true;
}

void GatherSession::DidEnd(std::size_t index, ForwardedAnswer answer) {
  if (is_finished_) {
    return;
  }
  Part& part = parts_[index];
  part.result.emplace();
  part.result->missing = part.shards;
  std::visit(
      base::Overloaded{
          [&](MergedRecords& gathered) { part.result = std::move(gathered); },
          [&](Refused& refused) { last_error_ = std::move(refused.error); },
          [&](Unknown& unknown) {
            may_have_run_ = true;
            last_error_ = std::move(unknown.error);
          },
          [](LeafResponse&) {}, [](NoRoute&) {}},
      answer);
  part.missing = part.result->missing;
  bool have_all_ended = true;
  int missing_from_ended = 0;
  for (const Part& other : parts_) {
    have_all_ended = have_all_ended && other.result;
    missing_from_ended += other.result ? other.missing : 0;
  }
  if (have_all_ended || missing_from_ended > most_missing()) {
    Conclude();
    return;
  }
  if (is_checking_) {
    RelaxIfEnough();
  }
}

void GatherSession::RelaxIfEnough() {
  if (missing() > most_missing()) {
    return;
  }
  for (Part& part : parts_) {
    if (is_finished_ || part.result || part.last_relaxed_to == part.missing) {
      continue;
    }
    part.last_relaxed_to = part.missing;
    part.work.relax(part.missing);
  }
}

void GatherSession::Conclude() {
  MergedRecords gathered;
  std::vector<std::string> records;
  for (Part& part : parts_) {
    if (!part.result) {
      may_have_run_ = may_have_run_ || part.work.may_have_run();
      part.work.abandon();
      gathered.missing += part.shards;
      continue;
    }
    gathered.missing += part.result->missing;
    records.push_back(std::move(part.result->records));
    std::move(part.result->proofs.begin(), part.result->proofs.end(),
              std::back_inserter(gathered.proofs));
  }
  summary_.answered = static_cast<int>(gathered.proofs.size());
  may_have_run_ = may_have_run_ || summary_.answered > 0;
  const auto& all =
      std::get<blackboard::AllShards>(request_.route->destination);
  if (summary_.answered >= MinAnswers(*request_.route, total())) {
    gathered.records = TopRecords(records, all.most_records);
    Finish(std::move(gathered));
    return;
  }
  if (!last_error_.code) {
    last_error_ = base::MakeError(ErrorCode::kUnavailable, Step::kMerge, "",
                                  "too few shards answered");
  }
  if (may_have_run_) {
    Finish(Unknown{request_.request_id, last_error_});
    return;
  }
  Finish(Refused{request_.request_id, last_error_, kRetryAfter,
                 RefusalKind::kUnavailable});
}

void GatherSession::Finish(ForwardedAnswer answer) {
  assert(!is_finished_);
  is_finished_ = true;
  check_timer_.Cancel();
  deadline_timer_.Cancel();
  summary_.latency = dependencies_.clock.Now() - arrived_;
  summary_.shards = total();
  dependencies_.log.Write(
      {.level = base::LogLevel::kInfo,
       .step = Step::kMerge,
       .request_id = request_.request_id,
       .message = Describe(answer) + "; route=" + request_.route->targets.name +
                  " revision=" + std::to_string(request_.routes_revision) +
                  " parts=" + std::to_string(parts_.size()) +
                  " ms=" + std::to_string(summary_.latency.count() / 1000)});
  const auto done = std::exchange(done_, nullptr);
  done(std::move(answer), summary_);
}

int GatherSession::total() const {
  int shards = 0;
  for (const Part& part : parts_) {
    shards += part.shards;
  }
  return shards;
}

int GatherSession::missing() const {
  int shards = 0;
  for (const Part& part : parts_) {
    shards += part.missing;
  }
  return shards;
}

int GatherSession::most_missing() const {
  return total() - MinAnswers(*request_.route, total());
}

}  // namespace medlarspread::query
