// Builds the status JSON from the blackboard.

#include "src/admin_api/status_report.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <utility>
#include <vector>

#include <cpprest/json.h>

#include "src/base/name_table.h"

namespace medlarspread::admin_api {

namespace {

using blackboard::LifecycleState;
using blackboard::MemberState;
using blackboard::UpstreamState;
using web::json::value;

constexpr base::NameTable<MemberState, 3> kMemberStateNames{{{
    {MemberState::kLive, "live"},
    {MemberState::kLeaving, "leaving"},
    {MemberState::kGone, "gone"},
}}};

constexpr base::NameTable<UpstreamState, 4> kUpstreamStateNames{{{
    {UpstreamState::kServing, "serving"},
    {UpstreamState::kCold, "cold"},
    {UpstreamState::kDraining, "draining"},
    {UpstreamState::kUnreachable, "unreachable"},
}}};

constexpr base::NameTable<LifecycleState, 3> kLifecycleStateNames{{{
    {LifecycleState::kStarting, "starting"},
    {LifecycleState::kReady, "ready"},
    {LifecycleState::kStopping, "stopping"},
}}};

value Number(std::int64_t number) {
  return value::number(number);
}

// Renders 16 hexadecimal digits, because many JSON parsers lose precision on
// large integers.
value Hexadecimal(std::int64_t number) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(number));
  return value::string(text);
}

// Returns the targets revision in force on `member`. For this daemon it comes
// from `targets`, because the membership view may be older.
std::int64_t RevisionOf(const blackboard::Member& member,
                        const blackboard::MembershipView& membership,
                        const blackboard::TargetsView& targets) {
  return member.name == membership.self ? targets.revision
                                        : member.targets_revision;
}

value RenderVms(const blackboard::MembershipView& membership,
                const blackboard::TargetsView& targets) {
  std::vector<value> vms;
  for (const auto& [name, member] : membership.members) {
    const std::int64_t revision = RevisionOf(member, membership, targets);
    value object = value::object();
    object["name"] = value::string(name);
    object["address"] = value::string(member.address);
    object["region"] = value::string(member.region);
    object["failure_domain"] = value::string(member.failure_domain);
    object["state"] = value::string(kMemberStateNames.NameOf(member.state));
    object["incarnation"] = Number(member.incarnation);
    object["targets_revision"] = Number(revision);
    object["is_in_force"] = value::boolean(revision >= targets.revision);
    vms.push_back(std::move(object));
  }
  return value::array(std::move(vms));
}

value RenderTargets(const blackboard::MembershipView& membership,
                    const blackboard::TargetsView& targets) {
  std::int64_t live = 0;
  std::int64_t in_force = 0;
  std::int64_t highest = targets.revision;
  for (const auto& [name, member] : membership.members) {
    if (member.state != MemberState::kLive) {
      continue;
    }
    const std::int64_t revision = RevisionOf(member, membership, targets);
    ++live;
    in_force += revision >= targets.revision ? 1 : 0;
    highest = std::max(highest, revision);
  }
  value object = value::object();
  object["revision"] = Number(targets.revision);
  object["digest"] = Hexadecimal(targets.digest);
  object["is_known"] = value::boolean(targets.digest != 0);
  object["in_force_since_wall_ms"] = Number(targets.in_force_since_wall_ms);
  object["in_force_on"] = Number(in_force);
  object["live_vms"] = Number(live);
  object["highest_revision"] = Number(highest);
  object["summary"] = value::string("in force on " + std::to_string(in_force) +
                                    " of " + std::to_string(live));
  return object;
}

value RenderHoldings(const std::vector<blackboard::Holding>& holdings) {
  std::vector<value> rows;
  for (const blackboard::Holding& holding : holdings) {
    value object = value::object();
    object["index_version"] = Number(holding.snapshot.index_version);
    object["layout_version"] = Number(holding.snapshot.layout_version);
    object["low"] = Number(holding.range.low);
    object["high"] = Number(holding.range.high);
    rows.push_back(std::move(object));
  }
  return value::array(std::move(rows));
}

value RenderUpstreams(const blackboard::UpstreamsView& view) {
  std::vector<value> rows;
  for (const auto& [name, upstream] : view.upstreams) {
    value object = value::object();
    object["name"] = value::string(name);
    object["address"] = value::string(upstream.address);
    object["region"] = value::string(upstream.region);
    object["failure_domain"] = value::string(upstream.failure_domain);
    object["collection"] = value::string(upstream.collection);
    object["state"] = value::string(kUpstreamStateNames.NameOf(upstream.state));
    object["slots"] = Number(upstream.slots);
    object["connections"] = Number(upstream.connections);
    object["holdings"] = RenderHoldings(upstream.holdings);
    rows.push_back(std::move(object));
  }
  return value::array(std::move(rows));
}

void AddAlarm(std::vector<value>& rows,
              const char* name,
              const std::string& detail) {
  value object = value::object();
  object["name"] = value::string(name);
  object["detail"] = value::string(detail);
  rows.push_back(std::move(object));
}

value RenderAlarms(const targets::TargetsAlarms& alarms) {
  std::vector<value> rows;
  if (alarms.reverted_store_revision) {
    AddAlarm(rows, "targets_reverted_in_store",
             "the store holds revision " +
                 std::to_string(*alarms.reverted_store_revision) +
                 ", which is older and ignored");
  }
  if (!alarms.digest_conflict_with.empty()) {
    AddAlarm(rows, "targets_differ",
             alarms.digest_conflict_with +
                 " has different targets for the revision in force");
  }
  if (!alarms.malformed_record.empty()) {
    AddAlarm(rows, "targets_malformed", alarms.malformed_record);
  }
  if (!alarms.store_failure.empty()) {
    AddAlarm(rows, "store_unavailable", alarms.store_failure);
  }
  return value::array(std::move(rows));
}

value RenderQueues(const std::string& text) {
  try {
    std::error_code error;
    value queues = value::parse(text, error);
    return error ? value::null() : queues;
  } catch (const std::exception&) {
    return value::null();
  }
}

}  // namespace

std::string MakeStatusReport(const blackboard::Blackboard& blackboard,
                             const targets::TargetsAlarms& alarms,
                             const std::string& queues) {
  const auto membership = blackboard.membership.Read();
  const auto targets = blackboard.targets.Read();
  const auto lifecycle = blackboard.lifecycle.Read();
  value state = value::object();
  state["state"] = value::string(kLifecycleStateNames.NameOf(lifecycle->state));
  state["reason"] = value::string(lifecycle->reason);
  value object = value::object();
  object["vm"] = value::string(membership->self);
  object["lifecycle"] = std::move(state);
  object["targets"] = RenderTargets(*membership, *targets);
  object["targets_reverts_kept_out"] = Number(alarms.reverts_kept_out);
  object["alarms"] = RenderAlarms(alarms);
  object["vms"] = RenderVms(*membership, *targets);
  object["upstreams"] = RenderUpstreams(*blackboard.upstreams.Read());
  object["queues"] = RenderQueues(queues);
  return object.serialize();
}

}  // namespace medlarspread::admin_api
