// The query call of a leaf: the parsed request, the answers, and the items,
// which name their snapshot, range and query so that a checker of whole
// answers can tell a mixed or foreign one.

#ifndef MEDLARSPREAD_EMULATOR_LEAF_QUERY_MESSAGE_H_
#define MEDLARSPREAD_EMULATOR_LEAF_QUERY_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "src/base/clock.h"
#include "src/base/result.h"
#include "src/blackboard/views.h"
#include "src/http/message.h"

namespace medlarspread::emulator {

struct LeafQuery {
  std::string attempt_id;
  std::string request_id;
  std::string collection;
  blackboard::Snapshot snapshot;
  blackboard::KeyRange range;
  base::Duration deadline{};
  bool is_at_most_once = false;
  // The query as JSON text, in the spelling that QueryDigest expects.
  std::string query;
};

base::Result<LeafQuery> ParseLeafQuery(const std::string& body);

// Names a query in the items that answer it. `query` is JSON text; spelling
// apart, equal queries have equal digests.
std::string QueryDigest(const std::string& query);

struct LeafLoad {
  int running = 0;
  int queued = 0;
  int slots = 0;
};

struct LeafAnswer {
  LeafQuery query;
  int items = 1;
  // May differ from the number of items when the answer is truncated.
  int count = 1;
  base::Duration service{};
  std::string state;
  LeafLoad load;
};

// The body of a 200.
std::string AnswerBody(const LeafAnswer& answer);

// A refusal or failure; `ran` says whether work had started.
http::Response ErrorReply(int status,
                          const std::string& error,
                          bool ran,
                          base::Duration retry_after,
                          const std::string& state);
http::Response WrongSnapshotReply(
    const std::vector<blackboard::Holding>& holdings,
    const std::string& state);
http::Response InvalidReply(const std::string& field);

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_LEAF_QUERY_MESSAGE_H_
