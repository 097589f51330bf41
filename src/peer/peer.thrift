// Messages between the daemons. Each travels as one frame: a four-byte length,
// then one Envelope in the compact protocol. A link carries many requests at
// once and in any order; replies are matched by the identifiers they carry,
// never by their place on the link.
//
// Times in messages are durations left or ages, never clock readings, because
// the clocks of two VMs need not agree.

namespace cpp medlarspread.peer.wire

// One region of the key space of a collection: [low, high).
struct KeyRange {
  1: i32 low;
  2: i32 high;
}

// An index version together with the shard layout it is served in.
struct Snapshot {
  1: i64 index_version;
  2: i64 layout_version;
}

// What one VM says of one VM (itself or another).
struct MemberRecord {
  1: string name;
  2: string address;
  3: string region;
  4: string failure_domain;
  // Grows with each start of the VM's process.
  5: i64 incarnation;
  // Grows within an incarnation whenever the VM contradicts a record that
  // calls it gone.
  6: i64 heartbeat;
  // The index of membership::RecordState.
  7: i32 state;
  // The highest revision of the targets that this VM has in force.
  8: i64 targets_revision;
  9: i64 targets_digest;
}

// What the sender knows of one failure domain as a whole.
struct DomainSummary {
  // Milliseconds since a daemon of the domain was last heard, by the sender or
  // by a daemon that told it.
  1: i32 age_ms;
  // Over name, incarnation and state of its live and leaving daemons.
  2: i64 digest;
  // The lowest revision of the targets in force on its live daemons.
  3: i64 lowest_revision;
}

struct Heartbeat {
  1: MemberRecord sender;
  // Records of other VMs that changed lately or were asked for.
  2: list<MemberRecord> others;
  // Set when the sender asks for the whole table back.
  3: bool wants_table;
  // Upstreams that the sender has heard to be draining, by name, with the
  // age of that news in milliseconds.
  4: map<string, i32> draining_upstreams;
  // The index of membership::HeartbeatKind.
  5: i32 kind;
  // By failure domain; empty on most heartbeats.
  6: map<string, DomainSummary> domains;
  // Failure domains whose records the sender asks for.
  7: list<string> wanted_domains;
  // Failure domains that the sender can't reach. Heeded only from those who
  // watch the other domains for the receiver's.
  8: list<string> unreachable_domains;
}

// Asks the owner of the queues for shards of one collection.
struct SubQuery {
  1: i64 sub_query_id;
  2: string request_id;
  3: string class_name;
  4: string collection;
  5: Snapshot snapshot;
  6: list<KeyRange> ranges;
  // Time left until the caller's deadline and until the class's target.
  7: i32 deadline_left_us;
  8: i32 target_left_us;
  9: binary query;
  // Set for a second send: goes to the head of the queue.
  10: bool is_hedge;
  // Set for a non-idempotent request: each range is sent once at most.
  11: bool is_at_most_once;
}

// How full the queue of this shard is at its owner; rides on every reply.
struct QueueLoad {
  1: i32 queued;
  2: i32 running;
  3: i32 slots;
  // Expected wait of a new request of the same class.
  4: i32 expected_wait_us;
  // By how much the replicas here are slower than is typical.
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

// Asks for the targets body; sent when a heartbeat shows a higher revision.
struct TargetsRequest {
  1: i64 above_revision;
}

// The whole record of targets as stored, or nothing newer if body is empty.
struct TargetsBody {
  1: i64 revision;
  2: binary body;
}

// Asks the daemon that groups the claims of a bucket to commit one claim.
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

// A key of the store as it was written; removed, if `value` is not set.
struct StoreEvent {
  1: string key;
  2: optional binary value;
  3: i64 revision;
  // The era of the store in which it was written or read; 0 if it is not known.
  4: i64 era;
}

// What a daemon that follows the store passes on to one that does not. It
// travels as the body of an HTTP answer that may be waited for, not in an
// Envelope.
struct StoreNews {
  // All keys, or the changes after the revision that was asked for.
  1: list<StoreEvent> events;
  // Everything up to this revision of the store is known.
  2: i64 revision;
  // Names the sender's last change; to be sent with the next request.
  3: i64 cursor;
  // Milliseconds since the store last answered the first daemon of the chain.
  4: i32 age_ms;
  // Whether the sender reads the store itself.
  5: bool is_direct;
  // The era of the store that `revision` belongs to; 0 if it is not known.
  6: i64 era;
}

// How requests of one class of work ended at one leaf, as one daemon or several
// saw it within some tenths of a second.
struct LeafReport {
  // The name of one start of the leaf.
  1: string leaf;
  2: string class_name;
  // Failures included.
  3: i32 replies;
  4: i32 failures;
  // Microseconds that the answers took at the leaf, on average; 0 without any.
  5: i64 work_us;
}

// What became of runs of one request.
struct RunReport {
  // 16 bytes.
  1: binary fingerprint;
  // The index of quarantine::RunFinding.
  2: i32 finding;
  // Microseconds since the run began and ended.
  3: i64 began_age_us;
  4: i64 ended_age_us;
  // The name of one start of the leaf that ended; empty if none did.
  5: string leaf;
}

// A datagram between daemons.
struct LeafReports {
  1: list<LeafReport> reports;
  // Whether the receiver is to pass them on in its failure domain.
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
