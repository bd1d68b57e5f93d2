/*
 * The text of one item while drivers follow each other. A driver of each term copies
 * what the ledger holds, generates events that go on after its own last one, or begins
 * the text anew, and proposes each as a part, in order. Parts may be lost. Every event has a
 * number of its own and remembers the event before it, as the engine that made it saw it.
 * The ledger must never hold an event behind one that it does not go on after.
 */
#define EV 3       /* longest text */
#define TERMS 3
#define PARTS 2    /* proposals of one driver on their way */
#ifndef MAXID
#define MAXID 5    /* events generated in all */
#endif

byte text[EV];     /* the ledger */
byte length, lterm;
byte nextId = 1;
byte term;         /* of the newest driver */

typedef driver {
	bool first;           /* nothing was told yet */
	bool silent;          /* a part was lost: no further one is proposed */
	byte own[EV];
	byte n;
};
driver d[TERMS];

chan parts[TERMS] = [PARTS] of { byte, byte, byte, bool }; /* after, event, event before it, first */

inline drop(t) {
	do
	:: nempty(parts[t]) -> parts[t]?_, _, _, _
	:: empty(parts[t]) -> break
	od
}

active [TERMS] proctype drive() {
	byte me = _pid, i, before;

	/* A new driver begins once it has applied an entry of its own term: what drivers
	   before it proposed is applied or lost by then. */
	atomic { term <= me ->
		term = me + 1;
		i = 0;
		do
		:: i < me ->
#ifndef MUTATE_NOT_SETTLED
			drop(i);
#endif
			i++
		:: else -> break
		od;
		i = 0;
		do
		:: i < length -> d[me].own[i] = text[i]; i++
		:: else -> break
		od;
		d[me].n = length; d[me].first = true; i = 0 }

	do
	/* The next event of the text. An older driver commits nothing any more. */
	:: atomic { d[me].n < EV && nextId <= MAXID && nfull(parts[me]) ->
		if
		:: d[me].n > 0 -> before = d[me].own[d[me].n - 1]
		:: else -> before = 0
		fi;
		if
		:: !d[me].silent && term == me + 1 -> parts[me]!d[me].n, nextId, before, d[me].first
		:: else
		fi;
		d[me].own[d[me].n] = nextId;
		d[me].n++; nextId++; d[me].first = false; before = 0 }

	/* The text is begun anew, since its version may not be mixed. */
	:: atomic { d[me].n > 0 && nextId <= MAXID -> d[me].n = 0 }
	od
}

active proctype ledger() {
	byte t, after, id, before;
	bool first;

	do
	:: atomic {
		if
		:: nempty(parts[0]) -> t = 0
		:: nempty(parts[1]) -> t = 1
		:: nempty(parts[2]) -> t = 2
		fi;
#ifdef MUTATE_UNORDERED
		if
		:: parts[t]?after, id, before, first
		:: len(parts[t]) == 2 -> parts[t]?after, id, before, first; parts[t]!after, id, before, first; parts[t]?after, id, before, first
		fi;
#else
		parts[t]?after, id, before, first;
#endif
		if
		:: true -> /* lost, which the driver sees before it proposes more */
#ifndef MUTATE_GOES_ON
			drop(t); d[t].silent = true
#else
			skip
#endif
		:: after == 0 && t + 1 >= lterm -> text[0] = id; length = 1; lterm = t + 1
		:: after > 0 && after == length && (t + 1 == lterm || (first && t + 1 > lterm)) ->
			assert(text[length - 1] == before);
			text[length] = id; length++; lterm = t + 1
		:: else -> skip
		fi;
		t = 0; after = 0; id = 0; before = 0; first = false }
	od
}
