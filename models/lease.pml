/*
 * The connections that a gateway keeps for the transactions of other hosts (node/gateway): one gateway, two sessions and their
 * transactions, which follow one another.
 *
 * Checked property: a statement runs, and an end takes effect, only on the connection on which its own transaction was opened.
 *
 * A request may be handled at any later time, also after its session has given up, in any order with others, and its answer may be lost
 * or may reach the other session. The gateway stops and starts again at any time, which closes its connections; leases expire at any
 * time. The hosts start again at any time as well, which ends their sessions' transactions.
 *
 * Bounds: three transactions, two requests under way, two connections, one restart of the gateway and one of the hosts. Random ids are modelled as numbers that are never
 * given twice. Not modelled: a statement that is still running when the next request arrives, and what upstreams do.
 *
 * Each variant below drops a rule, and the search must find a counterexample for it:
 *
// broken: COUNTED_LEASES        a process counts its leases from its start, and a lease serves every transaction (either rule alone suffices here)
// broken: UNCHECKED             a lease serves every transaction
// broken: COUNTED_TRANSACTIONS  a host counts the ids of its transactions from its start
// broken: EMPTY_LEASE           a host takes an answer without a lease for a success
 */

#define SESSIONS 2
#define CONNECTIONS 2
#define REQUESTS 2
#define MAX_TRANSACTIONS 3
/* Restarts of the gateway, and of the hosts. */
#define MAX_RESTARTS 1

/* Kinds of requests. */
#define FREE 0
#define FIRST 1
#define NEXT 2
#define END 3

typedef Session {
	/* The number of the open transaction, or 0, the id that its host has chosen for it, and the lease that it has got. */
	byte transaction;
	byte name;
	byte lease;
	/* Whether a request awaits its answer. */
	bool waits;
};

typedef Request {
	byte kind;
	byte session;
	byte transaction;
	byte name;
	byte lease;
};

typedef Connection {
	/* The transaction that was opened on the connection, or 0. */
	byte transaction;
	byte name;
	byte lease;
};

Session session[SESSIONS];
Request request[REQUESTS];
Connection connection[CONNECTIONS];
byte lastTransaction;
byte lastName;
byte lastLease;
byte gatewayStarts;
byte hostStarts;

/* Temporary variables within a step. */
hidden byte i;
hidden byte k;
hidden byte place;
byte s;
byte r;

/* Sends a request of session s, if there is room for one. */
inline send(what) {
	i = 0;
	do
	:: i == REQUESTS -> break
	:: i < REQUESTS && request[i].kind == FREE ->
		request[i].kind = what;
		request[i].session = s;
		request[i].transaction = session[s].transaction;
		request[i].name = session[s].name;
		request[i].lease = session[s].lease;
		break
	:: else -> i++
	od
}

/* Gives up the transaction of session s and asks the gateway to end it. */
inline giveUp() {
	send(END);
	session[s].transaction = 0;
	session[s].name = 0;
	session[s].lease = 0;
	session[s].waits = false
}

#ifdef UNCHECKED
#define CHECKED(c) true
#else
#ifdef COUNTED_LEASES
#define CHECKED(c) true
#else
#define CHECKED(c) (connection[c].name == request[r].name)
#endif
#endif

/* Whether request r names connection c. An end whose session has got no lease names it by the transaction's id. */
#define NAMES(c) (connection[c].transaction != 0 && (connection[c].lease == request[r].lease || \
	(request[r].kind == END && request[r].lease == 0 && connection[c].name == request[r].name)))

/* Sets place to the connection that request r names, or to CONNECTIONS. */
inline find() {
	place = CONNECTIONS;
	k = 0;
	do
	:: k == CONNECTIONS -> break
	:: else ->
		if
		:: NAMES(k) && CHECKED(k) -> place = k
		:: else
		fi;
		k++
	od
}

/* Opens a connection for request r and sets place to it, or to CONNECTIONS if there is no room. */
inline open() {
	place = 0;
	do
	:: place == CONNECTIONS -> break
	:: place < CONNECTIONS && connection[place].transaction == 0 ->
		lastLease++;
		connection[place].transaction = request[r].transaction;
		connection[place].name = request[r].name;
		connection[place].lease = lastLease;
		break
	:: else -> place++
	od
}

inline close(which) {
	connection[which].transaction = 0;
	connection[which].name = 0;
	connection[which].lease = 0
}

/* Answers session s, if it awaits an answer, with the lease of connection place, or without a lease. */
inline answer() {
	if
	:: session[s].waits ->
		if
		:: session[s].lease = connection[place].lease; session[s].waits = false
#ifdef EMPTY_LEASE
		:: session[s].waits = false
#else
		:: giveUp()
#endif
		fi
	:: else
	fi
}

/* Handles request r. */
inline handle() {
	if
	:: request[r].kind == FIRST ->
		open();
		s = request[r].session;
		if
		:: session[s].transaction == request[r].transaction && place < CONNECTIONS -> answer()
		:: place < CONNECTIONS -> s = 1 - s; answer()
		:: true
		fi
	:: request[r].kind == NEXT ->
		find();
		/* The gateway would open another connection, on which the statement is outside of its transaction. */
		assert(request[r].lease != 0);
		s = request[r].session;
		if
		:: place < CONNECTIONS ->
			assert(connection[place].transaction == request[r].transaction);
			if
			:: session[s].transaction == request[r].transaction -> answer()
			:: s = 1 - s; answer()
			:: true
			fi
		:: place == CONNECTIONS && session[s].transaction == request[r].transaction -> giveUp()
		:: else
		fi
	:: request[r].kind == END ->
		find();
		if
		:: place < CONNECTIONS ->
			assert(connection[place].transaction == request[r].transaction);
			close(place)
		:: else
		fi
	fi;
	request[r].kind = FREE;
	request[r].session = 0;
	request[r].transaction = 0;
	request[r].name = 0;
	request[r].lease = 0
}

init {
	do
	/* A session opens a transaction with its first statement. */
	:: lastTransaction < MAX_TRANSACTIONS -> atomic {
		select(s : 0 .. 1);
		if
		:: session[s].transaction == 0 ->
			lastTransaction++;
			lastName++;
			session[s].transaction = lastTransaction;
			session[s].name = lastName;
			session[s].waits = true;
			send(FIRST)
		:: else
		fi
	}
	/* It sends the next statement. */
	:: atomic {
		select(s : 0 .. 1);
		if
		:: session[s].transaction != 0 && !session[s].waits -> session[s].waits = true; send(NEXT)
		:: else
		fi
	}
	/* It ends the transaction, or gives it up since no answer came. */
	:: atomic {
		select(s : 0 .. 1);
		if
		:: session[s].transaction != 0 -> giveUp()
		:: else
		fi
	}
	/* The gateway handles a request, also a late one. */
	:: atomic {
		select(r : 0 .. 1);
		if
		:: request[r].kind != FREE -> handle()
		:: else
		fi
	}
	/* A lease expires. */
	:: atomic {
		select(r : 0 .. 1);
		close(r)
	}
	/* The gateway starts again. */
	:: gatewayStarts < MAX_RESTARTS -> atomic {
		gatewayStarts++;
		close(0);
		close(1);
#ifdef COUNTED_LEASES
		lastLease = 0
#else
		skip
#endif
	}
	/* The hosts start again. */
	:: hostStarts < MAX_RESTARTS -> atomic {
		hostStarts++;
		s = 0;
		do
		:: s == SESSIONS -> break
		:: else ->
			session[s].transaction = 0;
			session[s].name = 0;
			session[s].lease = 0;
			session[s].waits = false;
			s++
		od;
		s = 0;
#ifdef COUNTED_TRANSACTIONS
		lastName = 0
#else
		skip
#endif
	}
	od
}
