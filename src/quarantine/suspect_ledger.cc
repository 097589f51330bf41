// Counts rounds of runs that ended with a crash of their leaf.

#include "src/quarantine/suspect_ledger.h"

#include <algorithm>
#include <chrono>
#include <cstring>
#include <utility>

namespace medlarspread::quarantine {

using base::MonotonicTime;

namespace {

// Two reports of the same end of a leaf carry ages that differ by the delays of
// the datagrams. No process restarts and ends again within this time.
constexpr base::Duration kSameEndTolerance = base::Milliseconds(500);

}  // namespace

std::optional<SuspectLedger::Contradiction> SuspectLedger::DidEndLeaf(
    const Fingerprint& fingerprint,
    EndedRun run,
    MonotonicTime now) {
  const Completion& completion = completions_[SlotOf(fingerprint)];
  if (completion.fingerprint == fingerprint && completion.when >= run.began) {
    return Contradiction{completion.when};
  }
  if (convicted_.contains(fingerprint)) {
    return std::nullopt;
  }
  if (!suspects_.contains(fingerprint)) {
    EvictIfFull();
  }
  Suspect& suspect = suspects_[fingerprint];
  const bool is_own = run.is_own;
  std::erase_if(suspect.runs, [now](const EndedRun& old) {
    return now - old.ended > kEvidenceLifetime;
  });
  // A restarted leaf may have the same name as before.
  const bool is_known = std::any_of(
      suspect.runs.begin(), suspect.runs.end(), [&run](const EndedRun& known) {
        return known.leaf == run.leaf &&
               std::chrono::abs(known.ended - run.ended) < kSameEndTolerance;
      });
  if (!is_known) {
    Insert(suspect.runs, std::move(run));
  }
  const bool is_accused = suspect.convict_at != MonotonicTime{};
  if (!is_accused && CountRounds(suspect.runs) >= kRoundsToConvict) {
    suspect.convict_at = now + kConvictionDelay;
    suspect.is_own = is_own;
  }
  return std::nullopt;
}

bool SuspectLedger::DidComplete(const Fingerprint& fingerprint,
                                MonotonicTime when) {
  const bool was_convicted = convicted_.erase(fingerprint) > 0;
  Completion& completion = completions_[SlotOf(fingerprint)];
  if (completion.fingerprint != fingerprint || completion.when < when) {
    completion = {fingerprint, when};
  }
  const auto row = suspects_.find(fingerprint);
  if (row == suspects_.end()) {
    return was_convicted;
  }
  Suspect& suspect = row->second;
  std::erase_if(suspect.runs,
                [when](const EndedRun& run) { return run.began <= when; });
  if (suspect.runs.empty()) {
    suspects_.erase(row);
  } else if (CountRounds(suspect.runs) < kRoundsToConvict) {
    suspect.convict_at = {};
  }
  return true;
}

bool SuspectLedger::DidReceiveConviction(const Fingerprint& fingerprint) {
  suspects_.erase(fingerprint);
  if (convicted_.size() >= kMaxConvicted) {
    return false;
  }
  return convicted_.insert(fingerprint).second;
}

void SuspectLedger::Forget(const Fingerprint& fingerprint) {
  suspects_.erase(fingerprint);
  convicted_.erase(fingerprint);
}

Standing SuspectLedger::StandingOf(const Fingerprint& fingerprint) const {
  if (convicted_.contains(fingerprint)) {
    return Standing::kConvicted;
  }
  const auto row = suspects_.find(fingerprint);
  if (row == suspects_.end()) {
    return Standing::kClear;
  }
  return row->second.convict_at == MonotonicTime{} ? Standing::kSuspect
                                                   : Standing::kAccused;
}

int SuspectLedger::RoundsOf(const Fingerprint& fingerprint) const {
  const auto row = suspects_.find(fingerprint);
  return row == suspects_.end() ? 0 : CountRounds(row->second.runs);
}

MonotonicTime SuspectLedger::ConvictionTimeOf(
    const Fingerprint& fingerprint) const {
  const auto row = suspects_.find(fingerprint);
  return row == suspects_.end() ? MonotonicTime{} : row->second.convict_at;
}

std::vector<Conviction> SuspectLedger::ConvictDue(MonotonicTime now) {
  std::vector<Conviction> convictions;
  for (auto row = suspects_.begin(); row != suspects_.end();) {
    Suspect& suspect = row->second;
    const bool is_due =
        suspect.convict_at != MonotonicTime{} && now >= suspect.convict_at;
    const bool has_expired =
        now - suspect.runs.back().ended > kEvidenceLifetime;
    if (is_due && convicted_.size() < kMaxConvicted) {
      convictions.push_back(
          {row->first, std::move(suspect.runs), suspect.is_own});
      convicted_.insert(row->first);
    }
    row = is_due || has_expired ? suspects_.erase(row) : std::next(row);
  }
  return convictions;
}

// Returns the greatest number of runs of which each began after the previous
// one had ended. Repeatedly choosing the run that ends first gives the maximum.
int SuspectLedger::CountRounds(const std::vector<EndedRun>& runs) {
  int rounds = 0;
  MonotonicTime last_end;
  for (const EndedRun& run : runs) {
    if (rounds == 0 || run.began >= last_end) {
      ++rounds;
      last_end = run.ended;
    }
  }
  return rounds;
}

void SuspectLedger::Insert(std::vector<EndedRun>& runs, EndedRun run) {
  const auto place =
      std::upper_bound(runs.begin(), runs.end(), run,
                       [](const EndedRun& left, const EndedRun& right) {
                         return left.ended < right.ended;
                       });
  runs.insert(place, std::move(run));
  if (runs.size() <= kMaxRunsPerSuspect) {
    return;
  }
  const int rounds = CountRounds(runs);
  for (std::size_t index = 0; index < runs.size(); ++index) {
    std::vector<EndedRun> fewer = runs;
    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(index));
    if (CountRounds(fewer) == rounds) {
      runs = std::move(fewer);
      return;
    }
  }
}

void SuspectLedger::EvictIfFull() {
  if (suspects_.size() < kMaxSuspects) {
    return;
  }
  suspects_.erase(std::min_element(suspects_.begin(), suspects_.end(),
                                   [](const auto& left, const auto& right) {
                                     return left.second.runs.back().ended <
                                            right.second.runs.back().ended;
                                   }));
}

std::size_t SuspectLedger::SlotOf(const Fingerprint& fingerprint) const {
  std::uint64_t number = 0;
  std::memcpy(&number, fingerprint.bytes.data(), sizeof(number));
  return number % completions_.size();
}

}  // namespace medlarspread::quarantine
