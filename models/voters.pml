/*
 * The choice of voters of the control log (fleet/quorum/voters.go): six hosts, of which three bootstrap the log, and a fleet
 * that has to bear the loss of any two hosts at once.
 *
 * Checked property: while at most two hosts are lost, a majority of the voters runs. A host is lost from the time it stops
 * until it runs again and the leader has no change of the membership left to make.
 *
 * A host stops and returns with its log, or with an empty folder as a new member, or is replaced by a new host, which is the
 * same for the log. The leader takes a stopped voter for away at any time, so the limits of time are arbitrary here.
 *
 * Bounds: six hosts, five voters, and any number of losses of at most two at once. Each change of the membership is one step
 * that a majority commits; models/log.pml covers how one change follows another. Not modelled: the spread over regions, and
 * changes that only improve the choice.
 *
 * Each variant below drops one rule, and the search must find a counterexample for it:
 *
// broken: SEEDS_ONLY      only the hosts that bootstrap the log vote
// broken: KEEP_REPLACED   a voter whose host returned with an empty folder keeps its vote
// broken: FOUR_VOTERS     voters are promoted one at a time up to an even number
 */

#define HOSTS 6
#define MAX_VOTERS 5
#define MAX_LOST 2

#define NONE 0
#define VOTER 1
#define LEARNER 2

/* The membership of the host's current folder, and whether its former folder, which is lost, still has a vote. */
byte member[HOSTS];
bool former[HOSTS];
bool up[HOSTS];
bool away[HOSTS];
bool lost[HOSTS];

/* Temporary variables within a step. */
hidden byte i;
hidden byte votes;
hidden byte running;
hidden byte ready;
hidden byte losses;
hidden byte changed;
byte h;

inline count() {
	votes = 0; running = 0; ready = 0; losses = 0; i = 0;
	do
	:: i < HOSTS ->
		votes = votes + (member[i] == VOTER) + former[i];
		running = running + (member[i] == VOTER && up[i]);
		ready = ready + (member[i] == LEARNER && up[i] && !former[i]);
		losses = losses + lost[i];
		i++
	:: else -> break
	od
}

/* Promotes the first learner that is ready. */
inline promote() {
	i = 0;
	do
	:: member[i] == LEARNER && up[i] && !former[i] -> member[i] = VOTER; changed = 1; break
	:: else -> i++
	od
}

/* Makes one change of the membership, if one is due, and sets changed. */
inline change() {
	changed = 0;
	count();
	i = 0;
	do
	:: changed == 1 || i == HOSTS -> break
#ifndef SEEDS_ONLY
	:: changed == 0 && i < HOSTS && up[i] && member[i] == NONE -> member[i] = LEARNER; changed = 1
#endif
#ifndef KEEP_REPLACED
	:: changed == 0 && i < HOSTS && up[i] && member[i] == LEARNER && former[i] -> former[i] = false; changed = 1
#endif
	:: changed == 0 && i < HOSTS && member[i] == VOTER && away[i] && votes % 2 == 0 -> member[i] = LEARNER; changed = 1
	:: changed == 0 && i < HOSTS && member[i] == VOTER && away[i] && votes % 2 == 1 && ready > 0 -> promote()
#ifdef FOUR_VOTERS
	:: changed == 0 && i < HOSTS && member[i] == LEARNER && up[i] && !former[i] && votes < MAX_VOTERS - 1 -> member[i] = VOTER; changed = 1
#else
	:: changed == 0 && i < HOSTS && member[i] == LEARNER && up[i] && !former[i] && votes < MAX_VOTERS && (votes % 2 == 0 || ready > 1) -> member[i] = VOTER; changed = 1
#endif
	:: else -> i++
	od
}

inline pick() {
	if
	:: h = 0
	:: h = 1
	:: h = 2
	:: h = 3
	:: h = 4
	:: h = 5
	fi
}

active proctype fleet() {
	d_step {
		h = 0;
		do
		:: h < HOSTS -> up[h] = true; member[h] = (h < 3 -> VOTER : NONE); h++
		:: else -> break
		od;
		h = 0;
		/* Losses begin once the leader has no change left to make. */
		changed = 1;
		do
		:: changed == 1 -> change()
		:: else -> break
		od
	}
	do
	:: d_step { change() };
		d_step { count(); assert(2 * running > votes) }
	:: atomic {
		pick();
		d_step { count() };
		if
		:: up[h] && losses < MAX_LOST ->
			if
			:: up[h] = false; lost[h] = true
			:: up[h] = false; lost[h] = true; former[h] = (member[h] == VOTER || former[h]); member[h] = NONE
			fi;
			d_step { count(); assert(2 * running > votes) }
		:: !up[h] && member[h] == VOTER && !away[h] -> away[h] = true
		:: !up[h] -> up[h] = true; away[h] = false
		:: up[h] && lost[h] ->
			/* The leader has had the time to make its changes. */
			d_step {
				changed = 1;
				do
				:: changed == 1 -> change()
				:: else -> break
				od;
				lost[h] = false
			}
		:: else
		fi;
		h = 0
	}
	od
}
