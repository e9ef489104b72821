/*
 * Lent tokens of one team.
 *
 * Checked property: over all hosts, no more tokens are spent in any window of time than burst + rate x window. A separate
 * bucket that is full at first checks this: it has a token at every spending exactly if every window is within the limit.
 *
 * Bounds: two hosts with one loan each at a time, a burst of three tokens, one token for each tick, a lifetime of two
 * ticks. Requests, responses and reports may be late or lost, and reports may be repeated. Hosts restart and the owner
 * changes any number of times. Clocks run at the same speed on all hosts. A token may be taken for an operation that does not
 * run, one at a time on each host, and put back: for the property, the operation never spent it.
 *
 * Not modelled: parts of tokens, several loans of one host at a time, a change of rate and burst, an earlier owner that
 * still lends when the new one begins to wait, and a request that is delivered twice.
 *
 * Each "broken" line names a variant without one rule, which must have a counterexample:
 */
// broken: IGNORES_LOANS     (the bucket refills up to the burst regardless of tokens on loan)
// broken: NO_WAIT           (a new owner lends while loans of the previous owner may still be spent)
// broken: STARTS_FULL       (a new owner starts with a full bucket)
// broken: LIFE_FROM_ANSWER  (a borrower counts the lifetime from the response)
// broken: RETURNS_AGAIN     (a repeated report returns tokens again)
// broken: REFUNDS_EXPIRED   (unspent tokens of an expired loan are added to the bucket)
// broken: REFUNDS_RESTART   (the loan of a restarted host is added to the bucket)
// broken: UNDOES_REPORTED   (a host puts a token back whose spending it has reported)
// broken: UNDOES_EXPIRED    (a host puts a token back after its loan has expired)

#define BURST 3
#define RATE 1
#define LIFE 2

/* Owner. */
byte bucket = BURST;
byte lent;
byte wait;               /* ticks until a new owner may lend */

/* The bucket that checks the property: the tokens that may still be spent. */
byte allowance = BURST;

typedef Loan {
  byte phase;            /* 0 none, 1 requested, 2 lent with the response in transit, 3 received */
  byte elapsed;          /* ticks since the request, up to LIFE */
  /* Owner's side. */
  bool live;
  byte age;
  byte amount;
  byte owed;
  byte refunded;
  /* Response in transit, and borrower's side. */
  byte in_transit;
  byte held;
  byte returned;
  bool taken;            /* a token was taken for an operation that does not run, and no report has told of it */
  /* Report in transit. */
  bool sent;
  byte sent_held;
  byte sent_returned;
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
  :: loans[i].phase > 0 && loans[i].elapsed < LIFE -> loans[i].elapsed++
  :: else
  fi;
  if
  :: loans[i].elapsed >= LIFE ->
     loans[i].held = 0; loans[i].returned = 0;
#ifndef UNDOES_EXPIRED
     loans[i].taken = false
#endif
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
        loans[i].live = false; loans[i].age = 0; loans[i].amount = 0; loans[i].owed = 0; loans[i].refunded = 0
     :: else
     fi
  :: else
  fi;
  if
  :: loans[i].phase == 3 && !loans[i].live && loans[i].elapsed >= LIFE ->
     loans[i].phase = 0; loans[i].elapsed = 0;
     loans[i].sent = false; loans[i].sent_held = 0; loans[i].sent_returned = 0
  :: else
  fi
}

/* The bucket refills before loans expire, so that the tick before an expiry cannot use the capacity that the expiry frees. */
inline tick() {
  if
  :: wait > 0 -> wait--
  :: else -> bucket = bucket + RATE; clamp()
  fi;
  expire(0);
  expire(1);
  clamp();
  if
  :: allowance + RATE > BURST -> allowance = BURST
  :: else -> allowance = allowance + RATE
  fi;
  printf("REPLAY tick\n")
}

inline lend(i, n) {
  loans[i].phase = 2; loans[i].live = true; loans[i].age = 0; loans[i].amount = n; loans[i].owed = n; loans[i].in_transit = n;
  lent = lent + n; bucket = bucket - n;
  printf("REPLAY lend %d %d\n", i, n)
}

inline receive(i) {
  loans[i].phase = 3;
#ifdef LIFE_FROM_ANSWER
  loans[i].elapsed = 0;
#endif
  if
  :: loans[i].elapsed < LIFE -> loans[i].held = loans[i].in_transit
  :: else
  fi;
  loans[i].in_transit = 0;
  printf("REPLAY receive %d %d\n", i, loans[i].held)
}

inline spend(i) {
  loans[i].held--;
  printf("REPLAY spend %d\n", i);
  assert(allowance > 0);
  allowance--
}

inline take(i) {
  loans[i].held--; loans[i].taken = true;
  printf("REPLAY take %d\n", i)
}

inline undo(i) {
  loans[i].held++; loans[i].taken = false;
  printf("REPLAY undo %d\n", i)
}

inline deliver(i) {
  printf("REPLAY deliver %d %d %d\n", i, loans[i].sent_held, loans[i].sent_returned);
  if
  :: loans[i].live ->
     if
     :: loans[i].sent_held < loans[i].owed ->
        lent = lent - (loans[i].owed - loans[i].sent_held); loans[i].owed = loans[i].sent_held
     :: else
     fi;
     if
     :: loans[i].sent_returned > loans[i].refunded && loans[i].sent_returned <= loans[i].amount - loans[i].owed ->
        bucket = bucket + loans[i].sent_returned - loans[i].refunded;
#ifndef RETURNS_AGAIN
        loans[i].refunded = loans[i].sent_returned;
#endif
        clamp()
     :: else
     fi
  :: else
  fi
}

inline restart(i) {
  loans[i].held = 0; loans[i].returned = 0; loans[i].taken = false;
#ifdef REFUNDS_RESTART
  bucket = bucket + loans[i].owed; lent = lent - loans[i].owed; loans[i].owed = 0;
#endif
  if
  :: loans[i].phase == 1 -> loans[i].phase = 0; loans[i].elapsed = 0
  :: loans[i].phase == 2 -> loans[i].phase = 3; loans[i].in_transit = 0
  :: else
  fi;
  printf("REPLAY restart %d\n", i)
}

inline drop_loan(i) {
  loans[i].live = false; loans[i].age = 0; loans[i].amount = 0; loans[i].owed = 0; loans[i].refunded = 0
}

inline change_owner() {
  drop_loan(0);
  drop_loan(1);
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

#ifdef UNDOES_REPORTED
#define FORGET_TAKEN(i) skip
#else
#define FORGET_TAKEN(i) loans[i].taken = false
#endif

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
  :: d_step { loans[0].phase == 2 -> loans[0].phase = 3; loans[0].in_transit = 0; printf("REPLAY lose 0\n") }
  :: d_step { loans[1].phase == 2 -> loans[1].phase = 3; loans[1].in_transit = 0; printf("REPLAY lose 1\n") }
  :: d_step { loans[0].held > 0 -> spend(0) }
  :: d_step { loans[1].held > 0 -> spend(1) }
  :: d_step { loans[0].held > 0 -> loans[0].held--; loans[0].returned++; printf("REPLAY return 0\n") }
  :: d_step { loans[1].held > 0 -> loans[1].held--; loans[1].returned++; printf("REPLAY return 1\n") }
  :: d_step { loans[0].held > 0 && !loans[0].taken -> take(0) }
  :: d_step { loans[1].held > 0 && !loans[1].taken -> take(1) }
  :: d_step { loans[0].taken -> undo(0) }
  :: d_step { loans[1].taken -> undo(1) }
  :: d_step { loans[0].phase == 3 -> loans[0].sent = true; FORGET_TAKEN(0); loans[0].sent_held = loans[0].held;
     loans[0].sent_returned = loans[0].returned; printf("REPLAY report 0\n") }
  :: d_step { loans[1].phase == 3 -> loans[1].sent = true; FORGET_TAKEN(1); loans[1].sent_held = loans[1].held;
     loans[1].sent_returned = loans[1].returned; printf("REPLAY report 1\n") }
  :: d_step { loans[0].sent -> deliver(0) }
  :: d_step { loans[1].sent -> deliver(1) }
  :: d_step { loans[0].phase > 0 -> restart(0) }
  :: d_step { loans[1].phase > 0 -> restart(1) }
  :: d_step { true -> change_owner() }
  od
}
