/*
 * The control log: replacement of a member that lost its disk, loss of a second host right after the replacement, two
 * operators that expect the same version, and a request that is resent after its response was lost.
 *
 * Checked properties: an accepted text never reverts; of two racing operators at most one is accepted; a resent request
 * gets the same response as the first one.
 *
 * Members a, b and c bootstrap the log. Member d replaces c under an identity of its own. The host of c has lost its disk,
 * or is only unresponsive while its replacement joins. The log passes through four memberships: abc; abc with the learner
 * d; ab with the learner d; abd.
 *
 * Bounds: four members, three terms, nine entries, operator A's request and one resend of it, operator B's request, one
 * lost or unresponsive host, and one lost host after the replacement. Member a is the leader of term 1 from the start;
 * leader b is covered by symmetry.
 *
 * Not modelled: messages that arrive late or twice (each exchange is one step, and a lost message is an exchange that
 * does not happen), pre-vote, leases and time, snapshots, transfer of leadership, bootstrap, and followers that receive
 * the commit index. The simulations in fleet/quorum cover those. An entry is acknowledged in the step that stores it.
 * A restart therefore loses nothing and is not a step.
 *
 * TestTraces in fleet/quorum replays the STEP lines of a trace against the Go code.
 *
 * Each variant below drops one rule, and the search must find a counterexample for it:
 *
// broken: OLD_IDENTITY    the host that lost its disk votes under its old identity
// broken: ONE_STEP        one entry removes the replaced voter and adds the new one
// broken: EARLY_CHANGE    a membership change does not wait until the previous one is committed
// broken: UNSYNCED        an entry is acknowledged before it is synced
// broken: VOTE_LOST       a vote is sent before it is synced
// broken: NO_VERSION      the expected version is not compared
// broken: NO_IDS          responses are not stored by idempotency id
 */

#define N 4
#define TERMS 3
#define CAP 9

/* Entry values; the value of a membership is its position in the sequence of memberships. */
#define CFG_ABC 1
#define CFG_LEARN 2
#define CFG_AB 3
#define CFG_ABD 4
#define EMPTY 5
#define OP_A 6
#define OP_B 7

#define FOLLOWER 0
#define LEADER 1

#define entry(m, i) ent[(m) * CAP + (i) - 1]
#define term_of(e) ((e) >> 3)
#define value_of(e) ((e) & 7)
#define bit_of(m) (1 << (m))
#define name(m) ('a' + (m))

/* Durable state of each member. */
byte ent[N * CAP];
byte last[N];
byte term[N];
byte vote[N];
/* Volatile state: role, and the index up to which a leader has committed entries in its own term. */
byte role[N];
byte commit[N];

byte dead;
bool c_failed;
bool second_loss;
bool requested_a;
bool resent_a;
bool requested_b;
bool fault;

/* The committed log, and the responses of the state machine: 0 none, 1 accepted, 2 not accepted. */
byte committed[CAP];
byte length;
byte version;
byte answer_a;
byte answer_b;

/* Temporary variables within a step. */
hidden byte i;
hidden byte k;
hidden byte cfg;
hidden byte voters;
hidden byte count;
hidden byte common;
hidden byte outcome;

#define alive(m) (!(dead & bit_of(m)))

/* Sets cfg and voters to the last membership in a member's log, and k to its index. */
inline membership(m) {
	cfg = 0; k = 0; i = 1;
	do
	:: i <= last[m] ->
		if
		:: value_of(entry(m, i)) <= CFG_ABD -> cfg = value_of(entry(m, i)); k = i
		:: else
		fi;
		i++
	:: else -> break
	od;
	if
	:: cfg == CFG_ABC || cfg == CFG_LEARN -> voters = 7
	:: cfg == CFG_AB -> voters = 3
	:: cfg == CFG_ABD -> voters = 11
	:: else -> voters = 0
	fi
}

/* Sets count to the number of members in a set. */
inline count_members(set) {
	count = ((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1)
}

inline majority_of(set) {
	count_members(voters);
	i = count;
	count_members((set) & voters);
	outcome = (2 * count > i)
}

inline append_entry(m, v) {
	entry(m, last[m] + 1) = (term[m] << 3) | (v);
	last[m]++
}

/* Applies the committed entry at index i to the state machine. */
inline apply_entry(v) {
	if
	:: v == OP_A ->
		outcome = (version == 0 -> 1 : 2);
#ifdef NO_VERSION
		outcome = 1;
#endif
#ifndef NO_IDS
		if
		:: answer_a != 0 -> outcome = answer_a
		:: else
		fi;
#endif
		assert(answer_a == 0 || answer_a == outcome);
		if
		:: answer_a == 0 && outcome == 1 -> version++
		:: else
		fi;
		answer_a = outcome
	:: v == OP_B ->
		outcome = (version == 0 -> 1 : 2);
#ifdef NO_VERSION
		outcome = 1;
#endif
		if
		:: outcome == 1 -> version++
		:: else
		fi;
		answer_b = outcome
	:: else
	fi;
	assert(!(answer_a == 1 && answer_b == 1))
}

/* Commits the entries that a majority stores; only entries of the leader's own term are counted. */
inline advance_commit(l) {
	membership(l);
	k = last[l];
	do
	:: k > commit[l] && term_of(entry(l, k)) == term[l] ->
		count = 0;
		i = 0;
		do
		:: i < N ->
			if
			:: (voters & bit_of(i)) && last[i] >= k && entry(i, k) == entry(l, k) -> count = count | bit_of(i)
			:: else
			fi;
			i++
		:: else -> break
		od;
		common = count;
		majority_of(common);
		if
		:: outcome -> break
		:: else -> k--
		fi
	:: else -> k = 0; break
	od;
	if
	:: k > commit[l] ->
		commit[l] = k;
		printf("STEP commit %c %d\n", name(l), k);
		i = 1;
		do
		:: i <= k ->
			assert(committed[i - 1] == 0 || committed[i - 1] == entry(l, i));
			if
			:: committed[i - 1] == 0 ->
				committed[i - 1] = entry(l, i);
				length = i;
				apply_entry(value_of(entry(l, i)))
			:: else
			fi;
			i++
		:: else -> break
		od
	:: else
	fi
}

inline enter_term(m, t) {
	if
	:: (t) > term[m] ->
		term[m] = t; vote[m] = 0; role[m] = FOLLOWER; commit[m] = 0
	:: else
	fi
}

/* Sets outcome when the candidate's log is at least as advanced as the voter's. */
inline check_up_to_date(v, m) {
	if
	:: last[v] == 0 -> outcome = 1
	:: else -> outcome = (term_of(entry(m, last[m])) > term_of(entry(v, last[v])) ||
		(term_of(entry(m, last[m])) == term_of(entry(v, last[v])) && last[m] >= last[v]))
	fi
}

/*
 * Member m is a candidate and reaches only member v, whose vote completes a majority of three or two voters. As with
 * pre-vote, the term of m does not increase when v would refuse the vote.
 */
inline elect(m, v) {
	check_up_to_date(v, m);
	if
	:: outcome && (term[v] <= term[m] || (term[v] == term[m] + 1 && vote[v] == 0)) ->
		enter_term(m, term[m] + 1);
		enter_term(v, term[m]);
		vote[m] = m + 1;
		vote[v] = m + 1;
		role[m] = LEADER;
		printf("STEP elect %c %c %d\n", name(m), name(v), term[m]);
		append_entry(m, EMPTY)
	:: else
	fi
}

/* Sends the entries after the last common one, or deposes the leader when the follower has a later term. */
inline replicate(l, f) {
	if
	:: term[f] > term[l] ->
		printf("STEP depose %c %c\n", name(l), name(f));
		enter_term(l, term[f])
	:: else ->
		enter_term(f, term[l]);
		role[f] = FOLLOWER;
		common = 0;
		do
		:: common < last[l] && common < last[f] && entry(l, common + 1) == entry(f, common + 1) -> common++
		:: else -> break
		od;
		if
		:: common < last[l] ->
			i = common + 1;
			do
			:: i <= CAP -> entry(f, i) = entry(l, i); i++
			:: else -> break
			od;
			last[f] = last[l];
			printf("STEP append %c %c %d\n", name(l), name(f), last[l]);
			advance_commit(l)
		:: else
		fi
	fi
}

inline propose(l, v) {
	append_entry(l, v);
	printf("STEP propose %c %d\n", name(l), v)
}

/* Appends the next membership once the previous one and an entry of the leader's term are committed. */
inline change(l) {
	membership(l);
	outcome = (commit[l] >= k && commit[l] > 0);
#ifdef EARLY_CHANGE
	outcome = 1;
#endif
	common = 0;
	do
	:: common < last[l] && common < last[3] && entry(l, common + 1) == entry(3, common + 1) -> common++
	:: else -> break
	od;
	if
	:: !outcome
	:: outcome && cfg == CFG_ABC -> append_entry(l, CFG_LEARN); printf("STEP change %c %d\n", name(l), CFG_LEARN)
#ifdef ONE_STEP
	:: outcome && cfg == CFG_LEARN && common >= commit[l] -> append_entry(l, CFG_ABD); printf("STEP change %c %d\n", name(l), CFG_ABD)
#else
	:: outcome && cfg == CFG_LEARN && common >= commit[l] -> append_entry(l, CFG_AB); printf("STEP change %c %d\n", name(l), CFG_AB)
#endif
	:: outcome && cfg == CFG_AB && common >= commit[l] -> append_entry(l, CFG_ABD); printf("STEP change %c %d\n", name(l), CFG_ABD)
	:: else
	fi
}

/* The host of c loses its disk. */
inline lose() {
	c_failed = true;
#ifdef OLD_IDENTITY
	i = 1;
	do
	:: i <= CAP -> entry(2, i) = 0; i++
	:: else -> break
	od;
	last[2] = 0; vote[2] = 0; role[2] = FOLLOWER; commit[2] = 0; term[2] = 0;
#else
	dead = dead | bit_of(2);
#endif
	printf("STEP lose c\n")
}

#define receives(l, f) (((voters | (cfg == CFG_LEARN || cfg == CFG_AB -> 8 : 0)) & bit_of(f)) != 0)

byte l;
byte f;

inline pick(x) {
	if
	:: x = 0
	:: x = 1
	:: x = 2
	:: x = 3
	fi
}

active proctype fleet() {
	d_step {
		i = 0;
		do
		:: i < 3 -> entry(i, 1) = (1 << 3) | CFG_ABC; last[i] = 1; term[i] = 1; vote[i] = 1; i++
		:: else -> break
		od;
		role[0] = LEADER;
		append_entry(0, EMPTY);
		committed[0] = entry(0, 1);
		length = 1
	}
	do
	:: atomic {
		pick(l);
		if
		:: alive(l) && (role[l] == LEADER || (term[l] < TERMS && last[l] > 0)) -> pick(f)
		:: else -> f = l
		fi;
		if
		:: l != f && alive(f) ->
			d_step {
				membership(l);
				if
				:: role[l] == LEADER && receives(l, f) -> replicate(l, f)
				:: role[l] != LEADER && (voters & bit_of(f)) && (voters & bit_of(l)) && term[l] < TERMS && last[l] < CAP -> elect(l, f)
				:: else
				fi;
				l = 0; f = 0
			}
		:: else -> l = 0; f = 0
		fi
	}
	:: atomic {
		pick(l);
		if
		:: alive(l) && role[l] == LEADER && last[l] < CAP ->
			if
			:: !requested_a -> d_step { requested_a = true; propose(l, OP_A) }
			:: requested_a && !resent_a -> d_step { resent_a = true; propose(l, OP_A) }
			:: !requested_b -> d_step { requested_b = true; propose(l, OP_B) }
#ifndef OLD_IDENTITY
			:: c_failed && l != 2 -> d_step { change(l) }
#endif
			:: else
			fi;
			l = 0
		:: else -> l = 0
		fi
	}
	:: !c_failed -> d_step { lose() }
#ifndef OLD_IDENTITY
	:: !c_failed -> d_step { c_failed = true; printf("STEP silent c\n") }
#endif
	:: atomic {
		!second_loss && length > 0 ->
		d_step {
			i = 0; k = 0;
			do
			:: i < length -> k = (value_of(committed[i]) == CFG_ABD -> 1 : k); i++
			:: else -> break
			od
		};
		if
		:: k == 1 ->
			if
			:: d_step { second_loss = true; dead = dead | 1; printf("STEP die a\n") }
			:: d_step { second_loss = true; dead = dead | 2; printf("STEP die b\n") }
			fi
		:: else
		fi
	}
#ifdef UNSYNCED
	:: atomic {
		!fault ->
		pick(l);
		if
		:: last[l] > 1 && role[l] == FOLLOWER ->
			d_step { fault = true; entry(l, last[l]) = 0; last[l]--; printf("STEP crash %c\n", name(l)) }
		:: else
		fi;
		l = 0
	}
#endif
#ifdef VOTE_LOST
	:: atomic {
		!fault ->
		pick(l);
		if
		:: vote[l] != 0 && role[l] == FOLLOWER ->
			d_step { fault = true; vote[l] = 0; printf("STEP crash %c\n", name(l)) }
		:: else
		fi;
		l = 0
	}
#endif
	od
}
