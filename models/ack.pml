/*
 * Acknowledgement of writes, fencing, promotion and reads of one database group.
 *
 * Checked after every step:
 * - Each acknowledged write is in the log of every primary of a later term: none is lost, and none is acknowledged under
 *   an old term.
 * - Two members are never primary under the same term.
 * - A member whose position covers an acknowledged write has that write: a session never reads a state before its own
 *   write.
 *
 * Every step of a member may be delayed without bound. This covers partitions, frozen and lagging members, an isolated
 * old primary that continues to write, and two members that fail together. A control host that lost its lease continues
 * to fence and promote; only its proposals to the control log fail. A member may receive late the order to follow the
 * primary of any recorded term. Hosts are not modelled individually: a write counts as acknowledged under a term as soon
 * as any host could have acknowledged it under that term, with any old view of the control state and any old reports of
 * members.
 *
 * Bounds: 3 members, terms 1 to 4, logs of 3 records (including the record of a promotion), 2 control hosts and one change
 * of leadership between them.
 *
 * Not modelled: changes of the member list, members that lose their log, floors and keeper epochs, drains of planned
 * switchovers (they change only who waits), the control log itself, and time.
 *
 * Each step prints itself, so that models/traces can record counterexamples for the replay in host/promotion.
 *
 * Each "broken" line names a variant without one rule, which must have a counterexample.
 */
// broken: FENCE_ONE
// broken: PROMOTE_ANY
// broken: ACCEPT_OLD_TERM
// broken: ACK_ANY_TERM
// broken: REUSE_TERM
// broken: NO_TRUNCATE
// broken: READ_BY_LSN
// broken: READ_RECORD_TERM
// broken: BASE_EARLY

#define MEMBERS 3
#define TERMS 5 /* index 0 is unused */
#define RECORDS 3
#define NONE 7

typedef Member {
	byte size;           /* number of records */
	byte log[RECORDS];   /* term of each record */
	byte fence;          /* highest term that the member has received */
	byte primary;        /* term under which it is primary, or 0 */
	byte follow;         /* term under which it follows, or 0 */
	byte data            /* term of the primary whose log has this log as a prefix */
}

typedef Leader {
	byte term;           /* reserved term of its promotion attempt, or 0 */
	byte fenced;         /* set of members that acknowledged the fence */
	byte lastTerm[MEMBERS];
	byte lastSize[MEMBERS];
	byte promoted        /* member that acknowledged its promotion, which is not recorded yet, or NONE */
}

typedef Held {
	byte by[MEMBERS]     /* highest number of records that a member has held under the term */
}

Member m[MEMBERS];
Leader l[2];
Held held[TERMS];
byte leader;             /* the control host whose proposals are committed */
byte attempt = 1;        /* highest reserved term */
byte current = 1;        /* term of the newest recorded primary */
byte recorded[TERMS];    /* primary of each recorded term, or NONE */
byte baseTerm[TERMS];    /* last record of the primary of a term before its promotion */
byte baseSize[TERMS];

/* temporary variables, reset after each step */
byte i, k, n, t, lo, hi;

inline last_term(X) {
	if
	:: m[X].size > 0 -> t = m[X].log[m[X].size - 1]
	:: else -> t = 0
	fi
}

inline raise_fence(X, T) {
	if
	:: m[X].fence < T ->
		m[X].fence = T;
		m[X].primary = 0;
#ifndef ACCEPT_OLD_TERM
		m[X].follow = 0
#endif
	:: else
	fi
}

/* records that a member holds its log under a term */
inline record_held(X, T) {
	if
	:: held[T].by[X] < m[X].size -> held[T].by[X] = m[X].size
	:: else
	fi
}

inline append(X) {
	m[X].log[m[X].size] = m[X].primary;
	m[X].size++;
	record_held(X, m[X].primary)
}

inline reserve(A) {
#ifdef REUSE_TERM
	if
	:: attempt == current -> attempt++
	:: else
	fi;
#else
	attempt++;
#endif
	l[A].term = attempt;
	l[A].promoted = NONE;
	reset_attempt(A)
}

inline reset_attempt(A) {
	l[A].fenced = 0;
	for (i : 0 .. MEMBERS - 1) {
		l[A].lastTerm[i] = 0;
		l[A].lastSize[i] = 0
	}
	i = 0
}

inline fence_member(A, X) {
	raise_fence(X, l[A].term);
	l[A].fenced = l[A].fenced | (1 << X);
	last_term(X);
	l[A].lastTerm[X] = t;
	l[A].lastSize[X] = m[X].size;
	t = 0
}

/* promotes a member if a majority is fenced and no fenced member has a more advanced log */
inline promote(A, X) {
	n = 0; k = 1;
	for (i : 0 .. MEMBERS - 1) {
		if
		:: l[A].fenced & (1 << i) ->
			n++;
			if
			:: l[A].lastTerm[i] > l[A].lastTerm[X] ||
			   (l[A].lastTerm[i] == l[A].lastTerm[X] && l[A].lastSize[i] > l[A].lastSize[X]) -> k = 0
			:: else
			fi
		:: else
		fi
	}
	i = 0;
#ifdef FENCE_ONE
	n = 2;
#endif
#ifdef PROMOTE_ANY
	k = 1;
#endif
	if
	:: n >= 2 && k == 1 && m[X].fence <= l[A].term && m[X].size < RECORDS ->
		printf("promote %d %d\n", A, X);
		for (i : 0 .. MEMBERS - 1) {
			assert(i == X || m[i].primary != l[A].term)
		}
		i = 0;
		raise_fence(X, l[A].term);
		m[X].primary = l[A].term;
		m[X].follow = 0;
		m[X].data = l[A].term;
		baseTerm[l[A].term] = l[A].lastTerm[X];
		baseSize[l[A].term] = l[A].lastSize[X];
		append(X);
		reset_attempt(A);
		if
		:: leader == A -> l[A].promoted = X
		:: else -> l[A].term = 0
		fi
	:: else
	fi;
	n = 0; k = 0
}

/* makes a member follow the recorded primary of a term, and truncates its log to the common prefix of both logs */
inline follows(X, T) {
	raise_fence(X, T);
	k = recorded[T];
	m[X].follow = T;
	m[X].data = T;
#ifndef NO_TRUNCATE
	n = 0;
	do
	:: n < m[X].size && n < m[k].size && m[X].log[n] == m[k].log[n] -> n++
	:: else -> break
	od;
	for (i : n .. RECORDS - 1) {
		m[X].log[i] = 0
	}
	m[X].size = n;
#endif
	record_held(X, T);
	i = 0; n = 0; k = 0
}

inline replicate(X) {
	k = recorded[m[X].follow];
	m[X].log[m[X].size] = m[k].log[m[X].size];
	m[X].size++;
	record_held(X, m[X].follow);
	k = 0
}

/* sets n to the number of records that a majority has held under a term */
inline majority(T) {
	lo = held[T].by[0]; hi = held[T].by[1];
	if
	:: lo > hi -> t = lo; lo = hi; hi = t
	:: else
	fi;
	if
	:: held[T].by[2] <= lo -> n = lo
	:: held[T].by[2] >= hi -> n = hi
	:: else -> n = held[T].by[2]
	fi
}

/* checks an acknowledged prefix of SIZE records whose last record is of term RECORD: every primary of a term after T has
   it, and so does every member with that many records for which READ is true */
inline acknowledged(SIZE, RECORD, T, READ) {
	for (i : 0 .. MEMBERS - 1) {
		assert(m[i].primary <= T || (m[i].size >= SIZE && m[i].log[SIZE - 1] == RECORD));
		assert(!(READ) || m[i].size < SIZE || m[i].log[SIZE - 1] == RECORD)
	}
	i = 0
}

#ifdef ACK_ANY_TERM
#define COUNTS for (i : 0 .. MEMBERS - 1) { record_held(i, k) } i = 0;
#else
#define COUNTS
#endif
#ifdef READ_BY_LSN
#define COVERS(T) (1)
#else
#define COVERS(T) (m[i].data >= T)
#endif

inline check() {
	for (k : 1 .. TERMS - 1) {
		if
		:: recorded[k] != NONE ->
			COUNTS
			majority(k);
			if
			:: n > baseSize[k] ->
				/* the last record of this term, and thereby those before it */
				acknowledged(n, k, k, COVERS(k));
#ifdef READ_RECORD_TERM
				/* a session's position for an older record needs the term of the acknowledgement, not of the record */
				if
				:: baseSize[k] > 0 -> acknowledged(baseSize[k], baseTerm[k], k, m[i].data >= baseTerm[k])
				:: else
				fi
#endif
#ifdef BASE_EARLY
			:: n > 0 && n == baseSize[k] -> acknowledged(n, baseTerm[k], k, COVERS(k))
#endif
			:: else
			fi
		:: else
		fi
	}
	k = 0; n = 0; t = 0; lo = 0; hi = 0
}

#ifdef ACCEPT_OLD_TERM
#define ACCEPTS(X) (1)
#else
#define ACCEPTS(X) (m[X].fence == m[X].follow)
#endif
#define FOLLOWS(X, T) (recorded[T] != NONE && recorded[T] != X && m[X].fence <= T && m[X].primary != T && \
	m[X].follow != T && m[recorded[T]].primary == T)
#define REPLICATES(X) (m[X].follow > 0 && ACCEPTS(X) && m[recorded[m[X].follow]].primary == m[X].follow && \
	m[X].size < m[recorded[m[X].follow]].size)
#define MEMBER(X) \
	:: atomic { m[X].primary > 0 && m[X].size < RECORDS -> printf("write %d\n", X); append(X); check() } \
	:: atomic { REPLICATES(X) -> printf("replicate %d\n", X); replicate(X); check() } \
	:: atomic { FOLLOWS(X, 2) -> printf("follow %d 2\n", X); follows(X, 2); check() } \
	:: atomic { FOLLOWS(X, 3) -> printf("follow %d 3\n", X); follows(X, 3); check() } \
	:: atomic { FOLLOWS(X, 4) -> printf("follow %d 4\n", X); follows(X, 4); check() }
#define FENCE(A, X) \
	:: atomic { l[A].term > 1 && l[A].promoted == NONE && !(l[A].fenced & (1 << X)) && m[X].fence <= l[A].term -> \
		printf("fence %d %d\n", A, X); fence_member(A, X); check() } \
	:: atomic { l[A].term > 1 && l[A].promoted == NONE && (l[A].fenced & (1 << X)) -> \
		promote(A, X); check() }
#define CONTROL(A) \
	:: atomic { leader == A && attempt < TERMS - 1 -> printf("reserve %d\n", A); reserve(A) } \
	:: atomic { leader == A && l[A].promoted != NONE && current < l[A].term -> \
		printf("record %d\n", A); \
		current = l[A].term; recorded[current] = l[A].promoted; l[A].term = 0; l[A].promoted = NONE; check() } \
	FENCE(A, 0) FENCE(A, 1) FENCE(A, 2)

init {
	atomic {
		recorded[2] = NONE; recorded[3] = NONE; recorded[4] = NONE;
		l[0].promoted = NONE; l[1].promoted = NONE;
		m[0].fence = 1; m[0].primary = 1; m[0].data = 1;
		m[1].fence = 1; m[1].follow = 1; m[1].data = 1;
		m[2].fence = 1; m[2].follow = 1; m[2].data = 1
	};
end:
	do
	MEMBER(0) MEMBER(1) MEMBER(2)
	CONTROL(0) CONTROL(1)
	/* an attempt whose promotion was acknowledged but not recorded is abandoned */
	:: atomic { leader == 0 ->
		printf("lead 1\n");
		leader = 1;
		if
		:: l[0].promoted != NONE -> l[0].term = 0; l[0].promoted = NONE
		:: else
		fi }
	od
}
