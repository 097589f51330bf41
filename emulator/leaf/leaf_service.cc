// Implements the query call of a leaf's HTTP service.

#include "emulator/leaf/leaf_service.h"

#include <algorithm>
#include <utility>

#include <cpprest/json.h>

namespace medlarspread::emulator {

namespace {

base::Duration FromMilliseconds(double milliseconds) {
  constexpr double kMicroseconds = 1000.0;
  return base::Duration(
      static_cast<std::int64_t>(milliseconds * kMicroseconds));
}

}  // namespace

LeafService::LeafService(LeafSettings settings,
                         base::Clock clock,
                         base::TaskRunner runner)
    : settings_(std::move(settings)),
      clock_(clock),
      runner_(std::move(runner)),
      random_(settings_.seed),
      engine_(settings_.seed),
      queue_(std::make_shared<WorkQueue>(settings_.slots,
                                         settings_.queue_limit,
                                         runner_)),
      run_log_(clock),
      health_{LeafState::kServing, settings_.holdings},
      shown_health_(health_) {}

void LeafService::DidReceive(const http::Request& request,
                             http::Responder respond) {
  runner_.Post(
      [self = shared_from_this(), request, respond = std::move(respond)] {
        try {
          self->Handle(request, respond);
        } catch (const web::json::json_exception& failure) {
          respond(InvalidReply(failure.what()));
        }
      });
}

void LeafService::Handle(const http::Request& request,
                         const http::Responder& respond) {
  if (request.path == "/v1/query") {
    const base::Duration delay = ArrivalDelay();
    if (delay.count() == 0) {
      HandleQuery(request.body, respond);
      return;
    }
    runner_.After(delay, [self = shared_from_this(), body = request.body,
                          respond] { self->HandleQuery(body, respond); });
  } else if (request.path == "/v1/cancel") {
    runner_.After(FromMilliseconds(settings_.delay_ms),
                  [self = shared_from_this(), body = request.body, respond] {
                    self->ReplyLater(respond, self->HandleCancel(body));
                  });
  } else if (request.path == "/v1/health") {
    ReplyLater(respond, HealthPage());
  } else if (request.path == "/v1/load") {
    ReplyLater(respond, LoadPage());
  } else if (request.path == "/control") {
    respond(HandleControl(request.body));
  } else if (request.path == "/control/runs") {
    const auto parameter = request.parameters.find("request_id");
    const bool has_filter = parameter != request.parameters.end();
    respond({http::kOk,
             {},
             run_log_.ToJson(has_filter ? parameter->second : ""),
             "application/json"});
  } else {
    respond({http::kNotFound, {}, "{}", "application/json"});
  }
}

base::Duration LeafService::ArrivalDelay() {
  ++in_flight_;
  double delay_ms = settings_.delay_ms;
  if (in_flight_ > connections_opened_) {
    connections_opened_ = in_flight_;
    delay_ms += settings_.connect_ms;
  }
  return FromMilliseconds(delay_ms);
}

void LeafService::HandleQuery(const std::string& body,
                              const http::Responder& respond) {
  const http::Responder reply = [self = shared_from_this(),
                                 respond](http::Response response) {
    --self->in_flight_;
    self->ReplyLater(respond, std::move(response));
  };
  const auto query = ParseLeafQuery(body);
  if (!query.is_ok()) {
    reply(InvalidReply(query.error().detail));
    return;
  }
  run_log_.DidArrive();
  if (auto refusal = RefusalOf(query.value())) {
    run_log_.DidShed();
    reply(std::move(*refusal));
    return;
  }
  Submit(query.value(), reply);
}

std::optional<http::Response> LeafService::RefusalOf(
    const LeafQuery& query) const {
  const auto refuse = [this](const std::string& error) {
    return ErrorReply(http::kServiceUnavailable, error, /*ran=*/false,
                      settings_.retry_after, StateName());
  };
  if (!forced_refusal_.empty()) {
    return refuse(forced_refusal_);
  }
  if (health_.state == LeafState::kDraining && refuses_when_draining_) {
    return refuse("draining");
  }
  if (in_flight_ > settings_.connections) {
    return refuse("shed");
  }
  if (!Holds(query)) {
    return WrongSnapshotReply(health_.holdings, StateName());
  }
  return std::nullopt;
}

bool LeafService::Holds(const LeafQuery& query) const {
  return query.collection == settings_.collection &&
         std::ranges::any_of(health_.holdings,
                             [&query](const blackboard::Holding& holding) {
                               return holding.snapshot == query.snapshot &&
                                      holding.range.low <= query.range.low &&
                                      query.range.high <= holding.range.high &&
                                      query.range.is_valid();
                             });
}

void LeafService::Submit(const LeafQuery& query,
                         const http::Responder& respond) {
  const base::Duration service = DrawServiceTime();
  Work work;
  work.attempt_id = query.attempt_id;
  work.deadline = query.deadline;
  work.service = service;
  work.did_start = [self = shared_from_this(), query] {
    self->run_log_.DidStart(query);
  };
  work.did_end = [self = shared_from_this(), query, service, respond](
                     WorkEnd end, bool ran) {
    self->DidEnd(query, service, respond, end, ran);
  };
  if (!queue_->Submit(std::move(work))) {
    run_log_.DidShed();
    respond(ErrorReply(http::kServiceUnavailable, "shed", /*ran=*/false,
                       settings_.retry_after, StateName()));
  }
}

void LeafService::DidEnd(const LeafQuery& query,
                         base::Duration service,
                         const http::Responder& respond,
                         WorkEnd end,
                         bool ran) {
  if (end == WorkEnd::kFinished) {
    Answer(query, service, respond);
    return;
  }
  const bool is_cancelled = end == WorkEnd::kCancelled;
  respond(ErrorReply(http::kGatewayTimeout,
                     is_cancelled ? "cancelled" : "deadline", ran, {},
                     StateName()));
}

void LeafService::Answer(const LeafQuery& query,
                         base::Duration service,
                         const http::Responder& respond) {
  LeafAnswer answer;
  answer.query = query;
  answer.items = settings_.items_per_answer;
  answer.count = settings_.items_per_answer;
  answer.service = service;
  answer.state = StateName();
  answer.load = Load();
  const ReplyFault fault = fault_shares_.Choose(random_.Unit());
  if (fault == ReplyFault::kLost) {
    withheld_.push_back(respond);
    return;
  }
  const http::Response response{http::kOk,
                                {},
                                FaultyBody(fault, answer, previous_answer_),
                                "application/json"};
  if (fault == ReplyFault::kNone) {
    previous_answer_ = response.body;
  }
  if (fault == ReplyFault::kLate) {
    runner_.After(late_, [respond, response] { respond(response); });
    return;
  }
  respond(response);
}

void LeafService::ReplyLater(const http::Responder& respond,
                             http::Response response) {
  if (settings_.delay_ms == 0) {
    respond(std::move(response));
    return;
  }
  runner_.After(
      FromMilliseconds(settings_.delay_ms),
      [respond, response = std::move(response)] { respond(response); });
}

base::Duration LeafService::DrawServiceTime() {
  std::gamma_distribution<double> gamma(
      settings_.gamma_shape, settings_.service_ms / settings_.gamma_shape);
  double milliseconds = gamma(engine_) * slow_factor_;
  if (random_.Unit() < settings_.straggler_share) {
    milliseconds *= settings_.straggler_factor;
  }
  return FromMilliseconds(milliseconds);
}

LeafLoad LeafService::Load() const {
  return {queue_->running(), queue_->queued(), settings_.slots};
}

}  // namespace medlarspread::emulator
