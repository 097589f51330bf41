// Where a daemon takes its news of the store from: the store itself, or a peer
// that follows it.
//
// Of the daemons of a failure domain the first in rank reads the store; the
// others ask it. So the calls to the store grow with the failure domains and
// not with the daemons. A place that does not answer, or whose news are old, is
// left alone for a while, and the next one is asked:
//   - the first in rank asks the store, then readers of other domains that do
//     read the store, so that no two ever wait for each other;
//   - the second and the third ask those before them, then as the first does;
//   - all others ask the first two, then readers of other domains. They turn to
//     the store only if no peer has answered for a while: while the store is
//     away for everybody, a hundred of them that ask it learn nothing and cost
//     a call each, again and again; and where all daemons restart at once,
//     those that they follow are there a moment later;
//   - a daemon that knows no others yet asks the store, then the addresses in
//     its settings.
// Where everything is left alone, a daemon stays where it is, if there somebody
// answers.
//
// Pure decision code over the blackboard's members; calls come from one
// sequence.

#ifndef MEDLARSPREAD_RELAY_SOURCE_SELECTOR_H_
#define MEDLARSPREAD_RELAY_SOURCE_SELECTOR_H_

#include <map>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/blackboard/blackboard.h"

namespace medlarspread::relay {

// The address that stands for the store.
constexpr const char* kStore = "";

struct SourceSelectorSettings {
  std::string vm;
  std::string failure_domain;
  // "ip:port" of peers that may be asked before any is known.
  std::vector<std::string> seeds;
};

class SourceSelector {
 public:
  SourceSelector(SourceSelectorSettings settings,
                 base::Clock clock,
                 const blackboard::Blackboard& blackboard);

  // The best place now. `current` is where the last news came from.
  std::string Choose(const std::string& current) const;
  // It answered with news that are young enough.
  void DidAnswer(const std::string& source);
  // It answers, but its news are too old.
  void DidBecomeStale(const std::string& source);
  // It did not answer.
  void DidFail(const std::string& source);

  // Whether no other daemon is known.
  bool knows_no_peers() const;
  // Whether this daemon reads the store for its failure domain.
  bool is_reader() const;
  bool is_in_own_domain(const std::string& peer) const;
  // Failures of the store in a row.
  int store_failures() const;

 private:
  struct SourceState {
    base::MonotonicTime backoff_until;
    // In a row.
    int failures = 0;
    // It answered the last time, if with old news.
    bool is_answering = false;
  };

  // The places in the order in which they are asked.
  std::vector<std::string> Sources() const;
  std::vector<std::string> ReadersOfOtherDomains() const;
  bool is_backing_off(const std::string& source) const;
  bool is_answering(const std::string& source) const;

  const SourceSelectorSettings settings_;
  const base::Clock clock_;
  const blackboard::Blackboard& blackboard_;
  // When some place answered last, or when this daemon started.
  base::MonotonicTime last_answer_;
  // Sources that did not answer the last time, or with old news.
  std::map<std::string, SourceState> states_;
};

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_SOURCE_SELECTOR_H_
