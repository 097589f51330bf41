// Merges the shards' answers for one snapshot and computes their coverage.

#ifndef MEDLARSPREAD_QUERY_ANSWER_BUILDER_H_
#define MEDLARSPREAD_QUERY_ANSWER_BUILDER_H_

#include <map>
#include <string>

#include "src/blackboard/views.h"
#include "src/query/caller_answer.h"

namespace medlarspread::query {

class AnswerBuilder {
 public:
  // `shards_total` is the number of shards that the query asks for `snapshot`.
  AnswerBuilder(blackboard::Snapshot snapshot, int shards_total);

  // Adds the answer of one shard, a JSON array as text. Returns false, and
  // drops the answer, if its range overlaps one that was added before.
  bool Add(const blackboard::KeyRange& range, std::string items);

  const blackboard::Snapshot& snapshot() const { return snapshot_; }
  int shards_answered() const { return static_cast<int>(parts_.size()); }
  Coverage MakeCoverage() const;
  // One JSON array with the items of all parts, ordered by range.
  std::string MakeItems() const;

 private:
  const blackboard::Snapshot snapshot_;
  const int shards_total_;
  // Invariant: the ranges do not overlap.
  std::map<blackboard::KeyRange, std::string> parts_;
};

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_ANSWER_BUILDER_H_
