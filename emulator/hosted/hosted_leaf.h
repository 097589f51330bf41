// A stand-in for a leaf of the users' platform, which answers opaque requests
// and counts what it runs.
//
// Runs on the thread of its context; the controls may be called from others.

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

#include "src/base/task_runner.h"
#include "src/http1/caller_listener.h"

namespace medlarspread::emulator {

inline constexpr std::string_view kDeadlyWord = "deadly";

// What it does with a request.
enum class LeafMood {
  kAnswer,
  // Refuses without running it.
  kShed,
  // Runs it and never answers.
  kMute,
  // Runs it and answers without a proof.
  kNoProof,
};

class HostedLeaf {
 public:
  HostedLeaf(boost::asio::io_context& context,
             std::string id,
             std::string service,
             std::string zone);

  // The value of its entry in the store; `state` is "ready" or "draining".
  // `address` is where daemons are to connect, if not to the leaf itself.
  std::string MakeEntry(const std::string& state,
                        const std::string& address = "") const;
  std::string address() const;
  // The one record of the leaves of a service, of sixteen bytes.
  static std::string RecordOf(const std::string& service);
  const std::string& id() const { return id_; }

  // What its entries say of when it started, Unix time; they don't without it.
  void set_started(std::int64_t wall_ms) { started_wall_ms_ = wall_ms; }
  void set_mood(LeafMood mood) { mood_ = mood; }
  void set_work(base::Duration work) { work_ = work; }
  // A run of a request with kDeadlyWord in its target ends the leaf; this is
  // called then, on the thread of the context.
  void set_did_end(std::function<void()> did_end) {
    did_end_ = std::move(did_end);
  }
  // Called with the identifier of each request that reaches it, rejected or
  // not, on the thread of the context.
  void set_did_arrive(std::function<void(const std::string&)> did_arrive) {
    did_arrive_ = std::move(did_arrive);
  }
  // Its port refuses connections and those that are open end.
  void End();

  int runs() const { return runs_; }
  int cancelled() const { return cancelled_; }
  // How often it ran the request.
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
  std::atomic<LeafMood> mood_ = LeafMood::kAnswer;
  std::atomic<base::Duration> work_ = base::Milliseconds(2);
  std::atomic<std::int64_t> started_wall_ms_ = 0;
  // Entries made so far.
  mutable std::atomic<int> entries_ = 0;
  std::atomic<int> runs_ = 0;
  std::atomic<int> cancelled_ = 0;
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_by_request_;
};

}  // namespace medlarspread::emulator

#endif  // MEDLARSPREAD_EMULATOR_HOSTED_HOSTED_LEAF_H_
