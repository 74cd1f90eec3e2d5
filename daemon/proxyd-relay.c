/*
 * Where hosts are many, a few of them hear all and tell each of the others the
 * sums of the rest, and what accounts have left of their limits.
 */
#include "proxyd.h"

#include <string.h>

#define HEARD_MS 1200	   /* a host that reported so lately is heard */
#define LOST_KEEP_MS 15000 /* a host that was lost may be running, cut off */
/* After its start a host is only finding the others: two periods of reports,
 * and some. */
#define REACH_AFTER_MS 1500

/* The sums of all hosts but one, for that one. */
struct relaying {
	struct proxyd *proxyd;
	const char *process; /* that it is for */
	uint32_t host_key;
	const struct aggregate *sums;
	double (*own)(const struct fleet_worker *worker);
	w_part *parts;
	u_int count;
};

static double own_inflight(const struct fleet_worker *worker)
{
	return worker->inflight;
}

static double own_prompts(const struct fleet_worker *worker)
{
	return worker->prompt_tokens;
}

static void relay_add(void *ctx, uint32_t key, double total)
{
	struct relaying *relaying = ctx;
	const struct fleet_worker *worker = g_hash_table_lookup(
		relaying->proxyd->fleet->by_key, GUINT_TO_POINTER(key));
	double others;

	if (!worker || !fleet_in_subset(relaying->proxyd->fleet, worker,
					relaying->host_key))
		return;
	others = total + relaying->own(worker) -
		 aggregate_lookup(relaying->sums, relaying->process, key);
	if (others > 0)
		relaying->parts[relaying->count++] =
			(w_part){ .key = key, .value = others };
}

/* Lists the sums for one host; returns how many there are. */
static u_int relay_fill(struct proxyd *proxyd, const char *process,
			const struct aggregate *sums,
			double (*own)(const struct fleet_worker *worker),
			w_part **parts)
{
	struct relaying relaying = {
		.proxyd = proxyd,
		.process = process,
		.host_key = aggregate_key(process),
		.sums = sums,
		.own = own,
		.parts = g_new0(w_part, g_hash_table_size(sums->totals)),
	};

	aggregate_foreach(sums, relay_add, &relaying);
	*parts = relaying.parts;
	return relaying.count;
}

/* Hosts that may be spending: those lost lately may be cut off. */
static unsigned hosts_possible(const struct proxyd *proxyd)
{
	clk_ms since = proxyd_now(proxyd) - LOST_KEEP_MS;

	return 1 + (unsigned)member_maybe_running_count(proxyd->members, since);
}

/* Hosts whose spending is known here. */
static unsigned hosts_heard(const struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);

	if (!proxyd->collecting_since)
		return proxyd->relay_host_count;
	/* At first hosts are only beginning to report to this one. */
	if (now - proxyd->collecting_since < HEARD_MS)
		return hosts_possible(proxyd);
	return 1 +
	       aggregate_active_count(proxyd->peer_inflight, now - HEARD_MS);
}

/* full: with more than accounts' spending. */
static void relay_to(struct proxyd *proxyd, const struct member *member,
		     bool full)
{
	const char *process = member->info.incarnation;
	w_relay relay = {
		.process = proxyd->members->self.incarnation,
		.heard = hosts_heard(proxyd),
		.full = full,
	};
	clk_ms now = proxyd_now(proxyd);
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	if (full) {
		relay.inflight.inflight_len =
			relay_fill(proxyd, process, proxyd->peer_inflight,
				   own_inflight, &relay.inflight.inflight_val);
		relay.prompts.prompts_len =
			relay_fill(proxyd, process, proxyd->peer_prompts,
				   own_prompts, &relay.prompts.prompts_val);
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
	rpc_send_relay(proxyd->rpc, member->info.rpc, &relay);
	g_free(relay.inflight.inflight_val);
	g_free(relay.prompts.prompts_val);
	g_free(relay.left.left_val);
}

void relay_send_all(struct proxyd *proxyd, bool full)
{
	unsigned count = peer_relay_count(proxyd);
	unsigned rank = member_self_rank(proxyd->members, LEADER_RANK);
	const GPtrArray *order = proxyd->members->order;

	for (guint i = 0; i < order->len; i++) {
		const struct member *member = g_ptr_array_index(order, i);

		if (member->info.state == MEMBER_ALIVE &&
		    peer_relay_serves(member, rank, count))
			relay_to(proxyd, member, full);
	}
}

void relay_update_coverage(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);
	double reach = 1;
	GHashTableIter iter;
	gpointer value;

	if (!peer_all_watch(proxyd) && !peer_is_relay(proxyd))
		proxyd->collecting_since = 0;
	else if (!proxyd->collecting_since)
		proxyd->collecting_since = now;
	/* At the start the others are only being found. */
	if (now - proxyd->started_at >= REACH_AFTER_MS)
		reach = (double)hosts_heard(proxyd) / hosts_possible(proxyd);
	g_hash_table_iter_init(&iter, proxyd->quotas);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		quota_set_coverage(value, reach, now);
}

/* Takes what another host says that accounts have left. */
static void left_take(struct proxyd *proxyd, const w_relay *relay)
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

void peer_on_relay(void *ctx, const w_relay *relay)
{
	struct proxyd *proxyd = ctx;
	clk_ms now = proxyd_now(proxyd);
	char *process;

	/* One that adds up itself hears all hosts, and needs no sums once it
	 * has heard them. */
	if (peer_is_relay(proxyd) && proxyd->collecting_since &&
	    now - proxyd->collecting_since >= HEARD_MS)
		return;
	proxyd->heartbeat_at = now;
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
	left_take(proxyd, relay);
	g_free(process);
}
