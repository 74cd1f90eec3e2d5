/*
 * Which requests are refused where there is more work than workers: before
 * they wait, and before more urgent ones are late because of them.
 *
 * The load pattern: workers are lost at once, or callers come at once, so
 * that prompts wait at every worker. What would come late is worth little and
 * holds up what could be in time; the less urgent a request is, the shorter
 * the wait from which on it is refused.
 */
#ifndef DECIDE_SHED_H
#define DECIDE_SHED_H

#include <stdbool.h>

#include "clk.h"

/* What is known of a request before it is sent. */
struct shed_request {
	double expected_ms; /* to its first token, where it would be placed */
	clk_ms target;	    /* that it aims at */
	clk_ms remaining;   /* until its time is over */
	int urgency;	    /* rank of its route; 0: the most urgent */
};

/* Whether to refuse it. If so, come_back is the time in ms until there is
 * room for it; the most urgent ones come back first. */
bool shed_refuses(const struct shed_request *ask, clk_ms *come_back);

#endif
