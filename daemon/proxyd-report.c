/*
 * Figures that hosts add up: begun requests by account and window, demand,
 * what accounts have spent, requests at workers.
 *
 * Where hosts are few, each tells all others. Where they are many, each tells
 * the few that also follow the store, and these add up for the rest
 * (proxyd-relay.c).
 */
#include "proxyd.h"

#include <string.h>

#define REPORT_PERIOD_MS 500
#define REPORT_FEW_MS                                                          \
	250 /* where hosts are few: what one that is killed has                \
	     * not told is more of what all have */
/* Between reports near a limit, where hosts are many. */
#define PRESSED_MS 300
/* A host that is silent for so long reports to others, where hosts are many. */
#define RELAY_GAP_MS 1500
#define TOLD_KEEP_MS 2500 /* a host's requests count after its last report */
#define ALL_SAMPLES 0
#define FEW_SAMPLES 3 /* workers drawn for a choice, where hosts are many */

/* A report that is being made. */
struct filling {
	struct proxyd *proxyd;
	w_report report;
	int64_t window;
	double since_full; /* ms since the last full report */
};

static void told_changed(void *ctx, uint32_t key, double total)
{
	struct proxyd *proxyd = ctx;

	fleet_on_peer_requests(proxyd->fleet, key, total);
}

static void prompts_changed(void *ctx, uint32_t key, double total)
{
	struct proxyd *proxyd = ctx;

	fleet_on_peer_prompts(proxyd->fleet, key, total);
}

void report_start(struct proxyd *proxyd)
{
	proxyd->peer_inflight = aggregate_create(told_changed, proxyd);
	proxyd->peer_prompts = aggregate_create(prompts_changed, proxyd);
}

static void count_add(void *ctx, const char *account, int64_t count)
{
	struct filling *filling = ctx;
	w_report *report = &filling->report;
	u_int at = report->counts.counts_len++;

	report->counts.counts_val = g_renew(w_count, report->counts.counts_val,
					    report->counts.counts_len);
	report->counts.counts_val[at] = (w_count){
		.window = filling->window,
		.account = (char *)account,
		.count = count,
	};
}

/* Lists this host's counts of the windows that are kept. */
static void counts_fill(struct filling *filling)
{
	struct proxyd *proxyd = filling->proxyd;
	int64_t newest = usage_window(&proxyd->usage, proxyd_wall(proxyd));

	for (int64_t window = newest - USAGE_WINDOWS + 1; window <= newest;
	     window++) {
		filling->window = window;
		usage_foreach(&proxyd->usage, proxyd->members->self.incarnation,
			      window, count_add, filling);
	}
}

/* Lists what is asked of each pool. */
static void demand_fill(struct filling *filling)
{
	struct proxyd *proxyd = filling->proxyd;
	w_report *report = &filling->report;
	GHashTableIter iter;
	gpointer value;
	u_int at = 0;

	report->demand.demand_val =
		g_new0(w_demand, g_hash_table_size(proxyd->pools));
	g_hash_table_iter_init(&iter, proxyd->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_state *pool = value;

		pool->demand = pool->demand_ms / filling->since_full;
		pool->demand_ms = 0;
		report->demand.demand_val[at++] = (w_demand){
			.pool = pool->name,
			.busy = pool->demand,
		};
		scale_on_demand(proxyd, proxyd->members->self.incarnation,
				pool->name, pool->demand);
	}
	report->demand.demand_len = at;
}

/* Lists what accounts have spent here. */
static void spent_fill(struct filling *filling)
{
	w_report *report = &filling->report;
	GHashTable *table = filling->proxyd->quotas_by_key;
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	u_int at = 0;

	report->spent.spent_val = g_new0(w_part, g_hash_table_size(table));
	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct quota *quota = value;

		if (quota->rate <= 0)
			continue;
		report->spent.spent_val[at++] = (w_part){
			.key = GPOINTER_TO_UINT(key),
			.value = quota->spent,
		};
		quota_on_report_sent(quota);
	}
	report->spent.spent_len = at;
}

/* Lists this host's requests at workers, and their prompts. */
static void inflight_fill(struct filling *filling)
{
	w_report *report = &filling->report;
	GHashTable *workers = filling->proxyd->fleet->workers;
	guint size = g_hash_table_size(workers);
	GHashTableIter iter;
	gpointer value;

	report->inflight.inflight_val = g_new0(w_part, size);
	report->prompts.prompts_val = g_new0(w_part, size);
	g_hash_table_iter_init(&iter, workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fleet_worker *worker = value;

		if (worker->inflight > 0)
			report->inflight
				.inflight_val[report->inflight.inflight_len++] =
				(w_part){ worker->key, worker->inflight };
		if (worker->prompt_tokens > 0)
			report->prompts
				.prompts_val[report->prompts.prompts_len++] =
				(w_part){ worker->key, worker->prompt_tokens };
	}
}

static void report_to(void *ctx, const struct member *member)
{
	struct filling *filling = ctx;

	rpc_send_report(filling->proxyd->rpc, member->info.rpc,
			&filling->report);
}

static void report_free(w_report *report)
{
	g_free(report->counts.counts_val);
	g_free(report->demand.demand_val);
	g_free(report->spent.spent_val);
	g_free(report->inflight.inflight_val);
	g_free(report->prompts.prompts_val);
}

/* Whether some account comes near its limit. */
static bool accounts_pressed(const struct proxyd *proxyd)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, proxyd->quotas);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (quota_near_limit(value))
			return true;
	return false;
}

/* Whether the others have to know at once what this host has let through. */
static bool accounts_owe(const struct proxyd *proxyd)
{
	unsigned hosts = proxyd_host_count(proxyd);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, proxyd->quotas);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (quota_report_due(value, hosts))
			return true;
	return false;
}

/* Makes a report and sends it; full: with more than accounts' spending. */
static void report_make(struct proxyd *proxyd, bool full)
{
	struct filling filling = {
		.proxyd = proxyd,
		.report.process = proxyd->members->self.incarnation,
		.report.full = full,
		.since_full = (double)MAX(
			proxyd_now(proxyd) - proxyd->full_report_at, 1),
	};

	if (full) {
		counts_fill(&filling);
		demand_fill(&filling);
		inflight_fill(&filling);
		proxyd->full_report_at = proxyd_now(proxyd);
	}
	spent_fill(&filling);
	member_each_top(proxyd->members, LEADER_RANK, peer_relay_count(proxyd),
			report_to, &filling);
	report_free(&filling.report);
}

void report_tick(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);
	bool few = peer_all_watch(proxyd);
	bool due = now >= proxyd->next_report;
	clk_ms age = now - proxyd->reported_at;

	aggregate_expire(proxyd->peer_inflight, now - TOLD_KEEP_MS);
	aggregate_expire(proxyd->peer_prompts, now - TOLD_KEEP_MS);
	relay_update_coverage(proxyd);
	proxyd->fleet->params.samples = few ? ALL_SAMPLES : FEW_SAMPLES;
	proxyd->fleet->params.host_key =
		aggregate_key(proxyd->members->self.incarnation);
	if (due || accounts_owe(proxyd) ||
	    (accounts_pressed(proxyd) && (few || age >= PRESSED_MS))) {
		proxyd->reported_at = now;
		report_make(proxyd, due);
	}
	if (due)
		proxyd->next_report =
			now + (few ? REPORT_FEW_MS : REPORT_PERIOD_MS);
	if (!few && peer_is_relay(proxyd) && (due || accounts_pressed(proxyd)))
		relay_send_all(proxyd, due);
}

/* What hosts tell. */

void report_parts_apply(struct proxyd *proxyd, struct aggregate *sums,
			const char *process, const w_part *parts, u_int count)
{
	struct aggregate_value *taken = g_new(struct aggregate_value, count);

	for (u_int i = 0; i < count; i++)
		taken[i] = (struct aggregate_value){
			.key = parts[i].key,
			.value = parts[i].value,
		};
	aggregate_update(sums, process, taken, count, proxyd_now(proxyd));
	g_free(taken);
}

static void spent_take(struct proxyd *proxyd, const char *process,
		       const w_part *parts, u_int count)
{
	clk_ms gap_max = peer_all_watch(proxyd) ? CLK_NEVER / 2 : RELAY_GAP_MS;

	for (u_int i = 0; i < count; i++) {
		struct quota *quota = g_hash_table_lookup(
			proxyd->quotas_by_key, GUINT_TO_POINTER(parts[i].key));

		if (quota)
			quota_on_report(quota, process, parts[i].value, gap_max,
					proxyd_host_count(proxyd),
					proxyd_now(proxyd));
	}
}

void peer_on_report(void *ctx, const w_report *report)
{
	struct proxyd *proxyd = ctx;

	for (u_int i = 0; i < report->counts.counts_len; i++) {
		const w_count *count = &report->counts.counts_val[i];

		usage_merge(&proxyd->usage, report->process, count->account,
			    count->window, count->count);
	}
	for (u_int i = 0; i < report->demand.demand_len; i++)
		scale_on_demand(proxyd, report->process,
				report->demand.demand_val[i].pool,
				report->demand.demand_val[i].busy);
	if (report->full) {
		report_parts_apply(proxyd, proxyd->peer_inflight,
				   report->process,
				   report->inflight.inflight_val,
				   report->inflight.inflight_len);
		report_parts_apply(proxyd, proxyd->peer_prompts,
				   report->process, report->prompts.prompts_val,
				   report->prompts.prompts_len);
	}
	spent_take(proxyd, report->process, report->spent.spent_val,
		   report->spent.spent_len);
}
