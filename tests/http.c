/*
 * Tests of HTTP/1.1: parsing of heads and bodies, the client against a stub
 * server with scripted responses, and the server against raw sockets, both over
 * loopback.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../wire/budget.h"
#include "../wire/due.h"
#include "../wire/hc.h"
#include "../wire/hs.h"
#include "../wire/http.h"
#include "../wire/json.h"
#include "run.h"

#define OK200 "HTTP/1.1 200 OK\r\n"
#define ID "X-Id: a\r\n"
#define WAIT_MS 3000 /* timeout of loop_until */
#define SERVER_REQUESTS 8

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
	/* Bodies whose length is ambiguous. */
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

START_TEST(request_heads_are_parsed)
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

START_TEST(chunks_may_be_split_anywhere)
{
	const char *text = "5;x=y\r\nhello\r\n1\r\n!\r\n0\r\nT: t\r\n\r\nrest";
	size_t all = strlen(text);

	for (size_t split = 1; split < all; split++) {
		struct h1_head head = { .framing = H1_CHUNKED };
		struct h1_body body;
		GString *got = g_string_new(NULL);
		size_t at = 0;

		h1_body_init(&body, &head);
		while (at < all && !body.done) {
			size_t size = MIN(at == 0 ? split : all, all - at);
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

/* The event loop. */

static uv_loop_t loop;

static void on_timeout(uv_timer_t *timer)
{
	*(bool *)timer->data = true;
}

/* Runs the loop until done is set; fails after WAIT_MS. */
static void loop_until(const bool *done)
{
	uv_timer_t timer;
	bool timed_out = false;

	uv_timer_init(&loop, &timer);
	timer.data = &timed_out;
	uv_timer_start(&timer, on_timeout, WAIT_MS, 0);
	while (!*done && !timed_out)
		uv_run(&loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
	ck_assert_msg(*done, "timed out");
}

static void loop_for(clk_ms ms)
{
	uv_timer_t timer;
	bool timed_out = false;

	uv_timer_init(&loop, &timer);
	timer.data = &timed_out;
	uv_timer_start(&timer, on_timeout, (uint64_t)ms, 0);
	while (!timed_out)
		uv_run(&loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
}

/* Timers that are due. */

struct held {
	int first[2]; /* socket pairs */
	int second[2];
	uv_poll_t polls[2];
	struct due_timer timer;
	bool read_second;
	bool done;
	bool read_in_time;
	clk_ms behind; /* of the loop's time, when the timer ran */
};

static clk_ms clock_now(void)
{
	return (clk_ms)(uv_hrtime() / 1000000);
}

/* Holds the loop up; the second socket's input arrives meanwhile. */
static void held_on_first(uv_poll_t *poll, int status, int events)
{
	struct held *held = poll->data;

	(void)status;
	(void)events;
	uv_poll_stop(poll);
	g_usleep(100000);
	ck_assert_int_eq(write(held->second[1], "x", 1), 1);
	g_usleep(100000);
}

static void held_on_second(uv_poll_t *poll, int status, int events)
{
	struct held *held = poll->data;

	(void)status;
	(void)events;
	uv_poll_stop(poll);
	held->read_second = true;
}

static void held_on_timer(void *ctx)
{
	struct held *held = ctx;

	held->read_in_time = held->read_second;
	held->behind = clock_now() - (clk_ms)uv_now(&loop);
	held->done = true;
}

START_TEST(timer_runs_after_the_loop_was_held_up)
{
	struct held held = { .done = false };

	uv_loop_init(&loop);
	socketpair(AF_UNIX, SOCK_STREAM, 0, held.first);
	socketpair(AF_UNIX, SOCK_STREAM, 0, held.second);
	uv_poll_init(&loop, &held.polls[0], held.first[0]);
	uv_poll_init(&loop, &held.polls[1], held.second[0]);
	held.polls[0].data = held.polls[1].data = &held;
	uv_poll_start(&held.polls[0], UV_READABLE, held_on_first);
	uv_poll_start(&held.polls[1], UV_READABLE, held_on_second);
	due_init(&loop, &held.timer, held_on_timer, &held);
	due_start(&held.timer, 1, 0);
	/* The timer is due, and the first socket's input waits. */
	ck_assert_int_eq(write(held.first[1], "x", 1), 1);
	g_usleep(20000);
	loop_until(&held.done);
	ck_assert(held.read_in_time);
	ck_assert_int_lt(held.behind, 60);
}
END_TEST

/* The client, against a stub server with scripted responses. */

enum close_mode {
	KEEP_OPEN,
	CLOSE, /* with a FIN */
	RESET, /* with an RST */
};

/* The responses of the stub server on each connection. */
struct script {
	const char *responses[3];   /* to successive requests; NULL: end */
	enum close_mode close_mode; /* after the last response */
};

struct stub {
	uv_tcp_t listener;
	uv_tcp_t *conn; /* the last one */
	const struct script *script;
	int responses_sent;
	int accepted;
	char address[32];
	char buffer[4096];
	GString *received;
};

static void stub_on_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void stub_close(struct stub *stub)
{
	struct linger linger = { 1, 0 };
	uv_os_fd_t fd;

	if (stub->script->close_mode == KEEP_OPEN)
		return;
	uv_fileno((uv_handle_t *)stub->conn, &fd);
	if (stub->script->close_mode == RESET)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	uv_close((uv_handle_t *)stub->conn, stub_on_closed);
}

static void stub_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct stub *stub = handle->data;

	(void)size;
	*buf = uv_buf_init(stub->buffer, sizeof(stub->buffer));
}

static void stub_on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	struct stub *stub = stream->data;
	const char *response;
	uv_buf_t out;

	if (len <= 0)
		return;
	g_string_append_len(stub->received, buf->base, len);
	if (!strstr(stub->received->str, "\r\n\r\n"))
		return;
	g_string_truncate(stub->received, 0);
	response = stub->script->responses[stub->responses_sent++];
	if (response) {
		out = uv_buf_init((char *)response, (unsigned)strlen(response));
		uv_try_write(stream, &out, 1);
	}
	if (stub->responses_sent == 3 ||
	    !stub->script->responses[stub->responses_sent])
		stub_close(stub);
}

static void stub_on_connection(uv_stream_t *listener, int status)
{
	struct stub *stub = listener->data;

	ck_assert_int_eq(status, 0);
	stub->accepted++;
	stub->responses_sent = 0;
	stub->conn = g_new0(uv_tcp_t, 1);
	uv_tcp_init(&loop, stub->conn);
	stub->conn->data = stub;
	uv_accept(listener, (uv_stream_t *)stub->conn);
	uv_read_start((uv_stream_t *)stub->conn, stub_alloc, stub_on_read);
}

static struct stub *stub_start(const struct script *script)
{
	struct stub *stub = g_new0(struct stub, 1);
	struct sockaddr_in addr;
	int len = sizeof(addr);

	stub->script = script;
	stub->received = g_string_new(NULL);
	uv_tcp_init(&loop, &stub->listener);
	stub->listener.data = stub;
	uv_ip4_addr("127.0.0.1", 0, &addr);
	uv_tcp_bind(&stub->listener, (struct sockaddr *)&addr, 0);
	uv_listen((uv_stream_t *)&stub->listener, 8, stub_on_connection);
	uv_tcp_getsockname(&stub->listener, (struct sockaddr *)&addr, &len);
	g_snprintf(stub->address, sizeof(stub->address), "127.0.0.1:%d",
		   ntohs(addr.sin_port));
	return stub;
}

/* The outcome of one request. */
struct outcome {
	bool done;
	enum hc_result result;
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

static void on_end(void *ctx, enum hc_result result)
{
	struct outcome *outcome = ctx;

	ck_assert(!outcome->done);
	outcome->done = true;
	outcome->result = result;
}

static struct hc_request *send_repeatable(struct hc_peer *peer,
					  struct outcome *outcome,
					  bool is_repeatable)
{
	static const char head[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
	struct hc_request_spec spec = {
		.head = head,
		.head_len = strlen(head),
		.id = "a",
		.is_repeatable = is_repeatable,
		.on_head = on_head,
		.on_data = on_data,
		.on_end = on_end,
		.ctx = outcome,
	};

	*outcome = (struct outcome){ .body = g_string_new(NULL) };
	return hc_request_start(peer, &spec);
}

static struct hc_request *send_request(struct hc_peer *peer,
				       struct outcome *outcome)
{
	return send_repeatable(peer, outcome, false);
}

static const struct hc_options client_options = {
	.connect_timeout = 500,
	.idle_timeout = 5000,
	.peer_timeout = 2000,
	.id_header = "X-Id",
};

static struct hc *client_create(void)
{
	return hc_create(&loop, &client_options);
}

static const struct {
	const char *what;
	struct script script;
	enum hc_result result;
	const char *body;
	bool pooled; /* the connection is kept for reuse */
} client_cases[] = {
	{ "by length",
	  { { OK200 ID "Content-Length: 2\r\n\r\nhi" }, KEEP_OPEN },
	  HC_COMPLETE,
	  "hi",
	  true },
	{ "by chunks",
	  { { OK200 ID "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n"
		       "0\r\n\r\n" },
	    KEEP_OPEN },
	  HC_COMPLETE,
	  "hi",
	  true },
	{ "by the end of the connection",
	  { { OK200 ID "\r\nhi" }, CLOSE },
	  HC_CLOSED,
	  "hi",
	  false },
	/* Without a length, a reset means that it is incomplete. */
	{ "reset instead of a close",
	  { { OK200 ID "\r\nhi" }, RESET },
	  HC_TRUNCATED,
	  "hi",
	  false },
	{ "closed early",
	  { { OK200 ID "Content-Length: 9\r\n\r\nhi" }, CLOSE },
	  HC_TRUNCATED,
	  "hi",
	  false },
	{ "no last chunk",
	  { { OK200 ID "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n" },
	    CLOSE },
	  HC_TRUNCATED,
	  "hi",
	  false },
	{ "bad chunk",
	  { { OK200 ID "Transfer-Encoding: chunked\r\n\r\nzz\r\n" },
	    KEEP_OPEN },
	  HC_MALFORMED,
	  "",
	  false },
	{ "not HTTP",
	  { { "what is this\r\n\r\n" }, KEEP_OPEN },
	  HC_MALFORMED,
	  "",
	  false },
	{ "no response", { { "" }, CLOSE }, HC_TRUNCATED, "", false },
	{ "Connection: close",
	  { { OK200 ID "Connection: close\r\nContent-Length: 2\r\n\r\nhi" },
	    KEEP_OPEN },
	  HC_COMPLETE,
	  "hi",
	  false },
	{ "bytes after the response",
	  { { OK200 ID "Content-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n" },
	    KEEP_OPEN },
	  HC_COMPLETE,
	  "hi",
	  false },
	{ "another request's response first",
	  { { OK200 "X-Id: b\r\nContent-Length: 3\r\n\r\nbad" OK200 ID
		    "Content-Length: 2\r\n\r\nhi" },
	    KEEP_OPEN },
	  HC_COMPLETE,
	  "hi",
	  true },
	{ "only another request's response",
	  { { OK200 "X-Id: b\r\nContent-Length: 3\r\n\r\nbad" }, CLOSE },
	  HC_TRUNCATED,
	  "",
	  false },
	{ "100 first",
	  { { "HTTP/1.1 100 Continue\r\n\r\n" OK200 ID
	      "Content-Length: 2\r\n\r\nhi" },
	    KEEP_OPEN },
	  HC_COMPLETE,
	  "hi",
	  true },
	{ "two lengths",
	  { { OK200 ID "Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi" },
	    KEEP_OPEN },
	  HC_MALFORMED,
	  "",
	  false },
	/* A status that is none, or that only follows an Upgrade. */
	{ "status 000",
	  { { "HTTP/1.1 000 X\r\n" ID "Content-Length: 2\r\n\r\nhi" },
	    KEEP_OPEN },
	  HC_MALFORMED,
	  "",
	  false },
	{ "status 099",
	  { { "HTTP/1.1 099 X\r\n" ID "Content-Length: 2\r\n\r\nhi" },
	    KEEP_OPEN },
	  HC_MALFORMED,
	  "",
	  false },
	{ "status 101",
	  { { "HTTP/1.1 101 X\r\n" ID "Content-Length: 2\r\n\r\nhi" },
	    KEEP_OPEN },
	  HC_MALFORMED,
	  "",
	  false },
	{ "status 600",
	  { { "HTTP/1.1 600 X\r\n" ID "Content-Length: 2\r\n\r\nhi" },
	    KEEP_OPEN },
	  HC_MALFORMED,
	  "",
	  false },
	{ "status 999",
	  { { "HTTP/1.1 999 X\r\n" ID "Content-Length: 2\r\n\r\nhi" },
	    KEEP_OPEN },
	  HC_MALFORMED,
	  "",
	  false },
	{ "status 599",
	  { { "HTTP/1.1 599 X\r\n" ID "Content-Length: 2\r\n\r\nhi" },
	    KEEP_OPEN },
	  HC_COMPLETE,
	  "hi",
	  true },
};

START_TEST(client_reads)
{
	struct stub *stub;
	struct hc_peer *peer;
	struct outcome outcome;

	uv_loop_init(&loop);
	stub = stub_start(&client_cases[_i].script);
	peer = hc_peer_add(client_create(), stub->address);
	send_request(peer, &outcome);
	loop_until(&outcome.done);
	ck_assert_msg(outcome.result == client_cases[_i].result,
		      "%s: result %d", client_cases[_i].what, outcome.result);
	ck_assert_str_eq(outcome.body->str, client_cases[_i].body);
	loop_for(20);
	ck_assert_msg(hc_peer_has_idle(peer) == client_cases[_i].pooled,
		      "%s: pooled %d", client_cases[_i].what,
		      hc_peer_has_idle(peer));
}
END_TEST

START_TEST(client_reuses_unless_unexpected_data)
{
	static const struct script script = {
		{ OK200 ID "Content-Length: 2\r\n\r\nhi",
		  OK200 ID "Content-Length: 2\r\n\r\nho" },
		KEEP_OPEN,
	};
	struct outcome outcome;
	struct stub *stub;
	struct hc_peer *peer;
	uv_buf_t unexpected =
		uv_buf_init((char *)"HTTP/1.1 200 OK\r\n\r\n", 19);

	uv_loop_init(&loop);
	stub = stub_start(&script);
	peer = hc_peer_add(client_create(), stub->address);
	send_request(peer, &outcome);
	loop_until(&outcome.done);
	send_request(peer, &outcome);
	loop_until(&outcome.done);
	ck_assert_str_eq(outcome.body->str, "ho");
	ck_assert_int_eq(stub->accepted, 1);
	/* A connection on which bytes arrive while idle is not reused. */
	uv_try_write((uv_stream_t *)stub->conn, &unexpected, 1);
	loop_for(50);
	ck_assert(!hc_peer_has_idle(peer));
	ck_assert_uint_eq(hc_peer_connections(peer), 0);
}
END_TEST

/* A response that names the process, and one to the request after it. */
#define NAMED OK200 "Content-Length: 1\r\n\r\nr"
#define ANSWERED_KEPT(seconds)                                                 \
	OK200 ID "Keep-Alive: timeout=" #seconds                               \
		 "\r\nContent-Length: 2\r\n\r\nhi"
#define ANSWERED OK200 ID "Content-Length: 2\r\n\r\nhi"

static int64_t named_42(void *ctx)
{
	ck_assert(!((struct outcome *)ctx)->done);
	return 42;
}

/* A connection whose first response has named process 42, and a request after
 * it: the process and the id that it asks for, what the server sends then. */
static const struct {
	const char *what;
	struct script script;
	int64_t process;
	const char *id;
	enum hc_result result;
	const char *body;
	int accepted; /* connections */
} named_cases[] = {
	{ "to that process",
	  { { NAMED, ANSWERED }, KEEP_OPEN },
	  42,
	  "a",
	  HC_COMPLETE,
	  "hi",
	  1 },
	{ "to another one",
	  { { NAMED }, KEEP_OPEN },
	  41,
	  "a",
	  HC_UNSENT,
	  "",
	  1 },
	{ "to any",
	  { { NAMED, ANSWERED }, KEEP_OPEN },
	  0,
	  "a",
	  HC_COMPLETE,
	  "hi",
	  1 },
	{ "a second first response comes before its own",
	  { { NAMED, NAMED ANSWERED }, KEEP_OPEN },
	  42,
	  "a",
	  HC_COMPLETE,
	  "hi",
	  1 },
	{ "without an id",
	  { { NAMED }, KEEP_OPEN },
	  0,
	  NULL,
	  HC_COMPLETE,
	  "r",
	  2 },
	{ "the connection has ended",
	  { { NAMED }, CLOSE },
	  42,
	  "a",
	  HC_UNSENT,
	  "",
	  1 },
};

START_TEST(client_knows_process)
{
	static const char head[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
	struct outcome outcome = { .body = g_string_new(NULL) };
	struct hc_request_spec spec = {
		.head = head,
		.head_len = strlen(head),
		.names_process = named_42,
		.on_head = on_head,
		.on_data = on_data,
		.on_end = on_end,
		.ctx = &outcome,
	};
	bool closes = named_cases[_i].script.close_mode == CLOSE;
	struct stub *stub;
	struct hc_peer *peer;

	uv_loop_init(&loop);
	stub = stub_start(&named_cases[_i].script);
	peer = hc_peer_add(client_create(), stub->address);
	hc_request_start(peer, &spec);
	loop_until(&outcome.done);
	g_usleep(closes ? 20000 : 0);
	ck_assert(hc_peer_has_idle_to(peer, 42) == !closes);
	ck_assert(!hc_peer_has_idle_to(peer, 41));
	outcome = (struct outcome){ .body = g_string_new(NULL) };
	spec.process = named_cases[_i].process;
	spec.id = named_cases[_i].id;
	spec.names_process = NULL;
	hc_request_start(peer, &spec);
	loop_until(&outcome.done);
	ck_assert_msg(outcome.result == named_cases[_i].result, "%s: result %d",
		      named_cases[_i].what, outcome.result);
	ck_assert_str_eq(outcome.body->str, named_cases[_i].body);
	ck_assert_int_eq(stub->accepted, named_cases[_i].accepted);
}
END_TEST

static const struct {
	const char *what;
	enum close_mode close_mode;
	const char *bytes; /* sent instead, or NULL */
} idle_end_cases[] = {
	{ "end", CLOSE, NULL },
	{ "reset", RESET, NULL },
	{ "bytes", KEEP_OPEN, "HTTP/1.1 408 X\r\n\r\n" },
};

/* Ends or fouls the stub's connection, whose handle stays. */
static void stub_end_idle(const struct stub *stub, int i)
{
	const struct sockaddr none = { .sa_family = AF_UNSPEC };
	const char *bytes = idle_end_cases[i].bytes;
	uv_os_fd_t fd;

	uv_fileno((uv_handle_t *)stub->conn, &fd);
	if (bytes)
		send(fd, bytes, strlen(bytes), 0);
	else if (idle_end_cases[i].close_mode == CLOSE)
		shutdown(fd, SHUT_RDWR);
	else
		ck_assert_int_eq(connect(fd, &none, sizeof(none)), 0);
}

START_TEST(client_sends_nothing_on_an_ended_connection)
{
	static const struct script script = {
		{ OK200 ID "Content-Length: 2\r\n\r\nhi",
		  OK200 ID "Content-Length: 2\r\n\r\nho" },
		KEEP_OPEN,
	};
	struct outcome outcome;
	struct stub *stub;
	struct hc_peer *peer;

	uv_loop_init(&loop);
	stub = stub_start(&script);
	peer = hc_peer_add(client_create(), stub->address);
	send_request(peer, &outcome);
	loop_until(&outcome.done);
	/* The loop does not run until the next request is sent. */
	stub_end_idle(stub, _i);
	g_usleep(20000);
	send_request(peer, &outcome);
	loop_until(&outcome.done);
	ck_assert_msg(outcome.result == HC_COMPLETE, "%s: result %d",
		      idle_end_cases[_i].what, outcome.result);
	ck_assert_int_eq(stub->accepted, 2);
}
END_TEST

static const struct {
	const char *what;
	const char *response;
	clk_ms keep_max;
	clk_ms waited;
	bool is_repeatable;
	int accepted; /* connections for two requests */
} keep_cases[] = {
	{ "nearly as long as the server says", ANSWERED_KEPT(3), 9000, 1900,
	  true, 1 },
	{ "not one that may not be sent again", ANSWERED_KEPT(3), 9000, 1900,
	  false, 2 },
	{ "that one is sent on it for a while", ANSWERED_KEPT(3), 9000, 1400,
	  false, 1 },
	{ "not in the last second", ANSWERED_KEPT(3), 9000, 2020, true, 2 },
	{ "not longer than this side allows", ANSWERED_KEPT(9), 1000, 1600,
	  true, 2 },
	{ "not closed at once", ANSWERED_KEPT(1), 9000, 500, true, 1 },
	{ "not after that", ANSWERED_KEPT(1), 9000, 700, true, 2 },
	{ "the server does not say", ANSWERED, 9000, 1400, false, 1 },
	{ "not longer then", ANSWERED, 9000, 1600, true, 2 },
};

START_TEST(client_keeps_idle_connections)
{
	const struct script script = {
		{ keep_cases[_i].response, ANSWERED },
		KEEP_OPEN,
	};
	struct hc_options options = client_options;
	struct outcome outcome;
	struct hc_peer *peer;
	struct stub *stub;

	uv_loop_init(&loop);
	options.idle_timeout = 1500;
	options.keep_max = keep_cases[_i].keep_max;
	stub = stub_start(&script);
	peer = hc_peer_add(hc_create(&loop, &options), stub->address);
	send_request(peer, &outcome);
	loop_until(&outcome.done);
	loop_for((unsigned)keep_cases[_i].waited);
	send_repeatable(peer, &outcome, keep_cases[_i].is_repeatable);
	loop_until(&outcome.done);
	ck_assert_msg(stub->accepted == keep_cases[_i].accepted,
		      "%s: %d connections", keep_cases[_i].what,
		      stub->accepted);
}
END_TEST

START_TEST(client_bounds_idle_connections)
{
	static const struct script script = {
		{ ANSWERED, ANSWERED, ANSWERED },
		KEEP_OPEN,
	};
	struct hc_options options = client_options;
	struct outcome outcomes[3];
	struct hc_peer *peer;

	uv_loop_init(&loop);
	options.idle_max = 2;
	peer = hc_peer_add(hc_create(&loop, &options),
			   stub_start(&script)->address);
	for (int i = 0; i < 3; i++)
		send_request(peer, &outcomes[i]);
	for (int i = 0; i < 3; i++)
		loop_until(&outcomes[i].done);
	ck_assert_uint_eq(hc_peer_connections(peer), 2);
}
END_TEST

START_TEST(client_connects_although_the_loop_is_late)
{
	static const struct script script = {
		{ OK200 ID "Content-Length: 2\r\n\r\nhi" },
		KEEP_OPEN,
	};
	struct outcome outcome;

	uv_loop_init(&loop);
	send_request(hc_peer_add(client_create(), stub_start(&script)->address),
		     &outcome);
	/* The kernel establishes the connection meanwhile. */
	g_usleep(600000);
	loop_until(&outcome.done);
	ck_assert_int_eq(outcome.result, HC_COMPLETE);
}
END_TEST

START_TEST(client_cancel_closes)
{
	static const struct script script = { { "" }, KEEP_OPEN };
	struct outcome outcome;
	struct stub *stub;
	struct hc_peer *peer;
	struct hc_request *request;

	uv_loop_init(&loop);
	stub = stub_start(&script);
	peer = hc_peer_add(client_create(), stub->address);
	request = send_request(peer, &outcome);
	loop_for(50);
	hc_request_cancel(request);
	loop_for(50);
	ck_assert(!outcome.done);
	ck_assert_uint_eq(hc_peer_connections(peer), 0);
	ck_assert_int_eq(stub->accepted, 1);
}
END_TEST

static bool may_not_send(void *ctx)
{
	(void)ctx;
	return false;
}

START_TEST(client_withdrawn_request_is_not_sent)
{
	static const struct script script = {
		{ OK200 ID "Content-Length: 2\r\n\r\nhi" },
		KEEP_OPEN,
	};
	struct outcome outcome = { .done = false };
	struct hc_request_spec spec = {
		.head = "GET / HTTP/1.1\r\n\r\n",
		.head_len = 18,
		.may_send = may_not_send,
		.on_end = on_end,
		.ctx = &outcome,
	};
	struct stub *stub;
	struct hc_peer *peer;

	uv_loop_init(&loop);
	stub = stub_start(&script);
	peer = hc_peer_add(client_create(), stub->address);
	hc_request_start(peer, &spec);
	loop_until(&outcome.done);
	loop_for(20);
	ck_assert_int_eq(outcome.result, HC_WITHDRAWN);
	ck_assert_uint_eq(stub->received->len, 0);
	ck_assert_int_eq(stub->responses_sent, 0);
	ck_assert_uint_eq(hc_peer_connections(peer), 0);
}
END_TEST

START_TEST(client_refused_connection_is_unsent)
{
	struct outcome outcome;

	uv_loop_init(&loop);
	send_request(hc_peer_add(client_create(), "127.0.0.1:1"), &outcome);
	loop_until(&outcome.done);
	ck_assert_int_eq(outcome.result, HC_UNSENT);
	send_request(hc_peer_add(client_create(), "nowhere"), &outcome);
	loop_until(&outcome.done);
	ck_assert_int_eq(outcome.result, HC_UNSENT);
}
END_TEST

/* The client of rw-entryd, against a raw socket. */

#define CLOSING "Connection: close\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n" CLOSING "\r\n"

static const struct {
	const char *first;
	const char *later; /* sent 20 ms after first, or NULL */
	bool reset;	   /* the connection is reset, not closed in order */
	enum http_result result;
	const char *body;
} fetch_cases[] = {
	/* A status that is none, or that only follows an Upgrade. */
	{ "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nhi", NULL, false,
	  HTTP_TRUNCATED, "" },
	{ "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nhi", NULL, false,
	  HTTP_TRUNCATED, "" },
	{ "HTTP/1.1 101 X\r\nContent-Length: 2\r\n\r\nhi", NULL, false,
	  HTTP_TRUNCATED, "" },
	{ "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nhi", NULL, false,
	  HTTP_TRUNCATED, "" },
	{ "HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nhi", NULL, false,
	  HTTP_TRUNCATED, "" },
	{ "HTTP/1.1 599 X\r\nContent-Length: 2\r\n\r\nhi", NULL, false,
	  HTTP_COMPLETE, "hi" },
	{ OK200 "Content-Length: 2\r\n\r\nhi", NULL, false, HTTP_COMPLETE,
	  "hi" },
	{ OK200 "Content-Length: 2\r\n\r\nh", "i", false, HTTP_COMPLETE, "hi" },
	{ OK200 "Content-Length: 0\r\n\r\n", NULL, false, HTTP_COMPLETE, "" },
	{ OK200 "CONTENT-LENGTH: 3\r\n\r\nhi", NULL, false, HTTP_TRUNCATED,
	  "hi" },
	{ OK200 "Content-Length: 3\r\n\r\nhi", NULL, true, HTTP_TRUNCATED,
	  "hi" },
	{ OK200 CHUNKED "2\r\nhi\r\n0\r\n\r\n", NULL, false, HTTP_COMPLETE,
	  "hi" },
	{ OK200 CHUNKED "2\r\nhi\r\n", "0\r\n\r\n", false, HTTP_COMPLETE,
	  "hi" },
	{ OK200 CHUNKED, "2\r\nhi\r\n0\r\n\r\n", false, HTTP_COMPLETE, "hi" },
	{ OK200 CHUNKED "0\r\n\r\n", NULL, false, HTTP_COMPLETE, "" },
	{ OK200 CHUNKED "2\r\nhi\r\n0\r\nT: t\r\n\r\n", NULL, false,
	  HTTP_COMPLETE, "hi" },
	{ OK200 "Content-Length: 2\r\n" CHUNKED "2\r\nhi\r\n0\r\n\r\n", NULL,
	  false, HTTP_TRUNCATED, "" },
	{ OK200 "Content-Length: 2\r\n" CHUNKED, NULL, false, HTTP_TRUNCATED,
	  "" },
	{ OK200 CHUNKED "2\r\nhi\r\n", NULL, false, HTTP_TRUNCATED, "hi" },
	{ OK200 CHUNKED "2\r\nhi\r\n", NULL, true, HTTP_TRUNCATED, "hi" },
	{ OK200 CHUNKED "2\r\nhi\r\n", "2\r\nho\r\n", false, HTTP_TRUNCATED,
	  "hiho" },
	{ OK200 CHUNKED "3\r\nhi", NULL, false, HTTP_TRUNCATED, "hi" },
	{ OK200 CHUNKED "2\r\nhi\r\n0\r\n", NULL, false, HTTP_TRUNCATED, "hi" },
	{ OK200 CHUNKED, NULL, false, HTTP_TRUNCATED, "" },
	{ OK200 CLOSING "\r\nhi", NULL, false, HTTP_UNFRAMED, "hi" },
	{ OK200 CLOSING "\r\nhi", "ho", false, HTTP_UNFRAMED, "hiho" },
	{ OK200 CLOSING "\r\n", NULL, false, HTTP_UNFRAMED, "" },
	{ OK200 CLOSING "\r\nhi", NULL, true, HTTP_UNFRAMED, "hi" },
	{ "HTTP/1.0 200 OK\r\n\r\nhi", NULL, false, HTTP_UNFRAMED, "hi" },
	{ "HTTP/1.1 204 X\r\n\r\n", NULL, false, HTTP_COMPLETE, "" },
	{ OK200 CLOSING, NULL, false, HTTP_TRUNCATED, "" },
	{ "", NULL, false, HTTP_TRUNCATED, "" },
};

static const struct {
	const char *text;
	bool whole;
} json_cases[] = {
	{ "{}", true },
	{ "{\"a\":[1,{\"b\":\"}\"}]}\n", true },
	{ "[1,2]", true },
	{ " [] \r\n", true },
	{ "", false },
	{ "  ", false },
	{ "{\"a\":1", false },
	{ "{\"a\":\"}", false },
	{ "[{}", false },
	{ "[1,2", false },
	{ "12", false },
	{ "tru", false },
	{ "true", false },
	{ "\"text\"", false },
	{ "null", false },
	{ "{}{}", false },
	{ "{\"a\":1}\n{\"a\"", false },
	{ "not JSON", false },
};

START_TEST(json_without_its_end_is_not_whole)
{
	const char *text = json_cases[_i].text;
	char *copy = g_strconcat(text, "}", NULL); /* } is not part of it */

	ck_assert_msg(json_is_whole(copy, strlen(text)) == json_cases[_i].whole,
		      "%s", text);
	g_free(copy);
}
END_TEST

/* Listens on any port of the loopback address, which is put into text. */
static int raw_listen(char *text, size_t size)
{
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);
	int listener = socket(AF_INET, SOCK_STREAM, 0);

	uv_ip4_addr("127.0.0.1", 0, &addr);
	ck_assert_int_eq(bind(listener, (struct sockaddr *)&addr, sizeof(addr)),
			 0);
	listen(listener, 8);
	getsockname(listener, (struct sockaddr *)&addr, &len);
	g_snprintf(text, size, "127.0.0.1:%d", ntohs(addr.sin_port));
	return listener;
}

/* Ends a connection, after its request was read: the kernel resets one that
 * has unread bytes. */
static void raw_close(int fd, bool reset)
{
	const struct linger linger = { .l_onoff = 1 };
	char request[1024];

	ck_assert_int_gt(recv(fd, request, sizeof(request), 0), 0);
	if (reset) {
		loop_for(20); /* a reset discards what was not read */
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	}
	close(fd);
}

struct fetch_outcome {
	bool done;
	enum http_result result;
	GString *body;
};

static void fetch_case_on_data(void *ctx, const char *ptr, size_t len)
{
	g_string_append_len(((struct fetch_outcome *)ctx)->body, ptr,
			    (gssize)len);
}

static void fetch_case_on_done(void *ctx, enum http_result result, int status)
{
	struct fetch_outcome *outcome = ctx;

	(void)status;
	outcome->done = true;
	outcome->result = result;
}

START_TEST(fetch_judges_the_end)
{
	struct fetch_outcome outcome = { .body = g_string_new(NULL) };
	char address[32];
	int listener = raw_listen(address, sizeof(address));
	int fd;
	const char *first = fetch_cases[_i].first;
	const char *later = fetch_cases[_i].later;
	struct http_fetch_spec spec = {
		.address = address,
		.method = "GET",
		.path = "/",
		.timeout = 3000,
		.on_data = fetch_case_on_data,
		.on_done = fetch_case_on_done,
		.ctx = &outcome,
	};

	uv_loop_init(&loop);
	http_fetch_start(http_client_create(&loop), &spec);
	loop_for(20);
	fd = accept(listener, NULL, NULL);
	send(fd, first, strlen(first), 0);
	if (later) {
		loop_for(20);
		send(fd, later, strlen(later), MSG_NOSIGNAL);
	}
	raw_close(fd, fetch_cases[_i].reset);
	loop_until(&outcome.done);
	ck_assert_msg(outcome.result == fetch_cases[_i].result,
		      "case %d: result %d", _i, outcome.result);
	ck_assert_str_eq(outcome.body->str, fetch_cases[_i].body);
	close(listener);
}
END_TEST

static void fetch_on_done(void *ctx, enum http_result result, int status)
{
	struct outcome *outcome = ctx;

	outcome->done = true;
	outcome->status = result == HTTP_COMPLETE ? status : 0;
}

START_TEST(fetch_is_complete_although_the_loop_is_late)
{
	static const char response[] =
		OK200 "Content-Length: 2\r\nConnection: close\r\n\r\nhi";
	struct outcome outcome = { .body = g_string_new(NULL) };
	char address[32];
	int listener = raw_listen(address, sizeof(address));
	int fd;
	struct http_fetch_spec spec = {
		.address = address,
		.method = "GET",
		.path = "/",
		.timeout = 300,
		.on_data = on_data,
		.on_done = fetch_on_done,
		.ctx = &outcome,
	};

	uv_loop_init(&loop);
	http_fetch_start(http_client_create(&loop), &spec);
	loop_for(50);
	fd = accept(listener, NULL, NULL);
	send(fd, response, strlen(response), 0);
	g_usleep(400000);
	loop_until(&outcome.done);
	ck_assert_int_eq(outcome.status, 200);
	ck_assert_str_eq(outcome.body->str, "hi");
}
END_TEST

/* The server, against a caller on a raw socket. */

struct server {
	struct hs *hs;
	GString *requests; /* "METHOD target body|" each */
	int disconnects;
	struct hs_request *open_request; /* for /hold, not answered yet */
	int rejected_status;
};

static void server_on_disconnect(void *ctx)
{
	struct server *server = ctx;

	server->disconnects++;
	server->open_request = NULL;
}

static void server_on_request(void *ctx, struct hs_request *request)
{
	struct server *server = ctx;
	const struct h1_head *head = hs_request_head(request);
	struct http_view body = hs_request_body(request);

	g_string_append_printf(server->requests, "%.*s %.*s %.*s|",
			       (int)head->method.len, head->method.ptr,
			       (int)head->target.len, head->target.ptr,
			       (int)body.len, body.ptr);
	if (h1_view_equals(hs_request_path(request), "/hold")) {
		server->open_request = request;
		hs_request_on_disconnect(request, server_on_disconnect, server);
		return;
	}
	hs_response_send(request, 200, NULL, "ok", 2);
}

static void server_on_rejected(void *ctx, int status)
{
	((struct server *)ctx)->rejected_status = status;
}

static int server_port;

static struct server *server_start(void)
{
	struct server *server = g_new0(struct server, 1);
	struct hs_options options = {
		.limits = {
			.head_max = 512,
			.body_max = 64,
			.head_timeout = 300,
			.idle_timeout = 600,
			.in_flight_max = SERVER_REQUESTS,
		},
		.refusal_headers = "Retry-After: 1\r\n",
		.on_request = server_on_request,
		.on_rejected = server_on_rejected,
		.ctx = server,
	};
	char address[32];
	GError *error = NULL;

	server->requests = g_string_new(NULL);
	for (server_port = 20000 + getpid() % 20000; !server->hs;
	     server_port++) {
		g_snprintf(address, sizeof(address), "127.0.0.1:%d",
			   server_port);
		options.address = address;
		g_clear_error(&error);
		server->hs = hs_create(&loop, &options, &error);
	}
	server_port--;
	return server;
}

static int server_connect(void)
{
	struct sockaddr_in addr;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	uv_ip4_addr("127.0.0.1", server_port, &addr);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&addr, sizeof(addr)),
			 0);
	return fd;
}

/* Reads what has arrived; sets closed if the connection is closed. */
static char *server_read_response(int fd, bool *closed)
{
	GString *text = g_string_new(NULL);
	char buffer[4096];
	ssize_t len;

	while ((len = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0)
		g_string_append_len(text, buffer, len);
	*closed = len == 0 || (len < 0 && errno != EAGAIN);
	return g_string_free(text, FALSE);
}

static const struct {
	const char *what;
	const char *bytes;
	const char *requests;
	const char *response; /* its beginning */
	bool closed;
} server_cases[] = {
	{ "one", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a |",
	  "HTTP/1.1 200 OK", false },
	{ "body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi",
	  "POST /a hi|", "HTTP/1.1 200 OK", false },
	{ "chunks and a second request",
	  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "2\r\nhi\r\n1\r\n!\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
	  "POST /a hi!|GET /b |", "HTTP/1.1 200 OK", false },
	{ "request with Connection: close",
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
	{ "incomplete head", "GET /a HTTP/1.1\r\nHo", "", "HTTP/1.1 408",
	  true },
	{ "Expect: 100-continue",
	  "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
	  "Content-Length: 2\r\n\r\n",
	  "", "HTTP/1.1 100 Continue", false },
};

START_TEST(server_reads)
{
	struct server *server;
	bool closed;
	char *response;
	int fd;

	uv_loop_init(&loop);
	server = server_start();
	fd = server_connect();
	ck_assert_int_gt(send(fd, server_cases[_i].bytes,
			      strlen(server_cases[_i].bytes), 0),
			 0);
	loop_for(server_cases[_i].closed ? 700 : 100);
	response = server_read_response(fd, &closed);
	ck_assert_msg(g_str_has_prefix(response, server_cases[_i].response),
		      "%s: %s", server_cases[_i].what, response);
	ck_assert_str_eq(server->requests->str, server_cases[_i].requests);
	ck_assert_msg(closed == server_cases[_i].closed, "%s: closed %d",
		      server_cases[_i].what, closed);
	close(fd);
}
END_TEST

/* Starts a server and sends it a request that is not answered yet. */
static struct server *server_start_with_open_request(int *fd)
{
	static const char bytes[] = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n";
	struct server *server;

	uv_loop_init(&loop);
	server = server_start();
	*fd = server_connect();
	send(*fd, bytes, strlen(bytes), 0);
	loop_for(50);
	ck_assert_ptr_nonnull(server->open_request);
	return server;
}

START_TEST(server_notices_disconnect)
{
	int fd;
	struct server *server = server_start_with_open_request(&fd);

	close(fd);
	loop_for(50);
	ck_assert_int_eq(server->disconnects, 1);
	ck_assert_uint_eq(hs_open_requests(server->hs), 0);
}
END_TEST

static const struct {
	const char *what;
	const char *bytes;
	bool reset;
} partial_cases[] = {
	{ "reset within a length",
	  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nhi", true },
	{ "close within a length",
	  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nhi", false },
	{ "reset between chunks",
	  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "2\r\nhi\r\n",
	  true },
	{ "close within the last chunk",
	  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "2\r\nhi\r\n0\r\n",
	  false },
};

/* A part of a body must never be passed on as a request. */
START_TEST(server_drops_a_partial_body)
{
	const struct linger linger = { .l_onoff = 1 };
	struct server *server;
	int fd;

	uv_loop_init(&loop);
	server = server_start();
	fd = server_connect();
	send(fd, partial_cases[_i].bytes, strlen(partial_cases[_i].bytes), 0);
	loop_for(20);
	if (partial_cases[_i].reset)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
	loop_for(50);
	ck_assert_msg(server->requests->len == 0, "%s: %s",
		      partial_cases[_i].what, server->requests->str);
	ck_assert_uint_eq(hs_open_requests(server->hs), 0);
	ck_assert_uint_eq(hs_connections(server->hs), 0);
}
END_TEST

START_TEST(server_is_busy_until_response_is_read)
{
	static const char bytes[] = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n";
	char *large = g_malloc0(32 << 20);
	struct server *server;
	bool closed = false;
	int fd;

	uv_loop_init(&loop);
	server = server_start();
	fd = server_connect();
	loop_for(20);
	ck_assert_uint_eq(hs_busy_connections(server->hs), 0);
	send(fd, bytes, 10, 0);
	loop_for(20);
	ck_assert_uint_eq(hs_busy_connections(server->hs), 1);
	send(fd, bytes + 10, strlen(bytes) - 10, 0);
	loop_for(20);
	hs_drain(server->hs);
	hs_response_send(server->open_request, 200, NULL, large, 32 << 20);
	/* The response is complete, but the caller has not read it. */
	loop_for(20);
	ck_assert_uint_eq(hs_open_requests(server->hs), 0);
	ck_assert_uint_eq(hs_busy_connections(server->hs), 1);
	for (int i = 0; i < 200 && !closed; i++) {
		g_free(server_read_response(fd, &closed));
		loop_for(5);
	}
	close(fd);
	loop_for(50);
	ck_assert_uint_eq(hs_busy_connections(server->hs), 0);
	g_free(large);
}
END_TEST

#define LARGE_BYTES (32 << 20)

/* When a response that the caller reads late might be cut. */
enum late_case {
	LATE_IDLE,  /* its connection stays open */
	LATE_DRAIN, /* the same, and the server stops */
	LATE_CLOSE, /* the connection is to be closed */
	LATE_CASES
};

START_TEST(server_sends_all_to_a_slow_caller)
{
	static const char *const requests[LATE_CASES] = {
		[LATE_IDLE] = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n",
		[LATE_DRAIN] = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n",
		[LATE_CLOSE] = "GET /hold HTTP/1.1\r\nHost: h\r\n"
			       "Connection: close\r\n\r\n",
	};
	static const int room = LARGE_BYTES / 32;
	char *large = g_malloc0(LARGE_BYTES);
	struct server *server;
	size_t received = 0;
	bool closed = false;
	int fd;

	uv_loop_init(&loop);
	server = server_start();
	fd = server_connect();
	/* The end of the response is sent only as the caller reads. */
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &room, sizeof(room));
	send(fd, requests[_i], strlen(requests[_i]), 0);
	loop_for(20);
	hs_response_send(server->open_request, 200, NULL, large, LARGE_BYTES);
	if (_i == LATE_DRAIN)
		hs_drain(server->hs);
	/* Some is read each 0.4 s, the idle timeout is 0.6 s. */
	for (int i = 0; i < 5; i++) {
		ssize_t len = recv(fd, large, LARGE_BYTES / 8, MSG_DONTWAIT);

		received += len > 0 ? (size_t)len : 0;
		loop_for(400);
	}
	for (int i = 0; i < 400 && received < LARGE_BYTES && !closed; i++) {
		ssize_t len = recv(fd, large, LARGE_BYTES, MSG_DONTWAIT);

		received += len > 0 ? (size_t)len : 0;
		closed = len == 0 || (len < 0 && errno != EAGAIN);
		loop_for(5);
	}
	ck_assert_msg(received >= LARGE_BYTES, "case %d: %zu bytes", _i,
		      received);
	if (_i == LATE_IDLE) {
		/* It has been idle for 0.4 s only. */
		loop_for(400);
		g_free(server_read_response(fd, &closed));
		ck_assert(!closed);
	}
	close(fd);
	g_free(large);
}
END_TEST

START_TEST(server_drain_answers_what_has_arrived)
{
	static const char bytes[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
	struct server *server;
	bool closed;
	char *response;
	int fd;

	uv_loop_init(&loop);
	server = server_start();
	fd = server_connect();
	send(fd, bytes, strlen(bytes), 0);
	loop_for(50);
	g_free(server_read_response(fd, &closed));
	ck_assert(!closed);
	/* The next request waits to be read when the server is to stop. */
	send(fd, bytes, strlen(bytes), 0);
	g_usleep(20000);
	hs_drain(server->hs);
	loop_for(50);
	response = server_read_response(fd, &closed);
	ck_assert(g_str_has_prefix(response, "HTTP/1.1 200 OK"));
	ck_assert_ptr_nonnull(strstr(response, "Connection: close"));
	close(fd);
}
END_TEST

START_TEST(server_is_busy_until_the_kernel_has_sent)
{
	static const char bytes[] = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n";
	size_t len = 100000;
	char *body = g_malloc0(len);
	struct server *server;
	struct sockaddr_in addr;
	bool closed = false;
	int small = 4096;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	uv_loop_init(&loop);
	server = server_start();
	/* The response fits in the server's kernel, not in the caller's. */
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	uv_ip4_addr("127.0.0.1", server_port, &addr);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&addr, sizeof(addr)),
			 0);
	send(fd, bytes, strlen(bytes), 0);
	loop_for(50);
	hs_response_send(server->open_request, 200, NULL, body, len);
	loop_for(50);
	ck_assert_uint_eq(hs_busy_connections(server->hs), 1);
	for (int i = 0; i < 200 && hs_busy_connections(server->hs) > 0; i++) {
		g_free(server_read_response(fd, &closed));
		loop_for(5);
	}
	ck_assert(!closed);
	ck_assert_uint_eq(hs_busy_connections(server->hs), 0);
	close(fd);
	g_free(body);
}
END_TEST

START_TEST(server_drains)
{
	bool closed;
	char *response;
	int fd;
	struct server *server = server_start_with_open_request(&fd);

	hs_drain(server->hs);
	loop_for(50);
	/* The open request is answered, and its connection is closed. */
	hs_response_start(server->open_request, 200, NULL);
	hs_response_write(server->open_request, "hi", 2);
	hs_response_end(server->open_request);
	loop_for(50);
	response = server_read_response(fd, &closed);
	ck_assert_ptr_nonnull(strstr(response, "Connection: close"));
	ck_assert_ptr_nonnull(strstr(response, "2\r\nhi\r\n0\r\n\r\n"));
	ck_assert(closed);
	ck_assert_int_eq(server->disconnects, 0);
}
END_TEST

/* Sends a request to a server that answers it, and returns its socket. */
static int server_served_connection(void)
{
	static const char bytes[] = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
	bool closed;
	int fd = server_connect();

	send(fd, bytes, strlen(bytes), 0);
	loop_for(50);
	g_free(server_read_response(fd, &closed));
	ck_assert(!closed);
	return fd;
}

/* More than may wait while a request is answered, in requests of which each
 * has a body. */
#define PIPELINED 3000

START_TEST(server_answers_all_pipelined)
{
	static const char bytes[] =
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";
	GString *got = g_string_new(NULL);
	GString *all = g_string_new(NULL);
	bool closed = false;
	size_t count = 0;
	size_t sent = 0;
	int fd;
	struct server *server = server_start_with_open_request(&fd);

	for (int i = 0; i < PIPELINED; i++)
		g_string_append(all, bytes);
	for (int i = 0; i < 400 && count <= PIPELINED && !closed; i++) {
		ssize_t len = send(fd, all->str + sent, all->len - sent,
				   MSG_DONTWAIT | MSG_NOSIGNAL);
		char *part;

		sent += (size_t)MAX(len, 0);
		loop_for(2);
		if (i == 20) {
			ck_assert_int_eq(server->disconnects, 0);
			hs_response_send(server->open_request, 200, NULL, "ok",
					 2);
		}
		part = server_read_response(fd, &closed);
		g_string_append(got, part);
		g_free(part);
		count = 0;
		for (const char *at = got->str; (at = strstr(at, "200 OK"));
		     at++)
			count++;
	}
	ck_assert_uint_eq(count, PIPELINED + 1);
	ck_assert(!closed);
	close(fd);
}
END_TEST

START_TEST(server_notices_disconnect_after_pipelining)
{
	char *large = g_malloc(100 << 10);
	int fd;
	struct server *server = server_start_with_open_request(&fd);

	memset(large, 'x', 100 << 10);
	send(fd, large, 100 << 10, MSG_DONTWAIT);
	loop_for(50);
	ck_assert_int_eq(server->disconnects, 0);
	close(fd);
	loop_for(400);
	ck_assert_int_eq(server->disconnects, 1);
	g_free(large);
}
END_TEST

static const struct {
	const char *what;
	bool before; /* the stop comes before the response */
	bool streams;
	const char *sent_before; /* the response begins */
	int responses;
} stop_cases[] = {
	{ "one request", true, false, "", 1 },
	{ "a second one that was read", true, false, "GET /b", 2 },
	{ "the same, a stream", true, true, "GET /b", 2 },
	{ "stop while a stream is answered", false, true, "", 1 },
	{ "the same with a second request", false, true, "GET /b", 2 },
};

START_TEST(server_answers_what_was_read_before_stop)
{
	const char *more = stop_cases[_i].sent_before;
	GString *bytes = g_string_new(more);
	bool closed;
	char *response;
	const char *at;
	int count = 0;
	int fd;
	struct server *server = server_start_with_open_request(&fd);

	g_string_append(bytes, " HTTP/1.1\r\nHost: h\r\n\r\n");
	if (more[0])
		send(fd, bytes->str, bytes->len, 0);
	loop_for(20);
	if (stop_cases[_i].before)
		hs_drain(server->hs);
	if (stop_cases[_i].streams) {
		hs_response_start(server->open_request, 200, NULL);
		hs_response_write(server->open_request, "hi", 2);
		hs_drain(server->hs);
		hs_response_end(server->open_request);
	} else {
		hs_response_send(server->open_request, 200, NULL, "hi", 2);
	}
	loop_for(50);
	response = server_read_response(fd, &closed);
	for (at = response; (at = strstr(at, "200 OK")); at++)
		count++;
	ck_assert_msg(count == stop_cases[_i].responses, "%s: %s",
		      stop_cases[_i].what, response);
	ck_assert_msg(closed, "%s", stop_cases[_i].what);
	close(fd);
}
END_TEST

START_TEST(server_refuses_when_full)
{
	static const char held[] = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n";
	static const char bytes[] = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
	int fds[SERVER_REQUESTS];
	struct hs_request *last;
	struct server *server;
	bool closed;
	char *response;
	int fd;

	uv_loop_init(&loop);
	server = server_start();
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++) {
		fds[i] = server_connect();
		send(fds[i], held, strlen(held), 0);
		loop_for(50);
	}
	g_string_truncate(server->requests, 0);
	fd = server_connect();
	send(fd, bytes, strlen(bytes), 0);
	loop_for(50);
	response = server_read_response(fd, &closed);
	ck_assert_msg(g_str_has_prefix(response, "HTTP/1.1 503 "), "%s",
		      response);
	ck_assert_ptr_nonnull(strstr(response, "\r\nRetry-After: 1\r\n"));
	ck_assert(closed);
	ck_assert_str_eq(server->requests->str, "");
	ck_assert_int_eq(server->rejected_status, 503);
	ck_assert_uint_eq(hs_open_requests(server->hs), SERVER_REQUESTS);
	last = server->open_request;
	/* Its connection is still open at this end, and takes no place. */
	close(fds[0]);
	loop_for(50);
	close(server_served_connection());
	/* The requests in flight are answered. */
	hs_response_send(last, 200, NULL, "ok", 2);
	loop_for(50);
	response = server_read_response(fds[SERVER_REQUESTS - 1], &closed);
	ck_assert(g_str_has_prefix(response, "HTTP/1.1 200 OK"));
	close(fd);
}
END_TEST

static void on_budget_log(bool is_warning, const char *event,
			  const char *fields)
{
	(void)is_warning;
	(void)event;
	(void)fields;
}

/* Idle connections that take all places do not keep a caller out: the one that
 * has been idle longest is closed. */
START_TEST(server_closes_idle_for_others)
{
	static const char bytes[] = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
	const struct budget_options options = {
		.loop = &loop,
		.memory_mb = 64,
		.log = on_budget_log,
	};
	int fds[SERVER_REQUESTS + HOLD_WAITING_MAX];
	struct server *server;
	bool closed;
	char *response;
	int fd;

	uv_loop_init(&loop);
	budget_start(&options);
	server = server_start();
	for (size_t i = 0; i < G_N_ELEMENTS(fds); i++)
		fds[i] = server_connect();
	loop_for(20);
	fd = server_connect();
	send(fd, bytes, strlen(bytes), 0);
	loop_for(400);
	response = server_read_response(fd, &closed);
	ck_assert_msg(g_str_has_prefix(response, "HTTP/1.1 200 OK"), "%s",
		      response);
	ck_assert_uint_eq(hs_connections(server->hs), G_N_ELEMENTS(fds));
	g_free(server_read_response(fds[0], &closed));
	ck_assert(closed);
	send(fds[1], bytes, strlen(bytes), 0);
	loop_for(50);
	response = server_read_response(fds[1], &closed);
	ck_assert(g_str_has_prefix(response, "HTTP/1.1 200 OK"));
}
END_TEST

START_TEST(server_aborts_visibly)
{
	bool closed;
	char *response;
	int fd;
	struct server *server = server_start_with_open_request(&fd);

	hs_response_start(server->open_request, 200, NULL);
	hs_response_write(server->open_request, "hi", 2);
	hs_response_abort(server->open_request);
	loop_for(50);
	response = server_read_response(fd, &closed);
	ck_assert(closed);
	ck_assert_ptr_null(strstr(response, "\r\n0\r\n\r\n"));
}
END_TEST

static Suite *http_suite(void)
{
	Suite *suite = suite_create("http");
	TCase *tcase = tcase_create("tables");

	suite_add_tcase(suite, tcase);
	tcase_add_loop_test(tcase, request_heads_are_parsed, 0,
			    G_N_ELEMENTS(request_cases));
	tcase_add_test(tcase, chunks_may_be_split_anywhere);
	tcase_add_test(tcase, timer_runs_after_the_loop_was_held_up);
	tcase_add_loop_test(tcase, client_reads, 0, G_N_ELEMENTS(client_cases));
	tcase_add_test(tcase, client_reuses_unless_unexpected_data);
	tcase_add_loop_test(tcase, client_knows_process, 0,
			    G_N_ELEMENTS(named_cases));
	tcase_add_loop_test(tcase, client_sends_nothing_on_an_ended_connection,
			    0, G_N_ELEMENTS(idle_end_cases));
	tcase_add_loop_test(tcase, client_keeps_idle_connections, 0,
			    G_N_ELEMENTS(keep_cases));
	tcase_add_test(tcase, client_bounds_idle_connections);
	tcase_add_test(tcase, client_connects_although_the_loop_is_late);
	tcase_add_test(tcase, client_cancel_closes);
	tcase_add_test(tcase, client_withdrawn_request_is_not_sent);
	tcase_add_test(tcase, client_refused_connection_is_unsent);
	tcase_add_loop_test(tcase, fetch_judges_the_end, 0,
			    G_N_ELEMENTS(fetch_cases));
	tcase_add_loop_test(tcase, json_without_its_end_is_not_whole, 0,
			    G_N_ELEMENTS(json_cases));
	tcase_add_test(tcase, fetch_is_complete_although_the_loop_is_late);
	tcase_add_loop_test(tcase, server_reads, 0, G_N_ELEMENTS(server_cases));
	tcase_add_test(tcase, server_notices_disconnect);
	tcase_add_loop_test(tcase, server_drops_a_partial_body, 0,
			    G_N_ELEMENTS(partial_cases));
	tcase_add_test(tcase, server_is_busy_until_response_is_read);
	tcase_add_loop_test(tcase, server_sends_all_to_a_slow_caller, 0,
			    LATE_CASES);
	tcase_add_test(tcase, server_drain_answers_what_has_arrived);
	tcase_add_test(tcase, server_is_busy_until_the_kernel_has_sent);
	tcase_add_test(tcase, server_drains);
	tcase_add_test(tcase, server_answers_all_pipelined);
	tcase_add_test(tcase, server_notices_disconnect_after_pipelining);
	tcase_add_loop_test(tcase, server_answers_what_was_read_before_stop, 0,
			    G_N_ELEMENTS(stop_cases));
	tcase_add_test(tcase, server_refuses_when_full);
	tcase_add_test(tcase, server_closes_idle_for_others);
	tcase_add_test(tcase, server_aborts_visibly);
	return suite;
}

int main(void)
{
	return run_suite(http_suite(), "http");
}
