/* Settings and hosts: replicas, watches, and what they mean here. */
#include "entryd.h"

#include <string.h>

#define SUBSET_MAX 32	     /* upstreams of one pool that a host uses */
#define WATCHERS 3	     /* hosts that watch the platform */
#define WATCH_WAIT_MS 5000   /* of one watch */
#define WATCH_RETRY_MS 500   /* after a failed call */
#define HOSTS_PERIOD_MS 1000 /* between two reads of the list */
#define START_WAIT_MS 2000   /* for the platform, before peers suffice */

static struct setting *setting_get(struct entryd *entryd, const char *key)
{
	struct setting *setting =
		g_hash_table_lookup(entryd->parsed_settings, key);

	if (setting)
		return setting;
	setting = g_new0(struct setting, 1);
	if (!conf_key_parse(key, &setting->key, NULL)) {
		g_free(setting);
		return NULL;
	}
	g_hash_table_insert(entryd->parsed_settings, g_strdup(key), setting);
	return setting;
}

/* Takes a setting's text out of what the platform stores. */
static void *setting_parse(enum conf_kind kind, GBytes *value, GError **error)
{
	gsize len;
	const char *ptr = g_bytes_get_data(value, &len);
	struct json_object *stored = json_parse_object(ptr, len);
	const char *text = stored ? json_text(stored, "value", "") : "";
	void *conf = conf_parse(kind, text, strlen(text), error);

	json_object_put(stored);
	return conf;
}

/* Puts an account's weight and limit in force. */
static void account_apply(struct entryd *entryd, struct setting *setting)
{
	struct account *account =
		g_hash_table_lookup(entryd->accounts, setting->key.name);

	if (!account) {
		account = g_new0(struct account, 1);
		account->name = g_strdup(setting->key.name);
		g_hash_table_insert(entryd->accounts, account->name, account);
	}
	g_free(account->team);
	account->team = g_strdup(setting->key.team);
	account->conf = setting->conf;
	conf_share_limits(entryd);
}

static enum route_policy policy_parse(const char *name)
{
	static const char *const names[ROUTE_POLICY_COUNT] = {
		[ROUTE_COST] = "cost",
		[ROUTE_RANDOM] = "random",
		[ROUTE_ROUND_ROBIN] = "round_robin",
		[ROUTE_LEAST_OUTSTANDING] = "least_outstanding",
	};

	for (int policy = 0; policy < ROUTE_POLICY_COUNT; policy++)
		if (!strcmp(names[policy], name))
			return (enum route_policy)policy;
	return ROUTE_COST;
}

/* Puts a pool's weights in force. */
static void routing_apply(struct entryd *entryd, const struct setting *setting)
{
	const struct conf_routing *conf = setting->conf;
	struct route_weights weights = {
		.policy = policy_parse(conf->policy),
		.wait = conf->wait,
		.prefill = conf->prefill,
		.distance_ms = conf->distance_ms,
		.reclaim = conf->reclaim,
		.prefill_us = conf->prefill_us,
		.samples = (int)conf->samples,
	};

	router_set_weights(entryd->router, setting->key.name, &weights);
	pool_get(entryd, setting->key.name)->budget.options.share =
		conf->retry_share;
}

/* Puts a changed setting in force, unless it breaks a rule. */
static void settings_on_item(void *ctx, const struct store_item *item)
{
	struct entryd *entryd = ctx;
	const char *key = item->key + strlen(SETTINGS_PREFIX);
	struct setting *setting = setting_get(entryd, key);
	GError *error = NULL;
	void *conf = NULL;
	void *old;

	if (!setting)
		return;
	entryd_count(entryd, CTR_settings_changes);
	setting->mod = item->mod;
	if (item->value)
		conf = setting_parse(setting->key.kind, item->value, &error);
	if (item->value && !conf) {
		entryd_count(entryd, CTR_settings_bad);
		log_warn("setting %s is not adopted: %s", key, error->message);
		g_error_free(error);
		return;
	}
	old = setting->conf;
	setting->conf = conf;
	if (setting->key.kind == CONF_ACCOUNT)
		account_apply(entryd, setting);
	else if (setting->key.kind == CONF_ROUTING && conf)
		routing_apply(entryd, setting);
	conf_free(setting->key.kind, old);
}

/* Spreads that an upstream leaves, or is back, as the first to learn it. */
static void host_mark(struct entryd *entryd, const char *name, bool leaving)
{
	struct member_notice mark = {
		.leaving = leaving,
		.stamp = (uint64_t)entryd_wall(),
	};
	const struct upstream *upstream = router_get(entryd->router, name);

	if (upstream->leaving_notice == leaving)
		return;
	g_strlcpy(mark.upstream, name, sizeof(mark.upstream));
	member_on_notice(entryd->members, &mark);
}

/* Puts an upstream's entry of the list in force. */
static void upstream_apply(struct entryd *entryd, struct json_object *fields)
{
	const char *name = json_text(fields, "name", "");
	const char *state = json_text(fields, "state", "live");
	struct upstream *upstream = router_get(entryd->router, name);

	g_free(upstream->address);
	g_free(upstream->data_centre);
	upstream->address = g_strdup(json_text(fields, "address", ""));
	upstream->data_centre = g_strdup(json_text(fields, "data_centre", ""));
	upstream->reclaimable = json_flag(fields, "reclaimable", 0);
	upstream->state = !strcmp(state, "live")      ? UPSTREAM_LIVE
			  : !strcmp(state, "leaving") ? UPSTREAM_LEAVING
						      : UPSTREAM_GONE;
	router_set_pool(entryd->router, upstream,
			json_text(fields, "pool", ""));
	entryd->pools_changed = true;
	if (upstream->state == UPSTREAM_LEAVING)
		host_mark(entryd, name, true);
	else if (upstream->state == UPSTREAM_LIVE)
		host_mark(entryd, name, false);
}

/* Puts a changed entry of the list of hosts in force. */
static void hosts_on_item(void *ctx, const struct store_item *item)
{
	struct entryd *entryd = ctx;
	struct json_object *fields;
	gsize len;
	const char *ptr;

	if (!item->value)
		return;
	ptr = g_bytes_get_data(item->value, &len);
	fields = json_parse_object(ptr, len);
	if (!fields)
		return;
	if (strcmp(json_text(fields, "role", ""), "entry") != 0)
		upstream_apply(entryd, fields);
	else if (!strcmp(item->key, entryd->conf->name) &&
		 !strcmp(json_text(fields, "state", ""), "leaving"))
		entryd_stop(entryd);
	json_object_put(fields);
}

const void *conf_find(struct entryd *entryd, enum conf_kind kind,
		      const char *team, const char *name)
{
	char *key =
		g_strdup_printf("%s/%s/%s", team, conf_specs[kind].name, name);
	struct setting *setting =
		g_hash_table_lookup(entryd->parsed_settings, key);

	g_free(key);
	return setting ? setting->conf : NULL;
}

struct account *conf_account_find(struct entryd *entryd, const char *name)
{
	struct account *account = g_hash_table_lookup(entryd->accounts, name);

	return account && account->conf ? account : NULL;
}

void conf_share_limits(struct entryd *entryd)
{
	double hosts = 1.0 + (double)member_live_count(entryd->members);
	GHashTableIter iter;
	gpointer value;

	entryd->router->hosts = hosts;
	g_hash_table_iter_init(&iter, entryd->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct account *account = value;

		if (account->conf)
			limit_set(&account->limit, account->conf->tokens_per_s,
				  1 / hosts, entryd_now(entryd));
	}
}

/* Puts what the platform answered into a replica. */
static void items_take(struct store *store, struct json_object *answer,
		       bool whole)
{
	struct json_object *list;
	GHashTable *present = g_hash_table_new(g_str_hash, g_str_equal);
	int64_t revision = json_int(answer, "revision", 0);

	if (!json_object_object_get_ex(answer, "items", &list))
		list = NULL;
	for (size_t i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		const char *text = json_text(item, "value", NULL);
		GBytes *value = text ? g_bytes_new(text, strlen(text)) : NULL;
		const char *key = json_text(item, "key", "");

		store_put(store, key, value, json_int(item, "mod", 0));
		g_hash_table_add(present, (char *)key);
		if (value)
			g_bytes_unref(value);
	}
	if (whole)
		store_snapshot(store, present, revision);
	else if (list && json_object_array_length(list) > 0)
		store_complete(store, revision);
	g_hash_table_destroy(present);
}

static void on_range(void *ctx, struct json_object *answer)
{
	struct entryd *entryd = ctx;

	entryd->watch_in_flight = false;
	entryd->next_watch = entryd_now(entryd);
	if (!answer) {
		entryd->next_watch += WATCH_RETRY_MS;
		return;
	}
	items_take(entryd->settings, answer, true);
	entryd->settings_read = true;
}

static void on_watch(void *ctx, struct json_object *answer)
{
	struct entryd *entryd = ctx;

	entryd->watch_in_flight = false;
	entryd->next_watch = entryd_now(entryd);
	if (answer)
		items_take(entryd->settings, answer, false);
	else
		entryd->next_watch += WATCH_RETRY_MS;
}

/* Puts the list's answer into the replica. */
static void on_hosts(void *ctx, struct json_object *answer)
{
	struct entryd *entryd = ctx;
	struct json_object *list = NULL;

	entryd->hosts_read_in_flight = false;
	if (!answer)
		return;
	json_object_object_get_ex(answer, "items", &list);
	for (size_t i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		size_t len;
		const char *text = json_print(item, &len);
		GBytes *value = g_bytes_new(text, len);

		store_put(entryd->hosts, json_text(item, "name", ""), value,
			  json_int(item, "mod", 0));
		g_bytes_unref(value);
	}
	store_complete(entryd->hosts, json_int(answer, "revision", 0));
}

void conf_start(struct entryd *entryd)
{
	entryd->parsed_settings = g_hash_table_new(g_str_hash, g_str_equal);
	entryd->accounts = g_hash_table_new(g_str_hash, g_str_equal);
	entryd->settings = store_create(settings_on_item, entryd);
	entryd->hosts = store_create(hosts_on_item, entryd);
}

/* Callers are served once settings and hosts are known: from the platform,
 * or from peers when it is down. */
static void ready_tick(struct entryd *entryd)
{
	clk_ms age = entryd_now(entryd) - entryd->started_at;
	bool from_peers = age > START_WAIT_MS && entryd->peers_synced > 0 &&
			  entryd->settings->revision > 0;

	if (entryd->ready || entryd->hosts->revision == 0)
		return;
	if (!entryd->settings_read && !from_peers)
		return;
	entryd->ready = true;
	log_notice("settings at revision %" G_GINT64_FORMAT " from %s",
		   entryd->settings->revision,
		   entryd->settings_read ? "the platform" : "peers");
}

/* Watches the settings if this host is one of those that do. */
static void watch_tick(struct entryd *entryd)
{
	if (entryd->watch_in_flight || entryd_now(entryd) < entryd->next_watch)
		return;
	if (!entryd->settings_read) {
		if (entryd->ready &&
		    !member_self_in_top(entryd->members, "watch", WATCHERS))
			return;
		entryd->watch_in_flight = true;
		plat_range(entryd->plat, SETTINGS_PREFIX, on_range, entryd);
	} else if (member_self_in_top(entryd->members, "watch", WATCHERS)) {
		entryd->watch_in_flight = true;
		plat_watch(entryd->plat, SETTINGS_PREFIX,
			   entryd->settings->revision, WATCH_WAIT_MS, on_watch,
			   entryd);
	}
}

/* Reads the list of hosts if this host is one of those that do. */
static void hosts_tick(struct entryd *entryd)
{
	clk_ms now = entryd_now(entryd);

	if (entryd->hosts_read_in_flight || now < entryd->next_hosts)
		return;
	if (entryd->ready &&
	    !member_self_in_top(entryd->members, "hosts", WATCHERS))
		return;
	entryd->hosts_read_in_flight = true;
	entryd->next_hosts = now + HOSTS_PERIOD_MS;
	plat_hosts(entryd->plat, entryd->hosts->revision, on_hosts, entryd);
}

/* Chooses anew which upstreams this host uses. */
static void pools_tick(struct entryd *entryd)
{
	if (!entryd->pools_changed)
		return;
	entryd->pools_changed = false;
	router_pick_subset(entryd->router, entryd->conf->name, SUBSET_MAX);
}

void conf_tick(struct entryd *entryd)
{
	pools_tick(entryd);
	watch_tick(entryd);
	hosts_tick(entryd);
	ready_tick(entryd);
}
