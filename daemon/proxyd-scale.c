/* Orders of workers: what the holder of the duties does for all. */
#include "proxyd-leader.h"

#include <string.h>

#define DEMAND_OLD_MS 3000 /* a host's report no longer counts */
#define DRY_MS 1500	   /* before an order that found none is repeated */
#define ORDER_TIMEOUT_MS 1500
#define REPEAT_MS 2000 /* an order is sent again, if it isn't met */
#define RUN_PERIOD_MS 500
#define LISTED_MS                                                              \
	2000		 /* without a new one, all provided workers are listed \
			  */
#define START_SHARE 0.55 /* busy workers of those present at the start */
#define LOWER_SPOT_MS 4000 /* reclaimable workers are given up after it */
#define LOWER_FULL_MS 1000 /* full ones, which cost more */

/* What one host asked of one pool. */
struct demand {
	double busy;
	clk_ms at;
};

/* The orders for one kind of worker in one data centre. */
struct order {
	struct proxyd *proxyd;
	char *pool;
	char *dc;
	bool spot;
	int ordered; /* that the platform has accepted; -1: none yet */
	int asked;   /* of the call under way */
	bool busy;   /* a call is under way */
	clk_ms sent_at;
	bool dry;	    /* the last order found none */
	clk_ms dry_until;   /* none are to be had */
	clk_ms above_since; /* more are ordered than wanted; 0: not */
};

/* One pool that is scaled. */
struct scaled {
	struct scale_demand need;
	bool seen;	    /* there was some demand */
	bool planned;	    /* a first plan was made */
	unsigned listed;    /* workers, when they were counted last */
	clk_ms listed_at;   /* when their number changed last */
	char *plan;	    /* that was logged last */
	GHashTable *demand; /* process -> struct demand */
	GHashTable *orders; /* "dc\nkind" -> struct order */
};

static struct scaled *scaled_of(struct proxyd *proxyd, const char *pool)
{
	GHashTable *table = proxyd->leader->scaled;
	struct scaled *scaled = g_hash_table_lookup(table, pool);

	if (scaled)
		return scaled;
	scaled = g_new0(struct scaled, 1);
	scaled->demand =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	scaled->orders = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(table, g_strdup(pool), scaled);
	return scaled;
}

void scale_on_demand(struct proxyd *proxyd, const char *process,
		     const char *pool, double busy)
{
	struct scaled *scaled = scaled_of(proxyd, pool);
	struct demand *demand = g_hash_table_lookup(scaled->demand, process);

	if (!demand) {
		demand = g_new0(struct demand, 1);
		g_hash_table_insert(scaled->demand, g_strdup(process), demand);
	}
	demand->busy = busy;
	demand->at = proxyd_now(proxyd);
}

/* The demand of all hosts, in busy workers. */
static double demand_sum(struct scaled *scaled, clk_ms now)
{
	GHashTableIter iter;
	gpointer value;
	double sum = 0;

	g_hash_table_iter_init(&iter, scaled->demand);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct demand *demand = value;

		if (now - demand->at > DEMAND_OLD_MS)
			g_hash_table_iter_remove(&iter);
		else
			sum += demand->busy;
	}
	return sum;
}

static struct order *order_of(struct proxyd *proxyd, struct scaled *scaled,
			      const char *pool, const char *dc, bool spot)
{
	char *key = g_strdup_printf("%s\n%d", dc, spot);
	struct order *order = g_hash_table_lookup(scaled->orders, key);

	if (order) {
		g_free(key);
		return order;
	}
	order = g_new0(struct order, 1);
	order->proxyd = proxyd;
	order->pool = g_strdup(pool);
	order->dc = g_strdup(dc);
	order->spot = spot;
	order->ordered = -1;
	g_hash_table_insert(scaled->orders, key, order);
	return order;
}

static void on_ordered(void *ctx, enum cloud_outcome outcome)
{
	static const char *const names[] = {
		[CLOUD_DONE] = "accepted",
		[CLOUD_NO_CAPACITY] = "none_there",
		[CLOUD_REFUSED] = "refused",
		[CLOUD_UNKNOWN] = "no_answer",
	};
	struct order *order = ctx;
	struct proxyd *proxyd = order->proxyd;

	order->busy = false;
	if (outcome == CLOUD_DONE) {
		order->ordered = order->asked;
		order->dry = false;
		proxyd_count(proxyd, CTR_orders);
	} else if (outcome == CLOUD_NO_CAPACITY) {
		order->dry = true;
		order->dry_until = proxyd_now(proxyd) + DRY_MS;
		proxyd_count(proxyd, CTR_orders_none);
	} else if (outcome == CLOUD_UNKNOWN) {
		order->ordered = -1;
	}
	slog(SLOG_NOTICE, "order",
	     "pool=%s data_centre=%s spot=%d count=%d outcome=%s", order->pool,
	     order->dc, order->spot, order->asked, names[outcome]);
}

/* Sends an order, if it is due. */
static void order_send(struct order *order, int want, int ready)
{
	struct proxyd *proxyd = order->proxyd;
	clk_ms now = proxyd_now(proxyd);
	struct cloud_leader holder = {
		.host = proxyd->conf->name,
		.fencing_token = proxyd->leader_lease.fencing_token,
	};
	struct cloud_order wanted = {
		.pool = order->pool,
		.data_centre = order->dc,
		.count = want,
		.spot = order->spot,
	};
	bool unmet = ready < want && now - order->sent_at >= REPEAT_MS;

	if (order->busy || (want == order->ordered && !unmet) ||
	    now < order->dry_until || now - order->sent_at < RUN_PERIOD_MS)
		return;
	order->busy = true;
	order->asked = want;
	order->sent_at = now;
	cloud_order(proxyd->cloud, &holder, &wanted, ORDER_TIMEOUT_MS,
		    on_ordered, order);
}

/* Workers are given up only if they are not needed for a while, and others
 * have come in their place. */
static int order_lowered(struct order *order, int want, int ready, clk_ms now)
{
	int present = MAX(order->ordered, ready);

	if (want >= present) {
		order->above_since = 0;
		return want;
	}
	if (!order->above_since)
		order->above_since = now;
	if (now - order->above_since <
	    (order->spot ? LOWER_SPOT_MS : LOWER_FULL_MS))
		return present;
	return want;
}

/* Fills what is to be had in a pool's data centres. */
static size_t dcs_fill(struct proxyd *proxyd, struct scaled *scaled,
		       const struct tab_pool *pool, struct scale_dc *dcs)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, pool->scaling.dc_prices);
	while (g_hash_table_iter_next(&iter, &key, &value) &&
	       count < SCALE_DCS_MAX) {
		const struct order *spot =
			order_of(proxyd, scaled, pool->name, key, true);
		const struct order *full =
			order_of(proxyd, scaled, pool->name, key, false);

		dcs[count++] = (struct scale_dc){
			.name = key,
			.price = *(double *)value,
			.spot_unavailable = spot->dry,
			.on_demand_unavailable = full->dry,
			.spot_ready = (int)fleet_count_in_dc(
				proxyd->fleet, pool->name, key, true),
			.on_demand_ready = (int)fleet_count_in_dc(
				proxyd->fleet, pool->name, key, false),
		};
	}
	return count;
}

/* Logs a plan that differs from the one before. */
static void plan_log(struct scaled *scaled, const struct tab_pool *pool,
		     const struct scale_dc *dcs, size_t count)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < count; i++)
		g_string_append_printf(text, " %s=%d/%d+%d/%d", dcs[i].name,
				       dcs[i].spot_ready, dcs[i].want_spot,
				       dcs[i].on_demand_ready,
				       dcs[i].want_on_demand);
	if (g_strcmp0(text->str, scaled->plan) == 0) {
		g_string_free(text, TRUE);
		return;
	}
	g_free(scaled->plan);
	scaled->plan = g_string_free(text, FALSE);
	slog(SLOG_NOTICE, "plan", "pool=%s busy=%.2f smoothed=%.2f%s",
	     pool->name, scaled->need.busy, scaled->need.smoothed,
	     scaled->plan);
}

/* Whether enough is known to plan: some demand, or all workers that were
 * provided for the start. */
static bool pool_is_known(struct proxyd *proxyd, struct scaled *scaled,
			  const struct tab_pool *pool)
{
	unsigned listed = fleet_count(proxyd->fleet, pool->name);
	clk_ms now = proxyd_now(proxyd);

	if (listed != scaled->listed) {
		scaled->listed = listed;
		scaled->listed_at = now;
	}
	return scaled->seen ||
	       (listed > 0 && now - scaled->listed_at >= LISTED_MS);
}

static void pool_run(struct proxyd *proxyd, const struct tab_pool *pool)
{
	struct scaled *scaled = scaled_of(proxyd, pool->name);
	struct scale_dc dcs[SCALE_DCS_MAX];
	struct scale_limits limits = {
		.min = pool->scaling.min,
		.max = pool->scaling.max,
	};
	clk_ms now = proxyd_now(proxyd);
	size_t count = dcs_fill(proxyd, scaled, pool, dcs);

	if (!scaled->planned && !pool_is_known(proxyd, scaled, pool))
		return;
	scaled->planned = true;
	scale_plan(dcs, count, &limits, scaled->need.busy);
	plan_log(scaled, pool, dcs, count);
	for (size_t i = 0; i < count; i++) {
		struct scale_dc *dc = &dcs[i];
		struct order *spot =
			order_of(proxyd, scaled, pool->name, dc->name, true);
		struct order *full =
			order_of(proxyd, scaled, pool->name, dc->name, false);

		order_send(
			spot,
			order_lowered(spot, dc->want_spot, dc->spot_ready, now),
			dc->spot_ready);
		order_send(full,
			   order_lowered(full, dc->want_on_demand,
					 dc->on_demand_ready, now),
			   dc->on_demand_ready);
	}
}

/* Workers that were there before this host knew of any demand: those that the
 * operators provide, or, if they have been replaced, those that replaced
 * them. */
static unsigned provided(struct proxyd *proxyd, const struct tab_pool *pool)
{
	unsigned full = fleet_count_on_demand(proxyd->fleet, pool->name);

	return full ? full : fleet_count(proxyd->fleet, pool->name);
}

/* Follows the demand of one pool. */
static void pool_observe(struct proxyd *proxyd, const struct tab_pool *pool)
{
	struct scaled *scaled = scaled_of(proxyd, pool->name);
	clk_ms now = proxyd_now(proxyd);
	double busy = demand_sum(scaled, now);

	/* Before any demand is seen, what the start is prepared for holds. */
	if (busy > 0)
		scaled->seen = true;
	if (!scaled->seen)
		scaled->need.busy = MAX(scaled->need.busy,
					START_SHARE * provided(proxyd, pool));
	if (scaled->seen)
		scale_demand_update(&scaled->need, busy, now);
}

/* Calls fn for each pool that is scaled, now and then. */
static void pools_each(struct proxyd *proxyd, clk_ms *next,
		       void (*fn)(struct proxyd *proxyd,
				  const struct tab_pool *pool))
{
	GHashTableIter iter;
	gpointer value;

	if (!proxyd->tab || proxyd_now(proxyd) < *next)
		return;
	*next = proxyd_now(proxyd) + RUN_PERIOD_MS;
	g_hash_table_iter_init(&iter, proxyd->tab->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct tab_pool *pool = value;

		if (pool->scaling.enabled)
			fn(proxyd, pool);
	}
}

void scale_observe(struct proxyd *proxyd)
{
	/* Also where the duties are not held: they may come any moment. */
	pools_each(proxyd, &proxyd->leader->next_observe, pool_observe);
}

void scale_run(struct proxyd *proxyd)
{
	pools_each(proxyd, &proxyd->leader->next_scale, pool_run);
}

void scale_start(struct proxyd *proxyd)
{
	proxyd->leader->scaled =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void scale_forget_orders(struct proxyd *proxyd)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, proxyd->leader->scaled);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct scaled *scaled = value;
		GHashTableIter orders;
		gpointer order;

		g_hash_table_iter_init(&orders, scaled->orders);
		while (g_hash_table_iter_next(&orders, NULL, &order))
			((struct order *)order)->ordered = -1;
	}
}
