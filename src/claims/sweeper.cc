// Erases expired claims.

#include "src/claims/sweeper.h"

#include <algorithm>
#include <string>
#include <utility>

#include "src/base/clock.h"
#include "src/claims/grouping_order.h"

namespace medlarspread::claims {

namespace {

constexpr std::size_t kMaxDueSlices = 1'000;
constexpr std::int64_t kSlicesPerRetention =
    kRetentionMilliseconds / kSliceMilliseconds;

// The first slice that may hold an identifier that some daemon still accepts.
std::int64_t FirstSliceInUse(std::int64_t now_ms) {
  return SliceOf(std::max<std::int64_t>(
      0, now_ms - kRetentionMilliseconds - kEraseMarginMilliseconds));
}

}  // namespace

Sweeper::Sweeper(std::shared_ptr<ClaimContext> context,
                 std::shared_ptr<ClaimStore> store,
                 const blackboard::Blackboard& blackboard)
    : context_(std::move(context)),
      store_(std::move(store)),
      blackboard_(blackboard) {}

void Sweeper::Start() {
  next_slice_ = FirstSliceInUse(context_->clock.WallMilliseconds());
  Tick();
}

void Sweeper::Tick() {
  if (is_stopped_) {
    return;
  }
  CollectDue();
  SweepNext();
  context_->runner.After(base::Milliseconds(kSliceMilliseconds),
                         [self = shared_from_this()] { self->Tick(); });
}

void Sweeper::CollectDue() {
  const std::int64_t end = FirstSliceInUse(context_->clock.WallMilliseconds());
  for (; next_slice_ < end; ++next_slice_) {
    if (IsAssignedToThisDaemon(next_slice_, "first")) {
      due_.push_back(next_slice_);
    }
    const std::int64_t older = next_slice_ - kSlicesPerRetention;
    if (IsAssignedToThisDaemon(older, "second")) {
      due_.push_back(older);
    }
  }
  while (due_.size() > kMaxDueSlices) {
    due_.pop_front();
  }
}

bool Sweeper::IsAssignedToThisDaemon(std::int64_t slice,
                                     const char* pass) const {
  const auto view = blackboard_.membership.Read();
  const auto order = GroupingOrder(*view, SlicePrefix(slice) + pass);
  return !order.empty() && order.front() == view->self;
}

void Sweeper::SweepNext() {
  if (is_sweeping_ || due_.empty() || is_stopped_) {
    return;
  }
  is_sweeping_ = true;
  const std::int64_t slice = due_.front();
  store_->List(SlicePrefix(slice),
               [self = shared_from_this(), slice](const auto& result) {
                 self->DidList(slice, result);
               });
}

void Sweeper::DidList(std::int64_t slice,
                      const base::Result<std::vector<store::Entry>>& result) {
  is_sweeping_ = false;
  if (!result.is_ok()) {
    // The slice stays due and is retried at the next tick.
    context_->log.DidFail(result.error(),
                          "failed to list expired claims; retrying later");
    return;
  }
  for (const store::Entry& entry : result.value()) {
    store_->Erase(
        entry.key, entry.version,
        [context = context_](const base::Status& status) {
          if (!status.is_ok()) {
            context->log.DidFail(
                status.error(),
                "failed to erase expired claims; left to the second sweep");
          }
        });
  }
  std::erase(due_, slice);
  SweepNext();
}

}  // namespace medlarspread::claims
