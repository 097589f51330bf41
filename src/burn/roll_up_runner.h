// Makes the calls to the store that roll segments up: one call after another,
// a pass at a time. A call that fails is left for the next pass; every step may
// be repeated, by any VM, without counting anything twice.

#ifndef MEDLARSPREAD_BURN_ROLL_UP_RUNNER_H_
#define MEDLARSPREAD_BURN_ROLL_UP_RUNNER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/base/log.h"
#include "src/blackboard/blackboard.h"
#include "src/burn/burn_settings.h"
#include "src/burn/keys.h"
#include "src/burn/roll_up.h"
#include "src/platform/store.h"

namespace medlarspread::burn {

// Lives on the control sequence, owned by a std::shared_ptr.
class RollUpRunner : public std::enable_shared_from_this<RollUpRunner> {
 public:
  RollUpRunner(BurnSettings settings,
               base::Clock clock,
               platform::Store store,
               const blackboard::Blackboard& board,
               base::Log log);

  // Does what falls to this VM by the list of members, then runs `done`. Must
  // not be called while a pass is under way.
  void Run(std::function<void()> done);

  bool is_running() const { return done_ != nullptr; }

 private:
  using Segments = std::vector<StoredSegment>;
  // What a pass over one failure domain or one hour has read so far.
  struct DomainPass {
    std::string failure_domain;
    SealInput input;
    std::vector<platform::Entry> old_marks;
  };
  struct HourPass {
    std::int64_t hour = 0;
    std::string failure_domain;
    // To be folded into the hour.
    Segments raws;
    // The hour's segments, of one failure domain or of all.
    Segments hours;
    // The day that the hour belongs to; version 0 if there is none.
    StoredSegment day;
  };

  void LogDamaged(const std::vector<std::string>& damaged) const;
  void Next();
  void Push(std::function<void()> step);
  // Reads a list, decodes it and hands it on; a failure skips `then`.
  void List(const std::string& prefix,
            std::function<void(const std::vector<platform::Entry>&)> then);
  void Swap(const StoredSegment& stored,
            std::function<void(std::int64_t version)> then);
  void Erase(const std::string& key, std::int64_t version);
  void ReadDay(std::shared_ptr<HourPass> pass, std::function<void()> then);

  // Failure domain, hour by hour.
  void StartDomain(const std::string& failure_domain);
  void DidListMarks(std::shared_ptr<DomainPass> pass,
                    const std::vector<platform::Entry>& marks);
  void DidListRaws(std::shared_ptr<DomainPass> pass);
  void StartHour(std::shared_ptr<HourPass> pass);
  void FoldIntoHour(std::shared_ptr<HourPass> pass);
  StoredSegment TargetFor(const HourPass& pass) const;

  // Day.
  void StartDay(std::int64_t hour);
  void CloseHours(std::shared_ptr<HourPass> pass);
  void KeepThoseWithoutSources(std::shared_ptr<HourPass> pass);
  void FoldIntoDay(std::shared_ptr<HourPass> pass);
  void EraseOldDay();

  std::int64_t NowHour() const;

  const BurnSettings settings_;
  const base::Clock clock_;
  const platform::Store store_;
  const blackboard::Blackboard& board_;
  const base::Log log_;
  std::function<void()> done_;
  std::deque<std::function<void()>> steps_;
  std::int64_t passes_ = 0;
};

}  // namespace medlarspread::burn

#endif  // MEDLARSPREAD_BURN_ROLL_UP_RUNNER_H_
