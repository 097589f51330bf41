// Holds the group commits of the keys to which this daemon currently writes
// claims. The claims come from this daemon's sessions and from other daemons.

#ifndef MEDLARSPREAD_CLAIMS_GROUP_COMMITTER_H_
#define MEDLARSPREAD_CLAIMS_GROUP_COMMITTER_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "src/claims/bucket.h"
#include "src/claims/claim_context.h"
#include "src/claims/claim_store.h"
#include "src/claims/pending_claim.h"

namespace medlarspread::claims {

class GroupCommitter : public std::enable_shared_from_this<GroupCommitter> {
 public:
  GroupCommitter(std::shared_ptr<ClaimContext> context,
                 std::shared_ptr<ClaimStore> store);

  // Refuses the claim at once if the maximum number of open claims is reached.
  void Add(PendingClaim claim);

  // Claims added and not yet settled.
  std::size_t open_claims() const { return open_claims_; }

 private:
  // Removes the least recently used idle keys beyond the setting.
  void EvictIdleBuckets();

  const std::shared_ptr<ClaimContext> context_;
  const std::shared_ptr<ClaimStore> store_;
  std::map<std::string, std::shared_ptr<Bucket>> buckets_;
  std::size_t open_claims_ = 0;
};

}  // namespace medlarspread::claims

#endif  // MEDLARSPREAD_CLAIMS_GROUP_COMMITTER_H_
