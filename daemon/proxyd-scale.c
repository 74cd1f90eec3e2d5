/* Scaling: the leader orders workers for each pool, by the demand that all
 * hosts report. */
#include "proxyd-leader.h"

#include <string.h>

#include "../decide/order.h"

#define DEMAND_TTL_MS 3000 /* then a host's report no longer counts */
#define ORDER_TIMEOUT_MS 1500
#define RUN_PERIOD_MS 500
/* Between orders while the initial workers are being listed. */
#define LISTING_PERIOD_MS 1000
/* Without a new worker for so long, all initial workers are listed. */
#define LISTED_SETTLE_MS 2000
#define START_BUSY_SHARE 0.55 /* of the initial workers, assumed to be busy */

/* The demand for a pool that a host reported last, in busy workers. */
struct demand_report {
	double busy;
	clk_ms at;
};

/* The order for one kind of worker in one data centre, and how to send it. */
struct pool_order {
	struct order order;
	struct proxyd *proxyd;
	struct pool_scaling *scaling;
	char *pool;
	char *dc;
};

/* Scaling state of one pool. */
struct pool_scaling {
	struct scale_demand demand;
	bool demand_seen;
	bool known; /* enough to plan */
	clk_ms next_listing_order;
	struct order_supply supply[2]; /* of on-demand and of spot workers */
	unsigned listed_count;	       /* workers, at the last count */
	clk_ms listed_at;	       /* when that number last changed */
	char *last_plan;	       /* as it was logged */
	GHashTable *reports;	       /* process -> struct demand_report */
	GHashTable *orders;	       /* "dc\nspot" -> struct pool_order */
};

static struct pool_scaling *scaling_get(struct proxyd *proxyd, const char *pool)
{
	GHashTable *table = proxyd->leader->pools;
	struct pool_scaling *scaling = g_hash_table_lookup(table, pool);

	if (scaling)
		return scaling;
	scaling = g_new0(struct pool_scaling, 1);
	scaling->reports =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	scaling->orders = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(table, g_strdup(pool), scaling);
	return scaling;
}

void scale_set_demand(struct proxyd *proxyd, const char *process,
		      const char *pool, double busy)
{
	struct pool_scaling *scaling = scaling_get(proxyd, pool);
	struct demand_report *report =
		g_hash_table_lookup(scaling->reports, process);

	if (!report) {
		report = g_new0(struct demand_report, 1);
		g_hash_table_insert(scaling->reports, g_strdup(process),
				    report);
	}
	report->busy = busy;
	report->at = proxyd_now(proxyd);
}

/* Returns the demand of all hosts, in busy workers. */
static double demand_sum(struct pool_scaling *scaling, clk_ms now)
{
	GHashTableIter iter;
	gpointer value;
	double sum = 0;

	g_hash_table_iter_init(&iter, scaling->reports);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct demand_report *report = value;

		if (now - report->at > DEMAND_TTL_MS)
			g_hash_table_iter_remove(&iter);
		else
			sum += report->busy;
	}
	return sum;
}

static struct pool_order *order_get(struct proxyd *proxyd,
				    struct pool_scaling *scaling,
				    const char *pool, const char *dc, bool spot)
{
	char *key = g_strdup_printf("%s\n%d", dc, spot);
	struct pool_order *order = g_hash_table_lookup(scaling->orders, key);

	if (order) {
		g_free(key);
		return order;
	}
	order = g_new0(struct pool_order, 1);
	order_init(&order->order, spot);
	order->proxyd = proxyd;
	order->scaling = scaling;
	order->pool = g_strdup(pool);
	order->dc = g_strdup(dc);
	g_hash_table_insert(scaling->orders, key, order);
	return order;
}

static struct order_supply *order_supply(const struct pool_order *order)
{
	return &order->scaling->supply[order->order.spot];
}

static void on_ordered(void *ctx, enum cloud_outcome outcome)
{
	static const struct {
		const char *name;
		enum order_result result;
	} outcomes[] = {
		[CLOUD_DONE] = { "accepted", ORDER_ACCEPTED },
		[CLOUD_NO_CAPACITY] = { "none_there", ORDER_NO_CAPACITY },
		[CLOUD_REFUSED] = { "refused", ORDER_NOT_DONE },
		[CLOUD_UNKNOWN] = { "no_answer", ORDER_UNKNOWN },
	};
	struct pool_order *order = ctx;
	struct proxyd *proxyd = order->proxyd;

	order_on_result(&order->order, order_supply(order),
			outcomes[outcome].result, proxyd_now(proxyd));
	if (outcome == CLOUD_DONE)
		proxyd_count(proxyd, CTR_orders);
	else if (outcome == CLOUD_NO_CAPACITY)
		proxyd_count(proxyd, CTR_orders_none);
	slog(SLOG_NOTICE, "order",
	     "pool=%s data_centre=%s spot=%d count=%d outcome=%s", order->pool,
	     order->dc, order->order.spot, order->order.requested,
	     outcomes[outcome].name);
}

/* Sends an order if one is due. */
static void order_send(struct pool_order *order, int want, int ready,
		       clk_ms boot)
{
	struct proxyd *proxyd = order->proxyd;
	clk_ms now = proxyd_now(proxyd);
	int count = order_count(&order->order, want, ready, now);
	struct cloud_leader self = leader_self(proxyd);
	struct cloud_order request = {
		.pool = order->pool,
		.data_centre = order->dc,
		.count = count,
		.spot = order->order.spot,
	};

	if (!order_due(&order->order, order_supply(order), count, ready, boot,
		       now))
		return;
	order_on_sent(&order->order, count, now);
	cloud_order(proxyd->cloud, &self, &request, ORDER_TIMEOUT_MS,
		    on_ordered, order);
}

/* Fills in a pool's data centres: prices, ready workers and availability. */
static size_t dcs_fill(struct proxyd *proxyd, struct pool_scaling *scaling,
		       const struct tab_pool *pool, struct scale_dc *dcs)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	size_t count = 0;

	g_hash_table_iter_init(&iter, pool->scaling.dc_prices);
	while (g_hash_table_iter_next(&iter, &key, &value) &&
	       count < SCALE_DCS_MAX) {
		const struct pool_order *spot =
			order_get(proxyd, scaling, pool->name, key, true);
		const struct pool_order *on_demand =
			order_get(proxyd, scaling, pool->name, key, false);

		dcs[count++] = (struct scale_dc){
			.name = key,
			.price = *(double *)value,
			.spot_unavailable = order_unavailable(
				&spot->order, order_supply(spot)),
			.on_demand_unavailable = order_blocked(
				&on_demand->order, order_supply(on_demand),
				proxyd_now(proxyd)),
			.spot_ready = (int)fleet_count_in_dc(
				proxyd->fleet, pool->name, key, true),
			.on_demand_ready = (int)fleet_count_in_dc(
				proxyd->fleet, pool->name, key, false),
		};
	}
	return count;
}

/* Logs a plan if it differs from the last logged one. */
static void plan_log(struct pool_scaling *scaling, const struct tab_pool *pool,
		     const struct scale_dc *dcs, size_t count)
{
	GString *text = g_string_new(NULL);

	for (size_t i = 0; i < count; i++)
		g_string_append_printf(text, " %s=%d/%d+%d/%d", dcs[i].name,
				       dcs[i].spot_ready, dcs[i].want_spot,
				       dcs[i].on_demand_ready,
				       dcs[i].want_on_demand);
	if (g_strcmp0(text->str, scaling->last_plan) == 0) {
		g_string_free(text, TRUE);
		return;
	}
	g_free(scaling->last_plan);
	scaling->last_plan = g_string_free(text, FALSE);
	slog(SLOG_NOTICE, "plan", "pool=%s busy=%.2f smoothed=%.2f%s",
	     pool->name, scaling->demand.busy, scaling->demand.smoothed,
	     scaling->last_plan);
}

/* Counts the workers that were present before this host knew of any demand:
 * those that the operators provide, which are on-demand ones, or, if these have
 * been replaced, their replacements. */
static unsigned pool_initial_workers(struct proxyd *proxyd,
				     const struct tab_pool *pool)
{
	unsigned on_demand = fleet_count_on_demand(proxyd->fleet, pool->name);

	return on_demand ? on_demand : fleet_count(proxyd->fleet, pool->name);
}

/* Whether enough is known to plan: some demand or, once their number has not
 * changed for LISTED_SETTLE_MS, all initial workers. */
static bool pool_is_known(struct proxyd *proxyd, struct pool_scaling *scaling,
			  const struct tab_pool *pool)
{
	unsigned listed = pool_initial_workers(proxyd, pool);
	clk_ms now = proxyd_now(proxyd);

	if (listed != scaling->listed_count) {
		scaling->listed_count = listed;
		scaling->listed_at = now;
	}
	scaling->known |=
		scaling->demand_seen ||
		(listed > 0 && now - scaling->listed_at >= LISTED_SETTLE_MS);
	return scaling->known;
}

/* Orders reclaimable workers; those for which the on-demand ones leave no room
 * are ordered when these have gone. */
static void spot_order(struct proxyd *proxyd, struct pool_scaling *scaling,
		       const struct tab_pool *pool, const struct scale_dc *dc,
		       int want)
{
	int room = MAX(pool->scaling.max - dc->on_demand_ready, 0);

	order_send(order_get(proxyd, scaling, pool->name, dc->name, true),
		   MIN(want, room), dc->spot_ready, pool->scaling.boot_time);
}

/* Orders the reclaimable workers that replace the initial ones while these are
 * still being listed: booting takes seconds, in which the initial ones cost the
 * full price. On-demand workers are not ordered yet: a number below that of the
 * unlisted ones would release them. */
static void pool_order_early(struct proxyd *proxyd,
			     struct pool_scaling *scaling,
			     const struct tab_pool *pool,
			     const struct scale_dc *dcs, size_t count)
{
	clk_ms now = proxyd_now(proxyd);

	if (scaling->listed_count == 0 || now < scaling->next_listing_order)
		return;
	scaling->next_listing_order = now + LISTING_PERIOD_MS;
	for (size_t i = 0; i < count; i++) {
		const struct pool_order *spot = order_get(
			proxyd, scaling, pool->name, dcs[i].name, true);
		int ordered = MAX(spot->order.accepted, dcs[i].spot_ready);

		spot_order(proxyd, scaling, pool, &dcs[i],
			   MAX(dcs[i].want_spot, ordered));
	}
}

static void pool_run(struct proxyd *proxyd, const struct tab_pool *pool)
{
	struct pool_scaling *scaling = scaling_get(proxyd, pool->name);
	struct scale_dc dcs[SCALE_DCS_MAX];
	struct scale_limits limits = {
		.min = pool->scaling.min,
		.max = pool->scaling.max,
		.spot_scarce = order_scarce(&scaling->supply[true],
					    proxyd_now(proxyd)),
	};
	bool known = pool_is_known(proxyd, scaling, pool);
	size_t count = dcs_fill(proxyd, scaling, pool, dcs);

	scale_plan(dcs, count, &limits, scaling->demand.busy);
	if (!known) {
		pool_order_early(proxyd, scaling, pool, dcs, count);
		return;
	}
	plan_log(scaling, pool, dcs, count);
	for (size_t i = 0; i < count; i++) {
		const struct scale_dc *dc = &dcs[i];

		spot_order(proxyd, scaling, pool, dc, dc->want_spot);
		order_send(
			order_get(proxyd, scaling, pool->name, dc->name, false),
			dc->want_on_demand, dc->on_demand_ready,
			pool->scaling.boot_time);
	}
}

/* Updates the demand of one pool. */
static void pool_observe(struct proxyd *proxyd, const struct tab_pool *pool)
{
	struct pool_scaling *scaling = scaling_get(proxyd, pool->name);
	clk_ms now = proxyd_now(proxyd);
	double busy = demand_sum(scaling, now);

	/* Until some demand is reported, assume what the initial workers were
	 * provided for. */
	if (busy > 0)
		scaling->demand_seen = true;
	if (!scaling->demand_seen)
		scaling->demand.busy = MAX(
			scaling->demand.busy,
			START_BUSY_SHARE * pool_initial_workers(proxyd, pool));
	if (scaling->demand_seen)
		scale_demand_update(&scaling->demand, busy, now);
}

/* Calls fn for each pool that is scaled, once per RUN_PERIOD_MS. */
static void pools_foreach(struct proxyd *proxyd, clk_ms *next,
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
	/* This also runs where the host is not the leader, as it may become the
	 * leader at any time. */
	pools_foreach(proxyd, &proxyd->leader->next_observe, pool_observe);
}

void scale_run(struct proxyd *proxyd)
{
	pools_foreach(proxyd, &proxyd->leader->next_scale, pool_run);
}

void scale_start(struct proxyd *proxyd)
{
	proxyd->leader->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void scale_reset_orders(struct proxyd *proxyd)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, proxyd->leader->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_scaling *scaling = value;
		GHashTableIter orders;
		gpointer order;

		g_hash_table_iter_init(&orders, scaling->orders);
		while (g_hash_table_iter_next(&orders, NULL, &order))
			((struct pool_order *)order)->order.accepted = -1;
	}
}
