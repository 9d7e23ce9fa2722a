/* The same right as in order_right, where those who are called check tokens (src/gateway/lease/leader_lock,
 * handover_rules::tokens_checked).
 *
 * A daemon takes the right by a conditional write once the row has been silent for EXPIRY, or at once if
 * its holder gave it up, and acts at once, too; but one that acted under an earlier token waits until
 * LEASE after its own last action. A holder may be frozen or cut off at any point; it acts only within
 * VALIDITY of its last proof. A call may be held up and arrive after the next holder acted.
 *
 * Bounds: 2 daemons, 1 engine, 6 ticks of a common clock, 3 tokens, 2 actions each.
 * Properties: TURNS  no daemon acts, another acts, and the first acts again within LEASE;
 *             TOKEN  nobody is obeyed under a lower token than one already obeyed.
 * Mutants:    NO_OWN_PAUSE (a daemon acts at once although it acted before another one did),
 *             NO_FENCE (any token is obeyed).
 * Nothing here rests on VALIDITY: a holder that acts beyond it is refused once the next one has acted.
 */
#define TICKS 6
#define LEASE 3
#define VALIDITY 1
#define EXPIRY 1
#define NOBODY 2

byte now = 0;
byte owner = NOBODY;
byte token = 0;
byte renewed = 0;          /* when the row was last renewed */
byte highest = 0;          /* token that was obeyed last */
byte last_actor = NOBODY;
byte last_at[2];
bool acted[2];

active proctype Clock() {
  do
  :: now < TICKS -> now++
  :: else -> break
  od
}

inline obey(me, with) {
  if
#ifdef NO_FENCE
  :: true ->
#else
  :: with >= highest ->
#endif
     assert(with >= highest);                                              /* TOKEN */
     assert(!(acted[me] && last_actor != me && now < last_at[me] + LEASE));  /* TURNS */
     highest = with; last_actor = me; last_at[me] = now; acted[me] = true
#ifndef NO_FENCE
  :: else -> skip
#endif
  fi
}

proctype Daemon(byte me) {
  byte mine = 0, proved = 0, may_at = 0, actions = 0, held_up = 0, own_last = 0;
  bool acted_before = false;
  do
  :: atomic { now < TICKS && mine > 0 && token == mine && owner == me && (renewed != now || proved != now) ->
       renewed = now; proved = now }
  :: atomic {
       now < TICKS && token < 3 && (owner == NOBODY || (owner != me && now > renewed + EXPIRY)) ->
       token++; owner = me; mine = token; renewed = now; proved = now;
#ifdef NO_OWN_PAUSE
       may_at = now
#else
       may_at = (acted_before -> own_last + LEASE : now)
#endif
     }
  :: atomic { mine > 0 && token == mine && owner == me -> owner = NOBODY; mine = 0 }   /* given up */
  :: atomic {
       actions < 2 && mine > 0 && now >= may_at && now < proved + VALIDITY ->
       actions++; own_last = now; acted_before = true;
       if
       :: obey(me, mine)
       :: held_up == 0 -> held_up = mine             /* the network holds it up */
       fi
     }
  :: atomic { held_up > 0 && held_up < highest -> obey(me, held_up); held_up = 0 }
  :: now >= TICKS -> break
  od
}

init { atomic { run Daemon(0); run Daemon(1) } }
