// Tests the format of a key's value and the mapping of identifiers to keys.

#include "src/claims/recorded_claims.h"

#include <set>

#include <gtest/gtest.h>

#include "src/claims/claim_protocol.h"

namespace medlarspread::claims {
namespace {

TEST(RecordedClaimsTest, ReadsWhatItWrote) {
  RecordedClaims claims;
  claims.Add("1000-aaaaaaaa", "n1");
  claims.Add("1000-bbbbbbbb", "n2");
  claims.Add("1000-aaaaaaaa", "n3");
  const auto read = RecordedClaims::Parse(claims.text());
  ASSERT_TRUE(read.is_ok());
  EXPECT_EQ(*read.value().Find("1000-aaaaaaaa"), "n1");
  EXPECT_EQ(read.value().nonces(), claims.nonces());
  EXPECT_EQ(read.value().text(), claims.text());
}

TEST(RecordedClaimsTest, RefusesWhatIsNotAListOfClaims) {
  for (const char* text : {"x", "1000-aaaaaaaa n1", "1000-aaaaaaaa\n",
                           "1000-aaaaaaaa n 1\n", "-aaaaaaaa n1\n", "\n"}) {
    EXPECT_FALSE(RecordedClaims::Parse(text).is_ok()) << text;
  }
}

TEST(ClaimProtocolTest, ReadsTheTimeOfAnIdentifier) {
  EXPECT_EQ(MadeAtMilliseconds("1764691200000-4f2a4f2a"), 1764691200000);
  for (const char* id :
       {"", "-4f2a4f2a", "12-short", "12-has space", "1x2-4f2a4f2a",
        "+12-4f2a4f2a", "-12-4f2a4f2a", "99999999999999999999-4f2a4f2a"}) {
    EXPECT_FALSE(MadeAtMilliseconds(id)) << id;
  }
  EXPECT_FALSE(MadeAtMilliseconds("12-" + std::string(65, 'a')));
}

TEST(ClaimProtocolTest, SpreadsOneSliceOverAllItsKeys) {
  std::set<std::string> keys;
  for (int count = 0; count < 100; ++count) {
    const std::string id = "4001-abcdefgh" + std::to_string(count);
    keys.insert(BucketKey(id, 4001));
  }
  EXPECT_EQ(keys.size(), kBucketsPerSlice);
  EXPECT_EQ(keys.begin()->substr(0, 12), "claims/v1/2/");
}

}  // namespace
}  // namespace medlarspread::claims
