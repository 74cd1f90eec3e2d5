/*
 * Holding the singleton duties under a lease of the platform's store.
 *
 * The fencing number is the store's revision at which the holder's key was
 * written, so it grows with each holder. A holder acts only while a renewal
 * that is known to have succeeded covers the moment, by a clock that counts
 * suspended time, and well before its lease can lapse; so the one before has
 * stopped when the key is free. A lease that was held for less than its length
 * is not ended but left to lapse: holders do not change back and forth faster.
 */
#ifndef DECIDE_DUTY_H
#define DECIDE_DUTY_H

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"

enum duty_state {
	DUTY_FREE,     /* this host has no lease */
	DUTY_LEASING,  /* a lease was asked for */
	DUTY_CLAIMING, /* the holder's key is being written */
	DUTY_HELD,
};

/* What is to be done next. */
enum duty_step {
	DUTY_NOTHING,
	DUTY_ASK_LEASE,
	DUTY_RENEW,
};

struct duty {
	enum duty_state state;
	int64_t lease; /* the store's id of it */
	int64_t fence;
	clk_ms term;	    /* length of a lease */
	clk_ms asked_at;    /* when the call under way was sent */
	clk_ms valid_until; /* the lease is sure to last */
	clk_ms held_from;   /* when the key was written */
	clk_ms next_try;
	bool renewing;
	bool key_taken;	   /* somebody holds the duties, as far as is known */
	clk_ms free_since; /* the key is known to be missing */
};

void duty_init(struct duty *duty, clk_ms term);
/* The key of the holder was seen, or is gone. */
void duty_on_key(struct duty *duty, bool taken, bool ours, clk_ms now);
/* Returns what to do now; the caller does it. rank: hosts that go before
 * this one in taking over; eligible: this host can hold the duties. */
enum duty_step duty_tick(struct duty *duty, unsigned rank, bool eligible,
			 clk_ms now);
/* Answers to the calls; ok false: no usable answer, or refused. */
void duty_on_lease(struct duty *duty, bool ok, int64_t lease, clk_ms now);
void duty_on_claim(struct duty *duty, bool ok, int64_t revision, clk_ms now);
void duty_on_renewal(struct duty *duty, bool ok, bool ended, clk_ms now);
/* Whether this host may act now. */
bool duty_may_act(const struct duty *duty, clk_ms now);
/* Gives the duties up. Returns whether the lease is to be ended. */
bool duty_resign(struct duty *duty, clk_ms now);

#endif
