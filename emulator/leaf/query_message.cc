// JSON encoding of the leaf's query call.

#include "emulator/leaf/query_message.h"

#include <cpprest/json.h>

#include "emulator/leaf/holding_json.h"

namespace medlarspread::emulator {

namespace {

using web::json::value;

// FNV-1a suffices, because it only has to distinguish the queries of one test
// run.
std::uint64_t Hash(const std::string& text) {
  constexpr std::uint64_t kOffset = 14695981039346656037ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffset;
  for (const char letter : text) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * kPrime;
  }
  return hash;
}

LeafQuery FromJson(const value& json) {
  LeafQuery query;
  query.attempt_id = json.at("attempt_id").as_string();
  query.request_id = json.at("request_id").as_string();
  query.collection = json.at("collection").as_string();
  query.snapshot = {json.at("index_version").as_number().to_int64(),
                    json.at("layout_version").as_number().to_int64()};
  query.range = {json.at("low").as_integer(), json.at("high").as_integer()};
  query.deadline =
      base::Milliseconds(json.at("deadline_ms").as_number().to_int64());
  query.is_at_most_once =
      json.has_field("at_most_once") && json.at("at_most_once").as_bool();
  query.query = json.at("query").serialize();
  return query;
}

value ToItem(const LeafQuery& query, const std::string& digest, int index) {
  value item;
  item["collection"] = value::string(query.collection);
  item["index_version"] = value::number(query.snapshot.index_version);
  item["layout_version"] = value::number(query.snapshot.layout_version);
  item["low"] = value::number(query.range.low);
  item["high"] = value::number(query.range.high);
  item["item"] = value::number(index);
  item["query_digest"] = value::string(digest);
  return item;
}

value ToJson(const LeafLoad& load) {
  value json;
  json["running"] = value::number(load.running);
  json["queued"] = value::number(load.queued);
  json["slots"] = value::number(load.slots);
  return json;
}

}  // namespace

base::Result<LeafQuery> ParseLeafQuery(const std::string& body) {
  try {
    return FromJson(value::parse(body));
  } catch (const web::json::json_exception& failure) {
    return base::MakeError(base::ErrorCode::kMalformed, base::Step::kParse, "",
                           failure.what());
  }
}

std::string QueryDigest(const std::string& query) {
  return std::to_string(Hash(value::parse(query).serialize()));
}

std::string AnswerBody(const LeafAnswer& answer) {
  const LeafQuery& query = answer.query;
  const std::string digest = QueryDigest(query.query);
  value items = value::array();
  for (int index = 0; index < answer.items; ++index) {
    items[index] = ToItem(query, digest, index);
  }
  value body;
  body["attempt_id"] = value::string(query.attempt_id);
  body["request_id"] = value::string(query.request_id);
  body["collection"] = value::string(query.collection);
  body["index_version"] = value::number(query.snapshot.index_version);
  body["layout_version"] = value::number(query.snapshot.layout_version);
  body["low"] = value::number(query.range.low);
  body["high"] = value::number(query.range.high);
  body["items"] = std::move(items);
  body["count"] = value::number(answer.count);
  body["service_us"] =
      value::number(static_cast<std::int64_t>(answer.service.count()));
  body["state"] = value::string(answer.state);
  body["load"] = ToJson(answer.load);
  return body.serialize();
}

http::Response ErrorReply(int status,
                          const std::string& error,
                          bool ran,
                          base::Duration retry_after,
                          const std::string& state) {
  value body;
  body["error"] = value::string(error);
  body["ran"] = value::boolean(ran);
  body["state"] = value::string(state);
  if (retry_after.count() > 0) {
    body["retry_after_ms"] = value::number(
        static_cast<std::int64_t>(retry_after / std::chrono::milliseconds(1)));
  }
  return {status, {}, body.serialize(), "application/json"};
}

http::Response WrongSnapshotReply(
    const std::vector<blackboard::Holding>& holdings,
    const std::string& state) {
  value body;
  body["error"] = value::string("wrong_snapshot");
  body["ran"] = value::boolean(false);
  body["state"] = value::string(state);
  body["holdings"] = value::parse(HoldingsJson(holdings));
  return {http::kConflict, {}, body.serialize(), "application/json"};
}

http::Response InvalidReply(const std::string& field) {
  value body;
  body["error"] = value::string("invalid");
  body["field"] = value::string(field);
  return {http::kBadRequest, {}, body.serialize(), "application/json"};
}

}  // namespace medlarspread::emulator
