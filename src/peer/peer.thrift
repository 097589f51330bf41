// Messages between the daemons. Each message is sent as one frame: a four-byte
// length, then one Envelope in the compact protocol. Requests on a link are
// concurrent, and replies may arrive in any order; they are matched by the
// identifiers they carry, never by their order on the link.
//
// Times in messages are remaining durations or ages, never clock readings,
// because the clocks of two VMs may differ.

namespace cpp medlarspread.peer.wire

// A half-open range of the key space of a collection: [low, high).
struct KeyRange {
  1: i32 low;
  2: i32 high;
}

// An index version and the shard layout with which it is served.
struct Snapshot {
  1: i64 index_version;
  2: i64 layout_version;
}

// What one VM knows about one VM (itself or another).
struct MemberRecord {
  1: string name;
  2: string address;
  3: string region;
  4: string failure_domain;
  // Increases with each start of the VM's process.
  5: i64 incarnation;
  // Increases within an incarnation each time the VM refutes a record that
  // declares it gone.
  6: i64 heartbeat;
  // The index of membership::RecordState.
  7: i32 state;
  // The highest revision of the targets that this VM has in force.
  8: i64 targets_revision;
  9: i64 targets_digest;
}

// What the sender knows about one failure domain as a whole.
struct DomainSummary {
  // Milliseconds since the last message from a daemon of the domain, to the
  // sender or to a daemon that told the sender about it.
  1: i32 age_ms;
  // A hash of the name, incarnation and state of its live and leaving daemons.
  2: i64 digest;
  // The lowest revision of the targets in force on its live daemons.
  3: i64 lowest_revision;
}

struct Heartbeat {
  1: MemberRecord sender;
  // Records of other VMs that changed recently or were requested.
  2: list<MemberRecord> others;
  // Whether the sender requests the receiver's whole table.
  3: bool wants_table;
  // Upstreams that are reported to be draining: name to the age of the report
  // in milliseconds.
  4: map<string, i32> draining_upstreams;
  // The index of membership::HeartbeatKind.
  5: i32 kind;
  // By failure domain; empty on most heartbeats.
  6: map<string, DomainSummary> domains;
  // Failure domains whose records the sender requests.
  7: list<string> wanted_domains;
  // Failure domains that the sender can't reach. Receivers accept this only from
  // the daemons that monitor other domains on behalf of the receiver's domain.
  8: list<string> unreachable_domains;
}

// Sent to the owner of a collection's queues: requests the results of shards.
struct SubQuery {
  1: i64 sub_query_id;
  2: string request_id;
  3: string class_name;
  4: string collection;
  5: Snapshot snapshot;
  6: list<KeyRange> ranges;
  // Time left until the caller's deadline and until the class's latency target.
  7: i32 deadline_left_us;
  8: i32 target_left_us;
  9: binary query;
  // Set for a second (hedged) send, which goes to the head of the queue.
  10: bool is_hedge;
  // Set for a non-idempotent request: each range is sent at most once.
  11: bool is_at_most_once;
}

// The load of the shard's queue at its owner; included in every reply.
struct QueueLoad {
  1: i32 queued;
  2: i32 running;
  3: i32 slots;
  // Expected wait of a new request of the same class.
  4: i32 expected_wait_us;
  // How much slower the local replicas are than usual.
  5: i32 service_excess_us;
}

// One shard's outcome. `outcome` is the index of routing::ShardOutcome.
struct ShardReply {
  1: i64 sub_query_id;
  2: string request_id;
  3: KeyRange range;
  4: Snapshot snapshot;
  5: i32 outcome;
  // A JSON array of the items found; empty unless answered.
  6: binary items;
  7: i32 retry_after_ms;
  8: string detail;
  // The upstream that answered or failed.
  9: string upstream;
  10: i32 sends;
  11: QueueLoad load;
  12: i32 service_us;
  // Time from the arrival of the sub-query at the owner to this reply.
  13: i32 held_us;
  // Where the error arose; see base::Error. Unset when answered.
  14: i32 error_code;
  15: i32 error_step;
  16: string error_peer;
}

struct CancelSubQuery {
  1: i64 sub_query_id;
}

// Requests the targets body; sent when a heartbeat shows a higher revision.
struct TargetsRequest {
  1: i64 above_revision;
}

// The whole stored record of targets. An empty body means that the sender has
// no newer one.
struct TargetsBody {
  1: i64 revision;
  2: binary body;
}

// Requests one claim from the daemon that commits the claims of a bucket in
// groups.
struct ClaimRequest {
  1: i64 claim_id;
  2: string request_id;
  3: string nonce;
  4: i32 deadline_left_us;
}

// `outcome` is the index of claims::ClaimOutcome.
struct ClaimReply {
  1: i64 claim_id;
  2: string request_id;
  3: i32 outcome;
  4: string detail;
}

// A write of a key in the store, or its removal if `value` is not set.
struct StoreEvent {
  1: string key;
  2: optional binary value;
  3: i64 revision;
  // The era of the store in which it was written or read; 0 if it is not known.
  4: i64 era;
}

// Store changes that a daemon passes on to one that does not read the store
// itself. Sent as the body of an HTTP response (possibly to a long poll), not in
// an Envelope.
struct StoreNews {
  // All keys, or the changes after the requested revision.
  1: list<StoreEvent> events;
  // The sender knows every change up to this revision of the store.
  2: i64 revision;
  // Identifies the last change that the sender knows; the receiver sends it
  // back with its next request.
  3: i64 cursor;
  // Milliseconds since the store last answered the daemon that reads it, which
  // is the first of those that passed the changes on.
  4: i32 age_ms;
  // Whether the sender reads the store itself.
  5: bool is_direct;
  // The era of the store that `revision` belongs to; 0 if it is not known.
  6: i64 era;
  // Combines the hashes of all keys and values that the sender knows. A receiver
  // that does not know all changes up to the requested revision compares its
  // copy with the sender's by it. Absent from daemons of an earlier version.
  7: optional i64 digest;
}

// The outcomes of the requests of one class at one leaf, as one or more daemons
// saw them within a few tenths of a second.
struct LeafReport {
  // Identifies one start of the leaf's process.
  1: string leaf;
  2: string class_name;
  // Includes failures.
  3: i32 replies;
  4: i32 failures;
  // Average processing time at the leaf in microseconds; 0 without answers.
  5: i64 work_us;
}

// What happened to a run of one request at a leaf.
struct RunReport {
  // 16 bytes.
  1: binary fingerprint;
  // The index of quarantine::RunFinding.
  2: i32 finding;
  // Microseconds since the run began and ended.
  3: i64 began_age_us;
  4: i64 ended_age_us;
  // Identifies the start of the leaf's process that ended; empty if none ended.
  5: string leaf;
}

// The content of a datagram between daemons.
struct LeafReports {
  1: list<LeafReport> reports;
  // Whether the receiver must forward the reports within its failure domain.
  2: bool is_to_be_passed_on;
  3: list<RunReport> runs;
}

struct Envelope {
  1: string sender;
  2: i64 sender_incarnation;
  // Exactly one of these is set.
  10: optional Heartbeat heartbeat;
  11: optional SubQuery sub_query;
  12: optional ShardReply shard_reply;
  13: optional CancelSubQuery cancel_sub_query;
  14: optional TargetsRequest targets_request;
  15: optional TargetsBody targets_body;
  16: optional ClaimRequest claim_request;
  17: optional ClaimReply claim_reply;
}
