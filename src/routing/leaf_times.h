// Tracks the answer time of each leaf and the typical one over all leaves of
// the collection, to detect leaves that have become slower than the others.

#ifndef MEDLARSPREAD_ROUTING_LEAF_TIMES_H_
#define MEDLARSPREAD_ROUTING_LEAF_TIMES_H_

#include <map>
#include <string>

#include "src/base/clock.h"

namespace medlarspread::routing {

// Used on one sequence.
class LeafTimes {
 public:
  // `leaf` answered `time` after the send.
  void DidAnswer(const std::string& leaf, base::Duration time);

  // The running mean for the leaf; the typical time before its first answer.
  base::Duration MeanOf(const std::string& leaf) const;

  // The running median over all leaves, which a few slow leaves barely change.
  base::Duration typical() const { return typical_; }

  // The leaf's time beyond the typical one; zero unless the leaf takes more
  // than twice the typical time, since small differences are normal.
  base::Duration ExcessOf(const std::string& leaf) const;

 private:
  struct Row {
    base::Duration mean{};
    // Rises slowly and falls fast, so it is high only while most answers are
    // slow.
    base::Duration level{};
  };

  base::Duration typical_ = base::Milliseconds(1);
  std::map<std::string, Row> rows_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_LEAF_TIMES_H_
