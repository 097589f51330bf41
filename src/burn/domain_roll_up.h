// Rolls up the segments of a failure domain's VMs into hour segments.

#ifndef MEDLARSPREAD_BURN_DOMAIN_ROLL_UP_H_
#define MEDLARSPREAD_BURN_DOMAIN_ROLL_UP_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "src/blackboard/blackboard.h"
#include "src/burn/burn_settings.h"
#include "src/burn/roll_up.h"
#include "src/burn/store_steps.h"

namespace medlarspread::burn {

// Queues its work in `steps`. `steps` and `board` must outlive it.
class DomainRollUp {
 public:
  DomainRollUp(BurnSettings settings,
               base::Clock clock,
               const blackboard::Blackboard& board,
               StoreSteps& steps);

  // Queues the steps of a pass over `failure_domain`.
  void Start(const std::string& failure_domain);

 private:
  // What a pass has read of the failure domain so far.
  struct DomainPass {
    std::string failure_domain;
    SealInput input;
    std::vector<store::Entry> old_marks;
  };
  // The segments to merge into one hour, and the segments that the hour already
  // has.
  struct HourPass {
    std::int64_t hour = 0;
    std::string failure_domain;
    std::vector<StoredSegment> raws;
    std::vector<StoredSegment> hours;
    // The day that the hour belongs to; version 0 if there is none.
    StoredSegment day;
  };

  void DidListMarks(std::shared_ptr<DomainPass> pass,
                    const std::vector<store::Entry>& marks);
  void DidListRaws(std::shared_ptr<DomainPass> pass);
  void EraseOldMarks(const DomainPass& pass,
                     const std::set<VmIncarnation>& left);
  void StartHour(std::shared_ptr<HourPass> pass);
  void MergeIntoHour(std::shared_ptr<HourPass> pass);
  void EraseRaws(const HourPass& pass);
  StoredSegment TargetFor(const HourPass& pass) const;

  const BurnSettings settings_;
  const base::Clock clock_;
  const blackboard::Blackboard& board_;
  StoreSteps& steps_;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_DOMAIN_ROLL_UP_H_
