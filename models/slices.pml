/*
 * Lent tokens: over all hosts, no window sees more tokens spent than burst + rate x window. The window is watched by a
 * bucket that is full at first: it has a token at every spending exactly if every window holds.
 *
 * Bounds: two hosts with one loan each at a time, a burst of three tokens, one token for each tick, a lifetime of two ticks.
 * Requests, responses and reports are late or lost, reports come again; hosts restart and the owner changes any number
 * of times. Time runs alike on all hosts.
 * Outside: parts of tokens, several loans of one host at a time, a change of rate and burst, an earlier owner that still
 * lends when the new one begins to wait, and a request that is delivered twice.
 *
 * broken variants, one rule left out in each:
 */
// broken: IGNORES_LOANS     (the bucket fills up to the burst whatever is on loan)
// broken: NO_WAIT           (a new owner lends while loans of the earlier one may be spent)
// broken: STARTS_FULL       (a new owner starts with a full bucket)
// broken: LIFE_FROM_ANSWER  (a borrower counts the lifetime from the answer)
// broken: RETURNS_AGAIN     (a repeated report gives tokens back again)
// broken: REFUNDS_EXPIRED   (unspent tokens of an expired loan go back to the bucket)
// broken: REFUNDS_RESTART   (the loan of a restarted host goes back to the bucket)

#define BURST 3
#define RATE 1
#define LIFE 2

/* Owner. */
byte bucket = BURST;
byte lent;
byte wait;               /* ticks until a new owner lends */

/* What spending may use at most. */
byte window = BURST;

typedef Loan {
  byte phase;            /* 0 none, 1 asked, 2 lent and the response on its way, 3 received */
  byte asked;            /* ticks since the request, up to LIFE */
  /* Owner's side. */
  bool live;
  byte age;
  byte amount;
  byte owed;
  byte back;
  /* Response on its way, and borrower's side. */
  byte given;
  byte held;
  byte returned;
  /* Report on its way. */
  bool sent;
  byte sentheld;
  byte sentreturned;
}
Loan loans[2];

inline clamp() {
#ifdef IGNORES_LOANS
  if
  :: bucket > BURST -> bucket = BURST
  :: else
  fi
#else
  if
  :: bucket > BURST - lent -> bucket = BURST - lent
  :: else
  fi
#endif
}

inline expire(i) {
  if
  :: loans[i].phase > 0 && loans[i].asked < LIFE -> loans[i].asked++
  :: else
  fi;
  if
  :: loans[i].asked >= LIFE -> loans[i].held = 0; loans[i].returned = 0
  :: else
  fi;
  if
  :: loans[i].live ->
     loans[i].age++;
     if
     :: loans[i].age >= LIFE ->
        lent = lent - loans[i].owed;
#ifdef REFUNDS_EXPIRED
        bucket = bucket + loans[i].owed;
#endif
        loans[i].live = false; loans[i].age = 0; loans[i].amount = 0; loans[i].owed = 0; loans[i].back = 0
     :: else
     fi
  :: else
  fi;
  if
  :: loans[i].phase == 3 && !loans[i].live && loans[i].asked >= LIFE ->
     loans[i].phase = 0; loans[i].asked = 0;
     loans[i].sent = false; loans[i].sentheld = 0; loans[i].sentreturned = 0
  :: else
  fi
}

/* The bucket fills before loans expire, so that the tick before an expiry cannot use the room that it makes. */
inline tick() {
  if
  :: wait > 0 -> wait--
  :: else -> bucket = bucket + RATE; clamp()
  fi;
  expire(0);
  expire(1);
  clamp();
  if
  :: window + RATE > BURST -> window = BURST
  :: else -> window = window + RATE
  fi;
  printf("REPLAY tick\n")
}

inline lend(i, n) {
  loans[i].phase = 2; loans[i].live = true; loans[i].age = 0; loans[i].amount = n; loans[i].owed = n; loans[i].given = n;
  lent = lent + n; bucket = bucket - n;
  printf("REPLAY lend %d %d\n", i, n)
}

inline receive(i) {
  loans[i].phase = 3;
#ifdef LIFE_FROM_ANSWER
  loans[i].asked = 0;
#endif
  if
  :: loans[i].asked < LIFE -> loans[i].held = loans[i].given
  :: else
  fi;
  loans[i].given = 0;
  printf("REPLAY receive %d %d\n", i, loans[i].held)
}

inline take(i) {
  loans[i].held--;
  printf("REPLAY spend %d\n", i);
  assert(window > 0);
  window--
}

inline deliver(i) {
  printf("REPLAY deliver %d %d %d\n", i, loans[i].sentheld, loans[i].sentreturned);
  if
  :: loans[i].live ->
     if
     :: loans[i].sentheld < loans[i].owed ->
        lent = lent - (loans[i].owed - loans[i].sentheld); loans[i].owed = loans[i].sentheld
     :: else
     fi;
     if
     :: loans[i].sentreturned > loans[i].back && loans[i].sentreturned <= loans[i].amount - loans[i].owed ->
        bucket = bucket + loans[i].sentreturned - loans[i].back;
#ifndef RETURNS_AGAIN
        loans[i].back = loans[i].sentreturned;
#endif
        clamp()
     :: else
     fi
  :: else
  fi
}

inline restart(i) {
  loans[i].held = 0; loans[i].returned = 0;
#ifdef REFUNDS_RESTART
  bucket = bucket + loans[i].owed; lent = lent - loans[i].owed; loans[i].owed = 0;
#endif
  if
  :: loans[i].phase == 1 -> loans[i].phase = 0; loans[i].asked = 0
  :: loans[i].phase == 2 -> loans[i].phase = 3; loans[i].given = 0
  :: else
  fi;
  printf("REPLAY restart %d\n", i)
}

inline forget(i) {
  loans[i].live = false; loans[i].age = 0; loans[i].amount = 0; loans[i].owed = 0; loans[i].back = 0
}

inline change() {
  forget(0);
  forget(1);
  lent = 0;
#ifdef STARTS_FULL
  bucket = BURST;
#else
  bucket = 0;
#endif
#ifdef NO_WAIT
  wait = 0;
#else
  wait = LIFE;
#endif
  printf("REPLAY change\n")
}

active proctype fleet() {
  do
  :: d_step { true -> tick() }
  :: d_step { loans[0].phase == 0 -> loans[0].phase = 1; printf("REPLAY ask 0\n") }
  :: d_step { loans[1].phase == 0 -> loans[1].phase = 1; printf("REPLAY ask 1\n") }
  :: d_step { loans[0].phase == 1 && wait == 0 && bucket >= 1 -> lend(0, 1) }
  :: d_step { loans[1].phase == 1 && wait == 0 && bucket >= 1 -> lend(1, 1) }
  :: d_step { loans[0].phase == 1 && wait == 0 && bucket >= 2 -> lend(0, 2) }
  :: d_step { loans[1].phase == 1 && wait == 0 && bucket >= 2 -> lend(1, 2) }
  :: d_step { loans[0].phase == 1 && wait == 0 && bucket >= 3 -> lend(0, 3) }
  :: d_step { loans[1].phase == 1 && wait == 0 && bucket >= 3 -> lend(1, 3) }
  :: d_step { loans[0].phase == 2 -> receive(0) }
  :: d_step { loans[1].phase == 2 -> receive(1) }
  :: d_step { loans[0].phase == 2 -> loans[0].phase = 3; loans[0].given = 0; printf("REPLAY lose 0\n") }
  :: d_step { loans[1].phase == 2 -> loans[1].phase = 3; loans[1].given = 0; printf("REPLAY lose 1\n") }
  :: d_step { loans[0].held > 0 -> take(0) }
  :: d_step { loans[1].held > 0 -> take(1) }
  :: d_step { loans[0].held > 0 -> loans[0].held--; loans[0].returned++; printf("REPLAY return 0\n") }
  :: d_step { loans[1].held > 0 -> loans[1].held--; loans[1].returned++; printf("REPLAY return 1\n") }
  :: d_step { loans[0].phase == 3 -> loans[0].sent = true; loans[0].sentheld = loans[0].held;
     loans[0].sentreturned = loans[0].returned; printf("REPLAY report 0\n") }
  :: d_step { loans[1].phase == 3 -> loans[1].sent = true; loans[1].sentheld = loans[1].held;
     loans[1].sentreturned = loans[1].returned; printf("REPLAY report 1\n") }
  :: d_step { loans[0].sent -> deliver(0) }
  :: d_step { loans[1].sent -> deliver(1) }
  :: d_step { loans[0].phase > 0 -> restart(0) }
  :: d_step { loans[1].phase > 0 -> restart(1) }
  :: d_step { true -> change() }
  od
}
