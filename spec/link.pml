/*
 * Leases of link capacity across a change of the leader that allocates them
 * (docs/design.md 5.6).
 *
 * The leased part of the cap is a single share that at most one of two hosts may
 * use at a time. Leader 0 leads until its quorum lease ends and may freeze at
 * any moment, even between computing a grant and sending it; leader 1 is
 * elected after that lease has ended. Requests and replies may be lost or
 * delayed without limit. Times are stored as remaining or elapsed ticks, so the
 * state space is finite although time is unbounded. All clocks tick together;
 * the 10% margin for clock drift is not modelled.
 *
 * Negative variants:
 *   NO_WAIT          a new leader grants leases immediately
 *   NO_SEND_TIME     a host counts its lease from the arrival of the reply instead
 *                    of the send time of its request
 *   NO_QUORUM_LEASE  a leader answers without checking its quorum lease
 *   NO_OLD_LEASE     a leader counts only the newest lease of a host, although
 *                    the reply that ended the older one may have been lost
 */

#define LEASE 2           /* ticks */

bit leads0 = 1;           /* leader 0 holds its quorum lease */
bit elected1 = 0;
#ifdef NO_WAIT
byte wait1 = 0;
#else
byte wait1 = LEASE;       /* ticks after its election until leader 1 may grant leases */
#endif

mtype = { idle, asked, given, refused };
mtype ask[2] = idle;      /* each host has at most one request or reply in flight */
byte age[2];              /* ticks since the request was sent, at most LEASE */
bit to[2];                /* leader that the request is sent to */
bit wants[2];             /* 1: requests the share, 0: returns it */

byte lease[2];            /* ticks for which the host may still use the share */
byte granted[4];          /* granted[leader * 2 + host]: remaining ticks of the lease as the leader counts it */

#ifdef NO_QUORUM_LEASE
#define mayAnswer0 1
#else
#define mayAnswer0 leads0
#endif

/* A leader decides the request of host h from its own table of leases. */
inline answer(h, own, may) {
	if
	:: wants[h] && may && granted[own + 1 - h] == 0 ->
		granted[own + h] = LEASE;
		ask[h] = given
	:: wants[h] && !(may && granted[own + 1 - h] == 0) ->
		ask[h] = refused
	:: !wants[h] ->
#ifdef NO_OLD_LEASE
		granted[own + h] = 0;
#endif
		ask[h] = refused
	fi
}

inline clear(h) {
	ask[h] = idle;
	age[h] = 0;
	to[h] = 0;
	wants[h] = 0
}

inline tick(t) {
	if
	:: t > 0 -> t--
	:: else
	fi
}

inline older(h) {
	if
	:: ask[h] != idle && age[h] < LEASE -> age[h]++
	:: else
	fi
}

active [2] proctype Host() {
	/* The process number, 0 or 1, is the number of the host. */
	do
	/* Send a request to either leader; the host may not know of the new one. */
	:: atomic { ask[_pid] == idle ->
		if
		:: to[_pid] = 0
		:: elected1 -> to[_pid] = 1
		fi;
		if
		:: wants[_pid] = 1
		:: wants[_pid] = 0
		fi;
		ask[_pid] = asked
	   }
	:: atomic { ask[_pid] == asked && to[_pid] == 0 && mayAnswer0 -> answer(_pid, 0, true) }
	:: atomic { ask[_pid] == asked && to[_pid] == 1 -> answer(_pid, 2, wait1 == 0) }
	/* The request or the reply is lost. */
	:: atomic { ask[_pid] != idle -> clear(_pid) }
	:: atomic { ask[_pid] == given ->
#ifdef NO_SEND_TIME
		lease[_pid] = LEASE;
#else
		lease[_pid] = LEASE - age[_pid];
#endif
		clear(_pid);
		assert(lease[0] == 0 || lease[1] == 0)
	   }
	:: atomic { ask[_pid] == refused -> lease[_pid] = 0; clear(_pid) }
	od
}

active proctype Clock() {
	do
	:: atomic {
		tick(lease[0]);
		tick(lease[1]);
		tick(granted[0]);
		tick(granted[1]);
		tick(granted[2]);
		tick(granted[3]);
		older(0);
		older(1);
		if
		:: elected1 -> tick(wait1)
		:: else
		fi
	   }
	:: atomic { leads0 -> leads0 = 0 }
	:: atomic { !leads0 && !elected1 -> elected1 = 1 }
	od
}
