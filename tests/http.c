/*
 * HTTP/1.1: tables of heads and bodies, and server and client against a peer
 * that follows a script, over loopback.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../wire/hc.h"
#include "../wire/hs.h"
#include "run.h"

#define OK200 "HTTP/1.1 200 OK\r\n"
#define ID "X-Id: a\r\n"
#define WAIT_MS 3000 /* for anything to happen */

/* Heads. */

static const struct {
	const char *text;
	ssize_t want; /* H1_MALFORMED, H1_INCOMPLETE, or 1: a head */
	enum h1_framing framing;
	bool close;
} request_cases[] = {
	{ "GET / HTTP/1.1\r\nHost: a\r\n\r\n", 1, H1_NONE, false },
	{ "GET / HTTP/1.1\r\nHost: a\r\n", H1_INCOMPLETE, 0, false },
	{ "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n", 1, H1_LENGTH, false },
	{ "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 1,
	  H1_CHUNKED, false },
	{ "GET / HTTP/1.0\r\n\r\n", 1, H1_NONE, true },
	{ "GET / HTTP/1.1\r\nConnection: a, Close\r\n\r\n", 1, H1_NONE, true },
	/* Bodies whose end could be read in two ways. */
	{ "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
	  H1_MALFORMED, 0, false },
	{ "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n",
	  H1_MALFORMED, 0, false },
	{ "POST / HTTP/1.1\r\nTransfer-Encoding: chunked, identity\r\n\r\n",
	  H1_MALFORMED, 0, false },
	{ "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n",
	  H1_MALFORMED, 0, false },
	{ "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", H1_MALFORMED,
	  0, false },
	{ "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n", H1_MALFORMED, 0,
	  false },
	{ "POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n", H1_MALFORMED, 0,
	  false },
	{ "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", H1_MALFORMED, 0,
	  false },
	{ "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n", H1_MALFORMED, 0,
	  false },
	{ "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", H1_MALFORMED, 0, false },
	{ "GET / HTTP/1.1\r\nA: b\x01\r\n\r\n", H1_MALFORMED, 0, false },
	{ "nonsense\r\n\r\n", H1_MALFORMED, 0, false },
};

START_TEST(request_heads)
{
	struct h1_head head;
	const char *text = request_cases[_i].text;
	ssize_t len = h1_parse_request(text, strlen(text), 0, &head);

	ck_assert_int_eq(len > 0 ? 1 : len, request_cases[_i].want);
	if (len <= 0)
		return;
	ck_assert_int_eq(head.framing, request_cases[_i].framing);
	ck_assert_int_eq(head.close, request_cases[_i].close);
}
END_TEST

START_TEST(chunks_in_any_cut)
{
	const char *text = "5;x=y\r\nhello\r\n1\r\n!\r\n0\r\nT: t\r\n\r\nrest";
	size_t all = strlen(text);

	for (size_t cut = 1; cut < all; cut++) {
		struct h1_head head = { .framing = H1_CHUNKED };
		struct h1_body body;
		GString *got = g_string_new(NULL);
		size_t at = 0;

		h1_body_init(&body, &head);
		while (at < all && !body.done) {
			size_t size = MIN(at == 0 ? cut : all, all - at);
			char *part = g_strndup(text + at, size);
			size_t out;
			size_t used;

			ck_assert(
				h1_body_decode(&body, part, size, &out, &used));
			g_string_append_len(got, part, (gssize)out);
			at += used;
			g_free(part);
		}
		ck_assert_str_eq(got->str, "hello!");
		ck_assert_str_eq(text + at, "rest");
		g_string_free(got, TRUE);
	}
}
END_TEST

/* The loop, and a wait for something on it. */

static uv_loop_t loop;

static void on_late(uv_timer_t *timer)
{
	*(bool *)timer->data = true;
}

/* Runs the loop until done is set; fails if it takes too long. */
static void loop_until(const bool *done)
{
	uv_timer_t timer;
	bool late = false;

	uv_timer_init(&loop, &timer);
	timer.data = &late;
	uv_timer_start(&timer, on_late, WAIT_MS, 0);
	while (!*done && !late)
		uv_run(&loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
	ck_assert_msg(*done, "nothing happened");
}

static void loop_for(clk_ms ms)
{
	uv_timer_t timer;
	bool late = false;

	uv_timer_init(&loop, &timer);
	timer.data = &late;
	uv_timer_start(&timer, on_late, (uint64_t)ms, 0);
	while (!late)
		uv_run(&loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
}

/* The client, against a server that follows a script. */

enum ending {
	KEEP,  /* the connection stays open */
	END,   /* it is ended */
	RESET, /* it is reset */
};

/* What the server does on one connection: reads a request, answers. */
struct script {
	const char *answers[3]; /* to the requests on one connection */
	enum ending ending;	/* after the last answer */
};

struct server {
	uv_tcp_t listener;
	uv_tcp_t conn;
	const struct script *script;
	int answered;
	int accepted;
	char address[32];
	char buffer[4096];
	GString *seen;
};

static void server_on_closed(uv_handle_t *handle)
{
	(void)handle;
}

static void server_end(struct server *server)
{
	struct linger linger = { 1, 0 };
	uv_os_fd_t fd;

	if (server->script->ending == KEEP)
		return;
	uv_fileno((uv_handle_t *)&server->conn, &fd);
	if (server->script->ending == RESET)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	uv_close((uv_handle_t *)&server->conn, server_on_closed);
}

static void server_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct server *server = handle->data;

	(void)size;
	*buf = uv_buf_init(server->buffer, sizeof(server->buffer));
}

static void server_on_read(uv_stream_t *stream, ssize_t len,
			   const uv_buf_t *buf)
{
	struct server *server = stream->data;
	const char *answer;
	uv_buf_t out;

	if (len <= 0)
		return;
	g_string_append_len(server->seen, buf->base, len);
	if (!strstr(server->seen->str, "\r\n\r\n"))
		return;
	g_string_truncate(server->seen, 0);
	answer = server->script->answers[server->answered++];
	if (answer) {
		out = uv_buf_init((char *)answer, (unsigned)strlen(answer));
		uv_try_write(stream, &out, 1);
	}
	if (server->answered == 3 || !server->script->answers[server->answered])
		server_end(server);
}

static void server_on_connection(uv_stream_t *listener, int status)
{
	struct server *server = listener->data;

	ck_assert_int_eq(status, 0);
	server->accepted++;
	server->answered = 0;
	uv_tcp_init(&loop, &server->conn);
	server->conn.data = server;
	uv_accept(listener, (uv_stream_t *)&server->conn);
	uv_read_start((uv_stream_t *)&server->conn, server_alloc,
		      server_on_read);
}

static struct server *server_start(const struct script *script)
{
	struct server *server = g_new0(struct server, 1);
	struct sockaddr_in addr;
	int len = sizeof(addr);

	server->script = script;
	server->seen = g_string_new(NULL);
	uv_tcp_init(&loop, &server->listener);
	server->listener.data = server;
	uv_ip4_addr("127.0.0.1", 0, &addr);
	uv_tcp_bind(&server->listener, (struct sockaddr *)&addr, 0);
	uv_listen((uv_stream_t *)&server->listener, 8, server_on_connection);
	uv_tcp_getsockname(&server->listener, (struct sockaddr *)&addr, &len);
	g_snprintf(server->address, sizeof(server->address), "127.0.0.1:%d",
		   ntohs(addr.sin_port));
	return server;
}

/* One call and how it ended. */
struct outcome {
	bool done;
	enum hc_result end;
	int status;
	GString *body;
};

static void on_head(void *ctx, const struct h1_head *head)
{
	((struct outcome *)ctx)->status = head->status;
}

static void on_data(void *ctx, const char *ptr, size_t len)
{
	g_string_append_len(((struct outcome *)ctx)->body, ptr, (gssize)len);
}

static void on_end(void *ctx, enum hc_result end)
{
	struct outcome *outcome = ctx;

	ck_assert(!outcome->done);
	outcome->done = true;
	outcome->end = end;
}

static struct hc_request *call_start(struct hc_peer *peer,
				     struct outcome *outcome)
{
	static const char head[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
	struct hc_request_spec spec = {
		.head = head,
		.head_len = strlen(head),
		.id = "a",
		.on_head = on_head,
		.on_data = on_data,
		.on_end = on_end,
		.ctx = outcome,
	};

	*outcome = (struct outcome){ .body = g_string_new(NULL) };
	return hc_request_start(peer, &spec);
}

static struct hc *client_create(void)
{
	struct hc_options options = {
		.connect_timeout = 500,
		.idle_timeout = 5000,
		.peer_timeout = 2000,
		.id_header = "X-Id",
	};

	return hc_create(&loop, &options);
}

static const struct {
	const char *what;
	struct script script;
	enum hc_result end;
	const char *body;
	bool kept; /* the connection is used again */
} client_cases[] = {
	{ "by length",
	  { { OK200 ID "Content-Length: 2\r\n\r\nhi" }, KEEP },
	  HC_COMPLETE,
	  "hi",
	  true },
	{ "by chunks",
	  { { OK200 ID "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"
		       "0\r\n\r\n" },
	    KEEP },
	  HC_COMPLETE,
	  "hi",
	  true },
	{ "by the end",
	  { { OK200 ID "\r\nhi" }, END },
	  HC_COMPLETE,
	  "hi",
	  false },
	/* It had no length, and was cut: it is not whole. */
	{ "reset instead of the end",
	  { { OK200 ID "\r\nhi" }, RESET },
	  HC_TRUNCATED,
	  "hi",
	  false },
	{ "ended early",
	  { { OK200 ID "Content-Length: 9\r\n\r\nhi" }, END },
	  HC_TRUNCATED,
	  "hi",
	  false },
	{ "no last chunk",
	  { { OK200 ID "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n" }, END },
	  HC_TRUNCATED,
	  "hi",
	  false },
	{ "bad chunk",
	  { { OK200 ID "Transfer-Encoding: chunked\r\n\r\nzz\r\n" }, KEEP },
	  HC_MALFORMED,
	  "",
	  false },
	{ "not HTTP",
	  { { "what is this\r\n\r\n" }, KEEP },
	  HC_MALFORMED,
	  "",
	  false },
	{ "no answer", { { "" }, END }, HC_TRUNCATED, "", false },
	{ "says close",
	  { { OK200 ID "Connection: close\r\nContent-Length: 2\r\n\r\nhi" },
	    KEEP },
	  HC_COMPLETE,
	  "hi",
	  false },
	{ "bytes after the answer",
	  { { OK200 ID "Content-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n" },
	    KEEP },
	  HC_COMPLETE,
	  "hi",
	  false },
	{ "another request's answer first",
	  { { OK200 "X-Id: b\r\nContent-Length: 3\r\n\r\nbad" OK200 ID
		    "Content-Length: 2\r\n\r\nhi" },
	    KEEP },
	  HC_COMPLETE,
	  "hi",
	  true },
	{ "only another request's answer",
	  { { OK200 "X-Id: b\r\nContent-Length: 3\r\n\r\nbad" }, END },
	  HC_TRUNCATED,
	  "",
	  false },
	{ "100 first",
	  { { "HTTP/1.1 100 Continue\r\n\r\n" OK200 ID
	      "Content-Length: 2\r\n\r\nhi" },
	    KEEP },
	  HC_COMPLETE,
	  "hi",
	  true },
	{ "two lengths",
	  { { OK200 ID "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi" },
	    KEEP },
	  HC_MALFORMED,
	  "",
	  false },
};

START_TEST(client_reads)
{
	struct server *server;
	struct hc_peer *peer;
	struct outcome outcome;

	uv_loop_init(&loop);
	server = server_start(&client_cases[_i].script);
	peer = hc_peer_add(client_create(), server->address);
	call_start(peer, &outcome);
	loop_until(&outcome.done);
	ck_assert_msg(outcome.end == client_cases[_i].end, "%s: end %d",
		      client_cases[_i].what, outcome.end);
	ck_assert_str_eq(outcome.body->str, client_cases[_i].body);
	loop_for(20);
	ck_assert_msg(hc_peer_has_idle(peer) == client_cases[_i].kept,
		      "%s: kept %d", client_cases[_i].what,
		      hc_peer_has_idle(peer));
}
END_TEST

START_TEST(client_reuses_and_drops_late_bytes)
{
	static const struct script script = {
		{ OK200 ID "Content-Length: 2\r\n\r\nhi",
		  OK200 ID "Content-Length: 2\r\n\r\nho" },
		KEEP,
	};
	struct outcome outcome;
	struct server *server;
	struct hc_peer *peer;
	uv_buf_t late = uv_buf_init((char *)"HTTP/1.1 200 OK\r\n\r\n", 19);

	uv_loop_init(&loop);
	server = server_start(&script);
	peer = hc_peer_add(client_create(), server->address);
	call_start(peer, &outcome);
	loop_until(&outcome.done);
	call_start(peer, &outcome);
	loop_until(&outcome.done);
	ck_assert_str_eq(outcome.body->str, "ho");
	ck_assert_int_eq(server->accepted, 1);
	/* Bytes on an idle connection: it is not used again. */
	uv_try_write((uv_stream_t *)&server->conn, &late, 1);
	loop_for(50);
	ck_assert(!hc_peer_has_idle(peer));
	ck_assert_uint_eq(hc_peer_connections(peer), 0);
}
END_TEST

START_TEST(client_cancel_closes)
{
	static const struct script script = { { "" }, KEEP };
	struct outcome outcome;
	struct server *server;
	struct hc_peer *peer;
	struct hc_request *call;

	uv_loop_init(&loop);
	server = server_start(&script);
	peer = hc_peer_add(client_create(), server->address);
	call = call_start(peer, &outcome);
	loop_for(50);
	hc_request_cancel(call);
	loop_for(50);
	ck_assert(!outcome.done);
	ck_assert_uint_eq(hc_peer_connections(peer), 0);
	ck_assert_int_eq(server->accepted, 1);
}
END_TEST

START_TEST(client_refused_is_unsent)
{
	struct outcome outcome;

	uv_loop_init(&loop);
	call_start(hc_peer_add(client_create(), "127.0.0.1:1"), &outcome);
	loop_until(&outcome.done);
	ck_assert_int_eq(outcome.end, HC_UNSENT);
	call_start(hc_peer_add(client_create(), "nowhere"), &outcome);
	loop_until(&outcome.done);
	ck_assert_int_eq(outcome.end, HC_UNSENT);
}
END_TEST

/* The server, against a caller that writes bytes. */

struct front {
	struct hs *hs;
	GString *requests; /* "METHOD target body|" each */
	int gone;
	struct hs_request *held; /* of a request for /hold */
	int refused;
};

static void front_on_gone(void *ctx)
{
	struct front *front = ctx;

	front->gone++;
	front->held = NULL;
}

static void front_on_request(void *ctx, struct hs_request *call)
{
	struct front *front = ctx;
	const struct h1_head *head = hs_request_head(call);
	struct http_view body = hs_request_body(call);

	g_string_append_printf(front->requests, "%.*s %.*s %.*s|",
			       (int)head->method.len, head->method.ptr,
			       (int)head->target.len, head->target.ptr,
			       (int)body.len, body.ptr);
	if (h1_view_equals(hs_request_path(call), "/hold")) {
		front->held = call;
		hs_request_on_disconnect(call, front_on_gone, front);
		return;
	}
	hs_response_send(call, 200, NULL, "ok", 2);
}

static void front_on_rejected(void *ctx, int status)
{
	((struct front *)ctx)->refused = status;
}

static int front_port;

static struct front *front_start(void)
{
	struct front *front = g_new0(struct front, 1);
	struct hs_options options = {
		.limits = {
			.head_max = 512,
			.body_max = 64,
			.head_timeout = 300,
			.idle_timeout = 600,
			.connections_max = 8,
		},
		.on_request = front_on_request,
		.on_rejected = front_on_rejected,
		.ctx = front,
	};
	char address[32];
	GError *error = NULL;

	front->requests = g_string_new(NULL);
	for (front_port = 20000 + getpid() % 20000; !front->hs; front_port++) {
		g_snprintf(address, sizeof(address), "127.0.0.1:%d",
			   front_port);
		options.address = address;
		g_clear_error(&error);
		front->hs = hs_create(&loop, &options, &error);
	}
	front_port--;
	return front;
}

static int front_connect(void)
{
	struct sockaddr_in addr;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	uv_ip4_addr("127.0.0.1", front_port, &addr);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&addr, sizeof(addr)),
			 0);
	return fd;
}

/* Reads what has come; sets ended if the connection is closed. */
static char *front_read(int fd, bool *ended)
{
	GString *text = g_string_new(NULL);
	char buffer[4096];
	ssize_t len;

	while ((len = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0)
		g_string_append_len(text, buffer, len);
	*ended = len == 0 || (len < 0 && errno != EAGAIN);
	return g_string_free(text, FALSE);
}

static const struct {
	const char *what;
	const char *bytes;
	const char *requests;
	const char *answer; /* how it begins */
	bool ended;
} server_cases[] = {
	{ "one", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a |",
	  "HTTP/1.1 200 OK", false },
	{ "body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi",
	  "POST /a hi|", "HTTP/1.1 200 OK", false },
	{ "chunks and one more",
	  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "2\r\nhi\r\n1\r\n!\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
	  "POST /a hi!|GET /b |", "HTTP/1.1 200 OK", false },
	{ "asks to close",
	  "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "GET /a |",
	  "HTTP/1.1 200 OK", true },
	{ "no host", "GET /a HTTP/1.1\r\n\r\n", "", "HTTP/1.1 400", true },
	{ "two hosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "",
	  "HTTP/1.1 400", true },
	{ "no path", "GET a HTTP/1.1\r\nHost: h\r\n\r\n", "", "HTTP/1.1 400",
	  true },
	{ "two framings",
	  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
	  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /s HTTP/1.1\r\n",
	  "", "HTTP/1.1 400", true },
	{ "body too large",
	  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", "",
	  "HTTP/1.1 413", true },
	{ "chunks too large",
	  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "41\r\n01234567890123456789012345678901234567890123456789012345"
	  "678901234\r\n",
	  "", "HTTP/1.1 413", true },
	{ "never the whole head", "GET /a HTTP/1.1\r\nHo", "", "HTTP/1.1 408",
	  true },
	{ "waits to continue",
	  "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
	  "Content-Length: 2\r\n\r\n",
	  "", "HTTP/1.1 100 Continue", false },
};

START_TEST(server_reads)
{
	struct front *front;
	bool ended;
	char *answer;
	int fd;

	uv_loop_init(&loop);
	front = front_start();
	fd = front_connect();
	ck_assert_int_gt(send(fd, server_cases[_i].bytes,
			      strlen(server_cases[_i].bytes), 0),
			 0);
	loop_for(server_cases[_i].ended ? 700 : 100);
	answer = front_read(fd, &ended);
	ck_assert_msg(g_str_has_prefix(answer, server_cases[_i].answer),
		      "%s: %s", server_cases[_i].what, answer);
	ck_assert_str_eq(front->requests->str, server_cases[_i].requests);
	ck_assert_msg(ended == server_cases[_i].ended, "%s: ended %d",
		      server_cases[_i].what, ended);
	close(fd);
}
END_TEST

/* Starts a server with a request that is not answered yet. */
static struct front *front_hold(int *fd)
{
	static const char bytes[] = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n";
	struct front *front;

	uv_loop_init(&loop);
	front = front_start();
	*fd = front_connect();
	send(*fd, bytes, strlen(bytes), 0);
	loop_for(50);
	ck_assert_ptr_nonnull(front->held);
	return front;
}

START_TEST(server_sees_a_caller_go)
{
	int fd;
	struct front *front = front_hold(&fd);

	close(fd);
	loop_for(50);
	ck_assert_int_eq(front->gone, 1);
	ck_assert_uint_eq(hs_open_requests(front->hs), 0);
}
END_TEST

START_TEST(server_is_busy_until_all_is_taken)
{
	static const char bytes[] = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n";
	char *large = g_malloc0(32 << 20);
	struct front *front;
	bool ended = false;
	int fd;

	uv_loop_init(&loop);
	front = front_start();
	fd = front_connect();
	loop_for(20);
	ck_assert_uint_eq(hs_busy_connections(front->hs), 0);
	send(fd, bytes, 10, 0);
	loop_for(20);
	ck_assert_uint_eq(hs_busy_connections(front->hs), 1);
	send(fd, bytes + 10, strlen(bytes) - 10, 0);
	loop_for(20);
	hs_drain(front->hs);
	hs_response_send(front->held, 200, NULL, large, 32 << 20);
	/* It is answered, but the caller has not taken the answer. */
	loop_for(20);
	ck_assert_uint_eq(hs_open_requests(front->hs), 0);
	ck_assert_uint_eq(hs_busy_connections(front->hs), 1);
	for (int i = 0; i < 200 && !ended; i++) {
		g_free(front_read(fd, &ended));
		loop_for(5);
	}
	close(fd);
	loop_for(50);
	ck_assert_uint_eq(hs_busy_connections(front->hs), 0);
	g_free(large);
}
END_TEST

START_TEST(server_drains)
{
	bool ended;
	char *answer;
	int fd;
	struct front *front = front_hold(&fd);

	hs_drain(front->hs);
	loop_for(50);
	/* What is under way is answered, and the connection ends with it. */
	hs_response_start(front->held, 200, NULL);
	hs_response_write(front->held, "hi", 2);
	hs_response_end(front->held);
	loop_for(50);
	answer = front_read(fd, &ended);
	ck_assert_ptr_nonnull(strstr(answer, "Connection: close"));
	ck_assert_ptr_nonnull(strstr(answer, "2\r\nhi\r\n0\r\n\r\n"));
	ck_assert(ended);
	ck_assert_int_eq(front->gone, 0);
}
END_TEST

START_TEST(server_aborts_visibly)
{
	bool ended;
	char *answer;
	int fd;
	struct front *front = front_hold(&fd);

	hs_response_start(front->held, 200, NULL);
	hs_response_write(front->held, "hi", 2);
	hs_response_abort(front->held);
	loop_for(50);
	answer = front_read(fd, &ended);
	ck_assert(ended);
	ck_assert_ptr_null(strstr(answer, "\r\n0\r\n\r\n"));
}
END_TEST

static Suite *http_suite(void)
{
	Suite *suite = suite_create("http");
	TCase *tcase = tcase_create("tables");

	suite_add_tcase(suite, tcase);
	tcase_add_loop_test(tcase, request_heads, 0,
			    G_N_ELEMENTS(request_cases));
	tcase_add_test(tcase, chunks_in_any_cut);
	tcase_add_loop_test(tcase, client_reads, 0, G_N_ELEMENTS(client_cases));
	tcase_add_test(tcase, client_reuses_and_drops_late_bytes);
	tcase_add_test(tcase, client_cancel_closes);
	tcase_add_test(tcase, client_refused_is_unsent);
	tcase_add_loop_test(tcase, server_reads, 0, G_N_ELEMENTS(server_cases));
	tcase_add_test(tcase, server_sees_a_caller_go);
	tcase_add_test(tcase, server_is_busy_until_all_is_taken);
	tcase_add_test(tcase, server_drains);
	tcase_add_test(tcase, server_aborts_visibly);
	return suite;
}

int main(void)
{
	return run_suite(http_suite(), "http");
}
