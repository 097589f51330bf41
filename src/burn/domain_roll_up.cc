// Steps of a pass over a failure domain, made by the VM responsible for it:
// 1. Read the marks of VMs that are gone, and the segments of the VMs.
// 2. Seal the open segments of writers that are gone.
// 3. Merge closed segments into the segment of their hour, with one
//    compare-and-swap per hour.
// 4. Erase the merged segments, which must not happen before step 3 succeeds.

#include "src/burn/domain_roll_up.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "src/burn/keys.h"

namespace medlarspread::burn {

namespace {

constexpr std::int64_t kHoursPerDay = kMinutesPerDay / kMinutesPerHour;
constexpr std::int64_t kMarkKeptMs = kMinutesPerDay * kMillisecondsPerMinute;
// Hours more recent than this have not been rolled up into their day yet.
constexpr std::int64_t kHoursNeverInDay = 2;
// Size limit of a roll-up, well below the store's limit for values. What
// exceeds it goes to the next generation.
constexpr std::size_t kMaxRollUpBytes = 500'000;

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

DomainRollUp::DomainRollUp(BurnSettings settings,
                           base::Clock clock,
                           const blackboard::Blackboard& board,
                           StoreSteps& steps)
    : settings_(std::move(settings)),
      clock_(std::move(clock)),
      board_(board),
      steps_(steps) {}

void DomainRollUp::Start(const std::string& failure_domain) {
  auto pass = std::make_shared<DomainPass>();
  pass->failure_domain = failure_domain;
  pass->input.members = CurrentMembers(*board_.membership.Read());
  pass->input.now_wall_ms = clock_.WallMilliseconds();
  steps_.List(kGonePrefix + failure_domain + "/",
              [this, pass](const std::vector<store::Entry>& marks) {
                DidListMarks(pass, marks);
              });
}

void DomainRollUp::DidListMarks(std::shared_ptr<DomainPass> pass,
                                const std::vector<store::Entry>& marks) {
  for (const store::Entry& entry : marks) {
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
  steps_.List(kRawPrefix + pass->failure_domain + "/",
              [this, pass](const std::vector<store::Entry>& raws) {
                pass->input.raws = steps_.Decode(raws);
                DidListRaws(pass);
              });
}

void DomainRollUp::DidListRaws(std::shared_ptr<DomainPass> pass) {
  for (StoredSegment& sealed : SealGoneWriters(pass->input, settings_)) {
    steps_.Push([this, sealed = std::move(sealed)] {
      steps_.Swap(sealed, [this](std::int64_t) { steps_.Next(); });
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
    steps_.Push([this, hour = hour] { StartHour(hour); });
  }
  EraseOldMarks(*pass, left);
  steps_.Next();
}

// A mark must be kept as long as a segment of its VM is open.
void DomainRollUp::EraseOldMarks(const DomainPass& pass,
                                 const std::set<VmIncarnation>& left) {
  for (const store::Entry& mark : pass.old_marks) {
    if (!left.contains(ParseGoneKey(mark.key)->of)) {
      steps_.Push([this, mark] { steps_.Erase(mark.key, mark.version); });
    }
  }
}

void DomainRollUp::StartHour(std::shared_ptr<HourPass> pass) {
  const std::string prefix = kHourPrefix + std::to_string(pass->hour) + "/" +
                             pass->failure_domain + "/";
  steps_.List(prefix, [this, pass](const std::vector<store::Entry>& entries) {
    pass->hours = steps_.Decode(entries);
    if (pass->hours.size() != entries.size()) {
      // The sources of a roll-up that cannot be decoded are unknown, so skip
      // the hour.
      steps_.Next();
      return;
    }
    // NOTE: the day must be read after the list of hours: an hour that is
    // missing from the list is then already in the day.
    const std::int64_t now_hour =
        MinuteOf(clock_.WallMilliseconds()) / kMinutesPerHour;
    if (now_hour - pass->hour < kHoursNeverInDay) {
      MergeIntoHour(pass);
      return;
    }
    steps_.Read(DayKey(pass->hour / kHoursPerDay),
                [this, pass](StoredSegment day) {
                  pass->day = std::move(day);
                  MergeIntoHour(pass);
                });
  });
}

// The hour's open segment, or a new one.
StoredSegment DomainRollUp::TargetFor(const HourPass& pass) const {
  for (const StoredSegment& hour : pass.hours) {
    if (!hour.segment.is_closed &&
        EncodeSegment(hour.segment).size() < kMaxRollUpBytes) {
      return hour;
    }
  }
  StoredSegment target;
  target.key = HourKey{pass.hour, pass.failure_domain,
                       NextGeneration(pass.day.segment, pass.hours, pass.hour,
                                      pass.failure_domain)}
                   .ToString();
  target.version = store::kAbsent;
  return target;
}

void DomainRollUp::MergeIntoHour(std::shared_ptr<HourPass> pass) {
  StoredSegment target = TargetFor(*pass);
  bool has_new = false;
  for (const StoredSegment& raw : pass->raws) {
    if (!ContainsAny(pass->hours, raw.key)) {
      MergeSegment(raw, false, target.segment);
      has_new = true;
    }
  }
  if (!has_new) {
    EraseRaws(*pass);
    return;
  }
  target.segment.sequence += 1;
  steps_.Swap(target, [this, pass](std::int64_t) { EraseRaws(*pass); });
}

void DomainRollUp::EraseRaws(const HourPass& pass) {
  for (const StoredSegment& raw : pass.raws) {
    steps_.Push([this, key = raw.key, version = raw.version] {
      steps_.Erase(key, version);
    });
  }
  steps_.Next();
}

}  // namespace medlarspread::burn
