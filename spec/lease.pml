/*
 * The lease protocol. A candidate observes the renewal number with its own clock and may
 * acquire the lease once the number has not changed for WAIT ticks. Its command names the
 * fencing and renewal numbers that it last observed. There are two processes and one register
 * (the group). Commands and replies may be delayed for any time. An outside call of the
 * holder takes at most CALL ticks and starts only while the lease is valid by the holder's
 * own clock, which counts from the time the command was sent.
 *
 * Times are modelled as ages and remaining ticks, so that time is unbounded; MAXRENEW
 * bounds the renewal number. Each process may pause between any two of its steps.
 *
 * Each MUTATE_* definition adds a fault that the checker must find (spec/check.sh).
 */
#define LEASE 2 /* lease duration in ticks, counted from sending the command */
#define CALL 1  /* longest outside call in ticks */
#ifndef MAXRENEW
#define MAXRENEW 5
#endif
#ifdef MUTATE_SHORT_WAIT
#define WAIT (LEASE - 1)
#else
#define WAIT (LEASE + CALL)
#endif

byte fencing, renewal; /* the register */
bool taken;            /* the lease was acquired at least once */

byte seenFencing[2], seenRenewal[2]; /* the register as last observed */
byte sinceChange[2];                 /* ticks since a change was last observed, at most WAIT */
bool held[2];
byte heldFencing[2];
byte leaseLeft[2];                   /* remaining ticks of the process's own lease */
byte lastRenewal[2];                 /* last renewal number that the holder used */
byte pending[2];                     /* pending command: 0 none, 1 acquire, 2 renew */
byte sinceSent[2];                   /* ticks since the command was sent, at most LEASE */
byte sentFencing[2], sentRenewal[2];
byte callLeft[2];                    /* remaining ticks of an outside call */
byte highestFencing;                 /* highest fencing number of any call so far */
byte p;

inline dropLease(me) {
	held[me] = false; leaseLeft[me] = 0; lastRenewal[me] = 0; heldFencing[me] = 0
}

inline clearPending(me) {
	pending[me] = 0; sinceSent[me] = 0; sentFencing[me] = 0; sentRenewal[me] = 0
}

active proctype clock() {
	do
	:: atomic {
		p = 0;
		do
		:: p < 2 ->
			sinceChange[p] = ((sinceChange[p] < WAIT) -> sinceChange[p] + 1 : sinceChange[p]);
			leaseLeft[p] = ((leaseLeft[p] > 0) -> leaseLeft[p] - 1 : 0);
			callLeft[p] = ((callLeft[p] > 0) -> callLeft[p] - 1 : 0);
			if
			:: pending[p] != 0 && sinceSent[p] < LEASE -> sinceSent[p]++
			:: else
			fi;
#ifndef MUTATE_NO_CHECK
			if
			:: held[p] && leaseLeft[p] == 0 -> dropLease(p)
			:: else
			fi;
#endif
			p++
		:: else -> break
		od;
		p = 0 }
	od
}

active [2] proctype process() {
	byte me = _pid - 1;

	do
	/* A process observes the register. */
	:: atomic { (seenFencing[me] != fencing || seenRenewal[me] != renewal) ->
		seenFencing[me] = fencing; seenRenewal[me] = renewal; sinceChange[me] = 0 }

	/* A candidate that observed no renewal for WAIT ticks sends an acquire command. */
	:: atomic { pending[me] == 0 && !held[me] && renewal < MAXRENEW && (!taken || sinceChange[me] >= WAIT) ->
		pending[me] = 1; sinceSent[me] = 0; sentFencing[me] = seenFencing[me]; sentRenewal[me] = seenRenewal[me] }

	/* The holder sends a renew command, each time with a new number. */
	:: atomic { pending[me] == 0 && held[me] && leaseLeft[me] > 0 && lastRenewal[me] < MAXRENEW ->
#ifndef MUTATE_SAME_RENEWAL
		lastRenewal[me]++;
#endif
		pending[me] = 2; sinceSent[me] = 0; sentFencing[me] = heldFencing[me]; sentRenewal[me] = lastRenewal[me] }

	/* The group applies the command and replies, at any time after it was sent. */
	:: atomic { pending[me] == 1 ->
		if
#ifdef MUTATE_NO_COMPARE
		:: renewal < MAXRENEW ->
#else
		:: fencing == sentFencing[me] && renewal == sentRenewal[me] ->
#endif
			fencing++; renewal++; taken = true;
			seenFencing[me] = fencing; seenRenewal[me] = renewal; sinceChange[me] = 0;
			held[me] = (sinceSent[me] < LEASE);
			heldFencing[me] = (held[me] -> fencing : 0);
			lastRenewal[me] = (held[me] -> renewal : 0);
			leaseLeft[me] = LEASE - sinceSent[me]
		:: else
		fi;
		clearPending(me) }
	:: atomic { pending[me] == 2 ->
		if
		:: fencing == sentFencing[me] ->
			renewal = ((sentRenewal[me] > renewal) -> sentRenewal[me] : renewal);
			if
			:: sinceSent[me] < LEASE ->
				held[me] = true; heldFencing[me] = sentFencing[me]; leaseLeft[me] = LEASE - sinceSent[me];
				lastRenewal[me] = ((sentRenewal[me] > lastRenewal[me]) -> sentRenewal[me] : lastRenewal[me])
			:: else
			fi
		:: else -> dropLease(me)
		fi;
		clearPending(me) }

	/* The reply to a renewal is lost after the command was applied. */
	:: atomic { pending[me] == 2 && fencing == sentFencing[me] ->
		renewal = ((sentRenewal[me] > renewal) -> sentRenewal[me] : renewal);
		clearPending(me) }

	/* The holder starts an outside call after checking that its lease is still valid. */
#ifdef MUTATE_NO_CHECK
	:: atomic { held[me] && callLeft[me] == 0 ->
#else
	:: atomic { held[me] && leaseLeft[me] > 0 && callLeft[me] == 0 ->
#endif
		/* Invariant: outside calls of two processes never overlap. */
		assert(callLeft[1 - me] == 0);
		/* Invariant: fencing numbers of successive calls never decrease. */
		assert(heldFencing[me] >= highestFencing);
		highestFencing = heldFencing[me];
		callLeft[me] = CALL }
	od
}
