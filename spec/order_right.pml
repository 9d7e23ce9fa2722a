/* The right to order engines, held by one daemon at a time (src/gateway/lease, src/gateway/versions/rollout_service).
 *
 * The holder renews its lease row under the condition that the right's row is its own; it orders only
 * within VALIDITY of the moment at which it sent the last such write that was answered. It may be frozen
 * or cut off at any point, also between a renewal and its answer, and go on long after the row was taken.
 * An observer takes the right by a conditional write once the row has been silent for EXPIRY, and waits
 * PAUSE before its first order. The row's revision is the token that engines check.
 *
 * Bounds: 2 daemons, 1 engine, 16 ticks of a common clock, 2 orders each.
 * Properties: TURNS  orders of two holders lie at least LEASE ticks apart;
 *             TOKEN  the engine never obeys a lower token after a higher one.
 * Mutants:    NO_VALIDITY (the holder orders as long as it believes to hold the right), RENEWED_AT_ANSWER
 *             (validity counts from the answer), NO_PAUSE (the new holder orders at once), NO_FENCE (the
 *             engine obeys any token), UNCONDITIONAL_RENEWAL (the renewal is taken whoever has the row, and
 *             the holder is not told; recorded: token 807 ordered at 24.196 s, token 2 at 26.528 s).
 * TURNS does not rest on engines that check tokens.
 */
#define TICKS 16
#define LEASE 6
#define VALIDITY 2
#define EXPIRY 3
#define PAUSE (LEASE - (EXPIRY - VALIDITY))

byte now = 0;
byte token = 1;              /* revision of the right's row */
byte renewed_in_store = 0;   /* when the row was last renewed */
byte last_order_old = 0;     /* when the first holder's last order was sent */
bool old_ordered = false;
byte highest_obeyed = 0;

active proctype Clock() {
  do
  :: now < TICKS -> now++
  :: else -> break
  od
}

inline obey(with) {
#ifdef NO_FENCE
  if
  :: true ->
#else
  if
  :: with >= highest_obeyed ->
#endif
     assert(with >= highest_obeyed);                                       /* TOKEN */
     highest_obeyed = with
#ifndef NO_FENCE
  :: else -> skip
#endif
  fi
}

active proctype OldHolder() {
  byte renewed = 0, sent, orders = 0, late_orders = 0;
  do
  :: now < TICKS ->
     sent = now;                                     /* a renewal is sent … */
     if
     :: atomic { token == 1 -> renewed_in_store = now };
        /* … and answered at any later moment */
#ifdef RENEWED_AT_ANSWER
        renewed = now
#else
        renewed = sent
#endif
#ifdef UNCONDITIONAL_RENEWAL
     :: token != 1 -> renewed = sent                 /* the lease row is taken all the same */
#else
     :: token != 1 -> break                          /* the row is another's: it has lost the right */
#endif
     :: true -> skip                                 /* no answer, nothing done */
     fi
  :: orders < 2 ->
     orders++;
     atomic {
       if
#ifdef NO_VALIDITY
       :: true ->
#else
       :: now < renewed + VALIDITY ->
#endif
          last_order_old = now; old_ordered = true;
          obey(1)
       :: else -> skip
       fi
     }
  :: late_orders < 1 && old_ordered ->               /* an order that the network held up arrives */
     atomic { late_orders++; obey(1) }
  :: now >= TICKS -> break
  od
}

active proctype NewHolder() {
  byte acquired, orders = 0;
  atomic { now > renewed_in_store + EXPIRY -> token = 2; acquired = now };
  do
  :: orders < 2 ->
     atomic {
#ifdef NO_PAUSE
       now >= acquired ->
#else
       now >= acquired + PAUSE ->
#endif
       orders++;
       assert(!old_ordered || now >= last_order_old + LEASE);              /* TURNS */
       obey(2)
     }
  :: else -> break
  od
}
