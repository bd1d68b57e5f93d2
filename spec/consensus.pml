/*
 * The core of the replication protocol: votes, log replication, commitment of entries of
 * the leader's term by a quorum, and restarts. A restarted replica keeps its stored state.
 * A replica whose disk was lost returns under a new identity that does not vote.
 *
 * The model has three replicas, terms up to MAXTERM and logs up to MAXLOG entries. A message
 * is an atomic step between two replicas, which covers every interleaving of deliveries; a
 * lost message is a step that is not taken. An entry is represented by the term that wrote it.
 *
 * Each MUTATE_* definition adds a fault that the checker must find (spec/check.sh).
 */
#define N 3
#ifndef MAXTERM
#define MAXTERM 3
#endif
#ifndef MAXLOG
#define MAXLOG 2
#endif

byte term[N];
byte voted[N];          /* candidate + 1 in the current term, 0 for none */
bool isLeader[N];
bool diskLost[N];       /* the disk was lost: the old identity never returns */
byte logSize[N];
byte log[N * MAXLOG];   /* term of the entry at each position */
byte votes[N];          /* bit set of the replicas that voted for this candidate */
byte commit[N];
byte committed[MAXLOG]; /* term of the entry committed at a position, 0 for none */
byte leaderOf[MAXTERM + 1];
byte crashCount;

#define LOG(r, i) log[(r) * MAXLOG + (i)]
#define LASTTERM(r) ((logSize[r] == 0) -> 0 : LOG(r, logSize[r] - 1))
#define UPTODATE(c, v) (LASTTERM(c) > LASTTERM(v) || (LASTTERM(c) == LASTTERM(v) && logSize[c] >= logSize[v]))

inline adoptTerm(r, t) {
	if
	:: t > term[r] -> term[r] = t; voted[r] = 0; isLeader[r] = false; votes[r] = 0
	:: else
	fi
}

inline commitAt(r, n) {
	commit[r] = n;
	i = 0;
	do
	:: i < n ->
		/* Invariant: committed entries are never lost or changed. */
		assert(committed[i] == 0 || committed[i] == LOG(r, i));
		committed[i] = LOG(r, i);
		i++
	:: else -> break
	od;
	i = 0
}

active [N] proctype replica() {
	byte me = _pid;
	byte o, i, n, m;

	do
	/* A replica starts an election. */
	:: atomic { !isLeader[me] && !diskLost[me] && term[me] < MAXTERM ->
		term[me]++; voted[me] = me + 1; votes[me] = 1 << me }

	/* A candidate requests a vote, and the other replica may grant it. */
	:: atomic { !isLeader[me] && votes[me] != 0 ->
		select(o : 0 .. N - 1);
		if
		:: o != me && !diskLost[o] && term[o] <= term[me] ->
			adoptTerm(o, term[me]);
			if
#ifdef MUTATE_TWO_VOTES
			:: UPTODATE(me, o) && !isLeader[o] ->
#elif defined(MUTATE_NO_LOG_CHECK)
			:: (voted[o] == 0 || voted[o] == me + 1) ->
#else
			:: (voted[o] == 0 || voted[o] == me + 1) && UPTODATE(me, o) ->
#endif
				voted[o] = me + 1;
				votes[me] = votes[me] | (1 << o)
			:: else
			fi
		:: else
		fi;
		o = 0 }

	/* A candidate with a quorum of votes becomes the leader. */
	:: atomic { !isLeader[me] && (votes[me] == 3 || votes[me] == 5 || votes[me] == 6 || votes[me] == 7) ->
		isLeader[me] = true; votes[me] = 0;
		/* Invariant: at most one leader per term. */
		assert(leaderOf[term[me]] == 0 || leaderOf[term[me]] == me + 1);
		leaderOf[term[me]] = me + 1 }

	/* The leader appends a command to its log. */
	:: atomic { isLeader[me] && logSize[me] < MAXLOG ->
		LOG(me, logSize[me]) = term[me]; logSize[me]++ }

	/* The leader replicates its log up to a position to a follower. */
	:: atomic { isLeader[me] ->
		select(o : 0 .. N - 1);
		if
		:: o != me && !diskLost[o] && term[o] <= term[me] ->
			adoptTerm(o, term[me]);
			isLeader[o] = false; votes[o] = 0;
			select(n : 0 .. MAXLOG);
			if
			:: n <= logSize[me] ->
				/* An append never truncates a log that already contains its entries. */
				i = 0; m = 1;
				do
				:: i < n && i < logSize[o] -> m = (m && LOG(o, i) == LOG(me, i)); i++
				:: else -> break
				od;
				if
				:: m && logSize[o] >= n
				:: else ->
					i = 0;
					do
					:: i < n -> LOG(o, i) = LOG(me, i); i++
					:: else -> break
					od;
					do
					:: i < MAXLOG -> LOG(o, i) = 0; i++
					:: else -> break
					od;
					logSize[o] = n
				fi
			:: else
			fi
		:: else
		fi;
		o = 0; n = 0; i = 0; m = 0 }

	/* The leader commits entries that a quorum stores, if its own term wrote the last of them. */
	:: atomic { isLeader[me] && commit[me] < logSize[me] ->
		n = commit[me] + 1;
#ifdef MUTATE_COMMIT_OLD_TERM
		if
		:: true ->
#else
		if
		:: LOG(me, n - 1) == term[me] || (n < logSize[me] && LOG(me, n) == term[me]) ->
			if
			:: LOG(me, n - 1) != term[me] -> n++
			:: else
			fi;
#endif
			m = 0; o = 0;
			do
			:: o < N ->
				if
				:: o == me -> m++
				:: o != me && !diskLost[o] && term[o] == term[me] && logSize[o] >= n && LOG(o, n - 1) == LOG(me, n - 1) -> m++
				:: else
				fi;
				o++
			:: else -> break
			od;
			if
			:: m >= 2 -> commitAt(me, n)
			:: else
			fi
		:: else
		fi;
		o = 0; n = 0; m = 0 }

	/* A replica crashes: stored state survives, its role and the votes it received do not. */
	:: atomic { crashCount < 2 -> crashCount++; isLeader[me] = false; votes[me] = 0; commit[me] = 0 }

	/* A replica loses its disk; at most one of the three does. */
	:: atomic { !diskLost[0] && !diskLost[1] && !diskLost[2] && crashCount < 2 ->
		crashCount++; isLeader[me] = false; votes[me] = 0; commit[me] = 0; logSize[me] = 0;
		i = 0;
		do
		:: i < MAXLOG -> LOG(me, i) = 0; i++
		:: else -> break
		od;
		i = 0;
#ifdef MUTATE_EMPTY_VOTES
		term[me] = 0; voted[me] = 0
#else
		diskLost[me] = true
#endif
	}
	od
}
