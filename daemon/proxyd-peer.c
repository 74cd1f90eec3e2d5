/* Other hosts: membership, replicas that they have newer, and reports. */
#include "proxyd.h"

#include <string.h>

#include "../wire/sync.h"

#define SYNC_TIMEOUT_MS 1500
#define SYNC_GAP_MS 300	     /* between two exchanges for newer items */
#define REPORT_PERIOD_MS 500 /* of what others add up */
#define SMALL_CLUSTER 12     /* up to it every host hears every report */
#define SEEDS_MAX 8	     /* addresses that are remembered */
#define HOST_LEASE_MS 30000  /* of this host's own key */
#define HOST_RENEW_MS 10000
#define HOST_RETRY_MS 1000

/* A full exchange with one host. */
struct sync_call {
	struct proxyd *proxyd;
};

static void sync_from(struct proxyd *proxyd, const char *rpc);

static void op_send(void *ctx, const char *rpc, const struct member_msg *msg)
{
	struct proxyd *proxyd = ctx;

	rpc_send_gossip(proxyd->rpc, rpc, msg);
}

static void op_sync(void *ctx, const char *rpc)
{
	sync_from(ctx, rpc);
}

/* A host has come, leaves or is dead. */
static void op_changed(void *ctx, const struct member *member)
{
	static const char *const names[MEMBER_STATE_COUNT] = {
		[MEMBER_ALIVE] = "alive",
		[MEMBER_LEAVING] = "leaving",
		[MEMBER_SUSPECT] = "suspect",
		[MEMBER_DEAD] = "dead",
	};
	struct proxyd *proxyd = ctx;

	if (member->info.state == MEMBER_DEAD)
		proxyd_count(proxyd, CTR_members_dead);
	slog(SLOG_NOTICE, "host", "peer=%s address=%s outcome=%s",
	     member->info.incarnation, member->info.http,
	     names[member->info.state]);
}

/* This host was declared dead: it goes on under a new incarnation. */
static void op_declared_dead(void *ctx)
{
	struct proxyd *proxyd = ctx;
	char incarnation[RID_INCARNATION_MAX + 1];

	proxyd_count(proxyd, CTR_lost_self);
	rid_incarnation(incarnation, sizeof(incarnation), proxyd->conf->name,
			g_rand_int(proxyd->rand));
	slog(SLOG_WARN, "host", "peer=%s outcome=declared_dead now=%s",
	     proxyd->members->self.incarnation, incarnation);
	member_renew(proxyd->members, incarnation, proxyd_now(proxyd));
	if (proxyd->stopping)
		member_leave(proxyd->members, proxyd_now(proxyd));
}

static void op_marked(void *ctx, const struct member_mark *mark)
{
	(void)ctx; /* entries of workers come with their revisions instead */
	(void)mark;
}

/* A peer has newer items: they are fetched from it. */
static void op_revisions(void *ctx, const char *rpc, uint64_t settings,
			 uint64_t hosts)
{
	struct proxyd *proxyd = ctx;
	const struct follow *follow = proxyd->follow;

	if (proxyd_now(proxyd) < proxyd->sync_until ||
	    ((int64_t)settings <= follow[FOLLOW_CONFIG].replica->revision &&
	     (int64_t)hosts <= follow[FOLLOW_WORKERS].replica->revision))
		return;
	proxyd->sync_until = proxyd_now(proxyd) + SYNC_GAP_MS;
	sync_from(proxyd, rpc);
}

const struct member_ops peer_member_ops = {
	.send = op_send,
	.sync = op_sync,
	.changed = op_changed,
	.declared_dead = op_declared_dead,
	.marked = op_marked,
	.revisions = op_revisions,
	.random = proxyd_random,
};

static void sync_on_done(void *ctx, const w_sync_res *res)
{
	struct sync_call *call = ctx;
	struct proxyd *proxyd = call->proxyd;
	struct member_update update;

	g_free(call);
	if (!res)
		return;
	for (u_int i = 0; i < res->updates.updates_len; i++)
		if (rpc_update_from_wire(&res->updates.updates_val[i], &update))
			member_on_update(proxyd->members, &update,
					 proxyd_now(proxyd));
	sync_items_take(proxyd->follow[FOLLOW_CONFIG].replica, &res->settings);
	sync_items_take(proxyd->follow[FOLLOW_WORKERS].replica, &res->hosts);
}

static void sync_from(struct proxyd *proxyd, const char *rpc)
{
	struct sync_call *call = g_new0(struct sync_call, 1);
	w_sync_args args;

	call->proxyd = proxyd;
	rpc_update_to_wire(&proxyd->members->self, &args.self);
	args.settings_after = proxyd->follow[FOLLOW_CONFIG].replica->revision;
	args.hosts_after = proxyd->follow[FOLLOW_WORKERS].replica->revision;
	rpc_call_sync(proxyd->rpc, rpc, &args, SYNC_TIMEOUT_MS, sync_on_done,
		      call);
}

void peer_on_sync(void *ctx, const w_sync_args *args, w_sync_res *res)
{
	struct proxyd *proxyd = ctx;
	struct member_update self;

	if (rpc_update_from_wire(&args->self, &self))
		member_on_update(proxyd->members, &self, proxyd_now(proxyd));
	sync_updates_fill(proxyd->members, res);
	sync_items_fill(proxyd->follow[FOLLOW_CONFIG].replica,
			args->settings_after, &res->settings);
	sync_items_fill(proxyd->follow[FOLLOW_WORKERS].replica,
			args->hosts_after, &res->hosts);
}

void peer_on_gossip(void *ctx, const struct member_msg *msg)
{
	struct proxyd *proxyd = ctx;

	member_on_msg(proxyd->members, msg, proxyd_now(proxyd));
}

void peer_on_bad(void *ctx)
{
	proxyd_count(ctx, CTR_bad_input);
}

/* Adds an address to those by which other hosts are found. */
static void seed_add(struct proxyd *proxyd, const char *address)
{
	guint count = proxyd->seeds ? g_strv_length(proxyd->seeds) : 0;

	if (!strcmp(address, proxyd->rpc_address) ||
	    (count &&
	     g_strv_contains((const char *const *)proxyd->seeds, address)))
		return;
	if (count >= SEEDS_MAX) {
		/* The oldest one makes room. */
		g_free(proxyd->seeds[0]);
		memmove(proxyd->seeds, proxyd->seeds + 1,
			(count - 1) * sizeof(char *));
		count--;
	} else {
		proxyd->seeds = g_renew(char *, proxyd->seeds, count + 2);
	}
	proxyd->seeds[count] = g_strdup(address);
	proxyd->seeds[count + 1] = NULL;
	proxyd->members->options.seeds = proxyd->seeds;
}

void peer_on_host_key(struct proxyd *proxyd, const char *address)
{
	struct sockaddr_in addr;

	if (uv_ip4_addr("0.0.0.0", 0, &addr) != 0 || !strchr(address, ':'))
		return;
	seed_add(proxyd, address);
}

void peer_start(struct proxyd *proxyd)
{
	char **seeds = proxyd->conf->seeds;
	const char *port = strrchr(proxyd->rpc_address, ':');

	/* The settings name another port of the same hosts. */
	for (guint i = 0; seeds && seeds[i]; i++) {
		const char *colon = strrchr(seeds[i], ':');
		char *address;

		if (!colon)
			continue;
		address = g_strdup_printf("%.*s%s", (int)(colon - seeds[i]),
					  seeds[i], port);
		seed_add(proxyd, address);
		g_free(address);
	}
}

/* This host's own key, by which others find it. */

static void host_wait(struct proxyd *proxyd, clk_ms wait)
{
	proxyd->host_busy = false;
	proxyd->host_next = proxyd_now(proxyd) + wait;
}

static void on_host_written(void *ctx, enum kv_outcome outcome, int64_t number)
{
	struct proxyd *proxyd = ctx;

	(void)number;
	if (outcome == KV_OK || outcome == KV_UNSURE) {
		host_wait(proxyd, HOST_RENEW_MS);
		return;
	}
	/* An earlier process of this host still has the key. */
	kv_lease_end(proxyd->kv, proxyd->host_lease);
	proxyd->host_lease = 0;
	host_wait(proxyd,
		  outcome == KV_CONFLICT ? HOST_RENEW_MS : HOST_RETRY_MS);
}

static void on_host_lease(void *ctx, enum kv_outcome outcome, int64_t lease)
{
	struct proxyd *proxyd = ctx;
	char *key;

	if (outcome != KV_OK) {
		host_wait(proxyd, HOST_RETRY_MS);
		return;
	}
	proxyd->host_lease = lease;
	key = g_strconcat(HOST_PREFIX, proxyd->conf->name, NULL);
	kv_change(proxyd->kv,
		  &(struct kv_change){
			  .key = key,
			  .value = proxyd->rpc_address,
			  .lease = lease,
		  },
		  on_host_written, proxyd);
	g_free(key);
}

static void on_host_kept(void *ctx, enum kv_outcome outcome, int64_t number)
{
	struct proxyd *proxyd = ctx;

	(void)number;
	if (outcome == KV_MISSING)
		proxyd->host_lease = 0;
	host_wait(proxyd, outcome == KV_OK ? HOST_RENEW_MS : HOST_RETRY_MS);
}

static void host_tick(struct proxyd *proxyd)
{
	if (proxyd->host_busy || proxyd->stopping ||
	    proxyd_now(proxyd) < proxyd->host_next)
		return;
	proxyd->host_busy = true;
	if (proxyd->host_lease)
		kv_keep(proxyd->kv, proxyd->host_lease, on_host_kept, proxyd);
	else
		kv_lease(proxyd->kv, HOST_LEASE_MS, on_host_lease, proxyd);
}

/* Reports: counts of begun requests, demand, what accounts have spent. */

struct report_fill {
	w_report *report;
	int64_t window;
};

static void count_add(void *ctx, const char *account, int64_t count)
{
	struct report_fill *fill = ctx;
	w_report *report = fill->report;
	u_int at = report->counts.counts_len++;

	report->counts.counts_val = g_renew(w_count, report->counts.counts_val,
					    report->counts.counts_len);
	report->counts.counts_val[at] = (w_count){
		.window = fill->window,
		.account = (char *)account,
		.count = count,
	};
}

static void spent_fill(struct proxyd *proxyd, w_report *report)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	u_int at = 0;

	report->spent.spent_val =
		g_new0(w_spent, g_hash_table_size(proxyd->quotas));
	g_hash_table_iter_init(&iter, proxyd->quotas);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct quota *quota = value;

		if (quota->rate > 0)
			report->spent.spent_val[at++] = (w_spent){
				.account = key,
				.units = quota->spent,
			};
	}
	report->spent.spent_len = at;
}

/* Whether some account comes near its limit. */
static bool accounts_pressed(const struct proxyd *proxyd)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, proxyd->quotas);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (quota_pressed(value))
			return true;
	return false;
}

static void demand_fill(struct proxyd *proxyd, w_report *report)
{
	GHashTableIter iter;
	gpointer value;
	u_int at = 0;

	report->demand.demand_val =
		g_new0(w_demand, g_hash_table_size(proxyd->pools));
	g_hash_table_iter_init(&iter, proxyd->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool_state *pool = value;

		pool->busy = pool->busy_ms / REPORT_PERIOD_MS;
		pool->busy_ms = 0;
		report->demand.demand_val[at++] = (w_demand){
			.pool = pool->name,
			.busy = pool->busy,
		};
		scale_on_demand(proxyd, proxyd->members->self.incarnation,
				pool->name, pool->busy);
	}
	report->demand.demand_len = at;
}

/* Where a report goes. */
struct report_target {
	struct proxyd *proxyd;
	const w_report *report;
};

static void report_to(void *ctx, const struct member *member)
{
	struct report_target *send = ctx;

	rpc_send_report(send->proxyd->rpc, member->info.rpc, send->report);
}

/* Sends a report to those that add up, and frees it. */
static void report_send(struct report_target *send, unsigned hosts)
{
	member_each_first(send->proxyd->members, DUTY_RANK,
			  hosts <= SMALL_CLUSTER ? hosts : DUTY_CANDIDATES,
			  report_to, send);
	g_free(send->report->counts.counts_val);
	g_free(send->report->demand.demand_val);
	g_free(send->report->spent.spent_val);
}

static void report_tick(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);
	int64_t newest = usage_window(&proxyd->usage, proxyd_wall(proxyd));
	const char *self = proxyd->members->self.incarnation;
	w_report report = { .process = (char *)self };
	struct report_target send = { .proxyd = proxyd, .report = &report };
	unsigned hosts = proxyd_hosts(proxyd);
	bool due = now >= proxyd->next_report;

	if (!due && !accounts_pressed(proxyd))
		return;
	spent_fill(proxyd, &report);
	if (!due) {
		/* Only what is pressing. */
		report_send(&send, hosts);
		return;
	}
	proxyd->next_report = now + REPORT_PERIOD_MS;
	for (int64_t window = newest - USAGE_WINDOWS + 1; window <= newest;
	     window++) {
		struct report_fill fill = {
			.report = &report,
			.window = window,
		};

		usage_each(&proxyd->usage, self, window, count_add, &fill);
	}
	demand_fill(proxyd, &report);
	report_send(&send, hosts);
}

void peer_on_report(void *ctx, const w_report *report)
{
	struct proxyd *proxyd = ctx;

	for (u_int i = 0; i < report->counts.counts_len; i++) {
		const w_count *count = &report->counts.counts_val[i];

		usage_take(&proxyd->usage, report->process, count->account,
			   count->window, count->count);
	}
	for (u_int i = 0; i < report->demand.demand_len; i++)
		scale_on_demand(proxyd, report->process,
				report->demand.demand_val[i].pool,
				report->demand.demand_val[i].busy);
	for (u_int i = 0; i < report->spent.spent_len; i++) {
		const w_spent *spent = &report->spent.spent_val[i];
		struct quota *quota =
			g_hash_table_lookup(proxyd->quotas, spent->account);

		if (quota)
			quota_on_report(quota, report->process, spent->units,
					proxyd_hosts(proxyd),
					proxyd_now(proxyd));
	}
}

void peer_tick(struct proxyd *proxyd)
{
	struct member_list *members = proxyd->members;

	members->settings =
		(uint64_t)proxyd->follow[FOLLOW_CONFIG].replica->revision;
	members->hosts =
		(uint64_t)proxyd->follow[FOLLOW_WORKERS].replica->revision;
	member_tick(members, proxyd_now(proxyd));
	host_tick(proxyd);
	report_tick(proxyd);
}
