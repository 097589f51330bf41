// Selects the work that this VM is responsible for.

#include "src/burn/roll_up_runner.h"

#include <set>
#include <string>
#include <utility>

#include "src/burn/roll_up.h"

namespace medlarspread::burn {

namespace {

constexpr std::int64_t kHoursPerDay = kMinutesPerDay / kMinutesPerHour;
// Number of older hours to check again, one per pass. The start shifts by
// kOldHourShiftPerHour each hour, which is coprime to this number, so that
// every older hour is checked although the responsible VM changes each hour.
constexpr std::int64_t kOldHoursChecked = 47;
constexpr std::int64_t kOldHourShiftPerHour = 5;
// Number of days beyond the retention period to check, one per pass.
constexpr std::int64_t kOldDaysChecked = 30;

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
  // The responsible VM changes each hour, so that a VM that cannot reach the
  // store does not block the roll-up for long.
  const std::string hour = "/" + std::to_string(now_hour);
  for (const std::string& failure_domain : failure_domains) {
    std::string subject = "burn/domain/";
    subject.append(failure_domain).append(hour);
    if (IsResponsible(*view, subject)) {
      steps_->Push([this, failure_domain] { domains_.Start(failure_domain); });
    }
  }
  if (IsResponsible(*view, "burn/day" + hour)) {
    // Process the hour that is due now, and in turn one of the older hours, for
    // counts that were written late.
    const std::int64_t due = now_hour - kHoursKept;
    const std::int64_t turn =
        (passes_ + kOldHourShiftPerHour * now_hour) % kOldHoursChecked;
    const std::int64_t old_day =
        now_hour / kHoursPerDay - kDaysKept - passes_ % kOldDaysChecked;
    steps_->Push([this, due] { days_.Start(due); });
    steps_->Push([this, late = due - 1 - turn] { days_.Start(late); });
    steps_->Push([this, old_day] { days_.EraseDay(old_day); });
  }
  steps_->Run(std::move(done));
}

}  // namespace medlarspread::burn
