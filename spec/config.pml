/* Configuration: accepted edits are in the table, race safely, and never revert anywhere.
 *
 * Two operators edit one item, each from the revision that he saw, by compare-and-set; the answer may
 * be lost after the effect, and is settled by the attempt ids kept in the row. Two daemons learn
 * revisions from the table or from each other in any order, late and repeatedly; one restarts with
 * nothing and serves only after it has read the table. (While the table is down a restarted daemon
 * trusts its peers instead; that is not in this model, and docs/PROOF.md lists it as not proved.)
 *
 * Bounds: 2 operators with 2 edits and 1, 2 daemons with 3 steps, 1 restart, 2 lost answers.
 * Properties: ACCEPTED every accepted edit is in the row's history;
 *             NO_LOST  an edit made from an old revision is never accepted over a newer one;
 *             FORWARD  no daemon that serves goes back to an older revision.
 * Mutants:    NO_CAS (the revision is not checked), ASSUME_ACCEPTED (a lost answer is taken for a
 *             success), ACCEPT_OLDER (a daemon takes any revision that it hears), SERVE_EMPTY (a
 *             restarted daemon serves before it knows anything).
 */
#define TOP 3

byte revision = 0;               /* of the item in the table */
byte history[4];                 /* attempt that wrote each revision */
byte in_force[2];                /* by daemon */
byte served[2];                  /* highest revision that the daemon has served under */
bool serving[2];
byte losses_left = 2;
chan gossip = [1] of { byte };

proctype Operator(byte self) {
  byte edits = 0, made_from, attempt;
  bool lost, applied, accepted;
  do
  :: edits < 2 - self ->
     edits++;
     attempt = self * 4 + edits;
     atomic { made_from = revision; applied = false; lost = false; accepted = false };
     atomic {
       if
#ifdef NO_CAS
       :: revision < TOP ->
#else
       :: revision == made_from && revision < TOP ->
#endif
          assert(revision == made_from);                         /* NO_LOST */
          revision++; history[revision] = attempt; applied = true
#ifdef NO_CAS
       :: revision >= TOP -> skip
#else
       :: else -> skip
#endif
       fi;
       if
       :: losses_left > 0 -> losses_left--; lost = true
       :: true -> skip
       fi
     };
     if
     :: lost ->
#ifdef ASSUME_ACCEPTED
        accepted = true
#else
        atomic {                                                 /* read the row's attempts back */
          accepted = (history[1] == attempt || history[2] == attempt ||
                      history[3] == attempt)
        }
#endif
     :: else -> accepted = applied
     fi;
     if
     :: accepted ->
        assert(history[1] == attempt || history[2] == attempt ||
               history[3] == attempt);  /* ACCEPTED */
        if
        :: nfull(gossip) -> gossip!revision
        :: full(gossip) -> skip                                  /* the datagram is lost */
        fi
     :: else -> skip
     fi
  :: edits == 2 - self -> break
  od
}

proctype Daemon(byte self) {
  byte heard, steps = 0;
  bool restarted = false, from_table = false;
  do
  :: steps < 3 ->
     atomic {
     steps++;
     if
     :: heard = revision; from_table = true                      /* read from the table */
     :: nempty(gossip) -> gossip?heard                           /* heard from a peer */
     :: nempty(gossip) -> gossip?<heard>                         /* heard, and heard again later */
     :: self == 1 && !restarted ->                               /* restarts with nothing */
        restarted = true;
        in_force[self] = 0; serving[self] = false; heard = 0;
        from_table = false
     fi;
#ifdef ACCEPT_OLDER
     if
     :: heard > 0 -> in_force[self] = heard; serving[self] = true
#else
     if
     :: heard > in_force[self] -> in_force[self] = heard
     :: else -> skip
     fi;
     if
     :: from_table -> serving[self] = true
#endif
     :: else -> skip
     fi;
#ifdef SERVE_EMPTY
     serving[self] = true;
#endif
     if
     :: serving[self] ->
        assert(in_force[self] >= served[self]);                  /* FORWARD */
        served[self] = in_force[self]
     :: else -> skip
     fi
     }
  :: steps == 3 -> break
  od
}

init { atomic { run Operator(0); run Operator(1); run Daemon(0); run Daemon(1) } }
