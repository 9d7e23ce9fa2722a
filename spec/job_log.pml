/* Results of a batch job at positions that never change (src/gateway/batch/job_store, batch_service).
 *
 * Two daemons may own the job one after the other; the second may claim it at any time, and the first
 * may go on believing that it owns it. A claim raises the revision of the job's row; that revision is
 * the owner's fence. A result is written at the next position under the condition that the row has the
 * owner's revision. A write may be done and answered, done and not answered, refused, or done late: at
 * any later moment, if its condition still holds. After a write without an answer the owner sends the
 * same write again until the store has settled it, so whatever is done late under its fence says what
 * stands there already. An owner may stop its run at any moment, also before the store has settled a
 * write, and run the job again: it then claims the row anew, and reads what is listed after that.
 * Readers are shown what the owner takes for listed, or what is stored.
 *
 * Bounds: 2 daemons, 1 claim each, 1 resumption, 2 items, 2 positions, 1 late write at a time, 3 losses.
 * Properties: STABLE   a position that a reader was shown never shows anything else;
 *             ONCE     no item stands at two positions.
 * Mutants:    NO_ROW_CONDITION (results are written without the row's revision), RETRY_OTHER (after a
 *             write without an answer the owner goes on with another item), SHOW_EARLY (the owner shows
 *             a result before it is stored), RESUME_OLD_FENCE (a resumed run keeps the fence of the run before).
 */
#define ITEMS 2
#define POSITIONS 2

byte revision = 1;            /* of the job's row */
byte slot[POSITIONS];         /* 0: empty, else item + 1 */
byte shown[POSITIONS];        /* what some reader was shown, 0: nothing yet */
byte losses_left = 3;
byte resumptions_left = 1;
bool late = false;            /* a write that may be done later */
byte late_revision, late_position, late_item;

inline present(where, what) {
  assert(shown[where] == 0 || shown[where] == what);                       /* STABLE */
  shown[where] = what
}

inline store(fence, where, what) {
#ifdef NO_ROW_CONDITION
  if
  :: true ->
#else
  if
  :: revision == fence ->
#endif
     slot[where] = what + 1;
     assert(slot[0] == 0 || slot[0] != slot[1])                            /* ONCE */
  :: else -> skip
  fi
}

proctype Daemon() {
  byte fence, listed, item;
  bool settled, mine;
  byte done;                                         /* items listed, a bit each */
  atomic { revision++; fence = revision };           /* the claim */
read:
  atomic {                                           /* what is listed already */
    listed = 0;
    done = 0;
    do
    :: listed < POSITIONS && slot[listed] != 0 ->
       done = done | (1 << (slot[listed] - 1));
       listed++
    :: else -> break
    od
  };
  do
  :: listed < POSITIONS && done != 3 ->
     if
     :: !(done & 1) -> item = 0
     :: !(done & 2) -> item = 1
     fi;
     settled = false;
     do
     :: settled -> break
     :: !settled ->
#ifdef SHOW_EARLY
        atomic { present(listed, item + 1) };
#endif
        if
        :: atomic {                                  /* answered */
             mine = (revision == fence);
             store(fence, listed, item)
           };
           if
           :: !mine -> goto lost
           :: mine ->
              settled = true;
              atomic { present(listed, item + 1) };     /* a reader at the owner */
              done = done | (1 << item);
              listed++;
              mine = false
           fi
        :: losses_left > 0 ->                        /* done, not answered */
           atomic { losses_left--; store(fence, listed, item) };
#ifdef RETRY_OTHER
           if
           :: !(done & 1) && item == 1 -> item = 0
           :: !(done & 2) && item == 0 -> item = 1
           :: else -> skip
           fi
#endif
        :: losses_left > 0 && !late ->               /* done later, perhaps */
           atomic {
             losses_left--;
             late = true;
             late_revision = fence;
             late_position = listed;
             late_item = item
           };
#ifdef RETRY_OTHER
           if
           :: !(done & 1) && item == 1 -> item = 0
           :: !(done & 2) && item == 0 -> item = 1
           :: else -> skip
           fi
#endif
        :: losses_left > 0 -> losses_left--          /* refused */
        :: atomic {                                  /* stopped, and run again */
             resumptions_left > 0 && revision == fence ->
             resumptions_left--;
#ifndef RESUME_OLD_FENCE
             revision++;
             fence = revision;
#endif
           };
           goto read                                 /* a write that is open may be done later */
        fi
     od
  :: else -> break
  od;
lost: skip
}

active proctype Late() {
  do
  :: atomic {
       late -> store(late_revision, late_position, late_item);
       late = false;
       late_revision = 0; late_position = 0; late_item = 0  /* equal states stay equal */
     }
  :: timeout -> break
  od
}

active proctype Reader() {                           /* a reader at another daemon */
  byte position;
  do
  :: atomic { position = 0; if :: slot[0] != 0 -> present(0, slot[0]) :: else -> skip fi }
  :: atomic { position = 1; if :: slot[1] != 0 -> present(1, slot[1]) :: else -> skip fi }
  :: break
  od
}

init { atomic { run Daemon(); run Daemon() } }
