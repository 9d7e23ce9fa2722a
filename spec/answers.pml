/* A caller's answer: whole, and only its own.
 *
 * Two requests are in flight at one engine over a network that may delay, reorder and repeat pieces.
 * A request whose stream breaks goes on at another engine under a new attempt, from the tokens that
 * it already has; pieces of the old attempt may still arrive. A piece is used only if it carries the
 * attempt that is current, and an answer ends only with the end mark of that attempt.
 *
 * Bounds: 2 requests, the first with 2 attempts, answers of 1 token and the end mark, 1 repeated piece, 2 pieces on
 * the way at once.
 * Properties: OWN   no token of another request is used;
 *             WHOLE a finished answer has every token once, in order.
 * Mutants:    NO_ATTEMPT_CHECK (the attempt is not compared), RESTART_BLIND (a new attempt begins at
 *             the first token although some were passed on), END_ON_BREAK (a break ends the answer).
 */
#define TOKENS 1

/* request, attempt, position; position TOKENS is the end mark */
chan wire = [2] of { byte, byte, byte };
byte repeats_left = 1;

proctype Engine(byte request; byte attempt; byte from) {
  byte position = from;
  do
  :: position <= TOKENS ->
     wire!request, attempt, position;
     if
     :: repeats_left > 0 -> repeats_left--; wire!request, attempt, position
     :: true -> skip
     fi;
     position++
  :: position > TOKENS -> break
  :: true -> break                                               /* the stream breaks */
  od
}

proctype Request(byte self) {
  byte next = 0, request, attempt, position, current = 1;
  bool finished = false, passed_on = false;
  run Engine(self, 1, 0);
  do
  :: finished -> break
  :: !finished && current == 2 -> break                          /* told: outcome unknown */
  :: !finished ->
     if
     :: wire?request, attempt, position ->
        if
#ifdef NO_ATTEMPT_CHECK
        :: true ->
#else
        :: request == self && attempt == current && position == next ->
#endif
           assert(request == self);                              /* OWN */
           if
           :: position == TOKENS -> finished = true; assert(next == TOKENS)   /* WHOLE */
           :: else -> assert(position == next); next++; passed_on = true   /* WHOLE */
           fi
#ifndef NO_ATTEMPT_CHECK
        :: else -> skip                                          /* late or foreign: dropped */
#endif
        fi
     :: current == 1 && self == 1 ->                             /* it looks broken: resume */
#ifdef END_ON_BREAK
        finished = true;
        assert(next == TOKENS)                                   /* WHOLE */
#else
        current = 2;
#ifdef RESTART_BLIND
        run Engine(self, 2, 0);
        next = 0;
        assert(!passed_on)                                       /* WHOLE */
#else
        run Engine(self, 2, next)
#endif
#endif
     fi
  od
}

init { atomic { run Request(1); run Request(2) } }
