/* HTTP/1.1 client with kept connections over wire/tcp and wire/h1. */
#include "hc.h"

#include <string.h>

#include "tcp.h"

#define SWEEP_MS 250	     /* between looks at idle connections */
#define HEAD_MAX 65536	     /* bytes of a response's head */
#define KEEP_ALIVE_SHARE 0.6 /* of the time that a peer announces */

/* One connection. */
struct hc_conn {
	struct hc_peer *peer;
	struct tcp *tcp;
	struct hc_request *call; /* NULL: idle */
	bool connected;
	clk_ms since; /* begun, or idle since */
	clk_ms keep;  /* ms that it may be idle */
	size_t seen;  /* bytes of an incomplete head that were parsed */
	bool in_body;
	bool stray; /* the response under way is another request's */
	bool close_after;
	bool dead; /* closed; freed by the sweep */
	struct h1_body body;
};

struct hc_peer {
	struct hc *hc;
	char *address;
	GPtrArray *idle;  /* struct hc_conn, last used last */
	GPtrArray *conns; /* all */
	bool dropped;
};

/* One request and its response. */
struct hc_request {
	struct hc_conn *conn;
	struct hc_request_spec spec;
	GString *out; /* head and body until they are sent */
	bool sent;
	bool responded;
	bool refused; /* on_end is owed by the sweep */
};

struct hc {
	uv_loop_t *loop;
	uv_timer_t sweep;
	uv_idle_t owed; /* runs while refusals are owed */
	struct hc_options options;
	struct hc_counters counters;
	GPtrArray *peers;
	GPtrArray *dead; /* connections that callbacks may still look at */
	GQueue refusals; /* struct hc_request that could not be begun */
};

static clk_ms now_of(const struct hc *hc)
{
	return (clk_ms)uv_now(hc->loop);
}

static void peer_free_if_unused(struct hc_peer *peer)
{
	if (!peer->dropped || peer->conns->len > 0)
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

	if (conn->dead)
		return;
	conn->dead = true;
	g_ptr_array_remove(peer->idle, conn);
	g_ptr_array_remove_fast(peer->conns, conn);
	tcp_close(conn->tcp);
	g_ptr_array_add(peer->hc->dead, conn);
	peer_free_if_unused(peer);
}

static void call_free(struct hc_request *call)
{
	if (call->out)
		g_string_free(call->out, TRUE);
	g_free(call);
}

/* Ends a call; its connection is kept or closed. */
static void call_end(struct hc_request *call, enum hc_result end, bool keep)
{
	struct hc_conn *conn = call->conn;
	struct hc_request_spec spec = call->spec;

	conn->call = NULL;
	call_free(call);
	if (keep && !conn->peer->dropped) {
		conn->since = now_of(conn->peer->hc);
		g_ptr_array_add(conn->peer->idle, conn);
	} else {
		conn_close(conn);
	}
	spec.on_end(spec.ctx, end);
}

/* Nothing more can come on a connection. */
static void conn_lost(struct hc_conn *conn, enum hc_result end)
{
	if (!conn->call)
		conn_close(conn);
	else
		call_end(conn->call, conn->call->sent ? end : HC_UNSENT, false);
}

/* The response under way is whole. Returns whether to read on. */
static bool conn_response_done(struct hc_conn *conn)
{
	bool clean = conn->tcp->in->len == 0 && conn->tcp->pending == 0;

	conn->in_body = false;
	conn->seen = 0;
	if (conn->stray) {
		conn->stray = false;
		if (!conn->close_after)
			return true;
		conn_lost(conn, HC_TRUNCATED);
		return false;
	}
	if (conn->tcp->in->len > 0)
		conn->peer->hc->counters.unexpected_data++;
	call_end(conn->call, HC_COMPLETE, clean && !conn->close_after);
	return false;
}

/* Whether a response belongs to the call under way. */
static bool response_is_ours(const struct hc_conn *conn,
			     const struct h1_head *head)
{
	const char *name = conn->peer->hc->options.id_header;
	struct http_view id;

	if (!name || !conn->call->spec.id)
		return true;
	id = h1_header_value(head, name);
	if (id.len == 0)
		return true; /* a refusal may come without it */
	return id.len == strlen(conn->call->spec.id) &&
	       memcmp(id.ptr, conn->call->spec.id, id.len) == 0;
}

/* How long a connection may stay idle after a response. */
static clk_ms keep_of(const struct hc_conn *conn, const struct h1_head *head)
{
	clk_ms keep = conn->peer->hc->options.idle_timeout;

	if (head->keep_alive_s >= 0)
		keep = MIN(keep, (clk_ms)(head->keep_alive_s * CLK_SECOND *
					  KEEP_ALIVE_SHARE));
	return keep;
}

/* Takes a response's head; returns false if there is nothing more to do. */
static bool conn_take_head(struct hc_conn *conn)
{
	struct hc *hc = conn->peer->hc;
	struct hc_request *call = conn->call;
	GString *in = conn->tcp->in;
	struct h1_head head;
	ssize_t len = h1_parse_response(in->str, in->len, conn->seen,
					call->spec.is_head, &head);

	if (len == H1_MALFORMED ||
	    (len == H1_INCOMPLETE && in->len > HEAD_MAX)) {
		conn_lost(conn, HC_MALFORMED);
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
	conn->keep = keep_of(conn, &head);
	conn->stray = !response_is_ours(conn, &head);
	h1_body_init(&conn->body, &head);
	if (conn->stray) {
		hc->counters.mismatched_responses++;
	} else {
		call->responded = true;
		call->spec.on_head(call->spec.ctx, &head);
		if (conn->dead)
			return false; /* cancelled */
	}
	tcp_consume(conn->tcp, (size_t)len);
	return true;
}

/* Takes bytes of a response's body; returns false as above. */
static bool conn_take_body(struct hc_conn *conn)
{
	struct hc_request *call = conn->call;
	GString *in = conn->tcp->in;
	size_t before = in->len;
	size_t out;
	size_t used;

	if (!conn->body.done) {
		if (before == 0)
			return false;
		if (!h1_body_decode(&conn->body, in->str, before, &out,
				    &used)) {
			conn_lost(conn, HC_MALFORMED);
			return false;
		}
		if (out > 0 && !conn->stray) {
			call->spec.on_data(call->spec.ctx, in->str, out);
			if (conn->dead)
				return false;
		}
		/* Behind decoded chunks stands what follows the body. */
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

/* Takes the next step with what was received; false: there is none now. */
static bool conn_step(struct hc_conn *conn)
{
	if (!conn->call) {
		if (conn->tcp->in->len > 0) {
			conn->peer->hc->counters.unexpected_data++;
			conn_close(conn);
		}
		return false;
	}
	if (conn->in_body)
		return conn_take_body(conn);
	return conn->tcp->in->len > 0 && conn_take_head(conn);
}

/* Goes on with what was received. */
static void conn_read(struct hc_conn *conn)
{
	while (!conn->dead && conn_step(conn))
		continue;
}

static void conn_on_data(void *ctx)
{
	conn_read(ctx);
}

static void conn_on_end(void *ctx, bool clean)
{
	struct hc_conn *conn = ctx;

	if (conn->call && clean && conn->in_body && !conn->stray &&
	    conn->body.framing == H1_UNTIL_CLOSE)
		call_end(conn->call, HC_COMPLETE, false);
	else
		conn_lost(conn, HC_TRUNCATED);
}

static const struct tcp_ops conn_ops = {
	.on_data = conn_on_data,
	.on_end = conn_on_end,
};

/* Writes the request. */
static void conn_send(struct hc_conn *conn, bool reused)
{
	struct hc_request *call = conn->call;
	GString *out = call->out;

	call->out = NULL;
	call->sent = true;
	if (call->spec.on_sent)
		call->spec.on_sent(call->spec.ctx, reused);
	tcp_write(conn->tcp, out->str, out->len);
	g_string_free(out, TRUE);
}

static void conn_on_connect(void *ctx, bool ok)
{
	struct hc_conn *conn = ctx;

	if (!ok) {
		conn_lost(conn, HC_UNSENT);
		return;
	}
	conn->connected = true;
	tcp_set_peer_timeout(conn->tcp, conn->peer->hc->options.peer_timeout);
	tcp_read_start(conn->tcp);
	conn_send(conn, false);
}

/* Takes the connection that was used last, or NULL. */
static struct hc_conn *peer_take_idle(struct hc_peer *peer)
{
	clk_ms now = now_of(peer->hc);

	while (peer->idle->len > 0) {
		struct hc_conn *conn =
			g_ptr_array_index(peer->idle, peer->idle->len - 1);

		if (now - conn->since < conn->keep) {
			g_ptr_array_set_size(peer->idle,
					     (gint)peer->idle->len - 1);
			return conn;
		}
		conn_close(conn);
	}
	return NULL;
}

/* Begins a new connection; NULL if that fails at once. */
static struct hc_conn *peer_connect(struct hc_peer *peer)
{
	struct hc_conn *conn = g_new0(struct hc_conn, 1);

	conn->peer = peer;
	conn->since = now_of(peer->hc);
	conn->tcp = tcp_create(peer->hc->loop, &conn_ops, conn);
	if (!tcp_connect(conn->tcp, peer->address, conn_on_connect)) {
		tcp_close(conn->tcp);
		g_free(conn);
		return NULL;
	}
	g_ptr_array_add(peer->conns, conn);
	peer->hc->counters.connects++;
	return conn;
}

/* Tells of calls that could not be begun. */
static void on_owed(uv_idle_t *idle)
{
	struct hc *hc = idle->data;
	struct hc_request *call = g_queue_pop_head(&hc->refusals);

	if (!call) {
		uv_idle_stop(idle);
		return;
	}
	if (call->spec.on_end) /* NULL: cancelled */
		call->spec.on_end(call->spec.ctx, HC_UNSENT);
	call_free(call);
}

struct hc_request *hc_request_start(struct hc_peer *peer,
				    const struct hc_request_spec *spec)
{
	struct hc_request *call = g_new0(struct hc_request, 1);
	struct hc_conn *conn = peer_take_idle(peer);

	call->spec = *spec;
	call->out = g_string_new_len(spec->head, (gssize)spec->head_len);
	if (spec->body)
		g_string_append_len(call->out,
				    g_bytes_get_data(spec->body, NULL),
				    (gssize)g_bytes_get_size(spec->body));
	if (conn) {
		peer->hc->counters.reuses++;
		conn->call = call;
		call->conn = conn;
		conn_send(conn, true);
		return call;
	}
	conn = peer_connect(peer);
	if (!conn) {
		call->refused = true;
		g_queue_push_tail(&peer->hc->refusals, call);
		uv_idle_start(&peer->hc->owed, on_owed);
		return call;
	}
	conn->call = call;
	call->conn = conn;
	return call;
}

void hc_request_cancel(struct hc_request *call)
{
	struct hc_conn *conn = call->conn;

	if (call->refused) {
		/* The peer may be gone: only the queue knows the call. */
		call->spec.on_end = NULL;
		return;
	}
	conn->call = NULL;
	call_free(call);
	conn_close(conn);
}

/* Closes connections that were idle, or in the making, for too long. */
static void peer_sweep(struct hc_peer *peer, clk_ms now)
{
	const struct hc_options *options = &peer->hc->options;

	for (guint i = peer->conns->len; i > 0; i--) {
		struct hc_conn *conn = g_ptr_array_index(peer->conns, i - 1);
		clk_ms age = now - conn->since;

		if (!conn->connected && age >= options->connect_timeout) {
			conn_lost(conn, HC_UNSENT);
			return; /* the peer may be gone with it */
		}
		if (conn->connected && !conn->call && age >= conn->keep) {
			conn_close(conn);
			return;
		}
	}
}

static void on_sweep(uv_timer_t *timer)
{
	struct hc *hc = timer->data;

	for (guint i = hc->peers->len; i > 0; i--)
		if (i <= hc->peers->len)
			peer_sweep(g_ptr_array_index(hc->peers, i - 1),
				   now_of(hc));
	g_ptr_array_set_size(hc->dead, 0);
}

struct hc *hc_create(uv_loop_t *loop, const struct hc_options *options)
{
	struct hc *hc = g_new0(struct hc, 1);

	hc->loop = loop;
	hc->options = *options;
	hc->peers = g_ptr_array_new();
	hc->dead = g_ptr_array_new_with_free_func(g_free);
	g_queue_init(&hc->refusals);
	uv_timer_init(loop, &hc->sweep);
	hc->sweep.data = hc;
	uv_timer_start(&hc->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
	uv_idle_init(loop, &hc->owed);
	hc->owed.data = hc;
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
	peer->dropped = true;
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

unsigned hc_peer_connections(const struct hc_peer *peer)
{
	return peer->conns->len;
}
