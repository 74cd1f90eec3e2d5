/*
 * The clock type: a point in time or a span, in milliseconds.
 *
 * decide/ never reads a clock. Whoever calls it passes the time in; a daemon
 * takes it from its loop's monotonic clock, a test from a counter.
 */
#ifndef DECIDE_CLK_H
#define DECIDE_CLK_H

#include <stdbool.h>
#include <stdint.h>

/* Milliseconds, monotonic unless a field's comment says wall clock. */
typedef int64_t clk_ms;

#define CLK_NEVER INT64_MAX /* a deadline that never comes */
#define CLK_SECOND 1000	    /* ms */

/* Tells whether deadline has come at now. */
static inline bool clk_passed(clk_ms deadline, clk_ms now)
{
	return deadline != CLK_NEVER && now >= deadline;
}

#endif
