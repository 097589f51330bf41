// Records evidence on requests that crash the leaves that execute them, and
// decides what follows from it.
//
// When a leaf's process ends, it is executing many requests, of which at most
// one is to blame. That request differs from the others in that all its runs
// end with a crash of the leaf. So:
//
//   - A request is suspect while a leaf has ended during one of its runs and no
//     run has completed since that run began.
//   - It is accused once kRoundsToConvict of its runs, each begun after the
//     previous one had ended, have crashed their leaves, and none has
//     completed. Concurrent runs count as one round: an event that takes down
//     many leaves at once, such as a rack that loses power, ends all concurrent
//     runs of a frequent request, but only a request that crashes leaves itself
//     does so three times in a row.
//   - For kConvictionDelay an accused request is blocked, and cleared if any
//     daemon reports a completion. After that it is convicted, until an
//     operator lifts the verdict or a run that was still in progress completes.
//
// Evidence expires: the end of a leaf counts for kEvidenceLifetime.
//
// This class does no I/O; all calls must come from one sequence.

#ifndef MEDLARSPREAD_QUARANTINE_SUSPECT_LEDGER_H_
#define MEDLARSPREAD_QUARANTINE_SUSPECT_LEDGER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/name_table.h"
#include "src/quarantine/fingerprint.h"

namespace medlarspread::quarantine {

// How the sessions may send a request.
enum class Standing {
  // No evidence against it.
  kClear,
  // It is sent to one leaf first.
  kSuspect,
  // It is blocked for a short time.
  kAccused,
  // It is not sent to any leaf.
  kConvicted,
};

inline constexpr base::NameTable<Standing, 4> kStandingNames{{{
    {Standing::kClear, "clear"},
    {Standing::kSuspect, "suspect"},
    {Standing::kAccused, "accused"},
    {Standing::kConvicted, "convicted"},
}}};

// A run during which the leaf's process ended.
struct EndedRun {
  base::MonotonicTime began;
  base::MonotonicTime ended;
  // The name of the leaf's process incarnation.
  std::string leaf;
  // Whether this daemon sent the request to the leaf; false if another daemon
  // reported the run.
  bool is_own = false;
};

struct Conviction {
  Fingerprint fingerprint;
  // The evidence, ordered by the time at which the runs ended.
  std::vector<EndedRun> runs;
  // Whether the run that completed the evidence was sent by this daemon.
  bool is_own = false;
};

// With two rounds, a caller's retry could by chance be sent to leaves that
// another request crashes at the same time; a third such coincidence is very
// rare. A fourth round would cost one more leaf each time: with three, a
// request to all shards is detected from its caller's first retry on.
constexpr int kRoundsToConvict = 3;
// A daemon's findings reach the others within 0.3 s (gossip::ReportExchange),
// which leaves time for a daemon that has seen the request complete to report
// it.
constexpr base::Duration kConvictionDelay = base::Milliseconds(400);
// Callers retry within minutes. Leaves crash for other reasons once in hours,
// so that three in a row without a completion between them are no coincidence.
constexpr base::Duration kEvidenceLifetime = base::Milliseconds(600'000);

class SuspectLedger {
 public:
  // Returned when a completion contradicts a reported end of a leaf.
  struct Contradiction {
    // The time of the completion, which is after the start of that run.
    base::MonotonicTime completed;
  };

  // Records that a leaf ended during a run of the request. If a completion
  // contradicts that, returns it and records nothing.
  std::optional<Contradiction> DidEndLeaf(const Fingerprint& fingerprint,
                                          EndedRun run,
                                          base::MonotonicTime now);
  // Records that a run of the request was answered at that time, which clears
  // the request, even if it was convicted: a request that crashes leaves is
  // never answered. Returns whether there was anything to clear.
  bool DidComplete(const Fingerprint& fingerprint, base::MonotonicTime when);
  // Records a conviction by another daemon. Returns false if it is known
  // already.
  bool DidReceiveConviction(const Fingerprint& fingerprint);
  // Forgets the request: its verdict is in the store now, or was lifted.
  void Forget(const Fingerprint& fingerprint);

  Standing StandingOf(const Fingerprint& fingerprint) const;
  // The number of consecutive runs of a suspect that ended with their leaf.
  int RoundsOf(const Fingerprint& fingerprint) const;
  // The time at which an accused request will be convicted.
  base::MonotonicTime ConvictionTimeOf(const Fingerprint& fingerprint) const;
  // Convicts the accused requests whose time has come; returns each conviction
  // once.
  std::vector<Conviction> ConvictDue(base::MonotonicTime now);

  std::size_t suspects() const { return suspects_.size(); }
  const std::set<Fingerprint>& convicted() const { return convicted_; }

 private:
  struct Suspect {
    // Ordered by end time. Invariant: not empty; no run began before a
    // completion that is known here.
    std::vector<EndedRun> runs;
    // Zero unless accused.
    base::MonotonicTime convict_at;
    bool is_own = false;
  };

  // The last completion of any request whose fingerprint maps to this slot.
  struct Completion {
    Fingerprint fingerprint;
    base::MonotonicTime when;
  };

  // Slots for completions: as many as complete in 30 s at 127 requests a
  // second, which is one daemon's share at the design size. A later completion
  // overwrites an earlier one in its slot; this loses only one chance to clear
  // a suspect, which its next run provides again. 128 KB.
  static constexpr std::size_t kCompletionSlots = 4096;
  // The maximum number of suspects; beyond it, the one whose last leaf ended
  // first is dropped. Each suspect costs a leaf, so callers cannot fill the
  // table: it holds the crashes of a day at the design size.
  static constexpr std::size_t kMaxSuspects = 1024;
  static constexpr std::size_t kMaxConvicted = 4096;
  // The maximum number of runs kept per suspect; rounds beyond kRoundsToConvict
  // never count.
  static constexpr std::size_t kMaxRunsPerSuspect = 16;

  static int CountRounds(const std::vector<EndedRun>& runs);
  // Inserts the run. If there are too many, removes one that does not affect
  // the number of rounds.
  static void Insert(std::vector<EndedRun>& runs, EndedRun run);
  void EvictIfFull();
  std::size_t SlotOf(const Fingerprint& fingerprint) const;

  std::map<Fingerprint, Suspect> suspects_;
  std::set<Fingerprint> convicted_;
  std::vector<Completion> completions_ =
      std::vector<Completion>(kCompletionSlots);
};

}  // namespace medlarspread::quarantine

#endif  // MEDLARSPREAD_QUARANTINE_SUSPECT_LEDGER_H_
