/*
 * Requests of other homes: finding who has the authority, and passing on.
 *
 * The home that an id names is asked if it lives; else its record tells who
 * guards it or sealed it. Until one of them answers, the caller waits, but
 * not for long: then it is told that nobody knows.
 */
#include "entryd.h"

#include <string.h>

#define FORWARD_HOPS 4	    /* hosts that a call passes at most */
#define FORWARD_FOR_MS 8000 /* for a host with authority to be found */
#define FORWARD_GAP_MS 200  /* between the first two tries */
#define GAP_DOUBLINGS 2
#define FORWARD_IDLE_MS 30000 /* silence of a host that answers */
#define RECORD_HOPS 4	      /* seals followed from one home on */

/* One read of a record for a forward, which may be gone when it ends. */
struct forward_read {
	struct forward *forward; /* NULL: gone */
};

struct forward {
	struct entryd *entryd;
	struct http_request *call; /* NULL: its caller has gone */
	char *id;		   /* "" if the call names none */
	char *home;		   /* as the id says; "" for any host */
	char *target;		   /* incarnation that is tried now */
	unsigned seals;		   /* records followed */
	unsigned hops;
	unsigned tries; /* searches begun anew */
	char *method;
	char *path;
	char *headers;
	GBytes *body;
	bool rest;    /* the rest of an answer that began here */
	bool started; /* the head was sent to the caller */
	clk_ms until;
	struct http_fetch *fetch;
	struct forward_read *read; /* under way, or NULL */
	GString *whole;		   /* an answer that is not a stream */
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
	g_free(forward->home);
	g_free(forward->target);
	g_free(forward->method);
	g_free(forward->path);
	g_free(forward->headers);
	if (forward->body)
		g_bytes_unref(forward->body);
	g_string_free(forward->whole, TRUE);
	g_free(forward);
}

/* Gives a forward up; its caller has its answer or is gone. */
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

static void forward_on_close(void *ctx)
{
	struct forward *forward = ctx;

	forward->call = NULL;
	forward_free(forward);
}

/* Takes the call back from the forward. */
static struct http_request *forward_take_call(struct forward *forward)
{
	struct http_request *call = forward->call;

	http_request_on_disconnect(call, NULL, NULL);
	forward->call = NULL;
	forward_free(forward);
	return call;
}

/* Answers an error, whatever was sent before. */
static void forward_fail(struct forward *forward, enum err_kind kind)
{
	bool started = forward->started;
	struct http_request *call = forward_take_call(forward);

	/* A cut stream is asked for again by its id; an error would end it. */
	if (started)
		http_response_abort(call);
	else
		answer_error(call, kind, 0, "");
}

static void forward_on_timer(uv_timer_t *timer)
{
	forward_step(timer->data);
}

/* Tries again a little later, or gives up. */
static void forward_again(struct forward *forward)
{
	uint64_t wait;

	if (entryd_now(forward->entryd) >= forward->until) {
		forward_fail(forward, RW_EUNKNOWN);
		return;
	}
	/* The search begins anew: authority may have moved on. */
	g_free(forward->target);
	forward->target = g_strdup(forward->home);
	forward->seals = 0;
	wait = FORWARD_GAP_MS << MIN(forward->tries, GAP_DOUBLINGS);
	forward->tries++;
	uv_timer_start(&forward->timer, forward_on_timer, wait, 0);
}

static void relay_on_head(void *ctx, int status)
{
	struct forward *forward = ctx;

	forward->status = status;
	if (!http_fetch_is_event_stream(forward->fetch) || forward->started)
		return;
	forward->started = true;
	http_response_start(forward->call, status, EVENT_TYPE);
}

static void relay_on_data(void *ctx, const char *ptr, size_t len)
{
	struct forward *forward = ctx;

	if (http_fetch_is_event_stream(forward->fetch))
		http_response_write(forward->call, ptr, len);
	else
		g_string_append_len(forward->whole, ptr, (gssize)len);
}

/* Passes a whole answer on, as an event if a stream has begun. */
static void relay_reply(struct forward *forward)
{
	GString *whole = forward->whole;
	struct http_request *call = forward->call;

	http_request_on_disconnect(call, NULL, NULL);
	forward->call = NULL;
	if (forward->started) {
		g_strchomp(whole->str);
		http_response_write(call, "event: error\ndata: ", 19);
		http_response_write(call, whole->str, strlen(whole->str));
		http_response_write(call, "\n\n", 2);
		http_response_end(call);
	} else {
		http_response_send(call, forward->status, JSON_TYPE, whole->str,
				   whole->len);
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
		relay_reply(forward);
	else if (events)
		/* What was passed on is cut: the caller asks again. */
		http_response_abort(forward_take_call(forward));
	else
		forward_again(forward);
}

/* Passes the call on to a host. */
static void relay_start(struct forward *forward, const char *http)
{
	char *headers = g_strdup_printf("%sx-hops: %u\r\n", forward->headers,
					forward->hops + 1);
	struct http_fetch_spec spec = {
		.address = http,
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
	g_string_truncate(forward->whole, 0);
	forward->fetch = http_fetch_start(forward->entryd->client, &spec);
	g_free(headers);
}

/* Follows a record to who has the authority now. */
static void follow(struct forward *forward, const struct replica_record *record)
{
	struct entryd *entryd = forward->entryd;
	bool mine = replica_is_self(entryd->replica, record->peer);

	if (record->state == RECORD_NONE) {
		/* No host is known by that name, and none has a record. */
		forward_fail(forward, RW_EUNKNOWN);
		return;
	}
	if (!record->peer[0]) {
		forward_again(forward);
		return;
	}
	if (record->state == RECORD_OPEN && mine) {
		replica_take_over(entryd->replica, forward->target,
				  entryd_now(entryd));
		forward_again(forward);
		return;
	}
	if (record->state == RECORD_OPEN &&
	    !member_is_live(entryd->members, record->peer)) {
		forward_again(forward);
		return;
	}
	forward->seals++;
	g_free(forward->target);
	forward->target = g_strdup(record->peer);
	forward_step(forward);
}

static void read_on_done(void *ctx, enum plat_outcome outcome,
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
		forward_again(forward);
		return;
	}
	record_parse(value, mod, &record);
	follow(forward, &record);
}

/* Reads the record of the host that is tried now. */
static void read_start(struct forward *forward)
{
	char *key = g_strconcat(RECORD_PREFIX, forward->target, NULL);

	forward->read = g_new0(struct forward_read, 1);
	forward->read->forward = forward;
	plat_get(forward->entryd->plat, key, read_on_done, forward->read);
	g_free(key);
}

/* Finds any host that can be a home, for callers who name none. */
static const struct member *any_home(struct entryd *entryd)
{
	return member_pick(entryd->members, "", "");
}

/* Tells whether this host itself answers. */
static bool is_here(struct forward *forward)
{
	struct entryd *entryd = forward->entryd;
	struct req *req;

	if (forward->rest || !forward->home[0])
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

	if (is_here(forward)) {
		call_serve_local(entryd, forward_take_call(forward));
		return;
	}
	member = forward->home[0]
			 ? member_find(entryd->members, forward->target)
			 : any_home(entryd);
	if (member && member->info.state != MEMBER_DEAD)
		relay_start(forward, member->info.http);
	else if (!forward->target[0] || forward->seals >= RECORD_HOPS)
		forward_again(forward);
	else
		read_start(forward);
}

/* Creates a forward of a call, without its request. */
static struct forward *forward_create(struct entryd *entryd,
				      struct http_request *call,
				      const char *home)
{
	struct forward *forward = g_new0(struct forward, 1);
	struct http_view hops = http_request_header(call, "x-hops");

	forward->entryd = entryd;
	forward->call = call;
	forward->home = g_strdup(home);
	forward->target = g_strdup(home);
	forward->whole = g_string_new(NULL);
	forward->hops = hops.len == 1 ? (unsigned)(hops.ptr[0] - '0') : 0;
	forward->until = entryd_now(entryd) + FORWARD_FOR_MS;
	entryd->forward_count++;
	uv_timer_init(&entryd->loop, &forward->timer);
	forward->timer.data = forward;
	http_request_on_disconnect(call, forward_on_close, forward);
	return forward;
}

/* Copies the headers that matter to another host. */
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

/* The id that a call names, or "". */
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
		  const char *home)
{
	struct forward *forward = forward_create(entryd, call, home);
	struct http_view method = http_request_method(call);
	struct http_view path = http_request_path(call);
	struct http_view body = http_request_body(call);

	forward->id = call_id(call);
	forward->method = g_strndup(method.ptr, method.len);
	forward->path = g_strndup(path.ptr, path.len);
	forward->headers = headers_copy(call);
	if (body.len > 0)
		forward->body = g_bytes_new(body.ptr, body.len);
	if (forward->hops >= FORWARD_HOPS)
		forward_fail(forward, RW_EUNKNOWN);
	else
		forward_step(forward);
}

void forward_remainder(struct entryd *entryd, struct http_request *call,
		       const char *id, const char *host, size_t next,
		       bool streaming, bool started)
{
	struct forward *forward = forward_create(entryd, call, host);
	GString *headers = g_string_new(NULL);

	forward->id = g_strdup(id);
	forward->rest = true;
	forward->started = started;
	forward->method = g_strdup("GET");
	forward->path = g_strconcat(REQUEST_PREFIX, id, NULL);
	if (streaming)
		g_string_append(headers, "accept: text/event-stream\r\n");
	if (next > 0)
		g_string_append_printf(headers, "last-event-id: %zu\r\n",
				       next - 1);
	forward->headers = g_string_free(headers, FALSE);
	/* The successor may not have sealed yet. */
	uv_timer_start(&forward->timer, forward_on_timer, FORWARD_GAP_MS, 0);
}
