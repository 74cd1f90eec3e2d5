/* Which requests are refused where there is more work than workers. */
#include "shed.h"

#include <stddef.h>

#define BACK_MIN_MS 100	 /* before a refused caller comes back */
#define BACK_RANK_MS 150 /* for each rank behind the most urgent */
#define LEFT_SHARE 0.9	 /* of the time left, for the first token */

/* Part of its aim that a request of a rank may be expected to wait. */
static const double patience[] = { 1.2, 0.7, 0.3 };

#define RANKS (int)(sizeof(patience) / sizeof(patience[0]))

bool shed_refuses(const struct shed_request *ask, clk_ms *come_back)
{
	int rank = ask->urgency < 0	   ? 0
		   : ask->urgency >= RANKS ? RANKS - 1
					   : ask->urgency;
	double limit = patience[rank] * (double)ask->target;
	double left = LEFT_SHARE * (double)ask->remaining;

	if (left < limit)
		limit = left;
	if (ask->expected_ms <= limit)
		return false;
	*come_back = BACK_MIN_MS + rank * BACK_RANK_MS +
		     (clk_ms)(ask->expected_ms - limit);
	return true;
}
