/*
 * Retries: a budget per pool and jittered back-off. First attempts add to the
 * budget and retries spend it, so a failing pool gets at most a fixed share of
 * additional calls. Once calls succeed again, each success adds to the budget
 * too, so that waiting retries proceed.
 */
#ifndef DECIDE_RETRY_H
#define DECIDE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"

struct retry_options {
	double share;	       /* retries added per first attempt */
	double burst;	       /* most retries that the budget holds */
	clk_ms backoff_base;   /* mean of the first back-off */
	clk_ms backoff_max;    /* limit of the mean back-off */
	unsigned max_attempts; /* per request */
};

struct retry_budget {
	struct retry_options options;
	double tokens;		   /* retries available now */
	clk_ms last_failure;	   /* 0: none yet */
	clk_ms last_first_attempt; /* or when an idle pool got a retry */
	uint64_t granted;
	uint64_t denied;
};

void retry_budget_init(struct retry_budget *budget,
		       const struct retry_options *options);
/* Records the first attempt of a request. */
void retry_on_first_attempt(struct retry_budget *budget, clk_ms now);
/* Records a failed call to the pool. */
void retry_on_failure(struct retry_budget *budget, clk_ms now);
/* Records a successful call to the pool. If no call failed recently, the pool
 * is healthy and the budget grows. */
void retry_on_success(struct retry_budget *budget, clk_ms now);
/* Returns whether the budget has a retry now; retry_spend takes it. */
bool retry_available(struct retry_budget *budget, clk_ms now);
void retry_spend(struct retry_budget *budget);
/* Returns the jittered back-off in ms before the next attempt, after a number
 * of attempts. random is in 0 to 999. */
clk_ms retry_backoff(const struct retry_budget *budget, unsigned attempts,
		     uint32_t random);
/* Takes one retry from the budget after a number of attempts. random is in 0 to
 * 999. Returns the back-off in ms, or -1 if the retry is denied or would pass
 * the deadline. */
clk_ms retry_request(struct retry_budget *budget, unsigned attempts,
		     uint32_t random, clk_ms now, clk_ms deadline);

#endif
