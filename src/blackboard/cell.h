// One entry of the blackboard: an immutable value that its controller replaces
// as a whole and that any thread can read without waiting.

#ifndef MEDLARSPREAD_BLACKBOARD_CELL_H_
#define MEDLARSPREAD_BLACKBOARD_CELL_H_

#include <atomic>
#include <memory>
#include <utility>

namespace medlarspread::blackboard {

template <typename T>
class Cell {
 public:
  // The latest value; never null.
  std::shared_ptr<const T> Read() const { return value_.load(); }

  // Only the controller that owns this entry writes it, from its own sequence.
  void Write(T value) {
    value_.store(std::make_shared<const T>(std::move(value)));
  }

 private:
  std::atomic<std::shared_ptr<const T>> value_ = std::make_shared<const T>();
};

}  // namespace medlarspread::blackboard

#endif  // MEDLARSPREAD_BLACKBOARD_CELL_H_
