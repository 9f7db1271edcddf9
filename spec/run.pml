/*
 * Exclusive runs on leased workers: one task, of a job whose caller may send
 * it again to another entry. The model follows the first run: entry, agent,
 * worker, and the caller. Whoever starts the task another time (this entry at
 * another agent, or the entry that the caller turns to) is taken at its worst:
 * that run starts at the first moment allowed and never ends.
 *
 * Time is in ticks, and passes only once nothing is due. A message to a process
 * that is frozen waits. A process that was killed takes no further step.
 *
 * Each guard has a macro that removes it; check.sh requires that the checker
 * then finds a violation. The macros below bound the environment.
 */
#ifndef ENTRY_KILLS
#define ENTRY_KILLS 0
#endif
#ifndef ENTRY_FREEZES
#define ENTRY_FREEZES 0
#endif
#ifndef AGENT_KILLS
#define AGENT_KILLS 0       /* the agent starts anew as its second incarnation */
#endif
#ifndef AGENT_FREEZES
#define AGENT_FREEZES 0
#endif
#ifndef CRASHES
#define CRASHES 0           /* of the worker, which may start again under its id */
#endif
#ifndef CUT
#define CUT 0               /* messages between entry and agent are late or lost, in either direction */
#endif
#ifndef APART
#define APART 0             /* the agent's stops and holds don't reach the worker */
#endif
#ifndef LATE
#define LATE 0              /* starts that get no answer and are carried out at any later time */
#endif
/*
 * Two macros change the environment. ARRIVAL: the time of a late start is
 * counted from its arrival; then the agent must outlive it, and check.sh
 * requires a violation where it does not. ID_ONLY: orders name the worker's id,
 * which both of its incarnations have, instead of the incarnation; refuted.
 */

/* Ticks. */
#ifndef SESSION
#define SESSION 3           /* from the sending of a Watch */
#endif
#ifndef LEASE
#define LEASE   2           /* of the worker, beyond the end of the session under which it runs a task */
#endif
#define AHEAD   4           /* of the worker, at most */
#define SLOW    1           /* how much longer a lease may last by a slow clock */
#define STOP    1           /* a stop takes less */
#ifndef RESEND
#define RESEND  (SESSION + LEASE + SLOW)  /* the caller's pause */
#endif
#ifndef GAP
#define GAP     2           /* an entry that was frozen so long abandons its jobs */
#endif
#ifdef SHORT_SILENCE
#define SILENCE (SESSION + LEASE)
#else
#define SILENCE (SESSION + LEASE + SLOW)
#endif
#define FOREVER 15

/* Processes. */
#define Down   0
#define Up     1
#define Frozen 2

/* The caller. */
#define Waiting  0
#define Left     1          /* its connection broke; it sends again in a while */
#define Again    2          /* it has sent the job to another entry */
#define Rejected 3          /* it got the answer that the job did not run */

/* The job at its entry. */
#define Attached  0
#define Abandoned 1         /* the caller is gone: halt what runs */
#define Over      2

/* The run as its entry knows it, and as its agent does. */
#define None     0
#define Sent     1          /* a Launch without answer */
#define Accepted 2
#define Refused  3          /* it never starts */
#define Gone     4          /* it has ended */
#define Starting 1          /* a start without answer */
#define Running  2
#define Barred   3
#define Ended    4
#define Stopping 5          /* not yet acknowledged by the worker */
#define Stopped  6          /* acknowledged; the end is not listed yet */

byte kills, freezes, agentKills, agentFreezes, crashes;

/* ---- caller ---- */
byte caller;
byte resend;                /* until it sends again */

/* ---- entry ---- */
byte entry = Up;
byte froze;                 /* how long it has been frozen */
byte blind;                 /* until a broken connection shows after a freeze */
byte job;
byte launched;
bool halted;
byte known = SESSION;       /* how long the session lasts at least */
byte silence;               /* since the last Watch that renews was sent */
bool probing;               /* the agent was given up: no Watch renews */

/* ---- messages from entry to agent ---- */
bool watch, launch, halt;
bool opens;                 /* the Watch opens a session where there is none */
byte renew;                 /* how long the Watch renews the session */
byte notAfter;              /* how long the Launch is good */

/* ---- agent ---- */
byte agent = Up;
byte incarnation;
byte session = SESSION;
byte task;
byte given;                 /* until the worker's lease has certainly expired */
bool taken;                 /* the new incarnation has taken over the worker */
bool cleared = true;
bool unanswered;            /* a start that the agent got no answer to */
byte agentLife;             /* the worker's incarnation that the agent knows */

/* ---- orders to the worker ---- */
bool start, late;
byte startGood, lateGood;   /* how long the start is good */
byte startFence, lateFence;
byte startLife, lateLife;

/* ---- worker ---- */
bool worker = true;
byte life;
byte fence;
byte lease;
bool running, stopping, barred;

/* ---- the judge ---- */
bool other;                 /* the task was started another time */
bool filler;                /* a task of another job has the worker's whole capacity */

#define LIVE (task == Starting || task == Running)
#define UNSETTLED (task == Starting || task == Running || task == Stopping || task == Stopped)

#ifdef COUNT_FROZEN_OUT
#define AGENT_TIME (agent == Up)
#else
#define AGENT_TIME true
#endif

inline less(t) {
	if :: t > 0 && t < FOREVER -> t-- :: else fi
}

/* startOther starts the task somewhere else. */
inline startOther() {
	assert(!running);
	other = true
}

inline extend(t) {
	if :: lease < t -> lease = t :: else fi;
	if :: lease < t + SLOW -> lease = t + SLOW :: true fi
}

/* carryOut is a start that reaches the worker. */
inline carryOut(good, f, l, answered) {
	if
	:: !running -> answered = Refused   /* unwell, or no room */
#ifndef ID_ONLY
	:: l != life -> answered = Refused
	:: l == life && f < fence -> answered = Refused
	:: l == life && f >= fence && (good == 0 || barred) -> answered = Refused
	:: l == life && f >= fence && good > 0 && !barred ->
#else
	:: f < fence -> answered = Refused
	:: f >= fence && ((good == 0 && l == life) || barred) -> answered = Refused
	:: f >= fence && (good > 0 || l != life) && !barred ->
#endif
		answered = Accepted;
		fence = f;
		if
		:: !running ->
			assert(!other);                 /* one run at a time */
			assert(caller != Rejected);     /* a refusal is true */
			assert(!filler);                /* capacity */
			running = true
		:: else
		fi;
		extend(good)
	fi
}

/* A worker starts no run that has ended there. */
inline end() {
	if :: running -> barred = true :: else fi;
	running = false; stopping = false
}

inline tick() {
	less(resend); less(known); less(renew); less(notAfter); less(startGood); less(blind);
#ifndef ARRIVAL
	less(lateGood);
#endif
	if :: AGENT_TIME -> less(session); less(given) :: else fi;
	if :: silence < SILENCE -> silence++ :: else fi;
	if :: entry == Frozen && froze < GAP -> froze++ :: else fi;
	if
	:: lease > 0 -> lease--; if :: lease == 0 -> end() :: else fi
	:: else
	fi;
	if :: stopping -> end() :: else fi;
	if :: caller == Left && resend == 0 -> caller = Again; startOther() :: else fi
}

/* The same reading of the clock decides on the sessions and on a hold's time. */
#ifdef HOLD_DESPITE_STOP
#define MAY_HOLD !(LIVE && session == 0)
#else
#ifdef HOLD_UNCHECKED
#define MAY_HOLD (task != Stopping)
#else
#define MAY_HOLD (task != Stopping && !(LIVE && session == 0))
#endif
#endif

/* What is due before time passes. */
#define DUE_ENTRY (entry == Up && caller != Waiting && caller != Rejected && job == Attached && blind == 0)
#define DUE_HALT  (!CUT && entry == Up && agent == Up && job == Abandoned && (launched == Sent || launched == Accepted) && !halted)
#define DUE_LINK  (!CUT && agent == Up && (watch || launch || halt))
#define DUE_AGENT (agent == Up && session == 0 && LIVE)
#define DUE_STOP  (!APART && agent == Up && worker && task == Stopping)
#define DUE_START (start && worker)
#define DUE (DUE_ENTRY || DUE_HALT || DUE_LINK || DUE_AGENT || DUE_STOP || DUE_START)

#ifdef WATCH_UNHALTED
#define MAY_WATCH true
#else
#define MAY_WATCH (job != Abandoned || halted || (launched != Sent && launched != Accepted))
#endif

active proctype world() {
	byte answer, lead;
	do
	:: atomic { !DUE -> tick() }

	/* ---- caller ---- */
	:: atomic { caller == Waiting && job == Attached -> caller = Left; resend = RESEND }

	/* ---- entry ---- */
	:: atomic { entry == Up && caller != Waiting && job == Attached && blind == 0 -> job = Abandoned }
	:: atomic { entry == Up && job == Attached && launched == None && known > 0 && !probing ->
		launched = Sent; launch = true;
#ifdef NO_NOT_AFTER
		notAfter = FOREVER
#else
		notAfter = known
#endif
	}
	:: atomic { entry == Up && !watch && MAY_WATCH && !probing && known > 0 -> 
		watch = true; renew = SESSION;
#ifndef SILENCE_FROM_ANSWER
		silence = 0
#endif
	}
	/* A Watch that opens a session where there is none. */
	:: atomic { entry == Up && !watch && known == 0 && MAY_WATCH ->
		watch = true; opens = true;
		if :: probing :: else -> silence = 0 fi }
	:: atomic { entry == Up && !halt && !halted && (launched == Sent || (launched == Accepted && job == Abandoned)) -> halt = true }
#ifdef REFUSE_UNANSWERED
	:: atomic { entry == Up && job == Attached && caller == Waiting && launched != Accepted && launched != Gone && !other -> caller = Rejected; job = Over }
#else
	:: atomic { entry == Up && job == Attached && caller == Waiting && (launched == None || launched == Refused) && !other -> caller = Rejected; job = Over }
#endif
	:: atomic { entry == Up && job == Attached && launched == Gone && !other -> startOther() }
	:: atomic { entry == Up && job == Attached && launched != None && launched != Refused && silence == SILENCE && !other ->
		probing = true; startOther() }
	:: atomic { kills < ENTRY_KILLS && entry == Up -> kills++; entry = Down;
		if :: caller == Waiting && job == Attached -> caller = Left; resend = RESEND :: else fi }
	:: atomic { freezes < ENTRY_FREEZES && entry == Up -> freezes++; entry = Frozen; froze = 0 }
	:: atomic { entry == Frozen -> entry = Up;
		if
#ifndef NO_GAP
		:: froze >= GAP && job == Attached ->
			job = Abandoned;
			if :: caller == Waiting -> caller = Left; resend = RESEND :: else fi
		:: else -> blind = froze
#else
		:: true -> blind = froze
#endif
		fi }

	/* ---- links ---- */
	:: atomic { CUT && watch -> watch = false; renew = 0; opens = false }
	:: atomic { CUT && launch -> launch = false; notAfter = 0 }
	:: atomic { CUT && halt -> halt = false }

	/* ---- agent ---- */
	:: atomic { agent == Up && watch ->
		watch = false;
		if
#ifdef RENEW_ON_ARRIVAL
		:: renew > 0 -> session = SESSION
#else
		:: renew > session -> session = renew
#endif
		:: else ->
			if
			:: opens && session == 0 && !LIVE ->
				session = SESSION;
				if :: CUT :: entry == Up && incarnation == 0 && !probing -> known = SESSION; silence = 0 :: entry != Up || incarnation == 1 || probing fi
			:: else
			fi
		fi;
		if
		:: CUT
		:: entry == Up ->
#ifdef SILENCE_FROM_ANSWER
			if :: renew > 0 -> silence = 0 :: else fi;
#endif
			if :: incarnation == 0 && renew > known -> known = renew :: else fi;
			if :: incarnation == 0 && task == Ended -> launched = Gone :: else fi;
			if :: incarnation == 1 && cleared && launched != None -> launched = Gone :: else fi
		:: entry != Up
		fi;
		renew = 0; opens = false }
	:: atomic { agent == Up && launch ->
		launch = false;
		if
		:: incarnation == 0 && session > 0 && notAfter > 0 && task == None ->
			task = Starting;
			if :: CUT :: entry == Up -> launched = Accepted :: entry != Up fi
		:: else ->
			if :: CUT :: entry == Up && launched == Sent -> launched = Refused :: entry != Up || launched != Sent fi
		fi;
		notAfter = 0 }
	:: atomic { agent == Up && halt ->
		halt = false;
		if
		:: incarnation == 0 && task == None -> task = Barred
		:: incarnation == 0 && LIVE -> task = Stopping
		:: else
		fi;
		if
		:: CUT
		:: entry == Up -> halted = true; if :: incarnation == 0 && task == Barred -> launched = Refused :: else fi
		:: entry != Up
		fi }
	/* One reading of the clock decides on the session and on the start's time. */
#ifdef START_UNCHECKED
	:: atomic { agent == Up && task == Starting && !start && cleared && given <= session + LEASE + SLOW ->
#else
#ifdef START_OUTLASTED
	:: atomic { agent == Up && task == Starting && !start && cleared && session > 0 ->
#else
	:: atomic { agent == Up && task == Starting && !start && cleared && session > 0 && given <= session + LEASE + SLOW ->
#endif
#endif
		start = true; startFence = incarnation; startLife = agentLife;
		startGood = (session + LEASE < AHEAD -> session + LEASE : AHEAD);
		if :: given < startGood + SLOW -> given = startGood + SLOW :: else fi }
	:: atomic { agent == Up && session == 0 && LIVE -> task = Stopping }
	:: atomic { agent == Up && task == Stopping && worker && life == agentLife ->
		barred = true;
		if :: running -> stopping = true :: else fi;
#ifdef STOP_IS_END
		task = Ended
#else
		task = Stopped
#endif
		}
	/* A hold extends the lease, and lists what runs and what has ended. */
	:: atomic { agent == Up && cleared && worker && life == agentLife && MAY_HOLD ->
		lead = (LIVE && session + LEASE < AHEAD -> session + LEASE : AHEAD);
		extend(lead);
		if :: given < lead + SLOW -> given = lead + SLOW :: else fi;
		lead = 0;
		if :: !running && (task == Stopped || task == Running) -> task = Ended :: else fi }
	/* A worker that is out of reach loses its runs with its lease. */
	:: atomic { agent == Up && cleared && UNSETTLED && task != Starting && given == 0 &&
#ifdef ARRIVAL
		!unanswered &&
#endif
		!start -> task = Ended }
	/* The worker reports its new incarnation. */
	:: atomic { agent == Up && worker && life != agentLife ->
		agentLife = life;
		if :: UNSETTLED -> task = Ended :: else fi
		}
	/* Tasks of other jobs come once there is room. */
	:: atomic { agent == Up && cleared && task == Ended && !filler && !start && worker && life == agentLife -> assert(!running); filler = true }
	:: atomic { agentKills < AGENT_KILLS && agent == Up -> agentKills++; agent = Down; task = None; session = 0; cleared = false }
	:: atomic { agent == Down && incarnation == 0 -> agent = Up; incarnation = 1; agentLife = life; taken = false; given = 0 }
	:: atomic { agentFreezes < AGENT_FREEZES && agent == Up -> agentFreezes++; agent = Frozen }
	:: atomic { agent == Frozen -> agent = Up }
	/* A new incarnation of the agent takes the worker over under its fence, and stops what runs. */
	:: atomic { agent == Up && incarnation == 1 && !taken && worker ->
		taken = true;
#ifndef NO_FENCE
		fence = 1;
#endif
#ifdef HOLD_BEFORE_CLEARED
		extend(AHEAD)
#else
		if :: running -> stopping = true; barred = true :: else fi
#endif
		}
#ifdef CLEARED_AT_ONCE
	:: atomic { agent == Up && incarnation == 1 && taken && !cleared -> cleared = true }
#else
	:: atomic { agent == Up && incarnation == 1 && taken && !cleared && !running -> cleared = true }
#endif

	/* ---- worker ---- */
	:: atomic { start && worker ->
		start = false;
		carryOut(startGood, startFence, startLife, answer);
		if
		:: agent != Down && startFence == incarnation && task == Starting && answer == Accepted -> task = Running
		:: agent != Down && startFence == incarnation && task == Starting && answer == Refused ->
#ifdef REFUSE_UNSETTLED
			task = Ended
#else
			if :: unanswered -> task = Stopping :: else -> task = Ended fi
#endif
		:: else
		fi;
		answer = None; startGood = 0; startFence = 0; startLife = 0 }
	:: atomic { LATE && start && !late && !unanswered ->
		start = false; late = true; unanswered = true;
		lateGood = startGood; lateFence = startFence; lateLife = startLife;
		startGood = 0; startFence = 0; startLife = 0 }
	:: atomic { late && worker ->
		late = false;
		carryOut(lateGood, lateFence, lateLife, answer);
		answer = None; lateGood = 0; lateFence = 0; lateLife = 0 }
	:: atomic { crashes < CRASHES && worker -> crashes++; worker = false; running = false; stopping = false; barred = false; lease = 0; fence = 0; filler = false }
	:: atomic { !worker -> worker = true; life = 1 }
	od
}
