// Constant-time comparison of token hashes.

#include "src/admin_api/bearer_token.h"

#include <array>
#include <string_view>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace medlarspread::admin_api {

namespace {

constexpr std::string_view kScheme = "Bearer ";

using Hash = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Hash HashOf(std::string_view text) {
  Hash hash;
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         hash.data());
  return hash;
}

}  // namespace

bool IsAuthorized(const std::string& header, const std::string& token) {
  if (token.empty() || !header.starts_with(kScheme)) {
    return false;
  }
  // Hashes have a fixed length, so the timing doesn't reveal the length of the
  // token either.
  const std::string_view text(header.data(), header.size());
  const Hash given = HashOf(text.substr(kScheme.size()));
  const Hash wanted = HashOf(token);
  return CRYPTO_memcmp(given.data(), wanted.data(), wanted.size()) == 0;
}

}  // namespace medlarspread::admin_api
