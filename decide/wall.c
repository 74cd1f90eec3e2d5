/* The wall clock, smoothed against jumps. */
#include "wall.h"

#define MAX_DRIFT_MS 100 /* change of the offset applied at once */
#define STABLE_MS 60000	 /* that a larger change must last */

static clk_ms distance(clk_ms a, clk_ms b)
{
	return a > b ? a - b : b - a;
}

void wall_init(struct wall *wall, clk_ms wall_now, clk_ms monotonic_now)
{
	*wall = (struct wall){ .offset = wall_now - monotonic_now };
}

clk_ms wall_read(struct wall *wall, clk_ms wall_now, clk_ms monotonic_now)
{
	clk_ms offset = wall_now - monotonic_now;

	if (distance(offset, wall->offset) <= MAX_DRIFT_MS) {
		wall->offset = offset;
		wall->candidate_since = 0;
	} else if (!wall->candidate_since ||
		   distance(offset, wall->candidate) > MAX_DRIFT_MS) {
		wall->candidate = offset;
		wall->candidate_since = monotonic_now;
	} else if (monotonic_now - wall->candidate_since >= STABLE_MS) {
		wall->offset = offset;
		wall->candidate_since = 0;
	}
	return monotonic_now + wall->offset;
}
