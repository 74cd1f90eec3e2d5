/*
 * Load shedding: which requests are refused when demand exceeds the workers,
 * before they queue and delay more urgent ones.
 *
 * The load pattern: many workers are lost or many callers arrive at once, so
 * that prompts queue at every worker. A late response is worth little and
 * delays others that could be in time; the less urgent a request is, the
 * shorter the expected wait above which it is refused.
 */
#ifndef DECIDE_SHED_H
#define DECIDE_SHED_H

#include <stdbool.h>

#include "clk.h"

/* A request that has not been sent yet. */
struct shed_request {
	double expected_ms; /* to its first token, at the chosen worker */
	clk_ms target;	    /* aimed-at time to first token */
	clk_ms remaining;   /* until its deadline */
	int urgency;	    /* rank of its route; 0: the most urgent */
};

/* Whether to refuse a request. If so, retry_after is the time in ms until
 * there is capacity for it; the most urgent requests are retried first. */
bool shed_refuses(const struct shed_request *request, clk_ms *retry_after);

#endif
