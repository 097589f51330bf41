// XXH64 of the value, seeded with the hash of the key.

#include "src/store/item_hash.h"

#include <xxhash.h>

namespace medlarspread::store {

std::uint64_t HashItem(const std::string& key, const std::string& value) {
  const std::uint64_t seed = XXH64(key.data(), key.size(), 0);
  return XXH64(value.data(), value.size(), seed);
}

}  // namespace medlarspread::store
