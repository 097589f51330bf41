// Rendezvous hashing: every daemon that sees the same candidates ranks them for
// a key in the same order, without talking to the others. Roles are given out
// this way; when a candidate goes, only its own keys move.

#ifndef MEDLARSPREAD_BASE_RENDEZVOUS_H_
#define MEDLARSPREAD_BASE_RENDEZVOUS_H_

#include <string>
#include <string_view>
#include <vector>

namespace medlarspread::base {

// The candidates ordered by their weight for `key`, highest first.
std::vector<std::string> RankByRendezvous(std::string_view key,
                                          std::vector<std::string> candidates);

}  // namespace medlarspread::base

#endif  // MEDLARSPREAD_BASE_RENDEZVOUS_H_
