// The header fields of the platform's protocol, by what they hold.

#ifndef MEDLARSPREAD_PLATFORM_HEADER_NAMES_H_
#define MEDLARSPREAD_PLATFORM_HEADER_NAMES_H_

namespace medlarspread::platform {

// One for each try of a client; a client's retry has a new one.
constexpr const char* kRequestId = "Medlarspread-Request-Id";
// Milliseconds that the sender will wait from now on.
constexpr const char* kDeadline = "Medlarspread-Deadline-Ms";
// The incarnation of the leaf that may run the request.
constexpr const char* kExpectedLeaf = "Medlarspread-Expect-Instance";
// A leaf's proof that it made this answer to this request.
constexpr const char* kLeafProof = "Medlarspread-Leaf-Stamp";
// Present if the leaf has not run the request and never will.
constexpr const char* kNotRun = "Medlarspread-Not-Executed";
// The proofs of the shards that are in an answer, separated by commas.
constexpr const char* kShardProofs = "Medlarspread-Part-Stamps";
// How many shards are missing from an answer.
constexpr const char* kMissingShards = "Medlarspread-Missing-Parts";
// Between daemons only: the revision of the routes by which a request was
// handed over.
constexpr const char* kRoutesRevision = "Medlarspread-Routes-Revision";
// Between daemons only: the collections of the part, separated by commas.
constexpr const char* kPartShards = "Medlarspread-Part-Shards";
// Between daemons only: how many of them may be missing from now on.
constexpr const char* kMostMissing = "Medlarspread-Most-Missing";
// Between daemons only: present in a refusal if leaves got the part, and each
// of them rejected it.
constexpr const char* kDidReachLeaves = "Medlarspread-Did-Reach-Leaves";
// Between daemons only: leaves of each shard that another daemon may have sent
// it to, and which are so left over to that one. (Peers of an earlier version
// know it by this name.)
constexpr const char* kLeavesOfOthers = "Medlarspread-Leaves-Left-Over";
// Seconds, which may have a fraction.
constexpr const char* kRetryAfter = "Retry-After";

}  // namespace medlarspread::platform

#endif  // MEDLARSPREAD_PLATFORM_HEADER_NAMES_H_
