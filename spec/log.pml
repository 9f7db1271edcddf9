/*
 * The replicated log of the control group (lib/quorum): elections, appends,
 * isolated leaders, a lost data folder and its readmission.
 *
 * Each step is one turn of a node's loop: it is synced before others learn of it. A
 * message that changes nothing at its receiver but later, or never, is a step
 * that is taken later or never; an isolated host is one whose steps towards the
 * others are not taken for a while. A vote or an acknowledgement is read off
 * the state of the host that gave it: one that is counted late could as well
 * have been counted at once, since only its receiver's state depends on it.
 *
 * Checked: one leader a term (leaderOf); each later leader has all that was
 * committed, as it was committed (chosen); a host that serves as current knows
 * all that is committed (read).
 *
 * Bounds: TERMS, ENTRIES, LOSSES. Left out: pre-vote, which only keeps terms
 * from growing; snapshots, which stand for a prefix of the log; Admit and
 * Remove of other hosts; damaged files, at which a host stops.
 *
 * A guard is switched off by defining its name; the checker must then find a
 * violation.
 */

#define HOSTS 3
#ifndef TERMS
#define TERMS 3
#endif
#ifndef ENTRIES
#define ENTRIES 4
#endif
#ifndef LOSSES
#define LOSSES 1
#endif

#define NONE 3

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

/* An entry is its term and its kind: plain, admit(h) or promote(h). */
#define PLAIN 0
#define ADMIT(h) (1 + (h))
#define PROMOTE(h) (4 + (h))
#define ENTRY(t, k) ((t) * 8 + (k))
#define TERM_OF(e) ((e) / 8)
#define KIND_OF(e) ((e) % 8)

/* What a log says of a host. */
#define VOTER 0
#define LEARNER 1
#define VOTER_AGAIN 2

/* Synced: term and vote, log, and which data folder it is. */
byte term[HOSTS];
byte vote[HOSTS] = NONE;
byte last[HOSTS];
byte log[HOSTS * ENTRIES];
bit folder[HOSTS];
/* A fresh folder belongs to no group yet. */
bit fresh[HOSTS];

/* Lost with the process; commit is kept by leaders alone. */
byte role[HOSTS];
byte commit[HOSTS];

/* promise: the leader whom a host has heard from within the election timeout.
 * lease: the hosts on whose promise a leader counts, one bit each; it stops
 * doing so before the promise ends. */
byte promise[HOSTS] = NONE;
byte lease[HOSTS];

/* What the checker remembers. */
byte leaderOf[TERMS + 1] = NONE;
byte chosen[ENTRIES];
byte chosenLen;
byte losses;

#define AT(h, i) log[(h) * ENTRIES + (i) - 1]
#define BIT(h) (1 << (h))
#define COUNTS_ON(l, f) ((lease[l] & BIT(f)) != 0)
#define SYNCED(l, f, i) (term[f] == term[l] && last[f] >= i && AT(f, i) == AT(l, i))

/* Scratch, reset after use so that it makes no states. */
hidden byte i;
hidden byte n;
hidden byte size;
hidden byte kind;
hidden byte p;
hidden byte ok;
hidden byte member;

/* view_of: kind becomes what host h knows of host x by its log up to upTo. */
inline view_of(h, x, upTo) {
	kind = VOTER;
	i = 1;
	do
	:: i > upTo -> break
	:: else ->
		if
		:: KIND_OF(AT(h, i)) == ADMIT(x) -> kind = LEARNER
		:: KIND_OF(AT(h, i)) == PROMOTE(x) -> kind = VOTER_AGAIN
		:: else
		fi;
		i++
	od
}

/* knows: the folder of host x is the one that kind stands for. */
#define KNOWS(x) (folder[x] == (kind != VOTER))

/* quorum_size: a majority of the voters in h's log. */
inline quorum_size(h) {
	n = 0;
	size = 0;
	do
	:: n == HOSTS -> break
	:: else ->
		view_of(h, n, last[h]);
		size = size + (kind != LEARNER -> 1 : 0);
		n++
	od;
	size = size / 2 + 1
}

/* reached: a quorum keeps its promise to leader l. ok becomes the answer. */
inline reached(l) {
	quorum_size(l);
	n = 0;
	do
	:: n == HOSTS -> break
	:: else ->
		view_of(l, n, last[l]);
		if
		:: size > 0 && kind != LEARNER && KNOWS(n) && (n == l || COUNTS_ON(l, n)) -> size--
		:: else
		fi;
		n++
	od;
	ok = (size == 0)
}

/* current: leader l has reached a quorum and applied an entry of its term. */
inline current(l) {
	reached(l);
#ifdef NO_LEASE_CHECK
	ok = 1;
#endif
	ok = ok && commit[l] > 0;
	if
	:: ok -> ok = (TERM_OF(AT(l, commit[l])) == term[l])
	:: else
	fi
}

/* follow: host h enters term t, or steps down as leader or candidate. */
inline follow(h, t) {
	if
	:: t > term[h] -> term[h] = t; vote[h] = NONE
	:: else
	fi;
	role[h] = FOLLOWER;
	lease[h] = 0;
	commit[h] = 0
}

/* append_own: leader l adds an entry to its log. */
inline append_own(l, k) {
	last[l]++;
	AT(l, last[l]) = ENTRY(term[l], k)
}

/* campaign: a voter that has heard from no leader stands for election. */
inline campaign(h) {
	view_of(h, h, last[h]);
	if
	:: kind != LEARNER && KNOWS(h) -> follow(h, term[h] + 1); role[h] = CANDIDATE; vote[h] = h
	:: else
	fi
}

/* vote_for: host v votes for candidate c. */
inline vote_for(v, c) {
	ok = (term[c] > term[v] || term[c] == term[v] && vote[v] == NONE);
#ifndef VOTE_AFTER_LOST_DISK
	ok = ok && !fresh[v];
#endif
#ifndef VOTE_DESPITE_PROMISE
	ok = ok && promise[v] == NONE;
#endif
#ifndef VOTE_FOR_OLD_LOG
	p = (last[c] == 0 -> 0 : TERM_OF(AT(c, last[c])));
	n = (last[v] == 0 -> 0 : TERM_OF(AT(v, last[v])));
	ok = ok && (p > n || p == n && last[c] >= last[v]);
#endif
	if
	:: ok && role[v] == LEADER -> reached(v); ok = !ok
	:: else
	fi;
	if
	:: ok -> follow(v, term[c]); vote[v] = c
	:: else
	fi
}

/* become_leader: a quorum has voted, each from the folder that is known. */
inline become_leader(h) {
	quorum_size(h);
	n = 0;
	do
	:: n == HOSTS -> break
	:: else ->
		view_of(h, n, last[h]);
		member = (kind != LEARNER && KNOWS(n));
#ifdef VOTE_AFTER_LOST_DISK
		member = 1;
#endif
		if
		:: member && size > 0 && term[n] == term[h] && vote[n] == h -> size--
		:: else
		fi;
		n++
	od;
	if
	:: size == 0 ->
		assert(leaderOf[term[h]] == NONE);
		leaderOf[term[h]] = h;
		i = 1;
		do
		:: i > chosenLen -> break
		:: else -> assert(last[h] >= i && AT(h, i) == chosen[i - 1]); i++
		od;
		role[h] = LEADER;
		append_own(h, PLAIN)
	:: else
	fi
}

/* take: host f takes the next entry that it lacks from leader l, or a
 * heartbeat. A new folder hears nothing before its admission is committed. */
inline take(l, f) {
	view_of(l, f, commit[l]);
	ok = (kind == LEARNER);
	view_of(l, f, last[l]);
	ok = term[l] >= term[f] && KNOWS(f) && (kind != LEARNER || ok);
	if
	:: ok ->
		fresh[f] = 0;
		if
		:: term[l] > term[f] || role[f] == CANDIDATE -> follow(f, term[l])
		:: else
		fi;
		promise[f] = l;
		lease[l] = lease[l] | BIT(f);
		p = 1;
		do
		:: p <= last[f] && p <= last[l] && AT(f, p) == AT(l, p) -> p++
		:: else -> break
		od;
		if
		:: p <= last[l] ->
			i = p;
			do
			:: i > last[f] -> break
			:: else -> AT(f, i) = 0; i++
			od;
			last[f] = p;
			AT(f, p) = AT(l, p)
		:: else
		fi
	:: else
	fi
}

/* advance: leader l commits up to the highest index that a quorum has synced
 * and that is of its own term. */
inline advance(l) {
	p = last[l];
	do
	:: p == commit[l] -> break
	:: else ->
		quorum_size(l);
#ifdef COMMIT_WITHOUT_QUORUM
		size = 1;
#endif
		n = 0;
		do
		:: n == HOSTS -> break
		:: else ->
			view_of(l, n, last[l]);
			if
			:: size > 0 && kind != LEARNER && KNOWS(n) && (n == l || SYNCED(l, n, p)) -> size--
			:: else
			fi;
			n++
		od;
		ok = (size == 0);
#ifndef COUNT_OLD_TERM
		ok = ok && TERM_OF(AT(l, p)) == term[l];
#endif
		if
		:: ok -> break
		:: else -> p--
		fi
	od;
	commit[l] = p;
	i = 1;
	do
	:: i > p -> break
	:: else ->
		assert(i > chosenLen || AT(l, i) == chosen[i - 1]);
		if
		:: i > chosenLen -> chosen[i - 1] = AT(l, i); chosenLen = i
		:: else
		fi;
		i++
	od
}

/* read: what leader l serves as current. */
inline read(l) {
	current(l);
	assert(!ok || commit[l] >= chosenLen)
}

/* change_group: a host that came with a fresh folder is to follow without a
 * vote; one that has caught up gets its vote. One change at a time. */
inline change_group(l, x) {
	current(l);
	i = commit[l] + 1;
	do
	:: i > last[l] -> break
	:: else -> ok = ok && KIND_OF(AT(l, i)) == PLAIN; i++
	od;
	view_of(l, x, last[l]);
	if
	:: ok && kind == VOTER && fresh[x] -> append_own(l, ADMIT(x)); lease[l] = lease[l] & (7 - BIT(x))
	:: ok && kind == LEARNER && !fresh[x] && SYNCED(l, x, 1) -> append_own(l, PROMOTE(x))
	:: else
	fi
}

/* restart: all but what is synced is gone. A host that may have promised a
 * leader waits as if it had just done so. */
inline restart(h) {
	role[h] = FOLLOWER;
	lease[h] = 0;
	commit[h] = 0;
#ifdef FORGET_PROMISE
	promise[h] = NONE;
#endif
#ifdef FORGET_VOTE
	vote[h] = NONE;
#endif
#ifdef ACKNOWLEDGE_BEFORE_SYNC
	if
	:: last[h] > 0 -> AT(h, last[h]) = 0; last[h]--
	:: else
	fi;
#endif
	skip
}

/* lose: a host's data folder is gone; it starts with a new one. */
inline lose(h) {
	restart(h);
	losses++;
	folder[h] = 1;
	fresh[h] = 1;
	term[h] = 0;
	vote[h] = NONE;
	promise[h] = NONE;
	i = 1;
	do
	:: i > last[h] -> break
	:: else -> AT(h, i) = 0; i++
	od;
	last[h] = 0
}

/* expire: time has passed for the promise of host h. */
inline expire(h, x, y) {
	lease[x] = lease[x] & (7 - BIT(h));
	lease[y] = lease[y] & (7 - BIT(h));
	promise[h] = NONE
}

#define STEP(h) d_step { h; i = 0; n = 0; size = 0; kind = 0; p = 0; ok = 0; member = 0 }

/* steps: what host a does, by itself or with host b. */
inline steps(a, b, c) {
	if
	:: role[a] != LEADER && !fresh[a] && promise[a] == NONE && term[a] < TERMS -> STEP(campaign(a))
	:: role[a] == CANDIDATE && term[a] >= term[b] -> STEP(vote_for(b, a))
	:: role[a] == CANDIDATE && term[a] >= term[c] -> STEP(vote_for(c, a))
	:: role[a] == CANDIDATE && last[a] < ENTRIES -> STEP(become_leader(a))
	:: role[a] == LEADER -> STEP(take(a, b))
	:: role[a] == LEADER -> STEP(take(a, c))
	:: role[a] == LEADER && commit[a] < last[a] -> STEP(advance(a))
	:: role[a] == LEADER -> STEP(read(a))
	:: role[a] == LEADER && last[a] < ENTRIES -> STEP(change_group(a, b))
	:: role[a] == LEADER && last[a] < ENTRIES -> STEP(change_group(a, c))
	:: role[a] == LEADER && last[a] < ENTRIES -> STEP(append_own(a, PLAIN))
	:: promise[a] != NONE || COUNTS_ON(b, a) || COUNTS_ON(c, a) -> STEP(expire(a, b, c))
#if defined(FORGET_PROMISE) || defined(FORGET_VOTE) || defined(ACKNOWLEDGE_BEFORE_SYNC)
	:: STEP(restart(a))
#else
	:: role[a] != FOLLOWER -> STEP(restart(a))
#endif
	:: losses < LOSSES && a == HOSTS - 1 - losses -> STEP(lose(a))
	fi
}

active proctype group() {
	/* With its terms used up a group may rest. */
end:
	do
	:: atomic { steps(0, 1, 2) }
	:: atomic { steps(1, 2, 0) }
	:: atomic { steps(2, 0, 1) }
	od
}
