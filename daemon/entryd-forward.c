/*
 * Forwarding of calls to the host that has the authority over their request.
 *
 * A call goes to the primary that its id names, if that host is alive. Else the
 * primary's record on the platform names its standby or the host that sealed
 * it. The search is repeated until one of them answers, but only for a short
 * time: then the caller receives an error, as the outcome is unknown.
 */
#include "entryd.h"

#include <string.h>

#define FORWARD_MAX_HOPS 4     /* between hosts, for one call */
#define FORWARD_SEARCH_MS 8000 /* to find a host with the authority */
#define FORWARD_RETRY_MS 200   /* between the first two searches */
#define RETRY_MAX_DOUBLINGS 2  /* of FORWARD_RETRY_MS */
#define FORWARD_IDLE_MS 30000  /* idle timeout of the answering host */
#define RECORD_MAX_FOLLOWED 4  /* records followed in one search */

/* A read of a record; it may end after its forward was freed. */
struct forward_read {
	struct forward *forward; /* NULL: freed */
};

struct forward {
	struct entryd *entryd;
	struct http_request *call; /* NULL: answered or disconnected */
	char *id;		   /* "" if the call names none */
	char *primary; /* where searches start: named by the id, or the acting
			* host of a remainder; "" for any host */
	char *target;  /* incarnation that is tried now */
	unsigned records_followed; /* in this search */
	unsigned hops;
	unsigned retries; /* searches after the first */
	char *method;
	char *path;
	char *headers;
	GBytes *body;
	bool remainder; /* of an answer that this host began */
	bool head_sent; /* HTTP status and headers, to the caller */
	clk_ms search_deadline;
	struct http_fetch *fetch;
	struct forward_read *read; /* in flight, or NULL */
	GString *response;	   /* a body that is not an event stream */
	int status;
	uv_timer_t timer;
	bool closing;
};

static void forward_step(struct forward *forward);

static void forward_on_closed(uv_handle_t *handle)
{
	struct forward *forward = handle->data;

	forward->entryd->forward_count--;
	g_free(forward->id);
	g_free(forward->primary);
	g_free(forward->target);
	g_free(forward->method);
	g_free(forward->path);
	g_free(forward->headers);
	if (forward->body)
		g_bytes_unref(forward->body);
	g_string_free(forward->response, TRUE);
	g_free(forward);
}

/* Frees a forward whose call is answered or disconnected. */
static void forward_free(struct forward *forward)
{
	if (forward->closing)
		return;
	forward->closing = true;
	if (forward->fetch)
		http_fetch_cancel(forward->fetch);
	forward->fetch = NULL;
	if (forward->read)
		forward->read->forward = NULL;
	uv_close((uv_handle_t *)&forward->timer, forward_on_closed);
}

static void forward_on_disconnect(void *ctx)
{
	struct forward *forward = ctx;

	forward->call = NULL;
	forward_free(forward);
}

/* Frees a forward and returns its call. */
static struct http_request *forward_take_call(struct forward *forward)
{
	struct http_request *call = forward->call;

	http_request_on_disconnect(call, NULL, NULL);
	forward->call = NULL;
	forward_free(forward);
	return call;
}

/* Answers the call with an error, or aborts it if its head was sent. */
static void forward_fail(struct forward *forward, enum err_kind kind)
{
	bool head_sent = forward->head_sent;
	struct http_request *call = forward_take_call(forward);

	/* A caller resumes an aborted stream by its id; an error event would
	 * end it. */
	if (head_sent)
		http_response_abort(call);
	else
		answer_error(call, kind, 0, "");
}

static void forward_on_timer(uv_timer_t *timer)
{
	forward_step(timer->data);
}

/* Starts a new search after a delay, or fails the call. */
static void forward_retry(struct forward *forward)
{
	uint64_t delay;

	if (entryd_now(forward->entryd) >= forward->search_deadline) {
		forward_fail(forward, RW_EUNKNOWN);
		return;
	}
	/* The new search starts at the primary, as the authority may have moved
	 * again. */
	g_free(forward->target);
	forward->target = g_strdup(forward->primary);
	forward->records_followed = 0;
	delay = FORWARD_RETRY_MS << MIN(forward->retries, RETRY_MAX_DOUBLINGS);
	forward->retries++;
	uv_timer_start(&forward->timer, forward_on_timer, delay, 0);
}

static void relay_on_head(void *ctx, int status)
{
	struct forward *forward = ctx;

	forward->status = status;
	if (!http_fetch_is_event_stream(forward->fetch) || forward->head_sent)
		return;
	forward->head_sent = true;
	http_response_start(forward->call, status, EVENT_TYPE);
}

static void relay_on_data(void *ctx, const char *ptr, size_t len)
{
	struct forward *forward = ctx;

	if (http_fetch_is_event_stream(forward->fetch))
		http_response_write(forward->call, ptr, len);
	else
		g_string_append_len(forward->response, ptr, (gssize)len);
}

/* Relays a response that is not a stream, as an error event if the head of a
 * stream was sent. */
static void relay_body(struct forward *forward)
{
	GString *response = forward->response;
	struct http_request *call = forward->call;

	http_request_on_disconnect(call, NULL, NULL);
	forward->call = NULL;
	if (forward->head_sent) {
		g_strchomp(response->str);
		http_response_write(call, "event: error\ndata: ", 19);
		http_response_write(call, response->str, strlen(response->str));
		http_response_write(call, "\n\n", 2);
		http_response_end(call);
	} else {
		http_response_send(call, forward->status, JSON_TYPE,
				   response->str, response->len);
	}
	forward_free(forward);
}

static void relay_on_done(void *ctx, enum http_result result, int status)
{
	struct forward *forward = ctx;
	bool events = http_fetch_is_event_stream(forward->fetch);

	forward->fetch = NULL;
	forward->status = status;
	if (result == HTTP_COMPLETE && events)
		http_response_end(forward_take_call(forward));
	else if (result == HTTP_COMPLETE)
		relay_body(forward);
	else if (events)
		/* The relayed stream is truncated: the caller requests the
		 * remainder. */
		http_response_abort(forward_take_call(forward));
	else
		forward_retry(forward);
}

/* Forwards the call to a host and relays the response. */
static void relay_start(struct forward *forward, const char *address)
{
	char *headers = g_strdup_printf("%sx-hops: %u\r\n", forward->headers,
					forward->hops + 1);
	struct http_fetch_spec spec = {
		.address = address,
		.method = forward->method,
		.path = forward->path,
		.headers = headers,
		.body = forward->body,
		.idle_timeout = FORWARD_IDLE_MS,
		.on_head = relay_on_head,
		.on_data = relay_on_data,
		.on_done = relay_on_done,
		.ctx = forward,
	};

	entryd_count(forward->entryd, CTR_forwarded);
	g_string_truncate(forward->response, 0);
	forward->fetch = http_fetch_start(forward->entryd->client, &spec);
	g_free(headers);
}

/* Follows a record to the host that has the authority now. */
static void forward_follow(struct forward *forward,
			   const struct replica_record *record)
{
	struct entryd *entryd = forward->entryd;
	bool own = replica_is_self(entryd->replica, record->peer);

	if (record->state == RECORD_NONE) {
		/* No live host has this name, and it has no record. */
		forward_fail(forward, RW_EUNKNOWN);
		return;
	}
	if (!record->peer[0]) {
		forward_retry(forward);
		return;
	}
	if (record->state == RECORD_OPEN && own) {
		replica_take_over(entryd->replica, forward->target,
				  entryd_now(entryd));
		forward_retry(forward);
		return;
	}
	if (record->state == RECORD_OPEN &&
	    !member_is_live(entryd->members, record->peer)) {
		forward_retry(forward);
		return;
	}
	forward->records_followed++;
	g_free(forward->target);
	forward->target = g_strdup(record->peer);
	forward_step(forward);
}

static void forward_on_record(void *ctx, enum plat_outcome outcome,
			      const char *value, int64_t mod)
{
	struct forward_read *read = ctx;
	struct forward *forward = read->forward;
	struct replica_record record;

	g_free(read);
	if (!forward)
		return;
	forward->read = NULL;
	if (outcome != PLAT_OK) {
		forward_retry(forward);
		return;
	}
	record_parse(value, mod, &record);
	forward_follow(forward, &record);
}

/* Reads the record of the target. */
static void forward_read_record(struct forward *forward)
{
	char *key = g_strconcat(RECORD_PREFIX, forward->target, NULL);

	forward->read = g_new0(struct forward_read, 1);
	forward->read->forward = forward;
	plat_get(forward->entryd->plat, key, forward_on_record, forward->read);
	g_free(key);
}

/* Returns a live host, for calls that name no primary. */
static const struct member *forward_pick_host(struct entryd *entryd)
{
	return member_pick(entryd->members, "", "");
}

/* Returns whether this host answers the call itself. */
static bool forward_is_local(struct forward *forward)
{
	struct entryd *entryd = forward->entryd;
	struct req *req;

	if (forward->remainder || !forward->primary[0])
		return false;
	req = replica_find(entryd->replica, forward->id);
	if (req)
		return req->phase != REQ_MOVED || req->answer.ended;
	return replica_authority(entryd->replica, forward->target) ==
	       REPLICA_LOCAL;
}

static void forward_step(struct forward *forward)
{
	struct entryd *entryd = forward->entryd;
	const struct member *member;

	if (forward_is_local(forward)) {
		call_serve_local(entryd, forward_take_call(forward));
		return;
	}
	member = forward->primary[0]
			 ? member_find(entryd->members, forward->target)
			 : forward_pick_host(entryd);
	if (member && member->info.state != MEMBER_DEAD)
		relay_start(forward, member->info.http);
	else if (!forward->target[0] ||
		 forward->records_followed >= RECORD_MAX_FOLLOWED)
		forward_retry(forward);
	else
		forward_read_record(forward);
}

/* Creates a forward of a call; id, method, path and headers are set later. */
static struct forward *forward_create(struct entryd *entryd,
				      struct http_request *call,
				      const char *primary)
{
	struct forward *forward = g_new0(struct forward, 1);
	struct http_view hops = http_request_header(call, "x-hops");

	forward->entryd = entryd;
	forward->call = call;
	forward->primary = g_strdup(primary);
	forward->target = g_strdup(primary);
	forward->response = g_string_new(NULL);
	forward->hops = hops.len == 1 ? (unsigned)(hops.ptr[0] - '0') : 0;
	forward->search_deadline = entryd_now(entryd) + FORWARD_SEARCH_MS;
	entryd->forward_count++;
	uv_timer_init(&entryd->loop, &forward->timer);
	forward->timer.data = forward;
	http_request_on_disconnect(call, forward_on_disconnect, forward);
	return forward;
}

/* Returns the headers of a call that are forwarded. */
static char *headers_copy(struct http_request *call)
{
	static const char *const names[] = { "x-account", "x-request-id",
					     "last-event-id", "accept",
					     "traceparent" };
	GString *text = g_string_new("content-type: application/json\r\n");

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		struct http_view view = http_request_header(call, names[i]);

		if (view.len > 0)
			g_string_append_printf(text, "%s: %.*s\r\n", names[i],
					       (int)view.len, view.ptr);
	}
	return g_string_free(text, FALSE);
}

/* Returns the request id that a call names, or "". */
static char *call_id(struct http_request *call)
{
	struct http_view header = http_request_header(call, "x-request-id");
	struct http_view path = http_request_path(call);
	size_t skip = strlen(REQUEST_PREFIX);

	if (header.len > 0)
		return g_strndup(header.ptr, header.len);
	if (path.len > skip && !memcmp(path.ptr, REQUEST_PREFIX, skip))
		return g_strndup(path.ptr + skip, path.len - skip);
	return g_strdup("");
}

void forward_call(struct entryd *entryd, struct http_request *call,
		  const char *primary)
{
	struct forward *forward = forward_create(entryd, call, primary);
	struct http_view method = http_request_method(call);
	struct http_view path = http_request_path(call);
	struct http_view body = http_request_body(call);

	forward->id = call_id(call);
	forward->method = g_strndup(method.ptr, method.len);
	forward->path = g_strndup(path.ptr, path.len);
	forward->headers = headers_copy(call);
	if (body.len > 0)
		forward->body = g_bytes_new(body.ptr, body.len);
	if (forward->hops >= FORWARD_MAX_HOPS)
		forward_fail(forward, RW_EUNKNOWN);
	else
		forward_step(forward);
}

void forward_remainder(struct entryd *entryd, struct http_request *call,
		       const char *id, const char *host, size_t next,
		       bool streaming, bool head_sent)
{
	struct forward *forward = forward_create(entryd, call, host);
	GString *headers = g_string_new(NULL);

	forward->id = g_strdup(id);
	forward->remainder = true;
	forward->head_sent = head_sent;
	forward->method = g_strdup("GET");
	forward->path = g_strconcat(REQUEST_PREFIX, id, NULL);
	if (streaming)
		g_string_append(headers, "accept: text/event-stream\r\n");
	if (next > 0)
		g_string_append_printf(headers, "last-event-id: %zu\r\n",
				       next - 1);
	forward->headers = g_string_free(headers, FALSE);
	/* The host that takes over may not have sealed the record yet. */
	uv_timer_start(&forward->timer, forward_on_timer, FORWARD_RETRY_MS, 0);
}
