/*
 * Aggregated reports. Where hosts are many, the relays know the sums over all
 * hosts (proxyd-group.c). Each relay sends the hosts that it feeds the sums
 * without the host's own values, and what remains of the accounts' limits. See
 * decide/relay.h.
 */
#include "proxyd.h"

#include <string.h>

/* A host whose last report is at most this old counts as reporting. */
#define REPORTING_MS 1200
/* A host that has just started does not know the others yet: two report
 * periods and a margin. */
#define COVERAGE_AFTER_MS 1500
/* After a change of the relays: until all hosts know of it and have reported to
 * the new ones. */
#define RELAYS_SETTLE_MS 1200

/* Values for one host: the sums over all other hosts. */
struct relay_fill_ctx {
	struct proxyd *proxyd;
	const char *process; /* the host that gets them */
	uint32_t host_key;
	const struct aggregate *sums;
	double (*local)(const struct fleet_worker *worker);
	w_part *parts;
	u_int count;
};

static void relay_add(void *ctx, uint32_t key, double total)
{
	struct relay_fill_ctx *fill = ctx;
	const struct fleet_worker *worker = g_hash_table_lookup(
		fill->proxyd->fleet->by_key, GUINT_TO_POINTER(key));
	double others;

	if (!worker ||
	    !fleet_in_subset(fill->proxyd->fleet, worker, fill->host_key))
		return;
	others = total + fill->local(worker) -
		 aggregate_lookup(fill->sums, fill->process, key);
	if (others > 0)
		fill->parts[fill->count++] =
			(w_part){ .key = key, .value = others };
}

/* Lists the values for one host; returns their number. */
static u_int relay_fill(struct proxyd *proxyd, const char *process,
			const struct aggregate *sums,
			double (*local)(const struct fleet_worker *worker),
			w_part **parts)
{
	struct relay_fill_ctx fill = {
		.proxyd = proxyd,
		.process = process,
		.host_key = aggregate_key(process),
		.sums = sums,
		.local = local,
		.parts = g_new0(w_part, g_hash_table_size(sums->totals)),
	};

	aggregate_foreach(sums, relay_add, &fill);
	*parts = fill.parts;
	return fill.count;
}

unsigned relay_hosts_reporting(const struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);

	if (!proxyd->collecting_since)
		return proxyd->relay_host_count;
	/* A new relay: the hosts have only begun to report to it. */
	if (now - proxyd->collecting_since < REPORTING_MS)
		return peer_hosts_maybe_running(proxyd);
	if (proxyd->feed.grouped)
		return group_reporting(proxyd);
	return 1 + aggregate_active_count(proxyd->peer_inflight,
					  now - REPORTING_MS);
}

/* full: include the load of workers, besides what remains of the accounts'
 * limits. */
static void relay_to(struct proxyd *proxyd, const struct feed_target *target,
		     bool full)
{
	const char *process = target->incarnation;
	w_relay relay = {
		.process = proxyd->members->self.incarnation,
		.heard = relay_hosts_reporting(proxyd),
		.full = full,
	};
	clk_ms now = proxyd_now(proxyd);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	if (full) {
		relay.inflight.inflight_len = relay_fill(
			proxyd, process, proxyd->peer_inflight,
			fleet_own_requests, &relay.inflight.inflight_val);
		relay.prompts.prompts_len = relay_fill(
			proxyd, process, proxyd->peer_prompts,
			fleet_own_prompts, &relay.prompts.prompts_val);
	}
	relay.left.left_val =
		g_new0(w_part, g_hash_table_size(proxyd->quotas_by_key));
	g_hash_table_iter_init(&iter, proxyd->quotas_by_key);
	while (g_hash_table_iter_next(&iter, &key, &value))
		relay.left.left_val[relay.left.left_len++] = (w_part){
			.key = GPOINTER_TO_UINT(key),
			.value = quota_remaining(
				value, proxyd_host_count(proxyd), now),
		};
	rpc_send_relay(proxyd->rpc, target->rpc, &relay);
	g_free(relay.inflight.inflight_val);
	g_free(relay.prompts.prompts_val);
	g_free(relay.left.left_val);
}

void relay_send_all(struct proxyd *proxyd, bool full)
{
	const GArray *targets = proxyd->feed.targets;

	for (guint i = 0; i < targets->len; i++) {
		const struct feed_target *target =
			&g_array_index(targets, struct feed_target, i);

		if (target->primary)
			relay_to(proxyd, target, full);
	}
}

void relay_update_coverage(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);
	double coverage = 1;
	bool settled = proxyd->feed.all_follow || !proxyd->relays_changed_at ||
		       now - proxyd->relays_changed_at >= RELAYS_SETTLE_MS;
	GHashTableIter iter;
	gpointer value;

	if (proxyd->feed.role == FEED_LEAF) {
		proxyd->collecting_since = 0;
		g_hash_table_remove_all(proxyd->counts_from);
	} else if (!proxyd->collecting_since)
		proxyd->collecting_since = now;
	/* A host that has just started is still discovering the others: until
	 * COVERAGE_AFTER_MS it assumes that all of them report. */
	if (now - proxyd->started_at >= COVERAGE_AFTER_MS)
		coverage = (double)relay_hosts_reporting(proxyd) /
			   peer_hosts_maybe_running(proxyd);
	g_hash_table_iter_init(&iter, proxyd->quotas);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		quota_set_settled(value, settled);
		quota_set_coverage(value, coverage, now);
	}
}

/* Applies what remains of the accounts' limits, as sent by a relay. */
static void remaining_apply(struct proxyd *proxyd, const w_relay *relay)
{
	for (u_int i = 0; i < relay->left.left_len; i++) {
		const w_part *part = &relay->left.left_val[i];
		struct quota *quota = g_hash_table_lookup(
			proxyd->quotas_by_key, GUINT_TO_POINTER(part->key));

		if (quota && quota->rate > 0)
			quota_on_remaining(quota, part->value,
					   proxyd_now(proxyd));
	}
}

/* Whether the sums can be true. */
static bool relay_is_valid(const w_relay *relay)
{
	return report_parts_are_valid(relay->left.left_val,
				      relay->left.left_len,
				      quota_spent_is_valid) &&
	       report_parts_are_valid(relay->inflight.inflight_val,
				      relay->inflight.inflight_len,
				      report_is_load) &&
	       report_parts_are_valid(relay->prompts.prompts_val,
				      relay->prompts.prompts_len,
				      report_is_load) &&
	       relay->heard <= W_ITEMS;
}

void peer_on_relay(void *ctx, const w_relay *relay)
{
	struct proxyd *proxyd = ctx;
	clk_ms now = proxyd_now(proxyd);
	const struct member *sender;
	char *process;

	if (!relay_is_valid(relay)) {
		report_bad_value(proxyd, relay->process, "bad_value");
		return;
	}
	/* A relay receives the reports of all hosts itself: it needs no sums
	 * once these have arrived. */
	if (proxyd->feed.role != FEED_LEAF && proxyd->collecting_since &&
	    now - proxyd->collecting_since >= REPORTING_MS)
		return;
	/* A host that leaves or was replaced receives no reports. */
	sender = member_find(proxyd->members, relay->process);
	if (!sender || sender->info.state == MEMBER_LEAVING ||
	    sender->info.state == MEMBER_DEAD)
		return;
	if (!relay_accepts(&proxyd->relay, relay->process, now))
		return;
	proxyd->relay_host_count = relay->heard;
	process = g_strconcat("others~", relay->process, NULL);
	if (relay->full) {
		aggregate_expire(proxyd->peer_inflight, now);
		aggregate_expire(proxyd->peer_prompts, now);
		report_parts_apply(proxyd, proxyd->peer_inflight, process,
				   relay->inflight.inflight_val,
				   relay->inflight.inflight_len);
		report_parts_apply(proxyd, proxyd->peer_prompts, process,
				   relay->prompts.prompts_val,
				   relay->prompts.prompts_len);
	}
	remaining_apply(proxyd, relay);
	g_free(process);
}
