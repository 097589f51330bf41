// A point in the history of the store.
//
// A store that is restored from an older copy begins a new era: the changes
// after the copy are lost and their revisions are given out again. So revisions
// of one era can be compared with each other only, and whatever is known of a
// later era supersedes all that was known before.

#ifndef MEDLARSPREAD_STORE_POSITION_H_
#define MEDLARSPREAD_STORE_POSITION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace medlarspread::store {

struct Position {
  // How often the store has been restored. Zero if the store, or a peer of an
  // earlier version, does not tell.
  std::int64_t era = 0;
  // Counts the changes of all keys.
  std::int64_t revision = 0;

  // By era first: the order in which positions supersede each other.
  // NOLINTNEXTLINE(modernize-use-nullptr): misfires on a defaulted <=>.
  friend auto operator<=>(const Position&, const Position&) = default;
};

// For logs.
inline std::string ToString(const Position& position) {
  return "revision " + std::to_string(position.revision) + " of era " +
         std::to_string(position.era);
}

}  // namespace medlarspread::store

#endif  // MEDLARSPREAD_STORE_POSITION_H_
