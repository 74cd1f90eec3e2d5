/*
 * The clock type: a point in time or a duration, in milliseconds.
 *
 * Code in decide/ never reads a clock; its callers pass the time in. Daemons
 * use the monotonic clock of their event loop, tests a counter.
 */
#ifndef DECIDE_CLK_H
#define DECIDE_CLK_H

#include <stdbool.h>
#include <stdint.h>

/* Milliseconds, monotonic unless a comment says wall clock. */
typedef int64_t clk_ms;

#define CLK_NEVER INT64_MAX /* a deadline that never passes */
#define CLK_SECOND 1000	    /* ms */

/* Returns whether the deadline has been reached. */
static inline bool clk_passed(clk_ms deadline, clk_ms now)
{
	return deadline != CLK_NEVER && now >= deadline;
}

#endif
