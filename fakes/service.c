/*
 * A fake plain service: a ledger of calls that are not idempotent (stock
 * posting, permit issue, wallet charge) and an idempotent status query. It
 * executes every call that it receives, also one with a repeated id, so that
 * tests can detect repeated execution in the ledger.
 */
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fake.h"

#define EXIT_DELAY_MS 20 /* for the response's bytes to be written */

/* An executed call. */
struct entry {
	char *operation;
	char *id;
	char *body;
};

/* A call that is executed after delay_ms. */
struct delayed {
	struct service *service;
	struct http_request *request;
	char *operation;
	char *id;
	char *body;
	char *fencing_token; /* header value: primary and number */
	uv_timer_t timer;
};

struct faults {
	int64_t delay_ms; /* before a call is executed */
	int64_t lose;	  /* next calls executed without a response */
	int64_t refuse;	  /* next calls refused with 503, not executed */
	int64_t half;	  /* next responses end in order after half the body */
	bool unframed;	  /* responses have no length and no chunks */
	bool exit;	  /* the process ends instead of the half response */
};

struct service {
	uv_loop_t loop;
	uv_timer_t exit_timer;
	GPtrArray *ledger;	    /* struct entry */
	GHashTable *by_id;	    /* id -> struct entry */
	GHashTable *fencing_tokens; /* primary -> int64_t *, the newest */
	bool check_fencing_token;
	struct faults faults;
};

/* Raises the fencing token of a primary; returns false if token is older. */
static bool fencing_token_raise(struct service *service, const char *primary,
				int64_t token)
{
	int64_t *newest = g_hash_table_lookup(service->fencing_tokens, primary);

	if (!newest) {
		newest = g_new0(int64_t, 1);
		g_hash_table_insert(service->fencing_tokens, g_strdup(primary),
				    newest);
	}
	if (token < *newest)
		return false;
	*newest = token;
	return true;
}

/* Checks the text "primary number". A call without one is accepted, and any
 * call if tokens are not checked. */
static bool fencing_token_is_valid(struct service *service, const char *text)
{
	const char *space = strrchr(text, ' ');
	char *primary;
	bool valid;

	if (!service->check_fencing_token || !space)
		return true;
	primary = g_strndup(text, (gsize)(space - text));
	valid = fencing_token_raise(service, primary,
				    g_ascii_strtoll(space + 1, NULL, 10));
	g_free(primary);
	return valid;
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

static void exit_on_timer(uv_timer_t *timer)
{
	(void)timer;
	_exit(EXIT_SUCCESS); /* the kernel closes the connections in order */
}

/* Responds to a routed call, with the active faults. */
static void service_reply(struct service *service, struct http_request *request,
			  int status, struct json_object *obj)
{
	struct faults *faults = &service->faults;
	bool half = faults->half > 0;
	size_t len;
	const char *text = json_print(obj, &len);

	if (!half && !faults->unframed) {
		json_reply(request, status, obj);
		return;
	}
	if (faults->unframed)
		http_response_omit_framing(request);
	http_response_start(request, status, "application/json");
	http_response_write(request, text, half ? len / 2 : len);
	if (half)
		faults->half--;
	if (half && faults->exit)
		uv_timer_start(&service->exit_timer, exit_on_timer,
			       EXIT_DELAY_MS, 0);
	else
		http_response_end(request);
	json_object_put(obj);
}

/* Executes a call and responds, unless the caller has disconnected. */
static void delayed_execute(struct delayed *delayed)
{
	struct service *service = delayed->service;
	struct json_object *obj;

	if (!fencing_token_is_valid(service, delayed->fencing_token)) {
		if (delayed->request)
			fake_reply_error(delayed->request, 409,
					 "old fencing number");
		return;
	}
	ledger_add(service, delayed);
	if (!delayed->request)
		return;
	if (service->faults.lose > 0) {
		service->faults.lose--;
		fake_drop_response(delayed->request);
		return;
	}
	obj = json_object_new_object();
	json_add_text(obj, "done", delayed->operation);
	json_add_text(obj, "id", delayed->id);
	json_add_int(obj, "entry", service->ledger->len);
	service_reply(service, delayed->request, 200, obj);
}

static void delayed_on_closed(uv_handle_t *handle)
{
	struct delayed *delayed = handle->data;

	g_free(delayed->operation);
	g_free(delayed->id);
	g_free(delayed->body);
	g_free(delayed->fencing_token);
	g_free(delayed);
}

static void delayed_on_timer(uv_timer_t *timer)
{
	struct delayed *delayed = timer->data;

	if (delayed->request)
		http_request_on_disconnect(delayed->request, NULL, NULL);
	delayed_execute(delayed);
	uv_close((uv_handle_t *)timer, delayed_on_closed);
}

static void delayed_on_disconnect(void *ctx)
{
	((struct delayed *)ctx)->request = NULL;
}

/* POST /ledger/OPERATION */
static void ledger_post(void *ctx, struct http_request *request)
{
	struct service *service = ctx;
	struct http_view path = http_request_path(request);
	size_t skip = strlen("/ledger/");
	struct delayed *delayed;

	if (service->faults.refuse > 0) {
		struct json_object *obj = json_object_new_object();

		service->faults.refuse--;
		json_add_text(obj, "error", "not taken");
		service_reply(service, request, 503, obj);
		return;
	}
	delayed = g_new0(struct delayed, 1);
	delayed->service = service;
	delayed->request = request;
	delayed->operation = g_strndup(path.ptr + skip, path.len - skip);
	delayed->id =
		fake_view_dup(http_request_header(request, "x-request-id"));
	delayed->fencing_token =
		fake_view_dup(http_request_header(request, "x-fence"));
	delayed->body = fake_view_dup(http_request_body(request));
	http_request_on_disconnect(request, delayed_on_disconnect, delayed);
	uv_timer_init(&service->loop, &delayed->timer);
	delayed->timer.data = delayed;
	uv_timer_start(&delayed->timer, delayed_on_timer,
		       (uint64_t)service->faults.delay_ms, 0);
}

static void ledger_get(void *ctx, struct http_request *request)
{
	struct service *service = ctx;
	struct json_object *obj = json_object_new_object();
	struct json_object *list = json_object_new_array();

	for (guint i = 0; i < service->ledger->len; i++) {
		struct entry *entry = g_ptr_array_index(service->ledger, i);
		struct json_object *item = json_object_new_object();

		json_add_text(item, "operation", entry->operation);
		json_add_text(item, "id", entry->id);
		json_add_text(item, "body", entry->body);
		json_object_array_add(list, item);
	}
	json_object_object_add(obj, "ledger", list);
	json_reply(request, 200, obj);
}

/* GET /status?id=ID: whether a call with this id was executed. */
static void status_get(void *ctx, struct http_request *request)
{
	struct service *service = ctx;
	char *id = http_request_query(request, "id");
	struct entry *entry =
		id ? g_hash_table_lookup(service->by_id, id) : NULL;
	struct json_object *obj = json_object_new_object();

	json_object_object_add(obj, "ran",
			       json_object_new_boolean(entry != NULL));
	json_add_text(obj, "id", id ? id : "");
	if (entry)
		json_add_text(obj, "done", entry->operation);
	g_free(id);
	json_reply(request, 200, obj);
}

/* POST /status {"id": ID}: the same, for calls routed through the system. */
static void status_post(void *ctx, struct http_request *request)
{
	struct service *service = ctx;
	struct json_object *body = fake_parse_body(request);
	struct json_object *obj;
	struct entry *entry;

	if (!body)
		return;
	entry = g_hash_table_lookup(service->by_id, json_text(body, "id", ""));
	obj = json_object_new_object();
	json_object_object_add(obj, "ran",
			       json_object_new_boolean(entry != NULL));
	json_object_put(body);
	service_reply(service, request, 200, obj);
}

/* POST /fence {"home": TEXT, "fence": N}: responds with 409 to an older token,
 * and to any if tokens are not checked. */
static void fence_post(void *ctx, struct http_request *request)
{
	struct service *service = ctx;
	struct json_object *body = fake_parse_body(request);
	bool raised;

	if (!body)
		return;
	raised = fencing_token_raise(service, json_text(body, "home", ""),
				     json_int(body, "fence", 0));
	json_object_put(body);
	json_reply(request, raised && service->check_fencing_token ? 200 : 409,
		   json_object_new_object());
}

static void fault_set(void *ctx, struct http_request *request)
{
	struct service *service = ctx;
	struct json_object *body = fake_parse_body(request);
	struct faults *faults = &service->faults;

	if (!body)
		return;
	faults->delay_ms = json_int(body, "delay_ms", faults->delay_ms);
	faults->lose = json_int(body, "lose", faults->lose);
	faults->refuse = json_int(body, "refuse", faults->refuse);
	faults->half = json_int(body, "half", faults->half);
	faults->unframed = json_flag(body, "unframed", faults->unframed);
	faults->exit = json_flag(body, "exit", faults->exit);
	json_object_put(body);
	json_reply(request, 200, json_object_new_object());
}

/* GET /v1/load: a plain service always reports itself as idle. */
static void load_get(void *ctx, struct http_request *request)
{
	struct service *service = ctx;
	struct json_object *obj = json_object_new_object();

	json_add_int(obj, "running", 0);
	json_add_int(obj, "queued", 0);
	json_add_int(obj, "slots", 64);
	json_add_int(obj, "completions", service->ledger->len);
	json_reply(request, 200, obj);
}

static const struct fake_route routes[] = {
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

static void service_on_request(void *ctx, struct http_request *request)
{
	fake_dispatch(routes, ctx, request);
}

int main(int argc, const char **argv)
{
	static struct service service;
	int port = 0;
	int check_fencing_token = 0;
	struct poptOption options[] = {
		{ "port", 'p', POPT_ARG_INT, &port, 0, "port", "N" },
		{ "check-fence", 'f', POPT_ARG_NONE, &check_fencing_token, 0,
		  "refuse calls with old fencing tokens", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext popt = poptGetContext(NULL, argc, argv, options, 0);

	if (poptGetNextOpt(popt) < -1)
		return EXIT_FAILURE;
	service.check_fencing_token = check_fencing_token;
	uv_loop_init(&service.loop);
	uv_timer_init(&service.loop, &service.exit_timer);
	service.ledger = g_ptr_array_new();
	service.by_id = g_hash_table_new(g_str_hash, g_str_equal);
	service.fencing_tokens =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return fake_serve(&service.loop, port, service_on_request, &service);
}
