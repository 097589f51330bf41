// Parses requests for updates and holds those that wait for changes.

#include "src/relay/update_server.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

#include "src/relay/update_codec.h"

namespace medlarspread::relay {

namespace {

constexpr int kHttpVersion = 11;
// Ages are sent in whole milliseconds.
constexpr base::Duration kAgeResolution = base::Milliseconds(1);

http1::Response MakeResponse(http1::Status status, std::string body) {
  http1::Response response(status, kHttpVersion);
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

// The number after the prefix, or nothing if the target does not begin with the
// prefix.
std::optional<std::int64_t> ParseNumber(std::string_view target,
                                        std::string_view prefix) {
  if (!target.starts_with(prefix)) {
    return std::nullopt;
  }
  return ParseNumber(target.substr(prefix.size()));
}

std::optional<store::Position> ParsePosition(std::string_view target) {
  const std::string_view prefix = kPositionPrefix;
  if (!target.starts_with(prefix)) {
    return std::nullopt;
  }
  const std::string_view text = target.substr(prefix.size());
  const auto dot = text.find('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const auto era = ParseNumber(text.substr(0, dot));
  const auto revision = ParseNumber(text.substr(dot + 1));
  if (!era || !revision) {
    return std::nullopt;
  }
  return store::Position{*era, *revision};
}

}  // namespace

UpdateServer::UpdateServer(
    const store::EventLog& log,
    base::TaskRunner control,
    std::function<std::optional<Freshness>()> freshness,
    std::function<void(const std::string&)> did_see_follower)
    : log_(log),
      control_(std::move(control)),
      freshness_(std::move(freshness)),
      did_see_follower_(std::move(did_see_follower)) {}

http1::Abandon UpdateServer::Handle(const http1::Request& request,
                                    http1::Respond respond) {
  const std::string_view target(request.target().data(),
                                request.target().size());
  if (!freshness_()) {
    respond(MakeResponse(http1::Status::service_unavailable, ""));
    return [] {};
  }
  if (target == kFreshnessTarget) {
    respond(Render({}));
    return [] {};
  }
  if (target == kNewsTarget) {
    respond(Render(log_.AllItems()));
    return [] {};
  }
  if (const auto position = ParsePosition(target)) {
    respond(RenderOrGone(log_.ChangesSince(*position)));
    return [] {};
  }
  if (const auto revision = ParseNumber(target, kRevisionPrefix)) {
    respond(RenderSinceRevision(*revision));
    return [] {};
  }
  const auto follower = request.find(kFollowerHeader);
  if (follower != request.end()) {
    const auto entry = follower->value();
    did_see_follower_({entry.data(), entry.size()});
  }
  const auto cursor = ParseNumber(target, kCursorPrefix);
  if (!cursor) {
    respond(MakeResponse(http1::Status::not_found, ""));
    return [] {};
  }
  const auto changes = log_.ChangesAfter(*cursor);
  if (!changes || !changes->empty()) {
    respond(RenderChanges(*cursor));
    return [] {};
  }
  const std::uint64_t id = next_id_++;
  pending_[id] = {*cursor, std::move(respond)};
  base::Timer timer = control_.After(
      MaxWait(), [self = shared_from_this(), id] { self->Answer(id); });
  return [self = shared_from_this(), id, timer]() mutable {
    timer.Cancel();
    self->pending_.erase(id);
  };
}

base::Duration UpdateServer::MaxWait() const {
  const base::Duration fresh_for =
      kMaxUpdateAge + kAgeResolution - freshness_().value_or(Freshness{}).age;
  // NOTE: a follower that asks although the data are stale already has found no
  // better source, so the full wait applies.
  return fresh_for > base::Duration{} ? std::min(kLongPollWait, fresh_for)
                                      : kLongPollWait;
}

void UpdateServer::AnswerAll() {
  std::vector<std::uint64_t> all;
  for (const auto& [id, waiting] : pending_) {
    all.push_back(id);
  }
  for (const std::uint64_t id : all) {
    Answer(id);
  }
}

void UpdateServer::Answer(std::uint64_t id) {
  auto node = pending_.extract(id);
  if (!node.empty()) {
    node.mapped().respond(RenderChanges(node.mapped().cursor));
  }
}

http1::Response UpdateServer::RenderChanges(std::int64_t cursor) const {
  return RenderOrGone(log_.ChangesAfter(cursor));
}

http1::Response UpdateServer::RenderSinceRevision(std::int64_t revision) const {
  const store::Position& known = log_.position();
  // A revision above the current one belongs to an earlier era.
  if (revision > known.revision) {
    return RenderOrGone(std::nullopt);
  }
  return RenderOrGone(log_.ChangesSince({known.era, revision}));
}

http1::Response UpdateServer::RenderOrGone(
    std::optional<std::vector<store::Event>> changes) const {
  if (!changes) {
    return MakeResponse(http1::Status::gone, "");
  }
  return Render(std::move(*changes));
}

http1::Response UpdateServer::Render(std::vector<store::Event> events) const {
  const Freshness freshness = freshness_().value_or(Freshness{});
  return MakeResponse(
      http1::Status::ok,
      EncodeUpdate({std::move(events), log_.position(), log_.cursor(),
                    freshness.age, freshness.is_direct, log_.digest()}));
}

}  // namespace medlarspread::relay
