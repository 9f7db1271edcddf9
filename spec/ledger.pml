/*
 * The ledger: at most one start for a submission key, true refusals, one
 * outcome. One key, one task, two entries that each get a copy of the
 * submission, three agents. Agents 0 and 1 are the first view; agent 2 is an
 * incarnation that joins later. Tasks run at agents 1 and 2. A process that
 * has crashed is one that takes no further step, so all properties here are
 * safety properties, asserted where they could break.
 *
 * Each guard has a macro that removes it; check.sh requires that the checker
 * then finds a violation. The macros EPOCHS, DEATHS, LATE and AGAIN bound the
 * environment.
 */
#ifndef EPOCHS
#define EPOCHS 3            /* views, the first included */
#endif
#ifndef DEATHS
#define DEATHS 1            /* agents declared dead */
#endif
#ifndef LATE
#define LATE 0              /* requests that arrive after a newer copy */
#endif
#ifndef LOST
#define LOST 0              /* entry 0 may be declared dead */
#endif
#ifndef LOSSES
#define LOSSES 1            /* replies of primaries that are lost */
#endif
#ifndef JOIN
#define JOIN 0              /* agent 2 may join the system, and run tasks */
#endif
/*
 * QUICK is for views: a held job starts and ends in one step, is not
 * idempotent and is not given back, and agent 2 hears of each view at once.
 */
#ifndef AGAIN
#define AGAIN 0             /* an entry may get another copy after notRun */
#endif

#define VIEWS     4
#define CLAIMS    3
#ifdef QUICK
#define ANEW      1
#else
#define ANEW      2
#endif
#define BIT(n)    (1 << (n))
#define HAS(m, n) (((m) >> (n)) & 1)

/* KeyState; Finished is split by outcome. */
#define None     0
#define Held     1
#define Complete 2
#define Failed   3
#define Refused  4
#define Released 5
#define Unknown  6          /* Failed with reason unknownOutcome */

/* Requests to a primary. */
#define Hold           1
#define Takeover       2
#define FinishComplete 3
#define FinishFailed   4
#define FinishNotRun   5
#define Look           6

/* TaskState at an agent; Barred can't start from any request on its way. */
#define NotStarted 0
#define Running    1
#define Done       2
#define Barred     3

/* Phases of an entry. */
#define Idle    0
#define Asking  1
#define Waiting 2
#define Holding 3
#define Started 4
#define Fencing 5
#define Told    6

/* ---- control group: directory and views ---- */
byte epoch;
byte primary[VIEWS];
byte members[VIEWS];
byte joining[VIEWS];
bool restarted;
bool lostAt[VIEWS];        /* the shard was restarted without its records */
bool dead;                  /* entry 0 is declared dead; it may be frozen only */
bool agentDead[3];
byte deaths;
bool joined;                /* agent 2 is a member of the system */

/* ---- agents ---- */
byte seen[3];               /* newest epoch in the agent's directory */
byte state[3], holder[3], claim[3], origin[3], sequence[3], written[3];
bool former[3];             /* the record was taken over: it has former holders */
byte freed[3];              /* newest claim of each entry that gave the key back, 4 bits each */
bool copied;                /* agent 2 holds a whole copy */
bool fenced[3];             /* entry 0 is fenced */
bool stranger;              /* agent 2's directory never had entry 0 alive */
byte task[3];

/* one write or read under way at a primary, under the lock of the key */
byte opKind[3], opEntry[3], opClaim[3], opEpoch[3], opAcked[3];
bool opDeaf[3], opChanged[3];
byte opState[3], opHolder[3], opHolderClaim[3], opOrigin[3], opSequence[3];
bool opFormer[3];
byte opFreed[3];

/* ---- entries ---- */
byte phase[2];
byte mine[2];               /* claim of the entry's present job */
byte asked[2];              /* request that waits for a reply */
byte sent[2];               /* request in flight; 0 once taken or lost */
byte again[2];              /* how often another copy of the submission came */
byte late[2], lateClaim[2], lateCopy[2]; /* an older copy of a request, still in flight */
bool spent;
bool granted[2];            /* the hold of the present job was acknowledged */
byte from[2];               /* the copy of the submission that the entry runs */
byte starts_to[2];          /* mask of agents with a start in flight */
byte at[2];                 /* agent of the start in question */
byte fenceList, fenceAcked;
bool unproved;
byte told[2];
byte losses;                /* replies that were lost */

/* ---- the judge ---- */
bool idempotent;
byte starts;
byte startedFrom, notRun;   /* masks of copies */

#define COPY(e)  ((e) + 2 * again[e])
#define ALL(n)   (members[n] | joining[n])

#ifdef NO_LEASE
#define CURRENT(a) true
#else
#define CURRENT(a) (!agentDead[a])
#endif

#ifdef PRIMARY_ALONE
#define LEFT(a) 0
#else
#ifdef UNCOUNTED_JOINING
#define LEFT(a) (members[opEpoch[a]] & ~opAcked[a])
#else
#ifdef STALE_READ
#define LEFT(a) (opKind[a] == Look -> 0 : ALL(opEpoch[a]) & ~opAcked[a])
#else
#define LEFT(a) (ALL(opEpoch[a]) & ~opAcked[a])
#endif
#endif
#endif

/* A member of the op's view that has not answered and will not. */
#define SILENT(a, b) (HAS(ALL(opEpoch[a]) & ~opAcked[a], b) && (!CURRENT(b) || seen[b] != opEpoch[a]))

#define FREED(a, e) ((freed[a] >> (4 * (e))) & 15)
#define GIVEN_BACK(a, e, c) (c <= FREED(a, e))

#ifdef NO_CLAIM
#define HELD_BY(a, e, c) (state[a] == Held && holder[a] == e)
#define MAY_HOLD(a, e, c) (state[a] == None || state[a] == Released)
#else
#define HELD_BY(a, e, c) (state[a] == Held && holder[a] == e && claim[a] == c)
#define MAY_HOLD(a, e, c) (state[a] == None || (state[a] == Released && !GIVEN_BACK(a, e, c)) || (state[a] == Held && holder[a] == e && c > claim[a] && !former[a]))
#endif

/* The job was held before the shard was lost, and was not taken over since. */
#ifdef LOST_HOLDER
#define HELD_BEFORE(a, e) (state[a] == None && lostAt[seen[a]] && granted[e])
#else
#define HELD_BEFORE(a, e) (state[a] == None && lostAt[seen[a]] && granted[e] && !(e == 0 && dead))
#endif

inline ask(e, kind) {
	phase[e] = Asking; asked[e] = kind; sent[e] = kind; at[e] = 0
}

/* anew holds the key under a new claim; how often is bounded. */
inline anew(e) {
	if
	:: mine[e] < ANEW -> mine[e]++; ask(e, Hold)
	:: else -> phase[e] = Told; asked[e] = 0; sent[e] = 0; at[e] = 0
	fi
}

inline tell(e, outcome) {
	phase[e] = Told; granted[e] = false; asked[e] = 0; sent[e] = 0; at[e] = 0;
	if
	:: outcome == Refused || outcome == Released ->
		notRun = notRun | BIT(COPY(e));
		/* notRun implies no start, before and (Agent) after */
		assert(!HAS(startedFrom, COPY(e)));
		assert(idempotent || starts == 0)
	:: outcome == Unknown -> skip
	:: else ->
		told[e] = outcome;
		/* complete or failed, and all answers to the key agree; unknownOutcome says nothing */
		assert(outcome == Complete || outcome == Failed);
		assert(told[1 - e] == None || told[1 - e] == outcome);
		assert(outcome == Failed || starts == 1)
	fi
}

/* free notes the claim under which an entry gives the key back. */
inline free(a, e, c) {
	if
	:: c > FREED(a, e) -> freed[a] = (freed[a] & ~(15 << (4 * e))) | (c << (4 * e))
	:: else
	fi
}

/* change applies a request to the primary's own record. */
inline change(a, kind, e, c, copy) {
	opChanged[a] = true;
	if
	:: kind == Hold && MAY_HOLD(a, e, c) && !(e == 0 && dead) ->
		state[a] = Held; holder[a] = e; claim[a] = c; former[a] = false; origin[a] = copy;
#ifndef NO_LOST_AT
		if :: lostAt[seen[a]] -> state[a] = Unknown :: else fi
#endif
	:: kind == Takeover && state[a] == Held && holder[a] == 0 && e == 1 && dead ->
		holder[a] = 1; claim[a] = c; former[a] = true
	:: kind == FinishComplete && (HELD_BY(a, e, c) || HELD_BEFORE(a, e)) ->
		state[a] = Complete; holder[a] = e; claim[a] = c
	:: kind == FinishComplete && !HELD_BY(a, e, c) && !HELD_BEFORE(a, e) && state[a] == None && lostAt[seen[a]] ->
		state[a] = Unknown; holder[a] = e; claim[a] = c
	:: kind == FinishFailed && (HELD_BY(a, e, c) || MAY_HOLD(a, e, c)) ->
		if
		:: !HELD_BY(a, e, c) && !HELD_BEFORE(a, e) && lostAt[seen[a]] -> state[a] = Unknown
		:: else -> state[a] = Failed
		fi;
		holder[a] = e; claim[a] = c
	:: kind == FinishNotRun && idempotent && state[a] == Released && c > FREED(a, e) -> free(a, e, c)
	:: kind == FinishNotRun && !(idempotent && state[a] == Released) && (HELD_BY(a, e, c) || MAY_HOLD(a, e, c)) ->
		if
#ifndef NO_LOST_AT
		:: !HELD_BY(a, e, c) && lostAt[seen[a]] -> state[a] = Unknown
		:: HELD_BY(a, e, c) || !lostAt[seen[a]] ->
#else
		:: true ->
#endif
			if
#ifdef UNRECORDED_REFUSAL
			:: state[a] = Released
#else
			:: idempotent -> state[a] = Released
			:: !idempotent -> state[a] = Refused
#endif
			fi
		fi;
		free(a, e, c);
		holder[a] = e; claim[a] = c
	:: else -> opChanged[a] = false
	fi;
	if :: opChanged[a] -> sequence[a]++ :: else fi;
	written[a] = seen[a];
	opKind[a] = kind; opEntry[a] = e; opClaim[a] = c; opEpoch[a] = seen[a]; opAcked[a] = BIT(a);
	opState[a] = state[a]; opHolder[a] = holder[a]; opHolderClaim[a] = claim[a];
	opOrigin[a] = origin[a]; opSequence[a] = sequence[a]; opFormer[a] = former[a]; opFreed[a] = freed[a]
}

inline endOp(a) {
	opKind[a] = 0; opEntry[a] = 0; opClaim[a] = 0; opEpoch[a] = 0; opAcked[a] = 0; opDeaf[a] = false; opChanged[a] = false;
	opState[a] = 0; opHolder[a] = 0; opHolderClaim[a] = 0; opOrigin[a] = 0; opSequence[a] = 0; opFormer[a] = false; opFreed[a] = 0
}

/* reply brings the record to the entry that asked. */
inline reply(e, kind, s, h, c, o) {
	if
	:: s == Complete || s == Failed || s == Refused || s == Unknown -> tell(e, s)
	:: s == Released && kind == FinishNotRun -> tell(e, Released)
	:: (s == None || s == Released) && kind != FinishNotRun ->
		assert(kind != FinishComplete && kind != FinishFailed);
		anew(e)
	:: s == Held && (h != e || c != mine[e]) && !(h == e) -> asked[e] = 0; sent[e] = 0; phase[e] = Waiting
	:: s == Held && h == e && c != mine[e] -> anew(e)
	:: s == Held && h == e && c == mine[e] && kind == Takeover ->
		asked[e] = 0; sent[e] = 0; phase[e] = Fencing; from[e] = o; granted[e] = true;
		/* every agent that was a member during the lost entry's time */
		fenceList = BIT(1) | ((JOIN && joined) << 2)
	:: s == Held && h == e && c == mine[e] && kind != Takeover ->
		asked[e] = 0; sent[e] = 0; phase[e] = Holding; from[e] = o; granted[e] = true
	fi
}

/* answer ends an op that every member has. */
inline answer(a) {
	if
	:: LEFT(a) == 0 ->
		/* a refusal is true of all copies when it is recorded */
		assert(!(opKind[a] == FinishNotRun && opChanged[a] && opState[a] != Unknown && starts > 0));
		if
		:: !opDeaf[a] && losses < LOSSES -> losses++
		:: !opDeaf[a] -> reply(opEntry[a], opKind[a], opState[a], opHolder[a], opHolderClaim[a], opOrigin[a])
		:: else
		fi;
		endOp(a)
	:: else
	fi
}

inline store(b, a) {
	if
	:: opEpoch[a] > written[b] || (opEpoch[a] == written[b] && opSequence[a] > sequence[b]) ->
		state[b] = opState[a]; holder[b] = opHolder[a]; claim[b] = opHolderClaim[a]; origin[b] = opOrigin[a];
		former[b] = opFormer[a]; freed[b] = opFreed[a]; sequence[b] = opSequence[a]; written[b] = opEpoch[a]
	:: else
	fi
}

/* Replicate from primary a to member b; one with a newer epoch refuses. */
inline replicate(a, b) {
	if
#ifdef NO_EPOCH
	:: true ->
#else
	:: seen[b] > opEpoch[a] -> endOp(a)
	:: else ->
#endif
		opAcked[a] = opAcked[a] | BIT(b);
#ifdef NO_RECONFIRM
		if :: opChanged[a] -> store(b, a) :: else fi;
#else
		store(b, a);
#endif
		answer(a)
	fi
}

#define TO(a, b) (opKind[a] != 0 && HAS(ALL(opEpoch[a]) & ~opAcked[a], b) && CURRENT(b) && seen[b] >= opEpoch[a])
#define FREE(a)  (opKind[a] == 0 && CURRENT(a) && primary[seen[a]] == a)

inline begin(a, e) {
	task[a] = Running; starts++;
	startedFrom = startedFrom | BIT(from[e]);
	assert(starts <= 1);
	assert(!HAS(notRun, from[e]));
	assert(idempotent || notRun == 0)
}

proctype Agent(byte a) {
end:	do
	/* the primary takes a request: the newest or a late copy */
	:: atomic { FREE(a) && sent[0] -> change(a, sent[0], 0, mine[0], COPY(0)); sent[0] = 0; answer(a) }
	:: atomic { FREE(a) && sent[1] -> change(a, sent[1], 1, mine[1], COPY(1)); sent[1] = 0; answer(a) }
	:: atomic { FREE(a) && late[0] -> change(a, late[0], 0, lateClaim[0], lateCopy[0]); late[0] = 0; opDeaf[a] = true; answer(a) }
	:: atomic { FREE(a) && late[1] -> change(a, late[1], 1, lateClaim[1], lateCopy[1]); late[1] = 0; opDeaf[a] = true; answer(a) }
	:: atomic { TO(a, 0) -> replicate(a, 0) }
	:: atomic { TO(a, 1) -> replicate(a, 1) }
	:: atomic { TO(a, 2) -> replicate(a, 2) }
	/* a silent member: the write stays in doubt */
	:: atomic { opKind[a] != 0 && (SILENT(a, 0) || SILENT(a, 1) || SILENT(a, 2)) -> endOp(a) }
	/* the directory moves up; after a loss of all members records are dropped */
	:: atomic { seen[a] < epoch && !agentDead[a] && (a != 2 || joined) ->
		seen[a] = epoch;
		if
		:: restarted -> state[a] = None; holder[a] = 0; claim[a] = 0; origin[a] = 0; former[a] = false; freed[a] = 0; sequence[a] = 0; written[a] = 0
		:: else
		fi }
	/* Start */
	:: atomic { HAS(starts_to[0], a) ->
		starts_to[0] = starts_to[0] & ~BIT(a);
		if
		:: CURRENT(a) && !fenced[a] && !(a == 2 && stranger) && task[a] == NotStarted -> begin(a, 0)
		:: else -> if :: phase[0] == Started && at[0] == a && task[a] != Running && task[a] != Done -> phase[0] = Holding; at[0] = 0 :: else fi
		fi }
	:: atomic { HAS(starts_to[1], a) ->
		starts_to[1] = starts_to[1] & ~BIT(a);
		if
		:: CURRENT(a) && task[a] == NotStarted -> begin(a, 1)
		:: else -> if :: phase[1] == Started && at[1] == a && task[a] != Running && task[a] != Done -> phase[1] = Holding; at[1] = 0 :: else fi
		fi }
	:: atomic { task[a] == Running && !agentDead[a] -> task[a] = Done }
	od
}


/* Copy by the joining member from the primary of its epoch. */
proctype Joiner() {
end:	do
	:: atomic { !copied && joining[seen[2]] == BIT(2) && seen[2] == epoch && CURRENT(2) && CURRENT(primary[epoch]) && seen[primary[epoch]] == epoch ->
#ifndef NO_COPY
		if
		:: written[primary[epoch]] > written[2] || (written[primary[epoch]] == written[2] && sequence[primary[epoch]] > sequence[2]) ->
			state[2] = state[primary[epoch]]; holder[2] = holder[primary[epoch]]; claim[2] = claim[primary[epoch]];
			origin[2] = origin[primary[epoch]]; former[2] = former[primary[epoch]]; freed[2] = freed[primary[epoch]];
			sequence[2] = sequence[primary[epoch]]; written[2] = written[primary[epoch]]
		:: else
		fi;
#endif
		copied = true }
	od
}

/* PENDING: a primary is at work on the entry's request. */
#define AT_WORK(a, e) (opKind[a] != 0 && opEntry[a] == e && !opDeaf[a])
#define PENDING(e) (AT_WORK(0, e) || AT_WORK(1, e) || AT_WORK(2, e))

inline fence(a) {
	fenceAcked = fenceAcked | BIT(a);
	if
	:: agentDead[a] ->
#ifdef UNPROVED_START
		skip
#else
#ifdef QUICK
		fenced[a] = true;
#endif
		unproved = true
#endif
	:: else ->
#ifndef NO_FENCE
		fenced[a] = true;
#endif
		if :: task[a] == Running || task[a] == Done -> at[1] = a :: else fi
	fi
}

proctype Entry(byte e) {
end:	do
	/* a copy of the submission arrives: it is held, or refused */
	:: atomic { phase[e] == Idle -> ask(e, Hold) }
	:: atomic { e == 1 && phase[1] == Idle -> ask(1, FinishNotRun) }
#ifdef REFUSE_UNASKED
	:: atomic { e == 1 && phase[1] == Idle -> tell(1, Released) }
#endif
	:: atomic { phase[e] == Told && AGAIN && idempotent && mine[e] < 2 && HAS(notRun, COPY(e)) -> mine[e]++; again[e]++; phase[e] = Idle }
	/* no reply: ask again under the same incarnation; the old copy is lost or late */
	:: atomic { phase[e] == Asking && sent[e] == 0 && !PENDING(e) -> sent[e] = asked[e] }
	:: atomic { phase[e] == Asking && sent[e] != 0 && LATE && !spent -> late[e] = sent[e]; lateClaim[e] = mine[e]; lateCopy[e] = COPY(e); spent = true }
	/* a hold in doubt is given up: the key is recorded as failed first */
	:: atomic { phase[e] == Asking && asked[e] == Hold && sent[e] == 0 && !PENDING(e) ->
#ifdef UNSETTLED_HOLD
		tell(e, Released) }
#else
		ask(e, FinishFailed) }
#endif
	/* another entry holds the key */
	:: atomic { phase[e] == Waiting -> ask(e, Look) }
	:: atomic { e == 1 && phase[1] == Waiting && dead && mine[1] < CLAIMS ->
#ifndef OLD_CLAIM
		mine[1]++;
#endif
		ask(1, Takeover) }
	/* the key is held: start, or give it back */
#ifdef QUICK
	:: atomic { phase[e] == Holding && !(e == 0 && fenced[1]) ->
		starts++; startedFrom = startedFrom | BIT(from[e]);
		assert(starts <= 1 && !HAS(notRun, from[e]) && (idempotent || notRun == 0));
		ask(e, FinishComplete) }
#else
	:: atomic { phase[e] == Holding && !agentDead[1] && task[1] != Barred && !HAS(starts_to[e], 1) -> starts_to[e] = starts_to[e] | BIT(1); at[e] = 1; phase[e] = Started }
	:: atomic { phase[e] == Holding && JOIN && joined && task[2] != Barred && !HAS(starts_to[e], 2) -> starts_to[e] = starts_to[e] | BIT(2); at[e] = 2; phase[e] = Started }
	:: atomic { e == 0 && phase[0] == Holding -> ask(0, FinishNotRun) }
#endif
	/* the start's answer is recorded before it is sent to the caller */
	:: atomic { phase[e] == Started && !HAS(starts_to[e], at[e]) && task[at[e]] == Done && !agentDead[at[e]] ->
#ifdef ANSWER_FIRST
		tell(e, Complete) }
#else
		ask(e, FinishComplete) }
#endif
	/* the agent is lost */
	:: atomic { phase[e] == Started && agentDead[at[e]] -> ask(e, FinishFailed) }
	/* contact is lost: Ask with bar, never a new start */
#ifdef RESTART_ON_LOSS
	:: atomic { phase[e] == Started && !agentDead[at[e]] -> phase[e] = Holding; at[e] = 0 }
#else
	:: atomic { phase[e] == Started && !agentDead[at[e]] && task[at[e]] == NotStarted ->
#ifndef NO_BAR
		task[at[e]] = Barred;
#endif
		phase[e] = Holding; at[e] = 0 }
#endif
	/* Fence entry 0 at every agent, and learn what became of the task */
	:: atomic { e == 1 && phase[1] == Fencing && HAS(fenceList & ~fenceAcked, 1) -> fence(1) }
	:: atomic { e == 1 && phase[1] == Fencing && (fenceList & ~fenceAcked) == BIT(2) -> fence(2) }
	:: atomic { e == 1 && phase[1] == Fencing && fenceAcked == fenceList ->
		fenceAcked = 0; fenceList = 0;
		if
#ifdef QUICK
		:: starts > 0 -> ask(1, FinishFailed)
		:: starts == 0 && unproved -> ask(1, FinishFailed)
		:: starts == 0 && !unproved -> phase[1] = Holding
#else
		:: at[1] != 0 -> phase[1] = Started
		:: at[1] == 0 && unproved -> ask(1, FinishFailed)
		:: at[1] == 0 && !unproved -> phase[1] = Holding
#endif
		fi;
		unproved = false }
	od
}


/* drop makes the next view, without member m. */
inline drop(m) {
	epoch++;
	lostAt[epoch] = lostAt[epoch - 1];
#ifdef QUICK
	seen[2] = epoch;
#endif
#ifdef NO_SHARED_MEMBER
	members[epoch] = BIT(2); primary[epoch] = 2
#else
	members[epoch] = members[epoch - 1] & ~BIT(m);
	if :: epoch == 1 -> joining[epoch] = BIT(2) :: else fi;
	if
	:: HAS(members[epoch], 0) -> primary[epoch] = 0
	:: !HAS(members[epoch], 0) && HAS(members[epoch], 1) -> primary[epoch] = 1
	:: else -> primary[epoch] = 2
	fi
#endif
}

proctype Control() {
end:	do
	/* entry 0 is declared dead; it may be frozen and wake later */
	:: atomic { LOST && !dead -> dead = true;
#ifndef ANY_COORDINATOR
		stranger = !joined
#else
		stranger = false
#endif
		}
	/* an agent whose lease ran out is declared dead */
	:: atomic { deaths < DEATHS && !agentDead[0] -> agentDead[0] = true; deaths++ }
	:: atomic { deaths < DEATHS && !agentDead[1] -> agentDead[1] = true; deaths++ }
	:: atomic { JOIN && joined && deaths < DEATHS && !agentDead[2] -> agentDead[2] = true; deaths++ }
	:: atomic { JOIN && !joined -> joined = true }
	/* a silent or dead member is dropped; a complete one stays */
	:: atomic { joined && epoch < EPOCHS - 1 && epoch != 1 && HAS(members[epoch], 0) -> drop(0) }
	:: atomic { joined && epoch < EPOCHS - 1 && epoch != 1 && HAS(members[epoch], 1) -> drop(1) }
	:: atomic { joined && epoch < EPOCHS - 1 && epoch == 2 && HAS(members[epoch], 2) && !restarted -> drop(2) }
	/* Copied: the joining member is complete, and may lead */
	:: atomic { epoch == 1 && epoch < EPOCHS - 1 && joining[1] == BIT(2) && copied ->
		epoch = 2; members[2] = members[1] | BIT(2);
#ifdef QUICK
		seen[2] = epoch;
#endif
		if :: primary[2] = primary[1] :: primary[2] = 2 fi }
	/* all members are lost: restart after the end of their leases */
	:: atomic { joined && epoch < EPOCHS - 1 && !restarted && (members[epoch] & ~((agentDead[0] << 0) | (agentDead[1] << 1))) == 0 ->
		epoch++; members[epoch] = BIT(2); primary[epoch] = 2; restarted = true;
		/* what is submitted later is provably younger */
		lostAt[epoch] = (phase[0] != Idle || phase[1] != Idle) }
	od
}

init {
	atomic {
		joined = !JOIN;
#ifdef QUICK
		idempotent = false;
#else
		if :: idempotent = true :: idempotent = false fi;
#endif
		members[0] = BIT(0) | BIT(1);
		mine[0] = 1; mine[1] = 1;
		run Agent(0); run Agent(1); run Agent(2); run Joiner();
		run Entry(0); run Entry(1);
		run Control()
	}
}
