// Rolls up one hour into its day:
// 1. Close the hour's segments, so that nothing more is merged into them.
// 2. Skip the segments that have a source which still exists. The day segment
//    does not list these sources, so they must have been erased before, or they
//    would be counted twice.
// 3. Merge the remaining segments into the day with a single compare-and-swap.
// 4. Erase the merged segments, which must not happen before step 3 succeeds.

#include "src/burn/day_roll_up.h"

#include <algorithm>
#include <set>
#include <utility>

#include "src/burn/keys.h"

namespace medlarspread::burn {

namespace {

constexpr std::int64_t kHoursPerDay = kMinutesPerDay / kMinutesPerHour;

std::string DomainOf(const StoredSegment& hour) {
  return ParseHourKey(hour.key)->failure_domain;
}

// Whether a source of `hour` may still exist.
bool HasSourceIn(const StoredSegment& hour,
                 const base::Result<std::vector<store::Entry>>& listed) {
  if (!listed.is_ok()) {
    return true;
  }
  return std::ranges::any_of(listed.value(),
                             [&hour](const store::Entry& entry) {
                               return Contains(hour.segment, entry.key);
                             });
}

}  // namespace

DayRollUp::DayRollUp(StoreSteps& steps) : steps_(steps) {}

void DayRollUp::Start(std::int64_t hour) {
  auto pass = std::make_shared<HourPass>();
  pass->hour = hour;
  steps_.List(kHourPrefix + std::to_string(hour) + "/",
              [this, pass](const std::vector<store::Entry>& entries) {
                pass->hours = steps_.Decode(entries);
                CloseHours(pass);
              });
}

void DayRollUp::CloseHours(std::shared_ptr<HourPass> pass) {
  for (std::size_t i = 0; i < pass->hours.size(); ++i) {
    if (pass->hours[i].segment.is_closed) {
      continue;
    }
    steps_.Push([this, pass, i] {
      StoredSegment closed = pass->hours[i];
      closed.segment.is_closed = true;
      closed.segment.sequence += 1;
      steps_.Swap(closed, [this, pass, i, closed](std::int64_t version) {
        pass->hours[i] = closed;
        pass->hours[i].version = version;
        steps_.Next();
      });
    });
  }
  steps_.Push([this, pass] { CheckSources(pass); });
  steps_.Next();
}

void DayRollUp::CheckSources(std::shared_ptr<HourPass> pass) {
  std::erase_if(pass->hours, [](const StoredSegment& hour) {
    return !hour.segment.is_closed;
  });
  if (pass->hours.empty()) {
    steps_.Next();
    return;
  }
  std::set<std::string> failure_domains;
  for (const StoredSegment& hour : pass->hours) {
    failure_domains.insert(DomainOf(hour));
  }
  for (const std::string& failure_domain : failure_domains) {
    steps_.Push([this, pass, failure_domain] {
      SkipHoursWithSources(pass, failure_domain);
    });
  }
  steps_.Push([this, pass] {
    steps_.Read(DayKey(pass->hour / kHoursPerDay),
                [this, pass](StoredSegment day) {
                  MergeIntoDay(std::move(day), pass);
                });
  });
  steps_.Next();
}

// If the list cannot be read, all segments of the failure domain are skipped.
void DayRollUp::SkipHoursWithSources(std::shared_ptr<HourPass> pass,
                                     const std::string& failure_domain) {
  steps_.TryList(
      kRawPrefix + failure_domain + "/",
      [this, pass,
       failure_domain](const base::Result<std::vector<store::Entry>>& listed) {
        std::erase_if(pass->hours, [&](const StoredSegment& hour) {
          return DomainOf(hour) == failure_domain && HasSourceIn(hour, listed);
        });
        steps_.Next();
      });
}

void DayRollUp::MergeIntoDay(StoredSegment day,
                             std::shared_ptr<HourPass> pass) {
  bool has_new = false;
  for (const StoredSegment& hour : pass->hours) {
    if (!Contains(day.segment, hour.key)) {
      MergeSegment(hour, true, day.segment);
      has_new = true;
    }
  }
  if (!has_new) {
    EraseHours(*pass);
    return;
  }
  day.segment.sequence += 1;
  steps_.Swap(day, [this, pass](std::int64_t) { EraseHours(*pass); });
}

void DayRollUp::EraseHours(const HourPass& pass) {
  for (const StoredSegment& hour : pass.hours) {
    steps_.Push([this, key = hour.key, version = hour.version] {
      steps_.Erase(key, version);
    });
  }
  steps_.Next();
}

void DayRollUp::EraseDay(std::int64_t day) {
  steps_.Read(DayKey(day), [this](const StoredSegment& old) {
    if (old.version == store::kAbsent) {
      steps_.Next();
      return;
    }
    steps_.Erase(old.key, old.version);
  });
}

}  // namespace medlarspread::burn
