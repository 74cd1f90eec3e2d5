/*
 * The wall clock, smoothed against jumps: the time of a monotonic clock that
 * counts suspended time, plus the offset that the wall clock has had for long
 * enough.
 */
#ifndef DECIDE_WALL_H
#define DECIDE_WALL_H

#include "clk.h"

struct wall {
	clk_ms offset;		/* wall clock minus monotonic clock */
	clk_ms candidate;	/* a different offset, seen recently */
	clk_ms candidate_since; /* monotonic time first seen; 0: none */
};

void wall_init(struct wall *wall, clk_ms wall_now, clk_ms monotonic_now);
/* Returns the smoothed wall clock time; a different offset is adopted once it
 * has persisted. */
clk_ms wall_read(struct wall *wall, clk_ms wall_now, clk_ms monotonic_now);

#endif
