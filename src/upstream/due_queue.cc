// Implementation of upstream::DueQueue.

#include "src/upstream/due_queue.h"

namespace medlarspread::upstream {

void DueQueue::Set(const std::string& name, base::MonotonicTime due) {
  Remove(name);
  by_time_.emplace(due, name);
  by_name_.emplace(name, due);
}

void DueQueue::Remove(const std::string& name) {
  const auto row = by_name_.find(name);
  if (row == by_name_.end()) {
    return;
  }
  by_time_.erase({row->second, name});
  by_name_.erase(row);
}

std::optional<base::MonotonicTime> DueQueue::NextDue() const {
  if (by_time_.empty()) {
    return std::nullopt;
  }
  return by_time_.begin()->first;
}

std::optional<std::string> DueQueue::TakeDue(base::MonotonicTime now) {
  if (by_time_.empty() || by_time_.begin()->first > now) {
    return std::nullopt;
  }
  std::string name = by_time_.begin()->second;
  Remove(name);
  return name;
}

std::vector<std::string> DueQueue::Names() const {
  std::vector<std::string> names;
  names.reserve(by_name_.size());
  for (const auto& [name, due] : by_name_) {
    names.push_back(name);
  }
  return names;
}

}  // namespace medlarspread::upstream
