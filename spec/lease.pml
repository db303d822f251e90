/*
 * Election of a zone coordinator by leases (pkg/zonelease) and the validity of
 * the grants that depend on it.
 *
 * Checked: at no instant may two coordinators of a zone grant. Acceptance of a
 * grant by its holder counts as granting, since it allows work.
 *
 * All times are remaining ticks, so the states stay few and time is unbounded.
 * A voter's promise lasts LEASE ticks. A candidate's lease lasts HELD ticks from
 * the send time of its request; the difference stands for the drift allowance.
 * A voter may get a request, and a candidate the grants, any time later; that
 * stands for slow networks and for frozen hosts alike. Every step is atomic and
 * one process takes all steps.
 *
 * Negative variants: NO_RESTART_WAIT (a restarted voter votes at once),
 * NO_SEND_TIME (the lease counts from the arrival of the grants),
 * NO_GRANT_LIMIT (a grant is accepted whenever it arrives).
 */
#define V 3
#define LEASE 3
#define HELD 2
#define NONE 3

/* Voters. A voter without a promise has holder NONE. */
byte holder[V];
byte promise[V];  /* remaining ticks of the promise */
byte blocked[V];  /* remaining ticks of the restart wait */

/* Candidates: an open round of requests, and the lease. */
bool open[2];
byte age[2];      /* ticks since the round was sent */
byte votes[2];    /* set of voters that granted the round */
byte lease[2];    /* remaining ticks of the lease */

/* One grant of a slot on its way to the host that asked. */
bool inflight;
byte granter;
byte valid;       /* remaining ticks of the grant's validity */

#define majority(s) ((s & 1) + ((s >> 1) & 1) + ((s >> 2) & 1) >= 2)
#define exclusive(c) assert(lease[1 - c] == 0)

inline close(c) {
	open[c] = false;
	age[c] = 0;
	votes[c] = 0
}

inline vote(v, c) {
	open[c] && !(votes[c] & (1 << v)) && blocked[v] == 0 && (holder[v] == NONE || holder[v] == c) ->
	holder[v] = c;
	promise[v] = LEASE;
	votes[c] = votes[c] | (1 << v)
}

inline restart(v) {
	holder[v] = NONE;
	promise[v] = 0;
#ifndef NO_RESTART_WAIT
	blocked[v] = LEASE
#endif
}

inline send(c) {
	!open[c] && lease[c] < HELD ->
	open[c] = true
}

inline win(c) {
	open[c] && majority(votes[c]) ->
#ifdef NO_SEND_TIME
	lease[c] = HELD;
#else
	lease[c] = HELD - age[c];
#endif
	exclusive(c);
	close(c)
}

inline grant(c) {
	lease[c] > 0 && !inflight ->
	exclusive(c);
	inflight = true;
	granter = c;
	valid = lease[c]
}

inline arrive() {
	inflight ->
	if
#ifdef NO_GRANT_LIMIT
	:: true -> exclusive(granter)
#else
	:: valid > 0 -> exclusive(granter)
	:: valid == 0
#endif
	fi;
	inflight = false;
	granter = 0;
	valid = 0
}

inline tick_voter(v) {
	if
	:: promise[v] > 1 -> promise[v]--
	:: promise[v] == 1 -> promise[v] = 0; holder[v] = NONE
	:: else
	fi;
	if
	:: blocked[v] > 0 -> blocked[v]--
	:: else
	fi
}

inline tick_candidate(c) {
	if
	:: lease[c] > 0 -> lease[c]--
	:: else
	fi;
	if
	:: open[c] && age[c] + 1 < HELD -> age[c]++
#ifndef NO_SEND_TIME
	:: open[c] && age[c] + 1 == HELD -> close(c) /* could give no lease any more */
#endif
	:: else
	fi
}

active proctype steps() {
	holder[0] = NONE; holder[1] = NONE; holder[2] = NONE;
	do
	:: atomic {
		true; /* otherwise the first else would belong to the outer loop */
		tick_voter(0); tick_voter(1); tick_voter(2);
		tick_candidate(0); tick_candidate(1);
		if
		:: valid > 0 -> valid--
		:: else
		fi
	   }
	:: atomic { vote(0, 0) }
	:: atomic { vote(1, 0) }
	:: atomic { vote(2, 0) }
	:: atomic { vote(0, 1) }
	:: atomic { vote(1, 1) }
	:: atomic { vote(2, 1) }
	:: atomic { restart(0) }
	:: atomic { restart(1) }
	:: atomic { send(0) }
	:: atomic { send(1) }
	:: atomic { close(0) } /* the candidate gives up, or restarts: its lease stays void */
	:: atomic { close(1) }
	:: atomic { win(0) }
	:: atomic { win(1) }
	:: atomic { grant(0) }
	:: atomic { grant(1) }
	:: atomic { arrive() }
	od
}
