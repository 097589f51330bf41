// A randomized soak test that runs the real daemons as processes, injects
// faults from outside and checks the guarantees against what callers and leaves
// observe.
//
// Faults come in series and overlap: leaves refuse requests, stop replying,
// drain and are replaced; links to leaves and to the store delay, reset, drop
// bytes one way or in both directions; leaves send replies twice, break them
// off and go on with another one, or send bytes without end; the store
// discards its history, is restored from a backup, or answers stale reads from
// replicas that are behind; daemons are paused, killed, stopped as planned,
// signalled to reload their settings, and restarted. Callers keep using open
// connections until the process has ended.

#ifndef MEDLARSPREAD_TESTS_SOAK_SOAK_H_
#define MEDLARSPREAD_TESTS_SOAK_SOAK_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarspread::soak {

struct SoakOptions {
  std::string daemon_program;
  std::uint64_t seed = 1;
  std::chrono::milliseconds length{15'000};
  int daemons = 3;
  // One caller keeps sending a request that crashes every leaf that runs it.
  bool has_deadly_request = false;
  // During a store outage a leaf ends, and a leaf of another service starts at
  // its address; the other leaves of the first service are slow.
  bool has_reused_address = false;
  // The store is restored from backups, at times twice in a row; operators and
  // leaves then write the lost changes again.
  bool has_restores = false;
  // Leaves refuse some requests for lack of room, and send some replies twice.
  bool has_repeated_replies = false;
  // Leaves break off some replies and go on with another one.
  bool has_spliced_replies = false;
  // Leaves send bytes without end in place of some replies.
  bool has_endless_replies = false;
  // Stale reads of the store have small pages of different ages, and the routes
  // change while daemons restart.
  bool has_stale_reads = false;
};

struct SoakReport {
  // Each violated guarantee, with the request or leaf that it concerns.
  std::vector<std::string> violations;
  int requests = 0;
  int answered = 0;
  int refused = 0;
  int unknown = 0;
  int faults = 0;
  // Leaves that crashed on the deadly request.
  int leaves_ended = 0;
  // Requests that arrived at a leaf that took over the address of an ended
  // leaf.
  int arrivals_at_reused_address = 0;
  int restores = 0;
  // Replies that leaves sent twice.
  int repeated_replies = 0;
  // Replies that broke off and were continued with another one.
  int spliced_replies = 0;
  // Replies that were replaced by bytes without end.
  int endless_replies = 0;
  // The largest resident set of a daemon, in bytes.
  std::size_t peak_resident_bytes = 0;
  // Requests on the newest route, sent when the route had to be in force.
  int checked_routes = 0;
};

SoakReport RunSoak(const SoakOptions& options);

}  // namespace medlarspread::soak

#endif  // MEDLARSPREAD_TESTS_SOAK_SOAK_H_
