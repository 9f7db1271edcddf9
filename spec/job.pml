/*
 * Durable jobs: one job of one task, the store that holds it, the entries that
 * own it one after the other, and the ends of runs that agents list. The store's
 * log is modelled as one synced list of commands, a property that log.pml
 * proves; what its leader has not synced is lost on a power failure. Calls
 * between entries and the store may be delayed, lost and repeated. Calls of a
 * dead entry may stay in flight indefinitely.
 *
 * Each guard has a macro that removes it; check.sh requires that the checker
 * then finds a violation. The macros below bound the environment.
 */
#ifndef ENTRIES
#define ENTRIES 3
#endif
#ifndef DEATHS
#define DEATHS 1            /* of entries */
#endif
#ifndef LOSSES
#define LOSSES 1            /* power failures at all hosts of the store */
#endif
#ifndef STARTS
#define STARTS 2
#endif
#ifndef CRASHES
#define CRASHES 0           /* of workers: listed ends are lost */
#endif
#define EPOCHS 3

/* An entry. */
#define Up         0
#define LeaseEnded 1        /* its lease has expired, or it was killed: it starts nothing */
#define Dead       2        /* declared dead by the control group */
#define Claimable  3        /* the delay before its jobs can be claimed has passed */

/* The job in the store. */
#define None      0
#define Open      1
#define Completed 2
#define Cancelled 3

#define NOBODY 7

byte deaths, losses, starts, crashes;

/* ---- store ---- */
byte state;
byte owner = NOBODY;
byte epoch;
byte unsyncedFrom = NOBODY; /* the entry whose Keep the leader has not synced yet */

/* ---- entries ---- */
byte entry[ENTRIES];
byte heldEpoch[ENTRIES];    /* the epoch under which the entry owns the job, 0 for none */
bool knowsDone[ENTRIES];    /* the entry knows that the task is done */
bool endsKnown[ENTRIES];    /* the entry knows how all runs so far have ended, earlier owners' included */

/* ---- calls in flight ---- */
bool keep[ENTRIES];
byte note[ENTRIES];         /* the epoch of a note that the job is completed */
byte claim[ENTRIES];        /* the job's epoch when the leader chose it */

/* ---- agents ---- */
bool running[ENTRIES];      /* a run of that entry is active */
bool endListed;             /* the end of a completed run, until it is forgotten */

/* ---- used by the assertions only ---- */
bool acknowledged;          /* the caller was told that the job is stored */
byte reported;              /* the latest state that was reported to a client */
byte ownerOf[EPOCHS + 1] = NOBODY; /* the owner of each epoch */
bool startedAfterEnd;       /* a run started while an end was listed */
bool forgotten;             /* an agent has forgotten an end: the end is final */

#if ENTRIES == 2
#define RUNS (running[0] || running[1])
#else
#define RUNS (running[0] || running[1] || running[2])
#endif

#ifdef START_UNASKED
#define MAY_START true
#else
#define MAY_START endsKnown[e]
#endif

#ifdef NOTE_OF_ANY_EPOCH
#define NOTE_COUNTS true
#else
#define NOTE_COUNTS (note[e] == epoch && owner == e)
#endif

#ifdef LAST_STATE_CHANGES
#define MAY_CHANGE true
#else
#define MAY_CHANGE (state == Open)
#endif

/* The delay before claims is longer than any run of a dead owner can last. */
#ifdef CLAIM_AT_ONCE
#define RUN_OVER true
#else
#define RUN_OVER !running[e]
#endif

#ifdef CLAIM_FROM_MEMBER
#define MAY_CLAIM true
#else
#define MAY_CLAIM (entry[owner] == Claimable)
#endif

#ifdef CLAIM_OF_ANY_EPOCH
#define CLAIM_COUNTS true
#else
#define CLAIM_COUNTS (claim[e] == epoch)
#endif

/* assign notifies an entry that it owns the job. */
inline assign(e) {
	assert(ownerOf[epoch] == NOBODY || ownerOf[epoch] == e); /* one owner per epoch */
	ownerOf[epoch] = e;
	if
	:: entry[e] == Up && heldEpoch[e] < epoch -> heldEpoch[e] = epoch; endsKnown[e] = (epoch == 1); knowsDone[e] = false
	:: else
	fi
}

/* store_job applies the first Keep of the job. */
inline store_job(e) {
	state = Open; owner = e; epoch = 1
}

/* report returns the job's state to a client. */
inline report() {
	assert(reported < Completed || reported == state);     /* a final state never changes */
	reported = state
}

active proctype world() {
	byte e;
	do
	/* ---- one step of any entry ---- */
	:: atomic {
		select(e : 0 .. ENTRIES - 1);
		if
		/* The caller submits the job, repeatedly and to any entry. */
		:: entry[e] == Up && !keep[e] && e < 2 && state < Completed -> keep[e] = true

		/* A Keep arrives, possibly more than once. */
		:: keep[e] && (state == None) && unsyncedFrom == NOBODY ->
			unsyncedFrom = e
#ifdef ACKNOWLEDGE_BEFORE_SYNC
			; acknowledged = true
#endif
		:: keep[e] && state != None ->
#ifdef KEEP_OVERWRITES
			if :: state == Open -> store_job(e) :: else fi;
#endif
			acknowledged = true;
			if :: state == Open && owner == e -> assign(e) :: else fi
		:: keep[e] -> keep[e] = false

		/* A start by an entry that considers itself the owner. */
		:: entry[e] == Up && heldEpoch[e] > 0 && !knowsDone[e] && !running[e] && starts < STARTS && MAY_START ->
			starts++;
			assert(!RUNS);                                 /* one run at a time */
			assert(state != Completed);                    /* no start after a stored end */
			assert(!forgotten);                            /* no start after a final end */
			if :: endListed -> startedAfterEnd = true :: else fi;
			running[e] = true; endsKnown[e] = false
		:: running[e] -> running[e] = false; endListed = true
		:: running[e] -> running[e] = false                /* it fails, or its lease expires */

		/* The owner receives the end or queries it. */
		:: entry[e] == Up && heldEpoch[e] > 0 && !running[e] ->
			endsKnown[e] = true;
			if :: endListed -> knowsDone[e] = true :: else fi
		:: entry[e] == Up && heldEpoch[e] > 0 && knowsDone[e] && note[e] == 0 -> note[e] = heldEpoch[e]
#ifdef FORGET_BEFORE_STORED
		:: entry[e] == Up && knowsDone[e] && endListed -> endListed = false; forgotten = true; assert(!startedAfterEnd)
#endif

		/* The note arrives; its answer may be lost. */
		:: note[e] > 0 && state != None ->
			if
			:: NOTE_COUNTS ->
				if
				:: MAY_CHANGE ->
					assert(!RUNS);                         /* no run of an ended job is active */
					state = Completed
				:: else
				fi;
				if
				:: entry[e] == Up && endListed -> endListed = false; forgotten = true; assert(!startedAfterEnd)
				:: true
				fi
			:: else
			fi
		:: note[e] > 0 -> note[e] = 0

		/* An entry's lease ends; the group declares it dead, then waits before claims. */
		:: entry[e] == Up && deaths < DEATHS -> deaths++; entry[e] = LeaseEnded
		:: entry[e] == LeaseEnded -> entry[e] = Dead
		:: entry[e] == Dead && RUN_OVER -> entry[e] = Claimable

		/* The leader selects the job for an entry that asks for work; the claim is applied later. */
		:: entry[e] == Up && claim[e] == 0 && state == Open && owner != e && MAY_CLAIM -> claim[e] = epoch
		:: claim[e] > 0 ->
			if
			:: state == Open && CLAIM_COUNTS && epoch < EPOCHS && (entry[e] == Up || entry[e] == LeaseEnded) ->
#ifndef CLAIM_WITHOUT_EPOCH
				epoch++;
#endif
				owner = e;
				assign(e)
			:: else
			fi;
			claim[e] = 0
		:: else
		fi
	}

	/* ---- store ---- */
	:: atomic { unsyncedFrom != NOBODY ->
		if :: state == None -> store_job(unsyncedFrom); acknowledged = true; assign(unsyncedFrom) :: else fi;
		unsyncedFrom = NOBODY }
	:: atomic { losses < LOSSES && unsyncedFrom != NOBODY -> losses++; unsyncedFrom = NOBODY }
	:: atomic { state == Open ->                           /* a cancel */
		state = Cancelled }
	:: atomic { state != None -> report() }
	:: atomic { crashes < CRASHES && endListed -> crashes++; endListed = false }
	:: atomic { acknowledged -> assert(state != None) }    /* acknowledged jobs are not lost */
	od
}
