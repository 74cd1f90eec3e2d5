/* rw-admind: paths and process. */
#include "admind.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../wire/log.h"
#include "../wire/args.h"

#define MAX_BODY (1 << 20)
#define SETTINGS_PATH "/v1/settings/"
#define ENTRY_TIMEOUT_MS 2000

/* A call that is passed on to an entry host. */
struct pass {
	struct admind *admind;
	struct http_request *call;
	char *method;
	char *path;
	size_t entry; /* number of the one that is asked */
	GString *body;
};

static void pass_try(struct pass *pass);

static void pass_free(struct pass *pass)
{
	g_string_free(pass->body, TRUE);
	g_free(pass->method);
	g_free(pass->path);
	g_free(pass);
}

static void pass_on_close(void *ctx)
{
	((struct pass *)ctx)->call = NULL;
}

static void pass_on_data(void *ctx, const char *ptr, size_t len)
{
	struct pass *pass = ctx;

	g_string_append_len(pass->body, ptr, (gssize)len);
}

static void pass_on_done(void *ctx, enum http_result result, int status)
{
	struct pass *pass = ctx;

	if (!pass->call) {
		pass_free(pass);
		return;
	}
	if (result != HTTP_COMPLETE) {
		pass->entry++;
		pass_try(pass);
		return;
	}
	http_request_on_disconnect(pass->call, NULL, NULL);
	http_response_send(pass->call, status, "application/json",
			   pass->body->str, pass->body->len);
	pass_free(pass);
}

/* Asks the next entry host. */
static void pass_try(struct pass *pass)
{
	char **entries = pass->admind->conf->entries;
	struct http_fetch_spec spec = {
		.method = pass->method,
		.path = pass->path,
		.timeout = ENTRY_TIMEOUT_MS,
		.on_data = pass_on_data,
		.on_done = pass_on_done,
		.ctx = pass,
	};

	g_string_truncate(pass->body, 0);
	if (pass->entry >= g_strv_length(entries)) {
		http_request_on_disconnect(pass->call, NULL, NULL);
		admind_reply_error(pass->call, RW_ENOUPSTREAM,
				   "no entry host of the settings answers",
				   NULL);
		pass_free(pass);
		return;
	}
	spec.address = entries[pass->entry];
	http_fetch_start(pass->admind->client, &spec);
}

/* Passes a call on to the first entry host that answers. */
static void pass_start(struct admind *admind, struct http_request *call,
		       const char *path)
{
	struct pass *pass = g_new0(struct pass, 1);
	struct http_view method = http_request_method(call);

	pass->admind = admind;
	pass->call = call;
	pass->method = g_strndup(method.ptr, method.len);
	pass->path = g_strdup(path);
	pass->body = g_string_new(NULL);
	http_request_on_disconnect(call, pass_on_close, pass);
	pass_try(pass);
}

/* A list that the platform is asked for. */
struct listing {
	struct http_request *call;
	size_t skip; /* bytes of the prefix that is not shown */
};

static void listing_on_close(void *ctx)
{
	((struct listing *)ctx)->call = NULL;
}

static void listing_on_done(void *ctx, struct json_object *answer)
{
	struct listing *listing = ctx;
	struct json_object *list = NULL;
	struct json_object *shown = json_object_new_array();
	struct json_object *obj;

	if (answer)
		json_object_object_get_ex(answer, "items", &list);
	for (size_t i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		struct json_object *line = json_object_new_object();

		json_add_text(line, "key",
			      json_text(item, "key", "") + listing->skip);
		json_add_int(line, "revision", json_int(item, "mod", 0));
		json_add_text(line, "stored", json_text(item, "value", ""));
		json_object_array_add(shown, line);
	}
	obj = json_object_new_object();
	json_object_object_add(obj, "items", shown);
	if (listing->call)
		http_request_on_disconnect(listing->call, NULL, NULL);
	if (listing->call && answer)
		json_reply(listing->call, 200, obj);
	else if (listing->call)
		admind_reply_error(listing->call, RW_EPLATFORM, "", obj);
	else
		json_object_put(obj);
	g_free(listing);
}

/* Lists what the platform has under a prefix. */
static void list_keys(struct admind *admind, struct http_request *call,
		      const char *prefix)
{
	struct listing *listing = g_new0(struct listing, 1);
	char *under = http_request_query(call, "prefix");
	char *full = g_strconcat(prefix, under ? under : "", NULL);

	listing->call = call;
	listing->skip = strlen(prefix);
	http_request_on_disconnect(call, listing_on_close, listing);
	plat_range(admind->plat, full, listing_on_done, listing);
	g_free(full);
	g_free(under);
}

static void list_settings(struct admind *admind, struct http_request *call)
{
	list_keys(admind, call, "settings/");
}

/* Who holds what: the records of the homes. */
static void list_holders(struct admind *admind, struct http_request *call)
{
	list_keys(admind, call, "home/");
}

static void get_hosts(struct admind *admind, struct http_request *call)
{
	pass_start(admind, call, "/v1/hosts");
}

static void get_upstreams(struct admind *admind, struct http_request *call)
{
	pass_start(admind, call, "/v1/upstreams");
}

static void post_drain(struct admind *admind, struct http_request *call)
{
	char *upstream = http_request_query(call, "upstream");
	char *back = http_request_query(call, "back");
	char *escaped =
		g_uri_escape_string(upstream ? upstream : "", NULL, FALSE);
	char *path = g_strdup_printf("/v1/drain?upstream=%s%s", escaped,
				     back ? "&back=1" : "");

	pass_start(admind, call, path);
	g_free(path);
	g_free(escaped);
	g_free(back);
	g_free(upstream);
}

static void get_counters(struct admind *admind, struct http_request *call)
{
	char text[128];
	int len = snprintf(text, sizeof(text),
			   "accepted %" PRIu64 "\nconflicts %" PRIu64
			   "\nunsure %" PRIu64 "\n",
			   admind->accepted, admind->conflicts,
			   admind->unresolved);

	http_response_send(call, 200, "text/plain", text, (size_t)len);
}

/* One path that is not a setting's. */
struct path {
	const char *method;
	const char *path;
	void (*fn)(struct admind *admind, struct http_request *call);
};

static const struct path paths[] = {
	{ "GET", "/v1/settings", list_settings },
	{ "GET", "/v1/holders", list_holders },
	{ "GET", "/v1/hosts", get_hosts },
	{ "GET", "/v1/upstreams", get_upstreams },
	{ "POST", "/v1/drain", post_drain },
	{ "GET", "/v1/counters", get_counters },
};

/* What can be done with one setting. */
struct verb {
	const char *method;
	void (*fn)(struct admind *admind, struct http_request *call,
		   const char *key);
};

static const struct verb verbs[] = {
	{ "GET", admind_setting_get },
	{ "PUT", admind_setting_put },
	{ "DELETE", admind_setting_delete },
};

static bool view_is(struct http_view view, const char *text)
{
	return view.len == strlen(text) && !memcmp(view.ptr, text, view.len);
}

/* Serves a call about one setting. */
static void serve_setting(struct admind *admind, struct http_request *call,
			  const char *key)
{
	for (size_t i = 0; i < G_N_ELEMENTS(verbs); i++) {
		if (view_is(http_request_method(call), verbs[i].method)) {
			verbs[i].fn(admind, call, key);
			return;
		}
	}
	admind_reply_error(call, RW_EMETHOD, "", NULL);
}

static void on_call(void *ctx, struct http_request *call)
{
	struct admind *admind = ctx;
	struct http_view path = http_request_path(call);
	size_t skip = strlen(SETTINGS_PATH);
	enum err_kind kind = RW_ENOROUTE;
	char *key;

	if (path.len > skip && !memcmp(path.ptr, SETTINGS_PATH, skip)) {
		key = g_strndup(path.ptr + skip, path.len - skip);
		serve_setting(admind, call, key);
		g_free(key);
		return;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
		if (!view_is(path, paths[i].path))
			continue;
		kind = RW_EMETHOD;
		if (view_is(http_request_method(call), paths[i].method)) {
			paths[i].fn(admind, call);
			return;
		}
	}
	admind_reply_error(call, kind, "", NULL);
}

static void on_signal(uv_signal_t *handle, int signum)
{
	struct admind *admind = handle->data;

	(void)signum;
	http_server_stop(admind->server);
	uv_signal_stop(handle);
}

/* Ends the process once it has stopped and every call is answered. */
static void on_tick(uv_timer_t *timer)
{
	struct admind *admind = timer->data;

	if (http_server_stopped(admind->server) &&
	    http_server_open_requests(admind->server) == 0)
		uv_stop(&admind->loop);
}

/* Opens everything that the settings name. */
static bool admind_open(struct admind *admind, const char *path, GError **error)
{
	struct http_server_options options = {
		.max_body = MAX_BODY,
		.on_request = on_call,
		.ctx = admind,
	};

	admind->conf = conf_load(CONF_ADMIN, path, error);
	if (!admind->conf || log_open("rw-admind", admind->conf->log_level,
				      admind->conf->log_file, error) != 0)
		return false;
	uv_loop_init(&admind->loop);
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
	static uv_timer_t tick;
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
	uv_timer_init(&admind.loop, &tick);
	tick.data = &admind;
	uv_timer_start(&tick, on_tick, 100, 100);
	printf("listening %d\n", http_server_port(admind.server));
	fflush(stdout);
	log_notice("administration API on port %d",
		   http_server_port(admind.server));
	uv_run(&admind.loop, UV_RUN_DEFAULT);
	log_close();
	return EXIT_SUCCESS;
}
