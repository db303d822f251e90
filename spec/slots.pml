/*
 * Permits for the single slot of a target across coordinator failovers
 * (pkg/slots, internal/zone).
 *
 * Checked: requests outstanding at the target never exceed its one slot. Two
 * entry hosts compete for it. Only one coordinator grants at a time
 * (spec/lease.pml), but a grant of an earlier term may arrive at any time. Hosts
 * crash, restart and freeze; messages between a host and the coordinator may be
 * delayed for any time. Times are remaining ticks unless noted otherwise; every
 * step is atomic.
 *
 * Negative variants: NO_HELD_WAIT (a new coordinator does not wait for permits
 * of earlier terms), NO_TERM (a host that answered a new term still accepts
 * grants of older terms), NO_GRACE (the slot of an abandoned request is free
 * immediately), NO_GONE_GRACE (a crashed host counts as holding no permits
 * immediately), NO_LOST (a holder keeps streaming while its renewals are
 * unanswered), DEADLINE_ONLY (a permit that was never renewed is freed at the
 * deadline plus a margin), SHORT_SILENCE (the slot of a silent holder is freed
 * before a stalled stream must have ended).
 */
#define DEADLINE 2     /* from sending a request; its response must start before then */
#define GRACE 1        /* longest time that work continues after its connection was closed */
#define STALLED 2      /* longest time that a stream stays open to a holder that accepts no bytes */
#define LOST 1         /* past the deadline, a holder stops streaming after this time without renewal */
#ifdef SHORT_SILENCE
#define SILENCE (LOST + STALLED)
#else
#define SILENCE (LOST + STALLED + GRACE) /* the coordinator frees the slot of a holder silent for this time */
#endif
#ifdef DEADLINE_ONLY
#define UNRENEWED 1
#else
#define UNRENEWED SILENCE /* the response may have started just before the deadline */
#endif
#define HOLD (DEADLINE + SILENCE) /* longest time that a new coordinator waits for hosts that do not answer */
#define TERMS 3

mtype = { idle, asked, granted, holding, working, streaming, ended };

/* coordinator */
byte term = 1;
byte wait;             /* remaining ticks of the wait for permits of earlier terms */
bool answered[2];
byte gone[2];          /* remaining grace period of a host known to be dead */
byte taken[2];         /* remaining ticks during which the slot counts as taken by the host */

/* hosts */
mtype state[2] = idle;
byte left[2];          /* ticks to the deadline */
byte work[2];          /* remaining ticks of work at the target, where bounded */
byte grantTerm[2];
byte seen[2];          /* newest term that the host has answered */
byte unrenewed[2];        /* ticks since the last answered renewal */
bool frozen[2];
bool dead[2];

#define busy(h) (state[h] == working || state[h] == streaming || state[h] == ended)
#define within() assert(!(busy(0) && busy(1)))
#ifdef NO_HELD_WAIT
#define recovered true
#else
#define recovered (answered[0] && answered[1] || wait == 0)
#endif

inline reset(h) {
	state[h] = idle; left[h] = 0; work[h] = 0; grantTerm[h] = 0; unrenewed[h] = 0
}

inline ask(h) {
	state[h] == idle && !frozen[h] && !dead[h] ->
	state[h] = asked;
	left[h] = DEADLINE
}

inline grant(h) {
	state[h] == asked && taken[0] == 0 && taken[1] == 0 && recovered ->
	state[h] = granted;
	grantTerm[h] = term;
	taken[h] = left[h] + UNRENEWED
}

inline accept(h) {
	state[h] == granted && !frozen[h] ->
	if
#ifndef NO_TERM
	:: grantTerm[h] < seen[h] -> reset(h)
	:: grantTerm[h] >= seen[h] -> state[h] = holding
#else
	:: true -> state[h] = holding
#endif
	fi
}

inline use(h) {
	state[h] == holding && !frozen[h] && left[h] > 0 ->
	state[h] = working;
	work[h] = left[h];
	within()
}

inline begin(h) { /* the response starts */
	state[h] == working && !frozen[h] ->
	state[h] = streaming;
	work[h] = STALLED;
	unrenewed[h] = 0
}

inline renew(h) { /* only a coordinator that counts the slot as taken answers */
	state[h] == streaming && !frozen[h] && taken[h] > 0 ->
	if
	:: taken[h] < SILENCE -> taken[h] = SILENCE /* never shortened, since the holder counts from the deadline */
	:: else
	fi;
	unrenewed[h] = 0
}

inline finish(h) { /* the response ended; the release arrives or is lost */
	(state[h] == holding || state[h] == working || state[h] == streaming) && !frozen[h] ->
	reset(h);
	if
	:: taken[h] = 0
	:: true
	fi
}

inline abandon(h) {
	(state[h] == working || state[h] == streaming) && !frozen[h] ->
	state[h] = ended;
	work[h] = GRACE;
	if
#ifdef NO_GRACE
	:: taken[h] = 0
#else
	:: taken[h] > GRACE -> taken[h] = GRACE
#endif
	:: true
	fi
}

inline die(h) {
	!dead[h] ->
	dead[h] = true;
	frozen[h] = false;
	seen[h] = 0;
	if
	:: busy(h) -> state[h] = ended; work[h] = GRACE
	:: else -> reset(h)
	fi
}

inline freeze(h) { !dead[h] -> frozen[h] = !frozen[h] }

inline answer(h) { /* slots.held, answered by a live process */
	!answered[h] && !dead[h] && !frozen[h] && state[h] != ended ->
	answered[h] = true;
	seen[h] = term;
	if
	:: state[h] == holding || state[h] == working || state[h] == streaming -> taken[h] = left[h] + UNRENEWED
	:: else
	fi
}

inline refuse(h) { /* no process listens, so the host holds no permits after the grace period */
	!answered[h] && dead[h] && gone[h] == 0 ->
#ifdef NO_GONE_GRACE
	answered[h] = true
#else
	gone[h] = GRACE + 1
#endif
}

inline end_work(h) {
	work[h]--;
	if
	:: work[h] == 0 && dead[h] -> reset(h); dead[h] = false /* restarts no earlier than this */
	:: work[h] == 0 && !dead[h] -> reset(h)
	:: else
	fi
}

inline tick_host(h) {
	if
	:: gone[h] > 1 -> gone[h]--
	:: else
	fi;
	if
	:: gone[h] == 1 -> gone[h] = 0; answered[h] = true
	:: else
	fi;
	if
	:: taken[h] > 0 -> taken[h]--
	:: else
	fi;
	if
	:: left[h] > 0 -> left[h]--
	:: else
	fi;
	if
	:: state[h] == working || state[h] == ended -> end_work(h)
	:: state[h] == streaming ->
		if
		:: left[h] == 0 && unrenewed[h] <= LOST -> unrenewed[h]++ /* also advances while the host is frozen */
		:: else
		fi;
		if
		:: frozen[h] -> end_work(h)
#ifndef NO_LOST
		:: !frozen[h] && unrenewed[h] > LOST -> state[h] = ended; work[h] = GRACE; unrenewed[h] = 0
		:: !frozen[h] && unrenewed[h] <= LOST -> work[h] = STALLED
#else
		:: !frozen[h] -> work[h] = STALLED
#endif
		fi
	:: (state[h] == asked || state[h] == granted || state[h] == holding) && left[h] == 0 -> reset(h)
	:: dead[h] && state[h] == idle -> dead[h] = false
	:: else
	fi
}

active proctype steps() {
	answered[0] = true; answered[1] = true;
	do
	:: atomic {
		true; /* keeps the first else from being taken as an option of the outer loop */
		tick_host(0); tick_host(1);
		if
		:: wait > 0 -> wait--
		:: else
		fi
	   }
	:: atomic { ask(0) }
	:: atomic { ask(1) }
	:: atomic { grant(0) }
	:: atomic { grant(1) }
	:: atomic { accept(0) }
	:: atomic { accept(1) }
	:: atomic { use(0) }
	:: atomic { use(1) }
	:: atomic { begin(0) }
	:: atomic { begin(1) }
	:: atomic { renew(0) }
	:: atomic { renew(1) }
	:: atomic { finish(0) }
	:: atomic { finish(1) }
	:: atomic { abandon(0) }
	:: atomic { abandon(1) }
	:: atomic { die(0) }
	:: atomic { freeze(0) }
	:: atomic { answer(0) }
	:: atomic { answer(1) }
	:: atomic { refuse(0) }
	:: atomic { refuse(1) }
	:: atomic { /* failover: the new coordinator starts without knowledge of permits */
		term < TERMS ->
		term++;
		wait = HOLD;
		answered[0] = false; answered[1] = false;
		gone[0] = 0; gone[1] = 0;
		taken[0] = 0; taken[1] = 0
	   }
	od
}
