/* Client of the platform's key-value service and list of hosts. */
#include "plat.h"

#include <string.h>

#define CALL_TIMEOUT_MS 2000

struct plat {
	struct http_client *client;
	char *address;
	uint64_t calls;
	uint64_t failures;
};

/* One call in progress. */
struct plat_call {
	struct plat *plat;
	GString *body;
	plat_item_fn item_fn;
	plat_list_fn list_fn;
	void *ctx;
};

struct plat *plat_create(struct http_client *client, const char *address)
{
	struct plat *plat = g_new0(struct plat, 1);

	plat->client = client;
	plat->address = g_strdup(address);
	return plat;
}

static void call_on_data(void *ctx, const char *ptr, size_t len)
{
	struct plat_call *call = ctx;

	g_string_append_len(call->body, ptr, (gssize)len);
}

/* Passes the result of a get or compare-and-swap to its callback. */
static void item_finish(struct plat_call *call, int status,
			struct json_object *response)
{
	enum plat_outcome outcome = status == 200 ? PLAT_OK : PLAT_CONFLICT;

	if (!response || (status != 200 && status != 409))
		call->item_fn(call->ctx, PLAT_UNKNOWN, NULL, 0);
	else
		call->item_fn(call->ctx, outcome,
			      json_text(response, "value", NULL),
			      json_int(response, "mod", 0));
}

static void call_on_done(void *ctx, enum http_result result, int status)
{
	struct plat_call *call = ctx;
	struct json_object *response = NULL;

	if (http_result_may_be_whole(result))
		response = json_parse_object(call->body->str, call->body->len);
	if (!response || (status != 200 && status != 409))
		call->plat->failures++;
	if (call->item_fn)
		item_finish(call, status, response);
	else
		call->list_fn(call->ctx, status == 200 ? response : NULL);
	json_object_put(response);
	g_string_free(call->body, TRUE);
	g_free(call);
}

/* Starts a call; takes over path and the reference to body. */
static void call_start(struct plat_call *call, const char *method, char *path,
		       struct json_object *body, clk_ms timeout)
{
	struct http_fetch_spec spec = {
		.address = call->plat->address,
		.method = method,
		.path = path,
		.timeout = timeout,
		.on_data = call_on_data,
		.on_done = call_on_done,
		.ctx = call,
	};
	size_t len;

	call->body = g_string_new(NULL);
	call->plat->calls++;
	if (body) {
		const char *text = json_print(body, &len);

		spec.body = g_bytes_new(text, len);
	}
	http_fetch_start(call->plat->client, &spec);
	if (spec.body)
		g_bytes_unref(spec.body);
	json_object_put(body);
	g_free(path);
}

static struct plat_call *call_create(struct plat *plat, plat_item_fn item_fn,
				     plat_list_fn list_fn, void *ctx)
{
	struct plat_call *call = g_new0(struct plat_call, 1);

	call->plat = plat;
	call->item_fn = item_fn;
	call->list_fn = list_fn;
	call->ctx = ctx;
	return call;
}

/* Percent-encodes a string for a query. */
static char *query_escape(const char *text)
{
	return g_uri_escape_string(text, NULL, FALSE);
}

void plat_get(struct plat *plat, const char *key, plat_item_fn fn, void *ctx)
{
	char *escaped = query_escape(key);

	call_start(call_create(plat, fn, NULL, ctx), "GET",
		   g_strdup_printf("/kv/get?key=%s", escaped), NULL,
		   CALL_TIMEOUT_MS);
	g_free(escaped);
}

void plat_cas(struct plat *plat, const char *key, const char *value,
	      int64_t expect, plat_item_fn fn, void *ctx)
{
	struct json_object *body = json_object_new_object();

	json_add_text(body, "key", key);
	if (value)
		json_add_text(body, "value", value);
	json_add_int(body, "expect", expect);
	call_start(call_create(plat, fn, NULL, ctx), "POST",
		   g_strdup("/kv/cas"), body, CALL_TIMEOUT_MS);
}

void plat_range(struct plat *plat, const char *prefix, plat_list_fn fn,
		void *ctx)
{
	char *escaped = query_escape(prefix);

	call_start(call_create(plat, NULL, fn, ctx), "GET",
		   g_strdup_printf("/kv/range?prefix=%s", escaped), NULL,
		   CALL_TIMEOUT_MS);
	g_free(escaped);
}

void plat_watch(struct plat *plat, const char *prefix, int64_t after,
		clk_ms wait, plat_list_fn fn, void *ctx)
{
	char *escaped = query_escape(prefix);

	call_start(call_create(plat, NULL, fn, ctx), "GET",
		   g_strdup_printf("/kv/watch?prefix=%s&after=%" PRId64
				   "&wait_ms=%" PRId64,
				   escaped, after, wait),
		   NULL, wait + CALL_TIMEOUT_MS);
	g_free(escaped);
}

void plat_hosts(struct plat *plat, int64_t after, plat_list_fn fn, void *ctx)
{
	call_start(call_create(plat, NULL, fn, ctx), "GET",
		   g_strdup_printf("/hosts?after=%" PRId64, after), NULL,
		   CALL_TIMEOUT_MS);
}

uint64_t plat_calls(const struct plat *plat)
{
	return plat->calls;
}

uint64_t plat_failures(const struct plat *plat)
{
	return plat->failures;
}
