/*
 * The wall clock without its jumps: time since some moment by a clock that
 * never jumps and counts suspended time, plus the offset that the wall clock
 * has had for long.
 */
#ifndef DECIDE_WALL_H
#define DECIDE_WALL_H

#include "clk.h"

struct wall {
	clk_ms offset;		/* wall clock less the steady one */
	clk_ms candidate;	/* an offset that differs, seen lately */
	clk_ms candidate_since; /* steady time since which it is seen; 0: not */
};

void wall_init(struct wall *wall, clk_ms wall_now, clk_ms steady_now);
/* Returns the wall clock's time; an offset is adopted when it has lasted. */
clk_ms wall_read(struct wall *wall, clk_ms wall_now, clk_ms steady_now);

#endif
