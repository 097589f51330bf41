// A hash of a key and its value, by which daemons compare their copies of the
// store. It is sent between daemons, so it must not change.

#ifndef MEDLARSPREAD_STORE_ITEM_HASH_H_
#define MEDLARSPREAD_STORE_ITEM_HASH_H_

#include <cstdint>
#include <string>

namespace medlarspread::store {

std::uint64_t HashItem(const std::string& key, const std::string& value);

}  // namespace medlarspread::store

#endif  // MEDLARSPREAD_STORE_ITEM_HASH_H_
