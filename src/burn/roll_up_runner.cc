// Chooses what falls to this VM.

#include "src/burn/roll_up_runner.h"

#include <set>
#include <string>
#include <utility>

#include "src/burn/roll_up.h"

namespace medlarspread::burn {

namespace {

constexpr std::int64_t kHoursPerDay = kMinutesPerDay / kMinutesPerHour;
// Older hours looked at, one a pass. The steps of an hour share no factor with
// the turns, so that all get their turn although the VM changes every hour.
constexpr std::int64_t kTurns = 47;
constexpr std::int64_t kTurnsPerHour = 5;
// Days looked at, one a pass, beyond those that are kept.
constexpr std::int64_t kOldDaysLookedAt = 30;

}  // namespace

RollUpRunner::RollUpRunner(const BurnSettings& settings,
                           const base::Clock& clock,
                           const store::Store& store,
                           const blackboard::Blackboard& board,
                           const base::Log& log)
    : clock_(clock),
      board_(board),
      steps_(std::make_shared<StoreSteps>(store, settings.store_timeout, log)),
      domains_(settings, clock, board, *steps_),
      days_(*steps_) {}

void RollUpRunner::Run(std::function<void()> done) {
  ++passes_;
  const auto view = board_.membership.Read();
  const std::int64_t now_hour =
      MinuteOf(clock_.WallMilliseconds()) / kMinutesPerHour;
  std::set<std::string> failure_domains;
  for (const auto& [name, member] : view->members) {
    failure_domains.insert(member.failure_domain);
  }
  // Another VM each hour, so that one that does not reach the store holds
  // nothing up for long.
  const std::string hour = "/" + std::to_string(now_hour);
  for (const std::string& failure_domain : failure_domains) {
    std::string subject = "burn/domain/";
    subject.append(failure_domain).append(hour);
    if (IsHolder(*view, subject)) {
      steps_->Push([this, failure_domain] { domains_.Start(failure_domain); });
    }
  }
  if (IsHolder(*view, "burn/day" + hour)) {
    // The hour that is due now, and one of the older ones by turns, for counts
    // that came late.
    const std::int64_t due = now_hour - kHoursKept;
    const std::int64_t turn = (passes_ + kTurnsPerHour * now_hour) % kTurns;
    const std::int64_t old_day =
        now_hour / kHoursPerDay - kDaysKept - passes_ % kOldDaysLookedAt;
    steps_->Push([this, due] { days_.Start(due); });
    steps_->Push([this, late = due - 1 - turn] { days_.Start(late); });
    steps_->Push([this, old_day] { days_.EraseDay(old_day); });
  }
  steps_->Run(std::move(done));
}

}  // namespace medlarspread::burn
