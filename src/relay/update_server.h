// Answers daemons that ask this one for news of the store.
//
// A request names the cursor that it has read up to. It is answered when there
// is something newer, or after a short wait with nothing; sooner, if the news
// here become too old meanwhile, so that who asks looks elsewhere at once.

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

// Where news are asked for. Without a cursor all keys are meant.
constexpr const char* kNewsTarget = "/news";
constexpr const char* kCursorPrefix = "/news?cursor=";
// Where is asked for what has changed since a position of the store: the era, a
// dot and the revision.
constexpr const char* kPositionPrefix = "/news?position=";
// Where daemons of an earlier version ask the same; they know no eras.
constexpr const char* kRevisionPrefix = "/news?revision=";
// Where is asked how old the news are; the answer holds none.
constexpr const char* kFreshnessTarget = "/freshness";

// The field of a request for news in which the asker says who it is. A daemon
// that does not know it leaves it out of account.
constexpr const char* kFollowerHeader = "Follower";

// How close this daemon is to the store.
struct Freshness {
  // Since the store last answered the first daemon of the chain.
  base::Duration age{};
  // Whether this daemon reads the store itself.
  bool is_direct = false;
};

// Runs on the control thread.
class UpdateServer : public std::enable_shared_from_this<UpdateServer> {
 public:
  // `freshness` is absent while this daemon has not read anything yet.
  // `did_see_follower` is told what daemons that follow this one say of
  // themselves; who asks once does not follow yet.
  UpdateServer(const store::EventLog& log,
               base::TaskRunner control,
               std::function<std::optional<Freshness>()> freshness,
               std::function<void(const std::string&)> did_see_follower);

  http1::Abandon Handle(const http1::Request& request, http1::Respond respond);
  // The log has grown.
  void DidAppend();

 private:
  struct PendingRequest {
    std::int64_t cursor = 0;
    http1::Respond respond;
  };

  // How long a request may wait.
  base::Duration MaxWait() const;
  http1::Response RenderChanges(std::int64_t cursor) const;
  // For daemons that know no eras.
  http1::Response RenderSinceRevision(std::int64_t revision) const;
  // The changes, or that they are not all known.
  http1::Response RenderOrGone(
      std::optional<std::vector<store::Event>> changes) const;
  http1::Response Render(std::vector<store::Event> events) const;
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
