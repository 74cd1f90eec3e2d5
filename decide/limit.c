/* The token bucket of an account. */
#include "limit.h"

#include <glib.h>

#define BURST_SECONDS 2.0 /* of the rate that the bucket holds */

/* Returns the capacity of the bucket in tokens. */
static double bucket_size(const struct limit *limit)
{
	return limit->rate * limit->share * BURST_SECONDS;
}

/* Refills the bucket for the time elapsed. */
static void limit_fill(struct limit *limit, clk_ms now)
{
	double seconds = (double)(now - limit->last_refill) / CLK_SECOND;

	limit->last_refill = now;
	limit->tokens += seconds * limit->rate * limit->share;
	limit->tokens = MIN(limit->tokens, bucket_size(limit));
}

void limit_set(struct limit *limit, double rate, double share, clk_ms now)
{
	bool first = limit->rate == 0;

	if (!first)
		limit_fill(limit, now);
	limit->rate = rate;
	limit->share = share;
	limit->last_refill = now;
	limit->tokens = first ? bucket_size(limit)
			      : MIN(limit->tokens, bucket_size(limit));
}

bool limit_take(struct limit *limit, int tokens, clk_ms now,
		clk_ms *retry_after)
{
	double need;

	if (limit->rate <= 0)
		return true;
	limit_fill(limit, now);
	/* A request larger than the bucket is admitted when the bucket is
	 * full. */
	need = MIN((double)tokens, bucket_size(limit));
	if (limit->tokens >= need) {
		limit->tokens -= tokens;
		return true;
	}
	*retry_after = (clk_ms)((need - limit->tokens) * CLK_SECOND /
				MAX(limit->rate * limit->share, 0.001)) +
		       1;
	return false;
}
