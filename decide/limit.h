/*
 * The rate limit of an account: a token bucket that refills at this host's
 * share of the account's rate. The shares of all hosts never add up to more
 * than one.
 */
#ifndef DECIDE_LIMIT_H
#define DECIDE_LIMIT_H

#include <stdbool.h>

#include "clk.h"

struct limit {
	double rate;   /* tokens per second, across all hosts; 0: no limit */
	double share;  /* of this host, 0 to 1 */
	double tokens; /* available now; may be negative */
	clk_ms last_refill;
};

/* Sets rate and share. A new bucket is full; the content of an existing one is
 * cut to the new size. */
void limit_set(struct limit *limit, double rate, double share, clk_ms now);
/* Takes tokens from the bucket. If there are too few, returns false and sets
 * retry_after to the ms after which there are enough. */
bool limit_take(struct limit *limit, int tokens, clk_ms now,
		clk_ms *retry_after);

#endif
