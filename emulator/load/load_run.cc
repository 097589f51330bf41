// Schedules Poisson arrivals and records the result of each request.

#include "emulator/load/load_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <cpprest/json.h>

namespace medlarspread::emulator {

namespace {

constexpr int kIdentifierDigits = 16;

std::string CallerBody(const AskedQuery& asked, const ClassLoad& load) {
  using web::json::value;
  value body;
  body["request_id"] = value::string(asked.request_id);
  body["class"] = value::string(load.name);
  body["deadline_ms"] = value::number(
      static_cast<std::int64_t>(load.deadline / base::Milliseconds(1)));
  body["idempotent"] = value::boolean(!load.is_at_most_once);
  body["query"] = value::parse(asked.query);
  return body.serialize();
}

}  // namespace

LoadRun::LoadRun(const LoadSettings& settings,
                 base::Clock clock,
                 base::TaskRunner runner)
    : settings_(settings),
      clock_(clock),
      runner_(std::move(runner)),
      random_(settings.seed) {
  for (const std::string& target : settings_.targets) {
    clients_.push_back(std::make_unique<http::Client>(
        http::ClientSettings{.address = target}, runner_));
  }
  for (const ClassLoad& load : settings_.classes) {
    reports_.emplace_back(load);
  }
}

void LoadRun::Start(base::Task did_end) {
  did_end_ = std::move(did_end);
  runner_.Post([self = shared_from_this()] {
    const base::MonotonicTime start = self->clock_.Now();
    self->end_ = start + self->settings_.length;
    self->active_classes_ = static_cast<int>(self->reports_.size());
    for (std::size_t index = 0; index < self->reports_.size(); ++index) {
      self->ScheduleNext(index, start);
    }
  });
}

void LoadRun::ScheduleNext(std::size_t index,
                           base::MonotonicTime previous_due) {
  const double gap_seconds =
      -std::log(1.0 - random_.Unit()) / settings_.classes[index].rate;
  const base::MonotonicTime due =
      previous_due + std::chrono::duration_cast<base::Duration>(
                         std::chrono::duration<double>(gap_seconds));
  if (due >= end_) {
    --active_classes_;
    EndIfComplete();
    return;
  }
  // NOTE: An overdue request is sent at once; its latency still counts from its
  // scheduled time.
  const base::Duration delay =
      std::max(due - clock_.Now(), base::Duration::zero());
  runner_.After(delay, [self = shared_from_this(), index, due] {
    self->SendRequest(index, due);
    self->ScheduleNext(index, due);
  });
}

void LoadRun::SendRequest(std::size_t index, base::MonotonicTime due) {
  const ClassLoad& load = settings_.classes[index];
  const AskedQuery asked{std::to_string(clock_.WallMilliseconds()) + "-" +
                             random_.Hexadecimal(kIdentifierDigits),
                         R"({"number":)" + std::to_string(next_query_++) + "}"};
  http::Request request;
  request.method = "POST";
  request.path = "/v1/query";
  request.body = CallerBody(asked, load);
  reports_[index].DidAsk();
  http::Client& client = *clients_[random_.Below(clients_.size())];
  client.Send(request, load.deadline + kGrace,
              [self = shared_from_this(), index, asked,
               due](const base::Result<http::Response>& result) {
                ClassReport& report = self->reports_[index];
                if (result.is_ok()) {
                  report.DidReceive(asked, result.value(),
                                    self->clock_.Now() - due);
                } else {
                  report.DidFail();
                }
                self->EndIfComplete();
              });
}

void LoadRun::EndIfComplete() {
  if (active_classes_ == 0 && did_end_ &&
      std::ranges::all_of(reports_, &ClassReport::is_complete)) {
    std::exchange(did_end_, nullptr)();
  }
}

}  // namespace medlarspread::emulator
