// Rolls up the segments of the VMs of one failure domain into hours.

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

// Works by steps of `steps`, which must outlive it, as must `board`.
class DomainRollUp {
 public:
  DomainRollUp(BurnSettings settings,
               base::Clock clock,
               const blackboard::Blackboard& board,
               StoreSteps& steps);

  // One step, which pushes the others.
  void Start(const std::string& failure_domain);

 private:
  // What a pass over the failure domain has read so far.
  struct DomainPass {
    std::string failure_domain;
    SealInput input;
    std::vector<store::Entry> old_marks;
  };
  // What is to be folded into one hour, and what is there already.
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
  void FoldIntoHour(std::shared_ptr<HourPass> pass);
  void EraseRaws(const HourPass& pass);
  StoredSegment TargetFor(const HourPass& pass) const;

  const BurnSettings settings_;
  const base::Clock clock_;
  const blackboard::Blackboard& board_;
  StoreSteps& steps_;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_DOMAIN_ROLL_UP_H_
