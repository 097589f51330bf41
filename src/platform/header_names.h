// Names of the HTTP header fields of the platform's protocol.

#ifndef MEDLARSPREAD_PLATFORM_HEADER_NAMES_H_
#define MEDLARSPREAD_PLATFORM_HEADER_NAMES_H_

namespace medlarspread::platform {

// Identifies one attempt of a client; a retry has a new identifier.
constexpr const char* kRequestId = "Medlarspread-Request-Id";
// How many milliseconds the sender will wait from now on.
constexpr const char* kDeadline = "Medlarspread-Deadline-Ms";
// The incarnation of the leaf that may run the request.
constexpr const char* kExpectedLeaf = "Medlarspread-Expect-Instance";
// A leaf's proof that it made this answer for this request.
constexpr const char* kLeafProof = "Medlarspread-Leaf-Stamp";
// Present if the leaf has not run the request and never will.
constexpr const char* kNotRun = "Medlarspread-Not-Executed";
// The proofs of the shards contained in an answer, separated by commas.
constexpr const char* kShardProofs = "Medlarspread-Part-Stamps";
// The number of shards missing from an answer.
constexpr const char* kMissingShards = "Medlarspread-Missing-Parts";
// Between daemons only: the routes revision used to hand over a request.
constexpr const char* kRoutesRevision = "Medlarspread-Routes-Revision";
// Between daemons only: the collections of the part, separated by commas.
constexpr const char* kPartShards = "Medlarspread-Part-Shards";
// Between daemons only: how many of the part's shards may be missing from now
// on.
constexpr const char* kMaxMissing = "Medlarspread-Most-Missing";
// Between daemons only: present in a refusal if leaves received the part and
// each of them rejected it.
constexpr const char* kDidReachLeaves = "Medlarspread-Did-Reach-Leaves";
// Between daemons only: the number of leaves of each shard that another daemon
// may already have sent it to. The name of the field is kept for compatibility
// with peers of earlier versions.
constexpr const char* kLeavesOfOthers = "Medlarspread-Leaves-Left-Over";
// Seconds, possibly with a fraction.
constexpr const char* kRetryAfter = "Retry-After";

}  // namespace medlarspread::platform

#endif  // MEDLARSPREAD_PLATFORM_HEADER_NAMES_H_
