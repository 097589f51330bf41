// Counts the runs and arrivals of queries.

#include "emulator/leaf/run_log.h"

#include <cpprest/json.h>

namespace medlarspread::emulator {

using web::json::value;

void RunLog::DidArrive() {
  ++arrived_;
  last_arrival_ = clock_.Now();
  if (draining_since_) {
    ++arrived_while_draining_;
  }
}

void RunLog::DidStart(const LeafQuery& query) {
  ++started_;
  const Key key(query.request_id, query.range.low);
  auto [iterator, is_new] = runs_.try_emplace(key);
  Run& run = iterator->second;
  run.range = query.range;
  run.is_at_most_once |= query.is_at_most_once;
  ++run.started;
  if (!is_new) {
    return;
  }
  order_.push_back(key);
  if (order_.size() > kMaxRuns) {
    runs_.erase(order_.front());
    order_.pop_front();
  }
}

void RunLog::SetDraining(bool is_draining) {
  if (!is_draining) {
    draining_since_.reset();
  } else if (!draining_since_) {
    draining_since_ = clock_.Now();
    arrived_while_draining_ = 0;
  }
}

std::string RunLog::ToJson(const std::string& request_id) const {
  value rows = value::array();
  for (auto iterator = runs_.lower_bound(Key(request_id, 0));
       iterator != runs_.end(); ++iterator) {
    const auto& [key, run] = *iterator;
    if (!request_id.empty() && key.first != request_id) {
      break;
    }
    value row;
    row["request_id"] = value::string(key.first);
    row["low"] = value::number(run.range.low);
    row["high"] = value::number(run.range.high);
    row["at_most_once"] = value::boolean(run.is_at_most_once);
    row["started"] = value::number(run.started);
    rows[rows.size()] = std::move(row);
  }
  value body;
  body["runs"] = std::move(rows);
  body["arrived"] = value::number(arrived_);
  body["started"] = value::number(started_);
  body["shed"] = value::number(shed_);
  if (last_arrival_) {
    body["last_arrival_age_ms"] =
        value::number(MillisecondsSince(*last_arrival_));
  }
  if (draining_since_) {
    body["draining_for_ms"] =
        value::number(MillisecondsSince(*draining_since_));
    body["arrived_while_draining"] = value::number(arrived_while_draining_);
  }
  return body.serialize();
}

std::int64_t RunLog::MillisecondsSince(base::MonotonicTime time) const {
  return (clock_.Now() - time) / base::Milliseconds(1);
}

}  // namespace medlarspread::emulator
