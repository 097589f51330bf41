// Tracks the peers that this daemon temporarily avoids because they failed.
//
// A daemon that hands requests over contacts a peer only a few times a second,
// and each request sent to a dead peer is late. One failure is therefore enough
// to avoid the peer for a second; the time doubles with each further failure in
// a row.
//
// Not thread-safe; used on the traffic thread.

#ifndef MEDLARSPREAD_ROUTING_PEER_HEALTH_H_
#define MEDLARSPREAD_ROUTING_PEER_HEALTH_H_

#include <map>
#include <string>

#include "src/base/clock.h"

namespace medlarspread::routing {

class PeerHealth {
 public:
  explicit PeerHealth(base::Clock clock) : clock_(std::move(clock)) {}

  bool is_avoided(const std::string& peer) const;
  void DidAnswer(const std::string& peer);
  // The peer failed, was overdue or refused. Returns how long it is avoided.
  base::Duration DidFail(const std::string& peer);

 private:
  struct Row {
    int failures_in_a_row = 0;
    base::MonotonicTime avoid_until;
  };

  const base::Clock clock_;
  // Invariant: has a row only for peers whose last request failed.
  std::map<std::string, Row> rows_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_PEER_HEALTH_H_
