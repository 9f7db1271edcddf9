/*
 * Durable jobs: one job of one task, the store that holds it, the entries that
 * own it one after the other, and the ends that agents list. The store's log is
 * taken as one synced list of commands, which log.pml proves of it; what its
 * leader has not synced is lost with its power. Calls between entries and the
 * store may be late, lost and repeated. An entry that has died may have calls
 * on their way for ever.
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
#define LOSSES 1            /* of power at all hosts of the store */
#endif
#ifndef STARTS
#define STARTS 2
#endif
#ifndef CRASHES
#define CRASHES 0           /* of workers: ends that are listed are gone */
#endif
#define EPOCHS 3

/* An entry. */
#define Up     0
#define Over   1            /* its lease has ended, or it was killed: it starts nothing */
#define Dead   2            /* the group has declared it so */
#define Waited 3            /* the wait before claims is over */

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
byte unsynced = NOBODY;     /* the entry whose Keep the leader has not synced */

/* ---- entries ---- */
byte entry[ENTRIES];
byte held[ENTRIES];         /* the epoch under which the entry has the job, 0 for none */
bool knows[ENTRIES];        /* that the task is done */
bool asked[ENTRIES];        /* how the runs so far have ended, its own and earlier owners' */

/* ---- calls on their way ---- */
bool keep[ENTRIES];
byte note[ENTRIES];         /* the epoch of a note that the job is completed */
byte claim[ENTRIES];        /* the epoch that the leader saw when it chose the job */

/* ---- agents ---- */
bool running[ENTRIES];      /* a run of that entry */
bool listed;                /* an end `done` that is not forgotten */

/* ---- the judge ---- */
bool stored;                /* the caller got the answer that the job is stored */
byte told;                  /* the last state that was reported to anybody */
byte actor[EPOCHS + 1] = NOBODY;     /* the entry that was given each epoch */
bool again;                 /* a run started while an end was listed */
bool forgotten;             /* an end was forgotten by its agent: it counts for good */

#if ENTRIES == 2
#define RUNS (running[0] || running[1])
#else
#define RUNS (running[0] || running[1] || running[2])
#endif

#ifdef START_UNASKED
#define MAY_START true
#else
#define MAY_START asked[e]
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

/* The wait before claims is longer than the runs of a dead owner can last. */
#ifdef CLAIM_AT_ONCE
#define RUN_OVER true
#else
#define RUN_OVER !running[e]
#endif

#ifdef CLAIM_FROM_MEMBER
#define MAY_CLAIM true
#else
#define MAY_CLAIM (entry[owner] == Waited)
#endif

#ifdef CLAIM_OF_ANY_EPOCH
#define CLAIM_COUNTS true
#else
#define CLAIM_COUNTS (claim[e] == epoch)
#endif

/* given tells an entry that it has the job. */
inline given(e) {
	assert(actor[epoch] == NOBODY || actor[epoch] == e);   /* one owner an epoch */
	actor[epoch] = e;
	if
	:: entry[e] == Up && held[e] < epoch -> held[e] = epoch; asked[e] = (epoch == 1); knows[e] = false
	:: else
	fi
}

/* take stores a Keep that is new. */
inline take(e) {
	state = Open; owner = e; epoch = 1
}

/* tell says to somebody what the state is. */
inline tell() {
	assert(told < Completed || told == state);             /* a last state stays */
	told = state
}

active proctype world() {
	byte e;
	do
	/* ---- any entry does one thing ---- */
	:: atomic {
		select(e : 0 .. ENTRIES - 1);
		if
		/* The caller hands the job in, at any entry, again and again. */
		:: entry[e] == Up && !keep[e] && e < 2 && state < Completed -> keep[e] = true

		/* A Keep arrives; it may arrive again. */
		:: keep[e] && (state == None) && unsynced == NOBODY ->
			unsynced = e
#ifdef ACKNOWLEDGE_BEFORE_SYNC
			; stored = true
#endif
		:: keep[e] && state != None ->
#ifdef KEEP_OVERWRITES
			if :: state == Open -> take(e) :: else fi;
#endif
			stored = true;
			if :: state == Open && owner == e -> given(e) :: else fi
		:: keep[e] -> keep[e] = false

		/* A start, by the owner as far as it knows. */
		:: entry[e] == Up && held[e] > 0 && !knows[e] && !running[e] && starts < STARTS && MAY_START ->
			starts++;
			assert(!RUNS);                                 /* one run at a time */
			assert(state != Completed);                    /* none after a stored end */
			assert(!forgotten);                            /* nor after one that counts */
			if :: listed -> again = true :: else fi;
			running[e] = true; asked[e] = false
		:: running[e] -> running[e] = false; listed = true
		:: running[e] -> running[e] = false                /* it fails, or its lease ends */

		/* The owner hears of the end, or asks for it. */
		:: entry[e] == Up && held[e] > 0 && !running[e] ->
			asked[e] = true;
			if :: listed -> knows[e] = true :: else fi
		:: entry[e] == Up && held[e] > 0 && knows[e] && note[e] == 0 -> note[e] = held[e]
#ifdef FORGET_BEFORE_STORED
		:: entry[e] == Up && knows[e] && listed -> listed = false; forgotten = true; assert(!again)
#endif

		/* The note arrives, and is answered or not. */
		:: note[e] > 0 && state != None ->
			if
			:: NOTE_COUNTS ->
				if
				:: MAY_CHANGE ->
					assert(!RUNS);                         /* a job that has ended runs nowhere */
					state = Completed
				:: else
				fi;
				if
				:: entry[e] == Up && listed -> listed = false; forgotten = true; assert(!again)
				:: true
				fi
			:: else
			fi
		:: note[e] > 0 -> note[e] = 0

		/* An entry ends; then the group knows, and waits. */
		:: entry[e] == Up && deaths < DEATHS -> deaths++; entry[e] = Over
		:: entry[e] == Over -> entry[e] = Dead
		:: entry[e] == Dead && RUN_OVER -> entry[e] = Waited

		/* The leader chooses the job for an entry that asks; the claim is carried out later. */
		:: entry[e] == Up && claim[e] == 0 && state == Open && owner != e && MAY_CLAIM -> claim[e] = epoch
		:: claim[e] > 0 ->
			if
			:: state == Open && CLAIM_COUNTS && epoch < EPOCHS && (entry[e] == Up || entry[e] == Over) ->
#ifndef CLAIM_WITHOUT_EPOCH
				epoch++;
#endif
				owner = e;
				given(e)
			:: else
			fi;
			claim[e] = 0
		:: else
		fi
	}

	/* ---- store ---- */
	:: atomic { unsynced != NOBODY ->
		if :: state == None -> take(unsynced); stored = true; given(unsynced) :: else fi;
		unsynced = NOBODY }
	:: atomic { losses < LOSSES && unsynced != NOBODY -> losses++; unsynced = NOBODY }
	:: atomic { state == Open ->                           /* a cancel */
		state = Cancelled }
	:: atomic { state != None -> tell() }
	:: atomic { crashes < CRASHES && listed -> crashes++; listed = false }
	:: atomic { stored -> assert(state != None) }          /* acknowledged jobs are not lost */
	od
}
