/*
 * Connects the member list to the sockets, the replica and the router, and
 * exchanges full state with peers.
 */
#include "entryd.h"

#include "../wire/sync.h"

#include <string.h>

#define SYNC_TIMEOUT_MS 2000
#define SYNC_HOLDOFF_MS 300 /* before another, while one has not ended */

/* A full exchange in progress with one host. */
struct sync_call {
	struct entryd *entryd;
	int64_t settings_after;
	int64_t hosts_after;
};

static void op_send(void *ctx, const char *rpc, const struct member_msg *msg)
{
	struct entryd *entryd = ctx;

	rpc_send_gossip(entryd->rpc, rpc, msg);
}

static void op_sync(void *ctx, const char *rpc)
{
	member_sync_from(ctx, rpc);
}

/* Handles a host that joined, is leaving, is suspected or is dead. */
static void op_changed(void *ctx, const struct member *member)
{
	static const char *const names[] = { "alive", "leaving", "suspect",
					     "dead" };
	struct entryd *entryd = ctx;
	const char *incarnation = member->info.incarnation;

	if (member->info.state != MEMBER_SUSPECT)
		log_notice("host %s is %s", incarnation,
			   names[member->info.state]);
	if (member->info.state == MEMBER_DEAD)
		replica_on_dead(entryd->replica, incarnation,
				entryd_now(entryd));
	else if (member->info.state == MEMBER_LEAVING)
		replica_on_leaving(entryd->replica, incarnation,
				   entryd_now(entryd));
	conf_update_limit_shares(entryd);
}

/* Continues under a new incarnation after this host was declared dead. A host
 * that has retired does not need one. */
static void op_declared_dead(void *ctx)
{
	struct entryd *entryd = ctx;
	char incarnation[RID_INCARNATION_MAX + 1];

	if (entryd->retired)
		return;
	entryd_count(entryd, CTR_lost_self);
	rid_incarnation(incarnation, sizeof(incarnation), entryd->conf->name,
			g_rand_int(entryd->rand));
	log_warn("incarnation %s was declared dead; continuing as %s",
		 entryd->members->self.incarnation, incarnation);
	member_renew(entryd->members, incarnation, entryd_now(entryd));
	replica_resign(entryd->replica, incarnation, entryd_now(entryd));
}

/* Applies a leaving notice to its upstream. */
static void op_notice(void *ctx, const struct member_notice *notice)
{
	struct entryd *entryd = ctx;
	struct upstream *upstream = router_get(entryd->router, notice->subject);

	upstream->leaving_notice = notice->set;
	upstream->notice_stamp = notice->stamp;
	log_notice("upstream %s %s", notice->subject,
		   notice->set ? "is leaving" : "accepts work");
}

/* Fetches settings and hosts from a peer that reports newer revisions. */
static void op_revisions(void *ctx, const char *rpc, uint64_t settings,
			 uint64_t hosts)
{
	struct entryd *entryd = ctx;

	if (entryd_now(entryd) < entryd->sync_until ||
	    ((int64_t)settings <= entryd->settings->revision &&
	     (int64_t)hosts <= entryd->hosts->revision))
		return;
	entryd->sync_until = entryd_now(entryd) + SYNC_HOLDOFF_MS;
	member_sync_from(entryd, rpc);
}

const struct member_ops member_entry_ops = {
	.send = op_send,
	.sync = op_sync,
	.changed = op_changed,
	.declared_dead = op_declared_dead,
	.notice_received = op_notice,
	.revisions = op_revisions,
	.random = entryd_random,
};

static void sync_on_done(void *ctx, const w_sync_res *res)
{
	struct sync_call *call = ctx;
	struct entryd *entryd = call->entryd;

	entryd->sync_until = 0;
	if (res) {
		entryd->peers_synced++;
		sync_updates_apply(entryd->members, res, entryd_now(entryd));
		sync_notices_apply(entryd->members, res);
		member_on_synced(entryd->members, entryd_now(entryd));
		sync_items_apply(entryd->settings, &res->settings);
		sync_items_apply(entryd->hosts, &res->hosts);
	}
	g_free(call);
}

void member_sync_from(struct entryd *entryd, const char *rpc)
{
	struct sync_call *call = g_new0(struct sync_call, 1);
	w_sync_args args;

	call->entryd = entryd;
	rpc_update_to_wire(&entryd->members->self, &args.self);
	args.members = true;
	args.settings_after = entryd->settings->revision;
	args.hosts_after = entryd->hosts->revision;
	rpc_call_sync(entryd->rpc, rpc, &args, false, false, SYNC_TIMEOUT_MS,
		      sync_on_done, call);
}

/* Lists the leaving notice in force for each upstream that has had one. */
static void notices_fill(struct entryd *entryd, w_sync_res *res)
{
	GHashTableIter iter;
	gpointer value;
	u_int count = g_hash_table_size(entryd->router->upstreams);

	res->marks.marks_val = g_new0(w_mark, count);
	g_hash_table_iter_init(&iter, entryd->router->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct upstream *upstream = value;
		w_mark *mark = &res->marks.marks_val[res->marks.marks_len];

		if (!upstream->notice_stamp)
			continue;
		mark->upstream = g_strdup(upstream->name);
		mark->leaving = upstream->leaving_notice;
		mark->stamp = upstream->notice_stamp;
		res->marks.marks_len++;
	}
}

void member_sync_fill(void *ctx, const w_sync_args *args, w_sync_res *res)
{
	struct entryd *entryd = ctx;
	struct member_update self;

	if (rpc_update_from_wire(&args->self, &self))
		member_on_update(entryd->members, &self, entryd_now(entryd));
	sync_updates_fill(entryd->members, res);
	notices_fill(entryd, res);
	sync_items_fill(entryd->settings, args->settings_after, &res->settings);
	sync_items_fill(entryd->hosts, args->hosts_after, &res->hosts);
}
