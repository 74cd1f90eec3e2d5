/*
 * Other hosts: membership, exchange of newer replicas, and this host's own key
 * in the store.
 *
 * The relays, the few hosts that rank first, follow the store. Where hosts are
 * few, all of them are relays. Where they are many, each relay sends heartbeats
 * with its replicas' revisions to its part of the other hosts, which fetch
 * newer items from it; a host that receives no heartbeat follows the store
 * itself.
 */
#include "proxyd.h"

#include <string.h>

#include "../wire/sync.h"
#include "../wire/tcp.h"

#define SYNC_TIMEOUT_MS 1500
#define SYNC_GAP_MS 300	  /* between two exchanges for newer items */
#define ALL_RELAYS_MAX 12 /* up to so many hosts, each is a relay */
#define RELAYS_MIN 3
#define HOSTS_PER_RELAY 24 /* that one relay serves */
#define HEARTBEAT_MS 1000  /* between two heartbeats to a host */
/* A host that receives no heartbeat for so long follows the store itself. */
#define HEARTBEAT_TIMEOUT_MS 2500
#define SEEDS_MAX 8	      /* addresses; a new one replaces the oldest */
#define STARTUP_PING_MS 3000  /* how long a new host pings the listed ones */
#define STARTUP_PINGS_MAX 128 /* gossip reaches the others */
#define HOST_KEY_LEASE_MS 30000
#define HOST_KEY_RENEW_MS 10000
#define HOST_KEY_RETRY_MS 1000

/* A full exchange with one host. */
struct sync_call {
	struct proxyd *proxyd;
};

static void sync_from(struct proxyd *proxyd, const char *rpc, bool members);

unsigned peer_relay_count(const struct proxyd *proxyd)
{
	unsigned hosts = proxyd_host_count(proxyd);

	if (hosts <= ALL_RELAYS_MAX)
		return hosts;
	return MAX(RELAYS_MIN, hosts / HOSTS_PER_RELAY + 1);
}

bool peer_all_relays(const struct proxyd *proxyd)
{
	return peer_relay_count(proxyd) >= proxyd_host_count(proxyd);
}

bool peer_relay_serves(const struct member *member, unsigned rank,
		       unsigned count)
{
	return aggregate_key(member->info.incarnation) % count == rank;
}

bool peer_is_relay(const struct proxyd *proxyd)
{
	return member_self_rank(proxyd->members, LEADER_RANK) <
	       peer_relay_count(proxyd);
}

bool peer_follows_store(const struct proxyd *proxyd)
{
	return peer_is_relay(proxyd) ||
	       proxyd_now(proxyd) - proxyd->heartbeat_at > HEARTBEAT_TIMEOUT_MS;
}

/* The sender of a message, which is a heartbeat if the sender is a relay. */
struct heartbeat_sender {
	struct proxyd *proxyd;
	const char *rpc;
};

static void heartbeat_receive(void *ctx, const struct member *member)
{
	struct heartbeat_sender *sender = ctx;

	if (!strcmp(member->info.rpc, sender->rpc))
		sender->proxyd->heartbeat_at = proxyd_now(sender->proxyd);
}

/* Sends the replicas' revisions to the members that this relay serves, when
 * they change and as a heartbeat. */
static void heartbeat_tick(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);
	int64_t config = proxyd->follow[FOLLOW_CONFIG].replica->revision;
	int64_t workers = proxyd->follow[FOLLOW_WORKERS].replica->revision;
	unsigned count = peer_relay_count(proxyd);
	unsigned rank = member_self_rank(proxyd->members, LEADER_RANK);
	bool changed = config != proxyd->heartbeat_config ||
		       workers != proxyd->heartbeat_workers;
	const GPtrArray *order = proxyd->members->order;

	if (rank >= count || peer_all_relays(proxyd) || proxyd->store_lost_at ||
	    (!changed && now < proxyd->next_heartbeat))
		return;
	proxyd->next_heartbeat = now + HEARTBEAT_MS;
	proxyd->heartbeat_config = config;
	proxyd->heartbeat_workers = workers;
	for (guint i = 0; i < order->len; i++) {
		const struct member *member = g_ptr_array_index(order, i);

		if (member->info.state == MEMBER_ALIVE &&
		    peer_relay_serves(member, rank, count))
			member_ping(proxyd->members, member->info.rpc);
	}
}

static void op_send(void *ctx, const char *rpc, const struct member_msg *msg)
{
	struct proxyd *proxyd = ctx;

	rpc_send_gossip(proxyd->rpc, rpc, msg);
}

static void op_sync(void *ctx, const char *rpc)
{
	sync_from(ctx, rpc, true);
}

/* A host was added or has changed state. */
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

/* This host was declared dead: it continues under a new incarnation. */
static void op_declared_dead(void *ctx)
{
	struct proxyd *proxyd = ctx;
	char incarnation[RID_INCARNATION_MAX + 1];

	proxyd_count(proxyd, CTR_lost_self);
	rid_incarnation(incarnation, sizeof(incarnation), proxyd->conf->name,
			g_rand_int(proxyd->rand));
	slog(SLOG_WARN, "host", "peer=%s outcome=declared_dead now=%s",
	     proxyd->members->self.incarnation, incarnation);
	report_send_counts(proxyd); /* under the name they were counted for */
	member_renew(proxyd->members, incarnation, proxyd_now(proxyd));
	if (proxyd->stopping)
		member_leave(proxyd->members, proxyd_now(proxyd));
}

static void op_notice_received(void *ctx, const struct member_notice *notice)
{
	(void)ctx; /* workers' entries arrive by revision instead */
	(void)notice;
}

/* A peer reports its revisions: newer items are fetched from it. */
static void op_revisions(void *ctx, const char *rpc, uint64_t settings,
			 uint64_t hosts)
{
	struct proxyd *proxyd = ctx;
	const struct follow *follow = proxyd->follow;
	struct heartbeat_sender sender = { .proxyd = proxyd, .rpc = rpc };

	member_each_top(proxyd->members, LEADER_RANK, peer_relay_count(proxyd),
			heartbeat_receive, &sender);
	if (proxyd_now(proxyd) < proxyd->next_sync ||
	    ((int64_t)settings <= follow[FOLLOW_CONFIG].replica->revision &&
	     (int64_t)hosts <= follow[FOLLOW_WORKERS].replica->revision))
		return;
	proxyd->next_sync = proxyd_now(proxyd) + SYNC_GAP_MS;
	sync_from(proxyd, rpc, false);
}

const struct member_ops peer_member_ops = {
	.send = op_send,
	.sync = op_sync,
	.changed = op_changed,
	.declared_dead = op_declared_dead,
	.notice_received = op_notice_received,
	.revisions = op_revisions,
	.random = proxyd_random,
};

static void sync_on_done(void *ctx, const w_sync_res *res)
{
	struct sync_call *call = ctx;
	struct proxyd *proxyd = call->proxyd;

	g_free(call);
	if (!res)
		return;
	sync_updates_apply(proxyd->members, res, proxyd_now(proxyd));
	sync_items_apply(proxyd->follow[FOLLOW_CONFIG].replica, &res->settings);
	sync_items_apply(proxyd->follow[FOLLOW_WORKERS].replica, &res->hosts);
}

static void sync_from(struct proxyd *proxyd, const char *rpc, bool members)
{
	struct sync_call *call = g_new0(struct sync_call, 1);
	w_sync_args args;

	call->proxyd = proxyd;
	rpc_update_to_wire(&proxyd->members->self, &args.self);
	args.members = members;
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
	if (args->members)
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

void peer_on_malformed(void *ctx)
{
	proxyd_count(ctx, CTR_bad_input);
}

/* Adds an address to the seeds, by which other hosts are found. */
static void seed_add(struct proxyd *proxyd, const char *address)
{
	guint count = proxyd->seeds ? g_strv_length(proxyd->seeds) : 0;

	if (!strcmp(address, proxyd->rpc_address) ||
	    (count &&
	     g_strv_contains((const char *const *)proxyd->seeds, address)))
		return;
	if (count >= SEEDS_MAX) {
		/* Replace the oldest one. */
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

void peer_on_snapshot(struct proxyd *proxyd)
{
	const struct store *own = proxyd->follow[FOLLOW_OWN].replica;
	GHashTableIter iter;
	gpointer value;

	proxyd->listed_hosts = 0;
	g_hash_table_iter_init(&iter, own->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct store_item *item = value;

		proxyd->listed_hosts +=
			item->value && g_str_has_prefix(item->key, HOST_PREFIX);
	}
}

void peer_on_host_key(struct proxyd *proxyd, const char *address)
{
	struct sockaddr_in addr;

	if (!tcp_parse_address(address, &addr)) {
		slog(SLOG_WARN, "host", "address=%s outcome=not_used", address);
		return;
	}
	seed_add(proxyd, address);
	/* Gossip alone takes a second or more to reach all hosts. During that
	 * time look-up answers would name few hosts, and limits would be shared
	 * with no other host. */
	if (proxyd->pinged_hosts < STARTUP_PINGS_MAX &&
	    proxyd_now(proxyd) - proxyd->started_at < STARTUP_PING_MS &&
	    strcmp(address, proxyd->rpc_address) != 0) {
		proxyd->pinged_hosts++;
		member_ping(proxyd->members, address);
	}
}

void peer_start(struct proxyd *proxyd)
{
	char **seeds = proxyd->conf->seeds;
	const char *port = strrchr(proxyd->rpc_address, ':');

	/* The settings' seeds have another port of the same hosts. */
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

static void host_key_schedule(struct proxyd *proxyd, clk_ms wait)
{
	proxyd->host_call_pending = false;
	proxyd->next_host_call = proxyd_now(proxyd) + wait;
}

static void on_host_key_written(void *ctx, enum kv_outcome outcome,
				int64_t number)
{
	struct proxyd *proxyd = ctx;

	(void)number;
	if (outcome == KV_OK || outcome == KV_UNKNOWN) {
		host_key_schedule(proxyd, HOST_KEY_RENEW_MS);
		return;
	}
	/* On a conflict, an earlier process of this host still has the key. */
	kv_lease_revoke(proxyd->kv, proxyd->host_lease);
	proxyd->host_lease = 0;
	host_key_schedule(proxyd, outcome == KV_CONFLICT ? HOST_KEY_RENEW_MS
							 : HOST_KEY_RETRY_MS);
}

static void on_host_lease_granted(void *ctx, enum kv_outcome outcome,
				  int64_t lease)
{
	struct proxyd *proxyd = ctx;
	char *key;

	if (outcome != KV_OK) {
		host_key_schedule(proxyd, HOST_KEY_RETRY_MS);
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
		  on_host_key_written, proxyd);
	g_free(key);
}

static void on_host_lease_renewed(void *ctx, enum kv_outcome outcome,
				  int64_t number)
{
	struct proxyd *proxyd = ctx;

	(void)number;
	if (outcome == KV_NOT_FOUND)
		proxyd->host_lease = 0;
	host_key_schedule(proxyd, outcome == KV_OK ? HOST_KEY_RENEW_MS
						   : HOST_KEY_RETRY_MS);
}

static void host_key_tick(struct proxyd *proxyd)
{
	if (proxyd->host_call_pending || proxyd->stopping ||
	    proxyd_now(proxyd) < proxyd->next_host_call)
		return;
	proxyd->host_call_pending = true;
	if (proxyd->host_lease)
		kv_lease_renew(proxyd->kv, proxyd->host_lease,
			       on_host_lease_renewed, proxyd);
	else
		kv_lease_grant(proxyd->kv, HOST_KEY_LEASE_MS,
			       on_host_lease_granted, proxyd);
}

void peer_tick(struct proxyd *proxyd)
{
	struct member_list *members = proxyd->members;

	members->settings =
		(uint64_t)proxyd->follow[FOLLOW_CONFIG].replica->revision;
	members->hosts =
		(uint64_t)proxyd->follow[FOLLOW_WORKERS].replica->revision;
	member_tick(members, proxyd_now(proxyd));
	host_key_tick(proxyd);
	heartbeat_tick(proxyd);
}
