// Rendezvous hashing: every daemon that knows the same candidates ranks them
// for a key in the same order, without coordination. Roles are assigned this
// way; when a candidate leaves, only its own keys move.

#ifndef MEDLARSPREAD_BASE_RENDEZVOUS_H_
#define MEDLARSPREAD_BASE_RENDEZVOUS_H_

#include <string>
#include <string_view>
#include <vector>

namespace medlarspread::base {

// The candidates by descending weight for `key`.
std::vector<std::string> RankByRendezvous(std::string_view key,
                                          std::vector<std::string> candidates);

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_RENDEZVOUS_H_
