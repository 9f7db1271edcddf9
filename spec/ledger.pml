/*
 * The ledger: at most one start for a submission key, a single outcome, and no
 * refusal of a copy whose task was started. One key, one task, two entries that
 * each get a copy of the submission, three agents. Agents 0 and 1 form the first
 * view; agent 2 is an incarnation that joins later. Tasks run at agents 1 and 2.
 * A crashed process takes no further step, so all properties here are safety
 * properties, asserted at the steps that could violate them.
 *
 * Each guard has a macro that removes it; check.sh requires that the checker
 * then finds a violation. The macros below bound the environment.
 */
#ifndef EPOCHS
#define EPOCHS 3            /* views, including the first */
#endif
#ifndef DEATHS
#define DEATHS 1            /* agents declared dead */
#endif
#ifndef LATE
#define LATE 0              /* requests that are overtaken by a newer copy */
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
 * QUICK is for checking view changes: a held job starts and ends in one step, is
 * not idempotent and is not released, and agent 2 learns of each view at once.
 */
#ifndef AGAIN
#define AGAIN 0             /* an entry may get another copy after it answered notRun */
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

/* TaskState at an agent; no request in flight can start a Barred task. */
#define NotStarted 0
#define Running    1
#define Done       2
#define Barred     3

/* Phases of an entry. */
#define Idle     0
#define Asking   1
#define Waiting  2
#define Holding  3
#define Started  4
#define Fencing  5
#define Answered 6

/* ---- control group: directory and views ---- */
byte epoch;
byte primary[VIEWS];
byte members[VIEWS];
byte joining[VIEWS];
bool restarted;
bool lostAt[VIEWS];         /* the shard was restarted without its records */
bool entryDead;             /* entry 0 is declared dead, although it may merely be frozen */
bool agentDead[3];
byte deaths;
bool agentJoined;           /* agent 2 is a member of the system */

/* ---- agents ---- */
byte directoryEpoch[3];     /* newest epoch in the agent's directory */
byte state[3], holder[3], claim[3], origin[3], sequence[3], written[3];
bool takenOver[3];          /* the record was taken over from a former holder */
byte freed[3];              /* newest claim under which each entry released the key, 4 bits each */
bool copyDone;              /* agent 2 has a complete copy */
bool fenced[3];             /* entry 0 is fenced */
bool entryUnknown;          /* agent 2's directory never listed entry 0 as alive */
byte task[3];

/* one write or read in progress at a primary, under the key's lock */
byte opKind[3], opEntry[3], opClaim[3], opEpoch[3], opAcked[3];
bool opUnanswered[3], opChanged[3];
byte opState[3], opHolder[3], opHolderClaim[3], opOrigin[3], opSequence[3];
bool opTakenOver[3];
byte opFreed[3];

/* ---- entries ---- */
byte phase[2];
byte jobClaim[2];           /* claim of the entry's current job */
byte request[2];            /* request that awaits a reply */
byte inFlight[2];           /* request in flight; 0 once received or lost */
byte resubmitted[2];        /* number of further copies of the submission received */
byte lateRequest[2], lateClaim[2], lateCopy[2]; /* an older copy of a request, still in flight */
bool lateSent;
bool granted[2];            /* the hold of the current job was acknowledged */
byte runCopy[2];            /* the copy of the submission that the entry runs */
byte startsInFlight[2];     /* mask of agents with a start in flight */
byte startAgent[2];         /* agent of the start in question */
byte fenceList, fenceAcked;
bool startUncertain;
byte answered[2];
byte losses;                /* lost replies */

/* ---- used by the assertions ---- */
bool idempotent;
byte starts;
byte startedFrom, notRun;   /* masks of copies */

#define COPY(e)  ((e) + 2 * resubmitted[e])
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

/* A member of the operation's view that has not answered and never will. */
#define SILENT(a, b) (HAS(ALL(opEpoch[a]) & ~opAcked[a], b) && (!CURRENT(b) || directoryEpoch[b] != opEpoch[a]))

#define FREED(a, e) ((freed[a] >> (4 * (e))) & 15)
#define GIVEN_BACK(a, e, c) (c <= FREED(a, e))

#ifdef NO_CLAIM
#define HELD_BY(a, e, c) (state[a] == Held && holder[a] == e)
#define MAY_HOLD(a, e, c) (state[a] == None || state[a] == Released)
#else
#define HELD_BY(a, e, c) (state[a] == Held && holder[a] == e && claim[a] == c)
#define MAY_HOLD(a, e, c) (state[a] == None || (state[a] == Released && !GIVEN_BACK(a, e, c)) || (state[a] == Held && holder[a] == e && c > claim[a] && !takenOver[a]))
#endif

/* The job was held before the shard was lost, and has not been taken over since. */
#ifdef LOST_HOLDER
#define HELD_BEFORE(a, e) (state[a] == None && lostAt[directoryEpoch[a]] && granted[e])
#else
#define HELD_BEFORE(a, e) (state[a] == None && lostAt[directoryEpoch[a]] && granted[e] && !(e == 0 && entryDead))
#endif

inline ask(e, kind) {
	phase[e] = Asking; request[e] = kind; inFlight[e] = kind; startAgent[e] = 0
}

/* hold_again holds the key under a new claim, a bounded number of times. */
inline hold_again(e) {
	if
	:: jobClaim[e] < ANEW -> jobClaim[e]++; ask(e, Hold)
	:: else -> phase[e] = Answered; request[e] = 0; inFlight[e] = 0; startAgent[e] = 0
	fi
}

inline answer_caller(e, outcome) {
	phase[e] = Answered; granted[e] = false; request[e] = 0; inFlight[e] = 0; startAgent[e] = 0;
	if
	:: outcome == Refused || outcome == Released ->
		notRun = notRun | BIT(COPY(e));
		/* notRun implies no start, neither before nor (checked in begin_task) after */
		assert(!HAS(startedFrom, COPY(e)));
		assert(idempotent || starts == 0)
	:: outcome == Unknown -> skip
	:: else ->
		answered[e] = outcome;
		/* all answers for the key are the same, complete or failed; unknownOutcome is
		 * compatible with either */
		assert(outcome == Complete || outcome == Failed);
		assert(answered[1 - e] == None || answered[1 - e] == outcome);
		assert(outcome == Failed || starts == 1)
	fi
}

/* record_release records the claim under which an entry releases the key. */
inline record_release(a, e, c) {
	if
	:: c > FREED(a, e) -> freed[a] = (freed[a] & ~(15 << (4 * e))) | (c << (4 * e))
	:: else
	fi
}

/* apply executes a request on the primary's own record. */
inline apply(a, kind, e, c, copy) {
	opChanged[a] = true;
	if
	:: kind == Hold && MAY_HOLD(a, e, c) && !(e == 0 && entryDead) ->
		state[a] = Held; holder[a] = e; claim[a] = c; takenOver[a] = false; origin[a] = copy;
#ifndef NO_LOST_AT
		if :: lostAt[directoryEpoch[a]] -> state[a] = Unknown :: else fi
#endif
	:: kind == Takeover && state[a] == Held && holder[a] == 0 && e == 1 && entryDead ->
		holder[a] = 1; claim[a] = c; takenOver[a] = true
	:: kind == FinishComplete && (HELD_BY(a, e, c) || HELD_BEFORE(a, e)) ->
		state[a] = Complete; holder[a] = e; claim[a] = c
	:: kind == FinishComplete && !HELD_BY(a, e, c) && !HELD_BEFORE(a, e) && state[a] == None && lostAt[directoryEpoch[a]] ->
		state[a] = Unknown; holder[a] = e; claim[a] = c
	:: kind == FinishFailed && (HELD_BY(a, e, c) || MAY_HOLD(a, e, c)) ->
		if
		:: !HELD_BY(a, e, c) && !HELD_BEFORE(a, e) && lostAt[directoryEpoch[a]] -> state[a] = Unknown
		:: else -> state[a] = Failed
		fi;
		holder[a] = e; claim[a] = c
	:: kind == FinishNotRun && idempotent && state[a] == Released && c > FREED(a, e) -> record_release(a, e, c)
	:: kind == FinishNotRun && !(idempotent && state[a] == Released) && (HELD_BY(a, e, c) || MAY_HOLD(a, e, c)) ->
		if
#ifndef NO_LOST_AT
		:: !HELD_BY(a, e, c) && lostAt[directoryEpoch[a]] -> state[a] = Unknown
		:: HELD_BY(a, e, c) || !lostAt[directoryEpoch[a]] ->
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
		record_release(a, e, c);
		holder[a] = e; claim[a] = c
	:: else -> opChanged[a] = false
	fi;
	if :: opChanged[a] -> sequence[a]++ :: else fi;
	written[a] = directoryEpoch[a];
	opKind[a] = kind; opEntry[a] = e; opClaim[a] = c; opEpoch[a] = directoryEpoch[a]; opAcked[a] = BIT(a);
	opState[a] = state[a]; opHolder[a] = holder[a]; opHolderClaim[a] = claim[a];
	opOrigin[a] = origin[a]; opSequence[a] = sequence[a]; opTakenOver[a] = takenOver[a]; opFreed[a] = freed[a]
}

inline endOp(a) {
	opKind[a] = 0; opEntry[a] = 0; opClaim[a] = 0; opEpoch[a] = 0; opAcked[a] = 0; opUnanswered[a] = false; opChanged[a] = false;
	opState[a] = 0; opHolder[a] = 0; opHolderClaim[a] = 0; opOrigin[a] = 0; opSequence[a] = 0; opTakenOver[a] = false; opFreed[a] = 0
}

/* reply returns the record to the requesting entry. */
inline reply(e, kind, s, h, c, o) {
	if
	:: s == Complete || s == Failed || s == Refused || s == Unknown -> answer_caller(e, s)
	:: s == Released && kind == FinishNotRun -> answer_caller(e, Released)
	:: (s == None || s == Released) && kind != FinishNotRun ->
		assert(kind != FinishComplete && kind != FinishFailed);
		hold_again(e)
	:: s == Held && (h != e || c != jobClaim[e]) && !(h == e) -> request[e] = 0; inFlight[e] = 0; phase[e] = Waiting
	:: s == Held && h == e && c != jobClaim[e] -> hold_again(e)
	:: s == Held && h == e && c == jobClaim[e] && kind == Takeover ->
		request[e] = 0; inFlight[e] = 0; phase[e] = Fencing; runCopy[e] = o; granted[e] = true;
		/* every agent that was a member while the lost entry was alive */
		fenceList = BIT(1) | ((JOIN && agentJoined) << 2)
	:: s == Held && h == e && c == jobClaim[e] && kind != Takeover ->
		request[e] = 0; inFlight[e] = 0; phase[e] = Holding; runCopy[e] = o; granted[e] = true
	fi
}

/* answer completes an operation that every member has acknowledged. */
inline answer(a) {
	if
	:: LEFT(a) == 0 ->
		/* no copy was started before a refusal is recorded */
		assert(!(opKind[a] == FinishNotRun && opChanged[a] && opState[a] != Unknown && starts > 0));
		if
		:: !opUnanswered[a] && losses < LOSSES -> losses++
		:: !opUnanswered[a] -> reply(opEntry[a], opKind[a], opState[a], opHolder[a], opHolderClaim[a], opOrigin[a])
		:: else
		fi;
		endOp(a)
	:: else
	fi
}

inline apply_replica(b, a) {
	if
	:: opEpoch[a] > written[b] || (opEpoch[a] == written[b] && opSequence[a] > sequence[b]) ->
		state[b] = opState[a]; holder[b] = opHolder[a]; claim[b] = opHolderClaim[a]; origin[b] = opOrigin[a];
		takenOver[b] = opTakenOver[a]; freed[b] = opFreed[a]; sequence[b] = opSequence[a]; written[b] = opEpoch[a]
	:: else
	fi
}

/* Replicate from primary a to member b, which refuses if its epoch is newer. */
inline replicate(a, b) {
	if
#ifdef NO_EPOCH
	:: true ->
#else
	:: directoryEpoch[b] > opEpoch[a] -> endOp(a)
	:: else ->
#endif
		opAcked[a] = opAcked[a] | BIT(b);
#ifdef NO_RECONFIRM
		if :: opChanged[a] -> apply_replica(b, a) :: else fi;
#else
		apply_replica(b, a);
#endif
		answer(a)
	fi
}

#define TO(a, b) (opKind[a] != 0 && HAS(ALL(opEpoch[a]) & ~opAcked[a], b) && CURRENT(b) && directoryEpoch[b] >= opEpoch[a])
#define FREE(a)  (opKind[a] == 0 && CURRENT(a) && primary[directoryEpoch[a]] == a)

inline begin_task(a, e) {
	task[a] = Running; starts++;
	startedFrom = startedFrom | BIT(runCopy[e]);
	assert(starts <= 1);
	assert(!HAS(notRun, runCopy[e]));
	assert(idempotent || notRun == 0)
}

proctype Agent(byte a) {
end:	do
	/* the primary receives a request: the newest or a delayed copy */
	:: atomic { FREE(a) && inFlight[0] -> apply(a, inFlight[0], 0, jobClaim[0], COPY(0)); inFlight[0] = 0; answer(a) }
	:: atomic { FREE(a) && inFlight[1] -> apply(a, inFlight[1], 1, jobClaim[1], COPY(1)); inFlight[1] = 0; answer(a) }
	:: atomic { FREE(a) && lateRequest[0] -> apply(a, lateRequest[0], 0, lateClaim[0], lateCopy[0]); lateRequest[0] = 0; opUnanswered[a] = true; answer(a) }
	:: atomic { FREE(a) && lateRequest[1] -> apply(a, lateRequest[1], 1, lateClaim[1], lateCopy[1]); lateRequest[1] = 0; opUnanswered[a] = true; answer(a) }
	:: atomic { TO(a, 0) -> replicate(a, 0) }
	:: atomic { TO(a, 1) -> replicate(a, 1) }
	:: atomic { TO(a, 2) -> replicate(a, 2) }
	/* a member does not answer: the write remains in doubt */
	:: atomic { opKind[a] != 0 && (SILENT(a, 0) || SILENT(a, 1) || SILENT(a, 2)) -> endOp(a) }
	/* the directory is updated; after a loss of all members records are dropped */
	:: atomic { directoryEpoch[a] < epoch && !agentDead[a] && (a != 2 || agentJoined) ->
		directoryEpoch[a] = epoch;
		if
		:: restarted -> state[a] = None; holder[a] = 0; claim[a] = 0; origin[a] = 0; takenOver[a] = false; freed[a] = 0; sequence[a] = 0; written[a] = 0
		:: else
		fi }
	/* Start */
	:: atomic { HAS(startsInFlight[0], a) ->
		startsInFlight[0] = startsInFlight[0] & ~BIT(a);
		if
		:: CURRENT(a) && !fenced[a] && !(a == 2 && entryUnknown) && task[a] == NotStarted -> begin_task(a, 0)
		:: else -> if :: phase[0] == Started && startAgent[0] == a && task[a] != Running && task[a] != Done -> phase[0] = Holding; startAgent[0] = 0 :: else fi
		fi }
	:: atomic { HAS(startsInFlight[1], a) ->
		startsInFlight[1] = startsInFlight[1] & ~BIT(a);
		if
		:: CURRENT(a) && task[a] == NotStarted -> begin_task(a, 1)
		:: else -> if :: phase[1] == Started && startAgent[1] == a && task[a] != Running && task[a] != Done -> phase[1] = Holding; startAgent[1] = 0 :: else fi
		fi }
	:: atomic { task[a] == Running && !agentDead[a] -> task[a] = Done }
	od
}


/* The joining member copies the shard from the primary of its epoch. */
proctype Joiner() {
end:	do
	:: atomic { !copyDone && joining[directoryEpoch[2]] == BIT(2) && directoryEpoch[2] == epoch && CURRENT(2) && CURRENT(primary[epoch]) && directoryEpoch[primary[epoch]] == epoch ->
#ifndef NO_COPY
		if
		:: written[primary[epoch]] > written[2] || (written[primary[epoch]] == written[2] && sequence[primary[epoch]] > sequence[2]) ->
			state[2] = state[primary[epoch]]; holder[2] = holder[primary[epoch]]; claim[2] = claim[primary[epoch]];
			origin[2] = origin[primary[epoch]]; takenOver[2] = takenOver[primary[epoch]]; freed[2] = freed[primary[epoch]];
			sequence[2] = sequence[primary[epoch]]; written[2] = written[primary[epoch]]
		:: else
		fi;
#endif
		copyDone = true }
	od
}

/* PENDING: a primary is processing the entry's request. */
#define AT_WORK(a, e) (opKind[a] != 0 && opEntry[a] == e && !opUnanswered[a])
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
		startUncertain = true
#endif
	:: else ->
#ifndef NO_FENCE
		fenced[a] = true;
#endif
		if :: task[a] == Running || task[a] == Done -> startAgent[1] = a :: else fi
	fi
}

proctype Entry(byte e) {
end:	do
	/* a copy of the submission arrives: the key is held or refused */
	:: atomic { phase[e] == Idle -> ask(e, Hold) }
	:: atomic { e == 1 && phase[1] == Idle -> ask(1, FinishNotRun) }
#ifdef REFUSE_UNASKED
	:: atomic { e == 1 && phase[1] == Idle -> answer_caller(1, Released) }
#endif
	:: atomic { phase[e] == Answered && AGAIN && idempotent && jobClaim[e] < 2 && HAS(notRun, COPY(e)) -> jobClaim[e]++; resubmitted[e]++; phase[e] = Idle }
	/* no reply: retry under the same incarnation; the old copy is lost or delayed */
	:: atomic { phase[e] == Asking && inFlight[e] == 0 && !PENDING(e) -> inFlight[e] = request[e] }
	:: atomic { phase[e] == Asking && inFlight[e] != 0 && LATE && !lateSent -> lateRequest[e] = inFlight[e]; lateClaim[e] = jobClaim[e]; lateCopy[e] = COPY(e); lateSent = true }
	/* a hold in doubt is abandoned, after the key was recorded as failed */
	:: atomic { phase[e] == Asking && request[e] == Hold && inFlight[e] == 0 && !PENDING(e) ->
#ifdef UNSETTLED_HOLD
		answer_caller(e, Released) }
#else
		ask(e, FinishFailed) }
#endif
	/* another entry holds the key */
	:: atomic { phase[e] == Waiting -> ask(e, Look) }
	:: atomic { e == 1 && phase[1] == Waiting && entryDead && jobClaim[1] < CLAIMS ->
#ifndef OLD_CLAIM
		jobClaim[1]++;
#endif
		ask(1, Takeover) }
	/* the key is held: start the task or release the key */
#ifdef QUICK
	:: atomic { phase[e] == Holding && !(e == 0 && fenced[1]) ->
		starts++; startedFrom = startedFrom | BIT(runCopy[e]);
		assert(starts <= 1 && !HAS(notRun, runCopy[e]) && (idempotent || notRun == 0));
		ask(e, FinishComplete) }
#else
	:: atomic { phase[e] == Holding && !agentDead[1] && task[1] != Barred && !HAS(startsInFlight[e], 1) -> startsInFlight[e] = startsInFlight[e] | BIT(1); startAgent[e] = 1; phase[e] = Started }
	:: atomic { phase[e] == Holding && JOIN && agentJoined && task[2] != Barred && !HAS(startsInFlight[e], 2) -> startsInFlight[e] = startsInFlight[e] | BIT(2); startAgent[e] = 2; phase[e] = Started }
	:: atomic { e == 0 && phase[0] == Holding -> ask(0, FinishNotRun) }
#endif
	/* the start's answer is recorded before it is sent to the caller */
	:: atomic { phase[e] == Started && !HAS(startsInFlight[e], startAgent[e]) && task[startAgent[e]] == Done && !agentDead[startAgent[e]] ->
#ifdef ANSWER_FIRST
		answer_caller(e, Complete) }
#else
		ask(e, FinishComplete) }
#endif
	/* the agent is lost */
	:: atomic { phase[e] == Started && agentDead[startAgent[e]] -> ask(e, FinishFailed) }
	/* contact is lost: Ask with bar before any new start */
#ifdef RESTART_ON_LOSS
	:: atomic { phase[e] == Started && !agentDead[startAgent[e]] -> phase[e] = Holding; startAgent[e] = 0 }
#else
	:: atomic { phase[e] == Started && !agentDead[startAgent[e]] && task[startAgent[e]] == NotStarted ->
#ifndef NO_BAR
		task[startAgent[e]] = Barred;
#endif
		phase[e] = Holding; startAgent[e] = 0 }
#endif
	/* Fence entry 0 at every agent, and query the state of the task */
	:: atomic { e == 1 && phase[1] == Fencing && HAS(fenceList & ~fenceAcked, 1) -> fence(1) }
	:: atomic { e == 1 && phase[1] == Fencing && (fenceList & ~fenceAcked) == BIT(2) -> fence(2) }
	:: atomic { e == 1 && phase[1] == Fencing && fenceAcked == fenceList ->
		fenceAcked = 0; fenceList = 0;
		if
#ifdef QUICK
		:: starts > 0 -> ask(1, FinishFailed)
		:: starts == 0 && startUncertain -> ask(1, FinishFailed)
		:: starts == 0 && !startUncertain -> phase[1] = Holding
#else
		:: startAgent[1] != 0 -> phase[1] = Started
		:: startAgent[1] == 0 && startUncertain -> ask(1, FinishFailed)
		:: startAgent[1] == 0 && !startUncertain -> phase[1] = Holding
#endif
		fi;
		startUncertain = false }
	od
}


/* drop_member installs the next view, without member m. */
inline drop_member(m) {
	epoch++;
	lostAt[epoch] = lostAt[epoch - 1];
#ifdef QUICK
	directoryEpoch[2] = epoch;
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
	/* entry 0 is declared dead; it may merely be frozen and resume later */
	:: atomic { LOST && !entryDead -> entryDead = true;
#ifndef ANY_COORDINATOR
		entryUnknown = !agentJoined
#else
		entryUnknown = false
#endif
		}
	/* an agent whose lease has expired is declared dead */
	:: atomic { deaths < DEATHS && !agentDead[0] -> agentDead[0] = true; deaths++ }
	:: atomic { deaths < DEATHS && !agentDead[1] -> agentDead[1] = true; deaths++ }
	:: atomic { JOIN && agentJoined && deaths < DEATHS && !agentDead[2] -> agentDead[2] = true; deaths++ }
	:: atomic { JOIN && !agentJoined -> agentJoined = true }
	/* an unresponsive or dead member is dropped; a complete one remains */
	:: atomic { agentJoined && epoch < EPOCHS - 1 && epoch != 1 && HAS(members[epoch], 0) -> drop_member(0) }
	:: atomic { agentJoined && epoch < EPOCHS - 1 && epoch != 1 && HAS(members[epoch], 1) -> drop_member(1) }
	:: atomic { agentJoined && epoch < EPOCHS - 1 && epoch == 2 && HAS(members[epoch], 2) && !restarted -> drop_member(2) }
	/* Copied: the joining member is complete, and may become primary */
	:: atomic { epoch == 1 && epoch < EPOCHS - 1 && joining[1] == BIT(2) && copyDone ->
		epoch = 2; members[2] = members[1] | BIT(2);
#ifdef QUICK
		directoryEpoch[2] = epoch;
#endif
		if :: primary[2] = primary[1] :: primary[2] = 2 fi }
	/* all members are lost: the shard restarts once their leases have expired */
	:: atomic { agentJoined && epoch < EPOCHS - 1 && !restarted && (members[epoch] & ~((agentDead[0] << 0) | (agentDead[1] << 1))) == 0 ->
		epoch++; members[epoch] = BIT(2); primary[epoch] = 2; restarted = true;
		/* a later submission is known to be younger than the loss */
		lostAt[epoch] = (phase[0] != Idle || phase[1] != Idle) }
	od
}

init {
	atomic {
		agentJoined = !JOIN;
#ifdef QUICK
		idempotent = false;
#else
		if :: idempotent = true :: idempotent = false fi;
#endif
		members[0] = BIT(0) | BIT(1);
		jobClaim[0] = 1; jobClaim[1] = 1;
		run Agent(0); run Agent(1); run Agent(2); run Joiner();
		run Entry(0); run Entry(1);
		run Control()
	}
}
