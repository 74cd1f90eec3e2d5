/* Load shedding: which requests are refused when demand exceeds the workers. */
#include "shed.h"

#include <stddef.h>

#define RETRY_MIN_MS 100   /* before a refused caller retries */
#define RETRY_RANK_MS 150  /* added for each rank below the most urgent */
#define DEADLINE_SHARE 0.9 /* of the remaining time, for the first token */

/* Highest expected wait of a request, as a multiple of its target, by rank. */
static const double wait_factor[] = { 1.2, 0.7, 0.3 };

#define RANKS (int)(sizeof(wait_factor) / sizeof(wait_factor[0]))

bool shed_refuses(const struct shed_request *request, clk_ms *retry_after)
{
	int rank = request->urgency < 0	       ? 0
		   : request->urgency >= RANKS ? RANKS - 1
					       : request->urgency;
	double limit = wait_factor[rank] * (double)request->target;
	double remaining = DEADLINE_SHARE * (double)request->remaining;

	if (remaining < limit)
		limit = remaining;
	if (request->expected_ms <= limit)
		return false;
	*retry_after = RETRY_MIN_MS + rank * RETRY_RANK_MS +
		       (clk_ms)(request->expected_ms - limit);
	return true;
}
