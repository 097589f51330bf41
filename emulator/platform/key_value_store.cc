// Compare-and-swap, leases and checkpoints over one map.

#include "emulator/platform/key_value_store.h"

namespace medlarspread::emulator {

std::optional<store::Entry> KeyValueStore::Read(const std::string& key) {
  Expire();
  const auto row = contents_.rows.find(key);
  if (row == contents_.rows.end()) {
    return std::nullopt;
  }
  return store::Entry{key, row->second.value, row->second.version};
}

std::vector<store::Entry> KeyValueStore::List(const std::string& prefix) {
  Expire();
  std::vector<store::Entry> entries;
  for (auto row = contents_.rows.lower_bound(prefix);
       row != contents_.rows.end() && row->first.starts_with(prefix); ++row) {
    entries.push_back({row->first, row->second.value, row->second.version});
  }
  return entries;
}

StoreOutcome KeyValueStore::Write(const std::string& key,
                                  const std::string& value,
                                  std::int64_t expected_version,
                                  const std::string& lease_id) {
  Expire();
  if (value.size() > kMaxValueBytes) {
    return {StoreStatus::kTooLarge, VersionOf(key)};
  }
  if (VersionOf(key) != expected_version) {
    return {StoreStatus::kConflict, VersionOf(key)};
  }
  if (!lease_id.empty() && !leases_.contains(lease_id)) {
    return {StoreStatus::kNotFound, VersionOf(key)};
  }
  const std::int64_t version = ++contents_.last_version;
  contents_.rows[key] = {value, version, lease_id};
  return {StoreStatus::kOk, version};
}

StoreOutcome KeyValueStore::Erase(const std::string& key,
                                  std::int64_t expected_version) {
  Expire();
  const std::int64_t version = VersionOf(key);
  if (version == 0) {
    return {StoreStatus::kNotFound, 0};
  }
  if (version != expected_version) {
    return {StoreStatus::kConflict, version};
  }
  contents_.rows.erase(key);
  return {};
}

std::string KeyValueStore::CreateLease(base::Duration ttl) {
  const std::string lease_id = "lease-" + std::to_string(next_lease_++);
  leases_[lease_id] = {ttl, clock_.Now() + ttl};
  return lease_id;
}

bool KeyValueStore::RenewLease(const std::string& lease_id) {
  Expire();
  const auto lease = leases_.find(lease_id);
  if (lease == leases_.end()) {
    return false;
  }
  lease->second.expires = clock_.Now() + lease->second.ttl;
  return true;
}

bool KeyValueStore::EndLease(const std::string& lease_id) {
  Expire();
  EraseKeysOf(lease_id);
  return leases_.erase(lease_id) > 0;
}

void KeyValueStore::Checkpoint() {
  checkpoint_ = contents_;
}

void KeyValueStore::Restore(bool repeats_versions) {
  const std::int64_t last_version = contents_.last_version;
  contents_ = checkpoint_;
  if (!repeats_versions) {
    contents_.last_version = last_version;
  }
}

void KeyValueStore::Expire() {
  const base::MonotonicTime now = clock_.Now();
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.expires > now) {
      ++lease;
      continue;
    }
    EraseKeysOf(lease->first);
    lease = leases_.erase(lease);
  }
}

void KeyValueStore::EraseKeysOf(const std::string& lease_id) {
  std::erase_if(contents_.rows, [&lease_id](const auto& row) {
    return row.second.lease_id == lease_id;
  });
}

std::int64_t KeyValueStore::VersionOf(const std::string& key) const {
  const auto row = contents_.rows.find(key);
  return row == contents_.rows.end() ? 0 : row->second.version;
}

}  // namespace medlarspread::emulator
