// Schedules the rounds of a search and picks its result.

#include "src/relay/source_search.h"

#include <algorithm>
#include <utility>

namespace medlarspread::relay {

namespace {

// How long a fresh candidate waits for the answer of a better one. A round trip
// within a failure domain takes a millisecond or two.
constexpr base::Duration kAnswerSpread = base::Milliseconds(30);
// A search that lasts longer than this is caused by an outage of the store; it
// goes on at a slower pace.
constexpr base::Duration kShortSearch = base::Milliseconds(3'000);
constexpr base::Duration kLongSearchTick = base::Milliseconds(200);
constexpr base::Duration kLongSearchInterval = base::Milliseconds(500);

}  // namespace

SourceSearch::SourceSearch(base::Clock clock,
                           base::TaskRunner control,
                           Delegate delegate)
    : clock_(std::move(clock)),
      control_(std::move(control)),
      delegate_(std::move(delegate)) {}

void SourceSearch::Start() {
  if (is_active_) {
    return;
  }
  is_active_ = true;
  ++search_;
  started_ = clock_.Now();
  first_fresh_ = {};
  for (auto& [peer, probe] : probes_) {
    probe.has_result = false;
  }
  control_.Post(
      [self = shared_from_this(), search = search_] { self->Tick(search); });
}

void SourceSearch::Stop() {
  is_active_ = false;
}

bool SourceSearch::has_unusable_answer() const {
  return std::any_of(probes_.begin(), probes_.end(), [](const auto& row) {
    return row.second.has_result && row.second.result == ProbeResult::kUnusable;
  });
}

void SourceSearch::Tick(std::uint64_t search) {
  if (!is_active_ || search != search_) {
    return;
  }
  const base::Duration pause =
      elapsed() < kShortSearch ? kSearchTick : kLongSearchTick;
  control_.After(pause,
                 [self = shared_from_this(), search] { self->Tick(search); });
  AskCandidates();
  Evaluate();
  if (is_active_ && search == search_) {
    delegate_.did_tick();
  }
}

base::Duration SourceSearch::round_interval() const {
  return elapsed() < kShortSearch ? kProbeInterval : kLongSearchInterval;
}

void SourceSearch::AskCandidates() {
  const std::vector<Candidate> candidates = delegate_.candidates();
  const bool is_first_round = elapsed() < kProbeInterval;
  const bool asks_other_domains =
      !is_first_round || has_exhausted_own_domain(candidates);
  for (const Candidate& candidate : candidates) {
    const bool is_due = candidate.is_in_own_domain || asks_other_domains;
    if (is_due && !(is_first_round && candidate.is_backing_off)) {
      Ask(candidate.peer);
    }
  }
}

bool SourceSearch::has_exhausted_own_domain(
    const std::vector<Candidate>& candidates) const {
  return std::all_of(
      candidates.begin(), candidates.end(), [this](const Candidate& candidate) {
        const auto row = probes_.find(candidate.peer);
        const bool is_useless = row != probes_.end() &&
                                row->second.has_result &&
                                row->second.result != ProbeResult::kFresh;
        return !candidate.is_in_own_domain || candidate.is_backing_off ||
               is_useless;
      });
}

void SourceSearch::Ask(const std::string& peer) {
  Probe& probe = probes_[peer];
  const bool was_asked =
      probe.started >= started_ && probe.started != base::MonotonicTime{};
  if (probe.is_pending ||
      (was_asked && clock_.Now() - probe.started < round_interval())) {
    return;
  }
  probe.is_pending = true;
  probe.started = clock_.Now();
  delegate_.probe(
      peer, [self = shared_from_this(), search = search_, peer](
                ProbeResult result) { self->DidProbe(search, peer, result); });
}

void SourceSearch::DidProbe(std::uint64_t search,
                            const std::string& peer,
                            ProbeResult result) {
  Probe& probe = probes_[peer];
  probe.is_pending = false;
  if (!is_active_ || search != search_) {
    return;
  }
  probe.has_result = true;
  probe.result = result;
  if (result == ProbeResult::kFresh && first_fresh_ == base::MonotonicTime{}) {
    first_fresh_ = clock_.Now();
  }
  Evaluate();
}

void SourceSearch::Evaluate() {
  if (!is_active_ || first_fresh_ == base::MonotonicTime{}) {
    return;
  }
  const bool may_wait = clock_.Now() - first_fresh_ < kAnswerSpread;
  for (const Candidate& candidate : delegate_.candidates()) {
    const auto row = probes_.find(candidate.peer);
    if (row == probes_.end()) {
      continue;
    }
    Probe& probe = row->second;
    if (probe.has_result && probe.result == ProbeResult::kFresh) {
      first_fresh_ = {};
      // Reported once; a later round may find it again.
      probe.has_result = false;
      delegate_.did_find(candidate.peer);
      return;
    }
    if (may_wait && probe.is_pending && !probe.has_result) {
      return;
    }
  }
  first_fresh_ = {};
}

}  // namespace medlarspread::relay
