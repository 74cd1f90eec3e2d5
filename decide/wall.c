/* The wall clock without its jumps. */
#include "wall.h"

#define DRIFT_MS 100   /* that is followed at once */
#define ADOPT_MS 60000 /* that another offset must last */

static clk_ms distance(clk_ms a, clk_ms b)
{
	return a > b ? a - b : b - a;
}

void wall_init(struct wall *wall, clk_ms wall_now, clk_ms steady_now)
{
	*wall = (struct wall){ .offset = wall_now - steady_now };
}

clk_ms wall_read(struct wall *wall, clk_ms wall_now, clk_ms steady_now)
{
	clk_ms offset = wall_now - steady_now;

	if (distance(offset, wall->offset) <= DRIFT_MS) {
		wall->offset = offset;
		wall->candidate_since = 0;
	} else if (!wall->candidate_since ||
		   distance(offset, wall->candidate) > DRIFT_MS) {
		wall->candidate = offset;
		wall->candidate_since = steady_now;
	} else if (steady_now - wall->candidate_since >= ADOPT_MS) {
		wall->offset = offset;
		wall->candidate_since = 0;
	}
	return steady_now + wall->offset;
}
