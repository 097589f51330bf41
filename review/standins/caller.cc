// Opens a connection if there is none and sends one request.

#include "review/standins/caller.h"

#include <chrono>

namespace medlarspread::review {

namespace {

// Clients allow a new connection one second to be established.
constexpr int kConnectTimeoutMs = 1'000;

std::string Format(const CallerRequest& request) {
  return request.method + " " + request.path +
         " HTTP/1.1\r\nHost: " + request.host +
         "\r\nMedlarspread-Request-Id: " + request.id +
         "\r\nMedlarspread-Deadline-Ms: " +
         std::to_string(request.deadline_ms) +
         "\r\nContent-Length: " + std::to_string(request.body.size()) +
         "\r\n\r\n" + request.body;
}

}  // namespace

CallerOutcome Caller::Send(const CallerRequest& request) {
  CallerOutcome outcome;
  outcome.was_kept = connection_.has_value();
  if (!connection_) {
    connection_ = Connection::Open(port_, kConnectTimeoutMs);
  }
  const auto until = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(request.deadline_ms);
  const bool is_sent = connection_ && connection_->Write(Format(request));
  const auto answer = is_sent ? connection_->Read(request.deadline_ms)
                              : std::optional<Message>();
  if (answer) {
    outcome.status = answer->status();
    outcome.body = answer->body;
  }
  outcome.was_cut =
      is_sent && !answer && std::chrono::steady_clock::now() < until;
  if (!answer || answer->header("connection") == "close") {
    connection_.reset();
  }
  return outcome;
}

}  // namespace medlarspread::review
