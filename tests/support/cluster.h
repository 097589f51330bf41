// Runs a platform, leaves and daemons as processes of one test, and calls them.

#ifndef MEDLARSPREAD_TESTS_SUPPORT_CLUSTER_H_
#define MEDLARSPREAD_TESTS_SUPPORT_CLUSTER_H_

#include <cstdint>
#include <deque>
#include <filesystem>
#include <future>
#include <optional>
#include <string>
#include <vector>

#include "emulator/load/answer_checker.h"
#include "src/base/random.h"
#include "src/base/result.h"
#include "src/http/message.h"
#include "tests/support/process_group.h"

namespace medlarspread::tests {

constexpr char kClass[] = "lookup";
constexpr char kCollection[] = "main";

struct Leaf {
  Process* process = nullptr;
  std::string name;
  std::string address;
};

struct Daemon {
  Process* process = nullptr;
  std::string name;
  std::string caller;
  std::string admin;
  std::string peer;
};

// How many requests one leaf has received and started.
struct LeafRuns {
  std::int64_t arrived = 0;
  std::int64_t arrived_while_draining = 0;
  std::int64_t started = 0;
};

// A request of a caller.
struct Ask {
  emulator::AskedQuery asked;
  int deadline_ms = 5000;
  bool is_idempotent = true;
};

class Cluster {
 public:
  // Starts the platform. `seed` determines all random choices.
  Cluster(const std::string& daemon_program,
          const std::string& emulator_program,
          std::uint64_t seed);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Starts a leaf and adds it to the platform's list. `options` are further
  // options of the emulator's `leaf` command.
  Leaf& StartLeaf(const std::string& name,
                  const std::string& holdings,
                  const std::vector<std::string>& options = {});
  // Starts a daemon and adds it to the platform's list.
  Daemon& StartDaemon(const std::string& name);
  // Starts two replicas each of the lower and the upper half of snapshot 1:1
  // and `daemons` daemons. Waits until all daemons answer in full.
  void StartSmall(int daemons, const std::vector<std::string>& leaf_options);

  std::deque<Leaf>& leaves() { return leaves_; }
  std::deque<Daemon>& daemons() { return daemons_; }

  // Calls the control interface of the emulated platform or leaves. Each
  // asserts that the call succeeded.
  void ControlPlatform(const std::string& call, const std::string& body) const;
  void ControlLeaf(const Leaf& leaf, const std::string& body) const;
  void ControlLeaves(const std::string& body) const;
  // All entries of the key-value service, as JSON.
  std::string StoreContents() const;
  LeafRuns RunsOf(const Leaf& leaf) const;
  // Counts over all leaves how often each range of the request was started, and
  // returns the highest count.
  int MaxRunsOf(const std::string& request_id) const;

  // Calls to the operators' interface.
  http::Response PutTargets(
      const Daemon& daemon,
      const std::string& change_id,
      int latency_ms,
      std::optional<std::int64_t> expected_revision) const;
  http::Response Admin(const Daemon& daemon,
                       const std::string& method,
                       const std::string& path,
                       const std::string& body) const;
  // The revision and the latency target that the daemon has in force for the
  // class; zeros if none.
  struct InForce {
    std::int64_t revision = 0;
    int latency_ms = 0;
  };
  InForce TargetsOf(const Daemon& daemon) const;

  Ask MakeAsk();
  std::future<base::Result<http::Response>> Start(const Daemon& daemon,
                                                  const Ask& ask) const;
  http::Response Send(const Daemon& daemon, const Ask& ask) const;
  // Waits until the daemon gives a complete and correct answer; false if it
  // does not within kPatience.
  bool AwaitFullAnswer(const Daemon& daemon);

 private:
  // The settings file of a daemon.
  std::string WriteSettings(const std::string& name) const;

  const std::string daemon_program_;
  const std::string emulator_program_;
  std::filesystem::path folder_;
  std::string platform_;
  base::Random random_;
  std::deque<Leaf> leaves_;
  std::deque<Daemon> daemons_;
  // Declared last, so that the processes end before the folder is removed.
  ProcessGroup processes_;
};

}  // namespace medlarspread::tests

#endif  // MEDLARSPREAD_TESTS_SUPPORT_CLUSTER_H_
