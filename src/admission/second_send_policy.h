// When a shard request is sent to a second replica, and whether the budget for
// that lasts. One policy serves one collection: how long a leaf takes depends
// on the collection, not on the class that asks.
//
// Pure decision code; calls come from one sequence.

#ifndef MEDLARSPREAD_ADMISSION_SECOND_SEND_POLICY_H_
#define MEDLARSPREAD_ADMISSION_SECOND_SEND_POLICY_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "src/base/clock.h"

namespace medlarspread::admission {

class SecondSendPolicy {
 public:
  // Second sends are paid for from a share of the first sends.
  static constexpr double kDefaultShare = 0.03;
  // The share that no setting exceeds.
  static constexpr double kMaximumShare = 0.05;

  // The delay as a multiple of the typical service time, at the least.
  static constexpr double kDefaultMultiple = 2.5;

  explicit SecondSendPolicy(double share = kDefaultShare,
                            double lowest_multiple = kDefaultMultiple);

  // How long after the send to the leaf a second replica is asked; nothing
  // until enough replies have been seen.
  std::optional<base::Duration> Delay() const { return delay_; }

  // Takes one second send from the budget if it lasts.
  bool TakeBudget();
  // Gives back what TakeBudget() took, when the send was not made after all.
  void ReturnBudget();
  // A first send was made: it earns its share.
  void DidFirstSend();
  // An answer came `service_time` after the send.
  void DidReply(base::Duration service_time);

 private:
  void LearnDelay();
  void AdjustMultiple();

  const double share_;
  const double lowest_multiple_;
  // Invariant: 0 <= tokens_ <= kMaximumTokens.
  double tokens_;
  // The delay as a multiple of the typical service time. Invariant: at least
  // lowest_multiple_.
  double multiple_;
  // Since the multiple was last adjusted.
  double taken_ = 0.0;
  double first_sends_ = 0.0;
  std::optional<base::Duration> delay_;
  // The latest service times, a ring of at most kSamples.
  std::vector<base::Duration> samples_;
  std::size_t next_ = 0;
  std::size_t replies_ = 0;
};

}  // namespace medlarspread::admission

#endif  // MEDLARSPREAD_ADMISSION_SECOND_SEND_POLICY_H_
