/*
 * Leases of a link share across a change of the allocator (docs/design.md 5.6).
 *
 * The leased part of the cap is one share, which at most one of two hosts may
 * use at a time. Leader 0 leads until its quorum lease ends and may freeze at
 * any moment, also between computing a grant and sending it; leader 1 is
 * elected after that. Requests and replies are delayed without limit or lost.
 * Times are kept as ticks that remain or have passed, so that the state space
 * is finite without an end of time. All clocks tick together; the drift margin
 * of 10% is not modelled.
 *
 * Negative variants:
 *   NO_WAIT          a new leader leases at once
 *   NO_SEND_TIME     a host counts its lease from the reply, not from its request
 *   NO_QUORUM_LEASE  a leader answers without checking its quorum lease
 *   NO_OLD_LEASE     a leader counts only the newest lease of a host, though
 *                    the reply that ended the older one may have been lost
 */

#define LEASE 2           /* ticks */

bit leads0 = 1;           /* leader 0 has its quorum lease */
bit elected1 = 0;
#ifdef NO_WAIT
byte wait1 = 0;
#else
byte wait1 = LEASE;       /* ticks until leader 1 may lease, from its election */
#endif

mtype = { idle, asked, given, refused };
mtype ask[2] = idle;      /* one request of each host is on its way */
byte age[2];              /* ticks since it was sent, at most LEASE */
bit to[2];                /* to which leader */
bit wants[2];             /* asks for the share, or gives it back */

byte lease[2];            /* ticks for which the host may still use the share */
byte granted[4];          /* [leader * 2 + host]: what the leader takes it for */

#ifdef NO_QUORUM_LEASE
#define mayAnswer0 1
#else
#define mayAnswer0 leads0
#endif

/* A leader handles the request of host h against its own table. */
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
	/* Sends a request to either leader; it may not know of the change. */
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
