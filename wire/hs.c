/* HTTP/1.1 server over wire/tcp and wire/h1. */
#include "hs.h"

#include <string.h>

#include "due.h"
#include "tcp.h"

#define TIMEOUT_CHECK_MS 250 /* period of the check of timeouts */
#define LINGER_MS 1000	     /* for a caller to read the last response */
#define PIPELINED_MAX 65536  /* unread bytes allowed during a response */
#define PEER_TIMEOUT_MS 8000 /* for a caller that acknowledges nothing */
/* Longer bodies of responses are written without a copy behind their head. */
#define COPIED_BODY_MAX 16384
/* Headers of a refusal for want of memory, unless the owner gives some. */
#define REFUSAL_HEADERS "Retry-After: 1\r\n"

enum hs_phase {
	HS_IDLE, /* no byte of a request received */
	HS_READING_HEAD,
	HS_READING_BODY,
	HS_RESPONDING, /* request dispatched, response not complete */
	HS_LINGERING,  /* last response written; input is discarded */
};

/* One request. */
struct hs_request {
	struct hs_conn *conn;
	GBytes *raw; /* head and body; the head's views point into it */
	struct h1_head head;
	size_t head_len;
	size_t body_len;
	clk_ms received_at;
	bool response_started;
	bool closes; /* the response's head says that the connection ends */
	void (*on_disconnect)(void *ctx);
	void *disconnect_ctx;
};

/* One connection. */
struct hs_conn {
	struct hs *hs;
	struct tcp *tcp;
	enum hs_phase phase;
	clk_ms since; /* start of the phase, or time of the last body bytes */
	clk_ms idle_timeout; /* while the connection is idle */
	size_t seen;	     /* bytes of an incomplete head already parsed */
	struct h1_body body;
	struct hs_request *request;
	size_t unsent; /* bytes of the last response, when last looked at */
	guint conns_index;
	bool advancing; /* conn_advance is running */
	bool closed;	/* freed at the next check of timeouts */
	bool paused;	/* not read from: too much input waits */
	/* For want of memory or a place: no further request is read. */
	bool evicted;
};

struct hs {
	uv_loop_t *loop;
	uv_tcp_t listener;
	struct due_timer timeout_timer;
	struct hs_options options;
	GPtrArray *conns;
	GPtrArray *closed_conns; /* callbacks may still use them */
	struct budget_listener budget;
	size_t open_requests;
	bool draining;
	bool listening;
};

static void conn_advance(struct hs_conn *conn);
static void conn_close(struct hs_conn *conn);

static clk_ms loop_now(const struct hs *hs)
{
	return (clk_ms)uv_now(hs->loop);
}

static void conn_set_phase(struct hs_conn *conn, enum hs_phase phase)
{
	conn->phase = phase;
	conn->since = loop_now(conn->hs);
	conn->idle_timeout = conn->hs->options.limits.idle_timeout;
	conn->tcp->in_purpose =
		phase == HS_RESPONDING ? HOLD_PIPELINED : HOLD_INPUT;
}

static void request_free(struct hs_request *request)
{
	request->conn->hs->open_requests--;
	request->conn->request = NULL;
	hold_set_busy(&request->conn->tcp->holder.hold, false);
	budget_set(&request->conn->tcp->holder, HOLD_BODY, 0);
	budget_set(&request->conn->tcp->holder, HOLD_RESPONSE, 0);
	if (request->raw)
		g_bytes_unref(request->raw);
	g_free(request);
}

/* Reports the disconnect to the owner of a request and frees it. */
static void request_disconnected(struct hs_request *request)
{
	void (*fn)(void *ctx) = request->on_disconnect;
	void *ctx = request->disconnect_ctx;

	request->on_disconnect = NULL;
	if (fn)
		fn(ctx);
	request_free(request);
}

static void conn_close(struct hs_conn *conn)
{
	struct hs *hs = conn->hs;
	struct hs_conn *last;
	size_t unread;

	if (conn->closed)
		return;
	conn->closed = true;
	/* What follows the last response of a connection is not a request. */
	unread = conn->phase == HS_LINGERING || conn->evicted
			 ? 0
			 : tcp_unread_bytes(conn->tcp);
	if (unread > 0 && hs->options.on_unread && !tcp_peer_closed(conn->tcp))
		hs->options.on_unread(hs->options.ctx, unread);
	if (conn->request)
		request_disconnected(conn->request);
	last = g_ptr_array_index(hs->conns, hs->conns->len - 1);
	last->conns_index = conn->conns_index;
	g_ptr_array_remove_index_fast(hs->conns, conn->conns_index);
	tcp_close(conn->tcp);
	g_ptr_array_add(hs->closed_conns, conn);
}

static void conn_resume_reading(struct hs_conn *conn)
{
	if (conn->paused)
		tcp_read_start(conn->tcp);
	conn->paused = false;
	tcp_account(conn->tcp);
}

/* Half-closes a connection and discards input until the caller closes it or
 * LINGER_MS is over, so that the last response is not lost to a reset. */
static void conn_linger(struct hs_conn *conn)
{
	conn_set_phase(conn, HS_LINGERING);
	tcp_discard(conn->tcp);
	conn_resume_reading(conn);
	tcp_shutdown(conn->tcp);
}

static const char *status_reason(int status)
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

static void report_rejected(const struct hs *hs, int status)
{
	if (hs->options.on_rejected)
		hs->options.on_rejected(hs->options.ctx, status);
}

/* Writes a response to a request that is not complete. */
static void conn_write_rejection(struct hs_conn *conn, int status)
{
	const char *headers =
		status == 503 ? conn->hs->options.refusal_headers : NULL;
	char text[256];
	int len = g_snprintf(text, sizeof(text),
			     "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n%s"
			     "Connection: close\r\n\r\n",
			     status, status_reason(status),
			     headers	     ? headers
			     : conn->evicted ? REFUSAL_HEADERS
					     : "");

	tcp_write(conn->tcp, text, (size_t)len);
}

/* Rejects a request that is not complete and ends the connection. */
static void conn_reject(struct hs_conn *conn, int status)
{
	conn_write_rejection(conn, status);
	if (!conn->evicted) /* that is logged by wire/budget */
		report_rejected(conn->hs, status);
	conn_linger(conn);
}

/* Passes a complete request to the owner. Bytes that follow it, from next_at
 * on, remain as input of the connection. */
static void conn_dispatch(struct hs_conn *conn, size_t next_at)
{
	struct hs_request *request = conn->request;
	GString *raw = conn->tcp->in;
	const char *text;

	conn->tcp->in = g_string_sized_new(0);
	g_string_append_len(conn->tcp->in, raw->str + next_at,
			    (gssize)(raw->len - next_at));
	/* The buffer may be twice as long as what it holds. */
	g_string_truncate(raw, next_at);
	raw->str = g_realloc(raw->str, raw->len + 1);
	raw->allocated_len = raw->len + 1;
	request->raw = g_string_free_to_bytes(raw);
	text = g_bytes_get_data(request->raw, NULL);
	budget_set(&conn->tcp->holder, HOLD_BODY, sizeof(*request) + next_at);
	request->received_at = loop_now(conn->hs);
	/* Reading the body may have reallocated the buffer: parse the head
	 * again so that its views point into it. */
	h1_parse_request(text, request->head_len, 0, &request->head);
	conn_set_phase(conn, HS_RESPONDING);
	hold_set_busy(&conn->tcp->holder.hold, true);
	conn->hs->options.on_request(conn->hs->options.ctx, request);
}

/* Decodes received bytes of a body, which follow those already decoded. */
static bool conn_read_body(struct hs_conn *conn)
{
	struct hs_request *request = conn->request;
	GString *in = conn->tcp->in;
	size_t at = request->head_len + request->body_len;
	size_t out;
	size_t used;

	if (!h1_body_decode(&conn->body, in->str + at, in->len - at, &out,
			    &used)) {
		request_free(request);
		conn_reject(conn, 400);
		return false;
	}
	request->body_len += out;
	if (request->body_len > conn->hs->options.limits.body_max) {
		request_free(request);
		conn_reject(conn, 413);
		return false;
	}
	/* Chunk extensions and trailers are no progress. */
	budget_on_bytes(&conn->tcp->holder, out);
	if (!conn->body.done) {
		g_string_truncate(in, at + out);
		conn->since = loop_now(conn->hs);
		return false;
	}
	if (conn->body.framing == H1_CHUNKED) {
		/* The decoder has moved the bytes that follow to directly after
		 * the decoded body. */
		size_t rest = in->len - at - used;

		g_string_truncate(in, at + out + rest);
	}
	conn_dispatch(conn, at + out);
	return true;
}

/* Whether the head has exactly one Host header and a path. */
static bool head_is_valid(const struct h1_head *head)
{
	unsigned hosts = 0;

	for (size_t i = 0; i < head->header_count; i++)
		hosts += h1_view_equals(head->headers[i].name, "host");
	return hosts == 1 && head->target.len > 0 && head->target.ptr[0] == '/';
}

/* Parses a head; returns false if there is nothing more to do. */
static bool conn_read_head(struct hs_conn *conn)
{
	const struct hs_limits *limits = &conn->hs->options.limits;
	GString *in = conn->tcp->in;
	struct hs_request *request;
	struct h1_head head;
	ssize_t len;

	if (conn->phase == HS_IDLE) {
		conn_set_phase(conn, HS_READING_HEAD);
		budget_on_progress(&conn->tcp->holder);
	}
	budget_on_bytes(&conn->tcp->holder, in->len - conn->seen);
	len = h1_parse_request(in->str, in->len, conn->seen, &head);
	if (len == H1_MALFORMED) {
		conn_reject(conn, 400);
		return false;
	}
	if ((len == H1_INCOMPLETE ? in->len : (size_t)len) > limits->head_max) {
		conn_reject(conn, 431);
		return false;
	}
	conn->seen = in->len;
	if (len == H1_INCOMPLETE)
		return false;
	conn->seen = 0;
	if (!head_is_valid(&head)) {
		conn_reject(conn, 400);
		return false;
	}
	if (head.framing == H1_LENGTH &&
	    head.content_length > limits->body_max) {
		conn_reject(conn, 413);
		return false;
	}
	if (!budget_may_serve(&conn->hs->budget)) {
		conn_reject(conn, 503);
		return false;
	}
	request = g_new0(struct hs_request, 1);
	request->conn = conn;
	request->head = head;
	request->head_len = (size_t)len;
	conn->request = request;
	conn->hs->open_requests++;
	h1_body_init(&conn->body, &head);
	if (head.expects_continue && !conn->body.done &&
	    in->len == request->head_len)
		tcp_write(conn->tcp, "HTTP/1.1 100 Continue\r\n\r\n", 25);
	if (conn->body.done) {
		conn_dispatch(conn, request->head_len);
		return true;
	}
	conn_set_phase(conn, HS_READING_BODY);
	return true;
}

/* Processes one part of the input; returns false if there is nothing to do. */
static bool conn_step(struct hs_conn *conn)
{
	if (conn->phase == HS_LINGERING) {
		tcp_discard(conn->tcp);
		return false;
	}
	if (conn->phase == HS_RESPONDING) {
		if (conn->tcp->in->len > PIPELINED_MAX) {
			tcp_read_stop(conn->tcp);
			conn->paused = true;
		}
		return false;
	}
	if (conn->tcp->in->len == 0)
		return false;
	return conn->phase == HS_READING_BODY ? conn_read_body(conn)
					      : conn_read_head(conn);
}

/* Processes the received bytes. */
static void conn_advance(struct hs_conn *conn)
{
	if (conn->advancing)
		return;
	conn->advancing = true;
	/* A response may close the connection. */
	while (!conn->closed && conn_step(conn))
		continue;
	conn->advancing = false;
}

static void conn_on_data(void *ctx)
{
	conn_advance(ctx);
}

static void conn_on_end(void *ctx, bool clean)
{
	(void)clean; /* a half-close counts as a disconnect */
	conn_close(ctx);
}

/* Gives up what the connection holds. A request that is not complete is
 * refused, as it has not run. A client that does not read is cut off. */
static const char *conn_on_evict(void *ctx)
{
	struct hs_conn *conn = ctx;

	conn->evicted = true;
	if (conn->tcp->pending > 0) {
		conn_close(conn);
		return "closed";
	}
	switch (conn->phase) {
	case HS_READING_HEAD:
	case HS_READING_BODY:
		if (conn->request)
			request_free(conn->request);
		conn_reject(conn, 503);
		return "refused";
	case HS_RESPONDING:
		/* The requests behind the one in flight are not run. */
		tcp_read_stop(conn->tcp);
		conn->paused = true;
		tcp_discard(conn->tcp);
		return "input_dropped";
	case HS_IDLE:
	case HS_LINGERING:
		break;
	}
	conn_close(conn);
	return "closed";
}

/* Closes the connection for another one. What is idle with unread input may be
 * a request that has not been read only because the process is busy. */
static const char *conn_on_displace(void *ctx)
{
	struct hs_conn *conn = ctx;
	const char *outcome = "closed";

	if (conn->advancing ||
	    (conn->phase == HS_IDLE && tcp_unread_bytes(conn->tcp) > 0))
		return NULL;
	conn->evicted = true;
	if (conn->phase == HS_READING_HEAD || conn->phase == HS_READING_BODY) {
		if (conn->request)
			request_free(conn->request);
		conn_write_rejection(conn, 503);
		outcome = "refused";
	}
	conn_close(conn);
	return outcome;
}

static const struct tcp_ops conn_ops = {
	.on_data = conn_on_data,
	.on_end = conn_on_end,
	.on_evict = conn_on_evict,
	.on_displace = conn_on_displace,
};

static void on_connection(uv_stream_t *listener, int status)
{
	struct hs *hs = listener->data;
	struct hs_conn *conn;

	if (status != 0 || !budget_may_accept(&hs->budget))
		return;
	conn = g_new0(struct hs_conn, 1);
	conn->hs = hs;
	conn->tcp = tcp_create(hs->loop, &conn_ops, conn);
	conn_set_phase(conn, HS_IDLE);
	if (!tcp_accept(conn->tcp, &hs->budget)) {
		report_rejected(hs, 0);
		tcp_close(conn->tcp);
		g_free(conn);
		return;
	}
	tcp_set_peer_timeout(conn->tcp, PEER_TIMEOUT_MS);
	conn->conns_index = hs->conns->len;
	g_ptr_array_add(hs->conns, conn);
	tcp_read_start(conn->tcp);
}

/* How long a connection may stay in its phase, or the caller take no bytes of
 * the last response. */
static clk_ms conn_timeout(const struct hs_conn *conn)
{
	const struct hs_limits *limits = &conn->hs->options.limits;

	switch (conn->phase) {
	case HS_IDLE:
		return conn->idle_timeout;
	case HS_READING_HEAD:
		return limits->head_timeout;
	case HS_READING_BODY:
		return limits->idle_timeout;
	case HS_RESPONDING:
		break;
	case HS_LINGERING:
		return tcp_unsent_bytes(conn->tcp) > 0 ? limits->idle_timeout
						       : LINGER_MS;
	}
	return CLK_NEVER;
}

/* Whether the caller of a connection has taken bytes of the last response since
 * the last look, or within the timeout: its time runs from then on. */
static bool conn_has_sent(struct hs_conn *conn, clk_ms timeout, clk_ms now)
{
	size_t unsent = tcp_unsent_bytes(conn->tcp);
	clk_ms ago = unsent > 0 ? 0 : tcp_sent_ago(conn->tcp);

	if (unsent > 0 ? unsent == conn->unsent : ago >= timeout)
		return false;
	conn->unsent = unsent;
	conn->since = now - ago;
	return true;
}

/* Closes a connection or rejects its request if a timeout has expired. */
static void conn_check_timeouts(struct hs_conn *conn, clk_ms now)
{
	clk_ms timeout = conn_timeout(conn);

	if (conn->tcp->pending > 0)
		tcp_note_sent(conn->tcp);
	/* The end of a connection that is not read from is not reported. */
	if (conn->paused && tcp_peer_closed(conn->tcp)) {
		conn_close(conn);
		return;
	}
	if (now - conn->since < timeout)
		return;
	switch (conn->phase) {
	case HS_IDLE:
		if (tcp_unread_bytes(conn->tcp) == 0 &&
		    !conn_has_sent(conn, timeout, now))
			conn_close(conn);
		return;
	case HS_READING_HEAD:
		if (tcp_unread_bytes(conn->tcp) == 0)
			conn_reject(conn, 408);
		return;
	case HS_READING_BODY:
		if (tcp_unread_bytes(conn->tcp) > 0)
			return;
		request_free(conn->request);
		conn_reject(conn, 408);
		return;
	case HS_RESPONDING:
		return;
	case HS_LINGERING:
		if (!conn_has_sent(conn, timeout, now))
			conn_close(conn);
		return;
	}
}

static void on_timeout_check(void *ctx)
{
	struct hs *hs = ctx;
	clk_ms now = loop_now(hs);

	for (guint i = hs->conns->len; i > 0; i--)
		conn_check_timeouts(g_ptr_array_index(hs->conns, i - 1), now);
	g_ptr_array_set_size(hs->closed_conns, 0);
}

struct hs *hs_create(uv_loop_t *loop, const struct hs_options *options,
		     GError **error)
{
	struct hs *hs = g_new0(struct hs, 1);

	hs->loop = loop;
	hs->options = *options;
	hs->conns = g_ptr_array_new();
	hs->closed_conns = g_ptr_array_new_with_free_func(g_free);
	budget_listener_add(&hs->budget, (uv_stream_t *)&hs->listener,
			    on_connection, options->limits.in_flight_max);
	if (!tcp_listen(loop, &hs->listener, options->address, on_connection,
			error))
		return NULL; /* the process exits: nothing is freed */
	hs->listener.data = hs;
	hs->listening = true;
	due_init(loop, &hs->timeout_timer, on_timeout_check, hs);
	due_start(&hs->timeout_timer, TIMEOUT_CHECK_MS, TIMEOUT_CHECK_MS);
	return hs;
}

void hs_set_limits(struct hs *hs, const struct hs_limits *limits)
{
	hs->options.limits = *limits;
	hs->budget.group.limit = limits->in_flight_max;
}

void hs_drain(struct hs *hs)
{
	hs->draining = true;
}

bool hs_stop_listening(struct hs *hs)
{
	if (hs->listening &&
	    (hs->budget.waits || tcp_accept_is_due(&hs->listener)))
		return false;
	if (hs->listening)
		uv_close((uv_handle_t *)&hs->listener, NULL);
	hs->listening = false;
	return true;
}

size_t hs_open_requests(const struct hs *hs)
{
	return hs->open_requests;
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

		count += conn->phase != HS_IDLE ||
			 tcp_unsent_bytes(conn->tcp) > 0 ||
			 tcp_unread_bytes(conn->tcp) > 0;
	}
	return count;
}

const struct hs *hs_request_server(const struct hs_request *request)
{
	return request->conn->hs;
}

void hs_request_peer(const struct hs_request *request, char *buf, size_t size)
{
	struct sockaddr_in addr;
	int len = sizeof(addr);

	if (uv_tcp_getpeername(&request->conn->tcp->handle,
			       (struct sockaddr *)&addr, &len) != 0 ||
	    uv_ip4_name(&addr, buf, size) != 0)
		buf[0] = '\0';
}

const struct h1_head *hs_request_head(const struct hs_request *request)
{
	return &request->head;
}

struct http_view hs_request_path(const struct hs_request *request)
{
	struct http_view target = request->head.target;
	const char *query = memchr(target.ptr, '?', target.len);

	if (query)
		target.len = (size_t)(query - target.ptr);
	return target;
}

struct http_view hs_request_body(const struct hs_request *request)
{
	const char *text = g_bytes_get_data(request->raw, NULL);

	return (struct http_view){ text + request->head_len,
				   request->body_len };
}

GBytes *hs_request_body_ref(const struct hs_request *request)
{
	if (request->body_len == 0)
		return NULL;
	return g_bytes_new_from_bytes(request->raw, request->head_len,
				      request->body_len);
}

char *hs_request_query(const struct hs_request *request, const char *name)
{
	struct http_view target = request->head.target;
	const char *query = memchr(target.ptr, '?', target.len);
	GUriParamsIter iter;
	char *key;
	char *value;

	if (!query)
		return NULL;
	g_uri_params_iter_init(&iter, query + 1,
			       target.ptr + target.len - (query + 1), "&",
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

clk_ms hs_request_received_at(const struct hs_request *request)
{
	return request->received_at;
}

void hs_request_on_disconnect(struct hs_request *request, void (*fn)(void *ctx),
			      void *ctx)
{
	request->on_disconnect = fn;
	request->disconnect_ctx = ctx;
}

/* Whether the connection closes after the current response. A request that
 * follows and has arrived is answered first. */
static bool response_closes(const struct hs_request *request)
{
	const struct tcp *tcp = request->conn->tcp;

	if (request->closes || request->head.close || request->conn->evicted)
		return true;
	return request->conn->hs->draining && tcp->in->len == 0 &&
	       tcp_unread_bytes(tcp) == 0;
}

/* Builds the head of a response, without framing headers. */
static GString *response_head(struct hs_request *request, int status,
			      const char *headers, size_t body_len_hint)
{
	GString *text = g_string_sized_new(256 + body_len_hint);

	g_string_append_printf(text, "HTTP/1.1 %d %s\r\n", status,
			       status_reason(status));
	if (headers)
		g_string_append(text, headers);
	request->closes = response_closes(request);
	if (request->closes)
		g_string_append(text, "Connection: close\r\n");
	return text;
}

/* Frees an answered request; the connection goes on to the next one. */
static void response_done(struct hs_request *request, bool last)
{
	struct hs_conn *conn = request->conn;

	request_free(request);
	if (last) {
		conn_linger(conn);
		return;
	}
	conn_set_phase(conn, HS_IDLE);
	budget_on_progress(&conn->tcp->holder);
	conn_resume_reading(conn);
	if (conn->tcp->in->len > 0)
		conn_advance(conn);
}

void hs_response_send(struct hs_request *request, int status,
		      const char *headers, const char *body, size_t len)
{
	bool copies = len <= COPIED_BODY_MAX;
	GString *text =
		response_head(request, status, headers, copies ? len : 0);
	bool last = request->closes;
	bool has_body = !h1_view_equals(request->head.method, "HEAD");

	g_string_append_printf(text, "Content-Length: %zu\r\n\r\n", len);
	if (has_body && copies)
		g_string_append_len(text, body, (gssize)len);
	tcp_write(request->conn->tcp, text->str, text->len);
	if (has_body && !copies)
		tcp_write(request->conn->tcp, body, len);
	g_string_free(text, TRUE);
	response_done(request, last);
}

void hs_response_start(struct hs_request *request, int status,
		       const char *headers)
{
	GString *text = response_head(request, status, headers, 0);

	request->response_started = true;
	g_string_append(text, "Transfer-Encoding: chunked\r\n\r\n");
	tcp_write(request->conn->tcp, text->str, text->len);
	g_string_free(text, TRUE);
}

void hs_response_write(struct hs_request *request, const char *ptr, size_t len)
{
	GString *chunk;

	if (len == 0)
		return;
	chunk = g_string_sized_new(len + 16);
	g_string_append_printf(chunk, "%zx\r\n", len);
	g_string_append_len(chunk, ptr, (gssize)len);
	g_string_append(chunk, "\r\n");
	tcp_write(request->conn->tcp, chunk->str, chunk->len);
	g_string_free(chunk, TRUE);
}

size_t hs_response_unsent_bytes(const struct hs_request *request)
{
	return request->conn->tcp->pending;
}

void hs_response_end(struct hs_request *request)
{
	bool last = response_closes(request);

	tcp_write(request->conn->tcp, "0\r\n\r\n", 5);
	response_done(request, last);
}

void hs_request_hold(struct hs_request *request, size_t bytes)
{
	budget_set(&request->conn->tcp->holder, HOLD_RESPONSE, bytes);
}

void hs_response_abort(struct hs_request *request)
{
	request->on_disconnect = NULL;
	conn_close(request->conn);
}
