/*
 * The reports of usage (fleet/metering, node/core): two core hosts that lead by turns, the control log, and a platform that executes
 * calls at any later time.
 *
 * Checked properties: the platform accepts no two reports of a window with different counts; two holders never send the same token; no
 * holder sends, then the other, then the first again within the lease. The last one is about sending: a call that is executed late may
 * still follow one of the next holder's that is executed later than it was sent.
 *
 * Leaders change at any time, and a new leadership knows only the log; each one may count a window differently. A proposal may be applied
 * at any later time, also under another leader, or be lost. A call may be executed at any later time or be lost, and so may its answer.
 * A host that does not lead sends nothing new, since it checks that its leadership is confirmed.
 *
 * Bounds: two windows, three leaderships, five entries of the log, one proposal a host and two calls under way, time up to 4 with a
 * lease of 2. Not modelled: the
 * collecting of counts, and calls that the platform refuses for other reasons.
 *
 * Each variant below drops a rule, and the search must find a counterexample for it:
 *
// broken: UNLOGGED       a leader sends its counts before the log contains them
// broken: COUNT_AGAIN    another entry for a closed window replaces its counts
// broken: EARLIER_TOKEN  a new leader sends under the token of an earlier one
// broken: NO_SILENCE     a new leader sends before the lease has passed
 */

#define HOSTS 2
#define WINDOWS 2
#define CALLS 2
#define MAX_TERMS 3
#define MAX_TIME 4
#define LEASE 2
#define MAX_TOKENS 6

#ifdef NO_SILENCE
#define SILENCE_OVER true
#else
#define SILENCE_OVER (time - electedAt >= LEASE)
#endif

#ifdef EARLIER_TOKEN
#define OWN_TOKEN true
#else
#define OWN_TOKEN (window[w].token == host[leader].reserved[w])
#endif

/* Kinds of proposals. */
#define FREE 0
#define CLOSE 1
#define RESERVE 2
#define OUTCOME 3

typedef Host {
	/* The proposal under way, and the leadership that made it. */
	byte kind;
	byte window;
	byte counts;
	byte proposedIn;
	/* The tokens that the present leadership has reserved, and the highest that it has sent. */
	byte reserved[WINDOWS];
	byte sent;
	/* Set once the platform has seen a higher token. */
	bool outdated;
	/* When the host last sent a call, counted from 1, or 0. */
	byte sentAt;
};

typedef Window {
	/* The counts in the log, or 0 while the window is open. */
	byte counts;
	byte token;
	bool answered;
	/* The counts that the platform has accepted, or 0. */
	byte accepted;
};

typedef Call {
	bool used;
	byte window;
	byte counts;
	byte token;
	byte term;
};

Host host[HOSTS];
Window window[WINDOWS];
Call call[CALLS];
/* The present leader, its leadership and when that began. */
byte leader;
byte term;
byte electedAt;
byte time;
/* The index of the last entry of the log, and the platform's highest token. */
byte index;
byte fence;
/* The holder that sent the last call, and the one that used each token, both plus 1; 0 for none. */
byte lastHolder;
byte holderOf[MAX_TOKENS];

byte w;
byte c;
byte h;

/* Sets w to the oldest window without an outcome. */
inline oldest() {
	w = 0;
	do
	:: w < WINDOWS && window[w].answered -> w++
	:: else -> break
	od
}

inline elect(next) {
	leader = next;
	term++;
	electedAt = time;
	w = 0;
	do
	:: w == WINDOWS -> break
	:: w < WINDOWS -> host[next].reserved[w] = 0; w++
	od;
	w = 0;
	host[next].sent = 0;
	host[next].outdated = false;
}

inline propose(what) {
	host[leader].kind = what;
	host[leader].window = w;
	host[leader].proposedIn = term;
}

inline send(usedCounts, usedToken) {
	call[c].used = true;
	call[c].window = w;
	call[c].counts = usedCounts;
	call[c].token = usedToken;
	call[c].term = term;
	host[leader].sent = usedToken;
	assert(holderOf[usedToken] == 0 || holderOf[usedToken] == leader + 1);
	holderOf[usedToken] = leader + 1;
	assert(lastHolder == 0 || lastHolder == leader + 1 || host[leader].sentAt == 0 || time + 1 - host[leader].sentAt >= LEASE);
	lastHolder = leader + 1;
	host[leader].sentAt = time + 1;
}

/* Applies the proposal of host h. */
inline apply() {
	index++;
	w = host[h].window;
	if
	:: host[h].kind == OUTCOME && window[w].counts != 0 -> window[w].answered = true
	:: host[h].kind != OUTCOME && !window[w].answered && (window[w].counts != 0 || host[h].kind == CLOSE) ->
		if
		:: window[w].counts == 0 -> window[w].counts = host[h].counts
#ifdef COUNT_AGAIN
		:: window[w].counts != 0 && host[h].kind == CLOSE -> window[w].counts = host[h].counts
#endif
		:: else
		fi;
		window[w].token = index;
		if
		:: host[h].proposedIn == term -> host[h].reserved[w] = index
		:: else
		fi
	:: else
	fi;
	host[h].kind = FREE;
	host[h].window = 0;
	host[h].counts = 0;
	host[h].proposedIn = 0;
	w = 0
}

inline release() {
	call[c].used = false;
	call[c].window = 0;
	call[c].counts = 0;
	call[c].token = 0;
	call[c].term = 0
}

/* Executes call c. Its answer may be lost. */
inline execute() {
	w = call[c].window;
	if
	:: call[c].token < fence ->
		if
		:: call[c].term == term -> host[leader].outdated = true
		:: true
		fi
	:: else ->
		fence = call[c].token;
		assert(window[w].accepted == 0 || window[w].accepted == call[c].counts);
		window[w].accepted = call[c].counts;
		if
		:: call[c].term == term && host[leader].kind == FREE -> propose(OUTCOME)
		:: true
		fi
	fi;
	release();
	w = 0
}

active proctype fleet() {
	byte next;
end:	do
	/* Time passes. */
	:: time < MAX_TIME -> time++
	/* A host becomes the leader, also the same one again. */
	:: term < MAX_TERMS -> atomic { if :: next = 0 :: next = 1 fi; elect(next); next = 0 }
	/* The leader closes the next window with what it has collected, also one that an earlier proposal may still close. */
	:: term > 0 && host[leader].kind == FREE && index < MAX_TOKENS - 2 -> atomic {
		w = 0;
		do
		:: w < WINDOWS && window[w].counts != 0 -> w++
		:: else -> break
		od;
		if
		:: w < WINDOWS -> propose(CLOSE); if :: host[leader].counts = 1 :: host[leader].counts = 2 fi
		:: else
		fi;
		w = 0
	}
	/* The leader reserves another token for the oldest window without an outcome. */
	:: term > 0 && host[leader].kind == FREE && index < MAX_TOKENS - 2 -> atomic {
		oldest();
		if
		:: w < WINDOWS && window[w].counts != 0 && (host[leader].reserved[w] != window[w].token || window[w].token < host[leader].sent) ->
			propose(RESERVE)
		:: else
		fi;
		w = 0
	}
	/* A proposal is applied or lost. */
	:: atomic { host[0].kind != FREE && index < MAX_TOKENS - 1 -> h = 0; apply(); h = 0 }
	:: atomic { host[1].kind != FREE && index < MAX_TOKENS - 1 -> h = 1; apply(); h = 0 }
	:: atomic { host[0].kind != FREE -> host[0].kind = FREE; host[0].window = 0; host[0].counts = 0; host[0].proposedIn = 0 }
	:: atomic { host[1].kind != FREE -> host[1].kind = FREE; host[1].window = 0; host[1].counts = 0; host[1].proposedIn = 0 }
	/* The leader sends the report of the oldest window without an outcome. */
	:: term > 0 && !host[leader].outdated && SILENCE_OVER -> atomic {
		c = 0;
		do
		:: c < CALLS && call[c].used -> c++
		:: else -> break
		od;
		oldest();
		if
		:: c < CALLS && w < WINDOWS && window[w].counts != 0 && OWN_TOKEN && window[w].token >= host[leader].sent ->
			send(window[w].counts, window[w].token)
#ifdef UNLOGGED
		:: c < CALLS && w < WINDOWS && host[leader].kind == CLOSE && host[leader].window == w && host[leader].proposedIn == term ->
			send(host[leader].counts, index + 1)
#endif
		:: else
		fi;
		c = 0;
		w = 0
	}
	/* A call is executed or lost. */
	:: atomic { call[0].used -> c = 0; execute(); c = 0 }
	:: atomic { call[1].used -> c = 1; execute(); c = 0 }
	:: atomic { call[0].used -> c = 0; release(); c = 0 }
	:: atomic { call[1].used -> c = 1; release(); c = 0 }
	od
}
