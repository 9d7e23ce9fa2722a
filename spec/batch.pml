/* The batch of a trainer's step: committed once, never over the staleness bound.
 *
 * Two daemons may both believe to coordinate the step. Each makes its samples at some version and
 * commits by a transaction that names the revision of the step's row and of the trainer's row. The
 * trainer names its version in each pull; pulls are repeated, also after the trainer has moved on.
 * The answer of a commit may be lost after the effect.
 *
 * Bounds: 2 coordinators, 1 trainer, 2 steps, versions 1 to 4, 2 lost answers, 3 pulls a step.
 * Properties: ONCE    every delivery of a step is the same batch;
 *             FRESH   no batch delivered is older than the bound at the version that the pull named;
 *             ORDER   a batch is committed for a version that the trainer has not passed.
 * Mutants:    NO_CONDITION (the row's revision is not checked), STALENESS_BEFORE (staleness is checked
 *             against a version read earlier, not the one in the transaction), DELIVER_UNCHECKED (a
 *             repeated pull at a newer version is not checked again), ASSUME_COMMITTED (a lost answer
 *             is taken for a success and the own batch is delivered).
 */
#define BOUND 1
#define TOP 4

byte trainer_version = 1;     /* the trainer's own truth */
byte trainer_row = 0;         /* the highest version named in a committed pull */
byte trainer_row_revision = 0;
byte batch = 0;               /* 0: open; else the id of the coordinator that committed */
byte batch_oldest = 0;
byte batch_for = 0;
byte pull_version = 0;        /* version named by the latest pull; 0: none */
byte delivered = 0;           /* batch that the trainer has received; 0: none */
byte losses_left = 2;

inline deliver(which, oldest, at_version) {
  assert(delivered == 0 || delivered == which);                  /* ONCE */
  assert(oldest + BOUND >= at_version);                          /* FRESH */
  delivered = which
}

proctype Coordinator(byte self) {
  byte oldest, version, seen_revision, tries = 0;
  bool lost;
  do
  :: tries < 2 ->
     tries++;
     pull_version > 0 ->
     version = pull_version;
     /* samples made at some version up to the trainer's */
     if
     :: oldest = version
     :: version > 1 -> oldest = version - 1
     :: version > 2 -> oldest = version - 2
     fi;
     seen_revision = trainer_row_revision;
     if
     :: oldest + BOUND >= version ->
        atomic {                                                 /* the transaction */
          lost = false;
          if
#ifdef NO_CONDITION
          :: true ->
#else
          :: batch == 0 && trainer_row_revision == seen_revision && trainer_row <= version ->
#endif
#ifdef STALENESS_BEFORE
             /* committed for the latest pull, though staleness was checked against an earlier one */
             version = pull_version;
             if
             :: pull_version == trainer_version -> deliver(self, oldest, pull_version)
             :: else -> skip
             fi;
#endif
             batch = self; batch_oldest = oldest; batch_for = version;
             assert(trainer_row <= version);                     /* ORDER */
             trainer_row = version; trainer_row_revision++
#ifndef NO_CONDITION
          :: else -> skip
#endif
          fi;
          if
          :: losses_left > 0 -> losses_left--; lost = true
          :: true -> skip
          fi
        };
#ifdef ASSUME_COMMITTED
        if
        :: lost -> atomic { deliver(self, oldest, version) }
        :: else -> skip
        fi
#endif
     :: else -> skip                                             /* too old: made again */
     fi
  :: true -> break
  od
}

proctype Trainer() {
  byte pulls = 0, at;
  do
  :: pulls < 3 ->
     pulls++;
     at = trainer_version;
     pull_version = at;
     /* any daemon answers from the row */
     atomic {
       if
#ifdef DELIVER_UNCHECKED
       :: batch > 0 -> deliver(batch, batch_oldest, at)
#else
       :: batch > 0 && batch_oldest + BOUND >= at -> deliver(batch, batch_oldest, at)
#endif
       :: else -> skip                                           /* pending, or refused as too old */
       fi
     };
     if
     :: trainer_version < TOP -> trainer_version++               /* moved on and pulls again, late */
     :: true -> skip
     fi
  :: pulls == 3 -> break
  od
}

init { atomic { run Coordinator(1); run Coordinator(2); run Trainer() } }
