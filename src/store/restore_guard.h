// Keeps readings of a store apart from those of the time before it was restored
// from a copy.
//
// The revisions after the copy are given out again, so a cursor or a page of
// the earlier era must not be continued: the store may know that revision
// again, for another change, and what lies between the copy and there would be
// missed.
//
// Steps, for the lists and watches that go through it, one after another:
//   1. The first page of a reading names the era of that reading.
//   2. A later page, or a watch that goes on from it, which is answered in
//      another era ends with kExpired: the reading has to begin anew.
//
// Runs on the sequence of the store that it guards.

#ifndef MEDLARSPREAD_STORE_RESTORE_GUARD_H_
#define MEDLARSPREAD_STORE_RESTORE_GUARD_H_

#include "src/store/event_source.h"

namespace medlarspread::store {

// The same calls as `store`, whose `list`, `list_stale` and `watch` are
// guarded. An answer that does not name its era is taken for one of the
// reading's era.
EventSource GuardAgainstRestore(EventSource store);

}  // namespace medlarspread::store

#endif  // MEDLARSPREAD_STORE_RESTORE_GUARD_H_
