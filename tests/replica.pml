/*
 * Model of primaries and standbys for one request id, for spin.
 *
 * Host 0 is the primary of the id. Host 1 is its first standby. Host 2 may
 * become its next standby, or be the standby of host 1 and take over from it.
 * Messages may be delayed, lost (never received) or duplicated (sent again).
 * Hosts may die, and may be paused at any step (any interleaving is possible).
 * The platform's record is changed by compare-and-swap. If the answer is lost,
 * the host reads the record to learn the outcome of the swap.
 *
 * -DNO_<RULE> leaves out a rule; then an assertion must fail.
 *
 *   spin -a replica.pml && cc -O2 -DSAFETY -o pan pan.c && ./pan -m100000
 */

/* States of the platform's records. */
#define OPEN1 1	 /* open, standby is host 1 */
#define OPEN2 2	 /* open, standby is host 2 */
#define SEALED1 3 /* sealed by host 1 */
#define SEALED2 4 /* sealed by host 2 */
byte record0 = OPEN1; /* of the primary, host 0 */
byte record1 = OPEN2; /* of host 1 as a primary: standby is host 2 */

/* What a standby stores for the id. */
#define NONE 0
#define HELD 1
#define GRANTED 2
#define TOMBSTONE 3

/* Messages from the primary to a standby, by its host number, 1 or 2. A bit
 * stays set, so the message can be received late and more than once. */
bool hold_sent[3];
bool grant_requested[3];
bool revoke_sent[3];
bool copy_held[3];
bool copy_granted[3];
/* Acks from a standby to the primary. */
bool held_acked[3];
bool granted_acked[3];
bool revoked_acked[3];

byte stored[3];		 /* by host 1 or 2 as the primary's standby */
byte stored_for1 = NONE; /* by host 2 as the standby of host 1 */
bool seal_sent[3];	 /* the standby sent its seal to the platform */
bool dead[3];

/* The upstream. */
byte executions = 0;
byte in_flight = 0; /* dispatched calls that are not yet executed */
bool reported_not_run = false;
bool reported_complete = false;

inline execute()
{
	atomic {
		in_flight > 0;
		in_flight--;
		executions++;
		assert(executions <= 1);	 /* at most once */
		assert(!reported_not_run);	 /* "not run" is true */
	}
}

inline report_not_run()
{
	reported_not_run = true;
	assert(executions == 0);
}

/* The upstream executes dispatched calls at any time. */
active proctype upstream()
{
end:
	do
	:: execute()
	od
}

/* The primary of the id. */
active proctype primary()
{
	byte standby = 1;	    /* in the record, as last known */
	bool changing = false;	    /* from the copy to the end of the swap */
	bool has_authority = true;  /* until it refuses or is sealed */
	bool held = false;
	bool grant_wanted = false;
	bool dispatched = false;
	bool any_sent = false;

end:
	do
	/* The host dies. */
	:: atomic { !dead[0] -> dead[0] = true; break }
	/* Sends the hold, alone or with a request for the grant. */
	:: atomic { has_authority && !changing && !held ->
		hold_sent[standby] = true; any_sent = true }
	:: atomic { has_authority && !changing && !grant_wanted ->
		hold_sent[standby] = true; grant_requested[standby] = true;
		any_sent = true; grant_wanted = true }
	/* Receives the acks. */
	:: atomic { held_acked[standby] && !held && !changing -> held = true }
	:: atomic { granted_acked[standby] && has_authority && !dispatched &&
#ifdef NO_OLD_GRANT
		true ->
#else
		!changing ->
#endif
		dispatched = true; in_flight++ }
#ifdef NO_OLD_GRANT
	:: atomic { granted_acked[1] && has_authority && !dispatched &&
		changing ->
		dispatched = true; in_flight++ }
#endif
	/* Refuses: at once if no hold was sent, else once the revocation
	 * is confirmed. */
	:: atomic { has_authority && !any_sent && !dispatched ->
		has_authority = false; report_not_run() }
	:: atomic { has_authority && any_sent && !dispatched && !changing ->
		has_authority = false;
#ifdef NO_REVOKE_ACK
		report_not_run()
#else
		revoke_sent[standby] = true
#endif
	   }
	:: atomic { !has_authority && revoked_acked[standby] &&
		!reported_not_run && !dispatched -> report_not_run() }
	/* Its standby is believed dead: copies to host 2, then swaps. */
	:: atomic { standby == 1 && !changing && has_authority ->
		changing = true;
#ifndef NO_COPY_FIRST
		if
		:: dispatched -> copy_granted[2] = true
		:: !dispatched && any_sent -> copy_held[2] = true
		:: else
		fi
#endif
	   }
	:: atomic { changing &&
#ifdef NO_COPY_FIRST
		true ->
#else
		(!any_sent || stored[2] != NONE) ->
#endif
		if
		:: record0 == OPEN1 ->
			record0 = OPEN2; standby = 2; changing = false;
			held = false; grant_wanted = false
		:: else -> has_authority = false; changing = false; break
		fi }
	od
}

/* The steps of host me as a standby of the primary. */
inline standby_steps(me)
{
	/* Stores a copy. */
	if
	:: atomic { copy_granted[me] && stored[me] == NONE &&
		!seal_sent[me] -> stored[me] = GRANTED }
	:: atomic { copy_held[me] && stored[me] == NONE && !seal_sent[me] ->
		stored[me] = HELD }
	/* Stores a hold, grants. */
	:: atomic { hold_sent[me] && stored[me] == NONE && !seal_sent[me] ->
		stored[me] = HELD; held_acked[me] = true }
	:: atomic { grant_requested[me] &&
		(stored[me] == NONE || stored[me] == HELD) &&
#ifdef NO_SEALING_NO_GRANT
		true ->
#else
		!seal_sent[me] ->
#endif
		stored[me] = GRANTED; held_acked[me] = true;
		granted_acked[me] = true }
	:: atomic { grant_requested[me] && stored[me] == GRANTED &&
		!seal_sent[me] ->
		granted_acked[me] = true }
	/* Revokes: stores a tombstone. */
	:: atomic { revoke_sent[me] && !seal_sent[me] &&
		stored[me] != TOMBSTONE ->
		stored[me] = TOMBSTONE; revoked_acked[me] = true }
	:: else -> skip
	fi
}

/* Host 1: the first standby, which takes over from the primary and then is a
 * primary itself, with host 2 as its standby. */
active proctype host1()
{
	byte stored_at_seal = NONE; /* stored state when the seal was sent */
	bool sealed = false;
	bool handled = false;

end:
	do
	:: atomic { !dead[1] -> dead[1] = true; break }
	:: !sealed -> standby_steps(1)
	/* Believes the primary dead: sends the seal. */
	:: atomic { !seal_sent[1] ->
		seal_sent[1] = true; stored_at_seal = stored[1] }
	:: atomic { seal_sent[1] && !sealed ->
		if
		:: record0 == OPEN1 -> record0 = SEALED1; sealed = true
		:: record0 == SEALED1 -> sealed = true
		:: else -> break
		fi }
	/* Held, not granted: copies it to its own standby and requests
	 * the grant there. */
	:: atomic { sealed && stored_at_seal == HELD && !handled ->
		handled = true;
		if
		:: stored_for1 != GRANTED && !dead[2] && record1 == OPEN2 ->
			stored_for1 = GRANTED; in_flight++
		:: else
		fi }
	:: atomic { sealed && stored_at_seal == HELD && !handled &&
		stored_for1 == NONE -> stored_for1 = HELD }
	/* Granted: a status query that finds no execution does not prove
	 * that the call will not run. */
#ifdef NO_GRANTED_UNKNOWN
	:: atomic { sealed && stored_at_seal == GRANTED && executions == 0 &&
		!reported_not_run -> report_not_run() }
#endif
	/* Unknown id: its seal proves that it was not run. */
	:: atomic { sealed && stored_at_seal == NONE && !reported_not_run &&
		!handled ->
#ifdef NO_UNSEEN_NOT_RUN
		handled = true; in_flight++
#else
		handled = true; report_not_run()
#endif
	   }
	od
}

/* Host 2: the next standby of the primary, and the standby of host 1. */
active proctype host2()
{
	byte stored_at_seal = NONE;
	bool sealed = false;
	bool sealed1 = false;
	bool handled = false;

end:
	do
	:: atomic { !dead[2] -> dead[2] = true; break }
	:: !sealed -> standby_steps(2)
	:: atomic { !seal_sent[2] && record0 == OPEN2 ->
		seal_sent[2] = true; stored_at_seal = stored[2] }
	:: atomic { seal_sent[2] && !sealed && record0 == OPEN2 ->
		record0 = SEALED2; sealed = true }
	:: atomic { sealed && stored_at_seal == HELD && !handled ->
		handled = true; in_flight++ }
	:: atomic { sealed && stored_at_seal == NONE && !handled ->
		handled = true;
#ifdef NO_UNSEEN_NOT_RUN
		in_flight++
#else
		if
		:: !reported_not_run -> report_not_run()
		:: else
		fi
#endif
	   }
	/* Host 1 died after it sealed the record of host 0: seals the
	 * record of host 1, so it takes over as the second in turn. */
	:: atomic { !sealed1 && dead[1] && record0 == SEALED1 &&
		record1 == OPEN2 -> record1 = SEALED2; sealed1 = true }
	:: atomic { sealed1 && stored_for1 == HELD && !handled ->
		handled = true; stored_for1 = GRANTED; in_flight++ }
	/* Unknown id after two seals: the copy of an earlier grant may have
	 * been lost. */
#ifdef NO_TWO_SEALS_UNKNOWN
	:: atomic { sealed1 && stored_for1 == NONE && !handled &&
		!reported_not_run -> handled = true; report_not_run() }
#endif
	od
}
