/*
 * The replicated log of the control group (lib/quorum): elections, appends,
 * isolated leaders, a lost data folder and its readmission.
 *
 * Each step is one iteration of a node's loop, and is synced before other hosts
 * can observe it. A message that is delayed or lost is a step that is taken
 * later or never; an isolated host is one whose steps towards the others are
 * not taken for a while. Votes and acknowledgements are read from the state of
 * the host that gave them: counting one late is equivalent to counting it at
 * once, since only the receiver's state depends on it.
 *
 * Checked: at most one leader per term (leaderOf); each later leader has all
 * committed entries unchanged (committed); a leader that serves reads as current
 * has all committed entries (serve_read).
 *
 * Bounds: TERMS, ENTRIES, LOSSES. Not modelled: pre-vote, which only limits the
 * growth of terms; snapshots, which are equivalent to a prefix of the log;
 * Admit and Remove of other hosts; damaged files, at which a host stops.
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

/* An entry encodes its term and its kind: plain, admit(h) or promote(h). */
#define PLAIN 0
#define ADMIT(h) (1 + (h))
#define PROMOTE(h) (4 + (h))
#define ENTRY(t, k) ((t) * 8 + (k))
#define TERM_OF(e) ((e) / 8)
#define KIND_OF(e) ((e) % 8)

/* The membership of a host according to a log. */
#define VOTER 0
#define LEARNER 1
#define VOTER_AGAIN 2

/* State on disk: term and vote, log, and number of the data folder. */
byte term[HOSTS];
byte vote[HOSTS] = NONE;
byte last[HOSTS];
byte log[HOSTS * ENTRIES];
bit folder[HOSTS];
/* A new folder belongs to no group yet. */
bit newFolder[HOSTS];

/* State in memory, lost with the process; commit is used by leaders only. */
byte role[HOSTS];
byte commit[HOSTS];

/* promise: the leader from which a host has received a message within the
 * election timeout. lease: the hosts on whose promise a leader relies, one bit
 * each; it stops relying on a promise before the promise expires. */
byte promise[HOSTS] = NONE;
byte lease[HOSTS];

/* Used by the assertions only. */
byte leaderOf[TERMS + 1] = NONE;
byte committed[ENTRIES];
byte committedLen;
byte losses;

#define AT(h, i) log[(h) * ENTRIES + (i) - 1]
#define BIT(h) (1 << (h))
#define COUNTS_ON(l, f) ((lease[l] & BIT(f)) != 0)
#define SYNCED(l, f, i) (term[f] == term[l] && last[f] >= i && AT(f, i) == AT(l, i))

/* Temporary variables, reset after use so that they add no states. */
hidden byte i;
hidden byte n;
hidden byte size;
hidden byte membership;
hidden byte p;
hidden byte ok;
hidden byte member;

/* membership_of: sets membership to that of host x in h's log up to upTo. */
inline membership_of(h, x, upTo) {
	membership = VOTER;
	i = 1;
	do
	:: i > upTo -> break
	:: else ->
		if
		:: KIND_OF(AT(h, i)) == ADMIT(x) -> membership = LEARNER
		:: KIND_OF(AT(h, i)) == PROMOTE(x) -> membership = VOTER_AGAIN
		:: else
		fi;
		i++
	od
}

/* KNOWS: the folder of host x is the one that membership refers to. */
#define KNOWS(x) (folder[x] == (membership != VOTER))

/* quorum_size: sets size to a majority of the voters in h's log. */
inline quorum_size(h) {
	n = 0;
	size = 0;
	do
	:: n == HOSTS -> break
	:: else ->
		membership_of(h, n, last[h]);
		size = size + (membership != LEARNER -> 1 : 0);
		n++
	od;
	size = size / 2 + 1
}

/* quorum_reached: sets ok if a quorum still keeps its promise to leader l. */
inline quorum_reached(l) {
	quorum_size(l);
	n = 0;
	do
	:: n == HOSTS -> break
	:: else ->
		membership_of(l, n, last[l]);
		if
		:: size > 0 && membership != LEARNER && KNOWS(n) && (n == l || COUNTS_ON(l, n)) -> size--
		:: else
		fi;
		n++
	od;
	ok = (size == 0)
}

/* current: sets ok if leader l has reached a quorum and committed an entry of
 * its term. */
inline current(l) {
	quorum_reached(l);
#ifdef NO_LEASE_CHECK
	ok = 1;
#endif
	ok = ok && commit[l] > 0;
	if
	:: ok -> ok = (TERM_OF(AT(l, commit[l])) == term[l])
	:: else
	fi
}

/* enter_term: host h enters term t, or steps down as leader or candidate. */
inline enter_term(h, t) {
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

/* campaign: a voter without a leader starts an election. */
inline campaign(h) {
	membership_of(h, h, last[h]);
	if
	:: membership != LEARNER && KNOWS(h) -> enter_term(h, term[h] + 1); role[h] = CANDIDATE; vote[h] = h
	:: else
	fi
}

/* vote_for: host v votes for candidate c. */
inline vote_for(v, c) {
	ok = (term[c] > term[v] || term[c] == term[v] && vote[v] == NONE);
#ifndef VOTE_AFTER_LOST_DISK
	ok = ok && !newFolder[v];
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
	:: ok && role[v] == LEADER -> quorum_reached(v); ok = !ok
	:: else
	fi;
	if
	:: ok -> enter_term(v, term[c]); vote[v] = c
	:: else
	fi
}

/* become_leader: candidate h has the votes of a quorum; votes count only from
 * the folder that is recorded in its log. */
inline become_leader(h) {
	quorum_size(h);
	n = 0;
	do
	:: n == HOSTS -> break
	:: else ->
		membership_of(h, n, last[h]);
		member = (membership != LEARNER && KNOWS(n));
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
		:: i > committedLen -> break
		:: else -> assert(last[h] >= i && AT(h, i) == committed[i - 1]); i++
		od;
		role[h] = LEADER;
		append_own(h, PLAIN)
	:: else
	fi
}

/* replicate: host f accepts the next missing entry from leader l, or a
 * heartbeat. A host with a new folder gets neither before its admission is
 * committed. */
inline replicate(l, f) {
	membership_of(l, f, commit[l]);
	ok = (membership == LEARNER);
	membership_of(l, f, last[l]);
	ok = term[l] >= term[f] && KNOWS(f) && (membership != LEARNER || ok);
	if
	:: ok ->
		newFolder[f] = 0;
		if
		:: term[l] > term[f] || role[f] == CANDIDATE -> enter_term(f, term[l])
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
			membership_of(l, n, last[l]);
			if
			:: size > 0 && membership != LEARNER && KNOWS(n) && (n == l || SYNCED(l, n, p)) -> size--
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
		assert(i > committedLen || AT(l, i) == committed[i - 1]);
		if
		:: i > committedLen -> committed[i - 1] = AT(l, i); committedLen = i
		:: else
		fi;
		i++
	od
}

/* serve_read: leader l answers a read as current. */
inline serve_read(l) {
	current(l);
	assert(!ok || commit[l] >= committedLen)
}

/* change_group: a host with a new folder is admitted as a learner; a learner
 * that has caught up is promoted to voter. One change at a time. */
inline change_group(l, x) {
	current(l);
	i = commit[l] + 1;
	do
	:: i > last[l] -> break
	:: else -> ok = ok && KIND_OF(AT(l, i)) == PLAIN; i++
	od;
	membership_of(l, x, last[l]);
	if
	:: ok && membership == VOTER && newFolder[x] -> append_own(l, ADMIT(x)); lease[l] = lease[l] & (7 - BIT(x))
	:: ok && membership == LEARNER && !newFolder[x] && SYNCED(l, x, 1) -> append_own(l, PROMOTE(x))
	:: else
	fi
}

/* restart: only state on disk survives. A host that may have made a promise to
 * a leader waits as if it had just made it. */
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

/* lose_folder: a host loses its data folder and starts with a new one. */
inline lose_folder(h) {
	restart(h);
	losses++;
	folder[h] = 1;
	newFolder[h] = 1;
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

/* expire_promise: the promise of host h times out. */
inline expire_promise(h, x, y) {
	lease[x] = lease[x] & (7 - BIT(h));
	lease[y] = lease[y] & (7 - BIT(h));
	promise[h] = NONE
}

#define STEP(h) d_step { h; i = 0; n = 0; size = 0; membership = 0; p = 0; ok = 0; member = 0 }

/* steps: the steps of host a, alone or with host b or c. */
inline steps(a, b, c) {
	if
	:: role[a] != LEADER && !newFolder[a] && promise[a] == NONE && term[a] < TERMS -> STEP(campaign(a))
	:: role[a] == CANDIDATE && term[a] >= term[b] -> STEP(vote_for(b, a))
	:: role[a] == CANDIDATE && term[a] >= term[c] -> STEP(vote_for(c, a))
	:: role[a] == CANDIDATE && last[a] < ENTRIES -> STEP(become_leader(a))
	:: role[a] == LEADER -> STEP(replicate(a, b))
	:: role[a] == LEADER -> STEP(replicate(a, c))
	:: role[a] == LEADER && commit[a] < last[a] -> STEP(advance(a))
	:: role[a] == LEADER -> STEP(serve_read(a))
	:: role[a] == LEADER && last[a] < ENTRIES -> STEP(change_group(a, b))
	:: role[a] == LEADER && last[a] < ENTRIES -> STEP(change_group(a, c))
	:: role[a] == LEADER && last[a] < ENTRIES -> STEP(append_own(a, PLAIN))
	:: promise[a] != NONE || COUNTS_ON(b, a) || COUNTS_ON(c, a) -> STEP(expire_promise(a, b, c))
#if defined(FORGET_PROMISE) || defined(FORGET_VOTE) || defined(ACKNOWLEDGE_BEFORE_SYNC)
	:: STEP(restart(a))
#else
	:: role[a] != FOLLOWER -> STEP(restart(a))
#endif
	:: losses < LOSSES && a == HOSTS - 1 - losses -> STEP(lose_folder(a))
	fi
}

active proctype group() {
	/* A group that has used all its terms may end here. */
end:
	do
	:: atomic { steps(0, 1, 2) }
	:: atomic { steps(1, 2, 0) }
	:: atomic { steps(2, 0, 1) }
	od
}
