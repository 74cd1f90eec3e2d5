/*
 * Determines whether a dispatched call ran after its answer was lost.
 *
 * An upstream that checks fencing tokens is first sent a new one. It then
 * rejects older dispatches, so an id that it does not know did not run and will
 * not. Without fencing, a status query can prove only that a call ran: one that
 * was not seen yet may still arrive.
 */
#include "entryd.h"

#include <string.h>

#define PROBE_MAX_TRIES 5
#define PROBE_RETRY_MS 300
#define PROBE_TIMEOUT_MS 2000

struct probe {
	struct entryd *entryd;
	char *id;
	char *address;
	char *status_path;
	char *primary;	       /* whose calls are fenced off */
	int64_t fencing_token; /* 0: none can be sent */
	bool fenced;	       /* the upstream accepted the token */
	unsigned tries;
	GString *body;
	uv_timer_t timer;
};

static void probe_send(struct probe *probe);

static void probe_on_closed(uv_handle_t *handle)
{
	struct probe *probe = handle->data;

	g_string_free(probe->body, TRUE);
	g_free(probe->id);
	g_free(probe->address);
	g_free(probe->status_path);
	g_free(probe->primary);
	g_free(probe);
}

/* Ends the probe. If neither ran nor not_run is proved, the outcome is
 * unknown. */
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
	probe_send(timer->data);
}

/* Retries after PROBE_RETRY_MS, up to PROBE_MAX_TRIES. */
static void probe_retry(struct probe *probe)
{
	if (++probe->tries >= PROBE_MAX_TRIES)
		probe_finish(probe, false, false);
	else
		uv_timer_start(&probe->timer, probe_on_timer, PROBE_RETRY_MS,
			       0);
}

static void status_on_done(void *ctx, enum http_result result, int status)
{
	struct probe *probe = ctx;
	struct json_object *obj = NULL;
	bool known = false;
	bool ran = false;

	if (http_result_may_be_whole(result) && status == 200)
		obj = json_parse_object(probe->body->str, probe->body->len);
	known = obj && json_object_object_get_ex(obj, "ran", NULL);
	ran = known && json_flag(obj, "ran", 0);
	json_object_put(obj);
	if (ran)
		probe_finish(probe, true, false);
	else if (known && probe->fenced)
		probe_finish(probe, false, true);
	else
		probe_retry(probe);
}

static void token_on_done(void *ctx, enum http_result result, int status)
{
	struct probe *probe = ctx;

	probe->fenced = http_result_may_be_whole(result) && status == 200;
	if (probe->fenced)
		probe_send(probe);
	else
		probe_retry(probe);
}

/* Sends the upstream the new fencing token. */
static void probe_send_token(struct probe *probe)
{
	struct json_object *obj = json_object_new_object();
	struct http_fetch_spec spec = {
		.address = probe->address,
		.method = "POST",
		.path = "/fence",
		.timeout = PROBE_TIMEOUT_MS,
		.on_data = probe_on_data,
		.on_done = token_on_done,
		.ctx = probe,
	};
	const char *text;
	size_t len;

	json_add_text(obj, "home", probe->primary);
	json_add_int(obj, "fence", probe->fencing_token);
	text = json_print(obj, &len);
	spec.body = g_bytes_new(text, len);
	http_fetch_start(probe->entryd->client, &spec);
	g_bytes_unref(spec.body);
	json_object_put(obj);
}

/* Asks the upstream whether the id ran. */
static void probe_query_status(struct probe *probe)
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

static void probe_send(struct probe *probe)
{
	g_string_truncate(probe->body, 0);
	if (probe->fencing_token > 0 && !probe->fenced)
		probe_send_token(probe);
	else
		probe_query_status(probe);
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
	probe->primary = g_strdup(req->rid.primary);
	/* Only a host that took over has a token greater than the one of the
	 * dispatch. */
	if (job->fencing && req->inherited)
		probe->fencing_token =
			replica_fencing_token(entryd->replica, req);
	probe->body = g_string_new(NULL);
	uv_timer_init(&entryd->loop, &probe->timer);
	probe->timer.data = probe;
	probe_send(probe);
}
