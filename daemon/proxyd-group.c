/*
 * Sums over groups of hosts. Where hosts are many, each reports to one relay,
 * its parent. The relays send each other the sums over themselves and the hosts
 * that report to them, so that each of them knows the load of all workers and
 * the spending of all accounts. Followers also receive demand and usage counts,
 * as one of them is the leader.
 */
#include "proxyd.h"

#define GROUP_PERIOD_MS 500
/* A group whose last sums are older does not count as reporting. */
#define REPORTING_MS 1200
/* A relay that was silent for so long may have been replaced meanwhile. */
#define GROUP_GAP_MS 1500

/* The last sums of another relay. */
struct peer_group {
	unsigned reporting;
	clk_ms received_at;
};

void group_start(struct proxyd *proxyd)
{
	struct group *group = &proxyd->group;

	group->inflight = aggregate_create(NULL, NULL);
	group->prompts = aggregate_create(NULL, NULL);
	group->demand = aggregate_create(NULL, NULL);
	group->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

bool group_is_active(const struct proxyd *proxyd)
{
	return proxyd->feed.grouped && proxyd->feed.role != FEED_LEAF;
}

void group_expire(struct proxyd *proxyd, clk_ms before)
{
	aggregate_expire(proxyd->group.inflight, before);
	aggregate_expire(proxyd->group.prompts, before);
	aggregate_expire(proxyd->group.demand, before);
}

void group_on_report(struct proxyd *proxyd, const w_report *report)
{
	struct group *group = &proxyd->group;
	u_int count = report->demand.demand_len;
	w_part *demand;

	if (!report->full)
		return;
	report_parts_apply(proxyd, group->inflight, report->process,
			   report->inflight.inflight_val,
			   report->inflight.inflight_len);
	report_parts_apply(proxyd, group->prompts, report->process,
			   report->prompts.prompts_val,
			   report->prompts.prompts_len);
	demand = g_new(w_part, count);
	for (u_int i = 0; i < count; i++)
		demand[i] = (w_part){
			.key = aggregate_key(report->demand.demand_val[i].pool),
			.value = report->demand.demand_val[i].busy,
		};
	report_parts_apply(proxyd, group->demand, report->process, demand,
			   count);
	g_free(demand);
}

unsigned group_reporting(const struct proxyd *proxyd)
{
	clk_ms since = proxyd_now(proxyd) - REPORTING_MS;
	unsigned count =
		1 + aggregate_active_count(proxyd->group.inflight, since);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, proxyd->group.peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct peer_group *peer = value;

		if (peer->received_at >= since)
			count += peer->reporting;
	}
	return count;
}

/* A list of values that is being filled in. */
struct part_list {
	w_part *values;
	u_int count;
};

static void part_add(void *ctx, uint32_t key, double value)
{
	struct part_list *list = ctx;

	if (value > 0)
		list->values[list->count++] =
			(w_part){ .key = key, .value = value };
}

/* Lists the sums over the hosts that report here and this host's own value of
 * each worker. */
static struct part_list load_list(struct proxyd *proxyd,
				  const struct aggregate *sums,
				  double (*own)(const struct fleet_worker *))
{
	GHashTable *workers = proxyd->fleet->workers;
	struct part_list list = {
		.values =
			g_new(w_part, g_hash_table_size(workers) +
					      g_hash_table_size(sums->totals)),
	};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fleet_worker *worker = value;

		part_add(&list, worker->key,
			 own(worker) + aggregate_total(sums, worker->key));
	}
	return list;
}

static void demand_fill(struct proxyd *proxyd, w_group *message)
{
	GHashTableIter iter;
	gpointer value;

	message->demand.demand_val =
		g_new0(w_demand, g_hash_table_size(proxyd->pools));
	g_hash_table_iter_init(&iter, proxyd->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_state *pool = value;
		uint32_t key = aggregate_key(pool->name);

		message->demand.demand_val[message->demand.demand_len++] =
			(w_demand){
				.pool = pool->name,
				.busy = pool->demand +
					aggregate_total(proxyd->group.demand,
							key),
			};
	}
}

static void spent_fill(struct proxyd *proxyd, w_group *message)
{
	GHashTable *quotas = proxyd->quotas_by_key;
	struct part_list list = {
		.values = g_new(w_part, g_hash_table_size(quotas)),
	};
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, quotas);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct quota *quota = value;

		if (quota->rate <= 0)
			continue;
		list.values[list.count++] = (w_part){
			.key = GPOINTER_TO_UINT(key),
			.value = quota_group_spent(quota),
		};
		quota_on_group_sent(quota);
	}
	message->spent.spent_val = list.values;
	message->spent.spent_len = list.count;
}

static void count_add(void *ctx, const struct usage_count *count)
{
	w_group *message = ctx;
	u_int at = message->counts.counts_len++;

	message->counts.counts_val =
		g_renew(w_process_count, message->counts.counts_val,
			message->counts.counts_len);
	message->counts.counts_val[at] = (w_process_count){
		.process = (char *)count->process,
		.count = {
			.window = count->window,
			.account = (char *)count->account,
			.count = count->count,
		},
	};
}

static void counts_fill(struct proxyd *proxyd, w_group *message)
{
	enum usage_again again = report_counts_again(proxyd);

	usage_report(&proxyd->usage, NULL, again, count_add, message);
	if (again == USAGE_KEPT)
		report_each_orphan(proxyd, count_add, message);
}

static void send_to_all(struct proxyd *proxyd, GHashTable *addresses,
			GHashTable *except, const w_group *message)
{
	GHashTableIter iter;
	gpointer rpc;

	g_hash_table_iter_init(&iter, addresses);
	while (g_hash_table_iter_next(&iter, &rpc, NULL))
		if (!except || !g_hash_table_contains(except, rpc))
			rpc_send_group(proxyd->rpc, rpc, message);
}

static void message_clear(w_group *message)
{
	g_free(message->spent.spent_val);
	g_free(message->inflight.inflight_val);
	g_free(message->prompts.prompts_val);
	g_free(message->demand.demand_val);
	g_free(message->counts.counts_val);
}

/* Sends this group's sums to the other relays; full: include the load of
 * workers, demand and counts, besides the accounts' spending. */
static void group_send(struct proxyd *proxyd, bool full)
{
	struct feed *feed = &proxyd->feed;
	struct part_list inflight = { 0 };
	struct part_list prompts = { 0 };
	w_group message = {
		.process = proxyd->members->self.incarnation,
		.reporting = 1 + aggregate_active_count(proxyd->group.inflight,
							proxyd_now(proxyd) -
								REPORTING_MS),
		.full = full,
	};

	spent_fill(proxyd, &message);
	if (full) {
		inflight = load_list(proxyd, proxyd->group.inflight,
				     fleet_own_requests);
		prompts = load_list(proxyd, proxyd->group.prompts,
				    fleet_own_prompts);
		message.inflight.inflight_val = inflight.values;
		message.inflight.inflight_len = inflight.count;
		message.prompts.prompts_val = prompts.values;
		message.prompts.prompts_len = prompts.count;
	}
	send_to_all(proxyd, feed->relays, feed->followers, &message);
	if (full) {
		report_update_demand(proxyd);
		demand_fill(proxyd, &message);
		counts_fill(proxyd, &message);
	}
	send_to_all(proxyd, feed->followers, NULL, &message);
	message_clear(&message);
}

void group_send_counts(struct proxyd *proxyd)
{
	w_group message = {
		.process = proxyd->members->self.incarnation,
		.reporting = 1 + aggregate_active_count(proxyd->group.inflight,
							proxyd_now(proxyd) -
								REPORTING_MS),
	};

	usage_report(&proxyd->usage, NULL, USAGE_CHANGED, count_add, &message);
	send_to_all(proxyd, proxyd->feed.followers, NULL, &message);
	message_clear(&message);
}

void group_tick(struct proxyd *proxyd, bool near_limit)
{
	clk_ms now = proxyd_now(proxyd);
	bool due = now >= proxyd->group.next_send;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, proxyd->quotas);
	while (!due && !near_limit &&
	       g_hash_table_iter_next(&iter, NULL, &value))
		near_limit = quota_group_due(value, proxyd->feed.relay_count);
	if (due)
		proxyd->group.next_send = now + GROUP_PERIOD_MS;
	if (due || near_limit)
		group_send(proxyd, due);
	else if (usage_has_changed(&proxyd->usage))
		group_send_counts(proxyd);
}

/* Whether a message is from a known host and its sums can be true. */
static bool message_is_valid(struct proxyd *proxyd, const w_group *message)
{
	const char *why = NULL;

	if (!member_is_live(proxyd->members, message->process))
		why = "unknown_host";
	/* Spending may be below 0: units of requests that were not run are
	 * given back. */
	else if (!report_parts_are_valid(message->spent.spent_val,
					 message->spent.spent_len,
					 quota_spent_is_valid) ||
		 !report_parts_are_valid(message->inflight.inflight_val,
					 message->inflight.inflight_len,
					 report_is_load) ||
		 !report_parts_are_valid(message->prompts.prompts_val,
					 message->prompts.prompts_len,
					 report_is_load) ||
		 !report_demand_is_valid(message->demand.demand_val,
					 message->demand.demand_len) ||
		 message->reporting > W_ITEMS)
		why = "bad_value";
	if (!why)
		return true;
	proxyd_count(proxyd, CTR_bad_input);
	slog(SLOG_WARN, "group", "peer=%s outcome=dropped why=%s",
	     message->process, why);
	return false;
}

static void spent_apply(struct proxyd *proxyd, const w_group *message)
{
	for (u_int i = 0; i < message->spent.spent_len; i++) {
		const w_part *part = &message->spent.spent_val[i];
		struct quota *quota = g_hash_table_lookup(
			proxyd->quotas_by_key, GUINT_TO_POINTER(part->key));

		if (quota)
			quota_on_group(quota, message->process, part->value,
				       GROUP_GAP_MS, proxyd_host_count(proxyd),
				       proxyd_now(proxyd));
	}
}

static void counts_apply(struct proxyd *proxyd, const w_group *message)
{
	bool counts_ok = true;

	for (u_int i = 0; i < message->counts.counts_len; i++) {
		const w_process_count *row = &message->counts.counts_val[i];

		counts_ok &= report_count_apply(proxyd, row->process,
						&row->count, false);
	}
	if (!counts_ok)
		report_bad_value(proxyd, message->process, "bad_count");
	for (u_int i = 0; i < message->demand.demand_len; i++)
		scale_set_demand(proxyd, message->process,
				 message->demand.demand_val[i].pool,
				 message->demand.demand_val[i].busy);
}

void peer_on_group(void *ctx, const w_group *message)
{
	struct proxyd *proxyd = ctx;
	struct peer_group *peer;

	if (!message_is_valid(proxyd, message))
		return;
	peer = g_hash_table_lookup(proxyd->group.peers, message->process);
	if (!peer) {
		peer = g_new0(struct peer_group, 1);
		g_hash_table_insert(proxyd->group.peers,
				    g_strdup(message->process), peer);
	}
	peer->reporting = message->reporting;
	peer->received_at = proxyd_now(proxyd);
	if (message->full) {
		g_hash_table_add(proxyd->counts_from,
				 g_strdup(message->process));
		report_parts_apply(proxyd, proxyd->peer_inflight,
				   message->process,
				   message->inflight.inflight_val,
				   message->inflight.inflight_len);
		report_parts_apply(proxyd, proxyd->peer_prompts,
				   message->process,
				   message->prompts.prompts_val,
				   message->prompts.prompts_len);
	}
	spent_apply(proxyd, message);
	counts_apply(proxyd, message);
}
