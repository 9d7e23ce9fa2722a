/* A request that must run at most once, and honest refusals.
 *
 * A caller sends the request with one key, and after any answer but a whole one sends it again
 * through the other daemon. A daemon writes the intent before it sends; the write's answer may be
 * lost after the effect, and the store may be down. A daemon that gives up without having sent turns
 * its own intent into "abandoned", perhaps much later; only an abandoned row may be taken over. A
 * daemon may die at any point and restart with nothing.
 *
 * Bounds: 2 daemons, 3 tries of the caller, 2 lost answers, 1 crash between sending and recording.
 * Properties: ONCE    the engine begins the request at most once;
 *             HONEST  when the caller was told "not run", that try was never sent.
 * Mutants:    NO_INTENT (sent without the write), ASSUME_WRITTEN (a lost answer gives the right to
 *             send), TAKE_OVER_ANY (a dispatched row is taken over), REFUSE_AFTER_SEND (a broken
 *             stream is answered "not run"), ABANDON_SENT (a sent intent is given back).
 */
mtype = { absent, dispatched, abandoned, done };
mtype = { whole, not_run, unknown };

mtype row = absent;
byte row_attempt = 0;
byte begun = 0;              /* times that the engine began the request */
byte losses_left = 2;
bool crash_left = true;

/* One try: attempt number `self`. */
proctype Attempt(byte self; chan reply) {
  bool mine = false, lost = false, sent = false, applied = false;
#ifdef NO_INTENT
  mine = true;
#else
  atomic {                                                       /* the conditional write */
    if
#ifdef TAKE_OVER_ANY
    :: row != done -> row = dispatched; row_attempt = self; applied = true
#else
    :: row == absent || row == abandoned -> row = dispatched; row_attempt = self; applied = true
#endif
    :: row == dispatched || row == done -> skip
    :: true -> skip                                              /* the store is down */
    fi;
    if
    :: losses_left > 0 -> losses_left--; lost = true
    :: true -> skip
    fi
  };
  if
#ifdef ASSUME_WRITTEN
  :: lost -> mine = true
#else
  :: lost ->
     if
     :: atomic { row == dispatched && row_attempt == self -> mine = true }  /* read back */
     :: mine = false                                             /* given up: settled below */
     fi
#endif
  :: !lost -> mine = applied
  fi;
#endif
  if
  :: mine ->
     if
     :: true -> begun++; sent = true;
        assert(begun <= 1);                                      /* ONCE */
        if
        :: row = done; reply!whole                               /* recorded and answered */
        :: reply!whole                                           /* answered; recording failed */
        :: crash_left -> crash_left = false; reply!unknown       /* the daemon died */
        :: true ->                                               /* the stream broke */
#ifdef REFUSE_AFTER_SEND
           assert(!sent);                                        /* HONEST */
           reply!not_run
#else
#ifdef ABANDON_SENT
           row = abandoned;
#endif
           reply!unknown
#endif
        fi
     :: true ->                                                  /* no engine had room: never sent */
        atomic { if :: row == dispatched && row_attempt == self -> row = abandoned :: else fi };
        assert(!sent);                                           /* HONEST */
        reply!not_run
     fi
  :: else ->
     if
     :: lost || !applied ->
        assert(!sent);                                           /* HONEST */
        reply!not_run;
        /* the background clean-up, whenever it comes */
        atomic { if :: row == dispatched && row_attempt == self -> row = abandoned :: else fi }
     :: else -> reply!unknown
     fi
  fi
}

init {
  chan reply = [1] of { mtype };
  mtype answer;
  byte tries = 0;
  do
  :: tries < 3 ->
     tries++;
     run Attempt(tries, reply);
     if
     :: reply?answer ->
        if
        :: answer == whole -> break
        :: else -> skip
        fi
     :: true ->                                                  /* the caller did not wait */
        break
     fi
  :: tries == 3 -> break
  od;
  /* an impatient caller may also try at the same time through the other daemon */
  run Attempt(4, reply)
}
