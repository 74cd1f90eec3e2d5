/*
 * An account's limit: a bucket of tokens that fills at this host's share of
 * the account's rate. The shares of all hosts never sum to more than one.
 */
#ifndef DECIDE_LIMIT_H
#define DECIDE_LIMIT_H

#include <stdbool.h>

#include "clk.h"

struct limit {
	double rate;   /* tokens/s of the account, over all hosts; 0: none */
	double share;  /* of this host, 0 to 1 */
	double tokens; /* tokens that may be spent now */
	clk_ms last_refill;
};

/* Sets rate and share; the bucket is cut to what it may hold now. */
void limit_set(struct limit *limit, double rate, double share, clk_ms now);
/* Spends tokens; if there are too few, returns false and sets come_back to
 * the ms after which there are enough. */
bool limit_take(struct limit *limit, int tokens, clk_ms now, clk_ms *come_back);

#endif
