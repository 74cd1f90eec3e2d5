/* A request of rw-load, from locate to its outcome. */
#include "load.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "../fakes/token.h"

#define IDLE_TIMEOUT_MS 20000  /* between two chunks of a response */
#define MIN_RETRY_DELAY_MS 100 /* plus a jitter of up to the same */
#define MAX_UNKNOWN_RETRIES 5  /* retries after "unknown" */
#define LOCATE_TIMEOUT_MS 2000
#define MAX_ENTRIES 8 /* addresses remembered for locate */

/* A request and the state of its caller. */
struct request {
	struct load *load;
	const struct load_kind *kind;
	const char *account;
	char *id;	  /* NULL before the locate */
	char **addresses; /* from the locate response */
	guint address;	  /* index of the one in use, modulo their count */
	char *prompt;
	GBytes *body;
	GString *text; /* chunks received so far, concatenated */
	int chunk_count;
	bool accepted;
	bool has_outcome; /* an end or an error was received */
	enum load_outcome outcome;
	int unknown_count;
	int64_t retry_after_ms; /* from the last error */
	double started_at;
	double first_chunk_at; /* 0: none yet */
	double last_chunk_at;
	GString *buf;	/* bytes received and not yet parsed */
	char event[16]; /* name of the current event */
	int status;
	struct http_fetch *fetch;
	uv_timer_t timer;
	struct trace_span span;
};

static void request_locate(struct request *request);
static void request_send(struct request *request);

static void request_on_closed(uv_handle_t *handle)
{
	struct request *request = handle->data;

	g_free(request->id);
	g_strfreev(request->addresses);
	g_free(request->prompt);
	if (request->body)
		g_bytes_unref(request->body);
	g_string_free(request->text, TRUE);
	g_string_free(request->buf, TRUE);
	g_free(request);
}

/* Whether the text is the complete one that the fake engine generates. */
static bool text_is_expected(const struct request *request)
{
	GString *expected;
	char token[TOKEN_TEXT_MAX];
	bool equal;

	if (!request->load->verify || !request->kind->is_model)
		return true;
	expected = g_string_new(NULL);
	for (int n = 0; n < request->load->max_tokens; n++) {
		token_text(request->prompt, n, token, sizeof(token));
		g_string_append(expected, token);
	}
	equal = g_string_equal(expected, request->text);
	g_string_free(expected, TRUE);
	return equal;
}

/* Ends a request: records samples, history and trace span. */
static void request_finish(struct request *request, enum load_outcome outcome)
{
	static const char *const names[LOAD_OUTCOME_COUNT] = {
		"end", "not_run", "unknown", "given_up", "wrong"
	};
	struct load *load = request->load;
	double now = load_now_ms(load);
	double total = now - request->started_at;
	double first = request->first_chunk_at - request->started_at;

	if (outcome == LOAD_COMPLETE && !text_is_expected(request))
		outcome = LOAD_INVALID;
	if (outcome == LOAD_COMPLETE) {
		g_array_append_val(load->total_ms, total);
		if (request->first_chunk_at > 0)
			g_array_append_val(load->first_chunk_ms, first);
	}
	load_record_event(load, names[outcome], request->id ? request->id : "",
			  request->kind->name, request->text->str);
	trace_end(load->tracer, &request->span, "caller",
		  request->id ? request->id : "", names[outcome]);
	load_request_done(load, outcome);
	uv_close((uv_handle_t *)&request->timer, request_on_closed);
}

static void retry_on_timer(uv_timer_t *timer)
{
	struct request *request = timer->data;

	if (request->id)
		request_send(request);
	else
		request_locate(request);
}

/* Retries at the next address after a delay, or gives up after timeout_ms. */
static void request_retry(struct request *request, int64_t delay)
{
	struct load *load = request->load;
	double elapsed = load_now_ms(load) - request->started_at;
	int64_t jitter = g_rand_int_range(load->rand, 0, MIN_RETRY_DELAY_MS);

	if (elapsed > load->timeout_ms) {
		request_finish(request, LOAD_TIMED_OUT);
		return;
	}
	request->address++;
	uv_timer_start(&request->timer, retry_on_timer,
		       (uint64_t)(MAX(delay, MIN_RETRY_DELAY_MS) + jitter), 0);
}

/* Handles an error body. RW_EUNSEEN leaves the outcome unknown, whatever "ran"
 * says. */
static void handle_error(struct request *request, struct json_object *obj)
{
	const char *ran = json_text(obj, "ran", "unknown");

	request->has_outcome = true;
	request->retry_after_ms = json_int(obj, "come_back_ms", 0);
	request->outcome = !strcmp(ran, "no") ? LOAD_NOT_RUN : LOAD_UNKNOWN;
	if (!strcmp(json_text(obj, "error", ""), "RW_EUNSEEN"))
		request->outcome = LOAD_UNKNOWN;
}

static void handle_chunk(struct request *request, const char *text)
{
	struct load *load = request->load;
	double now = load_now_ms(load);
	double gap = now - request->last_chunk_at;

	if (request->chunk_count == 0)
		request->first_chunk_at = now;
	else
		g_array_append_val(load->chunk_gap_ms, gap);
	request->last_chunk_at = now;
	load_record_event(load, "piece", request->id, request->kind->name,
			  text);
	request->chunk_count++;
	g_string_append(request->text, text);
}

/* Handles the end of a stream: count and hash must match the chunks
 * received. */
static void handle_end(struct request *request, struct json_object *obj)
{
	char hash[20];

	g_snprintf(hash, sizeof(hash), "%016" G_GINT64_MODIFIER "x",
		   (guint64)XXH64(request->text->str, request->text->len, 0));
	request->has_outcome = true;
	request->outcome = LOAD_COMPLETE;
	if (json_int(obj, "count", -1) != request->chunk_count ||
	    strcmp(json_text(obj, "hash", ""), hash) != 0)
		request->outcome = LOAD_INVALID;
}

/* The response is generated again: discards the chunks received so far. */
static void handle_restart(struct request *request)
{
	g_string_truncate(request->text, 0);
	request->chunk_count = 0;
}

/* Handles the data of an event. */
static void handle_event(struct request *request, const char *ptr, size_t len)
{
	struct json_object *obj = json_parse_object(ptr, len);

	if (!obj)
		return;
	if (!strcmp(request->event, "accepted")) {
		if (!request->accepted)
			load_record_event(request->load, "accepted",
					  request->id, request->kind->name,
					  NULL);
		request->accepted = true;
	} else if (!strcmp(request->event, "piece")) {
		handle_chunk(request, json_text(obj, "text", ""));
	} else if (!strcmp(request->event, "restart")) {
		handle_restart(request);
	} else if (!strcmp(request->event, "end")) {
		handle_end(request, obj);
	} else if (!strcmp(request->event, "error")) {
		handle_error(request, obj);
	}
	json_object_put(obj);
}

/* Handles the data of an event from an engine called directly. */
static void handle_engine_event(struct request *request, const char *ptr,
				size_t len)
{
	struct json_object *obj = json_parse_object(ptr, len);
	struct json_object *choices = NULL;

	if (len == strlen("[DONE]")) {
		request->has_outcome = true;
		request->outcome = LOAD_COMPLETE;
	} else if (obj && json_object_object_get_ex(obj, "choices", &choices)) {
		handle_chunk(request,
			     json_text(json_object_array_get_idx(choices, 0),
				       "text", ""));
	}
	json_object_put(obj);
}

/* Handles one line of an event stream. */
static void handle_line(struct request *request, const char *line, size_t len)
{
	if (len > 7 && !memcmp(line, "event: ", 7))
		g_strlcpy(request->event, line + 7,
			  MIN(sizeof(request->event), len - 7 + 1));
	else if (len > 6 && !memcmp(line, "data: ", 6) &&
		 request->load->direct_addresses)
		handle_engine_event(request, line + 6, len - 6);
	else if (len > 6 && !memcmp(line, "data: ", 6))
		handle_event(request, line + 6, len - 6);
}

static void on_head(void *ctx, int status)
{
	((struct request *)ctx)->status = status;
}

static void on_data(void *ctx, const char *ptr, size_t len)
{
	struct request *request = ctx;
	GString *buf = request->buf;
	size_t at = 0;

	g_string_append_len(buf, ptr, (gssize)len);
	if (!http_fetch_is_event_stream(request->fetch))
		return;
	while (at < buf->len) {
		char *newline = memchr(buf->str + at, '\n', buf->len - at);

		if (!newline)
			break;
		handle_line(request, buf->str + at,
			    (size_t)(newline - buf->str) - at);
		at = (size_t)(newline - buf->str) + 1;
	}
	g_string_erase(buf, 0, (gssize)at);
}

/* Handles a response without streaming: a completion, service response or
 * error. */
static void handle_body(struct request *request)
{
	struct json_object *obj =
		json_parse_object(request->buf->str, request->buf->len);

	if (!obj)
		return;
	if (json_text(obj, "error", NULL)) {
		handle_error(request, obj);
	} else if (request->kind->is_model) {
		handle_restart(request);
		handle_chunk(request, json_text(obj, "text", ""));
		request->chunk_count = (int)json_int(obj, "count", -1);
		handle_end(request, obj);
	} else {
		request->has_outcome = true;
		request->outcome = LOAD_COMPLETE;
		if (strcmp(json_text(obj, "id", request->id), request->id) != 0)
			request->outcome = LOAD_INVALID;
		g_string_assign(request->text, request->buf->str);
	}
	json_object_put(obj);
}

static void on_done(void *ctx, enum http_result result, int status)
{
	struct request *request = ctx;
	bool is_stream = http_fetch_is_event_stream(request->fetch);

	(void)status;
	request->fetch = NULL;
	if (http_result_may_be_whole(result) && !is_stream)
		handle_body(request);
	if (!request->has_outcome) {
		request_retry(request, 0);
		return;
	}
	if (request->outcome == LOAD_UNKNOWN &&
	    request->unknown_count++ < MAX_UNKNOWN_RETRIES) {
		request->has_outcome = false;
		request_retry(request, request->retry_after_ms);
		return;
	}
	request_finish(request, request->outcome);
}

/* Builds the request headers, with last-event-id to resume a stream. */
static char *headers_build(struct request *request)
{
	GString *text = g_string_new("content-type: application/json\r\n");
	char parent[TRACE_PARENT_LEN + 1];

	trace_parent_format(&request->span, parent);
	g_string_append_printf(text,
			       "x-account: %s\r\nx-request-id: %s\r\n"
			       "traceparent: %s\r\n",
			       request->account, request->id, parent);
	if (!request->load->no_stream && request->kind->is_model)
		g_string_append(text, "accept: text/event-stream\r\n");
	if (request->chunk_count > 0 && request->accepted)
		g_string_append_printf(text, "last-event-id: %d\r\n",
				       request->chunk_count - 1);
	return g_string_free(text, FALSE);
}

/* Builds the request path. An accepted request is not sent again: its result is
 * fetched by id. */
static char *path_build(const struct request *request)
{
	if (request->accepted)
		return g_strdup_printf("/v1/requests/%s", request->id);
	if (request->kind->is_model)
		return g_strdup("/v1/completions");
	return g_strdup_printf("/v1/call/%s", request->kind->name);
}

static void request_send(struct request *request)
{
	struct load *load = request->load;
	char *headers = headers_build(request);
	char *path = path_build(request);
	guint count = g_strv_length(request->addresses);
	struct http_fetch_spec spec = {
		.address = request->addresses[request->address % count],
		.method = request->accepted ? "GET" : "POST",
		.path = path,
		.headers = headers,
		.body = request->accepted ? NULL : request->body,
		.timeout = load->direct_addresses ? 0 : load->timeout_ms,
		.idle_timeout = IDLE_TIMEOUT_MS,
		.on_head = on_head,
		.on_data = on_data,
		.on_done = on_done,
		.ctx = request,
	};

	load->attempts++;
	request->event[0] = '\0';
	g_string_truncate(request->buf, 0);
	request->fetch = http_fetch_start(load->client, &spec);
	g_free(headers);
	g_free(path);
}

/* Adds an address for later locates; evicts the oldest at the limit. */
static void entry_remember(struct load *load, const char *address)
{
	guint at;

	if (g_ptr_array_find_with_equal_func(load->entries, address,
					     g_str_equal, &at))
		g_ptr_array_remove_index(load->entries, at);
	else if (load->entries->len >= MAX_ENTRIES)
		g_ptr_array_remove_index(load->entries, 0);
	g_ptr_array_add(load->entries, g_strdup(address));
}

/* Reads the addresses to use and the prefix of the request id. */
static void locate_on_done(void *ctx, enum http_result result, int status)
{
	struct request *request = ctx;
	struct load *load = request->load;
	struct json_object *obj = NULL;
	struct json_object *list = NULL;
	GPtrArray *addresses;

	if (http_result_may_be_whole(result) && status == 200)
		obj = json_parse_object(request->buf->str, request->buf->len);
	if (!obj || !json_object_object_get_ex(obj, "addresses", &list) ||
	    json_object_array_length(list) == 0) {
		json_object_put(obj);
		request_retry(request, 0);
		return;
	}
	request->id =
		g_strdup_printf("%s-%08x%08x", json_text(obj, "home", ""),
				g_rand_int(load->rand), g_rand_int(load->rand));
	addresses = g_ptr_array_new();
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		const char *address = json_object_get_string(
			json_object_array_get_idx(list, i));

		entry_remember(load, address);
		g_ptr_array_add(addresses, g_strdup(address));
	}
	g_ptr_array_add(addresses, NULL);
	request->addresses = (char **)g_ptr_array_free(addresses, FALSE);
	request->address = 0;
	json_object_put(obj);
	load_record_event(load, "invoke", request->id, request->kind->name,
			  NULL);
	request_send(request);
}

static void locate_on_data(void *ctx, const char *ptr, size_t len)
{
	struct request *request = ctx;

	g_string_append_len(request->buf, ptr, (gssize)len);
}

static void request_locate(struct request *request)
{
	struct load *load = request->load;
	guint at = (guint)g_rand_int_range(load->rand, 0,
					   (gint32)load->entries->len);
	struct http_fetch_spec spec = {
		.address = g_ptr_array_index(load->entries, at),
		.method = "GET",
		.path = "/v1/locate",
		.timeout = LOCATE_TIMEOUT_MS,
		.on_data = locate_on_data,
		.on_done = locate_on_done,
		.ctx = request,
	};

	g_string_truncate(request->buf, 0);
	http_fetch_start(load->client, &spec);
}

/* Chooses a kind at random by weight. */
static const struct load_kind *kind_choose(struct load *load)
{
	double sum = 0;
	double at;

	for (guint i = 0; i < load->kinds->len; i++)
		sum += g_array_index(load->kinds, struct load_kind, i).weight;
	at = g_rand_double_range(load->rand, 0, sum);
	for (guint i = 0; i < load->kinds->len; i++) {
		struct load_kind *kind =
			&g_array_index(load->kinds, struct load_kind, i);

		at -= kind->weight;
		if (at < 0)
			return kind;
	}
	return &g_array_index(load->kinds, struct load_kind, 0);
}

/* Builds a prompt of a shared prefix, chosen at random, and a unique suffix. */
static char *prompt_build(struct load *load)
{
	GString *prompt = g_string_new(NULL);
	int prefix =
		g_rand_int_range(load->rand, 0, MAX(load->prefix_count, 1));

	while ((int)prompt->len < load->prompt_bytes)
		g_string_append_printf(prompt, "rule %d of the park. ", prefix);
	g_string_append_printf(prompt, "question %" PRId64,
			       load->request_count);
	return g_string_free(prompt, FALSE);
}

/* Builds the request body. */
static void body_build(struct request *request)
{
	struct load *load = request->load;
	struct json_object *obj = json_object_new_object();
	const char *text;
	size_t len;

	if (request->kind->is_model) {
		request->prompt = prompt_build(load);
		json_add_text(obj, "model", request->kind->name);
		json_add_text(obj, "prompt", request->prompt);
		json_add_int(obj, "max_tokens", load->max_tokens);
		json_object_object_add(
			obj, "stream",
			json_object_new_boolean(!load->no_stream));
	} else {
		json_add_int(obj, "amount", load->request_count);
	}
	text = json_print(obj, &len);
	request->body = g_bytes_new(text, len);
	json_object_put(obj);
}

void load_start_request(struct load *load)
{
	struct request *request = g_new0(struct request, 1);
	guint account = (guint)g_rand_int_range(
		load->rand, 0, (gint32)g_strv_length(load->accounts));

	request->load = load;
	request->kind = kind_choose(load);
	request->account = load->accounts[account];
	request->text = g_string_new(NULL);
	request->buf = g_string_new(NULL);
	request->started_at = load_now_ms(load);
	load->request_count++;
	load->in_flight++;
	uv_timer_init(&load->loop, &request->timer);
	request->timer.data = request;
	trace_begin(load->tracer, &request->span, "", 0);
	body_build(request);
	if (!load->direct_addresses) {
		request_locate(request);
		return;
	}
	request->id = g_strdup_printf("direct-%08x", g_rand_int(load->rand));
	request->addresses = g_strsplit(load->direct_addresses, ",", -1);
	request->address = (guint)load->request_count;
	request_send(request);
}
