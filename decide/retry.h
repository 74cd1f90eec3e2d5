/*
 * Retries: a budget per pool and jittered back-off. A retry is paid from
 * what first attempts put in, so a failing pool gets at most a fixed share
 * of calls more than without retries. Once calls succeed again, what waited
 * is let go with them.
 */
#ifndef DECIDE_RETRY_H
#define DECIDE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"

struct retry_options {
	double share;	       /* of first attempts that may be retried */
	double burst;	       /* retries that may be saved up */
	clk_ms backoff_base;   /* mean first back-off */
	clk_ms backoff_max;    /* longest back-off */
	unsigned max_attempts; /* attempts of one request */
};

struct retry_budget {
	struct retry_options options;
	double tokens;		   /* retries that may be made now */
	clk_ms last_failure;	   /* 0: none yet */
	clk_ms last_first_attempt; /* when a first attempt was made */
	uint64_t granted;
	uint64_t denied;
};

void retry_budget_init(struct retry_budget *budget,
		       const struct retry_options *options);
/* A request makes its first attempt. */
void retry_on_first_attempt(struct retry_budget *budget, clk_ms now);
/* A call of the pool failed. */
void retry_on_failure(struct retry_budget *budget, clk_ms now);
/* A call of the pool succeeded: if none failed for a while, the pool is
 * healthy, and retries may go on. */
void retry_on_success(struct retry_budget *budget, clk_ms now);
/* Whether a retry may be made now; retry_spend makes it. */
bool retry_available(struct retry_budget *budget, clk_ms now);
void retry_spend(struct retry_budget *budget);
/* The jittered back-off before the attempt after so many, in ms; random is
 * in 0 to 999. */
clk_ms retry_backoff(const struct retry_budget *budget, unsigned attempts,
		     uint32_t random);
/* Asks for one retry after so many attempts; random is in 0 to 999. Returns
 * the back-off in ms, or -1 if it is denied or would pass the deadline. */
clk_ms retry_request(struct retry_budget *budget, unsigned attempts,
		     uint32_t random, clk_ms now, clk_ms deadline);

#endif
