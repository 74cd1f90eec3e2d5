/* Limits that workers name. */
#include "fleet.h"

#define TELL_MS 1000	/* between two messages to the issuer of one limit */
#define ANNOUNCE_MS 300 /* between two messages of the issuer to all */
/* A limit that this host has read itself so recently is not changed because
 * another host says so. */
#define SEEN_MS 1000
void fleet_limit_clear(struct fleet_limit *limit)
{
	g_free(limit->holder);
	g_free(limit->issuer);
	*limit = (struct fleet_limit){ .holder = NULL };
}

double fleet_limit_rate(const struct fleet_worker *worker)
{
	return worker->limit.holder ? worker->limit.holder->rate : -1;
}

/* Sets the limit; returns whether it has changed. */
static bool limit_set(struct fleet_limit *limit, double rate)
{
	if (rate < 0) {
		bool changed = limit->holder != NULL;

		g_free(limit->holder);
		limit->holder = NULL;
		limit->lifted |= changed;
		return changed;
	}
	limit->lifted = false;
	if (!limit->holder) {
		limit->holder = g_new(struct permit_holder, 1);
		permit_holder_init(limit->holder, rate);
		return true;
	}
	if (limit->holder->rate == rate)
		return false;
	/* When to ask again was told for the lower rate. */
	if (rate > limit->holder->rate)
		limit->holder->ask_after = 0;
	limit->holder->rate = rate;
	return true;
}

void fleet_limit_inherit(struct fleet_worker *worker, double rate,
			 clk_ms named_at)
{
	if (rate < 0)
		return;
	limit_set(&worker->limit, rate);
	worker->limit.named_at = named_at;
	worker->limit.inherited = true;
}

bool fleet_limit_on_response(struct fleet_worker *worker, double rate,
			     clk_ms sent_at, clk_ms now, bool *tell)
{
	struct fleet_limit *limit = &worker->limit;
	bool changed;

	*tell = false;
	/* Responses to earlier requests may have been made before it was named.
	 */
	if (rate < 0 && sent_at <= limit->named_at)
		return false;
	limit->inherited = false;
	changed = limit_set(limit, rate);
	if (rate >= 0) {
		limit->named_at = now;
		limit->seen_at = now;
	}
	*tell = changed || (rate >= 0 && now - limit->told_at >= TELL_MS);
	if (*tell)
		limit->told_at = now;
	return changed;
}

bool fleet_limit_on_question(struct fleet_worker *worker, double rate,
			     bool seen, clk_ms now)
{
	struct fleet_limit *limit = &worker->limit;
	bool known = limit->holder || limit->lifted;
	bool changed;

	/* The host that asks may not have heard of a change. */
	if (!seen && known)
		return false;
	if (seen && rate >= 0)
		limit->named_at = now;
	changed = limit_set(limit, rate);
	limit->untold |= changed;
	return changed;
}

bool fleet_limit_on_news(struct fleet_worker *worker, double rate, clk_ms now)
{
	struct fleet_limit *limit = &worker->limit;
	bool changed;

	if (limit->seen_at && now - limit->seen_at < SEEN_MS)
		return false;
	changed = limit_set(limit, rate);
	if (changed && rate >= 0)
		limit->named_at = now;
	return changed;
}

struct permit_grant fleet_limit_issue(struct fleet_worker *worker, double reach,
				      unsigned wanted, clk_ms now)
{
	struct fleet_limit *limit = &worker->limit;

	if (!limit->issuer) {
		limit->issuer = g_new(struct permit_issuer, 1);
		permit_issuer_init(limit->issuer, now);
	}
	return permit_issue(limit->issuer, fleet_limit_rate(worker), reach,
			    wanted, now);
}

void fleet_limit_issuer_stop(struct fleet_worker *worker)
{
	g_free(worker->limit.issuer);
	worker->limit.issuer = NULL;
}

bool fleet_limit_announce(struct fleet_worker *worker, clk_ms now)
{
	struct fleet_limit *limit = &worker->limit;

	if (!limit->untold || now - limit->announced_at < ANNOUNCE_MS)
		return false;
	limit->untold = false;
	limit->announced_at = now;
	return true;
}
