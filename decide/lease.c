/* Leadership under a lease of the platform's store. */
#include "lease.h"

#include <glib.h>
#include <stddef.h>

#define RENEW_DIVISOR 3	     /* renewals per lease duration */
#define MARGIN_DIVISOR 5     /* part of the duration kept as a safety margin */
#define RETRY_MS 500	     /* after a failed call */
#define RANK_WAIT_MS 400     /* per host that precedes this one in rank */
#define FIRST_WAIT_MS 200    /* after the key was found missing */
#define CALL_TIMEOUT_MS 3000 /* without a response */

void lease_init(struct lease *lease, clk_ms duration)
{
	*lease = (struct lease){
		.duration = duration,
		.key_taken = true,
		.free_since = CLK_NEVER,
	};
}

/* Returns to the state without a lease. */
static void reset(struct lease *lease, clk_ms now)
{
	lease->state = LEASE_NONE;
	lease->id = 0;
	lease->fencing_token = 0;
	lease->renewing = false;
	lease->valid_until = 0;
	lease->retry_at = now + RETRY_MS;
}

/* Gives up what was kept of an earlier era. */
static void kept_drop(struct lease *lease)
{
	lease->kept_until = 0;
	lease->kept_id = 0;
	lease->kept_token = 0;
}

void lease_on_era(struct lease *lease, clk_ms until, clk_ms now)
{
	if (lease_is_held(lease, now)) {
		lease->kept_until = lease->valid_until;
		lease->kept_id = lease->id;
		lease->kept_token = lease->fencing_token;
	} else if (now >= lease->kept_until) {
		kept_drop(lease);
	}
	reset(lease, now);
	lease->retry_at = now;
	lease->claim_from = until ? now + until : 0;
	/* Not known before the key is read in this era. */
	lease->key_taken = true;
	lease->free_since = CLK_NEVER;
}

void lease_on_led(struct lease *lease)
{
	lease->claim_from = 0;
}

void lease_on_key(struct lease *lease, bool taken, bool ours, clk_ms now)
{
	if (taken && !ours)
		kept_drop(lease);
	if (!taken && (lease->key_taken || lease->free_since == CLK_NEVER))
		lease->free_since = now;
	lease->key_taken = taken;
	if (lease->state == LEASE_HELD && !ours)
		reset(lease, now);
}

/* Returns whether to request a lease now. */
static enum lease_action request_action(struct lease *lease, unsigned rank,
					clk_ms now)
{
	clk_ms start;

	if (lease->key_taken || lease->free_since == CLK_NEVER)
		return LEASE_ACT_NONE;
	start = MAX(lease->free_since + FIRST_WAIT_MS +
			    (clk_ms)rank * RANK_WAIT_MS,
		    lease->claim_from);
	if ((now < start && now >= lease->kept_until) || now < lease->retry_at)
		return LEASE_ACT_NONE;
	lease->state = LEASE_REQUESTED;
	lease->sent_at = now;
	return LEASE_ACT_REQUEST;
}

enum lease_action lease_tick(struct lease *lease, unsigned rank, bool eligible,
			     clk_ms now)
{
	switch (lease->state) {
	case LEASE_NONE:
		return eligible ? request_action(lease, rank, now)
				: LEASE_ACT_NONE;
	case LEASE_REQUESTED:
	case LEASE_CLAIMING:
		if (now - lease->sent_at >= CALL_TIMEOUT_MS)
			reset(lease, now);
		return LEASE_ACT_NONE;
	case LEASE_HELD:
		/* A lease that may have expired is renewed too: expiry may have
		 * been paused during an outage of the store. */
		if (lease->renewing ||
		    now < lease->sent_at + lease->duration / RENEW_DIVISOR)
			return LEASE_ACT_NONE;
		lease->renewing = true;
		lease->sent_at = now;
		return LEASE_ACT_RENEW;
	}
	return LEASE_ACT_NONE;
}

/* Returns the time until which a successful call, sent at sent_at, guarantees
 * the lease. */
static clk_ms covered_until(const struct lease *lease, clk_ms sent_at)
{
	return sent_at + lease->duration - lease->duration / MARGIN_DIVISOR;
}

void lease_on_grant(struct lease *lease, bool ok, int64_t id, clk_ms now)
{
	if (lease->state != LEASE_REQUESTED)
		return;
	if (!ok) {
		reset(lease, now);
		return;
	}
	lease->state = LEASE_CLAIMING;
	lease->id = id;
	/* The lease starts no earlier than its request was sent. */
	lease->valid_until = covered_until(lease, lease->sent_at);
}

void lease_on_claim(struct lease *lease, bool ok, int64_t revision, clk_ms now)
{
	if (lease->state != LEASE_CLAIMING)
		return;
	if (!ok || now >= lease->valid_until) {
		/* Assumes that another host has the key until lease_on_key is
		 * called with a missing key. */
		reset(lease, now);
		lease->key_taken = true;
		return;
	}
	lease->state = LEASE_HELD;
	lease->fencing_token = revision;
	lease->held_since = now;
	lease->sent_at = now;
	lease->key_taken = true;
	lease->renewing = false;
	kept_drop(lease);
}

void lease_on_renewal(struct lease *lease, bool ok, bool ended, clk_ms now)
{
	if (lease->state != LEASE_HELD || !lease->renewing)
		return;
	lease->renewing = false;
	if (ended)
		reset(lease, now);
	else if (ok)
		lease->valid_until = covered_until(lease, lease->sent_at);
}

bool lease_is_held(const struct lease *lease, clk_ms now)
{
	return lease->state == LEASE_HELD && now < lease->valid_until;
}

bool lease_may_act(const struct lease *lease, clk_ms now)
{
	return lease_is_held(lease, now) || now < lease->kept_until;
}

int64_t lease_token(const struct lease *lease)
{
	return lease->state == LEASE_HELD ? lease->fencing_token
					  : lease->kept_token;
}

bool lease_resign(struct lease *lease, clk_ms now)
{
	bool revoke = lease->state == LEASE_HELD &&
		      now - lease->held_since >= lease->duration;

	reset(lease, now);
	kept_drop(lease);
	return revoke;
}
