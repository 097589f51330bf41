/* At most once: two askers with one request identifier, two daemons that group
 * its claims, one key of the store. The code is in src/claims.
 *
 * Whoever waits here may stop waiting at any moment, and whatever is under way
 * may arrive at any later moment or never. That covers lost requests, lost
 * replies, delays and pauses without further branches.
 *
 * Checked: the request is sent at most once, and whoever was told "not run" is
 * right. Broken variants, which must fail:
 *   -DGRANT_ON_UNKNOWN   a swap without a reply counts as made
 *   -DIGNORE_NONCE       "recorded" is read back without looking whose it is
 *   -DTRUST_LEASE        who believes to hold a lease writes without comparing
 *   -DACT_ON_LATE_GRANT  the asker acts on a reply after it has given up
 * and -DREACH, whose failure shows that a request can be sent at all.
 */

#define NOBODY       0    /* nonces are 1 and 2: that of asker a is a + 1 */
#define ANY_VERSION  255  /* only the broken lease holder writes like this */
#define TRIES        2    /* swaps per claim */

mtype = { granted, taken, unsettled, done, conflict };

/* The key: its version, and the nonce recorded for the identifier. */
byte version = 0;
byte recorded = NOBODY;

/* Swaps on their way to the store, two per grouping daemon: the current call
 * and the one before, which was given up on but may still take effect. */
byte swap_nonce[4];
byte swap_expected[4];

/* The call that each daemon waits for, plus one, and its reply. A reply to a
 * call that is no longer waited for is dropped. */
byte waits_for[2];
mtype outcome[2];

chan requests[2] = [2] of { byte };   /* nonces, to a grouping daemon */
chan replies[2] = [2] of { mtype };   /* to an asker */

byte sends = 0;                       /* times that the request went upstream */
bool told_not_run[2];
bool sent[2];
bool is_over[2];                      /* the asker looks at no further reply;
                                         once both do, nothing can happen */

/* Takes any swap at any time, once. */
active proctype Store() {
  byte slot;
  mtype what;

end:
  do
  :: atomic {
       (swap_nonce[0] || swap_nonce[1] || swap_nonce[2] || swap_nonce[3]) &&
       !(is_over[0] && is_over[1]) ->
       if
       :: swap_nonce[0] -> slot = 0
       :: swap_nonce[1] -> slot = 1
       :: swap_nonce[2] -> slot = 2
       :: swap_nonce[3] -> slot = 3
       fi;
       if
       :: swap_expected[slot] == version || swap_expected[slot] == ANY_VERSION ->
          version++;
          recorded = swap_nonce[slot];
          what = done
       :: else ->
          what = conflict
       fi;
       if
       :: waits_for[slot / 2] == slot % 2 + 1 -> outcome[slot / 2] = what
       :: else
       fi;
       swap_nonce[slot] = NOBODY;
       swap_expected[slot] = 0;
       what = 0;
       slot = 0
     }
  od
}

inline Reply(nonce, what) {
  if
  :: nfull(replies[nonce - 1]) && !is_over[nonce - 1] ->
     replies[nonce - 1]!what
  :: full(replies[nonce - 1]) || is_over[nonce - 1]      /* lost or dropped */
  fi
}

/* Ends the work on one claim. Unused variables are cleared, so that states that
 * differ in nothing that matters are one. */
inline EndClaim() {
  nonce = NOBODY;
  tries = 0;
  waits_for[me] = 0;
  outcome[me] = 0
}

/* Bucket::SettleIfRecorded, for a record that is not empty. */
inline ReplyFromRecord(nonce, record) {
  if
#ifdef IGNORE_NONCE
  :: true -> Reply(nonce, granted)
#else
  :: record == nonce -> Reply(nonce, granted)
  :: record != nonce -> Reply(nonce, taken)
#endif
  fi
}

/* claims::Bucket on one daemon, for the one key. */
proctype Holder(byte me) {
  byte nonce, call, tries;
  byte known_version, known_record;
  bool believes_lease;

end:
  do
  :: atomic {
       !(is_over[0] && is_over[1]) && nempty(requests[me]) ->
       requests[me]?nonce;
       if
       :: known_record ->
          ReplyFromRecord(nonce, known_record);
          EndClaim();
          goto end
       :: else
       fi
     };
swap:                                 /* Bucket::Swap */
     atomic {
       call = 1 - call;
       tries++;
       swap_expected[me * 2 + call] = known_version;
#ifdef TRUST_LEASE
       if
       :: believes_lease -> swap_expected[me * 2 + call] = ANY_VERSION
       :: !believes_lease -> believes_lease = true   /* from now on, lapsed or not */
       fi;
#endif
       swap_nonce[me * 2 + call] = nonce;
       outcome[me] = 0;
       waits_for[me] = call + 1
     };
     if
     :: atomic {                      /* Bucket::DidSwap */
          outcome[me] == done ->
          known_version++;
          known_record = nonce;
          Reply(nonce, granted);
          EndClaim()
        }
     :: atomic {                      /* a conflict, or no reply in time */
          outcome[me] != done ->
          waits_for[me] = 0;
#ifdef GRANT_ON_UNKNOWN
          if
          :: outcome[me] == 0 -> Reply(nonce, granted); EndClaim(); goto end
          :: else
          fi;
#endif
          outcome[me] = 0
        };
        if
        :: atomic {                   /* Bucket::Read, MergeStored */
             known_version = version;
             known_record = recorded;
             if
             :: known_record -> ReplyFromRecord(nonce, known_record)
             :: !known_record && tries < TRIES -> goto swap
             :: !known_record && tries == TRIES -> Reply(nonce, unsettled)
             fi;
             EndClaim()
           }
        :: atomic {                   /* the read fails as well */
             true ->
             Reply(nonce, unsettled);
             EndClaim()
           }
        fi
     fi
  :: atomic {                         /* a new incarnation: memory is empty */
       me == 0 && (known_version || known_record) && !(is_over[0] && is_over[1]) ->
       known_version = 0;
       known_record = NOBODY
     }
  od
}

inline Ask(holder, nonce) {
  if
  :: nfull(requests[holder]) -> requests[holder]!nonce
  :: empty(requests[holder]) && nonce == 1 && asked == 1 ->   /* duplicated */
     requests[holder]!nonce;
     requests[holder]!nonce
  :: full(requests[holder])           /* lost */
  fi
}

inline Send(me) {
  sends++;
  sent[me] = true;
  assert(sends == 1);
  assert(!told_not_run[me])
#ifdef REACH
  ; assert(false)
#endif
}

/* claims::ClaimSession: only here is anything sent. `daemons` bounds how many
 * are asked, to keep the state space small. */
proctype Asker(byte me; byte daemons) {
  byte asked, holder;
  mtype what;

  if                                  /* views of the membership differ */
  :: holder = 1                       /* so that 0 is asked first */
  :: me == 1 -> holder = 0
  fi;
next:                                 /* ClaimSession::AskNextDaemon */
  atomic {
    asked++;
    holder = 1 - holder;
    Ask(holder, me + 1)
  };
  do
  :: atomic {                         /* ClaimSession::DidLearnOutcome */
       replies[me]?what;
       if
       :: what == granted -> Send(me); break
       :: what == taken -> break      /* the caller hears "outcome unknown" */
       :: what == unsettled && asked < daemons -> what = 0; goto next
       :: what == unsettled && asked == daemons -> told_not_run[me] = true; break
       fi
     }
  :: asked < daemons -> goto next           /* ClaimSession::DidLosePeer */
  :: atomic {                         /* ClaimSession::DidPassDeadline */
       true ->
       told_not_run[me] = true;
       break
     }
  od;
#ifdef ACT_ON_LATE_GRANT
end:
  do
  :: atomic { replies[me]?granted -> Send(me) }
  od
#else
  atomic {                            /* whatever comes now is dropped */
    is_over[me] = true;
    what = 0;
    asked = 0;
    holder = 0;
    do
    :: replies[me]?_
    :: empty(replies[me]) -> break
    od
  }
#endif
}

init {
  atomic {
    run Holder(0); run Holder(1);
    run Asker(0, 2); run Asker(1, 1)
  }
}
