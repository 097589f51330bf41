// Fake leaves for opaque requests whose replies the test controls.

#ifndef MEDLARSPREAD_TESTS_QUERY_FAKE_LEAVES_H_
#define MEDLARSPREAD_TESTS_QUERY_FAKE_LEAVES_H_

#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/upstream/forward_port.h"

namespace medlarspread::query {

class FakeLeaves {
 public:
  struct Sent {
    blackboard::Upstream leaf;
    upstream::ForwardCall call;
    upstream::ForwardPort::Callback done;
    bool is_cancelled = false;
    bool is_lingering = false;
    // False while its connection is being opened.
    bool has_left = true;
  };

  upstream::ForwardPort port() {
    return {[this](const blackboard::Upstream& leaf, upstream::ForwardCall call,
                   upstream::ForwardPort::Callback done) {
              sent_.push_back({leaf, std::move(call), std::move(done)});
              sent_.back().has_left = !connecting_.contains(leaf.name);
              const std::size_t index = sent_.size() - 1;
              return upstream::SentCall{
                  [this, index] { sent_[index].is_cancelled = true; },
                  [this, index] { sent_[index].is_lingering = true; },
                  [this, index] { return sent_[index].has_left; }};
            },
            [this](const blackboard::Upstream& leaf, const std::string&) {
              return full_.contains(leaf.name) ? upstream::Readiness::kFull
                                               : upstream::Readiness::kOpen;
            },
            [this](const blackboard::Upstream& leaf) {
              prepared_.push_back(leaf.name);
            }};
  }

  // Answers send `index` with `body` and a proof of its leaf.
  void Answer(std::size_t index, const std::string& body) {
    upstream::ForwardReply reply;
    reply.outcome = upstream::LeafOutcome::kAnswered;
    reply.message.result(http1::Status::ok);
    reply.message.body() = body;
    reply.proof = "proof-" + sent_[index].leaf.name;
    reply.service_time = base::Milliseconds(5);
    End(index, std::move(reply));
  }

  void Fail(std::size_t index, upstream::LeafOutcome outcome) {
    upstream::ForwardReply reply;
    reply.outcome = outcome;
    reply.message.result(http1::Status::internal_server_error);
    reply.error = base::MakeError(base::ErrorCode::kConnectionLost,
                                  base::Step::kReadUpstream,
                                  sent_[index].leaf.name, "fake");
    End(index, std::move(reply));
  }

  std::deque<Sent>& sent() { return sent_; }
  // Names of leaves to which a connection was prepared.
  const std::vector<std::string>& prepared() const { return prepared_; }
  // Names of leaves that have no free connection.
  std::set<std::string>& full() { return full_; }
  // Names of leaves whose connections are never established.
  std::set<std::string>& connecting() { return connecting_; }

  void End(std::size_t index, upstream::ForwardReply reply) {
    const auto done = std::exchange(sent_[index].done, nullptr);
    done(std::move(reply));
  }

 private:
  std::deque<Sent> sent_;
  std::set<std::string> full_;
  std::set<std::string> connecting_;
  std::vector<std::string> prepared_;
};

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_TESTS_QUERY_FAKE_LEAVES_H_
