/*
 * Run-once claims: three stores, two proposers, one key (docs/design.md 5.3).
 *
 * A store syncs its vote to disk before it replies, so delivery of a vote
 * request and the vote are one step; the grant may be in flight for any time. A
 * lost message is modelled as one that is never delivered. Store 0 may lose its
 * disk once, at any moment, and then copies the other stores one after the
 * other; their order does not matter, since proposers treat them alike.
 *
 * To keep the state space small, messages that can no longer have an effect are
 * removed, namely grants to a proposer that has already decided.
 *
 * Negative variants:
 *   NO_FENCE        proposers do not discard grants of a lost incarnation
 *   NO_COPY         an empty store votes before it has copied the other stores
 *   NO_REGISTER     stores are copied without first recording the new incarnation
 *   COPY_ONE        the store copies one other store instead of two
 *   NO_OWNER_ONLY   a vote is taken over because of its age while its owner may
 *                   still send
 *   NO_TOMBSTONE    stores do not remember released attempts, so a late vote
 *                   request leaves a vote that nobody withdraws
 *   NO_GIVE_UP      a proposer that withdrew its votes still sends on late grants
 *   NO_GIVE_UP with NO_TOMBSTONE
 *                   a withdrawn attempt still sends on late votes; only a second
 *                   run counts as a violation here
 *   NO_SHED_STOP    the owner releases its claim after a failure other than the
 *                   documented refusal
 *   NO_MAJORITY     a single grant is enough to send
 */

#ifdef NO_MAJORITY
#define MAJORITY 1
#else
#define MAJORITY 2
#endif

/* Stores. A store holds a set of owners, since copying may add a second one. */
byte owners[3];           /* bit p: proposer p is an owner */
byte released[3];         /* bit p: proposer p has released its attempt */
bit ready0 = 1;
bit inc0 = 0;             /* current incarnation of store 0 */
byte known0 = 0;          /* bit s: store s has recorded the second incarnation of store 0 */

/* Messages in flight, one bit for each store. */
byte request[2];          /* vote requests of a proposer */
byte grant[2];            /* vote grants to a proposer */
byte release[2];          /* vote withdrawals of a proposer */
bit grantInc0[2];         /* incarnation in the grant of store 0 */
byte grantKnown[2];       /* bit s: the grant of store s reports the second incarnation of store 0 */

/* Proposers. */
mtype = { asking, holding, sent, withdrawn };
mtype phase[2] = asking;
byte got[2];              /* bit s: the grant of store s has arrived */
bit gotInc0[2];
bit told0[2];             /* a grant has reported the second incarnation of store 0 */
bit ran = 0;

#define has(set, x) (((set) >> (x)) & 1)
#define with(set, x) ((set) | (1 << (x)))
#define without(set, x) ((set) & (7 - (1 << (x))))
#ifdef NO_TOMBSTONE
#define refused(p, s) 0
#else
#define refused(p, s) has(released[s], p)
#endif
#ifdef NO_FENCE
#define valid0(p) has(got[p], 0)
#else
#define valid0(p) (has(got[p], 0) && gotInc0[p] >= told0[p])
#endif
#ifdef NO_GIVE_UP
#define open(p) (phase[p] == asking || phase[p] == withdrawn)
#else
#define open(p) (phase[p] == asking)
#endif
#ifdef NO_OWNER_ONLY
#define free(p, s) 1
#else
#define free(p, s) (owners[s] == 0 || owners[s] == (1 << p))
#endif

/* Store s handles the vote request of p. */
inline vote(p, s) {
	request[p] = without(request[p], s);
	if
	:: (s != 0 || ready0) && free(p, s) && !refused(p, s) ->
		owners[s] = 1 << p;
		if
		:: open(p) ->
			grant[p] = with(grant[p], s);
			if
			:: has(known0, s) -> grantKnown[p] = with(grantKnown[p], s)
			:: else
			fi;
			if
			:: s == 0 -> grantInc0[p] = inc0
			:: else
			fi
		:: else
		fi
	:: else
	fi
}

/* A grant of store s arrives at p. */
inline arrive(p, s) {
	grant[p] = without(grant[p], s);
	got[p] = with(got[p], s);
	told0[p] = told0[p] | has(grantKnown[p], s);
	grantKnown[p] = without(grantKnown[p], s);
	if
	:: s == 0 -> gotInc0[p] = grantInc0[p]; grantInc0[p] = 0
	:: else
	fi;
	if
	:: valid0(p) + has(got[p], 1) + has(got[p], 2) >= MAJORITY -> decide(p, holding)
	:: else
	fi
}

/* Moves p to its next phase and drops grants that can no longer have an effect. */
inline decide(p, next) {
	phase[p] = next;
	if
	:: open(p)
	:: else ->
		grant[p] = 0;
		grantKnown[p] = 0;
		grantInc0[p] = 0;
		got[p] = 0;
		gotInc0[p] = 0;
		told0[p] = 0
	fi
}

inline withdraw(p) {
	release[p] = 7;
	decide(p, withdrawn)
}

/* A withdrawal may arrive before the vote request that it withdraws. */
inline handleRelease(p, s) {
	release[p] = without(release[p], s);
	owners[s] = owners[s] & (3 - (1 << p));
	released[s] = with(released[s], p)
}

proctype Proposer(bit p) {
end_idle:
	do
	:: atomic { has(request[p], 0) -> vote(p, 0) }
	:: atomic { has(request[p], 1) -> vote(p, 1) }
	:: atomic { has(request[p], 2) -> vote(p, 2) }
	:: atomic { has(grant[p], 0) -> arrive(p, 0) }
	:: atomic { has(grant[p], 1) -> arrive(p, 1) }
	:: atomic { has(grant[p], 2) -> arrive(p, 2) }
	:: atomic { has(release[p], 0) -> handleRelease(p, 0) }
	:: atomic { has(release[p], 1) -> handleRelease(p, 1) }
	:: atomic { has(release[p], 2) -> handleRelease(p, 2) }
	/* The deadline passed, or the target sent the documented refusal: answered "not run". */
	:: atomic { phase[p] == asking || phase[p] == holding -> withdraw(p) }
	/* The target runs the request; it must not have run before. */
	:: atomic { phase[p] == holding ->
		assert(!ran);
		/* This attempt was not answered "not run": no withdrawal of it is in flight or was handled. */
#ifndef NO_TOMBSTONE
		assert(release[p] == 0 && !has(released[1], p) && !has(released[2], p));
#endif
		ran = 1;
		decide(p, sent)
	   }
#ifdef NO_SHED_STOP
	:: atomic { phase[p] == sent -> withdraw(p) }
#endif
	/* A withdrawn attempt leaves no vote at a store that did not lose its disk. */
	:: atomic { phase[p] == withdrawn && request[p] == 0 && release[p] == 0 ->
#ifndef NO_GIVE_UP
		assert(!has(owners[1], p) && !has(owners[2], p));
#endif
		break
	   }
	od
}

/* Store s durably records the new incarnation; its records are copied in a later step. */
inline copy(s) {
#ifndef NO_REGISTER
	atomic { known0 = with(known0, s) };
#endif
	atomic {
		released[0] = released[0] | released[s];
		owners[0] = (owners[0] | owners[s]) & (3 - released[0])
	}
}

proctype LoseDisk() {
	atomic {
		inc0 = 1;
		owners[0] = 0;
		released[0] = 0;
#ifndef NO_COPY
		ready0 = 0
#endif
	};
	copy(1);
#ifndef COPY_ONE
	copy(2);
#endif
	atomic { ready0 = 1 }
}

init {
	atomic {
		request[0] = 7;
		request[1] = 7;
		run Proposer(0);
		run Proposer(1);
		run LoseDisk()
	}
}
