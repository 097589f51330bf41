// How long each leaf takes for an answer, and what is typical of the leaves of
// the collection, so that a leaf that has become slow is told from its peers.

#ifndef MEDLARSPREAD_ROUTING_LEAF_TIMES_H_
#define MEDLARSPREAD_ROUTING_LEAF_TIMES_H_

#include <map>
#include <string>

#include "src/base/clock.h"

namespace medlarspread::routing {

// Used on one sequence.
class LeafTimes {
 public:
  // An answer of `leaf` took `time` from the send to the reply.
  void DidAnswer(const std::string& leaf, base::Duration time);

  // The running mean of the leaf; the typical time before its first answer.
  base::Duration MeanOf(const std::string& leaf) const;

  // The running median over all leaves: a few slow ones do not move it.
  base::Duration typical() const { return typical_; }

  // By how much the leaf takes longer than is typical; zero unless it takes
  // more than twice as long, since leaves and requests differ a little anyway.
  base::Duration ExcessOf(const std::string& leaf) const;

 private:
  struct Row {
    base::Duration mean{};
    // Rises slowly and falls fast: high only while most answers are slow.
    base::Duration level{};
  };

  base::Duration typical_ = base::Milliseconds(1);
  std::map<std::string, Row> rows_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_LEAF_TIMES_H_
