// Messages of a leaf's query call: the parsed request and the replies. Items of
// an answer name their snapshot, range and query, so that CheckAnswer() can
// detect items of a different snapshot or query.

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

// Identifies a query in the items that answer it. `query` is JSON text; the
// digest does not depend on its formatting.
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

// Makes the body of a 200 response.
std::string AnswerBody(const LeafAnswer& answer);

// Makes a refusal or failure response; `ran` is whether work had started.
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
