// A leaf: runs requests, some at a time, and answers with a signature.

#ifndef MEDLARSPREAD_REVIEW_STANDINS_2_LEAF_H_
#define MEDLARSPREAD_REVIEW_STANDINS_2_LEAF_H_

#include <atomic>
#include <functional>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "review/standins-2/wire.h"

namespace medlarspread::review {

struct LeafSettings {
  std::string id;
  std::string service;
  std::string zone;
  std::string ip;
  int slots = 3;
  int queue = 8;
  milliseconds work{20};
  // The body of the answer to a request; a short text if empty.
  std::function<std::string()> make_body;
};

// A request that the leaf began to run.
struct Run {
  std::string request_id;
  Time arrived;
  bool is_complete = false;
  // What the leaf answered.
  std::string stamp;
  std::string body;
  bool is_spoiled = false;
};

class Leaf {
 public:
  explicit Leaf(LeafSettings settings);

  const LeafSettings& settings() const { return settings_; }
  // The entry that the leaf writes to the store about itself.
  std::string MakeEntry() const;
  // The share of answers that the leaf spoils from now on: it breaks off within
  // the head and then sends the whole answer.
  void set_spoiled_share(double share) { spoiled_share_ = share; }
  // The process ends: its connections are reset and new ones refused.
  void End();
  std::vector<Run> runs() const;

 private:
  void Serve(int socket);
  std::string Handle(int socket, const Message& request);
  std::string HandleRun(int socket, const Message& request);
  // The bytes to send for that answer; may be spoiled.
  std::string Spoil(const std::string& answer, Run& run);
  // Whether the work was completed; false if the caller left.
  bool Work(int socket, milliseconds deadline);

  const LeafSettings settings_;
  const std::int64_t born_;
  mutable std::mutex mutex_;
  std::vector<Run> runs_;
  std::set<int> sockets_;
  std::mt19937_64 random_;
  std::atomic<double> spoiled_share_ = 0.0;
  std::atomic<int> waiting_ = 0;
  std::atomic<int> working_ = 0;
  std::atomic<bool> has_ended_ = false;
  Listener listener_;
};

}  // namespace medlarspread::review

#endif  // MEDLARSPREAD_REVIEW_STANDINS_2_LEAF_H_
