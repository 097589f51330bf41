// Accepts or rejects targets and raises the alarms about rejected ones.

#include "src/targets/held_targets.h"

#include <cassert>
#include <utility>

namespace medlarspread::targets {

namespace {

constexpr char kStoreName[] = "store";

}  // namespace

HeldTargets::HeldTargets(base::Clock clock,
                         blackboard::Blackboard& blackboard,
                         base::Log log)
    : clock_(std::move(clock)), blackboard_(blackboard), log_(std::move(log)) {}

OfferOutcome HeldTargets::Offer(const std::string& body,
                                const std::string& origin) {
  auto record = DecodeRecord(body);
  if (!record.is_ok()) {
    Warn(origin, "rejected malformed targets: " + record.error().ToString());
    return OfferOutcome::kMalformed;
  }
  const std::int64_t revision = record.value().revision;
  if (revision < record_.revision) {
    return OfferOutcome::kLower;
  }
  if (revision == record_.revision) {
    if (DigestBody(body) == digest_) {
      return OfferOutcome::kSame;
    }
    DidSeeOtherDigest(origin);
    return OfferOutcome::kDigestConflict;
  }
  Apply(std::move(record.value()), body, origin);
  return OfferOutcome::kApplied;
}

OfferOutcome HeldTargets::DidReadStore(const std::optional<store::Entry>& entry,
                                       std::int64_t revision_at_call) {
  std::int64_t store_revision = 0;
  OfferOutcome outcome = OfferOutcome::kLower;
  if (entry) {
    const auto record = DecodeRecord(entry->value);
    outcome = Offer(entry->value, kStoreName);
    if (outcome == OfferOutcome::kMalformed) {
      TargetsAlarms alarms = *alarms_.Read();
      alarms.malformed_record = record.error().detail;
      alarms_.Write(std::move(alarms));
      return outcome;
    }
    store_revision = record.value().revision;
  } else {
    DidFindNoTargets();
    outcome = revision() == 0 ? OfferOutcome::kSame : OfferOutcome::kLower;
  }
  if (outcome != OfferOutcome::kLower) {
    ClearStoreAlarms();
    return outcome;
  }
  if (store_revision >= revision_at_call) {
    return OfferOutcome::kStale;
  }
  DidRejectLower(store_revision);
  return OfferOutcome::kLower;
}

void HeldTargets::DidFailToReadStore(const base::Error& error) {
  TargetsAlarms alarms = *alarms_.Read();
  if (alarms.store_failure.empty()) {
    log_.DidFail(error, "cannot read the targets from the store");
  }
  alarms.store_failure = error.ToString();
  alarms_.Write(std::move(alarms));
}

void HeldTargets::DidStopReadingStore() {
  ClearStoreAlarms();
}

void HeldTargets::ClearStoreAlarms() {
  TargetsAlarms alarms = *alarms_.Read();
  alarms.store_failure.clear();
  alarms.malformed_record.clear();
  alarms.reverted_store_revision.reset();
  alarms_.Write(std::move(alarms));
}

void HeldTargets::DidFindNoTargets() {
  if (is_known_) {
    return;
  }
  is_known_ = true;
  digest_ = EmptyDigest();
  WriteView();
}

void HeldTargets::DidSeeOtherDigest(const std::string& peer) {
  TargetsAlarms alarms = *alarms_.Read();
  if (alarms.digest_conflict_with == peer) {
    return;
  }
  Warn(peer, "different targets under the revision in force, " +
                 std::to_string(record_.revision));
  alarms.digest_conflict_with = peer;
  alarms_.Write(std::move(alarms));
}

void HeldTargets::Apply(TargetsRecord record,
                        std::string body,
                        const std::string& origin) {
  assert(record.revision > record_.revision);
  is_known_ = true;
  record_ = std::move(record);
  body_ = std::move(body);
  digest_ = DigestBody(body_);
  WriteView();
  // An earlier conflict concerned the previous revision.
  TargetsAlarms alarms = *alarms_.Read();
  alarms.digest_conflict_with.clear();
  alarms_.Write(std::move(alarms));
  log_.Write({.level = base::LogLevel::kInfo,
              .step = base::Step::kTargets,
              .peer = origin,
              .message = "targets of revision " + std::to_string(revision()) +
                         " are in force"});
}

void HeldTargets::WriteView() {
  blackboard_.targets.Write(
      {record_.revision, digest_, record_.classes, clock_.WallMilliseconds()});
}

void HeldTargets::DidRejectLower(std::int64_t store_revision) {
  TargetsAlarms alarms = *alarms_.Read();
  if (alarms.reverted_store_revision == store_revision) {
    return;
  }
  alarms.store_failure.clear();
  alarms.malformed_record.clear();
  alarms.reverted_store_revision = store_revision;
  ++alarms.reverts_kept_out;
  alarms_.Write(std::move(alarms));
  Warn(kStoreName, "rejected the lower revision " +
                       std::to_string(store_revision) +
                       "; in force: " + std::to_string(revision()));
}

void HeldTargets::Warn(const std::string& peer, std::string message) const {
  log_.Write({.level = base::LogLevel::kWarning,
              .step = base::Step::kTargets,
              .peer = peer,
              .message = std::move(message)});
}

}  // namespace medlarspread::targets
