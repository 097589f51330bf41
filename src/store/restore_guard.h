// Prevents a list or watch from continuing across a restore of the store from a
// backup.
//
// The store assigns the revisions after the backup again. If a cursor or a list
// of the earlier era were continued, its revision could stand for a different
// change, and the changes between the backup and that revision would be missed.
//
// Steps, for lists and watches that are called one after another:
//   1. The first page of a list determines the era.
//   2. If a later page, or a watch that continues from the list, is answered in
//      another era, it fails with kExpired, and the caller has to list again.
//
// Runs on the sequence of the guarded store.

#ifndef MEDLARSPREAD_STORE_RESTORE_GUARD_H_
#define MEDLARSPREAD_STORE_RESTORE_GUARD_H_

#include "src/store/event_source.h"

namespace medlarspread::store {

// Wraps `store` so that `list`, `list_stale` and `watch` are guarded. A
// response that does not name its era is taken to be of the list's era.
EventSource GuardAgainstRestore(EventSource store);

}  // namespace medlarspread::store

#endif  // MEDLARSPREAD_STORE_RESTORE_GUARD_H_
