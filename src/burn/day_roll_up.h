// Rolls up the hour segments of all failure domains into day segments.

#ifndef MEDLARSPREAD_BURN_DAY_ROLL_UP_H_
#define MEDLARSPREAD_BURN_DAY_ROLL_UP_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "src/burn/roll_up.h"
#include "src/burn/store_steps.h"

namespace medlarspread::burn {

// Queues its work in `steps`, which must outlive it.
class DayRollUp {
 public:
  explicit DayRollUp(StoreSteps& steps);

  // Queues the steps that roll up one hour; `hour` counts from 1970.
  void Start(std::int64_t hour);
  // Erases the segment of `day`.
  void EraseDay(std::int64_t day);

 private:
  struct HourPass {
    std::int64_t hour = 0;
    // The hour's segments, one or more per failure domain.
    std::vector<StoredSegment> hours;
  };

  void CloseHours(std::shared_ptr<HourPass> pass);
  void CheckSources(std::shared_ptr<HourPass> pass);
  void SkipHoursWithSources(std::shared_ptr<HourPass> pass,
                            const std::string& failure_domain);
  void MergeIntoDay(StoredSegment day, std::shared_ptr<HourPass> pass);
  void EraseHours(const HourPass& pass);

  StoreSteps& steps_;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_DAY_ROLL_UP_H_
