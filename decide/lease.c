/* Holding the singleton duties under a lease. */
#include "lease.h"

#include <stddef.h>

#define RENEW_DIVISOR 3	  /* renewals in one term */
#define MARGIN_DIVISOR 5  /* part of the term that is not relied on */
#define RETRY_MS 500	  /* after a call that failed */
#define RANK_WAIT_MS 400  /* that a host gives each one before it */
#define FIRST_WAIT_MS 200 /* after the key was seen to be missing */
#define CALL_LOST_MS 3000 /* without an answer */

void lease_init(struct lease *duty, clk_ms term)
{
	*duty = (struct lease){
		.duration = term,
		.key_taken = true,
		.free_since = CLK_NEVER,
	};
}

/* Back to having nothing. */
static void reset(struct lease *duty, clk_ms now)
{
	duty->state = LEASE_NONE;
	duty->id = 0;
	duty->fencing_token = 0;
	duty->renewing = false;
	duty->valid_until = 0;
	duty->retry_at = now + RETRY_MS;
}

void lease_on_key(struct lease *duty, bool taken, bool ours, clk_ms now)
{
	if (!taken && (duty->key_taken || duty->free_since == CLK_NEVER))
		duty->free_since = now;
	duty->key_taken = taken;
	if (duty->state == LEASE_HELD && !ours)
		reset(duty, now);
}

/* The next step towards the duties. */
static enum lease_action claim_step(struct lease *duty, unsigned rank,
				    clk_ms now)
{
	clk_ms from;

	if (duty->key_taken || duty->free_since == CLK_NEVER)
		return LEASE_ACT_NONE;
	from = duty->free_since + FIRST_WAIT_MS + (clk_ms)rank * RANK_WAIT_MS;
	if (now < from || now < duty->retry_at)
		return LEASE_ACT_NONE;
	duty->state = LEASE_REQUESTED;
	duty->sent_at = now;
	return LEASE_ACT_REQUEST;
}

enum lease_action lease_tick(struct lease *duty, unsigned rank, bool eligible,
			     clk_ms now)
{
	switch (duty->state) {
	case LEASE_NONE:
		return eligible ? claim_step(duty, rank, now) : LEASE_ACT_NONE;
	case LEASE_REQUESTED:
	case LEASE_CLAIMING:
		if (now - duty->sent_at >= CALL_LOST_MS)
			reset(duty, now);
		return LEASE_ACT_NONE;
	case LEASE_HELD:
		/* Also a lease that is no longer sure is renewed: while the
		 * store was away it may have paused. */
		if (duty->renewing ||
		    now < duty->sent_at + duty->duration / RENEW_DIVISOR)
			return LEASE_ACT_NONE;
		duty->renewing = true;
		duty->sent_at = now;
		return LEASE_ACT_RENEW;
	}
	return LEASE_ACT_NONE;
}

/* The end of the time that a call sent at some moment vouches for. */
static clk_ms vouched(const struct lease *duty, clk_ms sent)
{
	return sent + duty->duration - duty->duration / MARGIN_DIVISOR;
}

void lease_on_grant(struct lease *duty, bool ok, int64_t lease, clk_ms now)
{
	if (duty->state != LEASE_REQUESTED)
		return;
	if (!ok) {
		reset(duty, now);
		return;
	}
	duty->state = LEASE_CLAIMING;
	duty->id = lease;
	/* The lease runs from the call that made it. */
	duty->valid_until = vouched(duty, duty->sent_at);
}

void lease_on_claim(struct lease *duty, bool ok, int64_t revision, clk_ms now)
{
	if (duty->state != LEASE_CLAIMING)
		return;
	if (!ok || now >= duty->valid_until) {
		/* Somebody has it; that it is free again will be seen. */
		reset(duty, now);
		duty->key_taken = true;
		return;
	}
	duty->state = LEASE_HELD;
	duty->fencing_token = revision;
	duty->held_since = now;
	duty->sent_at = now;
	duty->key_taken = true;
	duty->renewing = false;
}

void lease_on_renewal(struct lease *duty, bool ok, bool ended, clk_ms now)
{
	if (duty->state != LEASE_HELD || !duty->renewing)
		return;
	duty->renewing = false;
	if (ended)
		reset(duty, now);
	else if (ok)
		duty->valid_until = vouched(duty, duty->sent_at);
}

bool lease_may_act(const struct lease *duty, clk_ms now)
{
	return duty->state == LEASE_HELD && now < duty->valid_until;
}

bool lease_resign(struct lease *duty, clk_ms now)
{
	bool had = duty->state == LEASE_HELD &&
		   now - duty->held_since >= duty->duration;

	reset(duty, now);
	return had;
}
