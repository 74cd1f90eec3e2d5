/* HTTP/1.1 client with persistent connections over wire/tcp and wire/h1. */
#include "hc.h"

#include <string.h>

#include "due.h"
#include "tcp.h"

#define TIMEOUT_CHECK_MS 250 /* period of the check of timeouts */
#define HEAD_MAX 65536	     /* bytes of a response's head */
/* Of the server's Keep-Alive timeout, for requests that may not be sent again:
 * they are lost if the server closes the connection as they arrive. */
#define KEEP_ALIVE_FRACTION 0.6
/* Before that timeout, and a round trip, for the others. */
#define KEEP_ALIVE_MARGIN_MS 1000
/* Longer bodies of requests are written without a copy behind their head. */
#define COPIED_BODY_MAX 16384

/* One connection. */
struct hc_conn {
	struct hc_peer *peer;
	struct tcp *tcp;
	struct hc_request *request; /* NULL: idle */
	clk_ms since; /* when the attempt began, or when it became idle */
	clk_ms responded_at; /* when the first response ended; 0: none has */
	clk_ms connect_took; /* at least a round trip */
	/* After the last response, in ms: until only requests that may be sent
	 * again are sent on it, and until it is closed. */
	clk_ms idle_timeout;
	clk_ms keep_timeout;
	int64_t process; /* at the other end; 0: not known */
	bool is_named;	 /* a response on it has named the process */
	/* Events of struct hc; 0: not yet. */
	uint64_t connected;
	uint64_t sent;	/* the last request */
	uint64_t alive; /* the last request that was answered was sent */
	size_t seen;	/* bytes of an incomplete head already parsed */
	bool in_body;
	bool mismatched; /* current response has a wrong id */
	bool close_after;
	bool closed; /* freed at the next check of timeouts */
	struct h1_body body;
};

/* The process that a response has named last. */
struct hc_named {
	int64_t process;    /* 0: none */
	uint64_t connected; /* the connection of that response */
	uint64_t alive;	    /* of all connections that lead there, the last */
};

struct hc_peer {
	struct hc *hc;
	char *address;
	GPtrArray *idle;       /* struct hc_conn, most recently used last */
	GPtrArray *conns;      /* struct hc_conn, idle and busy */
	clk_ms older_ended_at; /* see hc_peer_ended_older; 0: none */
	struct hc_named named;
	bool removed;
};

/* One request and its response. */
struct hc_request {
	struct hc_conn *conn;
	struct hc_request_spec spec;
	GString *out; /* the head, until sent; then NULL */
	GBytes *body; /* the same, or NULL */
	bool sent;
	bool responded;
	bool connect_failed; /* on_end will be called from failed_idle */
};

struct hc {
	uv_loop_t *loop;
	struct due_timer timeout_timer;
	uv_idle_t failed_idle; /* active while failed_requests is not empty */
	struct hc_options options;
	struct hc_counters counters;
	uint64_t events; /* connections established, and requests sent */
	GPtrArray *peers;
	unsigned idle_count;	 /* of all peers */
	GPtrArray *closed_conns; /* callbacks may still use them */
	GQueue failed_requests;	 /* their connect failed at once */
};

static clk_ms loop_now(const struct hc *hc)
{
	return (clk_ms)uv_now(hc->loop);
}

static void peer_free_if_unused(struct hc_peer *peer)
{
	if (!peer->removed || peer->conns->len > 0)
		return;
	g_ptr_array_remove_fast(peer->hc->peers, peer);
	g_ptr_array_free(peer->idle, TRUE);
	g_ptr_array_free(peer->conns, TRUE);
	g_free(peer->address);
	g_free(peer);
}

static void conn_close(struct hc_conn *conn)
{
	struct hc_peer *peer = conn->peer;

	if (conn->closed)
		return;
	conn->closed = true;
	if (g_ptr_array_remove(peer->idle, conn))
		peer->hc->idle_count--;
	g_ptr_array_remove_fast(peer->conns, conn);
	tcp_close(conn->tcp);
	g_ptr_array_add(peer->hc->closed_conns, conn);
	peer_free_if_unused(peer);
}

static void request_free(struct hc_request *request)
{
	if (request->out)
		g_string_free(request->out, TRUE);
	if (request->body)
		g_bytes_unref(request->body);
	g_free(request);
}

/* Whether a connection leads to the process that was named last. A process that
 * has served the address both before and after a connection was established has
 * accepted it; that it serves is shown by a request that was sent then and
 * answered. That a connection is open shows nothing, as its end may not have
 * arrived, nor does input that may have been held up. */
static bool leads_to_named(const struct hc_conn *conn)
{
	const struct hc_named *named = &conn->peer->named;

	if (!named->process || !conn->connected)
		return false;
	return named->connected < conn->connected
		       ? named->alive > conn->connected
		       : conn->alive > named->connected;
}

/* Returns the process at the other end of a connection; 0: not known. */
static int64_t conn_process(struct hc_conn *conn)
{
	if (!conn->process && leads_to_named(conn))
		conn->process = conn->peer->named.process;
	return conn->process;
}

/* Notes that the process has answered the connection's request. */
static void conn_note_answer(struct hc_conn *conn)
{
	struct hc_named *named = &conn->peer->named;

	conn->alive = conn->sent;
	if (conn->process && conn->process == named->process)
		named->alive = MAX(named->alive, conn->alive);
}

/* Notes which process a response has named; returns whether it has. */
static bool conn_name_process(struct hc_conn *conn,
			      const struct hc_request_spec *spec)
{
	int64_t process = spec->names_process(spec->ctx);

	if (process <= 0)
		return false;
	conn->process = process;
	conn->is_named = true;
	conn->peer->named = (struct hc_named){
		.process = process,
		.connected = conn->connected,
		.alive = conn->alive,
	};
	return true;
}

/* Closes the connection that has been idle longest. */
static void idle_close_oldest(struct hc *hc)
{
	struct hc_conn *oldest = NULL;

	for (guint i = 0; i < hc->peers->len; i++) {
		const struct hc_peer *peer = g_ptr_array_index(hc->peers, i);
		struct hc_conn *conn;

		if (peer->idle->len == 0)
			continue;
		conn = g_ptr_array_index(peer->idle, 0);
		if (!oldest || conn->since < oldest->since)
			oldest = conn;
	}
	if (!oldest)
		return;
	hc->counters.idle_evicted++;
	conn_close(oldest);
}

/* Keeps a connection without a request. */
static void idle_add(struct hc_conn *conn)
{
	struct hc *hc = conn->peer->hc;

	conn->since = loop_now(hc);
	if (!conn->responded_at)
		conn->responded_at = conn->since;
	g_ptr_array_add(conn->peer->idle, conn);
	hc->idle_count++;
	if (hc->options.idle_max && hc->idle_count > hc->options.idle_max)
		idle_close_oldest(hc);
}

/* Ends a request and keeps or closes its connection. */
static void request_end(struct hc_request *request, enum hc_result result,
			bool keep)
{
	struct hc_conn *conn = request->conn;
	struct hc_request_spec spec = request->spec;

	if ((result == HC_COMPLETE || result == HC_CLOSED) &&
	    spec.names_process)
		keep = conn_name_process(conn, &spec) && keep;
	conn->request = NULL;
	request_free(request);
	if (keep && !spec.is_last && !conn->peer->removed)
		idle_add(conn);
	else
		conn_close(conn);
	spec.on_end(spec.ctx, result);
}

/* Closes a connection that has failed and ends its request. */
static void conn_fail(struct hc_conn *conn, enum hc_result result)
{
	if (!conn->request) {
		conn->peer->hc->counters.idle_ended++;
		conn_close(conn);
		return;
	}
	request_end(conn->request, conn->request->sent ? result : HC_UNSENT,
		    false);
}

/* Handles the end of a response. Returns whether to read on. */
static bool conn_response_done(struct hc_conn *conn)
{
	bool clean = conn->tcp->in->len == 0 && conn->tcp->pending == 0;

	conn->in_body = false;
	conn->seen = 0;
	if (conn->mismatched) {
		conn->mismatched = false;
		if (!conn->close_after)
			return true;
		conn_fail(conn, HC_TRUNCATED);
		return false;
	}
	if (conn->tcp->in->len > 0)
		conn->peer->hc->counters.unexpected_data++;
	request_end(conn->request, HC_COMPLETE, clean && !conn->close_after);
	return false;
}

/* Whether a response belongs to the current request. */
static bool response_matches(const struct hc_conn *conn,
			     const struct h1_head *head)
{
	const char *name = conn->peer->hc->options.id_header;
	struct http_view id;

	if (!name || !conn->request->spec.id)
		return true;
	id = h1_header_value(head, name);
	/* Error responses may lack the header. A second response to the request
	 * that named the process does, too. */
	if (id.len == 0)
		return !conn->is_named || head->status / 100 != 2;
	return id.len == strlen(conn->request->spec.id) &&
	       memcmp(id.ptr, conn->request->spec.id, id.len) == 0;
}

/* Sets how long a connection may stay idle after a response. */
static void idle_timeouts_set(struct hc_conn *conn, const struct h1_head *head)
{
	const struct hc_options *options = &conn->peer->hc->options;
	clk_ms said = (clk_ms)head->keep_alive_s * CLK_SECOND;
	clk_ms margin = KEEP_ALIVE_MARGIN_MS + conn->connect_took;

	conn->idle_timeout = options->idle_timeout;
	if (head->keep_alive_s >= 0)
		conn->idle_timeout =
			MIN(conn->idle_timeout,
			    (clk_ms)((double)said * KEEP_ALIVE_FRACTION));
	conn->keep_timeout = conn->idle_timeout;
	if (head->keep_alive_s >= 0)
		conn->keep_timeout = MAX(conn->idle_timeout,
					 MIN(options->keep_max, said - margin));
}

/* Parses a response's head; returns false if there is nothing more to do. */
static bool conn_read_head(struct hc_conn *conn)
{
	struct hc *hc = conn->peer->hc;
	struct hc_request *request = conn->request;
	GString *in = conn->tcp->in;
	struct h1_head head;
	ssize_t len = h1_parse_response(in->str, in->len, conn->seen,
					request->spec.is_head, &head);

	if (len == H1_MALFORMED ||
	    (len == H1_INCOMPLETE && in->len > HEAD_MAX)) {
		conn_fail(conn, HC_MALFORMED);
		return false;
	}
	conn->seen = in->len;
	if (len == H1_INCOMPLETE)
		return false;
	conn->seen = 0;
	if (head.status / 100 == 1) {
		tcp_consume(conn->tcp, (size_t)len);
		return true;
	}
	conn->in_body = true;
	conn->close_after = head.close;
	idle_timeouts_set(conn, &head);
	conn->mismatched = !response_matches(conn, &head);
	h1_body_init(&conn->body, &head);
	if (conn->mismatched) {
		hc->counters.mismatched_responses++;
	} else {
		request->responded = true;
		conn_note_answer(conn);
		request->spec.on_head(request->spec.ctx, &head);
		if (conn->closed)
			return false; /* cancelled by on_head */
	}
	tcp_consume(conn->tcp, (size_t)len);
	return true;
}

/* Decodes bytes of a response's body; returns false if there is nothing more to
 * do. */
static bool conn_read_body(struct hc_conn *conn)
{
	struct hc_request *request = conn->request;
	GString *in = conn->tcp->in;
	size_t before = in->len;
	size_t out;
	size_t used;

	if (!conn->body.done) {
		if (before == 0)
			return false;
		if (!h1_body_decode(&conn->body, in->str, before, &out,
				    &used)) {
			conn_fail(conn, HC_MALFORMED);
			return false;
		}
		if (out > 0 && !conn->mismatched) {
			request->spec.on_data(request->spec.ctx, in->str, out);
			if (conn->closed)
				return false;
		}
		/* Bytes that follow the body are now after the decoded ones. */
		if (conn->body.framing == H1_CHUNKED && !conn->body.done)
			g_string_truncate(in, 0);
		else if (conn->body.framing == H1_CHUNKED)
			g_string_truncate(in, out + (before - used));
		tcp_consume(conn->tcp, MIN(out, in->len));
	}
	if (!conn->body.done)
		return false;
	return conn_response_done(conn);
}

/* Processes one part of the input; returns false if there is nothing to do. */
static bool conn_step(struct hc_conn *conn)
{
	if (!conn->request) {
		if (conn->tcp->in->len > 0) {
			conn->peer->hc->counters.unexpected_data++;
			conn_close(conn);
		}
		return false;
	}
	if (conn->in_body)
		return conn_read_body(conn);
	return conn->tcp->in->len > 0 && conn_read_head(conn);
}

/* Processes the received bytes. */
static void conn_read(struct hc_conn *conn)
{
	while (!conn->closed && conn_step(conn))
		continue;
}

static void conn_on_data(void *ctx)
{
	conn_read(ctx);
}

static void conn_on_end(void *ctx, bool clean)
{
	struct hc_conn *conn = ctx;

	if (conn->request && clean && conn->in_body && !conn->mismatched &&
	    conn->body.framing == H1_UNTIL_CLOSE) {
		request_end(conn->request, HC_CLOSED, false);
		return;
	}
	if (conn->responded_at)
		conn->peer->older_ended_at = loop_now(conn->peer->hc);
	conn_fail(conn, HC_TRUNCATED);
}

static const struct tcp_ops conn_ops = {
	.on_data = conn_on_data,
	.on_end = conn_on_end,
};

/* Writes the request. */
static void conn_send(struct hc_conn *conn, bool reused)
{
	struct hc_request *request = conn->request;
	GString *out = request->out;

	request->out = NULL;
	request->sent = true;
	conn->sent = ++conn->peer->hc->events;
	if (request->spec.on_sent)
		request->spec.on_sent(request->spec.ctx, reused);
	tcp_write(conn->tcp, out->str, out->len);
	g_string_free(out, TRUE);
	if (request->body) {
		tcp_write_bytes(conn->tcp, request->body);
		g_bytes_unref(request->body);
		request->body = NULL;
	}
	budget_set(&conn->tcp->holder, HOLD_BODY, 0);
}

static void conn_on_connect(void *ctx, int error)
{
	struct hc_conn *conn = ctx;
	const struct hc_request_spec *spec = &conn->request->spec;

	if (error == UV_ECONNREFUSED && spec->on_refused)
		spec->on_refused(spec->ctx);
	if (error) {
		conn_fail(conn, HC_UNSENT);
		return;
	}
	conn->connected = ++conn->peer->hc->events;
	conn->connect_took = loop_now(conn->peer->hc) - conn->since;
	tcp_set_peer_timeout(conn->tcp, conn->peer->hc->options.peer_timeout);
	tcp_read_start(conn->tcp);
	if (spec->may_send && !spec->may_send(spec->ctx)) {
		request_end(conn->request, HC_WITHDRAWN, false);
		return;
	}
	conn_send(conn, false);
}

/* Closes an idle connection that can't be used any more; returns whether it
 * was. One whose end has arrived can't, although it was not read yet: the
 * request would be lost, and may be one that is not sent again. */
static bool idle_close_if_over(struct hc_conn *conn, clk_ms now)
{
	struct hc_peer *peer = conn->peer;

	if (now - conn->since < conn->keep_timeout &&
	    !tcp_input_waits(conn->tcp))
		return false;
	peer->hc->counters.unexpected_data += tcp_unread_bytes(conn->tcp) > 0;
	if (tcp_peer_closed(conn->tcp)) {
		peer->older_ended_at = now;
		peer->hc->counters.idle_ended++;
	} else {
		peer->hc->counters.idle_over++;
	}
	conn_close(conn);
	return true;
}

/* Whether a request may be sent on an idle connection, unless that is over. A
 * second response to the
 * request that named the process is told by the id that it lacks, but has a
 * body also before one to HEAD. */
static bool idle_suits(const struct hc_conn *conn,
		       const struct hc_request_spec *spec, clk_ms now)
{
	if (!spec->is_repeatable && now - conn->since >= conn->idle_timeout)
		return false;
	if (spec->process)
		return conn->is_named && conn->process == spec->process;
	return (spec->id && !spec->is_head) || spec->names_process ||
	       !conn->is_named;
}

/* Returns the most recently used idle connection that suits a request, or NULL;
 * known: only one of which the process is known. */
static struct hc_conn *peer_find(struct hc_peer *peer,
				 const struct hc_request_spec *spec, bool known)
{
	clk_ms now = loop_now(peer->hc);

	for (guint i = peer->idle->len; i-- > 0;) {
		struct hc_conn *conn = g_ptr_array_index(peer->idle, i);

		if (idle_suits(conn, spec, now) &&
		    (!known || conn_process(conn)) &&
		    !idle_close_if_over(conn, now))
			return conn;
	}
	return NULL;
}

/* The same; one of which the process is known is preferred, unless the request
 * asks for it. */
static struct hc_conn *peer_find_idle(struct hc_peer *peer,
				      const struct hc_request_spec *spec)
{
	struct hc_conn *conn =
		spec->names_process ? NULL : peer_find(peer, spec, true);

	return conn ? conn : peer_find(peer, spec, false);
}

/* Starts a new connection; returns NULL if that fails at once. */
static struct hc_conn *peer_connect(struct hc_peer *peer,
				    const struct hc_request_spec *spec)
{
	struct hc_counters *counters = &peer->hc->counters;
	struct hc_conn *conn = g_new0(struct hc_conn, 1);

	conn->peer = peer;
	conn->since = loop_now(peer->hc);
	conn->tcp = tcp_create(peer->hc->loop, &conn_ops, conn);
	conn->tcp->in_purpose = HOLD_RESPONSE;
	conn->tcp->out_purpose = HOLD_UPLOAD;
	if (!tcp_connect(conn->tcp, peer->address, peer->hc->options.source,
			 conn_on_connect)) {
		tcp_close(conn->tcp);
		g_free(conn);
		return NULL;
	}
	g_ptr_array_add(peer->conns, conn);
	counters->connects++;
	counters->connects_question += spec->names_process != NULL;
	counters->connects_last += spec->is_last;
	return conn;
}

/* Reports one request that could not be started. */
static void on_failed_idle(uv_idle_t *idle)
{
	struct hc *hc = idle->data;
	struct hc_request *request = g_queue_pop_head(&hc->failed_requests);

	if (!request) {
		uv_idle_stop(idle);
		return;
	}
	if (request->spec.on_end) /* NULL: cancelled */
		request->spec.on_end(request->spec.ctx, HC_UNSENT);
	request_free(request);
}

struct hc_request *hc_request_start(struct hc_peer *peer,
				    const struct hc_request_spec *spec)
{
	struct hc_request *request = g_new0(struct hc_request, 1);
	struct hc_conn *conn = peer_find_idle(peer, spec);

	request->spec = *spec;
	request->out = g_string_new_len(spec->head, (gssize)spec->head_len);
	if (spec->body && g_bytes_get_size(spec->body) <= COPIED_BODY_MAX)
		g_string_append_len(request->out,
				    g_bytes_get_data(spec->body, NULL),
				    (gssize)g_bytes_get_size(spec->body));
	else if (spec->body)
		request->body = g_bytes_ref(spec->body);
	if (conn) {
		g_ptr_array_remove(peer->idle, conn);
		peer->hc->idle_count--;
		peer->hc->counters.reuses++;
		conn->request = request;
		request->conn = conn;
		conn_send(conn, true);
		return request;
	}
	conn = spec->process ? NULL : peer_connect(peer, spec);
	if (!conn) {
		request->connect_failed = true;
		g_queue_push_tail(&peer->hc->failed_requests, request);
		uv_idle_start(&peer->hc->failed_idle, on_failed_idle);
		return request;
	}
	conn->request = request;
	request->conn = conn;
	budget_set(&conn->tcp->holder, HOLD_BODY, request->out->allocated_len);
	return request;
}

int64_t hc_request_process(struct hc_request *request)
{
	return request->connect_failed ? 0 : conn_process(request->conn);
}

void hc_request_cancel(struct hc_request *request)
{
	struct hc_conn *conn = request->conn;

	if (request->connect_failed) {
		/* The peer may be freed; only the queue has the request. */
		request->spec.on_end = NULL;
		return;
	}
	conn->request = NULL;
	request_free(request);
	conn_close(conn);
}

void hc_request_reset(struct hc_request *request)
{
	if (!request->connect_failed && request->conn->connected)
		tcp_reset(request->conn->tcp);
	hc_request_cancel(request);
}

/* Closes a connection whose idle or connect timeout has expired. */
static void peer_check_timeouts(struct hc_peer *peer, clk_ms now)
{
	const struct hc_options *options = &peer->hc->options;

	for (guint i = peer->conns->len; i > 0; i--) {
		struct hc_conn *conn = g_ptr_array_index(peer->conns, i - 1);
		clk_ms age = now - conn->since;

		if (!conn->connected && age >= options->connect_timeout) {
			conn_fail(conn, HC_UNSENT);
			return; /* the peer may have been freed */
		}
		if (conn->connected && !conn->request &&
		    age >= conn->keep_timeout) {
			peer->hc->counters.idle_over++;
			conn_close(conn);
			return;
		}
	}
}

static void on_timeout_check(void *ctx)
{
	struct hc *hc = ctx;

	for (guint i = hc->peers->len; i > 0; i--)
		if (i <= hc->peers->len)
			peer_check_timeouts(g_ptr_array_index(hc->peers, i - 1),
					    loop_now(hc));
	g_ptr_array_set_size(hc->closed_conns, 0);
}

struct hc *hc_create(uv_loop_t *loop, const struct hc_options *options)
{
	struct hc *hc = g_new0(struct hc, 1);

	hc->loop = loop;
	hc->options = *options;
	hc->peers = g_ptr_array_new();
	hc->closed_conns = g_ptr_array_new_with_free_func(g_free);
	g_queue_init(&hc->failed_requests);
	due_init(loop, &hc->timeout_timer, on_timeout_check, hc);
	due_start(&hc->timeout_timer, TIMEOUT_CHECK_MS, TIMEOUT_CHECK_MS);
	uv_idle_init(loop, &hc->failed_idle);
	hc->failed_idle.data = hc;
	return hc;
}

const struct hc_counters *hc_counters(const struct hc *hc)
{
	return &hc->counters;
}

struct hc_peer *hc_peer_add(struct hc *hc, const char *address)
{
	struct hc_peer *peer = g_new0(struct hc_peer, 1);

	peer->hc = hc;
	peer->address = g_strdup(address);
	peer->idle = g_ptr_array_new();
	peer->conns = g_ptr_array_new();
	g_ptr_array_add(hc->peers, peer);
	return peer;
}

void hc_peer_remove(struct hc_peer *peer)
{
	peer->removed = true;
	while (peer->idle->len > 1)
		conn_close(g_ptr_array_index(peer->idle, 0));
	if (peer->idle->len == 1)
		conn_close(g_ptr_array_index(peer->idle, 0));
	else
		peer_free_if_unused(peer);
}

bool hc_peer_has_idle(const struct hc_peer *peer)
{
	return peer->idle->len > 0;
}

bool hc_peer_has_idle_for(const struct hc_peer *peer, bool is_repeatable)
{
	const struct hc_conn *conn;
	clk_ms age;

	if (peer->idle->len == 0)
		return false;
	conn = g_ptr_array_index(peer->idle, peer->idle->len - 1);
	age = loop_now(peer->hc) - conn->since;
	return age < (is_repeatable ? conn->keep_timeout : conn->idle_timeout);
}

bool hc_peer_has_idle_known(struct hc_peer *peer, bool is_repeatable)
{
	const struct hc_request_spec spec = {
		.id = "",
		.is_repeatable = is_repeatable,
	};

	return peer_find(peer, &spec, true) != NULL;
}

bool hc_peer_has_idle_to(struct hc_peer *peer, int64_t process)
{
	const struct hc_request_spec spec = { .process = process };

	return peer_find_idle(peer, &spec) != NULL;
}

bool hc_peer_has_older(const struct hc_peer *peer, clk_ms time)
{
	for (guint i = 0; i < peer->conns->len; i++) {
		const struct hc_conn *conn = g_ptr_array_index(peer->conns, i);

		if (conn->responded_at && conn->responded_at <= time &&
		    !tcp_peer_closed(conn->tcp))
			return true;
	}
	return false;
}

bool hc_peer_ended_older(const struct hc_peer *peer, clk_ms since)
{
	return peer->older_ended_at && peer->older_ended_at >= since;
}

unsigned hc_peer_connections(const struct hc_peer *peer)
{
	return peer->conns->len;
}
