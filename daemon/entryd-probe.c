/*
 * Finding out whether a dispatched call ran, when its answer was lost.
 *
 * An upstream that checks fencing numbers is shown the new one first: after
 * that an older dispatch can't run any more, so an id that it does not know
 * did not run. Without that, a status query proves only that a call ran.
 */
#include "entryd.h"

#include <string.h>

#define PROBE_TRIES 5
#define PROBE_GAP_MS 300
#define PROBE_TIMEOUT_MS 2000

struct probe {
	struct entryd *entryd;
	char *id;
	char *address;
	char *status_path;
	char *owner;   /* home whose fencing number is raised */
	int64_t fence; /* 0: the upstream does not check it */
	bool raised;
	unsigned tries;
	GString *body;
	uv_timer_t timer;
};

static void probe_ask(struct probe *probe);

static void probe_on_closed(uv_handle_t *handle)
{
	struct probe *probe = handle->data;

	g_string_free(probe->body, TRUE);
	g_free(probe->id);
	g_free(probe->address);
	g_free(probe->status_path);
	g_free(probe->owner);
	g_free(probe);
}

/* Ends the probe with what was found. */
static void probe_finish(struct probe *probe, bool ran, bool not_run)
{
	struct entryd *entryd = probe->entryd;
	struct req *req = replica_find(entryd->replica, probe->id);
	clk_ms now = entryd_now(entryd);

	uv_close((uv_handle_t *)&probe->timer, probe_on_closed);
	if (!req || (req->answer.ended && req_ran(req) != ERR_RAN_UNKNOWN))
		return;
	if (ran) {
		if (!req->answer.ended && req_chunk_count(req) == 0)
			replica_chunk(entryd->replica, req, probe->body->str,
				      probe->body->len, now);
		replica_end(entryd->replica, req, RW_OK, 200, now);
	} else if (not_run) {
		replica_prove_not_run(entryd->replica, req, now);
	} else {
		replica_end(entryd->replica, req, RW_EUNKNOWN, 0, now);
	}
}

static void probe_on_data(void *ctx, const char *ptr, size_t len)
{
	struct probe *probe = ctx;

	g_string_append_len(probe->body, ptr, (gssize)len);
}

static void probe_on_timer(uv_timer_t *timer)
{
	probe_ask(timer->data);
}

/* Asks again after a while, or gives up. */
static void probe_again(struct probe *probe)
{
	if (++probe->tries >= PROBE_TRIES)
		probe_finish(probe, false, false);
	else
		uv_timer_start(&probe->timer, probe_on_timer, PROBE_GAP_MS, 0);
}

static void status_on_done(void *ctx, enum http_result result, int status)
{
	struct probe *probe = ctx;
	struct json_object *obj = NULL;
	bool known = false;
	bool ran = false;

	if (result == HTTP_COMPLETE && status == 200)
		obj = json_parse_object(probe->body->str, probe->body->len);
	known = obj && json_object_object_get_ex(obj, "ran", NULL);
	ran = known && json_flag(obj, "ran", 0);
	json_object_put(obj);
	if (ran)
		probe_finish(probe, true, false);
	else if (known && probe->raised)
		probe_finish(probe, false, true);
	else
		probe_again(probe);
}

static void fence_on_done(void *ctx, enum http_result result, int status)
{
	struct probe *probe = ctx;

	probe->raised = result == HTTP_COMPLETE && status == 200;
	if (probe->raised)
		probe_ask(probe);
	else
		probe_again(probe);
}

/* Shows the upstream the new fencing number. */
static void probe_raise(struct probe *probe)
{
	struct json_object *obj = json_object_new_object();
	struct http_fetch_spec spec = {
		.address = probe->address,
		.method = "POST",
		.path = "/fence",
		.timeout = PROBE_TIMEOUT_MS,
		.on_data = probe_on_data,
		.on_done = fence_on_done,
		.ctx = probe,
	};
	const char *text;
	size_t len;

	json_add_text(obj, "home", probe->owner);
	json_add_int(obj, "fence", probe->fence);
	text = json_print(obj, &len);
	spec.body = g_bytes_new(text, len);
	http_fetch_start(probe->entryd->client, &spec);
	g_bytes_unref(spec.body);
	json_object_put(obj);
}

/* Asks the upstream whether the id ran. */
static void probe_status(struct probe *probe)
{
	char *id = g_uri_escape_string(probe->id, NULL, FALSE);
	char *path = g_strdup_printf("%s?id=%s", probe->status_path, id);
	struct http_fetch_spec spec = {
		.address = probe->address,
		.method = "GET",
		.path = path,
		.timeout = PROBE_TIMEOUT_MS,
		.on_data = probe_on_data,
		.on_done = status_on_done,
		.ctx = probe,
	};

	http_fetch_start(probe->entryd->client, &spec);
	g_free(path);
	g_free(id);
}

static void probe_ask(struct probe *probe)
{
	g_string_truncate(probe->body, 0);
	if (probe->fence > 0 && !probe->raised)
		probe_raise(probe);
	else
		probe_status(probe);
}

void probe_start(struct job *job)
{
	struct entryd *entryd = job->entryd;
	struct req *req = job->req;
	struct probe *probe;
	struct upstream *upstream;

	if (!job->status_path || !job->status_path[0] ||
	    !req->attempt.upstream) {
		replica_end(entryd->replica, req, RW_EUNKNOWN, 0,
			    entryd_now(entryd));
		return;
	}
	upstream = router_get(entryd->router, req->attempt.upstream);
	probe = g_new0(struct probe, 1);
	probe->entryd = entryd;
	probe->id = g_strdup(req->id);
	probe->address = g_strdup(upstream->address);
	probe->status_path = g_strdup(job->status_path);
	probe->owner = g_strdup(req->rid.primary);
	/* Only a host that took over has a number above the old one. */
	if (job->fencing && req->inherited)
		probe->fence = replica_fencing_token(entryd->replica, req);
	probe->body = g_string_new(NULL);
	uv_timer_init(&entryd->loop, &probe->timer);
	probe->timer.data = probe;
	probe_ask(probe);
}
