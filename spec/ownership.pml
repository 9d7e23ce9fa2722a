/* Orders to an engine under a fencing token.
 *
 * Two daemons may each take the engine's ownership row by a conditional write; the row's new revision
 * is the token. A holder may pause at any point between learning its token and sending an order, and
 * wake up still believing that it owns the engine. The engine refuses tokens below the highest seen.
 * A swap may fail. The engine marks each piece that it produces with the version that it holds.
 *
 * Bounds: 2 daemons, 1 engine, 2 claims a daemon, 3 weight versions, answers lost at most twice.
 * Properties: FENCE    an order is obeyed only if its token is the highest that the engine has seen;
 *             MONOTONE the engine never goes back to an older version;
 *             TRUE     a sample's recorded version is the one that produced it.
 * Mutants:    NO_FENCE (the engine obeys any token), ASSUME_OWNED (a lost answer is taken for a
 *             success), VERSION_FROM_ORDER (the sample records the version that was ordered).
 */
#define CLAIMS 2
#define VERSIONS 3

byte row_revision = 0;      /* the ownership row in the table */
byte highest_seen = 0;      /* the engine's fence */
byte held = 1;              /* the engine's weights */
byte head = 1;              /* newest weights published */
byte losses_left = 2;
byte commander = 0;         /* daemon whose order was obeyed last */
byte owner = 0;             /* daemon that the row names */

proctype Daemon(byte self) {
  byte expected, token, recorded, wanted, produced, claims = 0;
  bool lost, ok;
  do
  :: claims < CLAIMS ->
     claims++;
     expected = row_revision;
     lost = false; ok = false;
     atomic {                              /* the conditional write */
       if
       :: row_revision == expected -> row_revision++; owner = self; ok = true
       :: else -> skip
       fi;
       if
       :: losses_left > 0 -> losses_left--; lost = true
       :: true -> skip
       fi
     };
     if
     :: lost ->
#ifdef ASSUME_OWNED
        token = expected + 1; ok = true
#else
        atomic {                           /* read back whose attempt the row holds */
          if
          :: owner == self && row_revision > expected -> token = row_revision; ok = true
          :: else -> ok = false
          fi
        }
#endif
     :: !lost && ok -> token = expected + 1
     :: else -> skip
     fi;
     if
     :: ok ->
        /* any pause may happen here: the other daemon may run in between */
        wanted = head;
        atomic {                           /* the order arrives at the engine */
          if
#ifdef NO_FENCE
          :: true ->
#else
          :: token >= highest_seen ->
#endif
             assert(token >= highest_seen);                     /* FENCE */
             assert(token > highest_seen || commander == 0 || commander == self); /* one holder a token */
             highest_seen = token; commander = self;
             if
             :: wanted >= held -> held = wanted                  /* the swap works */
             :: true -> skip                                     /* the swap fails partway */
             fi
#ifndef NO_FENCE
          :: else -> skip                                        /* fenced */
#endif
          fi
        };
        /* a sample: its piece carries the version that the engine holds */
        atomic { produced = held;
#ifdef VERSION_FROM_ORDER
          recorded = wanted
#else
          recorded = produced
#endif
        };
        assert(recorded == produced)                             /* TRUE */
     :: else -> skip
     fi
  :: claims == CLAIMS -> break
  od
}

proctype Trainer() {
  do
  :: head < VERSIONS -> head++
  :: head == VERSIONS -> break
  od
}

proctype Watcher() {                                             /* MONOTONE */
  byte before;
  before = held;
  assert(held >= before)
}

init { atomic { run Daemon(1); run Daemon(2); run Trainer(); run Watcher() } }
