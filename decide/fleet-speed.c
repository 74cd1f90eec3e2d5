/* Which requests show the speed of their pool, and what follows from it. */
#include "fleet.h"

/* The expected cached tokens are most likely right if no other shared part is
 * expected to be missing than one of this share of the uncached tokens. */
#define MISSING_SHARE 0.1
/* Tokens queued before the request, as a share of its own uncached ones. */
#define QUEUED_SHARE 0.05

struct speed *fleet_speed(struct fleet *fleet, const char *pool)
{
	struct speed *speed = g_hash_table_lookup(fleet->speeds, pool);

	if (!speed) {
		speed = g_new(struct speed, 1);
		speed_init(speed, fleet->params.prefill_ms);
		g_hash_table_insert(fleet->speeds, g_strdup(pool), speed);
	}
	return speed;
}

void fleet_set_prefill(struct fleet *fleet, double prefill_ms)
{
	GHashTableIter iter;
	gpointer value;

	fleet->params.prefill_ms = prefill_ms;
	g_hash_table_iter_init(&iter, fleet->speeds);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		speed_set_initial(value, prefill_ms);
}

bool fleet_shows_speed(const struct fleet_worker *worker,
		       const struct fleet_request *request)
{
	int cached = request->prompt_tokens - request->prefill_tokens;
	int missing = fleet_shared_tokens(request) - cached;
	double queued = worker->prompt_tokens + worker->peer_prompt_tokens;
	bool is_busy = worker->entry.slots > 0 &&
		       worker->inflight + (unsigned)worker->peer_requests >=
			       (unsigned)worker->entry.slots;

	return request->engine && !is_busy &&
	       queued <= QUEUED_SHARE * request->prefill_tokens &&
	       missing <= MISSING_SHARE * request->prefill_tokens;
}

bool fleet_on_first_event(struct fleet *fleet,
			  const struct fleet_request *request, clk_ms took,
			  clk_ms now)
{
	struct speed_sample sample = {
		.took = (double)took,
		.uncached = request->prefill_tokens,
		.cached = request->prompt_tokens - request->prefill_tokens,
		.at = now,
	};

	return speed_add(fleet_speed(fleet, request->pool), &sample);
}
