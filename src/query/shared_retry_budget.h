// The retry budgets of all classes at the daemon that received the requests.

#ifndef MEDLARSPREAD_QUERY_SHARED_RETRY_BUDGET_H_
#define MEDLARSPREAD_QUERY_SHARED_RETRY_BUDGET_H_

#include <map>
#include <mutex>
#include <string>

#include "src/admission/retry_budget.h"

namespace medlarspread::query {

// Safe to use from any thread.
class SharedRetryBudget {
 public:
  bool Take(const std::string& class_name) {
    const std::lock_guard lock(mutex_);
    return budgets_[class_name].Take();
  }
  void DidSucceed(const std::string& class_name) {
    const std::lock_guard lock(mutex_);
    budgets_[class_name].DidSucceed();
  }

 private:
  std::mutex mutex_;
  std::map<std::string, admission::RetryBudget> budgets_;
};

}  // namespace medlarspread::query

#endif  // MEDLARSPREAD_QUERY_SHARED_RETRY_BUDGET_H_
