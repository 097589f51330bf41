// Decides when a shard request is sent to a second replica (a hedged request)
// and limits the share of such second sends. A dispatcher has one policy for
// its collection, because the service time there depends on the collection, not
// on the class of the request.
//
// Pure decision code; used on one sequence.

#ifndef MEDLARSPREAD_ADMISSION_SECOND_SEND_POLICY_H_
#define MEDLARSPREAD_ADMISSION_SECOND_SEND_POLICY_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "src/base/clock.h"

namespace medlarspread::admission {

class SecondSendPolicy {
 public:
  // Second sends as a share of first sends.
  static constexpr double kDefaultShare = 0.03;
  // Upper bound on the share, whatever the settings.
  static constexpr double kMaximumShare = 0.05;

  // Lower bound on the delay as a multiple of the typical service time.
  static constexpr double kDefaultMultiple = 2.5;

  explicit SecondSendPolicy(double share = kDefaultShare,
                            double min_multiple = kDefaultMultiple);

  // How long after the first send the second send is made; nothing until enough
  // replies have been measured.
  std::optional<base::Duration> Delay() const { return delay_; }

  // Takes one second send from the budget; false if it is used up.
  bool TakeBudget();
  // Undoes TakeBudget() if the send was not made after all.
  void ReturnBudget();
  // A first send was made, which refills the budget by its share.
  void DidFirstSend();
  // An answer arrived `service_time` after the send.
  void DidReply(base::Duration service_time);

 private:
  void UpdateDelay();
  void AdjustMultiple();

  const double share_;
  const double min_multiple_;
  // Invariant: 0 <= tokens_ <= kMaximumTokens.
  double tokens_;
  // The delay as a multiple of the typical service time. Invariant: at least
  // min_multiple_.
  double multiple_;
  // Counts since the last adjustment of the multiple.
  double taken_ = 0.0;
  double first_sends_ = 0.0;
  std::optional<base::Duration> delay_;
  // The latest service times: a ring buffer of at most kSamples.
  std::vector<base::Duration> samples_;
  std::size_t next_ = 0;
  std::size_t replies_ = 0;
};

}  // namespace medlarspread::admission

#endif  // MEDLARSPREAD_ADMISSION_SECOND_SEND_POLICY_H_
