/*
 * Homes and guardians, one request id, for spin.
 *
 * Host 0 is the id's home. Host 1 guards it first; host 2 may become its next
 * guardian, or guard host 1 and take over from it. Messages may be late, lost
 * (never received) or repeated (sent again); hosts may be paused at any step
 * (any interleaving) and die. The platform's record is changed by
 * compare-and-swap; its answer may be lost, then the swap's outcome is read.
 *
 * A rule is left out with -DNO_<RULE>; then an assertion must fail.
 *
 *   spin -a replica.pml && cc -O2 -DSAFETY -o pan pan.c && ./pan -m100000
 */

/* The record of the home, and of host 1 as a home. */
#define OPEN1 1	 /* open, guarded by host 1 */
#define OPEN2 2	 /* open, guarded by host 2 */
#define SEALED1 3 /* sealed by host 1 */
#define SEALED2 4 /* sealed by host 2 */
byte record0 = OPEN1;
byte record1 = OPEN2; /* host 1's own record: guarded by host 2 */

/* What a guardian has of the id. */
#define NONE 0
#define HELD 1
#define GRANTED 2
#define TOMB 3

/* Messages from home to guardian: [guardian 1 or 2]. A bit stays set: it can
 * be received late, and again. */
bool hold_sent[3];
bool grant_asked[3];
bool revoke_sent[3];
bool copy_held[3];
bool copy_granted[3];
/* Verdicts from guardian to home. */
bool held_told[3];
bool granted_told[3];
bool revoked_told[3];

byte kept[3];	    /* what guardian 1, 2 has of the home's id */
byte kept_of1 = NONE; /* what host 2 has of the id as host 1's guardian */
bool sealing[3];    /* guardian sent its seal */
bool dead[3];

/* The upstream. */
byte ran = 0;
byte in_flight = 0; /* calls sent and not yet executed */
bool told_not_run = false;
bool told_whole = false;

inline execute()
{
	atomic {
		in_flight > 0;
		in_flight--;
		ran++;
		assert(ran <= 1);	 /* at most once */
		assert(!told_not_run);	 /* not run is true */
	}
}

inline say_not_run()
{
	told_not_run = true;
	assert(ran == 0);
}

/* The upstream executes what reaches it, at any time. */
active proctype upstream()
{
end:
	do
	:: execute()
	od
}

/* The home of the id. */
active proctype home()
{
	byte guardian = 1;  /* by the record, as the home knows */
	bool changing = false; /* between copy and the swap's end */
	bool may_run = true;   /* has not given its right up */
	bool held = false;
	bool asked = false;
	bool dispatched = false;
	bool sent_any = false;

end:
	do
	/* Dies. */
	:: atomic { !dead[0] -> dead[0] = true; break }
	/* Sends the hold, alone or with the wish for the grant. */
	:: atomic { may_run && !changing && !held ->
		hold_sent[guardian] = true; sent_any = true }
	:: atomic { may_run && !changing && !asked ->
		hold_sent[guardian] = true; grant_asked[guardian] = true;
		sent_any = true; asked = true }
	/* The verdicts. */
	:: atomic { held_told[guardian] && !held && !changing -> held = true }
	:: atomic { granted_told[guardian] && may_run && !dispatched &&
#ifdef NO_OLD_GRANT
		true ->
#else
		!changing ->
#endif
		dispatched = true; in_flight++ }
#ifdef NO_OLD_GRANT
	:: atomic { granted_told[1] && may_run && !dispatched && changing ->
		dispatched = true; in_flight++ }
#endif
	/* Refuses: nothing was sent, or the revocation is confirmed. */
	:: atomic { may_run && !sent_any && !dispatched ->
		may_run = false; say_not_run() }
	:: atomic { may_run && sent_any && !dispatched && !changing ->
		may_run = false;
#ifdef NO_REVOKE_ACK
		say_not_run()
#else
		revoke_sent[guardian] = true
#endif
	   }
	:: atomic { !may_run && revoked_told[guardian] && !told_not_run &&
		!dispatched -> say_not_run() }
	/* Its guardian is thought dead: copy to host 2, then swap. */
	:: atomic { guardian == 1 && !changing && may_run ->
		changing = true;
#ifndef NO_COPY_FIRST
		if
		:: dispatched -> copy_granted[2] = true
		:: !dispatched && sent_any -> copy_held[2] = true
		:: else
		fi
#endif
	   }
	:: atomic { changing &&
#ifdef NO_COPY_FIRST
		true ->
#else
		(!sent_any || kept[2] != NONE) ->
#endif
		if
		:: record0 == OPEN1 ->
			record0 = OPEN2; guardian = 2; changing = false;
			held = false; asked = false
		:: else -> may_run = false; changing = false; break
		fi }
	od
}

/* A host as the home's guardian number me. */
inline guard_steps(me)
{
	/* Takes a copy. */
	if
	:: atomic { copy_granted[me] && kept[me] == NONE &&
		!sealing[me] -> kept[me] = GRANTED }
	:: atomic { copy_held[me] && kept[me] == NONE && !sealing[me] ->
		kept[me] = HELD }
	/* Takes a hold, grants. */
	:: atomic { hold_sent[me] && kept[me] == NONE && !sealing[me] ->
		kept[me] = HELD; held_told[me] = true }
	:: atomic { grant_asked[me] &&
		(kept[me] == NONE || kept[me] == HELD) &&
#ifdef NO_SEALING_NO_GRANT
		true ->
#else
		!sealing[me] ->
#endif
		kept[me] = GRANTED; held_told[me] = true;
		granted_told[me] = true }
	:: atomic { grant_asked[me] && kept[me] == GRANTED && !sealing[me] ->
		granted_told[me] = true }
	/* Writes the tombstone. */
	:: atomic { revoke_sent[me] && !sealing[me] && kept[me] != TOMB ->
		kept[me] = TOMB; revoked_told[me] = true }
	:: else -> skip
	fi
}

/* Host 1: guardian first, successor of the home, home under host 2. */
active proctype host1()
{
	byte decided = NONE; /* what was known when the seal was sent */
	bool sealed = false;
	bool asked = false;

end:
	do
	:: atomic { !dead[1] -> dead[1] = true; break }
	:: !sealed -> guard_steps(1)
	/* Thinks the home dead: sends the seal. */
	:: atomic { !sealing[1] -> sealing[1] = true; decided = kept[1] }
	:: atomic { sealing[1] && !sealed ->
		if
		:: record0 == OPEN1 -> record0 = SEALED1; sealed = true
		:: record0 == SEALED1 -> sealed = true
		:: else -> break
		fi }
	/* Ungranted: hands it to its own guardian, asks for its grant. */
	:: atomic { sealed && decided == HELD && !asked ->
		asked = true;
		if
		:: kept_of1 != GRANTED && !dead[2] && record1 == OPEN2 ->
			kept_of1 = GRANTED; in_flight++
		:: else
		fi }
	:: atomic { sealed && decided == HELD && !asked &&
		kept_of1 == NONE -> kept_of1 = HELD }
	/* Granted: a status query that knows nothing proves nothing. */
#ifdef NO_GRANTED_UNKNOWN
	:: atomic { sealed && decided == GRANTED && ran == 0 &&
		!told_not_run -> say_not_run() }
#endif
	/* Never seen: not run, by its own seal. */
	:: atomic { sealed && decided == NONE && !told_not_run && !asked ->
#ifdef NO_UNSEEN_NOT_RUN
		asked = true; in_flight++
#else
		asked = true; say_not_run()
#endif
	   }
	od
}

/* Host 2: next guardian of the home, guardian of host 1. */
active proctype host2()
{
	byte decided = NONE;
	bool sealed = false;
	bool sealed1 = false;
	bool asked = false;

end:
	do
	:: atomic { !dead[2] -> dead[2] = true; break }
	:: !sealed -> guard_steps(2)
	:: atomic { !sealing[2] && record0 == OPEN2 ->
		sealing[2] = true; decided = kept[2] }
	:: atomic { sealing[2] && !sealed && record0 == OPEN2 ->
		record0 = SEALED2; sealed = true }
	:: atomic { sealed && decided == HELD && !asked ->
		asked = true; in_flight++ }
	:: atomic { sealed && decided == NONE && !asked ->
		asked = true;
#ifdef NO_UNSEEN_NOT_RUN
		in_flight++
#else
		if
		:: !told_not_run -> say_not_run()
		:: else
		fi
#endif
	   }
	/* Thinks host 1 dead: seals its record, is second in the line. */
	:: atomic { !sealed1 && dead[1] && record0 == SEALED1 &&
		record1 == OPEN2 -> record1 = SEALED2; sealed1 = true }
	:: atomic { sealed1 && kept_of1 == HELD && !asked ->
		asked = true; kept_of1 = GRANTED; in_flight++ }
	/* Never seen after two seals: an earlier grant may have been lost. */
#ifdef NO_TWO_SEALS_UNKNOWN
	:: atomic { sealed1 && kept_of1 == NONE && !asked &&
		!told_not_run -> asked = true; say_not_run() }
#endif
	od
}
