/*
 * A fake platform: the key-value service with compare-and-swap, leases and
 * watches, the delayed list of hosts, and the cloud API. POST /fault sets its
 * faults.
 */
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake.h"

#define MAX_VALUE_LEN (1 << 20) /* bytes */
#define RATE_WINDOW_MS 1000	/* window of the rate limits */
#define SWEEP_MS 50 /* interval of the check for expired leases and watches */
#define DEFAULT_LEASE_TTL 3000 /* ms */

/* A key; kept after its deletion so that watches can report it. */
struct item {
	char *key;
	GString *value; /* NULL: deleted */
	int64_t mod;	/* revision of the last change */
	int64_t lease;	/* 0: none */
};

struct lease {
	int64_t id;
	clk_ms ttl;
	clk_ms expires_at; /* loop time */
};

/* A watch waiting for a change. */
struct watcher {
	struct platform *platform;
	struct http_request *request;
	char *prefix;
	int64_t after;
	clk_ms deadline; /* loop time */
	bool disconnected;
};

/* A host of the list, preset or rented. */
struct host {
	struct json_object *fields; /* as listed */
	clk_ms visible_at;	    /* loop time */
	int64_t mod;
};

/* A request that is served after delay_ms. */
struct delayed {
	struct platform *platform;
	struct http_request *request;
	uv_timer_t timer;
};

/* The faults that POST /fault sets. */
struct faults {
	bool outage;	  /* key-value and lease calls and GET /hosts fail */
	int64_t delay_ms; /* before a request is served */
	int64_t lose_cas; /* next compare-and-swaps that lose their response */
	int64_t refuse_starts; /* next rents of reclaimable hosts refused */
	int64_t stale_watch;   /* next watches that repeat old items */
};

struct platform {
	uv_loop_t loop;
	uv_timer_t sweep;
	GHashTable *items;   /* key -> struct item */
	GHashTable *leases;  /* &id -> struct lease */
	GPtrArray *watchers; /* struct watcher */
	GHashTable *hosts;   /* name -> struct host */
	GPtrArray *notices;  /* struct json_object: reclaim notices */
	int64_t revision;
	int64_t host_revision;
	int64_t last_lease_id;
	int64_t rented_count;
	int64_t host_lag;   /* delay of the host list, ms */
	int64_t max_writes; /* per window */
	int64_t max_reads;
	int64_t window_writes; /* in the current window */
	int64_t window_reads;
	clk_ms window_start;
	int64_t total_writes;
	int64_t total_reads;
	struct faults faults;
};

/* A path of the service and the rate limit that applies. */
struct endpoint {
	const char *method;
	const char *path;
	void (*fn)(struct platform *platform, struct http_request *request);
	enum { COUNT_NONE, COUNT_READ, COUNT_WRITE } count;
};

static clk_ms platform_now(const struct platform *platform)
{
	return (clk_ms)uv_now(&platform->loop);
}

static struct json_object *item_to_json(const struct item *item)
{
	struct json_object *obj = json_object_new_object();

	json_add_text(obj, "key", item->key);
	json_add_int(obj, "mod", item->mod);
	if (item->value)
		json_object_object_add(
			obj, "value",
			json_object_new_string_len(item->value->str,
						   (int)item->value->len));
	return obj;
}

/* Lists the items under prefix that changed after a revision. */
static struct json_object *range_to_json(struct platform *platform,
					 const char *prefix, int64_t after,
					 bool with_deleted, size_t *count)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *list = json_object_new_array();
	GHashTableIter iter;
	gpointer value;

	*count = 0;
	g_hash_table_iter_init(&iter, platform->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct item *item = value;

		if (item->mod <= after || !g_str_has_prefix(item->key, prefix))
			continue;
		if (!item->value && !with_deleted)
			continue;
		json_object_array_add(list, item_to_json(item));
		(*count)++;
	}
	json_add_int(obj, "revision", platform->revision);
	json_object_object_add(obj, "items", list);
	return obj;
}

/* Frees a watcher whose request has its response or was disconnected. */
static void watcher_free(void *ptr)
{
	struct watcher *watcher = ptr;

	g_free(watcher->prefix);
	g_free(watcher);
}

static void watcher_on_disconnect(void *ctx)
{
	((struct watcher *)ctx)->disconnected = true;
}

/* Responds to the watchers that have changes or whose deadline has passed. */
static void watchers_notify(struct platform *platform)
{
	for (guint i = platform->watchers->len; i-- > 0;) {
		struct watcher *watcher =
			g_ptr_array_index(platform->watchers, i);
		size_t count = 0;
		struct json_object *obj;

		if (watcher->disconnected) {
			g_ptr_array_remove_index_fast(platform->watchers, i);
			continue;
		}
		if (platform->faults.outage)
			continue;
		obj = range_to_json(platform, watcher->prefix, watcher->after,
				    true, &count);
		if (count == 0 && platform_now(platform) < watcher->deadline) {
			json_object_put(obj);
			continue;
		}
		http_request_on_disconnect(watcher->request, NULL, NULL);
		json_reply(watcher->request, 200, obj);
		g_ptr_array_remove_index_fast(platform->watchers, i);
	}
}

/* Stores a value, or deletes the key if value is NULL. */
static struct item *item_set(struct platform *platform, const char *key,
			     const char *value, size_t len, int64_t lease)
{
	struct item *item = g_hash_table_lookup(platform->items, key);

	if (!item) {
		item = g_new0(struct item, 1);
		item->key = g_strdup(key);
		g_hash_table_insert(platform->items, item->key, item);
	}
	if (item->value)
		g_string_free(item->value, TRUE);
	item->value = value ? g_string_new_len(value, (gssize)len) : NULL;
	item->mod = ++platform->revision;
	item->lease = lease;
	return item;
}

static void kv_get(struct platform *platform, struct http_request *request)
{
	char *key = http_request_query(request, "key");
	struct item *item =
		key ? g_hash_table_lookup(platform->items, key) : NULL;
	struct json_object *obj;

	if (item && item->value) {
		obj = item_to_json(item);
	} else {
		obj = json_object_new_object();
		json_add_int(obj, "mod", 0);
	}
	json_add_int(obj, "revision", platform->revision);
	json_reply(request, 200, obj);
	g_free(key);
}

static void kv_range(struct platform *platform, struct http_request *request)
{
	char *prefix = http_request_query(request, "prefix");
	size_t count;

	json_reply(request, 200,
		   range_to_json(platform, prefix ? prefix : "", 0, false,
				 &count));
	g_free(prefix);
}

static void kv_watch(struct platform *platform, struct http_request *request)
{
	struct watcher *watcher = g_new0(struct watcher, 1);

	watcher->platform = platform;
	watcher->request = request;
	watcher->prefix = http_request_query(request, "prefix");
	if (!watcher->prefix)
		watcher->prefix = g_strdup("");
	watcher->after = fake_query_int(request, "after", 0);
	watcher->deadline =
		platform_now(platform) + fake_query_int(request, "wait_ms", 0);
	if (platform->faults.stale_watch > 0) {
		platform->faults.stale_watch--;
		watcher->after = 0;
	}
	http_request_on_disconnect(request, watcher_on_disconnect, watcher);
	g_ptr_array_add(platform->watchers, watcher);
	watchers_notify(platform);
}

/* Responds to a compare-and-swap with the stored item. */
static void cas_reply(struct platform *platform, struct http_request *request,
		      bool succeeded, const struct item *item)
{
	struct json_object *obj = item && item->value
					  ? item_to_json(item)
					  : json_object_new_object();

	if (!item || !item->value)
		json_add_int(obj, "mod", succeeded && item ? item->mod : 0);
	json_object_object_add(obj, "ok", json_object_new_boolean(succeeded));
	if (platform->faults.lose_cas > 0) {
		platform->faults.lose_cas--;
		json_object_put(obj);
		fake_drop_response(request);
		return;
	}
	json_reply(request, succeeded ? 200 : 409, obj);
}

static void kv_cas(struct platform *platform, struct http_request *request)
{
	struct json_object *body = fake_parse_body(request);
	const char *key;
	const char *value;
	struct item *item;
	int64_t mod;
	bool succeeded;

	if (!body)
		return;
	key = json_text(body, "key", NULL);
	value = json_text(body, "value", NULL);
	if (!key || (value && strlen(value) > MAX_VALUE_LEN)) {
		fake_reply_error(request, 400,
				 "no key, or the value is too long");
		json_object_put(body);
		return;
	}
	item = g_hash_table_lookup(platform->items, key);
	mod = item && item->value ? item->mod : 0;
	succeeded = mod == json_int(body, "expect", -1);
	if (succeeded)
		item = item_set(platform, key, value, value ? strlen(value) : 0,
				json_int(body, "lease", 0));
	cas_reply(platform, request, succeeded, item);
	json_object_put(body);
	if (succeeded)
		watchers_notify(platform);
}

static void lease_reply(struct http_request *request, int status,
			const struct lease *lease)
{
	struct json_object *obj = json_object_new_object();

	json_add_int(obj, "lease", lease ? lease->id : 0);
	json_add_int(obj, "ttl_ms", lease ? lease->ttl : 0);
	json_reply(request, status, obj);
}

static void lease_grant(struct platform *platform, struct http_request *request)
{
	struct json_object *body = fake_parse_body(request);
	struct lease *lease;

	if (!body)
		return;
	lease = g_new0(struct lease, 1);
	lease->id = ++platform->last_lease_id;
	lease->ttl = json_int(body, "ttl_ms", DEFAULT_LEASE_TTL);
	lease->expires_at = platform_now(platform) + lease->ttl;
	g_hash_table_insert(platform->leases, &lease->id, lease);
	lease_reply(request, 200, lease);
	json_object_put(body);
}

static void lease_keep(struct platform *platform, struct http_request *request)
{
	struct json_object *body = fake_parse_body(request);
	struct lease *lease;
	int64_t id;

	if (!body)
		return;
	id = json_int(body, "lease", 0);
	lease = g_hash_table_lookup(platform->leases, &id);
	if (lease)
		lease->expires_at = platform_now(platform) + lease->ttl;
	lease_reply(request, lease ? 200 : 404, lease);
	json_object_put(body);
}

/* Deletes a lease and its keys. */
static void lease_remove(struct platform *platform, int64_t id)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, platform->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct item *item = value;

		if (item->value && item->lease == id)
			item_set(platform, item->key, NULL, 0, 0);
	}
	g_hash_table_remove(platform->leases, &id);
}

static void lease_revoke(struct platform *platform,
			 struct http_request *request)
{
	struct json_object *body = fake_parse_body(request);

	if (!body)
		return;
	lease_remove(platform, json_int(body, "lease", 0));
	lease_reply(request, 200, NULL);
	json_object_put(body);
	watchers_notify(platform);
}

/* Adds or replaces a host; it is listed after the lag. */
static void host_set(struct platform *platform, struct json_object *fields,
		     clk_ms lag)
{
	const char *name = json_text(fields, "name", "");
	struct host *host = g_hash_table_lookup(platform->hosts, name);

	if (!host) {
		host = g_new0(struct host, 1);
		g_hash_table_insert(platform->hosts, g_strdup(name), host);
	}
	json_object_put(host->fields);
	host->fields = json_object_get(fields);
	host->visible_at = platform_now(platform) + lag;
	host->mod = ++platform->host_revision;
	json_add_int(host->fields, "mod", host->mod);
}

static void hosts_list(struct platform *platform, struct http_request *request)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *list = json_object_new_array();
	int64_t after = fake_query_int(request, "after", 0);
	int64_t last_listed = after;
	int64_t first_hidden = INT64_MAX;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, platform->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct host *host = value;

		if (host->visible_at > platform_now(platform)) {
			first_hidden = MIN(first_hidden, host->mod);
			continue;
		}
		if (host->mod <= after)
			continue;
		last_listed = MAX(last_listed, host->mod);
		json_object_array_add(list, json_object_get(host->fields));
	}
	/* All changes up to this revision were listed. */
	json_add_int(obj, "revision", MIN(last_listed, first_hidden - 1));
	json_object_object_add(obj, "items", list);
	json_reply(request, 200, obj);
}

static void hosts_set(struct platform *platform, struct http_request *request)
{
	struct json_object *body = fake_parse_body(request);

	if (!body)
		return;
	host_set(platform, body, platform->host_lag);
	json_object_put(body);
	json_reply(request, 200, json_object_new_object());
}

static void cloud_rent(struct platform *platform, struct http_request *request)
{
	struct json_object *body = fake_parse_body(request);
	char name[64];

	if (!body)
		return;
	if (platform->faults.refuse_starts > 0 &&
	    json_flag(body, "reclaimable", 1)) {
		platform->faults.refuse_starts--;
		fake_reply_error(request, 503, "no capacity");
		json_object_put(body);
		return;
	}
	snprintf(name, sizeof(name), "rented-%" PRId64,
		 ++platform->rented_count);
	json_add_text(body, "name", name);
	json_add_text(body, "state", "live");
	host_set(platform, body, platform->host_lag);
	json_reply(request, 200, body);
}

static void cloud_release(struct platform *platform,
			  struct http_request *request)
{
	struct json_object *body = fake_parse_body(request);
	struct host *host;

	if (!body)
		return;
	host = g_hash_table_lookup(platform->hosts,
				   json_text(body, "name", ""));
	if (host) {
		json_add_text(host->fields, "state", "gone");
		host_set(platform, host->fields, platform->host_lag);
	}
	json_object_put(body);
	json_reply(request, host ? 200 : 404, json_object_new_object());
}

/* Reclaims hosts: issues a notice for each and lists it as "leaving". */
static void cloud_reclaim(struct platform *platform,
			  struct http_request *request)
{
	struct json_object *body = fake_parse_body(request);
	const char *name;
	const char *data_centre;
	GHashTableIter iter;
	gpointer value;

	if (!body)
		return;
	name = json_text(body, "name", "");
	data_centre = json_text(body, "data_centre", "");
	g_hash_table_iter_init(&iter, platform->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct host *host = value;
		struct json_object *fields = host->fields;
		struct json_object *notice;

		if (strcmp(json_text(fields, "name", ""), name) != 0 &&
		    strcmp(json_text(fields, "data_centre", ""), data_centre) !=
			    0)
			continue;
		notice = json_object_new_object();
		json_add_text(notice, "name", json_text(fields, "name", ""));
		json_add_int(notice, "seconds", json_int(body, "seconds", 30));
		json_add_int(notice, "at", platform_now(platform));
		g_ptr_array_add(platform->notices, notice);
		json_add_text(fields, "state", "leaving");
		host->visible_at = platform_now(platform) + platform->host_lag;
		host->mod = ++platform->host_revision;
		json_add_int(fields, "mod", host->mod);
	}
	json_object_put(body);
	json_reply(request, 200, json_object_new_object());
}

static void cloud_notices(struct platform *platform,
			  struct http_request *request)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *list = json_object_new_array();
	int64_t after = fake_query_int(request, "after", 0);

	for (guint i = (guint)after; i < platform->notices->len; i++)
		json_object_array_add(list, json_object_get(g_ptr_array_index(
						    platform->notices, i)));
	json_add_int(obj, "next", platform->notices->len);
	json_object_object_add(obj, "notices", list);
	json_reply(request, 200, obj);
}

static void fault_set(struct platform *platform, struct http_request *request)
{
	struct json_object *body = fake_parse_body(request);
	struct faults *faults = &platform->faults;

	if (!body)
		return;
	faults->outage = json_flag(body, "outage", faults->outage);
	faults->delay_ms = json_int(body, "delay_ms", faults->delay_ms);
	faults->lose_cas = json_int(body, "lose_cas", faults->lose_cas);
	faults->refuse_starts =
		json_int(body, "refuse_starts", faults->refuse_starts);
	faults->stale_watch =
		json_int(body, "stale_watch", faults->stale_watch);
	platform->host_lag = json_int(body, "host_lag_ms", platform->host_lag);
	json_object_put(body);
	json_reply(request, 200, json_object_new_object());
}

static void counters_get(struct platform *platform,
			 struct http_request *request)
{
	struct json_object *obj = json_object_new_object();

	json_add_int(obj, "writes", platform->total_writes);
	json_add_int(obj, "reads", platform->total_reads);
	json_add_int(obj, "revision", platform->revision);
	json_reply(request, 200, obj);
}

static const struct endpoint endpoints[] = {
	{ "GET", "/kv/get", kv_get, COUNT_READ },
	{ "GET", "/kv/range", kv_range, COUNT_READ },
	{ "GET", "/kv/watch", kv_watch, COUNT_READ },
	{ "POST", "/kv/cas", kv_cas, COUNT_WRITE },
	{ "POST", "/lease/grant", lease_grant, COUNT_WRITE },
	{ "POST", "/lease/keep", lease_keep, COUNT_WRITE },
	{ "POST", "/lease/revoke", lease_revoke, COUNT_WRITE },
	{ "GET", "/hosts", hosts_list, COUNT_READ },
	{ "POST", "/hosts", hosts_set, COUNT_NONE },
	{ "POST", "/cloud/rent", cloud_rent, COUNT_NONE },
	{ "POST", "/cloud/release", cloud_release, COUNT_NONE },
	{ "POST", "/cloud/reclaim", cloud_reclaim, COUNT_NONE },
	{ "GET", "/cloud/notices", cloud_notices, COUNT_NONE },
	{ "POST", "/fault", fault_set, COUNT_NONE },
	{ "GET", "/counters", counters_get, COUNT_NONE },
};

/* Counts a request; returns whether it exceeds the rate limit. */
static bool rate_limit_exceeded(struct platform *platform,
				const struct endpoint *endpoint)
{
	clk_ms now = platform_now(platform);

	if (now - platform->window_start >= RATE_WINDOW_MS) {
		platform->window_start = now;
		platform->window_writes = 0;
		platform->window_reads = 0;
	}
	if (endpoint->count == COUNT_WRITE) {
		platform->total_writes++;
		return ++platform->window_writes > platform->max_writes;
	}
	platform->total_reads++;
	return ++platform->window_reads > platform->max_reads;
}

/* Finds the endpoint and serves the request. */
static void request_serve(struct platform *platform,
			  struct http_request *request)
{
	for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++) {
		const struct endpoint *endpoint = &endpoints[i];

		if (!fake_matches(request, endpoint->method, endpoint->path))
			continue;
		if (endpoint->count != COUNT_NONE) {
			if (platform->faults.outage) {
				fake_reply_error(request, 503, "outage");
				return;
			}
			if (rate_limit_exceeded(platform, endpoint)) {
				fake_reply_error(request, 429, "over the rate");
				return;
			}
		}
		endpoint->fn(platform, request);
		return;
	}
	fake_reply_error(request, 404, "no such path");
}

static void delayed_on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void delayed_on_timer(uv_timer_t *timer)
{
	struct delayed *delayed = timer->data;

	if (delayed->request) {
		http_request_on_disconnect(delayed->request, NULL, NULL);
		request_serve(delayed->platform, delayed->request);
	}
	uv_close((uv_handle_t *)timer, delayed_on_closed);
}

static void delayed_on_disconnect(void *ctx)
{
	((struct delayed *)ctx)->request = NULL;
}

static void platform_on_request(void *ctx, struct http_request *request)
{
	struct platform *platform = ctx;
	struct delayed *delayed;

	if (platform->faults.delay_ms == 0 ||
	    fake_matches(request, "POST", "/fault")) {
		request_serve(platform, request);
		return;
	}
	delayed = g_new0(struct delayed, 1);
	delayed->platform = platform;
	delayed->request = request;
	http_request_on_disconnect(request, delayed_on_disconnect, delayed);
	uv_timer_init(&platform->loop, &delayed->timer);
	delayed->timer.data = delayed;
	uv_timer_start(&delayed->timer, delayed_on_timer,
		       (uint64_t)platform->faults.delay_ms, 0);
}

/* Removes expired leases and notifies watchers. */
static void platform_on_sweep(uv_timer_t *timer)
{
	struct platform *platform = timer->data;
	GHashTableIter iter;
	gpointer value;
	GArray *expired = g_array_new(FALSE, FALSE, sizeof(int64_t));

	g_hash_table_iter_init(&iter, platform->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lease *lease = value;

		if (clk_passed(lease->expires_at, platform_now(platform)))
			g_array_append_val(expired, lease->id);
	}
	for (guint i = 0; i < expired->len; i++)
		lease_remove(platform, g_array_index(expired, int64_t, i));
	g_array_free(expired, TRUE);
	watchers_notify(platform);
}

/* Loads {"hosts": [...]} from a file. */
static int hosts_load(struct platform *platform, const char *path)
{
	char *text;
	size_t len;
	struct json_object *obj;
	struct json_object *list;

	if (!g_file_get_contents(path, &text, &len, NULL)) {
		fprintf(stderr, "cannot read hosts file \"%s\"\n", path);
		return -1;
	}
	obj = json_parse_object(text, len);
	g_free(text);
	if (!obj || !json_object_object_get_ex(obj, "hosts", &list)) {
		fprintf(stderr, "\"%s\" has no list \"hosts\"\n", path);
		return -1;
	}
	for (size_t i = 0; i < json_object_array_length(list); i++)
		host_set(platform, json_object_array_get_idx(list, i), 0);
	json_object_put(obj);
	return 0;
}

int main(int argc, const char **argv)
{
	static struct platform platform;
	int port = 0;
	int lag = 1000;
	int writes = 500;
	int reads = 2000;
	char *hosts = NULL;
	struct poptOption options[] = {
		{ "port", 'p', POPT_ARG_INT, &port, 0, "port", "N" },
		{ "hosts", 'H', POPT_ARG_STRING, &hosts, 0, "hosts file", "F" },
		{ "lag", 'l', POPT_ARG_INT, &lag, 0, "delay of the host list",
		  "ms" },
		{ "writes", 'w', POPT_ARG_INT, &writes, 0, "limit per second",
		  "N" },
		{ "reads", 'r', POPT_ARG_INT, &reads, 0, "limit per second",
		  "N" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext popt = poptGetContext(NULL, argc, argv, options, 0);

	if (poptGetNextOpt(popt) < -1)
		return EXIT_FAILURE;
	uv_loop_init(&platform.loop);
	platform.items = g_hash_table_new(g_str_hash, g_str_equal);
	platform.leases = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	platform.hosts = g_hash_table_new(g_str_hash, g_str_equal);
	platform.watchers = g_ptr_array_new_with_free_func(watcher_free);
	platform.notices = g_ptr_array_new();
	platform.host_lag = lag;
	platform.max_writes = writes;
	platform.max_reads = reads;
	if (hosts && hosts_load(&platform, hosts) != 0)
		return EXIT_FAILURE;
	uv_timer_init(&platform.loop, &platform.sweep);
	platform.sweep.data = &platform;
	uv_timer_start(&platform.sweep, platform_on_sweep, SWEEP_MS, SWEEP_MS);
	return fake_serve(&platform.loop, port, platform_on_request, &platform);
}
