/* Graceful shutdown of one daemon with work in flight: requests of its callers,
 * and a sub-query of another daemon. The code is daemon::GracefulStop and the
 * counters of query::QueryService and routing::SubQueryServer.
 *
 * Checked: work that was admitted is finished before the links close; work that
 * was refused was not run; every answer is in the counts that are written; if a
 * second signal ends the stop early, whatever is cut off is reported.
 * Broken variants, which must fail:
 *   -DCHECK_THEN_COUNT  admission looks whether it is stopping, then counts
 *   -DDO_NOT_WAIT       the stop does not wait for what is in flight
 *   -DSTOP_ALL_AT_ONCE  sub-queries are not waited for, only requests
 *   -DWRITE_EARLY       the counts are written before the last answer
 *   -DREPORT_ONE_STEP   an early end reports only the step that it ended
 * and -DREACH, whose failure shows that a stop can come to its end.
 */

#define REQUESTS 2

bool accepts_requests = true, accepts_sub_queries = true;
byte requests_in_flight = 0, sub_queries_in_flight = 0;

bool are_links_open = true;
bool is_forced = false;              /* the second signal */
bool has_reported_requests = false, has_reported_sub_queries = false;

byte answered = 0, written = 0;      /* counts for the burn report */

/* Counts up first: accepts == false and then a count of 0 mean that nothing is
 * left and that nothing will start. */
inline Admit(accepts, count, admitted) {
#ifdef CHECK_THEN_COUNT
  admitted = accepts;
  if
  :: admitted -> count++
  :: else
  fi
#else
  count++;
  admitted = accepts;
  if
  :: !admitted -> count--            /* refused: not run */
  :: else
  fi
#endif
}

proctype Request() {
  bool admitted, ran;

  Admit(accepts_requests, requests_in_flight, admitted);
  if
  :: admitted ->
     assert(are_links_open || has_reported_requests);
     ran = true;                     /* asks upstreams and waits */
     assert(are_links_open || has_reported_requests);
     if
     :: atomic { are_links_open -> answered++ }
     :: atomic { !are_links_open -> skip }   /* cut off */
     fi;
     requests_in_flight--
  :: else
  fi;
  assert(!ran || admitted)
}

/* Another daemon's; when it is refused, that daemon asks elsewhere. */
proctype SubQuery() {
  bool admitted, ran;

  Admit(accepts_sub_queries, sub_queries_in_flight, admitted);
  if
  :: admitted ->
     assert(are_links_open || has_reported_sub_queries);
     ran = true;
     assert(are_links_open || has_reported_sub_queries);
     sub_queries_in_flight--
  :: else
  fi;
  assert(!ran || admitted)
}

inline WaitFor(count, has_reported) {
#ifndef DO_NOT_WAIT
  if
  :: count == 0
  :: is_forced ->
     has_reported = (count > 0);
     has_ended_early = true
  fi
#else
  skip
#endif
}

#ifdef REPORT_ONE_STEP
#define IS_LAST_REPORT  has_ended_early
#else
#define IS_LAST_REPORT  false
#endif

proctype Stop() {
  bool has_ended_early;

  /* 1. Not ready; peers are told. What they think decides nothing here. */
  /* 2. */
  accepts_requests = false;
#ifdef WRITE_EARLY
  written = answered;
#endif
  WaitFor(requests_in_flight, has_reported_requests);
  /* 3. */
  accepts_sub_queries = false;
#ifndef STOP_ALL_AT_ONCE
  if
  :: IS_LAST_REPORT -> skip
  :: !IS_LAST_REPORT -> WaitFor(sub_queries_in_flight, has_reported_sub_queries)
  fi;
#endif
  /* 4. */
  atomic {
    are_links_open = false;
#ifndef WRITE_EARLY
    written = answered
#endif
  };
  assert(written == answered || is_forced);
#ifdef REACH
  assert(is_forced || answered < REQUESTS)
#endif
}

active proctype SecondSignal() {
  if
  :: is_forced = true
  :: skip
  fi
}

init {
  atomic {
    run Request(); run Request(); run SubQuery(); run Stop()
  }
}
