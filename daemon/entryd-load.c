/* Periodic load reports of upstreams. */
#include "entryd.h"

#include <string.h>

#define LOAD_PERIOD_MS 500
#define LOAD_BATCH_MAX 8 /* reports requested in one period */
#define LOAD_TIMEOUT_MS 2000
#define DOWN_RETRY_MS 1000 /* no work after a failed connection */

/* A report that is being fetched. */
struct load_call {
	struct entryd *entryd;
	char *upstream;
	GString *body;
};

static void load_on_data(void *ctx, const char *ptr, size_t len)
{
	struct load_call *call = ctx;

	g_string_append_len(call->body, ptr, (gssize)len);
}

/* Applies a report; an omitted slot count keeps the last one. */
static void load_apply(struct entryd *entryd, struct upstream *upstream,
		       struct json_object *obj)
{
	struct upstream_load load = {
		.running = (int)json_int(obj, "running", 0),
		.queued = (int)json_int(obj, "queued", 0),
		.slots = (int)json_int(obj, "slots", upstream->load.slots),
		.received = entryd_now(entryd),
	};

	router_on_load(entryd->router, upstream, &load);
}

static void load_on_done(void *ctx, enum http_result result, int status)
{
	struct load_call *call = ctx;
	struct entryd *entryd = call->entryd;
	struct upstream *upstream = router_get(entryd->router, call->upstream);
	struct json_object *obj = NULL;

	if (http_result_may_be_whole(result) && status == 200)
		obj = json_parse_object(call->body->str, call->body->len);
	if (obj)
		load_apply(entryd, upstream, obj);
	else if (result == HTTP_CONNECT_FAILED)
		upstream->retry_after = entryd_now(entryd) + DOWN_RETRY_MS;
	json_object_put(obj);
	g_string_free(call->body, TRUE);
	g_free(call->upstream);
	g_free(call);
}

static void load_fetch(struct entryd *entryd, const struct upstream *upstream)
{
	struct load_call *call = g_new0(struct load_call, 1);
	struct http_fetch_spec spec = {
		.address = upstream->address,
		.method = "GET",
		.path = "/v1/load",
		.timeout = LOAD_TIMEOUT_MS,
		.on_data = load_on_data,
		.on_done = load_on_done,
		.ctx = call,
	};

	call->entryd = entryd;
	call->upstream = g_strdup(upstream->name);
	call->body = g_string_new(NULL);
	http_fetch_start(entryd->client, &spec);
}

/* Queues the upstreams whose reports the next round fetches. */
static void load_begin_round(struct entryd *entryd)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entryd->router->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct upstream *upstream = value;

		if (upstream->in_subset && upstream->state != UPSTREAM_GONE &&
		    upstream->address[0])
			g_queue_push_tail(&entryd->load_queue, value);
	}
}

/* Dispatches the queued requests of all pools, as far as slots are free. */
static void pools_dispatch(struct entryd *entryd)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entryd->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		pool_dispatch(entryd, value);
}

/* Fetches the next load reports, and retries queued requests. */
void load_tick(struct entryd *entryd)
{
	clk_ms now = entryd_now(entryd);
	guint due;

	if (now < entryd->next_load)
		return;
	if (entryd->load_queue.length == 0)
		load_begin_round(entryd);
	entryd->next_load = now + LOAD_PERIOD_MS;
	due = MIN(entryd->load_queue.length, LOAD_BATCH_MAX);
	while (due-- > 0)
		load_fetch(entryd, g_queue_pop_head(&entryd->load_queue));
	pools_dispatch(entryd);
}
