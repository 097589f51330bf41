/* One query to two shards while the index version changes and the key space is
 * repartitioned. Replies come late, twice, crossed with those of another
 * request, or from another version than was asked for.
 * The code: query::QuerySession, query::AnswerBuilder, upstream::LeafClient.
 *
 * The key space is four units. Snapshot 1 has the shards [0,2) and [2,4),
 * snapshot 2 has [0,1) and [1,4).
 *
 * Checked: all that an answer holds comes from its one snapshot and from its own
 * request, its coverage is the share of the key space that it really holds, and
 * it is called whole only if nothing is missing.
 * Broken variants, which must fail:
 *   -DIGNORE_REQUEST     a reply is taken for whoever reads it
 *   -DIGNORE_SNAPSHOT    a reply is taken whatever version it came from
 *   -DIGNORE_GENERATION  a reply to the choice of snapshot before is taken
 *   -DCOUNT_TWICE        a reply that comes again is counted again
 *   -DCOUNT_SHARDS       coverage is counted in shards, not in key space
 * and -DREACH, whose failure shows that a whole answer can come about.
 */

#define UNITS 4
#define FOREIGN 9         /* items of another request, or of another range */

/* The snapshot that each leaf holds; each moves from 1 to 2 at any time. */
byte holds[2] = 1;

/* Per choice of snapshot and shard: whether it was asked, and the snapshot that
 * its leaf's reply came from (0: no reply). Replies stay and may be read again,
 * at any later time. */
bool was_asked[4];        /* index: generation * 2 + shard */
byte reply[4];

active [2] proctype Leaf() {
  byte me = _pid, query;
end:
  do
  :: atomic { holds[me] == 1 -> holds[me] = 2 }
  :: atomic {             /* answers from what it holds now, right or wrong */
       (was_asked[me] && !reply[me]) || (was_asked[2 + me] && !reply[2 + me]) ->
       if
       :: was_asked[me] && !reply[me] -> query = me
       :: was_asked[2 + me] && !reply[2 + me] -> query = 2 + me
       fi;
       reply[query] = holds[me];
       query = 0
     }
  od
}

/* The range of a shard in a snapshot. */
#define LOW(snapshot, shard)   (shard == 0 -> 0 : 3 - snapshot)
#define HIGH(snapshot, shard)  (shard == 1 -> UNITS : 3 - snapshot)

#ifdef IGNORE_REQUEST
#define IS_MINE  true
#else
#define IS_MINE  is_mine             /* LeafClient, SubQueryClient */
#endif
#ifdef IGNORE_GENERATION
#define IS_OF_NOW  true
#else
#define IS_OF_NOW  is_of_now         /* QuerySession::DidRangeResult */
#endif
#ifdef IGNORE_SNAPSHOT
#define IS_OF_SNAPSHOT  true
#else
#define IS_OF_SNAPSHOT  (from == snapshot)   /* LeafClient */
#endif
#ifdef COUNT_TWICE
#define IS_FIRST  true
#else
#define IS_FIRST  !is_answered[shard]        /* DidRangeResult, AnswerBuilder */
#endif

/* Any reply, of any time, of anyone: a shard, the snapshot that it came from,
 * whether it answers this request, and whether it answers the choice in force. */
inline Receive() {
  if
  :: shard = 0
  :: shard = 1
  fi;
  if
  :: reply[shard] ->
     from = reply[shard]; is_mine = true; is_of_now = (generation == 0)
  :: reply[2 + shard] ->
     from = reply[2 + shard]; is_mine = true; is_of_now = true
  :: from = 1; is_mine = false; is_of_now = true
  :: from = 2; is_mine = false; is_of_now = true
  fi
}

/* AnswerBuilder::Add */
inline Take() {
  is_answered[shard] = true;
  for (unit : LOW(snapshot, shard) .. (HIGH(snapshot, shard) - 1)) {
    items[unit] = (is_mine && is_of_now -> from : FOREIGN)
  }
#ifdef COUNT_SHARDS
  share = share + UNITS / 2
#else
  share = share + HIGH(snapshot, shard) - LOW(snapshot, shard)
#endif
}

inline Forget() {
  share = 0;
  is_answered[0] = false;
  is_answered[1] = false;
  for (unit : 0 .. (UNITS - 1)) {
    items[unit] = 0
  }
}

active proctype Session() {
  byte snapshot, generation, shard, from, unit, share, held;
  byte items[UNITS];      /* the snapshot that each unit's items came from */
  bool is_answered[2];
  bool is_mine, is_of_now;

  if                      /* views of the upstreams lag */
  :: snapshot = 1
  :: snapshot = 2
  fi;
ask:                      /* QuerySession::ChooseSnapshotAndAsk */
  atomic {
    Forget();
    was_asked[generation * 2] = true;
    was_asked[generation * 2 + 1] = true
  };
  do
  :: atomic {
       Receive();
       if
       :: IS_MINE && IS_OF_NOW && IS_OF_SNAPSHOT && IS_FIRST -> Take()
       :: is_mine && is_of_now && from > snapshot && generation == 0 ->
          generation = 1; /* QuerySession::TryOtherSnapshot */
          snapshot = from;
          goto ask
       :: else            /* dropped */
       fi;
       shard = 0; from = 0; unit = 0; is_mine = false; is_of_now = false
     }
  :: break                /* all there, target or deadline due */
  od;
  atomic {                /* QuerySession::Conclude */
    for (unit : 0 .. (UNITS - 1)) {
      assert(items[unit] == 0 || items[unit] == snapshot);
      held = held + (items[unit] != 0 -> 1 : 0)
    };
    assert(share == held)
#ifdef REACH
    ; assert(share < UNITS)
#endif
  }
}
