// Implements the loop of reads and watches.

#include "src/targets/store_reader.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "src/base/rendezvous.h"

namespace medlarspread::targets {

namespace {

using blackboard::MemberState;
using store::Entry;

constexpr char kReaderRole[] = "targets-reader";

// Returns a random duration between half of `duration` and the whole.
base::Duration Jitter(base::Duration duration, base::Random& random) {
  const auto half = duration / 2;
  return half + base::Duration(random.Below(half.count() + 1));
}

}  // namespace

StoreReader::StoreReader(const TargetsSettings& settings,
                         base::Random& random,
                         base::TaskRunner control,
                         store::Store store,
                         blackboard::Blackboard& blackboard,
                         std::shared_ptr<HeldTargets> held)
    : settings_(settings),
      random_(random),
      control_(std::move(control)),
      store_(std::move(store)),
      blackboard_(blackboard),
      held_(std::move(held)) {}

void StoreReader::Start() {
  Step();
}

void StoreReader::Stop() {
  is_stopped_ = true;
}

bool StoreReader::is_reader() const {
  std::vector<std::string> candidates = {settings_.self};
  const auto membership = blackboard_.membership.Read();
  for (const auto& [name, member] : membership->members) {
    if (name != settings_.self && member.state == MemberState::kLive &&
        member.failure_domain == settings_.failure_domain) {
      candidates.push_back(name);
    }
  }
  const auto ranked =
      base::RankByRendezvous(kReaderRole, std::move(candidates));
  const auto end =
      ranked.begin() +
      std::min<std::ptrdiff_t>(settings_.readers_per_failure_domain,
                               static_cast<std::ptrdiff_t>(ranked.size()));
  return std::find(ranked.begin(), end, settings_.self) != end;
}

void StoreReader::StepAfter(base::Duration delay) {
  control_.After(delay, [self = shared_from_this()] { self->Step(); });
}

void StoreReader::Step() {
  if (is_stopped_) {
    return;
  }
  // A daemon without targets reads the store whatever its role.
  if (held_->is_known() && !is_reader()) {
    should_watch_ = false;
    held_->DidStopReadingStore();
    StepAfter(Jitter(settings_.role_interval, random_));
    return;
  }
  revision_at_call_ = held_->revision();
  if (should_watch_) {
    Watch();
  } else {
    Read();
  }
}

void StoreReader::Read() {
  store_.read(kTargetsKey, settings_.store_timeout,
              [self = shared_from_this()](
                  const base::Result<std::optional<Entry>>& result) {
                self->DidRead(result);
              });
}

void StoreReader::Watch() {
  store_.watch(kTargetsKey, version_, settings_.watch_wait,
               [self = shared_from_this()](
                   const base::Result<std::optional<Entry>>& result) {
                 self->DidWatch(result);
               });
}

void StoreReader::DidRead(base::Result<std::optional<Entry>> result) {
  if (is_stopped_) {
    return;
  }
  if (!result.is_ok()) {
    DidFail(result.error());
    return;
  }
  DidLearn(result.value());
  should_watch_ = true;
  StepAfter(settings_.read_interval);
}

void StoreReader::DidWatch(base::Result<std::optional<Entry>> result) {
  if (is_stopped_) {
    return;
  }
  if (!result.is_ok()) {
    DidFail(result.error());
    return;
  }
  should_watch_ = result.value().has_value();
  if (result.value()) {
    DidLearn(result.value());
  }
  StepAfter(settings_.read_interval);
}

void StoreReader::DidLearn(const std::optional<Entry>& entry) {
  backoff_ = base::Duration(0);
  version_ = entry ? entry->version : store::kAbsent;
  if (held_->DidReadStore(entry, revision_at_call_) == OfferOutcome::kLower) {
    ScheduleRepair(version_);
  }
}

void StoreReader::DidFail(const base::Error& error) {
  held_->DidFailToReadStore(error);
  should_watch_ = false;
  backoff_ =
      std::clamp(backoff_ * 2, settings_.min_backoff, settings_.max_backoff);
  StepAfter(Jitter(backoff_, random_));
}

void StoreReader::ScheduleRepair(std::int64_t lower_version) {
  if (is_repairing_) {
    return;
  }
  is_repairing_ = true;
  // Because of the random delay, usually only one of the readers writes.
  const base::Duration delay(random_.Below(settings_.repair_delay.count() + 1));
  control_.After(delay, [self = shared_from_this(), lower_version] {
    self->Repair(lower_version);
  });
}

void StoreReader::Repair(std::int64_t lower_version) {
  if (is_stopped_ || lower_version != version_) {
    is_repairing_ = false;
    return;
  }
  store_.compare_and_swap(
      kTargetsKey, held_->body(), lower_version, settings_.store_timeout,
      [self = shared_from_this()](const base::Result<std::int64_t>& result) {
        self->is_repairing_ = false;
        if (!result.is_ok()) {
          // Whatever the outcome, the next read shows the current record.
          self->should_watch_ = false;
        }
      });
}

}  // namespace medlarspread::targets
