/*
 * Session positions across changes of the keeper epoch.
 *
 * Checked property: every response of a keeper covers every write that was acknowledged before it.
 *
 * The model has one session and one availability zone. The holders of different zones do not influence each other, since
 * a writer needs all of them and a reader needs one.
 *
 * Bounds: two keepers and one writer; three epochs whose holders are K0, K1, K0; one restart of K0; one commit at any
 * time. Positions are joined, so a second commit would add nothing. Lost messages are modelled as a host that does not
 * sync. K0 and the writer may lose their leases, K1 never does. Responses to Put and floors may arrive late.
 *
 * Not modelled: promotion (a floor is one atomic read of a confirmed primary), eviction, more than one session for each
 * table, and the time between the check of the lease and the acknowledgement that leaves the host.
 *
 * Each "broken" line names a variant without one rule, which must have a counterexample:
 */
// broken: NO_LEASE_CHECK   (acknowledges without a lease)
// broken: NO_EPOCH_CHECK   (acknowledges with the holders of the epoch in which the write was committed)
// broken: ONE_EPOCH        (records with the new holder only while the new epoch is not settled)
// broken: EARLY_FLOOR      (a new holder reads its floor before the epoch is settled)
// broken: KEEPS_AUTHORITY  (the holder of the previous epoch still answers in the next one)
// broken: IGNORES_RESTART  (a restarted holder treats itself as its earlier incarnation and answers from its empty table)
// broken: IGNORES_GAP      (a keeper that missed an epoch assumes that it was the holder in that epoch)

#define W 2
#define EPOCHS 3

/* Control. */
byte epoch = 1;
bool settled = true;
bit named[4];              /* incarnation of the holder that the epoch names */
byte reported[3] = 1;      /* adopted epoch that a host has reported to the control leader */
bool granted[3] = true;    /* lease as the control leader counts it */

/* Hosts: keepers 0 and 1, and the writer. */
byte adopted[3] = 1;
bool knows_settled[3] = true; /* the host knows that its adopted epoch is settled */
bool leased[3] = true;     /* lease as the host counts it; it ends before the leader's */

/* Keepers. */
bit incarnation[2];
bit table[2];              /* position of the session, floor included */
byte floor[2] = 1;         /* epoch of the floor; 0 for none */
byte known_from[2] = 1;    /* first of the consecutive epochs whose holders the keeper knows */
byte reading[2];           /* epoch of a floor that is being read, 0 for none */
bit read[2];

/* Primary and writer: 1 once the write is committed and acknowledged. */
bit position;
bit acknowledged;
bool sent[4];              /* by keeper and incarnation: the keeper has recorded the write, its response is in transit */
bool recorded[4];          /* by keeper and incarnation: the writer has received the response */
#ifdef NO_EPOCH_CHECK
byte plan;
bool planned;
#define EPOCH plan
#define SETTLED planned
#else
#define EPOCH adopted[W]
#define SETTLED knows_settled[W]
#endif

#define HOLDER(e) (((e) + 1) % 2)
#ifdef IGNORES_RESTART
#define HOLDS(k, e) (HOLDER(e) == (k))
#else
#define HOLDS(k, e) (HOLDER(e) == (k) && named[e] == incarnation[k])
#endif
#define SLOT(e) (HOLDER(e) * 2 + named[e])

#ifdef KEEPS_AUTHORITY
#define THROUGH(k, e) (adopted[k] < (e) || floor[k] > (e) || HOLDS(k, e) || ((e) > 1 && (e) == adopted[k] && HOLDS(k, (e) - 1)))
#else
#define THROUGH(k, e) (adopted[k] < (e) || floor[k] > (e) || HOLDS(k, e))
#endif
#ifdef IGNORES_GAP
/* Without the keeper sets in between, only the epoch of the floor and the current epoch can be checked. */
#define KNOWN(k) true
#define MIDDLE(k) (known_from[k] > 2 || THROUGH(k, 2))
#else
#define KNOWN(k) (known_from[k] <= floor[k])
#define MIDDLE(k) THROUGH(k, 2)
#endif
#define AUTHORITATIVE(k) (leased[k] && floor[k] > 0 && KNOWN(k) && THROUGH(k, 1) && MIDDLE(k) && THROUGH(k, 3))

/* A keeper accepts a Put of a session that it or an earlier incarnation of it holds, or of an epoch that it does not know
   yet. */
#define ACCEPTS_PUT(k) (EPOCH > adopted[k] || HOLDER(adopted[k]) == (k) || (!knows_settled[k] && HOLDER(adopted[k] - 1) == (k)))

#ifdef ONE_EPOCH
#define REQUIRES_PREVIOUS false
#else
#define REQUIRES_PREVIOUS (!SETTLED && EPOCH > 1)
#endif
#define ALL_RECORDED (recorded[SLOT(EPOCH)] && (!REQUIRES_PREVIOUS || recorded[SLOT(EPOCH - 1)]))

#define WRITING (position == 1 && acknowledged == 0)

inline put(e) {
  table[HOLDER(e)] = 1;
  sent[SLOT(e)] = true
}

/* A sync reports the host's adopted epoch, and the host adopts the leader's epoch. */
inline sync(h) {
  reported[h] = adopted[h];
  granted[h] = true;
  if
  :: h != W && settled && adopted[h] != epoch && adopted[h] + 1 != epoch -> known_from[h] = epoch
  :: h != W && !settled && (adopted[h] + 2 < epoch || adopted[h] == 0) -> known_from[h] = epoch - 1
  :: else
  fi;
  adopted[h] = epoch; knows_settled[h] = settled; leased[h] = true;
  printf("REPLAY sync %d %d %d\n", h, epoch, settled)
}

inline restart(k) {
  incarnation[k] = 1; table[k] = 0; adopted[k] = 0; knows_settled[k] = false; leased[k] = false; reading[k] = 0; read[k] = 0;
#ifndef IGNORES_RESTART
  floor[k] = 0; known_from[k] = 0
#endif
}

inline read_floor(k) {
  reading[k] = adopted[k]; read[k] = position
}

inline set_floor(k) {
  table[k] = table[k] | read[k];
  floor[k] = reading[k]; reading[k] = 0; read[k] = 0
}

/* A floor in an epoch of another holder gives no authority in any epoch, so it is not modelled. */
#ifdef EARLY_FLOOR
#define WANTS_FLOOR(k) (adopted[k] > floor[k] && reading[k] == 0 && HOLDER(adopted[k]) == (k))
#else
#define WANTS_FLOOR(k) (knows_settled[k] && adopted[k] > floor[k] && reading[k] == 0 && HOLDER(adopted[k]) == (k))
#endif
#define LAPSED_OR_ADOPTED(h) (reported[h] == epoch || !granted[h])

/* Another sync would change nothing. */
#define SYNCED(h) (reported[h] == epoch && adopted[h] == epoch && knows_settled[h] == settled && leased[h] && granted[h])

active proctype fleet() {
  do
  :: d_step { settled && epoch < EPOCHS -> epoch++; settled = false; named[epoch] = incarnation[HOLDER(epoch)];
     printf("REPLAY epoch %d\n", epoch) }
  :: d_step { !settled && LAPSED_OR_ADOPTED(0) && LAPSED_OR_ADOPTED(1) && LAPSED_OR_ADOPTED(W) -> settled = true;
     printf("REPLAY settle %d\n", epoch) }
  :: d_step { !SYNCED(0) -> sync(0) }
  :: d_step { !SYNCED(1) -> sync(1) }
  :: d_step { !SYNCED(W) -> sync(W) }
  :: d_step { leased[0] -> leased[0] = false; printf("REPLAY lapse 0\n") }
  :: d_step { leased[W] -> leased[W] = false; printf("REPLAY lapse 2\n") }
  :: d_step { granted[0] && !leased[0] -> granted[0] = false; reported[0] = 0 }
  :: d_step { granted[W] && !leased[W] -> granted[W] = false; reported[W] = 0 }
  :: d_step { incarnation[0] == 0 -> restart(0); printf("REPLAY restart 0\n") }
  :: d_step { WANTS_FLOOR(0) -> read_floor(0); printf("REPLAY read 0 %d %d\n", reading[0], read[0]) }
  :: d_step { WANTS_FLOOR(1) -> read_floor(1); printf("REPLAY read 1 %d %d\n", reading[1], read[1]) }
  :: d_step { reading[0] != 0 -> printf("REPLAY floor 0 %d %d\n", reading[0], read[0]); set_floor(0) }
  :: d_step { reading[1] != 0 -> printf("REPLAY floor 1 %d %d\n", reading[1], read[1]); set_floor(1) }
  :: d_step { position == 0 -> position = 1;
#ifdef NO_EPOCH_CHECK
     plan = adopted[W]; planned = knows_settled[W];
#endif
     printf("REPLAY commit\n") }
  :: d_step { WRITING && !recorded[SLOT(EPOCH)] && !sent[SLOT(EPOCH)] && ACCEPTS_PUT(HOLDER(EPOCH)) -> put(EPOCH);
     printf("REPLAY put %d %d\n", HOLDER(EPOCH), EPOCH) }
  :: d_step { WRITING && REQUIRES_PREVIOUS && !recorded[SLOT(EPOCH - 1)] && !sent[SLOT(EPOCH - 1)] && ACCEPTS_PUT(HOLDER(EPOCH - 1)) ->
     put(EPOCH - 1);
     printf("REPLAY put %d %d\n", HOLDER(EPOCH - 1), EPOCH) }
  :: d_step { sent[0] -> sent[0] = false; recorded[0] = true; printf("REPLAY answer 0 0\n") }
  :: d_step { sent[1] -> sent[1] = false; recorded[1] = true; printf("REPLAY answer 0 1\n") }
  :: d_step { sent[2] -> sent[2] = false; recorded[2] = true; printf("REPLAY answer 1 0\n") }
  :: d_step { sent[3] -> sent[3] = false; recorded[3] = true; printf("REPLAY answer 1 1\n") }
#ifdef NO_LEASE_CHECK
  :: d_step { WRITING && ALL_RECORDED ->
#else
  :: d_step { WRITING && ALL_RECORDED && leased[W] ->
#endif
     acknowledged = 1; printf("REPLAY acknowledge\n");
     sent[0] = false; sent[1] = false; sent[2] = false; sent[3] = false;
     recorded[0] = false; recorded[1] = false; recorded[2] = false; recorded[3] = false }
  :: d_step { AUTHORITATIVE(0) && table[0] < acknowledged -> printf("REPLAY get 0 %d\n", table[0]); assert(false) }
  :: d_step { AUTHORITATIVE(1) && table[1] < acknowledged -> printf("REPLAY get 1 %d\n", table[1]); assert(false) }
  od
}
