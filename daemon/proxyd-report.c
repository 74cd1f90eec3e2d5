/*
 * Reports of values that hosts aggregate: started requests by account and
 * window, demand of pools, spending of accounts, requests at workers.
 *
 * Where hosts are few, each reports to all others. Where they are many, each
 * reports to one relay; the relays exchange sums (proxyd-group.c) and send them
 * to the others (proxyd-relay.c).
 */
#include "proxyd.h"

#include <math.h>
#include <string.h>

/* By which a sum of demands may be below 0: hosts subtract what others have
 * reported before. */
#define ROUNDING 1e-6
#define REPORT_PERIOD_MS 500
/* Where hosts are few, what a killed host has not reported is a larger part of
 * the total. */
#define REPORT_FEW_HOSTS_MS 250
/* Between reports while an account is near its limit, where hosts are many. */
#define NEAR_LIMIT_MS 300
/* Where hosts are many, a host from which no report comes for so long has
 * reported to other relays meanwhile. */
#define RELAYED_GAP_MS 1500
/* Recent counts are sent again this often, even if unchanged, as a message may
 * be lost. */
#define COUNTS_REFRESH_MS 2000
/* What was counted since the last report is lost with a host. After a loss of
 * all hosts a window must not lack more than it may be off. */
#define COUNTS_PERIOD_MS 200
#define REPORT_TTL_MS 2500 /* how long a host's last report of load counts */
#define SAMPLES_ALL 0
/* Workers compared for a choice, where hosts are many. */
#define SAMPLES_MANY_HOSTS 3

/* A report that is being filled in. */
struct report_fill_ctx {
	struct proxyd *proxyd;
	w_report report;
};

static void inflight_changed(void *ctx, uint32_t key, double total)
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
	proxyd->peer_inflight = aggregate_create(inflight_changed, proxyd);
	proxyd->peer_prompts = aggregate_create(prompts_changed, proxyd);
	proxyd->counts_from =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void report_pass_on(struct proxyd *proxyd)
{
	proxyd->pass_counts_on = true;
	proxyd->next_counts_refresh = 0;
	proxyd->next_report = 0;
	proxyd->group.next_send = 0;
}

enum usage_again report_counts_again(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);
	enum usage_again again =
		proxyd->pass_counts_on ? USAGE_KEPT : USAGE_RECENT;

	if (now < proxyd->next_counts_refresh)
		return USAGE_CHANGED;
	proxyd->next_counts_refresh = now + COUNTS_REFRESH_MS;
	proxyd->pass_counts_on = false;
	return again;
}

/* A callback that gets the usage counts of dead hosts. */
struct orphans_ctx {
	const struct proxyd *proxyd;
	void (*fn)(void *ctx, const struct usage_count *count);
	void *ctx;
};

static void orphan_pass(void *ctx, const struct usage_count *count)
{
	const struct orphans_ctx *orphans = ctx;
	const struct proxyd *proxyd = orphans->proxyd;
	const struct member *member;

	if (!strcmp(count->process, proxyd->members->self.incarnation))
		return;
	/* Where hosts are few, any of them may be gone, seen or not. */
	member = member_find(proxyd->members, count->process);
	if (proxyd->feed.all_follow || !member ||
	    member->info.state != MEMBER_ALIVE)
		orphans->fn(orphans->ctx, count);
}

void report_each_orphan(struct proxyd *proxyd,
			void (*fn)(void *ctx, const struct usage_count *count),
			void *ctx)
{
	struct orphans_ctx orphans = { proxyd, fn, ctx };

	usage_each(&proxyd->usage, orphan_pass, &orphans);
}

unsigned report_hosts_missing(const struct proxyd *proxyd)
{
	const GPtrArray *order = proxyd->members->order;
	unsigned missing = 0;

	for (guint i = 0; i < order->len; i++) {
		const struct member *member = g_ptr_array_index(order, i);

		/* In a group, the other relays send the counts of all. */
		if (member->info.state != MEMBER_DEAD &&
		    (!proxyd->feed.grouped ||
		     feed_is_relay(&proxyd->feed, member->info.rpc)) &&
		    !g_hash_table_contains(proxyd->counts_from,
					   member->info.incarnation))
			missing++;
	}
	return missing;
}

static void count_add(void *ctx, const struct usage_count *count)
{
	struct report_fill_ctx *fill = ctx;
	w_report *report = &fill->report;
	u_int at = report->counts.counts_len++;

	report->counts.counts_val = g_renew(w_count, report->counts.counts_val,
					    report->counts.counts_len);
	report->counts.counts_val[at] = (w_count){
		.window = count->window,
		.account = (char *)count->account,
		.count = count->count,
	};
}

/* Lists this host's counts. */
static void counts_fill(struct report_fill_ctx *fill, enum usage_again again)
{
	struct proxyd *proxyd = fill->proxyd;

	usage_report(&proxyd->usage, proxyd->members->self.incarnation, again,
		     count_add, fill);
}

void report_update_demand(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);
	double age = (double)MAX(now - proxyd->full_report_at, 1);
	GHashTableIter iter;
	gpointer value;

	proxyd->full_report_at = now;
	g_hash_table_iter_init(&iter, proxyd->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_state *pool = value;

		pool->demand = pool->demand_ms / age;
		pool->demand_ms = 0;
		scale_set_demand(proxyd, proxyd->members->self.incarnation,
				 pool->name, pool->demand);
	}
}

/* Lists the demand of each pool. */
static void demand_fill(struct report_fill_ctx *fill)
{
	struct proxyd *proxyd = fill->proxyd;
	w_report *report = &fill->report;
	GHashTableIter iter;
	gpointer value;
	u_int at = 0;

	report->demand.demand_val =
		g_new0(w_demand, g_hash_table_size(proxyd->pools));
	g_hash_table_iter_init(&iter, proxyd->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pool_state *pool = value;

		report->demand.demand_val[at++] = (w_demand){
			.pool = pool->name,
			.busy = pool->demand,
		};
	}
	report->demand.demand_len = at;
}

/* Lists what accounts have spent on this host. */
static void spent_fill(struct report_fill_ctx *fill)
{
	w_report *report = &fill->report;
	GHashTable *table = fill->proxyd->quotas_by_key;
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

/* Lists this host's requests at workers, and the prompt tokens of those before
 * their first token. */
static void inflight_fill(struct report_fill_ctx *fill)
{
	w_report *report = &fill->report;
	GHashTable *workers = fill->proxyd->fleet->workers;
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

static void report_free(w_report *report)
{
	g_free(report->counts.counts_val);
	g_free(report->demand.demand_val);
	g_free(report->spent.spent_val);
	g_free(report->inflight.inflight_val);
	g_free(report->prompts.prompts_val);
}

/* Whether some account is near its limit. */
static bool accounts_near_limit(const struct proxyd *proxyd)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, proxyd->quotas);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (quota_near_limit(value))
			return true;
	return false;
}

/* Whether this host has spent so much of some limit that it has to report at
 * once. */
static bool accounts_report_due(const struct proxyd *proxyd)
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

/* Sends a report to this host's parent or to all relays, and frees it. */
static void report_send_all(struct report_fill_ctx *fill)
{
	struct proxyd *proxyd = fill->proxyd;
	GHashTableIter iter;
	gpointer relay;

	if (proxyd->feed.grouped) {
		rpc_send_report(proxyd->rpc, proxyd->feed.parent,
				&fill->report);
		report_free(&fill->report);
		return;
	}
	g_hash_table_iter_init(&iter, proxyd->feed.relays);
	while (g_hash_table_iter_next(&iter, &relay, NULL))
		rpc_send_report(proxyd->rpc, relay, &fill->report);
	report_free(&fill->report);
}

/* Adds a count to the report of its process; reports: process -> struct
 * report_fill_ctx. */
static void orphan_add(void *ctx, const struct usage_count *count)
{
	GHashTable *reports = ctx;
	struct report_fill_ctx *fill =
		g_hash_table_lookup(reports, count->process);

	if (!fill) {
		fill = g_new0(struct report_fill_ctx, 1);
		fill->report.process = (char *)count->process;
		g_hash_table_insert(reports, (char *)count->process, fill);
	}
	count_add(fill, count);
}

/* Reports the counts of hosts that are gone. */
static void orphans_send(struct proxyd *proxyd)
{
	GHashTable *reports =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter iter;
	gpointer value;

	report_each_orphan(proxyd, orphan_add, reports);
	g_hash_table_iter_init(&iter, reports);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct report_fill_ctx *fill = value;

		fill->proxyd = proxyd;
		report_send_all(fill);
	}
	g_hash_table_destroy(reports);
}

/* Sends a report to the relays; full: include counts, demand and the load of
 * workers, besides the accounts' spending. */
static void report_send(struct proxyd *proxyd, bool full)
{
	struct report_fill_ctx fill = {
		.proxyd = proxyd,
		.report.process = proxyd->members->self.incarnation,
		.report.full = full,
	};

	if (full) {
		enum usage_again again = report_counts_again(proxyd);

		report_update_demand(proxyd);
		counts_fill(&fill, again);
		if (again == USAGE_KEPT && !proxyd->feed.grouped)
			orphans_send(proxyd);
		demand_fill(&fill);
		inflight_fill(&fill);
	}
	spent_fill(&fill);
	report_send_all(&fill);
}

void report_send_counts(struct proxyd *proxyd)
{
	struct report_fill_ctx fill = {
		.proxyd = proxyd,
		.report.process = proxyd->members->self.incarnation,
	};

	if (group_is_active(proxyd)) {
		group_send_counts(proxyd);
		return;
	}
	proxyd->next_counts = proxyd_now(proxyd) + COUNTS_PERIOD_MS;
	counts_fill(&fill, USAGE_CHANGED);
	report_send_all(&fill);
}

void report_withdraw(struct proxyd *proxyd, const char *relay)
{
	w_report report = {
		.process = proxyd->members->self.incarnation,
		.full = true,
	};

	if (relay[0])
		rpc_send_report(proxyd->rpc, relay, &report);
}

void report_tick(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);
	bool all_relays = proxyd->feed.all_follow;
	bool due = now >= proxyd->next_report;
	bool near_limit = accounts_near_limit(proxyd);
	clk_ms age = now - proxyd->reported_at;

	aggregate_expire(proxyd->peer_inflight, now - REPORT_TTL_MS);
	aggregate_expire(proxyd->peer_prompts, now - REPORT_TTL_MS);
	group_expire(proxyd, now - REPORT_TTL_MS);
	relay_update_coverage(proxyd);
	proxyd->fleet->params.samples =
		all_relays ? SAMPLES_ALL : SAMPLES_MANY_HOSTS;
	proxyd->fleet->params.host_key =
		aggregate_key(proxyd->members->self.incarnation);
	if (group_is_active(proxyd)) {
		group_tick(proxyd, near_limit);
	} else if (due || accounts_report_due(proxyd) ||
		   (near_limit && (all_relays || age >= NEAR_LIMIT_MS))) {
		proxyd->reported_at = now;
		report_send(proxyd, due);
	} else if (proxyd->feed.grouped && now >= proxyd->next_counts &&
		   usage_has_changed(&proxyd->usage)) {
		report_send_counts(proxyd);
	}
	if (due)
		proxyd->next_report = now + (all_relays ? REPORT_FEW_HOSTS_MS
							: REPORT_PERIOD_MS);
	if (!all_relays && proxyd->feed.role != FEED_LEAF &&
	    (due || near_limit))
		relay_send_all(proxyd, due);
}

/* Other hosts' reports. */

void report_bad_value(struct proxyd *proxyd, const char *process,
		      const char *what)
{
	proxyd_count(proxyd, CTR_bad_input);
	slog(SLOG_WARN, "report", "peer=%s outcome=dropped why=%s", process,
	     what);
}

bool report_is_load(double value)
{
	return isfinite(value) && value >= 0;
}

bool report_parts_are_valid(const w_part *parts, u_int count,
			    bool (*is_valid)(double value))
{
	for (u_int i = 0; i < count; i++)
		if (!is_valid(parts[i].value))
			return false;
	return true;
}

bool report_demand_is_valid(const w_demand *demand, u_int count)
{
	for (u_int i = 0; i < count; i++)
		if (!report_is_load(demand[i].busy + ROUNDING))
			return false;
	return true;
}

/* Whether the values of a report can be true. Spending may be below 0: units of
 * requests that were not run are given back. */
static bool report_is_valid(const w_report *report)
{
	return report_parts_are_valid(report->spent.spent_val,
				      report->spent.spent_len,
				      quota_spent_is_valid) &&
	       report_parts_are_valid(report->inflight.inflight_val,
				      report->inflight.inflight_len,
				      report_is_load) &&
	       report_parts_are_valid(report->prompts.prompts_val,
				      report->prompts.prompts_len,
				      report_is_load) &&
	       report_demand_is_valid(report->demand.demand_val,
				      report->demand.demand_len);
}

bool report_count_apply(struct proxyd *proxyd, const char *process,
			const w_count *count, bool forward)
{
	return usage_merge(&proxyd->usage, process, count->account,
			   count->window, count->count, forward,
			   proxyd_wall(proxyd));
}

void report_parts_apply(struct proxyd *proxyd, struct aggregate *sums,
			const char *process, const w_part *parts, u_int count)
{
	struct aggregate_value *values = g_new(struct aggregate_value, count);

	for (u_int i = 0; i < count; i++)
		values[i] = (struct aggregate_value){
			.key = parts[i].key,
			.value = parts[i].value,
		};
	aggregate_update(sums, process, values, count, proxyd_now(proxyd));
	g_free(values);
}

static void spent_apply(struct proxyd *proxyd, const char *process,
			const w_part *parts, u_int count)
{
	clk_ms gap_max =
		proxyd->feed.all_follow ? CLK_NEVER / 2 : RELAYED_GAP_MS;
	bool grouped = group_is_active(proxyd);

	for (u_int i = 0; i < count; i++) {
		struct quota *quota = g_hash_table_lookup(
			proxyd->quotas_by_key, GUINT_TO_POINTER(parts[i].key));

		double units;

		if (!quota)
			continue;
		units = quota_on_report(quota, process, parts[i].value, gap_max,
					proxyd_host_count(proxyd),
					proxyd_now(proxyd));
		if (grouped)
			quota_add_to_group(quota, units);
	}
}

void peer_on_report(void *ctx, const w_report *report)
{
	struct proxyd *proxyd = ctx;
	bool counts_ok = true;

	if (!report_is_valid(report)) {
		report_bad_value(proxyd, report->process, "bad_value");
		return;
	}
	for (u_int i = 0; i < report->counts.counts_len; i++)
		counts_ok &= report_count_apply(proxyd, report->process,
						&report->counts.counts_val[i],
						group_is_active(proxyd));
	if (!counts_ok)
		report_bad_value(proxyd, report->process, "bad_count");
	if (group_is_active(proxyd))
		group_on_report(proxyd, report);
	for (u_int i = 0; i < report->demand.demand_len; i++)
		scale_set_demand(proxyd, report->process,
				 report->demand.demand_val[i].pool,
				 report->demand.demand_val[i].busy);
	if (report->full) {
		g_hash_table_add(proxyd->counts_from,
				 g_strdup(report->process));
		report_parts_apply(proxyd, proxyd->peer_inflight,
				   report->process,
				   report->inflight.inflight_val,
				   report->inflight.inflight_len);
		report_parts_apply(proxyd, proxyd->peer_prompts,
				   report->process, report->prompts.prompts_val,
				   report->prompts.prompts_len);
	}
	spent_apply(proxyd, report->process, report->spent.spent_val,
		    report->spent.spent_len);
}
