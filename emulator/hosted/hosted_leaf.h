// Emulates a leaf of the users' platform: answers opaque requests and counts
// the requests that it runs.
//
// Handles requests on the thread of its context; the other functions may be
// called from any thread.

#ifndef MEDLARSPREAD_EMULATOR_HOSTED_HOSTED_LEAF_H_
#define MEDLARSPREAD_EMULATOR_HOSTED_HOSTED_LEAF_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "src/base/random.h"
#include "src/base/task_runner.h"
#include "src/http1/caller_listener.h"

namespace medlarspread::emulator {

inline constexpr std::string_view kDeadlyWord = "deadly";

// How the leaf responds to requests.
enum class LeafBehavior {
  kAnswer,
  // Refuses the request without running it.
  kShed,
  // Runs the request and never answers.
  kMute,
  // Runs the request and answers without a proof.
  kNoProof,
};

class HostedLeaf {
 public:
  HostedLeaf(boost::asio::io_context& context,
             std::string id,
             std::string service,
             std::string zone);

  // Makes the value of the leaf's entry in the store; `state` is "ready" or
  // "draining". If not empty, `address` replaces the leaf's own address.
  std::string MakeEntry(const std::string& state,
                        const std::string& address = "") const;
  std::string address() const;
  // The 16-byte record that every leaf of the service returns.
  static std::string RecordOf(const std::string& service);
  const std::string& id() const { return id_; }

  // Sets the start time in the leaf's entries, as Unix time; by default the
  // entries have none.
  void set_started(std::int64_t wall_ms) { started_wall_ms_ = wall_ms; }
  void set_behavior(LeafBehavior behavior) { behavior_ = behavior; }
  void set_work(base::Duration work) { work_ = work; }
  // Refuses this share of the requests, as a leaf whose queue is full at times.
  void set_refused_share(double share) { refused_share_ = share; }
  // Sets a callback for when a request with kDeadlyWord in its target ends the
  // leaf. It is called on the thread of the context.
  void set_did_end(std::function<void()> did_end) {
    did_end_ = std::move(did_end);
  }
  // Sets a callback that gets the ID of each request that reaches the leaf,
  // including rejected ones, on the thread of the context.
  void set_did_arrive(std::function<void(const std::string&)> did_arrive) {
    did_arrive_ = std::move(did_arrive);
  }
  // Simulates the end of the process: closes the listener and all connections.
  void End();

  int runs() const { return runs_; }
  int cancelled() const { return cancelled_; }
  // How often the leaf ran the request.
  int RunsOf(const std::string& request_id) const;

 private:
  http1::Abandon Handle(const http1::Request& request, http1::Respond respond);
  http1::Response MakeAnswer(const std::string& request_id,
                             bool has_proof) const;

  const base::TaskRunner runner_;
  const std::string id_;
  const std::string service_;
  const std::string zone_;
  std::shared_ptr<http1::CallerListener> listener_;
  std::function<void()> did_end_;
  std::function<void(const std::string&)> did_arrive_;
  std::atomic<LeafBehavior> behavior_ = LeafBehavior::kAnswer;
  std::atomic<base::Duration> work_ = base::Milliseconds(2);
  std::atomic<double> refused_share_ = 0.0;
  // Draws the refused requests.
  base::Random random_;
  std::atomic<std::int64_t> started_wall_ms_ = 0;
  // Number of entries made so far.
  mutable std::atomic<int> entries_ = 0;
  std::atomic<int> runs_ = 0;
  std::atomic<int> cancelled_ = 0;
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_by_request_;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_HOSTED_HOSTED_LEAF_H_
