// A point in the history of the store.
//
// A store that is restored from an older backup begins a new era: the changes
// after the backup are lost and their revisions are assigned again. So only
// revisions of the same era can be compared, and any data of a later era
// supersede all data of earlier eras.

#ifndef MEDLARSPREAD_STORE_POSITION_H_
#define MEDLARSPREAD_STORE_POSITION_H_

#include <compare>
#include <cstdint>
#include <string>

namespace medlarspread::store {

struct Position {
  // How often the store has been restored. Zero if the store, or a peer of an
  // earlier version, does not report it.
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
