/*
 * The ledger: at most one start for a submission key, true refusals, one
 * outcome. One key, one task, two entries that both get a copy of the
 * submission, three agents. Agents 0 and 1 are the first view; agent 2 is an
 * incarnation that joins later. A process that crashed is one that takes no
 * further step, so every property here is a safety property.
 *
 * Each guard has a macro that removes it (spec/check.sh); the checker must
 * then find a violation.
 */
#define AGENTS  3
#define ENTRIES 2
/* Budgets of the environment; check.sh runs several combinations. */
#ifndef EPOCHS
#define EPOCHS 3            /* views, the first included */
#endif
#ifndef DEATHS
#define DEATHS 1            /* agents declared dead */
#endif
#ifndef LATE
#define LATE 0              /* requests that arrive late, after another copy */
#endif
#define BIT(n)  (1 << (n))
#define HAS(m, n) (((m) >> (n)) & 1)

/* Record.state (proto/ledger.proto KeyState; Finished is told by outcome). */
#define None     0
#define Held     1
#define Complete 2
#define Failed   3
#define Refused  4
#define Released 5

/* Requests to a primary. */
#define Hold     1
#define Takeover 2
#define FinishComplete 3
#define FinishFailed   4
#define Release  5
#define Refuse   6
#define Look     7

/* Task states at an agent. */
#define NotStarted 0
#define Running    1
#define Done       2
#define TaskFailed 3
#define Barred     4

/* Phases of an entry. */
#define Idle     0
#define Asking   1
#define Waiting  2
#define Holding  3
#define Started  4
#define Fencing  5
#define Told     6

/* ---- control group ---- */
byte epoch;
byte primaryOf[EPOCHS];
byte members[EPOCHS];
byte joining[EPOCHS];
bool lost;                  /* the shard was restarted with lost_at_millis */
bool lostAt[EPOCHS];
bool dead[ENTRIES];         /* entry incarnations declared dead */
bool agentDead[AGENTS];     /* agent incarnations declared dead */
byte deaths;
bool joined2;               /* agent 2 is a member of the system */

/* ---- agents ---- */
byte seen[AGENTS];          /* newest epoch in the agent's directory */
byte state[AGENTS], holder[AGENTS], origin[AGENTS], sequence[AGENTS], written[AGENTS];
bool copied;                /* agent 2 holds a whole copy for its epoch */
byte fenced[AGENTS];        /* mask of entry incarnations */
byte coordinators[AGENTS];  /* the agent's copy of the membership */
byte task[AGENTS];

/* one write or read under way at a primary: the key lock */
byte opKind[AGENTS], opEntry[AGENTS], opEpoch[AGENTS], opAcked[AGENTS];
bool opDeaf[AGENTS], opChanged[AGENTS];
byte opState[AGENTS], opHolder[AGENTS], opOrigin[AGENTS], opSequence[AGENTS];

/* ---- entries ---- */
byte phase[ENTRIES];
byte asked[ENTRIES];        /* kind of the request that waits for a reply */
byte sent[ENTRIES];         /* request in flight, 0 if taken or lost */
byte late[ENTRIES];         /* an older copy of a request, still in flight */
bool spent;                 /* one late copy in all */
byte from[ENTRIES];         /* whose copy of the submission the entry runs */
byte starts_to[ENTRIES];    /* mask of agents with a start in flight */
byte at[ENTRIES];           /* agent of the start in question */
byte fenceList[ENTRIES], fenceAcked[ENTRIES];
bool unproved[ENTRIES];
byte told[ENTRIES];
bool toldNotRun[ENTRIES];

/* ---- the judge ---- */
bool idempotent;
byte starts;
bool startedFrom[ENTRIES];

#define ALL(e) (members[e] | joining[e])

#ifdef NO_LEASE
#define CURRENT(a) true
#else
#define CURRENT(a) (!agentDead[a])
#endif

#ifdef PRIMARY_ALONE
#define ACKED(a) true
#else
#ifdef STALE_READ
#define ACKED(a) (opKind[a] == Look || (opAcked[a] & ALL(opEpoch[a])) == ALL(opEpoch[a]))
#else
#ifdef UNCOUNTED_JOINING
#define ACKED(a) ((opAcked[a] & members[opEpoch[a]]) == members[opEpoch[a]])
#else
#define ACKED(a) ((opAcked[a] & ALL(opEpoch[a])) == ALL(opEpoch[a]))
#endif
#endif
#endif

/* SILENT: a member of the op's view has not answered and will not. */
#define SILENT(a, b) (HAS(ALL(opEpoch[a]) & ~opAcked[a], b) && (!CURRENT(b) || seen[b] != opEpoch[a]))

inline tell(e, outcome) {
	if
	:: outcome == Refused || outcome == Released ->
		toldNotRun[e] = true;
		/* notRun implies no start, now or later */
		assert(!startedFrom[e]);
		assert(idempotent || starts == 0)
	:: else ->
		told[e] = outcome;
		/* all answers to one key agree */
		assert(told[1 - e] == None || told[1 - e] == outcome);
		assert(outcome == Complete || outcome == Failed);
		assert(outcome != Complete || starts == 1)
	fi;
	phase[e] = Told; asked[e] = 0; at[e] = 0; fenceList[e] = 0; fenceAcked[e] = 0; unproved[e] = false
}

inline ask(e, kind) {
	at[e] = 0; fenceList[e] = 0; fenceAcked[e] = 0; unproved[e] = false;
	phase[e] = Asking; asked[e] = kind; sent[e] = kind
}

/* change applies a request to the primary's own record. */
inline change(a, kind, e) {
	opChanged[a] = true;
	if
	:: kind == Hold && (state[a] == None || state[a] == Released) ->
		holder[a] = e; origin[a] = e;
#ifndef NO_LOST_AT
		if :: lostAt[seen[a]] -> state[a] = Failed :: else -> state[a] = Held fi
#else
		state[a] = Held
#endif
	:: kind == Takeover && state[a] == Held && dead[holder[a]] -> holder[a] = e
	:: (kind == FinishComplete || kind == FinishFailed) && ((state[a] == Held && holder[a] == e) || (state[a] == None && lostAt[seen[a]])) ->
		holder[a] = e;
		if :: kind == FinishComplete -> state[a] = Complete :: else -> state[a] = Failed fi
	:: kind == Release && ((state[a] == Held && holder[a] == e) || state[a] == None) ->
		if :: idempotent -> state[a] = Released :: else -> state[a] = Refused fi
#ifndef REFUSE_UNCONFIRMED
	:: kind == Refuse && (state[a] == None || state[a] == Released) ->
		if
#ifndef NO_LOST_AT
		:: lostAt[seen[a]] -> state[a] = Failed
		:: else ->
#else
		:: true ->
#endif
#ifdef UNRECORDED_REFUSAL
			state[a] = Released
#else
			if :: idempotent -> state[a] = Released :: else -> state[a] = Refused fi
#endif
		fi
#endif
	:: else -> opChanged[a] = false
	fi;
	if :: opChanged[a] -> sequence[a]++ :: else fi;
	written[a] = seen[a];
	opState[a] = state[a]; opHolder[a] = holder[a]; opOrigin[a] = origin[a]; opSequence[a] = sequence[a];
	opKind[a] = kind; opEntry[a] = e; opEpoch[a] = seen[a]; opAcked[a] = BIT(a)
}

inline endOp(a) {
	opKind[a] = 0; opEntry[a] = 0; opEpoch[a] = 0; opAcked[a] = 0; opDeaf[a] = false; opChanged[a] = false;
	opState[a] = 0; opHolder[a] = 0; opOrigin[a] = 0; opSequence[a] = 0
}

/* reply brings the record to the entry that asked. */
inline reply(e, kind, s, h, o) {
	asked[e] = 0; sent[e] = 0;
	if
	:: s == Complete || s == Failed -> tell(e, s)
	:: s == Refused -> tell(e, Refused)
	:: s == Released && (kind == Release || kind == Refuse) -> tell(e, Released)
	:: (s == None || s == Released) && (kind == FinishComplete || kind == FinishFailed) -> tell(e, Failed)
	:: (s == None || s == Released) && (kind == Look || kind == Takeover) -> ask(e, Hold)
	:: s == Held && h != e -> phase[e] = Waiting
	:: s == Held && h == e && (kind == Hold || kind == Look) -> phase[e] = Holding; from[e] = o
	:: s == Held && h == e && kind == Takeover ->
		phase[e] = Fencing; from[e] = o;
		/* every agent that was a member during the lost entry's time */
		fenceList[e] = BIT(0) | BIT(1) | (joined2 << 2)
	fi
}

inline store(b, a) {
	if
	:: opEpoch[a] > written[b] || (opEpoch[a] == written[b] && opSequence[a] >= sequence[b]) ->
		state[b] = opState[a]; holder[b] = opHolder[a]; origin[b] = opOrigin[a];
		sequence[b] = opSequence[a]; written[b] = opEpoch[a]
	:: else
	fi
}

proctype Agent(byte a) {
	byte e, b;
end:	do
	/* the primary takes a request: the newest or a late copy */
	:: atomic { opKind[a] == 0 && CURRENT(a) && primaryOf[seen[a]] == a && (sent[0] || sent[1] || late[0] || late[1]) ->
		if
		:: sent[0] -> e = 0; change(a, sent[0], e); sent[0] = 0
		:: sent[1] -> e = 1; change(a, sent[1], e); sent[1] = 0
		:: late[0] -> e = 0; change(a, late[0], e); late[0] = 0; opDeaf[a] = true
		:: late[1] -> e = 1; change(a, late[1], e); late[1] = 0; opDeaf[a] = true
		fi; e = 0 }
	/* Replicate to one member; a member with a newer epoch refuses */
	:: atomic { opKind[a] != 0 && (ALL(opEpoch[a]) & ~opAcked[a]) != 0 ->
		if
		:: !HAS(opAcked[a], 0) && HAS(ALL(opEpoch[a]), 0) -> b = 0
		:: !HAS(opAcked[a], 1) && HAS(ALL(opEpoch[a]), 1) -> b = 1
		:: !HAS(opAcked[a], 2) && HAS(ALL(opEpoch[a]), 2) -> b = 2
		fi;
		if
#ifdef NO_EPOCH
		:: CURRENT(b) && seen[b] >= opEpoch[a] ->
#else
		:: CURRENT(b) && seen[b] > opEpoch[a] -> endOp(a)
		:: CURRENT(b) && seen[b] == opEpoch[a] ->
#endif
			opAcked[a] = opAcked[a] | BIT(b);
#ifdef NO_RECONFIRM
			if :: opChanged[a] -> store(b, a) :: else fi
#else
			store(b, a)
#endif
		:: else
		fi; b = 0 }
	/* every member has it: reply */
	:: atomic { opKind[a] != 0 && ACKED(a) ->
		if
		:: opKind[a] == Refuse && opChanged[a] && opState[a] == Released && idempotent -> assert(starts == 0)
		:: else
		fi;
		if
		:: !opDeaf[a] && asked[opEntry[a]] == opKind[a] -> e = opEntry[a]; reply(e, opKind[a], opState[a], opHolder[a], opOrigin[a])
		:: else
		fi;
		endOp(a); e = 0 }
	/* a silent member: the write stays in doubt */
	:: atomic { opKind[a] != 0 && (SILENT(a, 0) || SILENT(a, 1) || SILENT(a, 2)) -> endOp(a) }
	/* the directory moves up */
	:: atomic { seen[a] < epoch && !agentDead[a] ->
		seen[a] = epoch;
		if
		:: lostAt[epoch] && a == 2 -> state[a] = None; sequence[a] = 0; written[a] = 0
		:: else
		fi }
	/* Copy by the joining member from the primary of its epoch */
	:: atomic { a == 2 && joining[seen[2]] == BIT(2) && seen[2] == epoch && !copied && CURRENT(2) ->
		b = primaryOf[epoch];
		if
		:: CURRENT(b) && seen[b] == epoch ->
#ifndef NO_COPY
			if
			:: written[b] > written[2] || (written[b] == written[2] && sequence[b] > sequence[2]) ->
				state[2] = state[b]; holder[2] = holder[b]; origin[2] = origin[b];
				sequence[2] = sequence[b]; written[2] = written[b]
			:: else
			fi;
#endif
			copied = true
		:: else
		fi; b = 0 }
	/* Start */
	:: atomic { HAS(starts_to[0], a) || HAS(starts_to[1], a) ->
		if :: HAS(starts_to[0], a) -> e = 0 :: HAS(starts_to[1], a) -> e = 1 fi;
		starts_to[e] = starts_to[e] & ~BIT(a);
		if
		:: CURRENT(a) && !HAS(fenced[a], e) && HAS(coordinators[a], e) && task[a] == NotStarted ->
			task[a] = Running; starts++; startedFrom[from[e]] = true;
			assert(starts <= 1);
			assert(!toldNotRun[from[e]]);
			assert(idempotent || !(toldNotRun[0] || toldNotRun[1]))
		:: else ->
			/* answered notStarted */
			if :: phase[e] == Started && at[e] == a && task[a] == NotStarted -> phase[e] = Holding :: else fi
		fi; e = 0 }
	:: atomic { task[a] == Running && !agentDead[a] -> task[a] = Done }
	:: atomic { task[a] == Running && !agentDead[a] -> task[a] = TaskFailed }
	od
}

proctype Entry(byte e) {
	byte a;
end:	do
	/* a copy of the submission arrives: it is held, or refused from the queue's state */
	:: atomic { phase[e] == Idle -> ask(e, Hold) }
	:: atomic { phase[e] == Idle -> ask(e, Refuse) }
#ifdef REFUSE_UNCONFIRMED
	:: atomic { phase[e] == Asking && asked[e] == Refuse -> tell(e, Refused) }
#endif
	/* no reply: ask again under the same incarnation; the old copy is lost or late */
	:: atomic { phase[e] == Asking && asked[e] != 0 && sent[e] == 0 ->
		if :: opKind[0] && opEntry[0] == e -> opDeaf[0] = true :: else fi;
		if :: opKind[1] && opEntry[1] == e -> opDeaf[1] = true :: else fi;
		if :: opKind[2] && opEntry[2] == e -> opDeaf[2] = true :: else fi;
		sent[e] = asked[e] }
	:: atomic { phase[e] == Asking && sent[e] != 0 && !spent && LATE -> late[e] = sent[e]; spent = true }
	/* a hold in doubt is given up: it must be released first */
	:: atomic { phase[e] == Asking && asked[e] == Hold && sent[e] == 0 ->
		if :: opKind[0] && opEntry[0] == e -> opDeaf[0] = true :: else fi;
		if :: opKind[1] && opEntry[1] == e -> opDeaf[1] = true :: else fi;
		if :: opKind[2] && opEntry[2] == e -> opDeaf[2] = true :: else fi;
#ifdef NO_RELEASE
		tell(e, Released) }
#else
		ask(e, Release) }
#endif
	/* another entry holds the key */
	:: atomic { phase[e] == Waiting -> ask(e, Look) }
	:: atomic { phase[e] == Waiting && dead[1 - e] -> ask(e, Takeover) }
	/* the key is held: start, or give it back */
	:: atomic { phase[e] == Holding ->
		if :: a = 0 :: a = 1 :: joined2 -> a = 2 fi;
		if
		:: agentDead[a] || task[a] == Barred || HAS(starts_to[e], a)
		:: else -> starts_to[e] = starts_to[e] | BIT(a); at[e] = a; phase[e] = Started
		fi; a = 0 }
	:: atomic { phase[e] == Holding -> ask(e, Release) }
	/* the start's answer */
	:: atomic { phase[e] == Started && !HAS(starts_to[e], at[e]) && task[at[e]] == Done && !agentDead[at[e]] ->
#ifdef ANSWER_FIRST
		told[e] = Complete; assert(told[1 - e] != Failed);
#endif
		ask(e, FinishComplete) }
	:: atomic { phase[e] == Started && !HAS(starts_to[e], at[e]) && task[at[e]] == TaskFailed -> ask(e, FinishFailed) }
	:: atomic { phase[e] == Started && agentDead[at[e]] -> ask(e, FinishFailed) }
	/* contact lost: Ask{bar}, never a new start */
	:: atomic { phase[e] == Started && !agentDead[at[e]] ->
#ifdef RESTART_ON_LOSS
		phase[e] = Holding }
#else
		if
#ifdef NO_BAR
		:: task[at[e]] == NotStarted -> phase[e] = Holding
#else
		:: task[at[e]] == NotStarted -> task[at[e]] = Barred; phase[e] = Holding
#endif
		:: else
		fi }
#endif
	/* Fence the lost entry at every agent, and learn what became of the task */
	:: atomic { phase[e] == Fencing && fenceAcked[e] != fenceList[e] ->
		if
		:: !HAS(fenceAcked[e], 0) -> a = 0
		:: HAS(fenceAcked[e], 0) && !HAS(fenceAcked[e], 1) -> a = 1
		:: else -> a = 2
		fi;
		fenceAcked[e] = fenceAcked[e] | BIT(a);
		if
		:: agentDead[a] ->
#ifndef UNPROVED_START
			unproved[e] = true
#else
			skip
#endif
		:: else ->
#ifndef NO_FENCE
			fenced[a] = fenced[a] | BIT(1 - e);
#endif
			if :: task[a] == Running || task[a] == Done || task[a] == TaskFailed -> at[e] = a; phase[e] = Started :: else fi
		fi; a = 0 }
	:: atomic { phase[e] == Fencing && fenceAcked[e] == fenceList[e] ->
		if :: unproved[e] -> ask(e, FinishFailed) :: else -> phase[e] = Holding fi }
	od
}

proctype Control() {
	byte m, p;
end:	do
	/* entry 0 is declared dead; it may be frozen and wake later */
	:: atomic { !dead[0] -> dead[0] = true;
#ifndef ANY_COORDINATOR
		if :: !joined2 -> coordinators[2] = BIT(1) :: else fi
#endif
		}
	/* an agent whose lease ran out is declared dead */
	:: atomic { deaths < DEATHS -> 
		if :: !agentDead[0] -> m = 0 :: !agentDead[1] -> m = 1 fi;
		agentDead[m] = true; deaths++; m = 0 }
	/* agent 2 joins the system */
	:: atomic { !joined2 -> joined2 = true }
	/* a silent or dead member is dropped; the new view keeps a complete one */
	:: atomic { epoch < EPOCHS - 1 && joined2 && (epoch == 0 || epoch == 2) ->
		if :: HAS(members[epoch], 0) -> m = 0 :: HAS(members[epoch], 1) -> m = 1 :: HAS(members[epoch], 2) -> m = 2 fi;
		p = members[epoch] & ~BIT(m);
		epoch++;
#ifdef NO_SHARED_MEMBER
		members[epoch] = BIT(2); p = BIT(2);
#else
		members[epoch] = p;
		if :: !HAS(p, 2) && epoch == 1 -> joining[epoch] = BIT(2) :: else fi;
#endif
		if :: HAS(p, 0) -> primaryOf[epoch] = 0 :: HAS(p, 1) -> primaryOf[epoch] = 1 :: else -> primaryOf[epoch] = 2 fi;
		lostAt[epoch] = lostAt[epoch - 1];
		m = 0; p = 0 }
	/* Copied: the joining member counts */
	:: atomic { epoch == 1 && joining[1] == BIT(2) && copied ->
		epoch = 2;
		members[2] = members[1] | BIT(2);
		/* either may lead */
		if :: primaryOf[2] = primaryOf[1] :: primaryOf[2] = 2 fi }
	/* all members are lost: restart, after their leases ran out */
	:: atomic { joined2 && !lost && epoch < EPOCHS - 1 && agentDead[0] && agentDead[1] && !HAS(members[epoch], 2) ->
		lost = true; epoch++;
		members[epoch] = BIT(2); primaryOf[epoch] = 2; lostAt[epoch] = true }
	od
}

init {
	atomic {
		if :: idempotent = true :: idempotent = false fi;
		members[0] = BIT(0) | BIT(1);
		coordinators[0] = BIT(0) | BIT(1);
		coordinators[1] = BIT(0) | BIT(1);
		coordinators[2] = BIT(0) | BIT(1);
		run Agent(0); run Agent(1); run Agent(2);
		run Entry(0); run Entry(1);
		run Control()
	}
}
