/* rw-admind: request routing and process start and stop. */
#include "admind.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../wire/args.h"
#include "../wire/budget.h"
#include "../wire/log.h"

#define MAX_BODY (1 << 20) /* bytes */
#define SETTINGS_PATH "/v1/settings/"
#define RELAY_TIMEOUT_MS 2000

/* A request that is forwarded to an entry host. */
struct relay {
	struct admind *admind;
	struct http_request *request;
	char *method;
	char *path;
	size_t entry; /* index of the entry host in use */
	GString *body;
};

static void relay_send(struct relay *relay);

static void relay_free(struct relay *relay)
{
	g_string_free(relay->body, TRUE);
	g_free(relay->method);
	g_free(relay->path);
	g_free(relay);
}

static void relay_on_disconnect(void *ctx)
{
	((struct relay *)ctx)->request = NULL;
}

static void relay_on_data(void *ctx, const char *ptr, size_t len)
{
	struct relay *relay = ctx;

	g_string_append_len(relay->body, ptr, (gssize)len);
}

static void relay_on_done(void *ctx, enum http_result result, int status)
{
	struct relay *relay = ctx;

	if (!relay->request) {
		relay_free(relay);
		return;
	}
	if (result != HTTP_COMPLETE) {
		relay->entry++;
		relay_send(relay);
		return;
	}
	http_request_on_disconnect(relay->request, NULL, NULL);
	http_response_send(relay->request, status, "application/json",
			   relay->body->str, relay->body->len);
	relay_free(relay);
}

/* Forwards the request to the current entry host, or fails after the last. */
static void relay_send(struct relay *relay)
{
	char **entries = relay->admind->conf->entries;
	struct http_fetch_spec spec = {
		.method = relay->method,
		.path = relay->path,
		.timeout = RELAY_TIMEOUT_MS,
		.on_data = relay_on_data,
		.on_done = relay_on_done,
		.ctx = relay,
	};

	g_string_truncate(relay->body, 0);
	if (relay->entry >= g_strv_length(entries)) {
		http_request_on_disconnect(relay->request, NULL, NULL);
		admind_reply_error(relay->request, RW_ENOUPSTREAM,
				   "no entry host of the settings answers",
				   NULL);
		relay_free(relay);
		return;
	}
	spec.address = entries[relay->entry];
	http_fetch_start(relay->admind->client, &spec);
}

/* Forwards a request to the first entry host that responds. */
static void relay_start(struct admind *admind, struct http_request *request,
			const char *path)
{
	struct relay *relay = g_new0(struct relay, 1);
	struct http_view method = http_request_method(request);

	relay->admind = admind;
	relay->request = request;
	relay->method = g_strndup(method.ptr, method.len);
	relay->path = g_strdup(path);
	relay->body = g_string_new(NULL);
	http_request_on_disconnect(request, relay_on_disconnect, relay);
	relay_send(relay);
}

/* A range read from the platform. */
struct listing {
	struct http_request *request;
	size_t prefix_len; /* length of the prefix removed from keys */
};

static void listing_on_disconnect(void *ctx)
{
	((struct listing *)ctx)->request = NULL;
}

static void listing_on_done(void *ctx, struct json_object *response)
{
	struct listing *listing = ctx;
	struct json_object *list = NULL;
	struct json_object *items = json_object_new_array();
	struct json_object *obj;

	if (response)
		json_object_object_get_ex(response, "items", &list);
	for (size_t i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		struct json_object *shown = json_object_new_object();

		json_add_text(shown, "key",
			      json_text(item, "key", "") + listing->prefix_len);
		json_add_int(shown, "revision", json_int(item, "mod", 0));
		json_add_text(shown, "stored", json_text(item, "value", ""));
		json_object_array_add(items, shown);
	}
	obj = json_object_new_object();
	json_object_object_add(obj, "items", items);
	if (listing->request)
		http_request_on_disconnect(listing->request, NULL, NULL);
	if (listing->request && response)
		json_reply(listing->request, 200, obj);
	else if (listing->request)
		admind_reply_error(listing->request, RW_EPLATFORM, "", obj);
	else
		json_object_put(obj);
	g_free(listing);
}

/* Lists the platform's keys under a prefix, optionally narrowed by the query
 * parameter "prefix". */
static void list_keys(struct admind *admind, struct http_request *request,
		      const char *prefix)
{
	struct listing *listing = g_new0(struct listing, 1);
	char *subprefix = http_request_query(request, "prefix");
	char *full = g_strconcat(prefix, subprefix ? subprefix : "", NULL);

	listing->request = request;
	listing->prefix_len = strlen(prefix);
	http_request_on_disconnect(request, listing_on_disconnect, listing);
	plat_range(admind->plat, full, listing_on_done, listing);
	g_free(full);
	g_free(subprefix);
}

static void list_settings(struct admind *admind, struct http_request *request)
{
	list_keys(admind, request, "settings/");
}

/* Lists the records that the primaries keep on the platform. */
static void list_replicas(struct admind *admind, struct http_request *request)
{
	list_keys(admind, request, "home/");
}

static void get_hosts(struct admind *admind, struct http_request *request)
{
	relay_start(admind, request, "/v1/hosts");
}

static void get_upstreams(struct admind *admind, struct http_request *request)
{
	relay_start(admind, request, "/v1/upstreams");
}

static void post_drain(struct admind *admind, struct http_request *request)
{
	char *upstream = http_request_query(request, "upstream");
	char *undo = http_request_query(request, "back");
	char *escaped =
		g_uri_escape_string(upstream ? upstream : "", NULL, FALSE);
	char *path = g_strdup_printf("/v1/drain?upstream=%s%s", escaped,
				     undo ? "&back=1" : "");

	relay_start(admind, request, path);
	g_free(path);
	g_free(escaped);
	g_free(undo);
	g_free(upstream);
}

static void get_counters(struct admind *admind, struct http_request *request)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
			       "accepted %" PRIu64 "\nconflicts %" PRIu64
			       "\nunsure %" PRIu64 "\n",
			       admind->accepted, admind->conflicts,
			       admind->unresolved);
	budget_print(text);
	http_response_send(request, 200, "text/plain", text->str, text->len);
	g_string_free(text, TRUE);
}

/* A path other than that of a single setting. */
struct route {
	const char *method;
	const char *path;
	void (*fn)(struct admind *admind, struct http_request *request);
};

static const struct route routes[] = {
	{ "GET", "/v1/settings", list_settings },
	{ "GET", "/v1/holders", list_replicas },
	{ "GET", "/v1/hosts", get_hosts },
	{ "GET", "/v1/upstreams", get_upstreams },
	{ "POST", "/v1/drain", post_drain },
	{ "GET", "/v1/counters", get_counters },
};

/* A method on a single setting. */
struct setting_method {
	const char *method;
	void (*fn)(struct admind *admind, struct http_request *request,
		   const char *key);
};

static const struct setting_method setting_methods[] = {
	{ "GET", admind_setting_get },
	{ "PUT", admind_setting_put },
	{ "DELETE", admind_setting_delete },
};

static bool view_equals(struct http_view view, const char *text)
{
	return view.len == strlen(text) && !memcmp(view.ptr, text, view.len);
}

/* Serves a request for one setting. */
static void serve_setting(struct admind *admind, struct http_request *request,
			  const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(setting_methods); i++) {
		if (view_equals(http_request_method(request),
				setting_methods[i].method)) {
			setting_methods[i].fn(admind, request, key);
			return;
		}
	}
	admind_reply_error(request, RW_EMETHOD, "", NULL);
}

static void on_request(void *ctx, struct http_request *request)
{
	struct admind *admind = ctx;
	struct http_view path = http_request_path(request);
	size_t prefix_len = strlen(SETTINGS_PATH);
	enum err_kind kind = RW_ENOROUTE;
	char *key;

	if (path.len > prefix_len &&
	    !memcmp(path.ptr, SETTINGS_PATH, prefix_len)) {
		key = g_strndup(path.ptr + prefix_len, path.len - prefix_len);
		serve_setting(admind, request, key);
		g_free(key);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
		if (!view_equals(path, routes[i].path))
			continue;
		kind = RW_EMETHOD;
		if (view_equals(http_request_method(request),
				routes[i].method)) {
			routes[i].fn(admind, request);
			return;
		}
	}
	admind_reply_error(request, kind, "", NULL);
}

static void on_signal(uv_signal_t *handle, int signum)
{
	struct admind *admind = handle->data;

	(void)signum;
	http_server_stop(admind->server);
	uv_signal_stop(handle);
}

/* Stops the loop once the server was stopped and every request has its
 * response. */
static void on_stop_timer(uv_timer_t *timer)
{
	struct admind *admind = timer->data;

	if (http_server_stopped(admind->server) &&
	    http_server_open_requests(admind->server) == 0)
		uv_stop(&admind->loop);
}

static void budget_begin(struct admind *admind)
{
	const struct conf_admin *conf = admind->conf;
	struct budget_options options = {
		.loop = &admind->loop,
		.limit = budget_limit(conf->budget_mb, conf->memory_mb),
		.memory_mb = conf->memory_mb,
		.descriptors = conf->descriptors,
		.log = log_event,
	};

	budget_start(&options);
}

/* Loads the settings and opens the log, platform client and server. */
static bool admind_open(struct admind *admind, const char *path, GError **error)
{
	struct http_server_options options = {
		.max_body = MAX_BODY,
		.on_request = on_request,
		.ctx = admind,
	};

	admind->conf = conf_load(CONF_ADMIN, path, error);
	if (!admind->conf || log_open("rw-admind", admind->conf->log_level,
				      admind->conf->log_file, error) != 0)
		return false;
	uv_loop_init(&admind->loop);
	budget_begin(admind);
	admind->rand = g_rand_new();
	g_snprintf(admind->instance, sizeof(admind->instance), "admin~%08x",
		   g_rand_int(admind->rand));
	admind->client = http_client_create(&admind->loop);
	admind->plat = plat_create(admind->client, admind->conf->platform);
	options.address = admind->conf->address;
	options.port = (int)admind->conf->http_port;
	admind->server = http_server_create(&admind->loop, &options, error);
	return admind->server != NULL;
}

int main(int argc, const char **argv)
{
	static struct admind admind;
	static uv_signal_t term;
	static uv_timer_t stop_timer;
	GError *error = NULL;
	const char *path = args_settings_file(argc, argv);

	if (!path)
		return EXIT_FAILURE;
	signal(SIGPIPE, SIG_IGN);
	if (!admind_open(&admind, path, &error)) {
		fprintf(stderr, "rw-admind: %s\n", error->message);
		return EXIT_FAILURE;
	}
	uv_signal_init(&admind.loop, &term);
	term.data = &admind;
	uv_signal_start(&term, on_signal, SIGTERM);
	uv_timer_init(&admind.loop, &stop_timer);
	stop_timer.data = &admind;
	uv_timer_start(&stop_timer, on_stop_timer, 100, 100);
	printf("listening %d\n", http_server_port(admind.server));
	fflush(stdout);
	log_notice("administration API on port %d",
		   http_server_port(admind.server));
	uv_run(&admind.loop, UV_RUN_DEFAULT);
	log_close();
	return EXIT_SUCCESS;
}
