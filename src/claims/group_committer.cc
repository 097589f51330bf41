// Keeps one bucket for each key in use.

#include "src/claims/group_committer.h"

#include <utility>

namespace medlarspread::claims {

GroupCommitter::GroupCommitter(std::shared_ptr<ClaimContext> context,
                               std::shared_ptr<ClaimStore> store)
    : context_(std::move(context)), store_(std::move(store)) {}

void GroupCommitter::Add(PendingClaim claim) {
  if (open_claims_ >= context_->settings.open_claims) {
    claim.did_settle(
        ClaimOutcome::kRefused,
        base::MakeError(base::ErrorCode::kOverloaded, base::Step::kClaim, "",
                        "too many claims are open"));
    return;
  }
  ++open_claims_;
  claim.did_settle = [self = shared_from_this(),
                      did_settle = std::move(claim.did_settle)](
                         ClaimOutcome outcome, const base::Error& error) {
    --self->open_claims_;
    did_settle(outcome, error);
  };
  const std::string key = BucketKey(claim.request_id, claim.made_at_ms);
  std::shared_ptr<Bucket>& bucket = buckets_[key];
  if (!bucket) {
    bucket = std::make_shared<Bucket>(context_, store_, key);
  }
  bucket->Add(std::move(claim));
  EvictIdleBuckets();
}

void GroupCommitter::EvictIdleBuckets() {
  while (buckets_.size() > context_->settings.cached_buckets) {
    auto oldest = buckets_.end();
    for (auto row = buckets_.begin(); row != buckets_.end(); ++row) {
      const bool is_older =
          oldest == buckets_.end() ||
          row->second->last_used() < oldest->second->last_used();
      if (row->second->is_idle() && is_older) {
        oldest = row;
      }
    }
    if (oldest == buckets_.end()) {
      // All are busy; their number is limited by the maximum of open claims.
      return;
    }
    buckets_.erase(oldest);
  }
}

}  // namespace medlarspread::claims
