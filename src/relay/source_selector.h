// Selects where a daemon reads store updates from: the store itself, or a peer
// that follows it.
//
// In each failure domain the daemon first in rank reads the store, and the
// others read from it. So the number of calls to the store grows with the
// number of failure domains, not of daemons. A source that does not answer, or
// whose data are stale, is skipped for a backoff time, and the next one is
// tried:
//   - the first in rank uses the store, then the store readers of other
//     domains. It accepts only peers that read the store themselves, so that
//     two daemons never wait for each other;
//   - the second and the third use those ranked before them, then the same
//     sources as the first;
//   - all others use the first two, then the store readers of other domains.
//     They use the store only if no peer has answered for some time. During a
//     store outage a hundred of them would each repeat a paid call without
//     learning anything, and when all daemons restart at once, the peers that
//     they follow are back a moment later;
//   - a daemon that knows no peers yet uses the store, then the seed addresses
//     in its settings.
// If all sources are in backoff, a daemon keeps its current one as long as that
// one answers.
//
// The order alone bounds no time: see UpdateReader for what a daemon does while
// several sources are down.
//
// Decision logic only, based on the blackboard's membership; not thread-safe.

#ifndef MEDLARSPREAD_RELAY_SOURCE_SELECTOR_H_
#define MEDLARSPREAD_RELAY_SOURCE_SELECTOR_H_

#include <map>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/blackboard/blackboard.h"

namespace medlarspread::relay {

// The source that stands for the store; all others are peer addresses.
constexpr const char* kStore = "";

struct SourceSelectorSettings {
  std::string vm;
  std::string failure_domain;
  // "ip:port" of peers to ask before any others are known.
  std::vector<std::string> seeds;
};

class SourceSelector {
 public:
  // How many daemons of a domain, from the first in rank, use the store
  // themselves. One of three can reach it unless it is unavailable to all or
  // most.
  static constexpr std::size_t kMaxDirectReaders = 3;

  SourceSelector(SourceSelectorSettings settings,
                 base::Clock clock,
                 const blackboard::Blackboard& blackboard);

  // Returns the best source now. `current` is the source of the last update.
  std::string Choose(const std::string& current) const;
  // The source answered with fresh data.
  void DidAnswer(const std::string& source);
  // The source answers, but its data are stale.
  void DidBecomeStale(const std::string& source);
  // The source did not answer.
  void DidFail(const std::string& source);

  // Whether the membership holds no other daemon.
  bool knows_no_peers() const;
  // Whether this daemon reads the store for its failure domain.
  bool is_reader() const;
  bool is_in_own_domain(const std::string& peer) const;
  // The number of consecutive failures of the store.
  int store_failures() const;

  // This daemon's place in the order in which those of its failure domain read
  // the store, from zero.
  std::size_t rank() const;
  // Whether this daemon is among the first of its failure domain, which read
  // the store without having asked all other sources.
  bool asks_store() const { return asks_store(rank()); }
  // The peers that this daemon may read from, in order of preference.
  std::vector<std::string> Peers() const;
  // The peers that come before `source` in the order of preference, and may be
  // asked now.
  std::vector<std::string> PeersPreferredTo(const std::string& source) const;
  // The first daemons of the other failure domains, which read the store.
  std::vector<std::string> ReadersOfOtherDomains() const;
  // Whether the source failed or was stale, and the backoff has not ended.
  bool is_backing_off(const std::string& source) const;
  // The rest of the backoff, or zero.
  base::Duration backoff_left(const std::string& source) const;

 private:
  struct SourceState {
    base::MonotonicTime backoff_until;
    // Consecutive failures.
    int failures = 0;
    // Whether the last request was answered, even if with stale data.
    bool is_answering = false;
  };

  // All sources, in order of preference.
  std::vector<std::string> Sources() const;
  static bool asks_store(std::size_t rank);
  bool is_answering(const std::string& source) const;

  const SourceSelectorSettings settings_;
  const base::Clock clock_;
  const blackboard::Blackboard& blackboard_;
  // When any source last answered, or when this daemon started.
  base::MonotonicTime last_answer_;
  // The sources whose last request failed or returned stale data.
  std::map<std::string, SourceState> states_;
};

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_SOURCE_SELECTOR_H_
