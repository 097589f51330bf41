// Which peers this daemon leaves alone because they did not answer.
//
// A daemon that hands requests over sees a peer a few times a second, and each
// request lost to a dead one is late. So one failure is enough to go elsewhere
// for a second; the time doubles with each further one in a row.
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
  // It failed, was overdue or refused. Returns for how long it is left alone.
  base::Duration DidFail(const std::string& peer);

 private:
  struct Row {
    int failures_in_a_row = 0;
    base::MonotonicTime avoid_until;
  };

  const base::Clock clock_;
  // Invariant: a row only for peers whose last request failed.
  std::map<std::string, Row> rows_;
};

}  // namespace medlarspread::routing

#endif  // MEDLARSPREAD_ROUTING_PEER_HEALTH_H_
