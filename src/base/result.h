// The result of an operation that can fail: a value or a base::Error.

#ifndef MEDLARSPREAD_BASE_RESULT_H_
#define MEDLARSPREAD_BASE_RESULT_H_

#include <cassert>
#include <utility>
#include <variant>

#include "src/base/error.h"

namespace medlarspread::base {

// NOTE: `Result<Error>` is meaningless and not supported.
template <typename T>
class [[nodiscard]] Result {
 public:
  // Implicit, so that functions can `return value;` and `return error;`.
  Result(T value) : state_(std::move(value)) {}      // NOLINT
  Result(Error error) : state_(std::move(error)) {}  // NOLINT

  bool is_ok() const { return std::holds_alternative<T>(state_); }

  const T& value() const {
    assert(is_ok());
    return std::get<T>(state_);
  }
  T& value() {
    assert(is_ok());
    return std::get<T>(state_);
  }
  const Error& error() const {
    assert(!is_ok());
    return std::get<Error>(state_);
  }

 private:
  std::variant<T, Error> state_;
};

// The value of a Result that has no value on success.
struct Done {};
using Status = Result<Done>;

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_RESULT_H_
