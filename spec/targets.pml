/* Targets: two operators race, each through its own daemon, over one record in
 * the store; replies are lost, the store is restored from an older copy, and a
 * daemon restarts. The code is in src/targets.
 *
 * A record is its revision and the set of changes it holds: bit 0 is the change
 * of operator 0, bit 1 that of operator 1.
 *
 * Checked: the revision in force on a daemon never decreases; a change that was
 * accepted stays in every later record that comes into force; a change is made
 * once; two daemons never hold different records under one revision.
 * Broken variants, which must fail:
 *   -DAPPLY_ANY        a daemon applies what the store says, also if lower
 *   -DNO_COMPARE       a change is written without comparing the version
 *   -DNO_CHANGE_ID     a change is not looked for before it is made
 *   -DREADY_AT_ONCE    a daemon serves before it has heard from its peer
 *   -DRESTORE_AT_ONCE  the store loses a record that is not yet in force
 *                      everywhere: the limit of what the code can hold
 * and -DREACH, whose failure shows that both changes can be accepted.
 */

#define WRITES 2          /* reads and writes per submission */

mtype = { none, pending, made, lost };

/* The key: the store's version, and the record. */
byte store_version = 1, store_revision = 0, store_changes = 0;
/* An older copy, from which the store may be restored once. */
byte copy_revision = 0, copy_changes = 0;
bool was_restored = false;

/* The record in force on each daemon. */
byte revision[2], changes[2];
bool is_ready[2] = true;
bool was_restarted = false;

/* The write that each operator's daemon has under way. */
mtype write_state[2] = none;
byte write_version[2], write_revision[2], write_changes[2];

byte times_made[2];
byte accepted[2];         /* the revision that the operator was told; 0: none */

/* What was accepted is in every record from its revision on, and what is in
 * force on a daemon stays in force there. */
inline AssertNothingReverts(d, r, c) {
  assert(!accepted[0] || r < accepted[0] || (c & 1));
  assert(!accepted[1] || r < accepted[1] || (c & 2));
  assert((c & changes[d]) == changes[d])
}

#ifdef RESTORE_AT_ONCE
#define MAY_LOSE_LATEST  true
#else
#define MAY_LOSE_LATEST  \
  (revision[0] >= store_revision && revision[1] >= store_revision)
#endif

/* HeldTargets::Offer */
inline Offer(d, r, c) {
  if
#ifdef APPLY_ANY
  :: r != revision[d] ->
#else
  :: r > revision[d] ->
#endif
     assert(r > revision[d]);
     AssertNothingReverts(d, r, c);
     revision[d] = r;
     changes[d] = c
  :: r == revision[d] -> assert(c == changes[d])
  :: else             /* kept out and reported */
  fi
}

/* Takes a write at any time; its reply may stay away for ever. */
active proctype Store() {
  byte w;
end:
  do
  :: atomic {
       (write_state[0] == pending || write_state[1] == pending) ->
       if
       :: write_state[0] == pending -> w = 0
       :: write_state[1] == pending -> w = 1
       fi;
       if
#ifdef NO_COMPARE
       :: true ->
#else
       :: write_version[w] == store_version ->
#endif
          times_made[w]++;
          assert(times_made[w] == 1);
          store_version++;
          store_revision = write_revision[w];
          store_changes = write_changes[w];
          write_state[w] = made
#ifndef NO_COMPARE
       :: write_version[w] != store_version -> write_state[w] = lost
#endif
       fi;
       w = 0
     }
  :: atomic {                               /* the copy is taken */
       !was_restored && copy_revision != store_revision ->
       copy_revision = store_revision;
       copy_changes = store_changes
     }
  :: atomic {                               /* restored from the copy */
       !was_restored && copy_revision != store_revision && MAY_LOSE_LATEST ->
       was_restored = true;
       store_version++;                     /* versions never repeat */
       store_revision = copy_revision;
       store_changes = copy_changes;
       /* What no daemon has in force was not accepted and may be made again. */
       if
       :: !((store_changes | changes[0] | changes[1]) & 1) -> times_made[0] = 0
       :: else
       fi;
       if
       :: !((store_changes | changes[0] | changes[1]) & 2) -> times_made[1] = 0
       :: else
       fi;
       copy_revision = 0;
       copy_changes = 0
     }
  od
}

/* TargetsController of daemon d: learns from the store and from its peer. What
 * it reads may be old by the time that it is offered. */
proctype Controller(byte d) {
  byte r, c;
end:
  do
  :: atomic {                               /* StoreReader */
       store_revision != revision[d] ->
       r = store_revision;
       c = store_changes
     };
     atomic { Offer(d, r, c); r = 0; c = 0 }
  :: atomic {                               /* PeerExchange, over one link */
       revision[1 - d] != revision[d] || !is_ready[d] ->
       Offer(d, revision[1 - d], changes[1 - d]);
       is_ready[d] = true
     }
  :: atomic {                               /* daemon 1 starts anew */
       d == 1 && !was_restarted && write_state[1] == none ->
       was_restarted = true;
       revision[1] = 0;
       changes[1] = 0;
#ifndef READY_AT_ONCE
       is_ready[1] = false
#endif
     }
  od
}

/* An operator and the ChangeSession on daemon d that works for it. One who
 * hears "unknown" may submit the same change again. */
proctype Operator(byte d; byte submissions) {
  byte v, r, c, writes;

submit:
  atomic { is_ready[d] -> submissions--; writes = 0 };
read:                                       /* ChangeSession::Read */
  atomic { writes++; v = store_version; r = store_revision; c = store_changes };
  atomic {                                  /* ChangeSession::DidRead */
    if
    :: !is_ready[d] -> goto unknown         /* the daemon has restarted */
    :: else
    fi;
    Offer(d, r, c);
    r = 0; c = 0;
    if
#ifndef NO_CHANGE_ID
    :: changes[d] & (1 << d) -> goto accept /* FinishIfRecorded */
#endif
    :: else
    fi;
    write_version[d] = v;                   /* ChangeSession::ApplyOn, Write */
    write_changes[d] = changes[d] | (1 << d);
    write_revision[d] = revision[d] + 1;
    write_state[d] = pending
  };
  if
  :: atomic {                               /* ChangeSession::DidStore */
       write_state[d] == made ->
       r = write_revision[d];
       c = write_changes[d];
       write_state[d] = none;
       Offer(d, r, c);
       if
       :: revision[d] == r -> goto accept
       :: else -> goto unknown
       fi
     }
  :: atomic { write_state[d] == lost -> write_state[d] = none; goto again }
  :: atomic {                               /* no reply in time */
       write_state[d] != lost ->
       if                                   /* it may still take effect */
       :: write_state[d] == made -> write_state[d] = none
       :: write_state[d] == pending -> skip
       fi;
       goto again
     }
  fi;

again:
  if
  :: writes < WRITES -> goto read
  :: else -> goto unknown
  fi;
unknown:                                    /* the operator tries again */
  if
  :: submissions > 0 -> goto submit
  :: goto done
  fi;
accept:
  atomic {
    accepted[d] = revision[d];
    v = 0; r = 0; c = 0
#ifdef REACH
    ; assert(!(accepted[0] && accepted[1]))
#endif
  };
done:
  skip
}

init {
  atomic {
    run Controller(0); run Controller(1);
    run Operator(0, 1); run Operator(1, 2)
  }
}
