/*
 * Operators' settings and the list of hosts: keeps the local copies up to date
 * by watching the platform, and applies changes.
 *
 * WATCHERS hosts read the settings from the platform, and as many, which may be
 * others, read the list of hosts. All other hosts receive newer revisions from
 * peers, and read from the platform only until they are ready.
 */
#include "entryd.h"

#include <string.h>

#define SUBSET_MAX 32		 /* upstreams of one pool that a host uses */
#define WATCHERS 3		 /* for the settings, and for the list */
#define WATCH_TIMEOUT_MS 5000	 /* longest wait of one watch call */
#define WATCH_RETRY_MS 500	 /* after a failed call */
#define HOSTS_PERIOD_MS 1000	 /* between two reads of the list of hosts */
#define PLATFORM_TIMEOUT_MS 2000 /* at start, then peers' settings suffice */

/* Returns the setting of a key, adding it if needed; NULL if the key is
 * malformed. */
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

/* Parses the setting in the "value" field of a stored item. */
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

/* Applies an account's team, weight and limit. */
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
	conf_update_limit_shares(entryd);
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

/* Applies a pool's routing weights and retry budget. */
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

/* Applies a changed setting. An invalid one is rejected, and the last valid one
 * stays in force. */
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
		log_warn("setting %s is rejected: %s", key, error->message);
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

/* Gossips a leaving notice for an upstream, or one that withdraws it, unless
 * that is already known. */
static void upstream_notify(struct entryd *entryd, const char *name,
			    bool leaving)
{
	struct member_notice notice = {
		.set = leaving,
		.stamp = (uint64_t)entryd_wall_time(),
	};
	const struct upstream *upstream = router_get(entryd->router, name);

	if (upstream->leaving_notice == leaving)
		return;
	g_strlcpy(notice.subject, name, sizeof(notice.subject));
	member_on_notice(entryd->members, &notice);
}

/* Applies an upstream's entry in the list of hosts. */
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
		upstream_notify(entryd, name, true);
	else if (upstream->state == UPSTREAM_LIVE)
		upstream_notify(entryd, name, false);
}

/* Applies a changed entry of the list of hosts. If this host itself is leaving,
 * the shutdown begins. */
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

const void *conf_find_setting(struct entryd *entryd, enum conf_kind kind,
			      const char *team, const char *name)
{
	char *key =
		g_strdup_printf("%s/%s/%s", team, conf_specs[kind].name, name);
	struct setting *setting =
		g_hash_table_lookup(entryd->parsed_settings, key);

	g_free(key);
	return setting ? setting->conf : NULL;
}

struct account *conf_find_account(struct entryd *entryd, const char *name)
{
	struct account *account = g_hash_table_lookup(entryd->accounts, name);

	return account && account->conf ? account : NULL;
}

/* Divides each account's limit evenly among the live entry hosts. */
void conf_update_limit_shares(struct entryd *entryd)
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

/* Stores the items of a response. A snapshot is complete, so keys that are not
 * in it are deleted. */
static void items_apply(struct store *store, struct json_object *response,
			bool snapshot)
{
	struct json_object *list;
	GHashTable *present = g_hash_table_new(g_str_hash, g_str_equal);
	int64_t revision = json_int(response, "revision", 0);

	if (!json_object_object_get_ex(response, "items", &list))
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
	if (snapshot)
		store_snapshot(store, present, revision);
	else if (list && json_object_array_length(list) > 0)
		store_complete(store, revision);
	g_hash_table_destroy(present);
}

static void on_range(void *ctx, struct json_object *response)
{
	struct entryd *entryd = ctx;

	entryd->watch_in_flight = false;
	entryd->next_watch = entryd_now(entryd);
	if (!response) {
		entryd->next_watch += WATCH_RETRY_MS;
		return;
	}
	items_apply(entryd->settings, response, true);
	entryd->settings_read = true;
}

static void on_watch(void *ctx, struct json_object *response)
{
	struct entryd *entryd = ctx;

	entryd->watch_in_flight = false;
	entryd->next_watch = entryd_now(entryd);
	if (response)
		items_apply(entryd->settings, response, false);
	else
		entryd->next_watch += WATCH_RETRY_MS;
}

/* Stores the changed entries of the list of hosts. */
static void on_hosts(void *ctx, struct json_object *response)
{
	struct entryd *entryd = ctx;
	struct json_object *list = NULL;

	entryd->hosts_read_in_flight = false;
	if (!response)
		return;
	json_object_object_get_ex(response, "items", &list);
	for (size_t i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		size_t len;
		const char *text = json_print(item, &len);
		GBytes *value = g_bytes_new(text, len);

		store_put(entryd->hosts, json_text(item, "name", ""), value,
			  json_int(item, "mod", 0));
		g_bytes_unref(value);
	}
	store_complete(entryd->hosts, json_int(response, "revision", 0));
}

void conf_init(struct entryd *entryd)
{
	entryd->parsed_settings = g_hash_table_new(g_str_hash, g_str_equal);
	entryd->accounts = g_hash_table_new(g_str_hash, g_str_equal);
	entryd->settings = store_create(settings_on_item, entryd);
	entryd->hosts = store_create(hosts_on_item, entryd);
}

/*
 * Begins to serve callers once settings and hosts are known. Settings of peers
 * suffice if the platform was not readable for PLATFORM_TIMEOUT_MS.
 */
static void ready_tick(struct entryd *entryd)
{
	clk_ms age = entryd_now(entryd) - entryd->started_at;
	bool from_peers = age > PLATFORM_TIMEOUT_MS &&
			  entryd->peers_synced > 0 &&
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

/*
 * Reads all settings from the platform once, then watches them for changes.
 * Only watchers do so, except that a host that is not ready reads them too.
 */
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
			   entryd->settings->revision, WATCH_TIMEOUT_MS,
			   on_watch, entryd);
	}
}

/* Reads the list of hosts if this host is one of the WATCHERS that do, which
 * rank apart from those of the settings, or if it is not ready. */
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

/* Selects again which upstreams this host uses, if the pools changed. */
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
