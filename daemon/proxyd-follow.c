/*
 * Application of the items in the replicas of the store: configuration, workers
 * and this system's own keys.
 *
 * Followers read the store themselves (mirror.c); the other hosts fetch changes
 * from them (proxyd-peer.c).
 */
#include "proxyd.h"

#include <string.h>

/* After the store is reachable again, entries that expired meanwhile are back
 * within this time. */
#define ENTRY_RETURN_MS 2500
#define LIST_OLD_MS 1500 /* a list of workers this old is logged */
/* When the store was restored from a backup with an older configuration, the
 * newer configuration stays in force for this time, unless the operators write
 * another configuration. */
#define RESTORED_HOLD_MS 15000
/* Of connections on which other hosts forward requests: longer than these hosts
 * keep them (hop.c), so that no request crosses a close. */
#define FORWARD_IDLE_MS 15000
/* Subject of the notice that a worker leaves. */
#define LEAVING_PREFIX "leaving/"
#define LEAVING_SUBJECT LEAVING_PREFIX "%s"

static const char *const prefixes[MIRROR_COUNT] = {
	[MIRROR_CONFIG] = DECODE_CONFIG_PREFIX,
	[MIRROR_WORKERS] = DECODE_WORKER_PREFIX,
	[MIRROR_OWN] = OWN_PREFIX,
};

/* Applies the limits of callers' connections and requests. */
static void front_limits_apply(struct proxyd *proxyd,
			       const struct tab_limits *limits)
{
	struct hs_limits front = {
		.head_max = limits->head_max,
		.body_max = limits->body_max,
		.head_timeout = limits->head_timeout,
		.idle_timeout = limits->idle_timeout,
		.in_flight_max = (size_t)MAX(proxyd->conf->descriptors / 2, 64),
	};

	hs_set_limits(proxyd->front, &front);
	front.head_max += FORWARD_HEAD_BYTES;
	front.idle_timeout = FORWARD_IDLE_MS;
	hs_set_limits(proxyd->forwarded, &front);
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

/* Whether the configuration in force stays, as the store's revision comes from
 * a restored backup. The operators need time to write the lost configuration
 * again. */
static bool config_holds(struct proxyd *proxyd, const struct tab *tab,
			 int64_t revision)
{
	clk_ms now = proxyd_now(proxyd);

	if (!proxyd->tab || tab->version >= proxyd->tab->version ||
	    !kv_is_later_era(proxyd->tab_revision, revision))
		return false;
	if (!proxyd->held_until) {
		proxyd->held_until = now + RESTORED_HOLD_MS;
		slog(SLOG_WARN, "config",
		     "revision=%" G_GINT64_FORMAT " version=%" G_GINT64_FORMAT
		     " in_force=%" G_GINT64_FORMAT " outcome=held",
		     revision, tab->version, proxyd->tab->version);
	}
	return now < proxyd->held_until;
}

/* Applies a configuration; one that can't be decoded is ignored. */
static void config_apply(struct proxyd *proxyd, const struct store_item *item)
{
	GError *error = NULL;
	struct tab *tab;

	rollout_on_item(proxyd, item);
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
	if (config_holds(proxyd, tab, item->mod)) {
		tab_unref(tab);
		return;
	}
	proxyd->held_until = 0;
	proxyd_count(proxyd, CTR_settings_changes);
	tab_unref(proxyd->tab);
	proxyd->tab = tab;
	proxyd->tab_revision = item->mod;
	proxyd->tab_applied_at = proxyd_now(proxyd);
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
	clk_ms regained_at = mirror_regained_at(proxyd->mirror);

	return mirror_lost_at(proxyd->mirror) ||
	       (regained_at &&
		proxyd_now(proxyd) - regained_at < ENTRY_RETURN_MS);
}

/* Records when a worker will leave, unless that is known already; its streams
 * are moved before. remaining_ms < 0: not known, the usual time is assumed. */
static void worker_set_leaving(struct proxyd *proxyd,
			       struct fleet_worker *worker, clk_ms remaining_ms)
{
	clk_ms now = proxyd_now(proxyd);

	if (worker->leaves_at)
		return;
	worker->drained_at = now + proxyd->conf->drain_ms;
	worker->leaves_at =
		remaining_ms >= 0 ? now + remaining_ms : worker->drained_at;
}

void follow_worker_leaves(struct proxyd *proxyd, struct fleet_worker *worker,
			  const char *via)
{
	struct member_notice notice = {
		.set = true,
		/* Another process with the same id has another start. */
		.stamp = (uint64_t)worker->entry.started_at,
	};

	if (worker->said_leaving || worker->removed)
		return;
	worker->said_leaving = true;
	worker_set_leaving(proxyd, worker, -1);
	proxyd_count(proxyd, CTR_workers_said_leaving);
	slog(SLOG_NOTICE, "worker", "worker=%s outcome=leaving why=%s",
	     worker->entry.id, via);
	if (g_snprintf(notice.subject, sizeof(notice.subject), LEAVING_SUBJECT,
		       worker->entry.id) < (int)sizeof(notice.subject))
		member_on_notice(proxyd->members, &notice);
}

void follow_forget_notice(struct proxyd *proxyd,
			  const struct fleet_worker *worker)
{
	char subject[MEMBER_SUBJECT_MAX];

	g_snprintf(subject, sizeof(subject), LEAVING_SUBJECT, worker->entry.id);
	member_forget_notice(proxyd->members, subject);
}

void follow_on_notice(struct proxyd *proxyd, const struct member_notice *notice)
{
	struct fleet_worker *worker;

	if (!g_str_has_prefix(notice->subject, LEAVING_PREFIX))
		return;
	worker = fleet_find(proxyd->fleet,
			    notice->subject + strlen(LEAVING_PREFIX));
	if (worker && (uint64_t)worker->entry.started_at == notice->stamp)
		follow_worker_leaves(proxyd, worker, "told");
	else
		member_forget_notice(proxyd->members, notice->subject);
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
	    !mirror_is_applying(proxyd->mirror)) {
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
	bool sticky;

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
	/* Its word may have been lost with what the store lost, not taken back.
	 */
	sticky = was_leaving && !entry.leaving &&
		 worker->entry.started_at == entry.started_at &&
		 kv_is_later_era(worker->revision, item->mod);
	if (worker && worker->entry.started_at != entry.started_at)
		guard_on_replaced(proxyd, worker);
	worker = fleet_put(proxyd->fleet, &entry, item->mod);
	worker->said_leaving |= sticky;
	if (worker->entry.leaving)
		worker_set_leaving(proxyd, worker, worker->entry.remaining_ms);
	else if (!worker->said_leaving)
		worker->leaves_at = 0;
	if (!known || was_leaving != worker->entry.leaving)
		slog(SLOG_NOTICE, "worker",
		     "worker=%s pool=%s address=%s version=%s data_centre=%s "
		     "spot=%d "
		     "revision=%" G_GINT64_FORMAT " outcome=%s",
		     worker->entry.id, worker->entry.pool,
		     worker->entry.address, worker->entry.version,
		     worker->entry.data_centre, worker->entry.spot, item->mod,
		     worker->entry.leaving ? "leaving" : "takes_work");
}

static void own_apply(struct proxyd *proxyd, const struct store_item *item)
{
	gsize len;
	const char *ptr;
	char *address;

	leader_on_item(proxyd, item);
	resume_on_item(proxyd, item);
	rollout_on_item(proxyd, item);
	if (!g_str_has_prefix(item->key, HOST_PREFIX) || !item->value)
		return;
	ptr = g_bytes_get_data(item->value, &len);
	address = g_strndup(ptr, len);
	peer_on_host_key(proxyd, item, address);
	g_free(address);
}

static void on_snapshot(void *ctx)
{
	peer_on_snapshot(ctx);
	leader_on_snapshot(ctx);
	limits_restore(ctx);
}

static void on_changed(void *ctx, size_t prefix, const struct store_item *item)
{
	static void (*const apply[MIRROR_COUNT])(
		struct proxyd * proxyd, const struct store_item *item) = {
		[MIRROR_CONFIG] = config_apply,
		[MIRROR_WORKERS] = worker_apply,
		[MIRROR_OWN] = own_apply,
	};

	apply[prefix](ctx, item);
}

static void on_applied(void *ctx)
{
	struct proxyd *proxyd = ctx;

	age_on_read(&proxyd->list_age, proxyd_now(proxyd));
	peer_send_heartbeats(proxyd);
}

static bool follows(void *ctx)
{
	const struct proxyd *proxyd = ctx;

	return feed_follows(&proxyd->feed, proxyd_now(proxyd));
}

void follow_start(struct proxyd *proxyd)
{
	static const struct mirror_ops ops = {
		.changed = on_changed,
		.snapshot = on_snapshot,
		.applied = on_applied,
		.follows = follows,
		.random = proxyd_random,
	};

	proxyd->mirror =
		mirror_create(&proxyd->loop, proxyd->kv, prefixes, MIRROR_COUNT,
			      MIRROR_WORKERS, &ops, proxyd);
}

int64_t follow_config_revision(const struct proxyd *proxyd)
{
	return mirror_replica(proxyd->mirror, MIRROR_CONFIG)->revision;
}

int64_t follow_workers_revision(const struct proxyd *proxyd)
{
	return mirror_replica(proxyd->mirror, MIRROR_WORKERS)->revision;
}

/* Removes a worker whose entry has not come back in time; one per call. */
static void missing_remove(struct proxyd *proxyd)
{
	GHashTableIter iter;
	gpointer value;
	struct fleet_worker *expired = NULL;
	clk_ms now = proxyd_now(proxyd);

	if (mirror_lost_at(proxyd->mirror))
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

/* Applies a configuration that was held for long enough. */
static void held_apply(struct proxyd *proxyd)
{
	const struct store_item *item;

	if (!proxyd->held_until || proxyd_now(proxyd) < proxyd->held_until)
		return;
	item = store_get(mirror_replica(proxyd->mirror, MIRROR_CONFIG),
			 DECODE_CONFIG_KEY);
	if (item)
		config_apply(proxyd, item);
	proxyd->held_until = 0;
}

/* Logs when the list of workers gets old, and when it is complete again. */
static void list_check(struct proxyd *proxyd)
{
	clk_ms age = proxyd_now(proxyd) - proxyd->list_age.complete_at;
	bool old = proxyd->list_age.complete_at && age > LIST_OLD_MS;

	if (old == proxyd->list_is_old)
		return;
	proxyd->list_is_old = old;
	slog(SLOG_NOTICE, "list", "age_ms=%" G_GINT64_FORMAT " outcome=%s", age,
	     old ? "old" : "complete");
}

void follow_tick(struct proxyd *proxyd)
{
	mirror_tick(proxyd->mirror);
	list_check(proxyd);
	held_apply(proxyd);
	missing_remove(proxyd);
}

bool follow_ready(const struct proxyd *proxyd)
{
	return proxyd->tab && mirror_is_current(proxyd->mirror) &&
	       follow_workers_revision(proxyd) > 0;
}
