/* Consensus with membership changes and disk loss (docs/design.md 5.2, pkg/agree).
 *
 * There are three hosts, each with an incarnation: 0, or 1 after it lost its
 * disk. One process executes the atomic steps of all hosts. Votes and
 * acknowledgements remain valid at the candidate or leader that received them
 * even after the sender loses its disk; this models messages that arrive late.
 * Pre-vote, check-quorum and leases only restrict when hosts campaign, so they
 * are omitted: any host may campaign at any time.
 *
 * Safety: at each index only one entry is ever committed, and the leader of a
 * term holds all entries that were committed in earlier terms.
 *
 * Negative variants, each with one rule removed:
 *   NO_INCARNATION  votes and acknowledgements are counted by host name, whatever
 *                   the incarnation
 *   NO_FRESHNESS    votes are granted without comparing logs
 *   NO_LEARNER      a replacement becomes a voter immediately
 *   NO_ONE_VOTE     a host may vote more than once in a term
 *   NO_OWN_TERM     entries of earlier terms are committed by counting replicas
 *   NO_PENDING      a membership change may start while another is uncommitted
 *
 * REACH_PROMOTED asserts that no promotion is ever committed. Its violation
 * shows that the bounds are large enough to cover a complete repair.
 */
#define N 3
#ifndef MAXLEN
#define MAXLEN 4
#endif
#ifndef MAXTERM
#define MAXTERM 3
#endif
#ifndef MAXLOSS
#define MAXLOSS 1
#endif
#define NOBODY 3

/* entry kinds: 0 command, 1+h admits host h as learner, 4+h promotes host h to voter */
#define ADMIT(h) (1 + (h))
#define PROMOTE(h) (4 + (h))

#define FOLLOWER 0
#define CANDIDATE 1
#define LEADER 2

#define T(h, i) et[(h) * MAXLEN + (i)]
#define K(h, i) ek[(h) * MAXLEN + (i)]
#define ID(h, life) ((h) * 2 + (life))

byte term[N], voted[N], role[N], size[N], life[N];
byte et[N * MAXLEN], ek[N * MAXLEN]; /* term and kind of each entry */
byte votes[N];                       /* of candidate c: bit ID(h, life) is set for each vote granted to it */
byte match[N * N * 2];               /* match[l * 6 + ID(h, life)]: entries of leader l that the host has acknowledged */
byte commit[N];                      /* commit index as known to the leader itself */
byte done[MAXLEN];                   /* term of each committed entry, 0 if none */
byte donein[MAXLEN];                 /* lowest term of a leader that committed it */
byte losses;

/* scratch variables, reset after use so that they add no states */
byte slot[N]; /* 0: voter, incarnation 0; 1: learner, incarnation 1; 2: voter, incarnation 1 */
byte lastconf, i, n, q;
bool ok;

/* members sets slot, and lastconf to the length of h's log up to its newest membership entry */
inline members(h) {
	slot[0] = 0; slot[1] = 0; slot[2] = 0; lastconf = 0; i = 0;
	do
	:: i < size[h] ->
		if
		:: K(h, i) >= 4 -> slot[K(h, i) - 4] = 2; lastconf = i + 1
		:: K(h, i) >= 1 && K(h, i) < 4 -> lastconf = i + 1;
#ifdef NO_LEARNER
			slot[K(h, i) - 1] = 2
#else
			slot[K(h, i) - 1] = 1
#endif
		:: else
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

inline clear() { slot[0] = 0; slot[1] = 0; slot[2] = 0; lastconf = 0; i = 0; n = 0; q = 0; ok = false }

/* vote, reachability and match index of host h under the membership in slot */
#ifdef NO_INCARNATION
#define COUNTED(mask, h) (((mask) >> ID(h, 0)) & 3)
#define REACHES(h) true
#define MATCH(l, h) (match[(l) * 6 + ID(h, 0)] > match[(l) * 6 + ID(h, 1)] -> match[(l) * 6 + ID(h, 0)] : match[(l) * 6 + ID(h, 1)])
#else
#define COUNTED(mask, h) (((mask) >> ID(h, slot[h] / 2)) & 1)
#define REACHES(h) (life[h] == (slot[h] > 0))
#define MATCH(l, h) match[(l) * 6 + ID(h, slot[h] / 2)]
#endif
#define ISVOTER(h) (slot[h] != 1)

/* quorum sets q to the size of a majority of the voters */
inline quorum() { q = (ISVOTER(0) + ISVOTER(1) + ISVOTER(2)) / 2 + 1 }

inline campaign(c) {
	d_step {
		members(c);
		ok = role[c] != LEADER && term[c] < MAXTERM && ISVOTER(c) && life[c] == (slot[c] > 0);
		if
		:: ok -> term[c]++; voted[c] = c; role[c] = CANDIDATE; votes[c] = 1 << ID(c, life[c]); commit[c] = 0
		:: else
		fi;
		clear()
	}
}

/* v handles the vote request of c; the request is addressed to the incarnation in c's membership */
inline grant(c, v) {
	d_step {
		members(c);
		ok = role[c] == CANDIDATE && ISVOTER(v) && REACHES(v) && term[c] >= term[v];
		if
		:: ok ->
			if
			:: term[v] < term[c] -> term[v] = term[c]; voted[v] = NOBODY; role[v] = FOLLOWER; votes[v] = 0; commit[v] = 0
			:: else
			fi;
#ifndef NO_ONE_VOTE
			ok = voted[v] == NOBODY || voted[v] == c;
#endif
#ifndef NO_FRESHNESS
			if
			:: size[v] == 0
			:: size[v] > 0 && size[c] == 0 -> ok = false
			:: size[v] > 0 && size[c] > 0 ->
				ok = ok && (T(c, size[c] - 1) > T(v, size[v] - 1) || (T(c, size[c] - 1) == T(v, size[v] - 1) && size[c] >= size[v]))
			fi;
#endif
			if
			:: ok -> voted[v] = c; votes[c] = votes[c] | (1 << ID(v, life[v]))
			:: else
			fi
		:: else
		fi;
		clear()
	}
}

inline lead(c) {
	d_step {
		members(c); quorum();
		n = (ISVOTER(0) && COUNTED(votes[c], 0)) + (ISVOTER(1) && COUNTED(votes[c], 1)) + (ISVOTER(2) && COUNTED(votes[c], 2));
		ok = role[c] == CANDIDATE && n >= q && size[c] < MAXLEN;
		if
		:: ok ->
			i = 0;
			do
			:: i < MAXLEN ->
				assert(done[i] == 0 || donein[i] >= term[c] || (i < size[c] && T(c, i) == done[i]));
				i++
			:: else -> break
			od;
			role[c] = LEADER; votes[c] = 0; commit[c] = 0;
			i = 0;
			do
			:: i < 6 -> match[c * 6 + i] = 0; i++
			:: else -> break
			od;
			T(c, size[c]) = term[c]; K(c, size[c]) = 0; size[c]++;
			match[c * 6 + ID(c, life[c])] = size[c]
		:: else
		fi;
		clear()
	}
}

/* f stores the first entry of l's log that it lacks and acknowledges it */
inline replicate(l, f) {
	d_step {
		members(l);
		ok = role[l] == LEADER && term[l] >= term[f] && REACHES(f);
		if
		:: ok ->
			if
			:: term[f] < term[l] -> term[f] = term[l]; voted[f] = NOBODY
			:: else
			fi;
			role[f] = FOLLOWER; votes[f] = 0; commit[f] = 0;
			i = 0;
			do
			:: i < size[l] && i < size[f] && T(l, i) == T(f, i) -> i++
			:: else -> break
			od;
			if
			:: i < size[l] ->
				T(f, i) = T(l, i); K(f, i) = K(l, i);
				n = i + 1;
				do
				:: n < size[f] -> T(f, n) = 0; K(f, n) = 0; n++
				:: else -> break
				od;
				size[f] = i + 1
			:: else
			fi;
			match[l * 6 + ID(f, life[f])] = (i < size[l] -> i + 1 : size[l])
		:: else
		fi;
		clear()
	}
}

inline commitone(l) {
	d_step {
		members(l); quorum();
		if
		:: role[l] == LEADER && commit[l] < size[l] ->
			n = 0;
			/* find the highest index that a majority holds and whose entry is of the leader's own term */
			i = size[l];
			do
			:: i > commit[l] ->
				n = (ISVOTER(0) && MATCH(l, 0) >= i) + (ISVOTER(1) && MATCH(l, 1) >= i) + (ISVOTER(2) && MATCH(l, 2) >= i);
				if
#ifdef NO_OWN_TERM
				:: n >= q -> break
#else
				:: n >= q && T(l, i - 1) == term[l] -> break
#endif
				:: else -> i--
				fi
			:: else -> break
			od;
			commit[l] = i;
			i = 0;
			do
			:: i < commit[l] ->
				assert(done[i] == 0 || done[i] == T(l, i));
				if
				:: done[i] == 0 || donein[i] > term[l] -> donein[i] = term[l]
				:: else
				fi;
				done[i] = T(l, i);
#ifdef REACH_PROMOTED
				assert(K(l, i) < 4);
#endif
				i++
			:: else -> break
			od
		:: else
		fi;
		clear()
	}
}

inline command(l) {
	d_step {
		if
		:: role[l] == LEADER && size[l] < MAXLEN ->
			T(l, size[l]) = term[l]; K(l, size[l]) = 0; size[l]++;
			match[l * 6 + ID(l, life[l])] = size[l]
		:: else
		fi
	}
}

/* l admits or promotes h; the previous membership and an entry of l's own term must be committed */
inline change(l, h) {
	d_step {
		members(l);
		ok = role[l] == LEADER && l != h && size[l] < MAXLEN && life[h] == 1 && slot[h] != 2;
		ok = ok && commit[l] > 0;
		if
		:: ok -> ok = T(l, commit[l] - 1) == term[l]
		:: else
		fi;
#ifndef NO_PENDING
		ok = ok && lastconf <= commit[l];
#endif
		if
		:: ok && slot[h] == 1 -> ok = match[l * 6 + ID(h, 1)] >= commit[l]
		:: else
		fi;
		if
		:: ok ->
			T(l, size[l]) = term[l];
			K(l, size[l]) = (slot[h] == 0 -> ADMIT(h) : PROMOTE(h));
			size[l]++;
			match[l * 6 + ID(l, life[l])] = size[l]
		:: else
		fi;
		clear()
	}
}

inline lose(h) {
	d_step {
		if
		:: losses < MAXLOSS && life[h] == 0 ->
			losses++; life[h] = 1;
			term[h] = 0; voted[h] = NOBODY; role[h] = FOLLOWER; votes[h] = 0; commit[h] = 0; size[h] = 0;
			i = 0;
			do
			:: i < MAXLEN -> T(h, i) = 0; K(h, i) = 0; i++
			:: else -> break
			od;
			i = 0;
			do
			:: i < 6 -> match[h * 6 + i] = 0; i++
			:: else -> break
			od;
			i = 0
		:: else
		fi
	}
}

active proctype hosts() {
	d_step { voted[0] = NOBODY; voted[1] = NOBODY; voted[2] = NOBODY }
	do
	:: campaign(0) :: campaign(1) :: campaign(2)
	:: grant(0, 1) :: grant(0, 2) :: grant(1, 0) :: grant(1, 2) :: grant(2, 0) :: grant(2, 1)
	:: lead(0) :: lead(1) :: lead(2)
	:: replicate(0, 1) :: replicate(0, 2) :: replicate(1, 0) :: replicate(1, 2) :: replicate(2, 0) :: replicate(2, 1)
	:: commitone(0) :: commitone(1) :: commitone(2)
	:: command(0) :: command(1) :: command(2)
	:: change(0, 2) :: change(1, 2) :: lose(2) /* hosts are symmetric, so only host 2 needs to lose its disk */
#if MAXLOSS > 1
	:: change(0, 1) :: change(2, 1) :: lose(1)
#endif
	od
}
