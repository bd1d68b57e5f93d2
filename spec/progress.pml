/*
 * The generated text of one item while successive drivers run it, one per term. A new driver
 * copies the events in the ledger. It then generates events that continue after its last one,
 * or restarts the text, and proposes each event as a part, in order. Parts may be lost. Every
 * event has a unique number and records its predecessor as the engine that generated it had it.
 * Invariant: the ledger never holds an event after one that is not its predecessor.
 *
 * Each MUTATE_* definition adds a fault that the checker must find (spec/check.sh).
 */
#define EV 3    /* longest text in events */
#define TERMS 3
#define PARTS 2 /* proposals of one driver in flight */
#ifndef MAXID
#define MAXID 5 /* total number of events generated */
#endif

byte text[EV]; /* events in the ledger */
byte textLength, ledgerTerm;
byte nextId = 1;
byte term;     /* term of the newest driver */

typedef driver {
	bool first;   /* the driver has generated no event yet */
	bool stopped; /* a part was lost: no more parts are proposed */
	byte events[EV];
	byte count;
};
driver drivers[TERMS];

chan parts[TERMS] = [PARTS] of { byte, byte, byte, bool }; /* position, event, its predecessor, first */

inline discardParts(t) {
	do
	:: nempty(parts[t]) -> parts[t]?_, _, _, _
	:: empty(parts[t]) -> break
	od
}

active [TERMS] proctype runDriver() {
	byte me = _pid, i, predecessor;

	/* A new driver starts once it has applied an entry of its own term. By then, each
	   proposal of an earlier driver is either applied or lost. */
	atomic { term <= me ->
		term = me + 1;
		i = 0;
		do
		:: i < me ->
#ifndef MUTATE_NOT_SETTLED
			discardParts(i);
#endif
			i++
		:: else -> break
		od;
		i = 0;
		do
		:: i < textLength -> drivers[me].events[i] = text[i]; i++
		:: else -> break
		od;
		drivers[me].count = textLength; drivers[me].first = true; i = 0 }

	do
	/* The driver generates the next event. Proposals of an older driver no longer commit. */
	:: atomic { drivers[me].count < EV && nextId <= MAXID && nfull(parts[me]) ->
		if
		:: drivers[me].count > 0 -> predecessor = drivers[me].events[drivers[me].count - 1]
		:: else -> predecessor = 0
		fi;
		if
		:: !drivers[me].stopped && term == me + 1 -> parts[me]!drivers[me].count, nextId, predecessor, drivers[me].first
		:: else
		fi;
		drivers[me].events[drivers[me].count] = nextId;
		drivers[me].count++; nextId++; drivers[me].first = false; predecessor = 0 }

	/* The driver restarts the text, because one text must not mix weight versions. */
	:: atomic { drivers[me].count > 0 && nextId <= MAXID -> drivers[me].count = 0 }
	od
}

active proctype ledger() {
	byte t, position, id, predecessor;
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
		:: parts[t]?position, id, predecessor, first
		:: len(parts[t]) == 2 -> parts[t]?position, id, predecessor, first; parts[t]!position, id, predecessor, first; parts[t]?position, id, predecessor, first
		fi;
#else
		parts[t]?position, id, predecessor, first;
#endif
		if
		:: true -> /* the part is lost; the driver notices before it proposes more */
#ifndef MUTATE_GOES_ON
			discardParts(t); drivers[t].stopped = true
#else
			skip
#endif
		:: position == 0 && t + 1 >= ledgerTerm -> text[0] = id; textLength = 1; ledgerTerm = t + 1
		:: position > 0 && position == textLength && (t + 1 == ledgerTerm || (first && t + 1 > ledgerTerm)) ->
			assert(text[textLength - 1] == predecessor);
			text[textLength] = id; textLength++; ledgerTerm = t + 1
		:: else -> skip
		fi;
		t = 0; position = 0; id = 0; predecessor = 0; first = false }
	od
}
