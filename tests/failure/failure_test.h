// The fixture of the failure tests: a cluster of the real programs.

#ifndef MEDLARSPREAD_TESTS_FAILURE_FAILURE_TEST_H_
#define MEDLARSPREAD_TESTS_FAILURE_FAILURE_TEST_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "tests/support/cluster.h"

namespace medlarspread::tests {

class FailureTest : public testing::Test {
 protected:
  FailureTest() { std::cout << "seed " << seed_ << std::endl; }

  // The violation in an answer or a refusal. Other responses have none.
  static emulator::Violation ViolationOf(const Ask& ask,
                                         const http::Response& response) {
    if (response.status == http::kOk) {
      return CheckAnswer(ask.asked, response.body).violation;
    }
    if (response.status == http::kServiceUnavailable ||
        response.status == http::kTooManyRequests) {
      return CheckRefusal(ask.asked, response.body);
    }
    return emulator::Violation::kNone;
  }

  // Set MEDLARSPREAD_TEST_SEED to repeat the random choices of a failed run.
  static std::uint64_t ChooseSeed() {
    const char* given = std::getenv("MEDLARSPREAD_TEST_SEED");
    return given == nullptr ? std::random_device()() : std::stoull(given);
  }

  const std::uint64_t seed_ = ChooseSeed();
  Cluster cluster_{DAEMON_PROGRAM, EMULATOR_PROGRAM, seed_};
};

}  // namespace medlarspread::tests

#endif  // MEDLARSPREAD_TESTS_FAILURE_FAILURE_TEST_H_
