/*
 * Other hosts: membership, exchange of newer replicas, and this host's own key
 * in the store.
 *
 * Where hosts are many, a few follow the store and the others learn of changes
 * by heartbeats with the revisions of the sender's replicas (decide/feed.h).
 * Whoever receives a greater revision fetches the newer items from the sender.
 */
#include "proxyd.h"

#include <string.h>

#include "../wire/sync.h"
#include "../wire/tcp.h"

#define SYNC_TIMEOUT_MS 1500
#define NO_ITEMS INT64_MAX /* in place of a revision: asks for no items */
/* Configurations that are being sent to others at a time: more would fill the
 * queue of a slow link, in which other messages then wait. */
#define LARGE_REPLIES 4
/* A host that finds no peer within this time after its start assumes that there
 * is none. */
#define ALONE_MS 3000
#define HEARTBEAT_MS 1000     /* between two heartbeats to a host */
#define SEEDS_MAX 8	      /* addresses; a new one replaces the oldest */
#define STARTUP_PING_MS 3000  /* how long a new host pings the listed ones */
#define STARTUP_PINGS_MAX 128 /* gossip reaches the others */
/* The host keys are read only by hosts that start: a key may outlive its host
 * for a while, which saves calls. */
#define HOST_KEY_LEASE_MS 600000
#define HOST_KEY_RENEW_MS 200000
#define HOST_KEY_RETRY_MS 1000
#define HOST_KEY_CONFLICT_MS 10000 /* the key could not be read */
/* After the store was restored, each host writes its key again at some time
 * within this one: the copy may lack it, and all hosts notice at once. */
#define HOST_KEY_RESTORED_MS 10000
/* A host declared dead so recently may still run, cut off by a partition. */
#define LOST_RUNNING_MS 15000
/* Part of the hosts listed in the store that must be known for their ranks. */
#define KNOWN_HOSTS_SHARE 0.8

#define SYNC_MEMBERS FETCH_PARTS /* an exchange of the members */

/* An exchange with one host. */
struct sync_call {
	struct proxyd *proxyd;
	enum fetch_part part;	 /* or SYNC_MEMBERS */
	bool asked[FETCH_PARTS]; /* for items of that replica */
};

static void sync_from(struct proxyd *proxyd, const char *rpc,
		      enum fetch_part part);
static void newer_fetch(struct proxyd *proxyd);

bool peer_issues_permits(const char *incarnation)
{
	return build_has(incarnation, BUILD_PERMITS);
}

bool peer_keeps_origins(const char *incarnation)
{
	return build_has(incarnation, BUILD_ORIGINS);
}

bool peer_takes_forwarded(const char *incarnation)
{
	return build_has(incarnation, BUILD_FORWARDS);
}

bool peer_knows_links(const char *incarnation)
{
	return build_has(incarnation, BUILD_LINKS);
}

bool peer_reads_marks(const char *incarnation)
{
	return build_has(incarnation, BUILD_MARKS);
}

bool peer_writes_streams(const char *incarnation)
{
	return build_has(incarnation, BUILD_WRITERS);
}

/* Uses eras once all hosts know them: an older build would take a revision with
 * an era for one of the store. */
static void eras_update(struct proxyd *proxyd)
{
	const GPtrArray *order = proxyd->members->order;
	bool alone = true;

	for (guint i = 0; i < order->len; i++) {
		const struct member *member = g_ptr_array_index(order, i);

		if (member->info.state == MEMBER_DEAD)
			continue;
		alone = false;
		if (!build_has(member->info.incarnation, BUILD_ERAS))
			return;
	}
	if (!alone || proxyd_now(proxyd) - proxyd->started_at >= ALONE_MS)
		kv_use_eras(proxyd->kv);
}

/* Assigns the roles of the hosts anew after a change of the members. */
static void feed_refresh(struct proxyd *proxyd)
{
	const GPtrArray *order = proxyd->members->order;
	struct feed_host *hosts = g_new(struct feed_host, order->len);
	unsigned generation = proxyd->feed.generation;
	unsigned relay_generation = proxyd->feed.relay_generation;
	char parent[MEMBER_ADDRESS_MAX];
	size_t count = 0;

	for (guint i = 0; i < order->len; i++) {
		const struct member *member = g_ptr_array_index(order, i);

		if (member->info.state == MEMBER_ALIVE)
			hosts[count++] = (struct feed_host){
				.incarnation = member->info.incarnation,
				.rpc = member->info.rpc,
			};
	}
	g_strlcpy(parent, proxyd->feed.parent, sizeof(parent));
	proxyd->feed_host_count = proxyd_host_count(proxyd);
	proxyd->feed_outdated = false;
	feed_update(&proxyd->feed, proxyd->members->self.incarnation,
		    proxyd->stopping, hosts, count, proxyd->feed_host_count);
	if (strcmp(parent, proxyd->feed.parent) != 0)
		report_withdraw(proxyd, parent);
	if (proxyd->feed.relay_generation != relay_generation)
		proxyd->relays_changed_at = proxyd_now(proxyd);
	/* New relays do not know what the former ones were told. */
	if (proxyd->feed.generation != generation)
		report_pass_on(proxyd);
	g_free(hosts);
}

void peer_send_heartbeats(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);
	int64_t config = follow_config_revision(proxyd);
	int64_t workers = follow_workers_revision(proxyd);
	bool reads_store = mirror_reads_store(proxyd->mirror);
	bool fresh = feed_is_fresh(&proxyd->feed, reads_store, now);
	bool changed = config != proxyd->heartbeat_config ||
		       workers != proxyd->heartbeat_workers;
	const GArray *targets = proxyd->feed.targets;

	/* A relay that may lack changes reports no revisions, so that its
	 * messages are not taken for heartbeats. */
	proxyd->members->settings =
		fresh || proxyd->feed.role == FEED_LEAF ? (uint64_t)config : 0;
	proxyd->members->hosts =
		fresh || proxyd->feed.role == FEED_LEAF ? (uint64_t)workers : 0;
	if (!fresh || (!changed && now < proxyd->next_heartbeat))
		return;
	proxyd->next_heartbeat = now + FEED_HEARTBEAT_MS;
	proxyd->heartbeat_config = config;
	proxyd->heartbeat_workers = workers;
	for (guint i = 0; i < targets->len; i++) {
		const struct feed_target *target =
			&g_array_index(targets, struct feed_target, i);

		if (feed_sends_to(&proxyd->feed, target, reads_store))
			member_announce(proxyd->members, target->rpc);
	}
}

static void op_send(void *ctx, const char *rpc, const struct member_msg *msg)
{
	struct proxyd *proxyd = ctx;

	rpc_send_gossip(proxyd->rpc, rpc, msg);
}

static void op_sync(void *ctx, const char *rpc)
{
	sync_from(ctx, rpc, SYNC_MEMBERS);
}

/* Logs the first host of each other build, and what is not used because of it.
 */
static void build_log(struct proxyd *proxyd, const struct member *member)
{
	unsigned number = build_number(member->info.incarnation);
	char *lacks;

	if (number == build_own() || member->info.state == MEMBER_DEAD ||
	    !g_hash_table_add(proxyd->builds_met, GUINT_TO_POINTER(number)))
		return;
	lacks = build_lacks(number);
	slog(SLOG_NOTICE, "build",
	     "peer=%s build=%u own=%u kind=%s not_used=%s",
	     member->info.incarnation, number, build_own(),
	     number < build_own() ? "older" : "later", lacks);
	g_free(lacks);
}

/* A host was added or has changed state. */
static void op_changed(void *ctx, const struct member *member)
{
	struct proxyd *proxyd = ctx;

	proxyd->feed_outdated = true;
	build_log(proxyd, member);
	if (member->info.state == MEMBER_DEAD) {
		proxyd_count(proxyd, CTR_members_dead);
		g_hash_table_remove(proxyd->counts_from,
				    member->info.incarnation);
	}
	slog(SLOG_NOTICE, "host", "peer=%s address=%s outcome=%s",
	     member->info.incarnation, member->info.http,
	     member_state_name(member->info.state));
}

/* This host was declared dead: it continues under a new incarnation. */
static void op_declared_dead(void *ctx)
{
	struct proxyd *proxyd = ctx;
	char incarnation[RID_INCARNATION_MAX + 1];

	proxyd_count(proxyd, CTR_lost_self);
	build_incarnation(incarnation, proxyd->conf->name,
			  g_rand_int(proxyd->rand));
	slog(SLOG_WARN, "host", "peer=%s outcome=declared_dead now=%s",
	     proxyd->members->self.incarnation, incarnation);
	report_send_counts(proxyd); /* under the name they were counted for */
	member_renew(proxyd->members, incarnation, proxyd_now(proxyd));
	proxyd->feed_outdated = true;
	if (proxyd->stopping)
		member_leave(proxyd->members, proxyd_now(proxyd));
}

static void op_notice_received(void *ctx, const struct member_notice *notice)
{
	guard_on_notice(ctx, notice);
	follow_on_notice(ctx, notice);
}

unsigned peer_hosts_maybe_running(const struct proxyd *proxyd)
{
	clk_ms since = proxyd_now(proxyd) - LOST_RUNNING_MS;

	return 1 + (unsigned)member_maybe_running_count(proxyd->members, since);
}

/* Whether enough other hosts are known to tell which of them are relays. */
static bool ranks_are_known(const struct proxyd *proxyd)
{
	unsigned known = 1 + (unsigned)member_live_count(proxyd->members);

	return known > 1 && known >= proxyd->listed_hosts * KNOWN_HOSTS_SHARE;
}

static int64_t own_revision(const struct proxyd *proxyd, enum fetch_part part)
{
	return part == FETCH_CONFIG ? follow_config_revision(proxyd)
				    : follow_workers_revision(proxyd);
}

/* A peer reports its revisions: newer items are fetched from it, now or when
 * the next exchange is allowed. */
static void op_revisions(void *ctx, const char *rpc, uint64_t settings,
			 uint64_t hosts)
{
	struct proxyd *proxyd = ctx;
	clk_ms now = proxyd_now(proxyd);
	bool heartbeat = settings > 0 && ranks_are_known(proxyd);
	bool lacks_config;
	bool lacks_workers;

	/* The sender has found that all hosts know eras. */
	if (kv_is_later_era(0, (int64_t)(settings | hosts)))
		kv_use_eras(proxyd->kv);
	lacks_config = fetch_on_revision(&proxyd->fetch, FETCH_CONFIG, rpc,
					 (int64_t)settings,
					 own_revision(proxyd, FETCH_CONFIG));
	lacks_workers = fetch_on_revision(&proxyd->fetch, FETCH_WORKERS, rpc,
					  (int64_t)hosts,
					  own_revision(proxyd, FETCH_WORKERS));

	if (heartbeat)
		feed_on_heartbeat(&proxyd->feed, rpc, now);
	if (heartbeat && feed_is_relay(&proxyd->feed, rpc)) {
		age_on_report(&proxyd->list_age, (int64_t)hosts,
			      own_revision(proxyd, FETCH_WORKERS), now);
		if (!lacks_workers && !lacks_config)
			mirror_confirm(proxyd->mirror);
	}
	if (lacks_config || lacks_workers)
		newer_fetch(proxyd);
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

/* Fetches the newer items that peers have reported, if they still are newer. */
static void newer_fetch(struct proxyd *proxyd)
{
	char rpc[MEMBER_ADDRESS_MAX];

	for (int part = 0; part < FETCH_PARTS; part++)
		if (fetch_next(&proxyd->fetch, (enum fetch_part)part,
			       own_revision(proxyd, (enum fetch_part)part),
			       proxyd_now(proxyd), rpc))
			sync_from(proxyd, rpc, (enum fetch_part)part);
}

static void sync_on_done(void *ctx, const w_sync_res *res)
{
	struct sync_call *call = ctx;
	struct proxyd *proxyd = call->proxyd;

	if (call->part != SYNC_MEMBERS)
		fetch_on_done(&proxyd->fetch, call->part);
	if (res) {
		sync_updates_apply(proxyd->members, res, proxyd_now(proxyd));
		sync_notices_apply(proxyd->members, res);
		if (call->part == SYNC_MEMBERS)
			member_on_synced(proxyd->members, proxyd_now(proxyd));
		if (call->asked[FETCH_WORKERS]) {
			sync_items_apply(
				mirror_replica(proxyd->mirror, MIRROR_WORKERS),
				&res->hosts);
			age_on_revision(&proxyd->list_age,
					own_revision(proxyd, FETCH_WORKERS));
		}
		if (call->asked[FETCH_CONFIG])
			sync_items_apply(
				mirror_replica(proxyd->mirror, MIRROR_CONFIG),
				&res->settings);
		peer_send_heartbeats(proxyd);
	}
	g_free(call);
}

static void sync_from(struct proxyd *proxyd, const char *rpc,
		      enum fetch_part part)
{
	struct sync_call *call = g_new0(struct sync_call, 1);
	w_sync_args args;

	call->proxyd = proxyd;
	call->part = part;
	/* With the members come the items only if this host has none. */
	for (int i = 0; i < FETCH_PARTS; i++)
		call->asked[i] =
			part == (enum fetch_part)i ||
			(part == SYNC_MEMBERS &&
			 own_revision(proxyd, (enum fetch_part)i) == 0);
	rpc_update_to_wire(&proxyd->members->self, &args.self);
	args.members = part == SYNC_MEMBERS;
	args.settings_after = call->asked[FETCH_CONFIG]
				      ? follow_config_revision(proxyd)
				      : NO_ITEMS;
	args.hosts_after = call->asked[FETCH_WORKERS]
				   ? follow_workers_revision(proxyd)
				   : NO_ITEMS;
	rpc_call_sync(proxyd->rpc, rpc, &args, proxyd->feed.all_current,
		      part == FETCH_CONFIG, SYNC_TIMEOUT_MS, sync_on_done,
		      call);
}

void peer_on_sync(void *ctx, const w_sync_args *args, w_sync_res *res)
{
	struct proxyd *proxyd = ctx;
	struct member_update self;

	if (rpc_update_from_wire(&args->self, &self))
		member_on_update(proxyd->members, &self, proxyd_now(proxyd));
	if (args->members) {
		sync_updates_fill(proxyd->members, res);
		sync_notices_fill(proxyd->members, res);
	}
	sync_items_fill(mirror_replica(proxyd->mirror, MIRROR_CONFIG),
			args->settings_after, &res->settings);
	sync_items_fill(mirror_replica(proxyd->mirror, MIRROR_WORKERS),
			args->hosts_after, &res->hosts);
}

/* Whether a packed reply answers a request as well. */
static bool packed_is_valid(const struct proxyd *proxyd,
			    const struct packed_reply *packed,
			    const w_sync_args *args)
{
	return packed->data && !args->members && !packed->members &&
	       packed->config_after == args->settings_after &&
	       packed->workers_after == args->hosts_after &&
	       (args->settings_after == NO_ITEMS ||
		packed->config == follow_config_revision(proxyd)) &&
	       (args->hosts_after == NO_ITEMS ||
		packed->workers == follow_workers_revision(proxyd));
}

static void packed_update(struct proxyd *proxyd, struct packed_reply *reply,
			  const w_sync_args *args)
{
	w_sync_res plain = { .updates.updates_len = 0 };
	w_packed packed;

	peer_on_sync(proxyd, args, &plain);
	sync_pack(&plain, &packed);
	xdr_free((xdrproc_t)xdr_w_sync_res, &plain);
	if (reply->data)
		g_bytes_unref(reply->data);
	*reply = (struct packed_reply){
		.members = args->members,
		.config_after = args->settings_after,
		.workers_after = args->hosts_after,
		.config = follow_config_revision(proxyd),
		.workers = follow_workers_revision(proxyd),
		.size = packed.size,
		.data = g_bytes_new_take(packed.data.data_val,
					 packed.data.data_len),
	};
}

/* Whether a host that asks for a newer configuration is to ask again soon, as
 * too many others are being sent it. */
static bool is_deferred(const struct proxyd *proxyd, const w_sync_args *args)
{
	return !args->members && args->settings_after > 0 &&
	       args->settings_after < follow_config_revision(proxyd) &&
	       rpc_replies_pending(proxyd->rpc) >= LARGE_REPLIES;
}

void peer_on_sync_packed(void *ctx, const w_sync_args *args, w_packed *res)
{
	struct proxyd *proxyd = ctx;
	/* Nothing newer than what the host has. */
	w_sync_res nothing = {
		.settings.revision = args->settings_after,
		.hosts.revision =
			args->hosts_after == NO_ITEMS ? 0 : args->hosts_after,
	};
	struct packed_reply *packed =
		&proxyd->packed[args->members ? SYNC_MEMBERS
				: args->settings_after == NO_ITEMS
					? FETCH_WORKERS
					: FETCH_CONFIG];
	struct member_update self;
	gsize len;
	const void *data;

	if (is_deferred(proxyd, args)) {
		proxyd_count(proxyd, CTR_replies_deferred);
		sync_pack(&nothing, res);
		return;
	}
	if (!packed_is_valid(proxyd, packed, args))
		packed_update(proxyd, packed, args);
	else if (rpc_update_from_wire(&args->self, &self))
		member_on_update(proxyd->members, &self, proxyd_now(proxyd));
	data = g_bytes_get_data(packed->data, &len);
	res->size = packed->size;
	res->data.data_val = g_memdup2(data, len);
	res->data.data_len = (u_int)len;
}

void peer_on_gossip(void *ctx, const struct member_msg *msg)
{
	struct proxyd *proxyd = ctx;

	member_on_msg(proxyd->members, msg, proxyd_now(proxyd));
}

void peer_on_dropped(void *ctx, const struct rpc_dropped *dropped)
{
	proxyd_count(ctx, CTR_bad_input);
	if (dropped->first)
		slog(SLOG_WARN, "rpc", "from=%s proc=%u outcome=dropped why=%s",
		     dropped->from, dropped->proc, rpc_bad_name(dropped->bad));
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
	const struct store *own = mirror_replica(proxyd->mirror, MIRROR_OWN);
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

void peer_on_host_key(struct proxyd *proxyd, const struct store_item *item,
		      const char *address)
{
	struct sockaddr_in addr;

	if (!tcp_parse_address(address, &addr)) {
		slog(SLOG_WARN, "host", "address=%s outcome=not_used", address);
		return;
	}
	if (!strcmp(item->key + strlen(HOST_PREFIX), proxyd->conf->name)) {
		proxyd->host_key_revision = item->mod;
		/* An earlier process of this host has written it. */
		if (!strcmp(address, proxyd->rpc_address) &&
		    !proxyd->host_lease.id)
			proxyd->next_host_call =
				proxyd_now(proxyd) + HOST_KEY_RENEW_MS;
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

	feed_init(&proxyd->feed, proxyd_now(proxyd));
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

/* The key has changed unseen or has expired, or the store was restored. */
static void on_host_key_read(void *ctx, enum kv_outcome outcome,
			     const struct kv_page *page)
{
	struct proxyd *proxyd = ctx;
	char *key = g_strconcat(HOST_PREFIX, proxyd->conf->name, NULL);

	proxyd->host_key_revision = 0;
	for (size_t i = 0; outcome == KV_OK && i < page->count; i++)
		if (!strcmp(page->items[i].key, key))
			proxyd->host_key_revision = page->items[i].revision;
	host_key_schedule(proxyd, outcome == KV_OK ? HOST_KEY_RETRY_MS
						   : HOST_KEY_CONFLICT_MS);
	g_free(key);
}

static void host_key_read(struct proxyd *proxyd)
{
	char *key = g_strconcat(HOST_PREFIX, proxyd->conf->name, NULL);

	kv_range(proxyd->kv, key, "", false, on_host_key_read, proxyd);
	g_free(key);
}

static void on_host_key_written(void *ctx, enum kv_outcome outcome,
				int64_t number)
{
	struct proxyd *proxyd = ctx;

	if (outcome == KV_OK)
		proxyd->host_key_revision = number;
	if (outcome == KV_OK || outcome == KV_UNKNOWN) {
		host_key_schedule(proxyd, HOST_KEY_RENEW_MS);
		return;
	}
	kv_lease_revoke(proxyd->kv, &proxyd->host_lease);
	proxyd->host_lease = (struct kv_lease){ 0 };
	if (outcome == KV_CONFLICT)
		host_key_read(proxyd);
	else
		host_key_schedule(proxyd, HOST_KEY_RETRY_MS);
}

static void on_host_lease_granted(void *ctx, enum kv_outcome outcome,
				  struct kv_lease lease)
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
			  .expected_revision = proxyd->host_key_revision,
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
		proxyd->host_lease = (struct kv_lease){ 0 };
	host_key_schedule(proxyd, outcome == KV_OK ? HOST_KEY_RENEW_MS
						   : HOST_KEY_RETRY_MS);
}

void peer_on_restored(struct proxyd *proxyd)
{
	clk_ms wait = proxyd_random(proxyd, HOST_KEY_RESTORED_MS);

	proxyd->next_host_call =
		MIN(proxyd->next_host_call, proxyd_now(proxyd) + wait);
}

static void host_key_tick(struct proxyd *proxyd)
{
	if (proxyd->host_call_pending || proxyd->stopping ||
	    !mirror_has_snapshot(proxyd->mirror) ||
	    proxyd_now(proxyd) < proxyd->next_host_call)
		return;
	proxyd->host_call_pending = true;
	if (kv_lease_is_valid(proxyd->kv, &proxyd->host_lease))
		kv_lease_renew(proxyd->kv, &proxyd->host_lease,
			       on_host_lease_renewed, proxyd);
	else
		kv_lease_grant(proxyd->kv, HOST_KEY_LEASE_MS,
			       on_host_lease_granted, proxyd);
}

void peer_tick(struct proxyd *proxyd)
{
	member_tick(proxyd->members, proxyd_now(proxyd));
	eras_update(proxyd);
	if (proxyd->feed_outdated ||
	    proxyd_host_count(proxyd) != proxyd->feed_host_count)
		feed_refresh(proxyd);
	host_key_tick(proxyd);
	newer_fetch(proxyd);
	peer_send_heartbeats(proxyd);
}
