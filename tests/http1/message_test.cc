// Hop-by-hop fields are removed before a message is forwarded.

#include "src/http1/message.h"

#include <gtest/gtest.h>

namespace medlarspread::http1 {
namespace {

TEST(RemoveHopByHopFieldsTest, RemovesThoseThatConnectionNames) {
  Request request;
  request.insert("Connection", "X-Hop, keep-alive");
  request.insert("X-Hop", "1");
  request.insert("Keep-Alive", "timeout=5");
  request.insert("Transfer-Encoding", "chunked");
  request.insert("X-End", "2");
  request.insert("X-End", "3");
  RemoveHopByHopFields(request);
  EXPECT_EQ(request.count("X-Hop"), 0U);
  EXPECT_EQ(request.count("Connection"), 0U);
  EXPECT_EQ(request.count("Keep-Alive"), 0U);
  EXPECT_EQ(request.count("Transfer-Encoding"), 0U);
  EXPECT_EQ(request.count("X-End"), 2U);
}

}  // namespace
}  // namespace medlarspread::http1
