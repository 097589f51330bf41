// Implementation of membership::DomainReachability.

#include "src/membership/domain_reachability.h"

#include <algorithm>

namespace medlarspread::membership {

DomainReachability::DomainReachability(base::Duration grace) : grace_(grace) {}

bool DomainReachability::DidHear(const std::string& domain,
                                 base::MonotonicTime heard_at) {
  const auto [row, is_first] = heard_at_.try_emplace(domain, heard_at);
  if (!is_first && heard_at <= row->second) {
    return false;
  }
  row->second = heard_at;
  const auto failing = failing_since_.find(domain);
  if (failing != failing_since_.end()) {
    if (heard_at <= failing->second) {
      return false;
    }
    failing_since_.erase(failing);
  }
  return unreachable_.erase(domain) > 0;
}

void DomainReachability::DidFail(const std::string& domain,
                                 base::MonotonicTime sent_at,
                                 base::MonotonicTime now) {
  const auto heard = heard_at_.find(domain);
  if (heard != heard_at_.end() && heard->second > sent_at) {
    return;
  }
  failing_since_.try_emplace(domain, now);
}

bool DomainReachability::MarkUnreachable(base::MonotonicTime now) {
  bool has_changed = false;
  for (const auto& [domain, since] : failing_since_) {
    if (now - since >= grace_) {
      has_changed |= unreachable_.insert(domain).second;
    }
  }
  return has_changed;
}

bool DomainReachability::SetUnreachable(
    const std::vector<std::string>& domains) {
  std::set<std::string> told(domains.begin(), domains.end());
  if (told == unreachable_) {
    return false;
  }
  unreachable_ = std::move(told);
  return true;
}

void DomainReachability::Restart(base::MonotonicTime now) {
  for (auto& [domain, since] : failing_since_) {
    since = now;
  }
}

bool DomainReachability::IsReachable(const std::string& domain) const {
  return !unreachable_.contains(domain);
}

std::vector<std::string> DomainReachability::Failing() const {
  std::vector<std::string> domains;
  for (const auto& [domain, since] : failing_since_) {
    domains.push_back(domain);
  }
  return domains;
}

std::vector<std::string> DomainReachability::Unreachable() const {
  return {unreachable_.begin(), unreachable_.end()};
}

base::Duration DomainReachability::AgeOf(const std::string& domain,
                                         base::MonotonicTime now) const {
  const auto heard = heard_at_.find(domain);
  return heard == heard_at_.end() ? base::Duration::max() : now - heard->second;
}

}  // namespace medlarspread::membership
