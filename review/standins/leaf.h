// A leaf as PROTOCOL.md describes it: some slots, a short queue, a rejection
// with Medlarspread-Not-Executed when both are full.

#ifndef MEDLARSPREAD_REVIEW_STANDINS_LEAF_H_
#define MEDLARSPREAD_REVIEW_STANDINS_LEAF_H_

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <string>

#include "review/standins/http.h"
#include "review/standins/record.h"
#include "review/standins/store.h"

namespace medlarspread::review {

struct LeafSettings {
  std::string id;
  std::string service;
  std::string zone;
  int slots = 2;
  int queue = 4;
  int work_ms = 60;
};

class Leaf {
 public:
  Leaf(LeafSettings settings, Record& record);

  int Open();
  // Writes the leaf's entry into the store.
  void Register(Store& store, const std::string& state = "ready");
  // The share of the answers that are sent a second time, late: at the point
  // where the next answer on the connection is expected.
  void set_extra_share(double share) { extra_share_ = share; }
  // How often each request has run here.
  std::map<std::string, int> runs() const;
  int extra_answers() const { return extra_answers_; }
  int rejections() const { return rejections_; }

 private:
  void Serve(Connection& connection);
  std::string Answer(const Message& request);
  bool Draw(double share);

  const LeafSettings settings_;
  Record& record_;
  int port_ = 0;
  int sequence_ = 0;
  std::atomic<double> extra_share_ = 0.0;
  std::atomic<int> extra_answers_ = 0;
  std::atomic<int> rejections_ = 0;
  mutable std::mutex mutex_;
  std::condition_variable has_room_;
  std::mt19937 random_;
  int running_ = 0;
  int queued_ = 0;
  std::map<std::string, int> runs_;
};

}  // namespace medlarspread::review

#endif  // MEDLARSPREAD_REVIEW_STANDINS_LEAF_H_
