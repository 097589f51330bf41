// Commits the claims of one key in groups: one compare-and-swap is in flight at
// a time, and the claims that arrive meanwhile form the next group.
//
// This class does not rely on being the only writer of the key. Every answer is
// based on a value that the store confirmed:
//   1. A successful swap has recorded its group: each claim of the group is
//      granted, or taken if its identifier was recorded with another nonce.
//   2. A conflict means that another daemon wrote the key: read it, settle the
//      claims that are recorded and swap the rest.
//   3. After an unknown outcome the key is read in the same way. A claim that
//      is missing from the value that was read may still be recorded by the
//      delayed swap, so it is swapped again with the same nonce; the key's
//      version lets only one of the two swaps succeed.
//   4. A claim whose state is still unknown at its deadline, or after too many
//      failed calls, is unsettled, not refused.

#ifndef MEDLARSPREAD_CLAIMS_BUCKET_H_
#define MEDLARSPREAD_CLAIMS_BUCKET_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/claims/claim_context.h"
#include "src/claims/claim_store.h"
#include "src/claims/pending_claim.h"
#include "src/claims/recorded_claims.h"
#include "src/store/store.h"

namespace medlarspread::claims {

class Bucket : public std::enable_shared_from_this<Bucket> {
 public:
  Bucket(std::shared_ptr<ClaimContext> context,
         std::shared_ptr<ClaimStore> store,
         std::string key);

  void Add(PendingClaim claim);

  // Whether no claim is waiting and no call is in progress.
  bool is_idle() const { return phase_ == Phase::kIdle && queue_.empty(); }
  base::MonotonicTime last_used() const { return last_used_; }

 private:
  enum class Phase { kIdle, kPausing, kSwapping, kReading };

  // Starts the next step unless one is in progress.
  void StartNextStep();
  void Pause(base::Duration duration);
  // Whether the waiting claims belong to a slice that ended some time ago.
  bool is_late() const;
  void Swap();
  // Moves the claims that fit into one value from the queue to the group and
  // returns the lines to add.
  RecordedClaims TakeGroup();
  void DidSwap(const RecordedClaims& added,
               const base::Result<std::int64_t>& result);
  void DidFailSwap(const base::Error& error);
  void Read();
  void DidRead(const base::Result<std::optional<store::Entry>>& result);
  void MergeStored(const RecordedClaims& stored, std::int64_t version);
  // Checks whether `stored` lacks claims that were confirmed earlier; if so,
  // logs it and stops granting identifiers of that time.
  void CheckForLostState(const RecordedClaims& stored, std::int64_t version);

  void ReturnGroupToQueue();
  // Gives up the claims that have seen too many store failures: a request is
  // not sent without a claim, so waiting longer would only delay the caller.
  void CountFailure(const base::Error& error);
  void BackOff();
  void DropUnrecordable();
  // The reason why the claim can no longer be recorded, if any.
  std::optional<base::Error> ReasonToDrop(const PendingClaim& claim) const;
  void SettleRecorded();
  bool SettleIfRecorded(const PendingClaim& claim);
  // Refuses the claim, or leaves it unsettled if a swap may still record it.
  void GiveUp(const PendingClaim& claim, const base::Error& error);
  void Settle(const PendingClaim& claim,
              ClaimOutcome outcome,
              const base::Error& error);
  void LogLoss(std::string message, std::string request_id) const;
  base::Error MakeError(base::ErrorCode code, std::string detail) const;

  const std::shared_ptr<ClaimContext> context_;
  const std::shared_ptr<ClaimStore> store_;
  const std::string key_;

  Phase phase_ = Phase::kIdle;
  // All claims known for this key. Invariant: each was in the store at some
  // time.
  RecordedClaims claims_;
  // The key's version when it was last read or swapped.
  std::int64_t version_ = store::kAbsent;
  // Whether the key was read or swapped at all.
  bool is_known_ = false;
  std::deque<PendingClaim> queue_;
  // The claims of the swap in progress. Invariant: empty unless kSwapping.
  std::deque<PendingClaim> group_;
  // The store has lost some of `claims_`: swap even if no claim is waiting.
  bool must_rewrite_ = false;
  int failures_in_a_row_ = 0;
  base::MonotonicTime next_swap_at_;
  base::MonotonicTime last_used_;
};

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_BUCKET_H_
