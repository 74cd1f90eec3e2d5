/* Holding the singleton duties under a lease. */
#include "duty.h"

#include <stddef.h>

#define RENEW_DIVISOR 3	  /* renewals in one term */
#define MARGIN_DIVISOR 5  /* part of the term that is not relied on */
#define RETRY_MS 500	  /* after a call that failed */
#define RANK_WAIT_MS 400  /* that a host gives each one before it */
#define FIRST_WAIT_MS 200 /* after the key was seen to be missing */
#define CALL_LOST_MS 3000 /* without an answer */

void duty_init(struct duty *duty, clk_ms term)
{
	*duty = (struct duty){
		.term = term,
		.key_taken = true,
		.free_since = CLK_NEVER,
	};
}

/* Back to having nothing. */
static void reset(struct duty *duty, clk_ms now)
{
	duty->state = DUTY_FREE;
	duty->lease = 0;
	duty->fence = 0;
	duty->renewing = false;
	duty->valid_until = 0;
	duty->next_try = now + RETRY_MS;
}

void duty_on_key(struct duty *duty, bool taken, bool ours, clk_ms now)
{
	if (!taken && (duty->key_taken || duty->free_since == CLK_NEVER))
		duty->free_since = now;
	duty->key_taken = taken;
	if (duty->state == DUTY_HELD && !ours)
		reset(duty, now);
}

/* The next step towards the duties. */
static enum duty_step claim_step(struct duty *duty, unsigned rank, clk_ms now)
{
	clk_ms from;

	if (duty->key_taken || duty->free_since == CLK_NEVER)
		return DUTY_NOTHING;
	from = duty->free_since + FIRST_WAIT_MS + (clk_ms)rank * RANK_WAIT_MS;
	if (now < from || now < duty->next_try)
		return DUTY_NOTHING;
	duty->state = DUTY_LEASING;
	duty->asked_at = now;
	return DUTY_ASK_LEASE;
}

enum duty_step duty_tick(struct duty *duty, unsigned rank, bool eligible,
			 clk_ms now)
{
	switch (duty->state) {
	case DUTY_FREE:
		return eligible ? claim_step(duty, rank, now) : DUTY_NOTHING;
	case DUTY_LEASING:
	case DUTY_CLAIMING:
		if (now - duty->asked_at >= CALL_LOST_MS)
			reset(duty, now);
		return DUTY_NOTHING;
	case DUTY_HELD:
		/* Also a lease that is no longer sure is renewed: while the
		 * store was away it may have paused. */
		if (duty->renewing ||
		    now < duty->asked_at + duty->term / RENEW_DIVISOR)
			return DUTY_NOTHING;
		duty->renewing = true;
		duty->asked_at = now;
		return DUTY_RENEW;
	}
	return DUTY_NOTHING;
}

/* The end of the time that a call sent at some moment vouches for. */
static clk_ms vouched(const struct duty *duty, clk_ms sent)
{
	return sent + duty->term - duty->term / MARGIN_DIVISOR;
}

void duty_on_lease(struct duty *duty, bool ok, int64_t lease, clk_ms now)
{
	if (duty->state != DUTY_LEASING)
		return;
	if (!ok) {
		reset(duty, now);
		return;
	}
	duty->state = DUTY_CLAIMING;
	duty->lease = lease;
	/* The lease runs from the call that made it. */
	duty->valid_until = vouched(duty, duty->asked_at);
}

void duty_on_claim(struct duty *duty, bool ok, int64_t revision, clk_ms now)
{
	if (duty->state != DUTY_CLAIMING)
		return;
	if (!ok || now >= duty->valid_until) {
		/* Somebody has it; that it is free again will be seen. */
		reset(duty, now);
		duty->key_taken = true;
		return;
	}
	duty->state = DUTY_HELD;
	duty->fence = revision;
	duty->held_from = now;
	duty->asked_at = now;
	duty->key_taken = true;
	duty->renewing = false;
}

void duty_on_renewal(struct duty *duty, bool ok, bool ended, clk_ms now)
{
	if (duty->state != DUTY_HELD || !duty->renewing)
		return;
	duty->renewing = false;
	if (ended)
		reset(duty, now);
	else if (ok)
		duty->valid_until = vouched(duty, duty->asked_at);
}

bool duty_may_act(const struct duty *duty, clk_ms now)
{
	return duty->state == DUTY_HELD && now < duty->valid_until;
}

bool duty_resign(struct duty *duty, clk_ms now)
{
	bool had =
		duty->state == DUTY_HELD && now - duty->held_from >= duty->term;

	reset(duty, now);
	return had;
}
