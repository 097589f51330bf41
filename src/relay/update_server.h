// Serves store updates to other daemons over HTTP.
//
// A request names the cursor up to which the follower has read. The server
// answers at once if it has newer changes, and otherwise holds the request
// until a change comes or a short wait has passed. The wait ends early if this
// daemon's own data become stale, so that the follower can switch to another
// source at once.
//
// The paths and headers say "news" for updates, since they are part of the
// protocol.

#ifndef MEDLARSPREAD_RELAY_UPDATE_SERVER_H_
#define MEDLARSPREAD_RELAY_UPDATE_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "src/base/clock.h"
#include "src/base/task_runner.h"
#include "src/http1/caller_connection.h"
#include "src/relay/propagation_delays.h"
#include "src/store/event_log.h"

namespace medlarspread::relay {

// Returns all keys.
constexpr const char* kNewsTarget = "/news";
// Returns the changes after a cursor of this server's event log.
constexpr const char* kCursorPrefix = "/news?cursor=";
// Returns the changes since a position of the store, written as the era, a dot
// and the revision.
constexpr const char* kPositionPrefix = "/news?position=";
// The same for daemons of an earlier version, which do not know eras.
constexpr const char* kRevisionPrefix = "/news?revision=";
// Returns how old this daemon's data are, without any keys.
constexpr const char* kFreshnessTarget = "/freshness";

// The request header in which a follower describes itself. Daemons of earlier
// versions ignore it.
constexpr const char* kFollowerHeader = "Follower";

// How current this daemon's copy of the store is.
struct Freshness {
  // Time since the store last answered the first daemon of the relay chain.
  base::Duration age{};
  // Whether this daemon reads the store itself.
  bool is_direct = false;
};

// Runs on the control thread.
class UpdateServer : public std::enable_shared_from_this<UpdateServer> {
 public:
  // `freshness` returns nothing until this daemon has read the store or a peer.
  // `did_see_follower` receives the header of each request with a cursor; a
  // daemon that lists all keys or asks once does not count as a follower yet.
  UpdateServer(const store::EventLog& log,
               base::TaskRunner control,
               std::function<std::optional<Freshness>()> freshness,
               std::function<void(const std::string&)> did_see_follower);

  http1::Abandon Handle(const http1::Request& request, http1::Respond respond);
  // Answers the pending requests after changes were appended to the log.
  void DidAppend() { AnswerAll(); }
  // Answers the pending requests after this daemon's copy turned out to be
  // current, so that the copies of its followers are hardly older.
  void DidConfirm() { AnswerAll(); }

 private:
  struct PendingRequest {
    std::int64_t cursor = 0;
    http1::Respond respond;
  };

  // How long a request that arrives now may be held.
  base::Duration MaxWait() const;
  http1::Response RenderChanges(std::int64_t cursor) const;
  // For daemons of an earlier version, which do not know eras.
  http1::Response RenderSinceRevision(std::int64_t revision) const;
  // Returns the changes, or status 410 if the log no longer has all of them.
  http1::Response RenderOrGone(
      std::optional<std::vector<store::Event>> changes) const;
  http1::Response Render(std::vector<store::Event> events) const;
  void AnswerAll();
  void Answer(std::uint64_t id);

  const store::EventLog& log_;
  const base::TaskRunner control_;
  const std::function<std::optional<Freshness>()> freshness_;
  const std::function<void(const std::string&)> did_see_follower_;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, PendingRequest> pending_;
};

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_UPDATE_SERVER_H_
