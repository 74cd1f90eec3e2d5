/*
 * Unit tests of the platform adapter: decoding of worker entries and of the
 * configuration, and parsing and building of HTTP heads.
 */
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../platform/cloud.h"
#include "../platform/decode.h"
#include "../platform/head.h"
#include "../platform/health.h"
#include "run.h"

/* Worker entries. */

static const struct {
	const char *text;
	bool ok;
	bool leaving;
	bool spot;
} worker_cases[] = {
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
	  "\"state\":\"ready\",\"slots\":4,\"born\":5}",
	  true, false, false },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
	  "\"state\":\"draining\",\"slots\":4,\"spot_instance\":true,"
	  "\"leaves_ms\":2100.5}",
	  true, true, true },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
	  "\"state\":\"asleep\",\"slots\":4}",
	  false, false, false },
	{ "{\"service\":7,\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
	  "\"state\":\"ready\",\"slots\":4}",
	  false, false, false },
	{ "{\"address\":\"10.0.0.1:1\",\"zone\":\"z\",\"state\":\"ready\","
	  "\"slots\":4}",
	  false, false, false },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
	  "\"state\":\"ready\",\"slots\":\"4\"}",
	  false, false, false },
	{ "{\"service\":\"s\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
	  "\"state\":\"ready\",\"slots\":4,\"born\":\"5\"}",
	  false, false, false },
	{ "{\"service\":", false, false, false },
	{ "\xff\xfe", false, false, false },
	{ "[]", false, false, false },
	{ "", false, false, false },
};

START_TEST(worker_is_decoded)
{
	const char *text = worker_cases[_i].text;
	GBytes *value = g_bytes_new(text, strlen(text));
	struct fleet_entry entry;
	GError *error = NULL;
	bool ok = decode_worker("i-1", value, &entry, &error);

	ck_assert_int_eq(ok, worker_cases[_i].ok);
	if (ok) {
		ck_assert_str_eq(entry.id, "i-1");
		ck_assert_str_eq(entry.pool, "s");
		ck_assert_str_eq(entry.data_centre, "z");
		ck_assert_int_eq(entry.leaving, worker_cases[_i].leaving);
		ck_assert_int_eq(entry.spot, worker_cases[_i].spot);
		fleet_entry_clear(&entry);
	} else {
		ck_assert_ptr_nonnull(error);
		g_error_free(error);
	}
	g_bytes_unref(value);
}
END_TEST

/* The configuration. */

static const char config_text[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r1\",\"host\":\"A.example\",\"path_prefix\":\"/a/\","
	"\"kind\":\"streaming\",\"stream_resumption\":true,"
	"\"timeout_ms\":15000,\"target_latency_ms\":1000,\"priority\":1,"
	"\"max_attempts\":2,\"public\":false,"
	"\"traffic_split\":[{\"service\":\"s1\",\"weight\":90},"
	"{\"service\":\"s2\",\"weight\":10}]},"
	"{\"name\":\"r2\",\"host\":\"a.example\",\"path_prefix\":\"/b/\","
	"\"kind\":\"non_idempotent\",\"service\":\"s2\",\"public\":true},"
	"{\"name\":\"r3\",\"host\":\"a.example\",\"path_prefix\":\"/c/\","
	"\"kind\":\"idempotent\",\"service\":\"s2\"},"
	"{\"name\":\"r4\",\"host\":\"a.example\",\"path_prefix\":\"/d/\","
	"\"kind\":\"streaming\",\"service\":\"s1\"},"
	"{\"name\":\"r5\",\"host\":\"a.example\",\"path_prefix\":\"/e/\","
	"\"kind\":\"something_new\",\"service\":\"s1\"}],"
	"\"services\":[{\"name\":\"s1\",\"connection_limit\":360,"
	"\"inference_engine\":{\"slots\":64,\"kv_cache_tokens\":625190},"
	"\"scaling\":{\"minimum\":1,\"maximum\":6,\"boot_time_s\":4.0,"
	"\"spot_price\":0.18,\"zone_prices\":{\"z1\":1.0,\"z2\":0.8}}},"
	"{\"name\":\"s2\",\"connection_limit\":96}],"
	"\"limits\":{\"max_header_bytes\":1000,\"max_body_bytes\":2000,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":9000},"
	"\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\"],"
	"\"priority\":0,\"unit\":\"tokens\",\"uncached_tokens\":200,"
	"\"rate_per_s\":100,\"burst\":50}]}";

static const struct {
	const char *path;
	const char *route;
	enum px_kind kind;
	bool is_public;
} route_cases[] = {
	{ "/a/x", "r1", PX_RESUMABLE, false },
	{ "/b/", "r2", PX_AT_MOST_ONCE, true },
	{ "/c/", "r3", PX_IDEMPOTENT, false },
	{ "/d/", "r4", PX_STREAM, false },
	/* Requests of an unknown kind run at most once. */
	{ "/e/", "r5", PX_AT_MOST_ONCE, false },
};

START_TEST(config_is_decoded)
{
	GBytes *value = g_bytes_new(config_text, strlen(config_text));
	struct tab *tab = decode_config(value, NULL);
	const struct tab_route *route;

	ck_assert_ptr_nonnull(tab);
	route = tab_find(tab, "a.example", 9, route_cases[_i].path,
			 strlen(route_cases[_i].path));
	ck_assert_ptr_nonnull(route);
	ck_assert_str_eq(route->name, route_cases[_i].route);
	ck_assert_int_eq(route->kind, route_cases[_i].kind);
	ck_assert_int_eq(route->is_public, route_cases[_i].is_public);
	ck_assert_int_eq(tab->version, 7);
	ck_assert_uint_eq(tab->limits.head_max, 1000);
	ck_assert_str_eq(tab_account_of(tab, "k2", 2)->name, "t");
	ck_assert_ptr_null(tab_account_of(tab, "k", 1));
	ck_assert(tab_pool_get(tab, "s1")->scaling.enabled);
	ck_assert(!tab_pool_get(tab, "s2")->engine);
	tab_unref(tab);
	g_bytes_unref(value);
}
END_TEST

static const char *const bad_configs[] = { "", "{", "[]", "{}",
					   "{\"routes\":3}" };

START_TEST(bad_config_is_rejected)
{
	GBytes *value = g_bytes_new(bad_configs[_i], strlen(bad_configs[_i]));
	GError *error = NULL;

	ck_assert_ptr_null(decode_config(value, &error));
	ck_assert_ptr_nonnull(error);
	g_error_free(error);
	g_bytes_unref(value);
}
END_TEST

/* Request heads that are forwarded to an upstream. */

static const struct {
	const char *headers; /* from the caller */
	const char *sent;    /* a line that the upstream receives, or NULL */
	const char *dropped; /* a text that it does not receive, or NULL */
} forward_cases[] = {
	{ "X-Other: 1\r\n", "X-Other: 1\r\n", NULL },
	{ "Authorization: Bearer secret\r\n", NULL, "secret" },
	{ "Redwingpitch-Tenant-Name: forged\r\n",
	  "Redwingpitch-Tenant-Name: real\r\n", "forged" },
	{ "Redwingpitch-Expected-Instance: forged\r\n",
	  "Redwingpitch-Expected-Instance: i-1\r\n", "forged" },
	{ "Redwingpitch-Deadline-Remaining: 99999\r\n",
	  "Redwingpitch-Deadline-Remaining: 700\r\n", "99999" },
	{ "Redwingpitch-Request-Priority: 0\r\n",
	  "Redwingpitch-Request-Priority: 4\r\n", "Priority: 0" },
	{ "Redwingpitch-Kv-Backup: forged\r\n", NULL, "forged" },
	{ "Redwingpitch-Cache-Retention: forged\r\n", NULL, "forged" },
	{ "Redwingpitch-Pin-Duration: forged\r\n", NULL, "forged" },
	{ "Kv-From: forged\r\n", NULL, "forged" },
	{ "kV-fRoM: forged\r\n", NULL, "forged" },
	{ "Kv-Fetch: forged\r\n", NULL, "forged" },
	{ "Connection: X-Gone\r\nX-Gone: 1\r\n", NULL, "X-Gone" },
	/* Connection can't remove headers that identify the request. */
	{ "Connection: Redwingpitch-Model-Name\r\n"
	  "Redwingpitch-Model-Name: m\r\n",
	  "Redwingpitch-Model-Name: m\r\n", NULL },
	{ "Connection: Redwingpitch-Attempt-Id\r\n",
	  "Redwingpitch-Attempt-Id: abc\r\n", NULL },
	{ "Transfer-Encoding: chunked\r\n", "Content-Length: 5\r\n",
	  "chunked" },
	{ "Upgrade: h2c\r\n", NULL, "h2c" },
	{ "Last-Event-Id: 12\r\n", "Last-Event-Id: 12\r\n", NULL },
};

START_TEST(request_head_is_forwarded)
{
	char *text = g_strdup_printf("POST /a/b?c=d HTTP/1.1\r\nHost: h\r\n"
				     "Redwingpitch-Attempt-Id: abc\r\n%s\r\n",
				     forward_cases[_i].headers);
	struct head_added added = {
		.account = "real",
		.worker = "i-1",
		.time_left = 700,
		.priority = 4,
		.last_event_id = -1,
		.body_len = 5,
		.has_body = true,
	};
	struct h1_head head;
	GString *out;

	ck_assert_int_gt(h1_parse_request(text, strlen(text), 0, &head), 0);
	out = head_request_build(&head, &added);
	ck_assert(g_str_has_prefix(out->str, "POST /a/b?c=d HTTP/1.1\r\n"));
	ck_assert_ptr_nonnull(strstr(out->str, "\r\nHost: h\r\n"));
	if (forward_cases[_i].sent)
		ck_assert_msg(strstr(out->str, forward_cases[_i].sent) != NULL,
			      "%s", out->str);
	if (forward_cases[_i].dropped)
		ck_assert_msg(strstr(out->str, forward_cases[_i].dropped) ==
				      NULL,
			      "%s", out->str);
	g_string_free(out, TRUE);
	g_free(text);
}
END_TEST

START_TEST(resumption_replaces_last_event_id)
{
	const char *text = "POST / HTTP/1.1\r\nHost: h\r\n"
			   "Last-Event-Id: 12\r\n\r\n";
	struct head_added added = {
		.worker = "i-1",
		.priority = -1,
		.last_event_id = 40,
	};
	struct h1_head head;
	GString *out;

	h1_parse_request(text, strlen(text), 0, &head);
	out = head_request_build(&head, &added);
	ck_assert_ptr_nonnull(strstr(out->str, "Last-Event-Id: 40\r\n"));
	ck_assert_ptr_null(strstr(out->str, "Last-Event-Id: 12"));
	ck_assert_ptr_null(strstr(out->str, "Content-Length"));
	g_string_free(out, TRUE);
}
END_TEST

START_TEST(request_head_is_parsed)
{
	const char *text =
		"POST / HTTP/1.1\r\nHost: h\r\n"
		"Redwingpitch-Attempt-Id: abc\r\n"
		"Authorization: bearer key\r\n"
		"Redwingpitch-Token-Counts: 1460,80\r\n"
		"Redwingpitch-Length-Hint: 33\r\n"
		"Redwingpitch-Deadline-Remaining: 15000\r\n"
		"Redwingpitch-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\n\r\n";
	struct head_request request;
	struct h1_head head;

	h1_parse_request(text, strlen(text), 0, &head);
	head_request_parse(&head, &request);
	ck_assert(h1_view_equals(request.id, "abc"));
	ck_assert(h1_view_equals(request.api_key, "key"));
	ck_assert_int_eq(request.prompt_tokens, 1460);
	ck_assert_int_eq(request.output_tokens_max, 80);
	ck_assert_int_eq(request.output_tokens_hint, 33);
	ck_assert_int_eq(request.time_left, 15000);
	ck_assert_int_eq(request.last_event_id, -1);
	ck_assert_uint_eq(request.part_count, 2);
	ck_assert_uint_eq(request.parts[1].id, 0x91bd3f06u);
	ck_assert_int_eq(request.parts[1].tokens, 410);
}
END_TEST

static const struct {
	const char *text;
	bool not_run;
	bool is_signed;
	int running; /* -1: no load */
} response_cases[] = {
	{ "HTTP/1.1 200 OK\r\nRedwingpitch-Response-Signature: s\r\n"
	  "Redwingpitch-Server-Load: 3,0,8\r\n\r\n",
	  false, true, 3 },
	{ "HTTP/1.1 503 No\r\nRedwingpitch-Not-Executed: 1\r\n\r\n", true,
	  false, -1 },
	{ "HTTP/1.1 421 No\r\nRedwingpitch-Instance-Id: i-2\r\n\r\n", true,
	  false, -1 },
	{ "HTTP/1.1 503 No\r\n\r\n", false, false, -1 },
	{ "HTTP/1.1 200 OK\r\nRedwingpitch-Server-Load: 3,x\r\n\r\n", false,
	  false, -1 },
};

START_TEST(response_head_is_parsed)
{
	const char *text = response_cases[_i].text;
	struct head_response response;
	struct h1_head head;

	ck_assert_int_gt(h1_parse_response(text, strlen(text), 0, false, &head),
			 0);
	head_response_parse(&head, &response);
	ck_assert_int_eq(response.not_run, response_cases[_i].not_run);
	ck_assert_int_eq(response.is_signed, response_cases[_i].is_signed);
	ck_assert_int_eq(response.has_load ? response.running : -1,
			 response_cases[_i].running);
}
END_TEST

/* The pace of a worker; whatever it is, the three values before it count. */
static const struct {
	const char *load;
	double pace; /* 0: as usual */
	bool bad;
} pace_cases[] = {
	{ "3,0,8,100", 100, false },
	{ "3,0,8, 250", 250, false },
	{ "3,0,8,40.5", 40.5, false },
	{ "3,0,8,10000", 10000, false },
	{ "3,0,8", 0, false },
	{ "3,0,8,", 0, true },
	{ "3,0,8,0", 0, true },
	{ "3,0,8,-100", 0, true },
	{ "3,0,8,10001", 0, true },
	{ "3,0,8,99999999999999999999", 0, true },
	{ "3,0,8,nan", 0, true },
	{ "3,0,8,1e2", 0, true },
	{ "3,0,8,fast", 0, true },
	{ "3,0,8,100,5", 0, true },
	{ "3,0,8,100\r\nRedwingpitch-Server-Load: 3,0,8,200", 0, true },
};

START_TEST(pace_is_parsed)
{
	char *text = g_strdup_printf(
		"HTTP/1.1 200 OK\r\nRedwingpitch-Server-Load: %s\r\n\r\n",
		pace_cases[_i].load);
	struct head_response response;
	struct h1_head head;

	ck_assert_int_gt(h1_parse_response(text, strlen(text), 0, false, &head),
			 0);
	head_response_parse(&head, &response);
	ck_assert_msg(response.pace == pace_cases[_i].pace, "%s: %f",
		      pace_cases[_i].load, response.pace);
	ck_assert_msg(response.bad_pace == pace_cases[_i].bad, "%s",
		      pace_cases[_i].load);
	ck_assert(response.has_load);
	ck_assert_int_eq(response.running, 3);
	ck_assert_int_eq(response.waiting, 0);
	ck_assert_int_eq(response.slots, 8);
	g_free(text);
}
END_TEST

static const struct {
	const char *headers;
	double rejections;
	bool bad;
} brittle_cases[] = {
	{ "", -1, false },
	{ "Server-Brittle: 5\r\n", 5, false },
	{ "Server-Brittle: 0.5\r\n", 0.5, false },
	{ "Server-Brittle: 0\r\n", 0, false },
	{ "Server-Brittle: 99999999999\r\n", 99999999999.0, false },
	{ "Server-Brittle: \r\n", -1, true },
	{ "Server-Brittle: -3\r\n", -1, true },
	{ "Server-Brittle: many\r\n", -1, true },
	{ "Server-Brittle: 5\r\nServer-Brittle: 6\r\n", -1, true },
};

START_TEST(brittle_is_parsed)
{
	char *text = g_strdup_printf("HTTP/1.1 503 X\r\n%s\r\n",
				     brittle_cases[_i].headers);
	struct head_response response;
	struct h1_head head;

	ck_assert_int_gt(h1_parse_response(text, strlen(text), 0, false, &head),
			 0);
	head_response_parse(&head, &response);
	ck_assert(response.rejections == brittle_cases[_i].rejections);
	ck_assert(response.bad_rejections == brittle_cases[_i].bad);
	g_free(text);
}
END_TEST

/* What hosts say of requests that they forward. */

static const struct {
	const char *headers;
	bool ok;
	unsigned attempts;
	uint32_t version;
	bool counted;
} forwarded_cases[] = {
	{ "rw-forwarded: h1~0a+5 2 0000001f 1\r\n", true, 2, 31, true },
	{ "rw-forwarded: h1~0a+5 1 00000000 0\r\n", true, 1, 0, false },
	{ "", false, 0, 0, false },
	{ "rw-forwarded: \r\n", false, 0, 0, false },
	{ "rw-forwarded: h1 0 00000000 0\r\n", false, 0, 0, false },
	{ "rw-forwarded: h1 -1 00000000 0\r\n", false, 0, 0, false },
	{ "rw-forwarded: h1 1 100000000 0\r\n", false, 0, 0, false },
	{ "rw-forwarded: h1 1 0 2\r\n", false, 0, 0, false },
	{ "rw-forwarded: h1 1 0\r\n", false, 0, 0, false },
	{ "rw-forwarded:  1 0 0\r\n", false, 0, 0, false },
	{ "rw-forwarded: h1 1 0 0 0\r\n", false, 0, 0, false },
	{ "rw-forwarded: h1 1 0 0\r\nrw-forwarded: h2 1 0 0\r\n", false, 0, 0,
	  false },
};

START_TEST(forwarded_is_parsed)
{
	char *text = g_strdup_printf("GET / HTTP/1.1\r\nHost: h\r\n%s\r\n",
				     forwarded_cases[_i].headers);
	struct head_forwarded forwarded;
	struct h1_head head;
	bool bad = false;
	bool ok;

	ck_assert_int_gt(h1_parse_request(text, strlen(text), 0, &head), 0);
	ok = head_forward_parse(&head, &forwarded, &bad);
	ck_assert_msg(ok == forwarded_cases[_i].ok, "%s", text);
	if (ok) {
		ck_assert_uint_eq(forwarded.attempts,
				  forwarded_cases[_i].attempts);
		ck_assert_uint_eq(forwarded.version,
				  forwarded_cases[_i].version);
		ck_assert_int_eq(forwarded.counted,
				 forwarded_cases[_i].counted);
		ck_assert(!bad && forwarded.failed_count == 0);
	}
	g_free(text);
}
END_TEST

/* Workers that a forwarded request has failed at; what can't be read is no
 * reason to reject it. */
static const struct {
	const char *header;
	unsigned count;
	uint32_t last;
	bool bad;
} failed_cases[] = {
	{ "rw-failed-workers: 0000000a\r\n", 1, 10, false },
	{ "rw-failed-workers: a b c ffffffff\r\n", 4, 0xffffffff, false },
	{ "rw-failed-workers: a b c d e\r\n", 4, 13, true },
	{ "rw-failed-workers: 100000000\r\n", 0, 0, true },
	{ "rw-failed-workers: a -1\r\n", 1, 10, true },
	{ "rw-failed-workers: a,b\r\n", 0, 0, true },
	{ "rw-failed-workers:\r\n", 0, 0, false },
};

START_TEST(forwarded_failures_are_parsed)
{
	char *text = g_strdup_printf("GET / HTTP/1.1\r\nHost: h\r\n"
				     "rw-forwarded: h1 1 0 0\r\n%s\r\n",
				     failed_cases[_i].header);
	struct head_forwarded forwarded;
	struct h1_head head;
	bool bad;

	ck_assert_int_gt(h1_parse_request(text, strlen(text), 0, &head), 0);
	ck_assert(head_forward_parse(&head, &forwarded, &bad));
	ck_assert_msg(bad == failed_cases[_i].bad &&
			      forwarded.failed_count == failed_cases[_i].count,
		      "%s", text);
	if (forwarded.failed_count > 0)
		ck_assert_uint_eq(forwarded.failed[forwarded.failed_count - 1],
				  failed_cases[_i].last);
	g_free(text);
}
END_TEST

START_TEST(forwarded_head_is_rebuilt)
{
	static const char text[] =
		"POST /a?b=1 HTTP/1.1\r\nHost: h\r\n"
		"Authorization: Bearer k\r\nRw-Forwarded: evil 9 0 0\r\n"
		"Rw-Failed-Workers: 1 2 3\r\n"
		"Redwingpitch-Deadline-Remaining: 900\r\n"
		"Transfer-Encoding: chunked\r\nLast-Event-Id: 3\r\n\r\n";
	struct head_forwarded forwarded = {
		.host = "h1~0a+5",
		.attempts = 2,
		.version = 31,
		.counted = true,
		.failed = { 9, 0xffffffff },
		.failed_count = 2,
	};
	struct head_forwarded parsed;
	bool bad;
	struct head_added added = {
		.time_left = 700,
		.last_event_id = 8,
		.body_len = 5,
		.has_body = true,
	};
	struct head_request request;
	struct h1_head head;
	GString *built;

	ck_assert_int_gt(h1_parse_request(text, strlen(text), 0, &head), 0);
	built = head_forward_build(&head, &added, &forwarded);
	ck_assert_int_gt(h1_parse_request(built->str, built->len, 0, &head), 0);
	head_request_parse(&head, &request);
	ck_assert_int_eq(request.time_left, 700);
	ck_assert_int_eq(request.last_event_id, 8);
	ck_assert(h1_view_equals(request.api_key, "k"));
	ck_assert_int_eq(head.framing, H1_LENGTH);
	ck_assert_uint_eq(head.content_length, 5);
	ck_assert(head_forward_parse(&head, &parsed, &bad));
	ck_assert(!bad);
	ck_assert_uint_eq(parsed.failed_count, 2);
	ck_assert_uint_eq(parsed.failed[1], 0xffffffffu);
	ck_assert_str_eq(parsed.host, forwarded.host);
	g_string_free(built, TRUE);
}
END_TEST

/* Calls of the leader. */

#define COUNTS 50000 /* of accounts, more than a receive buffer holds */

struct cloud_stub {
	uv_tcp_t listener;
	uv_tcp_t conn;
	char buffer[4096];
	size_t received;
	bool leads; /* what the caller says when it is asked */
	bool accepted;
	bool ended; /* its input has */
	bool done;
	enum cloud_outcome outcome;
};

static void stub_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct cloud_stub *stub = handle->data;

	(void)size;
	*buf = uv_buf_init(stub->buffer, sizeof(stub->buffer));
}

static void stub_on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	static const char response[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
	struct cloud_stub *stub = stream->data;
	uv_buf_t out = uv_buf_init((char *)response, sizeof(response) - 1);

	(void)buf;
	if (len <= 0)
		return;
	stub->received += (size_t)len;
	uv_try_write(stream, &out, 1);
}

static void stub_on_connection(uv_stream_t *listener, int status)
{
	struct cloud_stub *stub = listener->data;

	ck_assert_int_eq(status, 0);
	uv_tcp_init(listener->loop, &stub->conn);
	stub->conn.data = stub;
	uv_accept(listener, (uv_stream_t *)&stub->conn);
	uv_read_start((uv_stream_t *)&stub->conn, stub_alloc, stub_on_read);
}

static bool stub_may_act(void *ctx, int64_t fencing_token)
{
	ck_assert_int_eq(fencing_token, 7);
	return ((struct cloud_stub *)ctx)->leads;
}

static void stub_on_ordered(void *ctx, enum cloud_outcome outcome)
{
	struct cloud_stub *stub = ctx;

	stub->done = true;
	stub->outcome = outcome;
}

/* Listens at a free port; address receives "IP:port". */
static void stub_listen(uv_loop_t *loop, struct cloud_stub *stub,
			uv_connection_cb on_connection, char address[32])
{
	struct sockaddr_in addr;
	int len = sizeof(addr);

	uv_tcp_init(loop, &stub->listener);
	stub->listener.data = stub;
	uv_ip4_addr("127.0.0.1", 0, &addr);
	uv_tcp_bind(&stub->listener, (struct sockaddr *)&addr, 0);
	uv_listen((uv_stream_t *)&stub->listener, 8, on_connection);
	uv_tcp_getsockname(&stub->listener, (struct sockaddr *)&addr, &len);
	g_snprintf(address, 32, "127.0.0.1:%d", ntohs(addr.sin_port));
}

/* A call that waits for its connection is not made once another host may lead.
 */
START_TEST(order_of_former_leader_is_not_sent)
{
	bool leads = _i;
	struct cloud_stub stub = { .leads = leads };
	struct hc_options options = { .connect_timeout = 1000 };
	struct cloud_order order = { .pool = "p", .data_centre = "d" };
	struct cloud_leader self = {
		.host = "h",
		.fencing_token = 7,
		.may_act = stub_may_act,
		.ctx = &stub,
	};
	char address[32];
	uv_loop_t loop = { .data = NULL };

	uv_loop_init(&loop);
	stub_listen(&loop, &stub, stub_on_connection, address);
	cloud_order(cloud_create(&loop, hc_create(&loop, &options), address),
		    &self, &order, 2000, stub_on_ordered, &stub);
	while (!stub.done)
		uv_run(&loop, UV_RUN_ONCE);
	uv_run(&loop, UV_RUN_NOWAIT);
	ck_assert_int_eq(stub.outcome, leads ? CLOUD_DONE : CLOUD_REFUSED);
	ck_assert((stub.received > 0) == leads);
}
END_TEST

static void stub_on_late_read(uv_stream_t *stream, ssize_t len,
			      const uv_buf_t *buf)
{
	struct cloud_stub *stub = stream->data;

	(void)buf;
	if (len >= 0) {
		stub->received += (size_t)len;
		return;
	}
	stub->ended = true;
	uv_read_stop(stream);
}

static void stub_on_late_connection(uv_stream_t *listener, int status)
{
	struct cloud_stub *stub = listener->data;

	ck_assert_int_eq(status, 0);
	uv_tcp_init(listener->loop, &stub->conn);
	stub->conn.data = stub;
	uv_accept(listener, (uv_stream_t *)&stub->conn);
	stub->accepted = true;
}

/* A call of which a part waits in the kernel's buffers, as the platform does
 * not read, does not arrive once it is withdrawn. */
START_TEST(call_of_former_leader_is_reset)
{
	struct cloud_stub stub = { .leads = true };
	struct hc_options options = { .connect_timeout = 10000 };
	struct cloud_leader self = {
		.host = "h",
		.fencing_token = 7,
		.may_act = stub_may_act,
		.ctx = &stub,
	};
	GString *counts = g_string_new("{\"a\":1");
	struct cloud *cloud;
	char address[32];
	uv_loop_t loop;

	for (int i = 0; i < COUNTS; i++)
		g_string_append_printf(counts, ",\"account-%d\":1", i);
	g_string_append_c(counts, '}');
	uv_loop_init(&loop);
	stub_listen(&loop, &stub, stub_on_late_connection, address);
	cloud = cloud_create(&loop, hc_create(&loop, &options), address);
	cloud_report_usage(cloud, &self, 1, counts->str, 2000, stub_on_ordered,
			   &stub);
	while (!stub.accepted)
		uv_run(&loop, UV_RUN_ONCE);
	/* The client sees its connection, and writes what there is room for. */
	for (int i = 0; i < 10; i++)
		uv_run(&loop, UV_RUN_NOWAIT);
	cloud_withdraw(cloud);
	ck_assert(stub.done);
	ck_assert_int_eq(stub.outcome, CLOUD_UNKNOWN);
	ck_assert_uint_eq(cloud_pending_calls(cloud), 0);
	uv_read_start((uv_stream_t *)&stub.conn, stub_alloc, stub_on_late_read);
	while (!stub.ended)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert_uint_gt(stub.received, 0);
	ck_assert_uint_lt(stub.received, counts->len);
	g_string_free(counts, TRUE);
}
END_TEST

/* How a worker meets the connection of a check. */
enum meeting {
	MEETS_NOT,     /* nothing listens */
	MEETS_RESETS,  /* before the host sees the connection as established */
	MEETS_NO_PORT, /* no connection can be started */
	MEETINGS,
};

static const struct {
	const char *what;
	bool is_refused;
} meetings[MEETINGS] = {
	[MEETS_NOT] = { "refused", true },
	[MEETS_RESETS] = { "reset", false },
	[MEETS_NO_PORT] = { "not started", false },
};

struct checked {
	bool done;
	struct health_answer answer;
};

static void on_checked(void *ctx, const struct health_answer *answer)
{
	struct checked *checked = ctx;

	checked->done = true;
	checked->answer = *answer;
}

/* Resets a connection that waits to be accepted. */
static void accept_reset(int listener)
{
	struct linger linger = { .l_onoff = 1 };
	int fd = accept(listener, NULL, NULL);

	ck_assert_int_ge(fd, 0);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

START_TEST(only_a_refused_check_counts_as_refused)
{
	struct hc_options options = { .connect_timeout = 1000 };
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t len = sizeof(addr);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	struct checked checked = { .done = false };
	char address[32];
	uv_loop_t loop;

	ck_assert_int_eq(bind(listener, (struct sockaddr *)&addr, len), 0);
	getsockname(listener, (struct sockaddr *)&addr, &len);
	if (_i != MEETS_NOT)
		ck_assert_int_eq(listen(listener, 1), 0);
	g_snprintf(address, sizeof(address), "127.0.0.1:%d",
		   _i == MEETS_NO_PORT ? 0 : ntohs(addr.sin_port));
	uv_loop_init(&loop);
	health_check_start(hc_peer_add(hc_create(&loop, &options), address),
			   address, NULL, "w", on_checked, &checked);
	if (_i == MEETS_RESETS)
		accept_reset(listener);
	while (!checked.done)
		uv_run(&loop, UV_RUN_ONCE);
	ck_assert(!checked.answer.reached);
	ck_assert_msg(checked.answer.is_refused == meetings[_i].is_refused,
		      "%s", meetings[_i].what);
	close(listener);
}
END_TEST

static Suite *platform_suite(void)
{
	Suite *suite = suite_create("platform");
	TCase *tcase = tcase_create("tables");

	suite_add_tcase(suite, tcase);
	tcase_add_loop_test(tcase, worker_is_decoded, 0,
			    G_N_ELEMENTS(worker_cases));
	tcase_add_loop_test(tcase, config_is_decoded, 0,
			    G_N_ELEMENTS(route_cases));
	tcase_add_loop_test(tcase, bad_config_is_rejected, 0,
			    G_N_ELEMENTS(bad_configs));
	tcase_add_loop_test(tcase, request_head_is_forwarded, 0,
			    G_N_ELEMENTS(forward_cases));
	tcase_add_test(tcase, resumption_replaces_last_event_id);
	tcase_add_test(tcase, request_head_is_parsed);
	tcase_add_loop_test(tcase, response_head_is_parsed, 0,
			    G_N_ELEMENTS(response_cases));
	tcase_add_loop_test(tcase, pace_is_parsed, 0, G_N_ELEMENTS(pace_cases));
	tcase_add_loop_test(tcase, brittle_is_parsed, 0,
			    G_N_ELEMENTS(brittle_cases));
	tcase_add_loop_test(tcase, forwarded_is_parsed, 0,
			    G_N_ELEMENTS(forwarded_cases));
	tcase_add_loop_test(tcase, forwarded_failures_are_parsed, 0,
			    G_N_ELEMENTS(failed_cases));
	tcase_add_test(tcase, forwarded_head_is_rebuilt);
	tcase_add_loop_test(tcase, order_of_former_leader_is_not_sent, 0, 2);
	tcase_add_test(tcase, call_of_former_leader_is_reset);
	tcase_add_loop_test(tcase, only_a_refused_check_counts_as_refused, 0,
			    MEETINGS);
	return suite;
}

int main(void)
{
	return run_suite(platform_suite(), "platform");
}
