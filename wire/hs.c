/* HTTP/1.1 server over wire/tcp and wire/h1. */
#include "hs.h"

#include <string.h>

#include "tcp.h"

#define SWEEP_MS 250	   /* between looks at late connections */
#define LINGER_MS 1000	   /* for a caller to read a refusal */
#define AHEAD_MAX 65536	   /* bytes that may come before an answer is sent */
#define PEER_LIMIT_MS 8000 /* for a caller whose host fell silent */

enum hs_phase {
	HS_IDLE,   /* no byte of a request is there */
	HS_HEAD,   /* a head is incomplete */
	HS_BODY,   /* a body is incomplete */
	HS_CALL,   /* a request is being answered */
	HS_LINGER, /* the last answer is written; the rest is dropped */
};

/* One request. */
struct hs_request {
	struct hs_conn *conn;
	GString *raw; /* head and body; the head's views point into it */
	struct h1_head head;
	size_t head_len;
	size_t body_len;
	clk_ms at;
	bool begun;
	void (*on_gone)(void *ctx);
	void *gone_ctx;
};

/* One connection. */
struct hs_conn {
	struct hs *hs;
	struct tcp *tcp;
	enum hs_phase phase;
	clk_ms since; /* of the phase, or of the last bytes of a body */
	size_t seen;  /* bytes of an incomplete head that were parsed */
	struct h1_body body;
	struct hs_request *call;
	unsigned served;
	guint place;	/* in hs->conns */
	bool advancing; /* conn_advance is on the stack */
	bool dead;	/* closed; freed by the sweep */
};

struct hs {
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_timer_t sweep;
	struct hs_options options;
	GPtrArray *conns;
	GPtrArray *dead; /* connections that callbacks may still look at */
	size_t open_calls;
	bool draining;
	bool listening;
};

static void conn_advance(struct hs_conn *conn);
static void conn_close(struct hs_conn *conn);

static clk_ms now_of(const struct hs *hs)
{
	return (clk_ms)uv_now(hs->loop);
}

static void conn_phase(struct hs_conn *conn, enum hs_phase phase)
{
	conn->phase = phase;
	conn->since = now_of(conn->hs);
}

static void call_free(struct hs_request *call)
{
	call->conn->hs->open_calls--;
	call->conn->call = NULL;
	if (call->raw)
		g_string_free(call->raw, TRUE);
	g_free(call);
}

/* The caller has gone: whoever answers is told. */
static void call_gone(struct hs_request *call)
{
	void (*fn)(void *ctx) = call->on_gone;
	void *ctx = call->gone_ctx;

	call->on_gone = NULL;
	if (fn)
		fn(ctx);
	call_free(call);
}

static void conn_close(struct hs_conn *conn)
{
	struct hs *hs = conn->hs;
	struct hs_conn *last;

	if (conn->dead)
		return;
	conn->dead = true;
	if (conn->call)
		call_gone(conn->call);
	last = g_ptr_array_index(hs->conns, hs->conns->len - 1);
	last->place = conn->place;
	g_ptr_array_remove_index_fast(hs->conns, conn->place);
	tcp_close(conn->tcp);
	g_ptr_array_add(hs->dead, conn);
}

/* Ends a connection after what was written has arrived. */
static void conn_linger(struct hs_conn *conn)
{
	conn_phase(conn, HS_LINGER);
	g_string_truncate(conn->tcp->in, 0);
	tcp_shutdown(conn->tcp);
}

static const char *reason_of(int status)
{
	static const struct {
		int status;
		const char *text;
	} reasons[] = {
		{ 200, "OK" },
		{ 400, "Bad Request" },
		{ 401, "Unauthorized" },
		{ 404, "Not Found" },
		{ 408, "Request Timeout" },
		{ 413, "Payload Too Large" },
		{ 429, "Too Many Requests" },
		{ 431, "Request Header Fields Too Large" },
		{ 500, "Internal Server Error" },
		{ 502, "Bad Gateway" },
		{ 503, "Service Unavailable" },
		{ 504, "Gateway Timeout" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(reasons); i++)
		if (reasons[i].status == status)
			return reasons[i].text;
	return "Status";
}

/* Refuses what came before it is a whole request. */
static void conn_refuse(struct hs_conn *conn, int status)
{
	char text[256];
	int len = g_snprintf(text, sizeof(text),
			     "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n"
			     "Connection: close\r\n\r\n",
			     status, reason_of(status));

	tcp_write(conn->tcp, text, (size_t)len);
	if (conn->hs->options.on_rejected)
		conn->hs->options.on_rejected(conn->hs->options.ctx, status);
	conn_linger(conn);
}

/* Hands a whole request over. What follows it stays with the connection. */
static void conn_hand_over(struct hs_conn *conn, size_t rest_at)
{
	struct hs_request *call = conn->call;
	GString *raw = conn->tcp->in;

	conn->tcp->in = g_string_sized_new(0);
	g_string_append_len(conn->tcp->in, raw->str + rest_at,
			    (gssize)(raw->len - rest_at));
	call->raw = raw;
	call->at = now_of(conn->hs);
	/* The body may have moved the buffer: the views are made anew. */
	h1_parse_request(raw->str, call->head_len, 0, &call->head);
	conn_phase(conn, HS_CALL);
	conn->hs->options.on_request(conn->hs->options.ctx, call);
}

/* Takes bytes of a body, which stand behind those already decoded. */
static bool conn_take_body(struct hs_conn *conn)
{
	struct hs_request *call = conn->call;
	GString *in = conn->tcp->in;
	size_t at = call->head_len + call->body_len;
	size_t out;
	size_t used;

	if (!h1_body_decode(&conn->body, in->str + at, in->len - at, &out,
			    &used)) {
		call_free(call);
		conn_refuse(conn, 400);
		return false;
	}
	call->body_len += out;
	if (call->body_len > conn->hs->options.limits.body_max) {
		call_free(call);
		conn_refuse(conn, 413);
		return false;
	}
	if (!conn->body.done) {
		g_string_truncate(in, at + out);
		conn->since = now_of(conn->hs);
		return false;
	}
	if (conn->body.framing == H1_CHUNKED) {
		/* The decoder has moved what follows behind the body. */
		size_t rest = in->len - at - used;

		g_string_truncate(in, at + out + rest);
	}
	conn_hand_over(conn, at + out);
	return true;
}

/* Whether the head names one host and a path. */
static bool head_is_sound(const struct h1_head *head)
{
	unsigned hosts = 0;

	for (size_t i = 0; i < head->header_count; i++)
		hosts += h1_view_equals(head->headers[i].name, "host");
	return hosts == 1 && head->target.len > 0 && head->target.ptr[0] == '/';
}

/* Takes a head; returns false if there is nothing more to do now. */
static bool conn_take_head(struct hs_conn *conn)
{
	const struct hs_limits *limits = &conn->hs->options.limits;
	GString *in = conn->tcp->in;
	struct hs_request *call;
	struct h1_head head;
	ssize_t len;

	if (conn->phase == HS_IDLE)
		conn_phase(conn, HS_HEAD);
	len = h1_parse_request(in->str, in->len, conn->seen, &head);
	if (len == H1_MALFORMED) {
		conn_refuse(conn, 400);
		return false;
	}
	if ((len == H1_INCOMPLETE ? in->len : (size_t)len) > limits->head_max) {
		conn_refuse(conn, 431);
		return false;
	}
	conn->seen = in->len;
	if (len == H1_INCOMPLETE)
		return false;
	conn->seen = 0;
	if (!head_is_sound(&head)) {
		conn_refuse(conn, 400);
		return false;
	}
	if (head.framing == H1_LENGTH &&
	    head.content_length > limits->body_max) {
		conn_refuse(conn, 413);
		return false;
	}
	call = g_new0(struct hs_request, 1);
	call->conn = conn;
	call->head = head;
	call->head_len = (size_t)len;
	conn->call = call;
	conn->hs->open_calls++;
	h1_body_init(&conn->body, &head);
	if (head.expects_continue && !conn->body.done &&
	    in->len == call->head_len)
		tcp_write(conn->tcp, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	if (conn->body.done) {
		conn_hand_over(conn, call->head_len);
		return true;
	}
	conn_phase(conn, HS_BODY);
	return true;
}

/* Takes the next step with what was received; false: there is none now. */
static bool conn_step(struct hs_conn *conn)
{
	if (conn->phase == HS_LINGER) {
		g_string_truncate(conn->tcp->in, 0);
		return false;
	}
	if (conn->phase == HS_CALL) {
		if (conn->tcp->in->len > AHEAD_MAX)
			conn_close(conn);
		return false;
	}
	if (conn->tcp->in->len == 0)
		return false;
	return conn->phase == HS_BODY ? conn_take_body(conn)
				      : conn_take_head(conn);
}

/* Goes on with what was received, as far as it reaches. */
static void conn_advance(struct hs_conn *conn)
{
	if (conn->advancing)
		return;
	conn->advancing = true;
	/* An answer may close the connection. */
	while (!conn->dead && conn_step(conn))
		continue;
	conn->advancing = false;
}

static void conn_on_data(void *ctx)
{
	conn_advance(ctx);
}

static void conn_on_end(void *ctx, bool clean)
{
	(void)clean; /* a caller that ends its side takes no answer */
	conn_close(ctx);
}

static const struct tcp_ops conn_ops = {
	.on_data = conn_on_data,
	.on_end = conn_on_end,
};

static void on_connection(uv_stream_t *listener, int status)
{
	struct hs *hs = listener->data;
	struct hs_conn *conn;

	if (status != 0)
		return;
	conn = g_new0(struct hs_conn, 1);
	conn->hs = hs;
	conn->tcp = tcp_create(hs->loop, &conn_ops, conn);
	conn_phase(conn, HS_IDLE);
	if (!tcp_accept(conn->tcp, listener) ||
	    hs->conns->len >= hs->options.limits.connections_max) {
		tcp_close(conn->tcp);
		g_free(conn);
		return;
	}
	tcp_set_peer_timeout(conn->tcp, PEER_LIMIT_MS);
	conn->place = hs->conns->len;
	g_ptr_array_add(hs->conns, conn);
	tcp_read_start(conn->tcp);
}

/* Ends a connection that has taken too long. */
static void conn_sweep(struct hs_conn *conn, clk_ms now)
{
	const struct hs_limits *limits = &conn->hs->options.limits;
	clk_ms age = now - conn->since;

	switch (conn->phase) {
	case HS_IDLE:
		if (age >= limits->idle_timeout)
			conn_close(conn);
		return;
	case HS_HEAD:
		if (age >= limits->head_timeout)
			conn_refuse(conn, 408);
		return;
	case HS_BODY:
		if (age >= limits->idle_timeout) {
			call_free(conn->call);
			conn_refuse(conn, 408);
		}
		return;
	case HS_CALL:
		return;
	case HS_LINGER:
		if (age >= LINGER_MS)
			conn_close(conn);
		return;
	}
}

static void on_sweep(uv_timer_t *timer)
{
	struct hs *hs = timer->data;
	clk_ms now = now_of(hs);

	for (guint i = hs->conns->len; i > 0; i--)
		conn_sweep(g_ptr_array_index(hs->conns, i - 1), now);
	g_ptr_array_set_size(hs->dead, 0);
}

struct hs *hs_create(uv_loop_t *loop, const struct hs_options *options,
		     GError **error)
{
	struct hs *hs = g_new0(struct hs, 1);

	hs->loop = loop;
	hs->options = *options;
	hs->conns = g_ptr_array_new();
	hs->dead = g_ptr_array_new_with_free_func(g_free);
	if (!tcp_listen(loop, &hs->listener, options->address, on_connection,
			error))
		return NULL; /* the program ends: nothing is freed */
	hs->listener.data = hs;
	hs->listening = true;
	uv_timer_init(loop, &hs->sweep);
	hs->sweep.data = hs;
	uv_timer_start(&hs->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
	return hs;
}

void hs_set_limits(struct hs *hs, const struct hs_limits *limits)
{
	hs->options.limits = *limits;
}

void hs_drain(struct hs *hs)
{
	hs->draining = true;
	for (guint i = hs->conns->len; i > 0; i--) {
		struct hs_conn *conn = g_ptr_array_index(hs->conns, i - 1);

		/* One that has served nothing yet may just be sending. */
		if (conn->phase == HS_IDLE && conn->served > 0)
			conn_close(conn);
	}
}

void hs_stop_listening(struct hs *hs)
{
	if (hs->listening)
		uv_close((uv_handle_t *)&hs->listener, NULL);
	hs->listening = false;
}

size_t hs_open_requests(const struct hs *hs)
{
	return hs->open_calls;
}

size_t hs_connections(const struct hs *hs)
{
	return hs->conns->len;
}

size_t hs_busy_connections(const struct hs *hs)
{
	size_t count = 0;

	for (guint i = 0; i < hs->conns->len; i++) {
		const struct hs_conn *conn = g_ptr_array_index(hs->conns, i);

		count += conn->phase != HS_IDLE || conn->tcp->pending > 0;
	}
	return count;
}

const struct h1_head *hs_request_head(const struct hs_request *call)
{
	return &call->head;
}

struct http_view hs_request_path(const struct hs_request *call)
{
	struct http_view target = call->head.target;
	const char *mark = memchr(target.ptr, '?', target.len);

	if (mark)
		target.len = (size_t)(mark - target.ptr);
	return target;
}

struct http_view hs_request_body(const struct hs_request *call)
{
	return (struct http_view){ call->raw->str + call->head_len,
				   call->body_len };
}

char *hs_request_query(const struct hs_request *call, const char *name)
{
	struct http_view target = call->head.target;
	const char *mark = memchr(target.ptr, '?', target.len);
	GUriParamsIter iter;
	char *key;
	char *value;

	if (!mark)
		return NULL;
	g_uri_params_iter_init(&iter, mark + 1,
			       target.ptr + target.len - (mark + 1), "&",
			       G_URI_PARAMS_WWW_FORM);
	while (g_uri_params_iter_next(&iter, &key, &value, NULL)) {
		bool found = !strcmp(key, name);

		g_free(key);
		if (found)
			return value;
		g_free(value);
	}
	return NULL;
}

clk_ms hs_request_received_at(const struct hs_request *call)
{
	return call->at;
}

void hs_request_on_disconnect(struct hs_request *call, void (*fn)(void *ctx),
			      void *ctx)
{
	call->on_gone = fn;
	call->gone_ctx = ctx;
}

/* Whether the connection ends with the answer under way. */
static bool call_is_last(const struct hs_request *call)
{
	return call->head.close || call->conn->hs->draining;
}

/* Writes the head of an answer. */
static GString *answer_head(const struct hs_request *call, int status,
			    const char *headers, size_t room)
{
	GString *text = g_string_sized_new(256 + room);

	g_string_append_printf(text, "HTTP/1.1 %d %s\r\n", status,
			       reason_of(status));
	if (headers)
		g_string_append(text, headers);
	if (call_is_last(call))
		g_string_append(text, "Connection: close\r\n");
	return text;
}

/* The answer is written: the connection takes the next request. */
static void call_done(struct hs_request *call, bool last)
{
	struct hs_conn *conn = call->conn;

	call_free(call);
	conn->served++;
	if (last) {
		conn_linger(conn);
		return;
	}
	conn_phase(conn, HS_IDLE);
	if (conn->tcp->in->len > 0)
		conn_advance(conn);
}

void hs_response_send(struct hs_request *call, int status, const char *headers,
		      const char *body, size_t len)
{
	GString *text = answer_head(call, status, headers, len);
	bool last = call_is_last(call);

	g_string_append_printf(text, "Content-Length: %zu\r\n\r\n", len);
	if (!h1_view_equals(call->head.method, "HEAD"))
		g_string_append_len(text, body, (gssize)len);
	tcp_write(call->conn->tcp, text->str, text->len);
	g_string_free(text, TRUE);
	call_done(call, last);
}

void hs_response_start(struct hs_request *call, int status, const char *headers)
{
	GString *text = answer_head(call, status, headers, 0);

	call->begun = true;
	g_string_append(text, "Transfer-Encoding: chunked\r\n\r\n");
	tcp_write(call->conn->tcp, text->str, text->len);
	g_string_free(text, TRUE);
}

void hs_response_write(struct hs_request *call, const char *ptr, size_t len)
{
	GString *chunk;

	if (len == 0)
		return;
	chunk = g_string_sized_new(len + 16);
	g_string_append_printf(chunk, "%zx\r\n", len);
	g_string_append_len(chunk, ptr, (gssize)len);
	g_string_append(chunk, "\r\n");
	tcp_write(call->conn->tcp, chunk->str, chunk->len);
	g_string_free(chunk, TRUE);
}

size_t hs_response_unsent_bytes(const struct hs_request *call)
{
	return call->conn->tcp->pending;
}

void hs_response_end(struct hs_request *call)
{
	bool last = call_is_last(call);

	tcp_write(call->conn->tcp, "0\r\n\r\n", 5);
	call_done(call, last);
}

void hs_response_abort(struct hs_request *call)
{
	call->on_gone = NULL;
	conn_close(call->conn);
}
