/*
 * Lease-based election of a zone coordinator (pkg/zonelease) and the validity of
 * the grants that depend on its lease.
 *
 * Checked: two coordinators of a zone can never grant at the same time.
 * Acceptance of a grant by its holder counts as granting, since it permits work.
 *
 * Times are stored as remaining ticks, which keeps the state space small while
 * time is unbounded. A voter's promise lasts LEASE ticks. A candidate's lease
 * lasts HELD ticks from the send time of its request; the difference models the
 * allowance for clock drift. Requests may reach a voter, and grants a candidate,
 * after any delay; this models slow networks as well as frozen hosts. Every step
 * is atomic, and one process executes all steps.
 *
 * Negative variants: NO_RESTART_WAIT (a restarted voter votes immediately),
 * NO_SEND_TIME (the lease starts at the arrival of the grants, not at the send
 * time), NO_GRANT_LIMIT (a grant is accepted however late it arrives).
 */
#define V 3
#define LEASE 3
#define HELD 2
#define NONE 3

/* Voters. A voter without a promise has holder NONE. */
byte holder[V];
byte promise[V];  /* remaining ticks of the promise */
byte blocked[V];  /* remaining ticks of the wait after a restart */

/* Candidates: a round of vote requests that may be in progress, and the lease. */
bool open[2];
byte age[2];      /* ticks since the round was sent */
byte votes[2];    /* bit v: voter v granted a vote in this round */
byte lease[2];    /* remaining ticks of the lease */

/* One slot grant in flight to the host that requested it. */
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
	:: open[c] && age[c] + 1 == HELD -> close(c) /* too old to yield a lease */
#endif
	:: else
	fi
}

active proctype steps() {
	holder[0] = NONE; holder[1] = NONE; holder[2] = NONE;
	do
	:: atomic {
		true; /* keeps the first else from being taken as an option of the outer loop */
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
	:: atomic { close(0) } /* the candidate gives up or restarts and obtains no lease */
	:: atomic { close(1) }
	:: atomic { win(0) }
	:: atomic { win(1) }
	:: atomic { grant(0) }
	:: atomic { grant(1) }
	:: atomic { arrive() }
	od
}
