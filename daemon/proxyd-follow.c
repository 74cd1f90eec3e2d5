/*
 * Replicas of three prefixes of the platform's store (configuration, workers,
 * this system's own keys), and the application of their changes.
 *
 * A replica is read as a snapshot and then kept up to date by watches, on the
 * hosts that follow the store themselves; the others fetch changes from them
 * (proxyd-peer.c).
 */
#include "proxyd.h"

#include <string.h>

#define WATCH_WAIT_MS 8000 /* of one watch */
/* The watch of the workers is shorter, as it also detects a store that does not
 * respond: together with the time that a response may take, it is less than the
 * time after which hosts must be up to date again. */
#define WATCH_SHORT_MS 1800
#define WATCH_PROBE_MS 100 /* of a watch while the store is lost */
#define RETRY_MS 300	   /* after a failed call; then doubled, up to */
#define RETRY_MAX_MS 1200
/* After the store is reachable again, entries that expired meanwhile are back
 * within this time. */
#define ENTRY_RETURN_MS 2500

static const struct {
	const char *prefix;
	clk_ms watch_wait;
} prefixes[FOLLOW_COUNT] = {
	[FOLLOW_CONFIG] = { DECODE_CONFIG_PREFIX, WATCH_WAIT_MS },
	[FOLLOW_WORKERS] = { DECODE_WORKER_PREFIX, WATCH_SHORT_MS },
	[FOLLOW_OWN] = { OWN_PREFIX, WATCH_WAIT_MS },
};

static void follow_next(struct follow *follow);

/* Applies the limits of callers' connections and requests. */
static void front_limits_apply(struct proxyd *proxyd,
			       const struct tab_limits *limits)
{
	struct hs_limits front = {
		.head_max = limits->head_max,
		.body_max = limits->body_max,
		.head_timeout = limits->head_timeout,
		.idle_timeout = limits->idle_timeout,
		.connections_max =
			(size_t)MAX(proxyd->conf->descriptors / 2, 64),
	};

	hs_set_limits(proxyd->front, &front);
}

/* Applies the accounts' limits. An account that is no longer configured keeps
 * its quota's state. */
static void accounts_apply(struct proxyd *proxyd, const struct tab *tab)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, tab->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct tab_account *account = value;
		struct quota *quota =
			g_hash_table_lookup(proxyd->quotas, account->name);

		if (!quota) {
			quota = quota_create();
			g_hash_table_insert(proxyd->quotas,
					    g_strdup(account->name), quota);
			g_hash_table_insert(
				proxyd->quotas_by_key,
				GUINT_TO_POINTER(aggregate_key(account->name)),
				quota);
		}
		quota_set(quota, account->rate, account->burst,
			  account->counts_tokens ? proxyd->conf->quota_tolerance
						 : 0,
			  proxyd->conf->first_start, proxyd_now(proxyd));
	}
}

/* Applies a configuration; one that can't be decoded is ignored. */
static void config_apply(struct proxyd *proxyd, const struct store_item *item)
{
	GError *error = NULL;
	struct tab *tab;

	if (strcmp(item->key, DECODE_CONFIG_KEY) != 0 || !item->value)
		return;
	tab = decode_config(item->value, &error);
	if (!tab) {
		proxyd_count(proxyd, CTR_settings_bad);
		slog(SLOG_WARN, "config",
		     "revision=%" G_GINT64_FORMAT
		     " outcome=kept_old cause=\"%s\"",
		     item->mod, error->message);
		g_error_free(error);
		return;
	}
	proxyd_count(proxyd, CTR_settings_changes);
	tab_unref(proxyd->tab);
	proxyd->tab = tab;
	proxyd->tab_revision = item->mod;
	front_limits_apply(proxyd, &tab->limits);
	accounts_apply(proxyd, tab);
	limits_restore(proxyd);
	slog(SLOG_NOTICE, "config",
	     "revision=%" G_GINT64_FORMAT " version=%" G_GINT64_FORMAT
	     " routes=%u accounts=%u outcome=in_force",
	     item->mod, tab->version, g_hash_table_size(tab->routes),
	     g_hash_table_size(tab->accounts));
}

/* Whether entries may be missing only because the store was unreachable, so
 * that they expired. */
static bool store_was_unreachable(const struct proxyd *proxyd)
{
	return proxyd->store_lost_at ||
	       (proxyd->store_regained_at &&
		proxyd_now(proxyd) - proxyd->store_regained_at <
			ENTRY_RETURN_MS);
}

/* Records when a worker will leave, unless that is known already; its streams
 * are moved before. remaining_ms < 0: not known, the usual time is assumed. */
static void worker_set_leaving(struct proxyd *proxyd,
			       struct fleet_worker *worker, clk_ms remaining_ms)
{
	if (!worker->leaves_at)
		worker->leaves_at =
			proxyd_now(proxyd) + (remaining_ms >= 0
						      ? remaining_ms
						      : proxyd->conf->drain_ms);
}

/* Removes a worker whose entry is missing: at once, or later if the entry may
 * come back. */
static void worker_on_missing(struct proxyd *proxyd, const char *id)
{
	struct fleet_worker *worker = fleet_find(proxyd->fleet, id);

	if (!worker)
		return;
	/* A host that received this from another host can't tell whether the
	 * store was unreachable. */
	if (store_was_unreachable(proxyd) ||
	    !proxyd->follow[FOLLOW_WORKERS].reading) {
		worker->removal_due_at = proxyd_now(proxyd) + ENTRY_RETURN_MS;
		slog(SLOG_NOTICE, "worker", "worker=%s outcome=doubted why=%s",
		     id,
		     store_was_unreachable(proxyd) ? "store_was_away" : "told");
		return;
	}
	slog(SLOG_NOTICE, "worker", "worker=%s outcome=gone", id);
	worker_set_leaving(proxyd, worker, -1);
	fleet_remove(proxyd->fleet, id);
}

/* Applies a worker's entry. */
static void worker_apply(struct proxyd *proxyd, const struct store_item *item)
{
	const char *id = item->key + strlen(DECODE_WORKER_PREFIX);
	struct fleet_worker *worker = fleet_find(proxyd->fleet, id);
	struct fleet_entry entry;
	GError *error = NULL;
	bool known = worker && !worker->removal_due_at;
	bool was_leaving = worker && worker->entry.leaving;

	if (!item->value) {
		worker_on_missing(proxyd, id);
		return;
	}
	if (!decode_worker(id, item->value, &entry, &error)) {
		proxyd_count(proxyd, CTR_workers_bad);
		slog(SLOG_WARN, "worker",
		     "worker=%s revision=%" G_GINT64_FORMAT
		     " outcome=not_used cause=\"%s\"",
		     id, item->mod, error->message);
		g_error_free(error);
		fleet_remove(proxyd->fleet, id);
		return;
	}
	worker = fleet_put(proxyd->fleet, &entry, item->mod);
	if (worker->entry.leaving)
		worker_set_leaving(proxyd, worker, worker->entry.remaining_ms);
	else
		worker->leaves_at = 0;
	if (!known || was_leaving != worker->entry.leaving)
		slog(SLOG_NOTICE, "worker",
		     "worker=%s pool=%s address=%s data_centre=%s spot=%d "
		     "revision=%" G_GINT64_FORMAT " outcome=%s",
		     worker->entry.id, worker->entry.pool,
		     worker->entry.address, worker->entry.data_centre,
		     worker->entry.spot, item->mod,
		     worker->entry.leaving ? "leaving" : "takes_work");
}

static void own_apply(struct proxyd *proxyd, const struct store_item *item)
{
	gsize len;
	const char *ptr;
	char *address;

	leader_on_item(proxyd, item);
	if (!g_str_has_prefix(item->key, HOST_PREFIX) || !item->value)
		return;
	ptr = g_bytes_get_data(item->value, &len);
	address = g_strndup(ptr, len);
	peer_on_host_key(proxyd, address);
	g_free(address);
}

static void own_on_snapshot(struct proxyd *proxyd)
{
	peer_on_snapshot(proxyd);
	leader_on_snapshot(proxyd);
	limits_restore(proxyd);
}

static void on_item_changed(void *ctx, const struct store_item *item)
{
	static void (*const apply[FOLLOW_COUNT])(
		struct proxyd * proxyd, const struct store_item *item) = {
		[FOLLOW_CONFIG] = config_apply,
		[FOLLOW_WORKERS] = worker_apply,
		[FOLLOW_OWN] = own_apply,
	};
	struct follow *follow = ctx;

	apply[follow - follow->proxyd->follow](follow->proxyd, item);
}

/* Restarts the pending watches: they may have been lost while the store was
 * unreachable. */
static void watches_restart(struct proxyd *proxyd)
{
	for (int i = 0; i < FOLLOW_COUNT; i++) {
		struct follow *follow = &proxyd->follow[i];

		if (!follow->watch)
			continue;
		kv_cancel(follow->watch);
		follow->watch = NULL;
		follow_next(follow);
	}
}

/* Records whether the store responds, and logs a change. */
static void store_set_reachable(struct proxyd *proxyd, bool reachable)
{
	clk_ms now = proxyd_now(proxyd);

	if (reachable && proxyd->store_lost_at) {
		slog(SLOG_NOTICE, "store",
		     "outcome=regained lost_ms=%" G_GINT64_FORMAT,
		     now - proxyd->store_lost_at);
		proxyd->store_lost_at = 0;
		proxyd->store_regained_at = now;
		watches_restart(proxyd);
	} else if (!reachable && !proxyd->store_lost_at) {
		slog(SLOG_WARN, "store", "outcome=lost");
		proxyd->store_lost_at = now;
	}
}

/* A call has failed: schedules the next one, with backoff and jitter. */
static void follow_failed(struct follow *follow, enum kv_outcome outcome)
{
	struct proxyd *proxyd = follow->proxyd;
	clk_ms wait =
		MIN((clk_ms)RETRY_MS << MIN(follow->failures, 4), RETRY_MAX_MS);

	follow->failures++;
	follow->next_call_at = proxyd_now(proxyd) + wait / 2 +
			       proxyd_random(proxyd, (uint32_t)wait / 2);
	if (outcome == KV_COMPACTED) {
		slog(SLOG_NOTICE, "follow",
		     "prefix=%s revision=%" G_GINT64_FORMAT
		     " outcome=history_gone",
		     follow->prefix, follow->replica->revision);
		follow->has_snapshot = false;
		follow->next_call_at = proxyd_now(proxyd);
	} else {
		store_set_reachable(proxyd, false);
	}
}

static void items_put(struct follow *follow, const struct kv_page *page)
{
	for (size_t i = 0; i < page->count; i++) {
		const struct kv_item *item = &page->items[i];

		store_put(follow->replica, item->key, item->value,
			  item->revision);
		if (follow->snapshot_keys)
			g_hash_table_add(follow->snapshot_keys,
					 g_strdup(item->key));
	}
}

/* Stores a page of a snapshot; then requests the next page or a watch. */
static void on_range(void *ctx, enum kv_outcome outcome,
		     const struct kv_page *page)
{
	struct follow *follow = ctx;
	struct proxyd *proxyd = follow->proxyd;

	follow->reading = false;
	if (outcome != KV_OK) {
		g_hash_table_remove_all(follow->snapshot_keys);
		follow_failed(follow, outcome);
		return;
	}
	store_set_reachable(proxyd, true);
	follow->failures = 0;
	if (follow->snapshot_revision == 0)
		follow->snapshot_revision = page->revision;
	items_put(follow, page);
	if (page->more && page->count > 0) {
		follow->reading = true;
		kv_range(proxyd->kv, follow->prefix,
			 page->items[page->count - 1].key, on_range, follow);
		return;
	}
	/* Changes made while the pages were read arrive with the first watch.
	 * The call counts as pending until all deletions are applied:
	 * worker_on_missing uses this to tell that this host read the store
	 * itself. */
	follow->reading = true;
	store_snapshot(follow->replica, follow->snapshot_keys,
		       follow->snapshot_revision);
	g_hash_table_destroy(follow->snapshot_keys);
	follow->snapshot_keys = NULL;
	follow->has_snapshot = true;
	if (follow == &proxyd->follow[FOLLOW_OWN])
		own_on_snapshot(proxyd);
	slog(SLOG_NOTICE, "follow",
	     "prefix=%s revision=%" G_GINT64_FORMAT " outcome=snapshot",
	     follow->prefix, follow->snapshot_revision);
	follow->reading = false;
	if (peer_follows_store(proxyd))
		follow_next(follow);
}

static void on_watch(void *ctx, enum kv_outcome outcome,
		     const struct kv_page *page)
{
	struct follow *follow = ctx;

	follow->watch = NULL;
	follow->reading = false;
	if (outcome != KV_OK) {
		follow_failed(follow, outcome);
		return;
	}
	store_set_reachable(follow->proxyd, true);
	follow->failures = 0;
	/* worker_on_missing uses this to tell that this host read the store
	 * itself. */
	follow->reading = true;
	items_put(follow, page);
	follow->reading = false;
	if (page->revision > 0)
		store_complete(follow->replica, page->revision);
	if (peer_follows_store(follow->proxyd))
		follow_next(follow);
}

/* Makes the next call for a prefix: a watch, or the first page of a
 * snapshot. */
static void follow_next(struct follow *follow)
{
	struct proxyd *proxyd = follow->proxyd;

	follow->reading = true;
	if (follow->has_snapshot) {
		clk_ms wait =
			proxyd->store_lost_at
				? WATCH_PROBE_MS
				: prefixes[follow - proxyd->follow].watch_wait;

		follow->watch = kv_watch(proxyd->kv, follow->prefix,
					 follow->replica->revision, wait,
					 on_watch, follow);
		return;
	}
	if (follow->snapshot_keys)
		g_hash_table_remove_all(follow->snapshot_keys);
	else
		follow->snapshot_keys = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
	follow->snapshot_revision = 0;
	kv_range(proxyd->kv, follow->prefix, "", on_range, follow);
}

void follow_start(struct proxyd *proxyd)
{
	for (int i = 0; i < FOLLOW_COUNT; i++) {
		struct follow *follow = &proxyd->follow[i];

		follow->proxyd = proxyd;
		follow->prefix = prefixes[i].prefix;
		follow->replica = store_create(on_item_changed, follow);
	}
}

/* Removes a worker whose entry has not come back in time; one per call. */
static void missing_remove(struct proxyd *proxyd)
{
	GHashTableIter iter;
	gpointer value;
	struct fleet_worker *expired = NULL;
	clk_ms now = proxyd_now(proxyd);

	if (proxyd->store_lost_at)
		return;
	g_hash_table_iter_init(&iter, proxyd->fleet->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fleet_worker *worker = value;

		if (worker->removal_due_at && now >= worker->removal_due_at)
			expired = worker;
	}
	if (!expired)
		return;
	slog(SLOG_NOTICE, "worker", "worker=%s outcome=gone why=entry_not_back",
	     expired->entry.id);
	fleet_remove(proxyd->fleet, expired->entry.id);
}

void follow_tick(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);

	for (int i = 0; i < FOLLOW_COUNT; i++) {
		struct follow *follow = &proxyd->follow[i];

		if (!follow->reading && now >= follow->next_call_at &&
		    (!follow->has_snapshot || peer_follows_store(proxyd)))
			follow_next(follow);
	}
	missing_remove(proxyd);
}

bool follow_ready(const struct proxyd *proxyd)
{
	return proxyd->tab &&
	       proxyd->follow[FOLLOW_WORKERS].replica->revision > 0;
}
