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
#ifndef DECIDE_LEASE_H
#define DECIDE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"

enum lease_state {
	LEASE_NONE,	 /* this host has no lease */
	LEASE_REQUESTED, /* a lease was asked for */
	LEASE_CLAIMING,	 /* the holder's key is being written */
	LEASE_HELD,
};

/* What is to be done next. */
enum lease_action {
	LEASE_ACT_NONE,
	LEASE_ACT_REQUEST,
	LEASE_ACT_RENEW,
};

struct lease {
	enum lease_state state;
	int64_t id; /* the store's id of it */
	int64_t fencing_token;
	clk_ms duration;    /* length of a lease */
	clk_ms sent_at;	    /* when the call under way was sent */
	clk_ms valid_until; /* the lease is sure to last */
	clk_ms held_since;  /* when the key was written */
	clk_ms retry_at;
	bool renewing;
	bool key_taken;	   /* somebody holds the duties, as far as is known */
	clk_ms free_since; /* the key is known to be missing */
};

void lease_init(struct lease *duty, clk_ms term);
/* The key of the holder was seen, or is gone. */
void lease_on_key(struct lease *duty, bool taken, bool ours, clk_ms now);
/* Returns what to do now; the caller does it. rank: hosts that go before
 * this one in taking over; eligible: this host can hold the duties. */
enum lease_action lease_tick(struct lease *duty, unsigned rank, bool eligible,
			     clk_ms now);
/* Answers to the calls; ok false: no usable answer, or refused. */
void lease_on_grant(struct lease *duty, bool ok, int64_t lease, clk_ms now);
void lease_on_claim(struct lease *duty, bool ok, int64_t revision, clk_ms now);
void lease_on_renewal(struct lease *duty, bool ok, bool ended, clk_ms now);
/* Whether this host may act now. */
bool lease_may_act(const struct lease *duty, clk_ms now);
/* Gives the duties up. Returns whether the lease is to be ended. */
bool lease_resign(struct lease *duty, clk_ms now);

#endif
