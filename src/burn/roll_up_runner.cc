// A pass of the roll-up.
//
// A failure domain, by the VM that holds it:
// 1. Read the marks of VMs seen to be gone, and the segments of the VMs.
// 2. Seal open segments of writers that are gone.
// 3. Fold closed segments into the one of their hour, by one swap an hour.
// 4. Erase what is contained there. Only now may it go.
//
// The day, by the VM that holds it, the hour that is due and one more a pass:
// 5. Close the hour's segments, so that nothing is folded into them any more.
// 6. Leave out those of whose sources one still exists: the day will not list
//    the sources, so they have to be gone for good.
// 7. Fold them into the day by one swap, then erase them.

#include "src/burn/roll_up_runner.h"

#include <algorithm>
#include <set>
#include <utility>

namespace medlarspread::burn {

namespace {

constexpr std::int64_t kHoursPerDay = 24;
constexpr std::int64_t kMillisecondsPerHour =
    kMinutesPerHour * kMillisecondsPerMinute;
constexpr std::int64_t kMarkKeptMs = kHoursPerDay * kMillisecondsPerHour;
// A younger hour cannot have been rolled up into its day.
constexpr std::int64_t kSurelyNotInDayHours = 2;
// Well below what the store takes; the next generation takes the rest.
constexpr std::size_t kLargestRollUp = 500'000;
// Older hours looked at, one a pass. The steps of an hour share no factor with
// the turns, so that all get their turn although the VM changes every hour.
constexpr std::int64_t kTurns = 47;
constexpr std::int64_t kTurnsPerHour = 5;
// Days looked at, one a pass, beyond those that are kept.
constexpr std::int64_t kOldDaysLookedAt = 30;

std::int64_t NextGeneration(const Segment& day,
                            const std::vector<StoredSegment>& hours,
                            std::int64_t hour,
                            const std::string& failure_domain) {
  std::int64_t next = 0;
  const auto note = [&](const std::string& id) {
    const auto key = ParseHourKey(id);
    if (key && key->hour == hour && key->failure_domain == failure_domain) {
      next = std::max(next, key->generation + 1);
    }
  };
  for (const Source& source : day.sources) {
    note(source.id);
  }
  for (const StoredSegment& stored : hours) {
    note(stored.key);
  }
  return next;
}

bool ContainsAny(const std::vector<StoredSegment>& roll_ups,
                 const std::string& key) {
  return std::any_of(roll_ups.begin(), roll_ups.end(),
                     [&key](const StoredSegment& roll_up) {
                       return Contains(roll_up.segment, key);
                     });
}

}  // namespace

RollUpRunner::RollUpRunner(BurnSettings settings,
                           base::Clock clock,
                           platform::Store store,
                           const blackboard::Blackboard& board,
                           base::Log log)
    : settings_(std::move(settings)),
      clock_(std::move(clock)),
      store_(std::move(store)),
      board_(board),
      log_(std::move(log)) {}

void RollUpRunner::LogDamaged(const std::vector<std::string>& damaged) const {
  for (const std::string& key : damaged) {
    log_.Write({.level = base::LogLevel::kError,
                .step = base::Step::kReport,
                .message = "burn counts at " + key + " are damaged"});
  }
}

std::int64_t RollUpRunner::NowHour() const {
  return MinuteOf(clock_.WallMilliseconds()) / kMinutesPerHour;
}

void RollUpRunner::Run(std::function<void()> done) {
  done_ = std::move(done);
  ++passes_;
  const auto view = board_.membership.Read();
  std::set<std::string> failure_domains;
  for (const auto& [name, member] : view->members) {
    failure_domains.insert(member.failure_domain);
  }
  // Another VM each hour, so that one that does not reach the store holds
  // nothing up for long.
  const std::string hour = "/" + std::to_string(NowHour());
  for (const std::string& failure_domain : failure_domains) {
    std::string subject = "burn/domain/";
    subject.append(failure_domain).append(hour);
    if (IsHolder(*view, subject)) {
      Push([this, failure_domain] { StartDomain(failure_domain); });
    }
  }
  if (IsHolder(*view, "burn/day" + hour)) {
    // The hour that is due now, and one of the older ones by turns, for counts
    // that came late.
    const std::int64_t due = NowHour() - kHoursKept;
    const std::int64_t turn = (passes_ + kTurnsPerHour * NowHour()) % kTurns;
    Push([this, due] { StartDay(due); });
    Push([this, late = due - 1 - turn] { StartDay(late); });
    Push([this] { EraseOldDay(); });
  }
  Next();
}

void RollUpRunner::Push(std::function<void()> step) {
  steps_.push_back(std::move(step));
}

void RollUpRunner::Next() {
  if (steps_.empty()) {
    std::exchange(done_, nullptr)();
    return;
  }
  const auto step = std::move(steps_.front());
  steps_.pop_front();
  step();
}

void RollUpRunner::List(
    const std::string& prefix,
    std::function<void(const std::vector<platform::Entry>&)> then) {
  store_.list(prefix, settings_.store_timeout,
              [self = shared_from_this(), then = std::move(then)](
                  const base::Result<std::vector<platform::Entry>>& result) {
                if (result.is_ok()) {
                  then(result.value());
                  return;
                }
                self->log_.DidFail(result.error(),
                                   "burn counts are rolled up later");
                self->Next();
              });
}

void RollUpRunner::Swap(const StoredSegment& stored,
                        std::function<void(std::int64_t)> then) {
  store_.compare_and_swap(
      stored.key, EncodeSegment(stored.segment), stored.version,
      settings_.store_timeout,
      [self = shared_from_this(),
       then = std::move(then)](const base::Result<std::int64_t>& result) {
        if (result.is_ok()) {
          then(result.value());
          return;
        }
        // A conflict is as good: another VM has done the work, or the writer
        // lives. The next pass reads what there is.
        self->log_.DidFail(result.error(), "burn counts are rolled up later");
        self->Next();
      });
}

void RollUpRunner::Erase(const std::string& key, std::int64_t version) {
  store_.erase(key, version, settings_.store_timeout,
               [self = shared_from_this()](const base::Status& status) {
                 if (!status.is_ok()) {
                   self->log_.DidFail(status.error(),
                                      "burn counts are rolled up later");
                 }
                 self->Next();
               });
}

void RollUpRunner::StartDomain(const std::string& failure_domain) {
  auto pass = std::make_shared<DomainPass>();
  pass->failure_domain = failure_domain;
  pass->input.members = MembersOf(*board_.membership.Read());
  pass->input.now_wall_ms = clock_.WallMilliseconds();
  List(kGonePrefix + failure_domain + "/",
       [this, pass](const std::vector<platform::Entry>& marks) {
         DidListMarks(pass, marks);
       });
}

void RollUpRunner::DidListMarks(std::shared_ptr<DomainPass> pass,
                                const std::vector<platform::Entry>& marks) {
  for (const platform::Entry& entry : marks) {
    const auto key = ParseGoneKey(entry.key);
    const auto wall_ms = ParseMark(entry.value);
    if (!key || !wall_ms) {
      continue;
    }
    pass->input.gone_wall_ms[key->of] = *wall_ms;
    if (pass->input.now_wall_ms - *wall_ms > kMarkKeptMs) {
      pass->old_marks.push_back(entry);
    }
  }
  List(kRawPrefix + pass->failure_domain + "/",
       [this, pass](const std::vector<platform::Entry>& raws) {
         std::vector<std::string> damaged;
         pass->input.raws = DecodeEntries(raws, damaged);
         LogDamaged(damaged);
         DidListRaws(pass);
       });
}

void RollUpRunner::DidListRaws(std::shared_ptr<DomainPass> pass) {
  for (StoredSegment& sealed : SealGone(pass->input, settings_)) {
    Push([this, sealed = std::move(sealed)] {
      Swap(sealed, [this](std::int64_t) { Next(); });
    });
  }
  std::map<std::int64_t, std::shared_ptr<HourPass>> hours;
  std::set<VmIncarnation> left;
  for (StoredSegment& raw : pass->input.raws) {
    const auto key = ParseRawKey(raw.key);
    if (!key || !raw.segment.is_closed) {
      left.insert(raw.segment.writer);
      continue;
    }
    auto& hour = hours[key->hour()];
    if (!hour) {
      hour = std::make_shared<HourPass>();
      hour->hour = key->hour();
      hour->failure_domain = pass->failure_domain;
    }
    hour->raws.push_back(std::move(raw));
  }
  for (const auto& [number, hour] : hours) {
    Push([this, hour = hour] { StartHour(hour); });
  }
  for (const platform::Entry& mark : pass->old_marks) {
    if (!left.contains(ParseGoneKey(mark.key)->of)) {
      Push([this, mark] { Erase(mark.key, mark.version); });
    }
  }
  Next();
}

void RollUpRunner::StartHour(std::shared_ptr<HourPass> pass) {
  const std::string prefix = kHourPrefix + std::to_string(pass->hour) + "/" +
                             pass->failure_domain + "/";
  List(prefix, [this, pass](const std::vector<platform::Entry>& entries) {
    std::vector<std::string> damaged;
    pass->hours = DecodeEntries(entries, damaged);
    LogDamaged(damaged);
    if (!damaged.empty()) {
      Next();
      return;
    }
    // NOTE: the day is read after the list of hours. An hour that is missing
    // from the list is in the day by then.
    if (NowHour() - pass->hour < kSurelyNotInDayHours) {
      FoldIntoHour(pass);
      return;
    }
    ReadDay(pass, [this, pass] { FoldIntoHour(pass); });
  });
}

void RollUpRunner::ReadDay(std::shared_ptr<HourPass> pass,
                           std::function<void()> then) {
  pass->day.key = DayKey(pass->hour / kHoursPerDay);
  store_.read(pass->day.key, settings_.store_timeout,
              [self = shared_from_this(), pass, then = std::move(then)](
                  const base::Result<std::optional<platform::Entry>>& result) {
                if (!result.is_ok()) {
                  self->log_.DidFail(result.error(),
                                     "burn counts are rolled up later");
                  self->Next();
                  return;
                }
                if (result.value()) {
                  auto day = DecodeSegment(result.value()->value);
                  if (!day.is_ok()) {
                    self->LogDamaged({pass->day.key});
                    self->Next();
                    return;
                  }
                  pass->day.version = result.value()->version;
                  pass->day.segment = std::move(day.value());
                }
                then();
              });
}

// The hour's open segment, or a new one.
StoredSegment RollUpRunner::TargetFor(const HourPass& pass) const {
  for (const StoredSegment& hour : pass.hours) {
    if (!hour.segment.is_closed &&
        EncodeSegment(hour.segment).size() < kLargestRollUp) {
      return hour;
    }
  }
  StoredSegment target;
  target.key = HourKey{pass.hour, pass.failure_domain,
                       NextGeneration(pass.day.segment, pass.hours, pass.hour,
                                      pass.failure_domain)}
                   .ToString();
  target.version = platform::kAbsent;
  return target;
}

void RollUpRunner::FoldIntoHour(std::shared_ptr<HourPass> pass) {
  StoredSegment target = TargetFor(*pass);
  bool has_new = false;
  for (const StoredSegment& raw : pass->raws) {
    if (!ContainsAny(pass->hours, raw.key)) {
      Fold(raw, false, target.segment);
      has_new = true;
    }
  }
  const auto erase_contained = [this, pass] {
    for (const StoredSegment& raw : pass->raws) {
      Push([this, key = raw.key, version = raw.version] {
        Erase(key, version);
      });
    }
    Next();
  };
  if (!has_new) {
    erase_contained();
    return;
  }
  target.segment.sequence += 1;
  Swap(target, [erase_contained](std::int64_t) { erase_contained(); });
}

void RollUpRunner::StartDay(std::int64_t hour) {
  auto pass = std::make_shared<HourPass>();
  pass->hour = hour;
  List(kHourPrefix + std::to_string(pass->hour) + "/",
       [this, pass](const std::vector<platform::Entry>& entries) {
         std::vector<std::string> damaged;
         pass->hours = DecodeEntries(entries, damaged);
         LogDamaged(damaged);
         CloseHours(pass);
       });
}

void RollUpRunner::CloseHours(std::shared_ptr<HourPass> pass) {
  for (StoredSegment& hour : pass->hours) {
    if (hour.segment.is_closed) {
      continue;
    }
    StoredSegment closed = hour;
    closed.segment.is_closed = true;
    closed.segment.sequence += 1;
    Push([this, closed, &hour, pass] {
      Swap(closed, [this, closed, &hour, pass](std::int64_t version) {
        hour = closed;
        hour.version = version;
        Next();
      });
    });
  }
  Push([this, pass] { KeepThoseWithoutSources(pass); });
  Next();
}

void RollUpRunner::KeepThoseWithoutSources(std::shared_ptr<HourPass> pass) {
  std::erase_if(pass->hours, [](const StoredSegment& hour) {
    return !hour.segment.is_closed;
  });
  if (pass->hours.empty()) {
    Next();
    return;
  }
  std::set<std::string> failure_domains;
  for (const StoredSegment& hour : pass->hours) {
    failure_domains.insert(ParseHourKey(hour.key)->failure_domain);
  }
  for (const std::string& failure_domain : failure_domains) {
    Push([this, pass, failure_domain] {
      // Unless the list is read, none of the domain's segments is folded.
      const auto drop = [pass, failure_domain](auto&& has_source) {
        std::erase_if(pass->hours, [&](const StoredSegment& hour) {
          return ParseHourKey(hour.key)->failure_domain == failure_domain &&
                 has_source(hour);
        });
      };
      store_.list(
          kRawPrefix + failure_domain + "/", settings_.store_timeout,
          [self = shared_from_this(),
           drop](const base::Result<std::vector<platform::Entry>>& result) {
            drop([&result](const StoredSegment& hour) {
              if (!result.is_ok()) {
                return true;
              }
              return std::ranges::any_of(
                  result.value(), [&hour](const platform::Entry& entry) {
                    return Contains(hour.segment, entry.key);
                  });
            });
            self->Next();
          });
    });
  }
  Push([this, pass] { ReadDay(pass, [this, pass] { FoldIntoDay(pass); }); });
  Next();
}

void RollUpRunner::FoldIntoDay(std::shared_ptr<HourPass> pass) {
  StoredSegment target = pass->day;
  bool has_new = false;
  for (const StoredSegment& hour : pass->hours) {
    if (!Contains(target.segment, hour.key)) {
      Fold(hour, true, target.segment);
      has_new = true;
    }
  }
  const auto erase_contained = [this, pass] {
    for (const StoredSegment& hour : pass->hours) {
      Push([this, key = hour.key, version = hour.version] {
        Erase(key, version);
      });
    }
    Next();
  };
  if (!has_new) {
    erase_contained();
    return;
  }
  target.segment.sequence += 1;
  Swap(target, [erase_contained](std::int64_t) { erase_contained(); });
}

void RollUpRunner::EraseOldDay() {
  const std::int64_t today = NowHour() / kHoursPerDay;
  const std::string key =
      DayKey(today - kDaysKept - passes_ % kOldDaysLookedAt);
  store_.read(key, settings_.store_timeout,
              [self = shared_from_this(), key](
                  const base::Result<std::optional<platform::Entry>>& result) {
                if (result.is_ok() && result.value()) {
                  self->Erase(key, result.value()->version);
                  return;
                }
                self->Next();
              });
}

}  // namespace medlarspread::burn
