/* One request to four shards in two parts, each handed to an aggregator that may
 * fall silent at any moment; the entry repeats a silent one's part itself. An
 * answer may miss one shard.
 * The code: query::GatherSession, query::HandoverSession, query::FanOutSession.
 *
 * Checked: an answer misses no more than it may, and says how many; no shard is
 * sent to more leaves than the route allows.
 * Broken variants, which must fail:
 *   -DRELAX_EACH_ALONE  each part may miss as many as the whole may, and nobody
 *                       counts again
 *   -DREPEAT_ANYWAY     a silent aggregator's shards go to a further leaf
 *   -DREPORT_AS_ANSWER  what a part reported counts as what it answered
 * and -DREACH, whose failure shows that a partial answer can come about.
 */

#define PARTS 2
#define SHARDS 2           /* of each part */
#define MOST_MISSING 1     /* of all shards of an answer */
#define ATTEMPTS 2         /* leaves of a shard */

#define UNTOLD 9

byte in[PARTS];            /* shards that a part has an answer of */
byte leaves[4];            /* leaves that each shard was sent to */
byte most[PARTS] = UNTOLD; /* how many a part may miss, once told */
bool has_answered[PARTS];
byte answer[PARTS];        /* the shards in a part's answer */

/* A shard is late: its second send, within the attempts. */
inline SecondSend(shard) {
  leaves[shard] < ATTEMPTS -> leaves[shard]++
}

proctype Aggregator(byte me) {
  leaves[me * SHARDS] = 1;
  leaves[me * SHARDS + 1] = 1;
  do
  :: atomic { in[me] < SHARDS -> in[me]++ }
  :: atomic { SecondSend(me * SHARDS) }
  :: atomic { SecondSend(me * SHARDS + 1) }
  :: atomic {            /* FanOutSession::ConcludeIfDue */
       in[me] == SHARDS || (most[me] != UNTOLD && SHARDS - in[me] <= most[me]) ->
       answer[me] = in[me];
       has_answered[me] = true;
       break
     }
  :: break               /* killed, frozen, cut off */
  od
}

active proctype Entry() {
  byte reported[PARTS] = SHARDS;   /* missing, as last reported */
  bool is_in[PARTS];
  byte missing, part, counted;
  run Aggregator(0);
  run Aggregator(1);
  do
  :: part = 0
  :: part = 1
  :: atomic { !is_in[part] -> reported[part] = SHARDS - in[part] }
  :: atomic {            /* GatherSession::RelaxIfEnough */
#ifdef RELAX_EACH_ALONE
       !is_in[part] && reported[part] <= MOST_MISSING -> most[part] = MOST_MISSING
#else
       !is_in[part] && reported[0] + reported[1] <= MOST_MISSING ->
       most[part] = reported[part]
#endif
     }
  :: atomic {
       has_answered[part] && !is_in[part] ->
       is_in[part] = true;
#ifndef REPORT_AS_ANSWER
       reported[part] = SHARDS - answer[part]
#endif
     }
  :: atomic {            /* a probe is missed: HandoverSession::FanOutHere */
       !is_in[part] && !has_answered[part] ->
#ifdef REPEAT_ANYWAY
       leaves[part * SHARDS]++;
#endif
       is_in[part] = true;
       reported[part] = SHARDS
     }
  :: is_in[0] && is_in[1] -> break
  od;
  missing = 2 * SHARDS;
  if
  :: has_answered[0] -> missing = missing - answer[0]
  :: else
  fi;
  if
  :: has_answered[1] -> missing = missing - answer[1]
  :: else
  fi;
  counted = reported[0] + reported[1];
#ifdef RELAX_EACH_ALONE
  assert(missing <= MOST_MISSING || !has_answered[0] || !has_answered[1])
#else
  if
  :: counted <= MOST_MISSING ->
     assert(missing == counted && missing <= MOST_MISSING);
#ifdef REACH
     assert(missing == 0)
#endif
  :: else                 /* unknown */
  fi
#endif
}

active proctype Attempts() {
end:
  do
  :: leaves[0] > ATTEMPTS || leaves[1] > ATTEMPTS || leaves[2] > ATTEMPTS ||
     leaves[3] > ATTEMPTS -> assert(false)
  od
}
