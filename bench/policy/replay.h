// A replay of the queues of one bundle of shards in virtual time: it drives the
// decision code of src/admission with arrivals and service times drawn from a
// seed, to choose parameters quickly. It models no network, no failures and no
// second daemon; what it shows is confirmed with the real binary.

#ifndef MEDLARSPREAD_BENCH_POLICY_REPLAY_H_
#define MEDLARSPREAD_BENCH_POLICY_REPLAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "bench/policy/replay_options.h"
#include "src/admission/entry_gate.h"
#include "src/admission/leaf_window.h"
#include "src/admission/second_send_policy.h"
#include "src/admission/urgency_queue.h"
#include "src/base/clock.h"
#include "src/blackboard/blackboard.h"

namespace medlarspread::bench {

// What became of the queries of one class.
struct ClassResult {
  std::vector<double> latencies_ms;
  std::int64_t asked = 0;
  std::int64_t refused = 0;
  std::int64_t expired = 0;
  std::int64_t in_target = 0;
};

struct ReplayResult {
  std::map<std::string, ClassResult> classes;
  std::int64_t answers = 0;
  std::int64_t sends = 0;
};

class Replay {
 public:
  explicit Replay(const ReplayOptions& options);
  ReplayResult Run();

 private:
  struct Query {
    std::string class_name;
    int entry = 0;
    base::MonotonicTime asked;
    base::MonotonicTime target_due;
    base::MonotonicTime deadline;
    int shards_open = 0;
    bool is_lost = false;
  };
  struct Attempt {
    int replica = 0;
    base::MonotonicTime sent;
    bool is_over = false;
  };
  // One shard request and its sends.
  struct Part {
    std::shared_ptr<Query> query;
    bool is_done = false;
    std::vector<std::shared_ptr<Attempt>> attempts;
    // Its second send while that waits in the queue, or 0.
    std::uint64_t hedge_id = 0;
  };
  struct Shard {
    admission::UrgencyQueue queue;
    std::vector<admission::LeafWindow> replicas;
    std::unordered_map<std::uint64_t, std::shared_ptr<Part>> waiting;
  };
  struct Event {
    base::MonotonicTime time;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(other.time, other.order) < std::pair(time, order);
    }
  };

  base::MonotonicTime Now() const { return clock_.Now(); }
  void At(base::MonotonicTime time, std::function<void()> run);
  void ScheduleArrival();
  void Arrive();
  bool IsAdmitted(const blackboard::ClassTargets& targets, int entry);
  // The slowest wait of the class that the entry knows of.
  base::Duration KnownWait(const std::string& class_name, int entry) const;
  base::Duration TrueWait(const Shard& shard, const ReplayClass& row) const;
  // The reply to `entry` tells of the waits at the shard.
  void TellWaits(const Shard& shard, const Query& query);
  std::uint64_t Push(Shard& shard, std::shared_ptr<Part> part, bool is_hedge);
  // Gives free slots to what waits.
  void Dispatch(Shard& shard);
  // The replica with most room that does not work on the part, or -1.
  static int PickReplica(const Shard& shard, const Part& part);
  void Send(Shard& shard, std::shared_ptr<Part> part, int replica);
  void DidFinish(Shard& shard,
                 std::shared_ptr<Part> part,
                 std::shared_ptr<Attempt> attempt);
  void CancelOthers(Shard& shard, Part& part);
  void MaySendAgain(Shard& shard, std::shared_ptr<Part> part);
  void DidAnswer(Query& query);
  // Drops what has expired and publishes the expected waits of each class.
  void Sweep();
  base::Duration DrawService();
  const blackboard::ClassTargets& DrawClass();
  double Unit() { return std::uniform_real_distribution<>(0, 1)(engine_); }

  const ReplayOptions options_;
  const double completions_per_second_;
  const base::MonotonicTime end_;
  blackboard::Blackboard blackboard_;
  std::mt19937_64 engine_;
  std::shared_ptr<base::ManualTime> time_;
  base::Clock clock_{time_};
  admission::EntryGate gate_;
  admission::SecondSendPolicy second_send_;
  struct News {
    base::Duration wait{};
    base::MonotonicTime heard;
  };

  std::vector<Shard> shards_;
  // By entry, shard and class.
  std::map<std::tuple<int, const Shard*, std::string>, News> news_;
  // The slowest wait of each class as of the last sweep.
  std::map<std::string, base::Duration> waits_;
  std::priority_queue<Event> events_;
  std::uint64_t next_order_ = 1;
  std::uint64_t next_id_ = 1;
  ReplayResult result_;
};

}  // namespace medlarspread::bench

#endif  // MEDLARSPREAD_BENCH_POLICY_REPLAY_H_
