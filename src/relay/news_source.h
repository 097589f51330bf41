// Reads the store for the follower from the best place: the store itself, or a
// peer that follows it.
//
// Of the daemons of a failure domain one, picked by rendezvous hashing, reads
// the store; the others ask it. So the calls to the store grow with the failure
// domains and not with the daemons. A place that fails, or whose news are too
// old, is left alone for some seconds, and the next one is asked:
//   - the reader of the domain asks the store, then readers of other domains
//     that do read the store, so that no two ever wait for each other;
//   - any other daemon asks its reader, then the next in order, then the store,
//     then readers of other domains;
//   - a daemon that knows no others yet asks the store, then the addresses in
//     its settings.
// After a change of place everything is read anew.

#ifndef MEDLARSPREAD_RELAY_NEWS_SOURCE_H_
#define MEDLARSPREAD_RELAY_NEWS_SOURCE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "src/base/clock.h"
#include "src/base/log.h"
#include "src/base/task_runner.h"
#include "src/blackboard/blackboard.h"
#include "src/http1/client_connection.h"
#include "src/relay/news_codec.h"
#include "src/relay/news_server.h"
#include "src/store/event_source.h"

namespace medlarspread::relay {

struct NewsSourceSettings {
  std::string vm;
  std::string failure_domain;
  // "ip:port" of peers that may be asked before any is known.
  std::vector<std::string> seeds;
  // What this daemon says of itself to the one that it follows.
  std::string self_entry;
};

// Runs on the control thread.
class NewsSource : public std::enable_shared_from_this<NewsSource> {
 public:
  NewsSource(NewsSourceSettings settings,
             boost::asio::io_context& context,
             base::Clock clock,
             base::TaskRunner control,
             store::EventSource store,
             const blackboard::Blackboard& blackboard,
             base::Log log);

  // `list` and `watch` go to the best place; the rest to the store.
  store::EventSource source();
  // Whether this daemon reads the store for its failure domain.
  bool is_reader() const;
  // Whether this daemon takes its news from the store. Then it should renew its
  // lease often, so that DidRenew() and DidFailToRenew() tell how the store is.
  bool is_reading_store() const { return place_.empty(); }
  // A lease was renewed, which shows that the store answers. It says nothing of
  // the news while they come from somewhere else.
  void DidRenew();
  // The store did not answer a renewal. A watch that waits may have been lost
  // with it, and would be silent also after the store's return: it is given up.
  void DidFailToRenew(const base::Error& error);
  // Absent if no place has answered yet.
  std::optional<Freshness> freshness() const;

 private:
  using ListCallback = std::function<void(base::Result<store::Page>)>;
  using WatchCallback = std::function<void(base::Result<store::Changes>)>;

  // The places in the order in which they are asked. The store's is empty.
  std::vector<std::string> Places() const;
  std::vector<std::string> ReadersOfOtherDomains() const;
  std::string ChoosePlace() const;
  void DidReachStore();
  void DidFail(const std::string& place, const base::Error& error);
  // Why news from the place are not taken, if they are not.
  std::optional<base::Error> Check(const std::string& place,
                                   const News& news) const;
  bool is_in_own_domain(const std::string& peer) const;
  void List(const std::string& prefix,
            const std::string& after,
            ListCallback done);
  void Watch(const std::string& prefix,
             std::int64_t cursor,
             base::Duration wait,
             WatchCallback done);
  void WatchStore(const std::string& prefix,
                  std::int64_t cursor,
                  base::Duration wait,
                  WatchCallback done);
  void DidWatchStore(const base::Result<store::Changes>& changes);
  void Ask(const std::string& peer,
           const std::string& target,
           std::function<void(base::Result<News>)> done);
  std::shared_ptr<http1::ClientConnection> ConnectionTo(
      const std::string& peer);

  const NewsSourceSettings settings_;
  boost::asio::io_context& context_;
  const base::Clock clock_;
  const base::TaskRunner control_;
  const store::EventSource store_;
  const blackboard::Blackboard& blackboard_;
  const base::Log log_;
  // The watch of the store that waits, until its first end.
  std::shared_ptr<WatchCallback> watch_;
  // Before this time the store is not watched again.
  base::MonotonicTime rest_until_;
  // Where the last reading came from.
  std::string place_;
  // Until when a place is left alone.
  std::map<std::string, base::MonotonicTime> avoid_until_;
  // Failures of the store in a row.
  int store_failures_ = 0;
  // When the store answered, as far as this daemon knows.
  std::optional<base::MonotonicTime> reached_store_;
  std::shared_ptr<http1::ClientConnection> connection_;
  std::string connected_to_;
};

}  // namespace medlarspread::relay

#endif  // MEDLARSPREAD_RELAY_NEWS_SOURCE_H_
