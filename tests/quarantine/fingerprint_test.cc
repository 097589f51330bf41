// Tests which requests have the same fingerprint.

#include "src/quarantine/fingerprint.h"

#include <gtest/gtest.h>

namespace medlarspread::quarantine {
namespace {

http1::Request MakeRequest(const char* target, const char* body) {
  http1::Request request(boost::beast::http::verb::get, target, 11);
  request.body() = body;
  return request;
}

TEST(FingerprintTest, ARetryUnderAnotherIdentifierIsTheSame) {
  http1::Request first = MakeRequest("/a/b?c=1", "body");
  http1::Request second = first;
  first.set("Request-Id", "1");
  second.set("Request-Id", "2");
  EXPECT_EQ(FingerprintOf("host", first), FingerprintOf("host", second));
}

TEST(FingerprintTest, MethodHostTargetAndBodyEachMatter) {
  const http1::Request request = MakeRequest("/a", "bc");
  http1::Request post = request;
  post.method(boost::beast::http::verb::post);
  const Fingerprint fingerprint = FingerprintOf("host", request);
  EXPECT_NE(FingerprintOf("other", request), fingerprint);
  EXPECT_NE(FingerprintOf("host", post), fingerprint);
  EXPECT_NE(FingerprintOf("host", MakeRequest("/a?", "bc")), fingerprint);
  EXPECT_NE(FingerprintOf("host", MakeRequest("/a", "b")), fingerprint);
}

TEST(FingerprintTest, BytesDoNotMoveFromOnePartToTheNext) {
  EXPECT_NE(FingerprintOf("host", MakeRequest("/ab", "c")),
            FingerprintOf("host", MakeRequest("/a", "bc")));
}

TEST(FingerprintTest, TextNamesOneFingerprint) {
  const Fingerprint fingerprint = FingerprintOf("h", MakeRequest("/", ""));
  const std::string text = ToText(fingerprint);
  EXPECT_EQ(text.size(), 32U);
  EXPECT_EQ(FingerprintFromText(text), fingerprint);
  EXPECT_EQ(FingerprintFromText(text.substr(1)), std::nullopt);
  EXPECT_EQ(FingerprintFromText("G" + text.substr(1)), std::nullopt);
}

}  // namespace
}  // namespace medlarspread::quarantine
