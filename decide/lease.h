/*
 * Leadership under a lease of the platform's store: which host performs the
 * duties that only one host at a time may perform.
 *
 * The fencing token is the store's revision at which the leader's key was
 * written, so it grows with each leader. A leader acts only while a renewal
 * that is known to have succeeded covers the present, by a clock that counts
 * suspended time, and well before its lease can expire; so the previous leader
 * has stopped when the key is free. A lease that was held for less than its
 * duration is not revoked but left to expire: the key of each leader exists for
 * one duration at least, so none leads again sooner after another one.
 *
 * All this holds within one era of the store. When it comes back from an older
 * copy, it may have a lease and a key of a former leader, or none. Nobody uses
 * a lease of an earlier era. Who is certain to lead when it learns of the new
 * era may act until its lease could have expired, and claim the key at once.
 * All others wait for one duration before they claim it: then no leader of an
 * earlier era acts any more.
 */
#ifndef DECIDE_LEASE_H
#define DECIDE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"

enum lease_state {
	LEASE_NONE,	 /* this host has no lease */
	LEASE_REQUESTED, /* waiting for the grant of a lease */
	LEASE_CLAIMING,	 /* the leader's key is being written */
	LEASE_HELD,
};

/* The next call to make. */
enum lease_action {
	LEASE_ACT_NONE,
	LEASE_ACT_REQUEST,
	LEASE_ACT_RENEW,
};

struct lease {
	enum lease_state state;
	int64_t id; /* in the store */
	int64_t fencing_token;
	clk_ms duration;
	clk_ms sent_at;	    /* when the pending call was sent */
	clk_ms valid_until; /* the lease is certain to last until then */
	clk_ms held_since;  /* when the key was written */
	clk_ms retry_at;
	bool renewing;
	bool key_taken;	   /* a leader's key exists, as far as is known */
	clk_ms free_since; /* since when the key is known to be missing */
	clk_ms claim_from; /* no leader of an earlier era acts from then on */
	/* The lease of an earlier era under which this host may still act. */
	clk_ms kept_until;
	int64_t kept_id;
	int64_t kept_token;
};

/* duration: of a lease, and the least time, in ms, after which a former leader
 * may lead again. */
void lease_init(struct lease *lease, clk_ms duration);
/* The store begins an era. until: how long leaders of earlier eras may act, in
 * ms from now; 0: there are none. */
void lease_on_era(struct lease *lease, clk_ms until, clk_ms now);
/* Another host has led in the present era already: no leader of an earlier one
 * acts any more. */
void lease_on_led(struct lease *lease);
/* The leader's key was found to exist or to be missing; ours: it is that of
 * this host's lease. While it may act under kept_id, a key that only the copy
 * can have counts as missing. */
void lease_on_key(struct lease *lease, bool taken, bool ours, clk_ms now);
/* Returns the call to make now, which the user of this module makes. rank:
 * number of hosts that precede this one in taking over; eligible: this host
 * can be the leader. */
enum lease_action lease_tick(struct lease *lease, unsigned rank, bool eligible,
			     clk_ms now);
/* Responses to the calls; ok false: refused, or no usable response. */
void lease_on_grant(struct lease *lease, bool ok, int64_t id, clk_ms now);
void lease_on_claim(struct lease *lease, bool ok, int64_t revision, clk_ms now);
void lease_on_renewal(struct lease *lease, bool ok, bool ended, clk_ms now);
/* Whether this host may act as the leader now. */
bool lease_may_act(const struct lease *lease, clk_ms now);
/* Whether it leads in the store's present era. */
bool lease_is_held(const struct lease *lease, clk_ms now);
/* Returns the fencing token under which it may act; 0: none. */
int64_t lease_token(const struct lease *lease);
/* Gives up leadership. Returns whether the lease is to be revoked. */
bool lease_resign(struct lease *lease, clk_ms now);

#endif
