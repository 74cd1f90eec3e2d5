/*
 * A stand-in for a plain service: a ledger of calls that may not be repeated
 * (stock posting, permit issue, wallet charge) and an idempotent status
 * query. It executes whatever it gets, a repeated id too: the ledger is what
 * the tests check.
 */
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake.h"

/* One executed call. */
struct entry {
	char *operation;
	char *id;
	char *body;
};

/* A call that slowness holds back before it is executed. */
struct delayed {
	struct service *service;
	struct http_request *call;
	char *operation;
	char *id;
	char *body;
	char *fence; /* as in the header */
	uv_timer_t timer;
};

struct faults {
	int64_t delay_ms; /* before a call is executed */
	int64_t lose;	  /* so many next calls: executed, answer lost */
	int64_t refuse;	  /* so many next calls: 503, not executed */
};

struct service {
	uv_loop_t loop;
	GPtrArray *ledger;  /* struct entry */
	GHashTable *by_id;  /* id -> struct entry */
	GHashTable *fences; /* home -> int64_t * */
	bool check_fence;
	struct faults faults;
};

/* Raises the fencing number of a home; returns whether it was not old. */
static bool fence_raise(struct service *service, const char *home,
			int64_t number)
{
	int64_t *known = g_hash_table_lookup(service->fences, home);

	if (!known) {
		known = g_new0(int64_t, 1);
		g_hash_table_insert(service->fences, g_strdup(home), known);
	}
	if (number < *known)
		return false;
	*known = number;
	return true;
}

/* Checks "home number"; a call without one passes. */
static bool fence_passes(struct service *service, const char *text)
{
	const char *space = strrchr(text, ' ');
	char *home;
	bool passes;

	if (!service->check_fence || !space)
		return true;
	home = g_strndup(text, (gsize)(space - text));
	passes = fence_raise(service, home,
			     g_ascii_strtoll(space + 1, NULL, 10));
	g_free(home);
	return passes;
}

static struct entry *ledger_add(struct service *service,
				const struct delayed *delayed)
{
	struct entry *entry = g_new0(struct entry, 1);

	entry->operation = g_strdup(delayed->operation);
	entry->id = g_strdup(delayed->id);
	entry->body = g_strdup(delayed->body);
	g_ptr_array_add(service->ledger, entry);
	g_hash_table_insert(service->by_id, entry->id, entry);
	return entry;
}

/* Executes a call and answers, unless the caller has gone meanwhile. */
static void delayed_execute(struct delayed *delayed)
{
	struct service *service = delayed->service;
	struct json_object *obj;

	if (!fence_passes(service, delayed->fence)) {
		if (delayed->call)
			fake_reply_error(delayed->call, 409,
					 "old fencing number");
		return;
	}
	ledger_add(service, delayed);
	if (!delayed->call)
		return;
	if (service->faults.lose > 0) {
		service->faults.lose--;
		fake_drop_response(delayed->call);
		return;
	}
	obj = json_object_new_object();
	json_add_text(obj, "done", delayed->operation);
	json_add_text(obj, "id", delayed->id);
	json_add_int(obj, "entry", service->ledger->len);
	json_reply(delayed->call, 200, obj);
}

static void delayed_on_closed(uv_handle_t *handle)
{
	struct delayed *delayed = handle->data;

	g_free(delayed->operation);
	g_free(delayed->id);
	g_free(delayed->body);
	g_free(delayed->fence);
	g_free(delayed);
}

static void delayed_on_timer(uv_timer_t *timer)
{
	struct delayed *delayed = timer->data;

	if (delayed->call)
		http_request_on_disconnect(delayed->call, NULL, NULL);
	delayed_execute(delayed);
	uv_close((uv_handle_t *)timer, delayed_on_closed);
}

static void delayed_on_close(void *ctx)
{
	((struct delayed *)ctx)->call = NULL;
}

/* POST /ledger/OPERATION */
static void ledger_post(void *ctx, struct http_request *call)
{
	struct service *service = ctx;
	struct http_view path = http_request_path(call);
	size_t skip = strlen("/ledger/");
	struct delayed *delayed;

	if (service->faults.refuse > 0) {
		service->faults.refuse--;
		fake_reply_error(call, 503, "not taken");
		return;
	}
	delayed = g_new0(struct delayed, 1);
	delayed->service = service;
	delayed->call = call;
	delayed->operation = g_strndup(path.ptr + skip, path.len - skip);
	delayed->id = fake_view_dup(http_request_header(call, "x-request-id"));
	delayed->fence = fake_view_dup(http_request_header(call, "x-fence"));
	delayed->body = fake_view_dup(http_request_body(call));
	http_request_on_disconnect(call, delayed_on_close, delayed);
	uv_timer_init(&service->loop, &delayed->timer);
	delayed->timer.data = delayed;
	uv_timer_start(&delayed->timer, delayed_on_timer,
		       (uint64_t)service->faults.delay_ms, 0);
}

static void ledger_get(void *ctx, struct http_request *call)
{
	struct service *service = ctx;
	struct json_object *obj = json_object_new_object();
	struct json_object *list = json_object_new_array();

	for (guint i = 0; i < service->ledger->len; i++) {
		struct entry *entry = g_ptr_array_index(service->ledger, i);
		struct json_object *line = json_object_new_object();

		json_add_text(line, "operation", entry->operation);
		json_add_text(line, "id", entry->id);
		json_add_text(line, "body", entry->body);
		json_object_array_add(list, line);
	}
	json_object_object_add(obj, "ledger", list);
	json_reply(call, 200, obj);
}

/* GET /status?id=ID: whether a call with this id was executed. */
static void status_get(void *ctx, struct http_request *call)
{
	struct service *service = ctx;
	char *id = http_request_query(call, "id");
	struct entry *entry =
		id ? g_hash_table_lookup(service->by_id, id) : NULL;
	struct json_object *obj = json_object_new_object();

	json_object_object_add(obj, "ran",
			       json_object_new_boolean(entry != NULL));
	json_add_text(obj, "id", id ? id : "");
	if (entry)
		json_add_text(obj, "done", entry->operation);
	g_free(id);
	json_reply(call, 200, obj);
}

/* POST /status: the same, the id in the header, for routed callers. */
static void status_post(void *ctx, struct http_request *call)
{
	struct service *service = ctx;
	struct json_object *body = fake_parse_body(call);
	struct json_object *obj;
	struct entry *entry;

	if (!body)
		return;
	entry = g_hash_table_lookup(service->by_id, json_text(body, "id", ""));
	obj = json_object_new_object();
	json_object_object_add(obj, "ran",
			       json_object_new_boolean(entry != NULL));
	json_object_put(body);
	json_reply(call, 200, obj);
}

/* POST /fence {"home": TEXT, "fence": N}: older numbers are refused. */
static void fence_post(void *ctx, struct http_request *call)
{
	struct service *service = ctx;
	struct json_object *body = fake_parse_body(call);
	bool raised;

	if (!body)
		return;
	raised = fence_raise(service, json_text(body, "home", ""),
			     json_int(body, "fence", 0));
	json_object_put(body);
	json_reply(call, raised && service->check_fence ? 200 : 409,
		   json_object_new_object());
}

static void fault_set(void *ctx, struct http_request *call)
{
	struct service *service = ctx;
	struct json_object *body = fake_parse_body(call);
	struct faults *faults = &service->faults;

	if (!body)
		return;
	faults->delay_ms = json_int(body, "delay_ms", faults->delay_ms);
	faults->lose = json_int(body, "lose", faults->lose);
	faults->refuse = json_int(body, "refuse", faults->refuse);
	json_object_put(body);
	json_reply(call, 200, json_object_new_object());
}

/* Answers a load report: a plain service takes all it gets. */
static void load_get(void *ctx, struct http_request *call)
{
	struct service *service = ctx;
	struct json_object *obj = json_object_new_object();

	json_add_int(obj, "running", 0);
	json_add_int(obj, "queued", 0);
	json_add_int(obj, "slots", 64);
	json_add_int(obj, "completions", service->ledger->len);
	json_reply(call, 200, obj);
}

static const struct fake_route paths[] = {
	{ "POST", "/ledger/stock", ledger_post },
	{ "POST", "/ledger/permit", ledger_post },
	{ "POST", "/ledger/wallet", ledger_post },
	{ "GET", "/ledger", ledger_get },
	{ "GET", "/status", status_get },
	{ "POST", "/status", status_post },
	{ "POST", "/fence", fence_post },
	{ "GET", "/v1/load", load_get },
	{ "POST", "/fault", fault_set },
	{ .path = NULL },
};

static void service_on_call(void *ctx, struct http_request *call)
{
	fake_dispatch(paths, ctx, call);
}

int main(int argc, const char **argv)
{
	static struct service service;
	int port = 0;
	int check_fence = 0;
	struct poptOption options[] = {
		{ "port", 'p', POPT_ARG_INT, &port, 0, "port", "N" },
		{ "check-fence", 'f', POPT_ARG_NONE, &check_fence, 0,
		  "refuse calls with old fencing numbers", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext popt = poptGetContext(NULL, argc, argv, options, 0);

	if (poptGetNextOpt(popt) < -1)
		return EXIT_FAILURE;
	service.check_fence = check_fence;
	uv_loop_init(&service.loop);
	service.ledger = g_ptr_array_new();
	service.by_id = g_hash_table_new(g_str_hash, g_str_equal);
	service.fences =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return fake_serve(&service.loop, port, service_on_call, &service);
}
