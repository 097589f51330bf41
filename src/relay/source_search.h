// Looks for a peer with fresh updates by asking all candidates at the same
// time.
//
// A peer that is down costs a whole timeout. Asked one after the other, the
// timeouts add up with the number of peers that are down; asked together, they
// do not, and each peer that recovers is found at the next round.
//
// Steps:
//   1. Ask the peers of the own failure domain, and after kProbeInterval, or
//      once all of those have failed, the store readers of other domains. The
//      first round leaves out peers that have just failed.
//   2. The first fresh one is the result; a candidate of higher rank whose
//      answer is due within kAnswerSpread takes precedence.
//   3. Ask again, until Stop() is called.
//
// Runs on the control thread.

#ifndef MEDLARSPREAD_RELAY_SOURCE_SEARCH_H_
#define MEDLARSPREAD_RELAY_SOURCE_SEARCH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/task_runner.h"
#include "src/relay/propagation_delays.h"

namespace medlarspread::relay {

// What a peer answered to the question how old its updates are.
enum class ProbeResult {
  kFresh,
  // Its updates are old, of an earlier era of the store, or third-hand.
  kUnusable,
  kNoAnswer,
};

class SourceSearch : public std::enable_shared_from_this<SourceSearch> {
 public:
  struct Candidate {
    std::string peer;
    bool is_in_own_domain = false;
    // Its last request failed, and the backoff after that has not ended.
    bool is_backing_off = false;
  };
  struct Delegate {
    // The candidates, in order of preference.
    std::function<std::vector<Candidate>()> candidates;
    // Asks a peer; calls back once, within kPeerTimeoutMargin.
    std::function<void(const std::string& peer,
                       std::function<void(ProbeResult)>)>
        probe;
    // Called with each result.
    std::function<void(const std::string& peer)> did_find;
    // Called every kSearchTick while the search lasts, less often in a long
    // one.
    std::function<void()> did_tick;
  };

  SourceSearch(base::Clock clock, base::TaskRunner control, Delegate delegate);

  // Does nothing if the search is active already.
  void Start();
  void Stop();
  bool is_active() const { return is_active_; }
  // Time since Start().
  base::Duration elapsed() const { return clock_.Now() - started_; }
  // Whether a peer has answered that has no fresh updates.
  bool has_unusable_answer() const;

 private:
  struct Probe {
    base::MonotonicTime started;
    bool is_pending = false;
    // Whether `result` was received in this search.
    bool has_result = false;
    ProbeResult result = ProbeResult::kNoAnswer;
  };

  void Tick(std::uint64_t search);
  void AskCandidates();
  // Whether all candidates of the own domain have been found useless.
  bool has_exhausted_own_domain(const std::vector<Candidate>& candidates) const;
  void Ask(const std::string& peer);
  void DidProbe(std::uint64_t search,
                const std::string& peer,
                ProbeResult result);
  // Reports a fresh candidate unless a better one may still answer.
  void Evaluate();
  base::Duration round_interval() const;

  const base::Clock clock_;
  const base::TaskRunner control_;
  const Delegate delegate_;
  bool is_active_ = false;
  // Counts the searches, so that timers and answers of earlier ones are
  // ignored.
  std::uint64_t search_ = 0;
  base::MonotonicTime started_;
  std::map<std::string, Probe> probes_;
  // When the first fresh answer that is not reported yet came; zero if none.
  base::MonotonicTime first_fresh_;
};

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_SOURCE_SEARCH_H_
