/* One request of rw-load, from its locate to its end. */
#include "load.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "../fakes/token.h"

#define TRY_TIMEOUT_MS 20000 /* of one call */
#define RETRY_MIN_MS 100     /* before another host is tried */
#define UNKNOWN_TRIES 5	     /* times that an unknown is asked again */
#define LOCATE_TIMEOUT_MS 2000
#define ENTRIES_KEPT 8 /* addresses remembered for locates */

/* One request and what its caller knows. */
struct request {
	struct load *load;
	const struct load_kind *kind;
	const char *account;
	char *id;	  /* NULL before the locate */
	char **addresses; /* as located */
	guint address;	  /* which is tried */
	char *prompt;
	GBytes *body;
	GString *text; /* pieces so far */
	int pieces;
	bool accepted;
	bool ended; /* an end or a refusal came */
	enum load_outcome end;
	int unknowns;
	int64_t come_back; /* ms, from the last answer */
	double begun;
	double first; /* 0: none yet */
	double last;
	GString *in; /* bytes not yet taken apart */
	char event[16];
	int status;
	struct http_fetch *fetch;
	uv_timer_t timer;
	struct trace_span span;
};

static void request_locate(struct request *request);
static void request_try(struct request *request);

static void request_on_closed(uv_handle_t *handle)
{
	struct request *request = handle->data;

	g_free(request->id);
	g_strfreev(request->addresses);
	g_free(request->prompt);
	if (request->body)
		g_bytes_unref(request->body);
	g_string_free(request->text, TRUE);
	g_string_free(request->in, TRUE);
	g_free(request);
}

/* Tells whether the text is the stand-in's answer to the prompt, whole. */
static bool text_is_right(const struct request *request)
{
	GString *want;
	char token[TOKEN_TEXT_MAX];
	bool right;

	if (!request->load->verify || !request->kind->is_model)
		return true;
	want = g_string_new(NULL);
	for (int n = 0; n < request->load->max_tokens; n++) {
		token_text(request->prompt, n, token, sizeof(token));
		g_string_append(want, token);
	}
	right = g_string_equal(want, request->text);
	g_string_free(want, TRUE);
	return right;
}

/* Ends a request: figures, history, trace. */
static void request_finish(struct request *request, enum load_outcome end)
{
	static const char *const names[LOAD_OUTCOME_COUNT] = {
		"end", "not_run", "unknown", "given_up", "wrong"
	};
	struct load *load = request->load;
	double now = load_now_ms(load);
	double total = now - request->begun;
	double first = request->first - request->begun;

	if (end == LOAD_COMPLETE && !text_is_right(request))
		end = LOAD_INVALID;
	if (end == LOAD_COMPLETE) {
		g_array_append_val(load->total_ms, total);
		if (request->first > 0)
			g_array_append_val(load->first_chunk_ms, first);
	}
	load_record_event(load, names[end], request->id ? request->id : "",
			  request->kind->name, request->text->str);
	trace_end(load->tracer, &request->span, "caller",
		  request->id ? request->id : "", names[end]);
	load_request_done(load, end);
	uv_close((uv_handle_t *)&request->timer, request_on_closed);
}

static void retry_on_timer(uv_timer_t *timer)
{
	struct request *request = timer->data;

	if (request->id)
		request_try(request);
	else
		request_locate(request);
}

/* Tries again later, at the next address, while patience lasts. */
static void request_again(struct request *request, int64_t wait)
{
	struct load *load = request->load;
	double waited = load_now_ms(load) - request->begun;
	int64_t spread = g_rand_int_range(load->rand, 0, RETRY_MIN_MS);

	if (waited > load->timeout_ms) {
		request_finish(request, LOAD_TIMED_OUT);
		return;
	}
	request->address++;
	uv_timer_start(&request->timer, retry_on_timer,
		       (uint64_t)(MAX(wait, RETRY_MIN_MS) + spread), 0);
}

/* Takes an error's body. */
static void take_error(struct request *request, struct json_object *obj)
{
	const char *ran = json_text(obj, "ran", "unknown");

	request->ended = true;
	request->come_back = json_int(obj, "come_back_ms", 0);
	request->end = !strcmp(ran, "no") ? LOAD_NOT_RUN : LOAD_UNKNOWN;
	if (!strcmp(json_text(obj, "error", ""), "RW_EUNSEEN"))
		request->end = LOAD_UNKNOWN;
}

static void take_piece(struct request *request, const char *text)
{
	struct load *load = request->load;
	double now = load_now_ms(load);
	double gap = now - request->last;

	if (request->pieces == 0)
		request->first = now;
	else
		g_array_append_val(load->chunk_gap_ms, gap);
	request->last = now;
	load_record_event(load, "piece", request->id, request->kind->name,
			  text);
	request->pieces++;
	g_string_append(request->text, text);
}

/* Takes the end of a stream: count and hash must be those of the pieces. */
static void take_end(struct request *request, struct json_object *obj)
{
	char hash[20];

	g_snprintf(hash, sizeof(hash), "%016" G_GINT64_MODIFIER "x",
		   (guint64)XXH64(request->text->str, request->text->len, 0));
	request->ended = true;
	request->end = LOAD_COMPLETE;
	if (json_int(obj, "count", -1) != request->pieces ||
	    strcmp(json_text(obj, "hash", ""), hash) != 0)
		request->end = LOAD_INVALID;
}

/* The host makes the answer anew: what came is forgotten. */
static void take_restart(struct request *request)
{
	g_string_truncate(request->text, 0);
	request->pieces = 0;
}

/* Takes the data of an event. */
static void take_event(struct request *request, const char *ptr, size_t len)
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
		take_piece(request, json_text(obj, "text", ""));
	} else if (!strcmp(request->event, "restart")) {
		take_restart(request);
	} else if (!strcmp(request->event, "end")) {
		take_end(request, obj);
	} else if (!strcmp(request->event, "error")) {
		take_error(request, obj);
	}
	json_object_put(obj);
}

/* An engine called directly sends its own form of events. */
static void take_direct(struct request *request, const char *ptr, size_t len)
{
	struct json_object *obj = json_parse_object(ptr, len);
	struct json_object *choices = NULL;

	if (len == strlen("[DONE]")) {
		request->ended = true;
		request->end = LOAD_COMPLETE;
	} else if (obj && json_object_object_get_ex(obj, "choices", &choices)) {
		take_piece(request,
			   json_text(json_object_array_get_idx(choices, 0),
				     "text", ""));
	}
	json_object_put(obj);
}

/* Takes one line of an event stream. */
static void take_line(struct request *request, const char *line, size_t len)
{
	if (len > 7 && !memcmp(line, "event: ", 7))
		g_strlcpy(request->event, line + 7,
			  MIN(sizeof(request->event), len - 7 + 1));
	else if (len > 6 && !memcmp(line, "data: ", 6) &&
		 request->load->direct_addresses)
		take_direct(request, line + 6, len - 6);
	else if (len > 6 && !memcmp(line, "data: ", 6))
		take_event(request, line + 6, len - 6);
}

static void on_head(void *ctx, int status)
{
	((struct request *)ctx)->status = status;
}

static void on_data(void *ctx, const char *ptr, size_t len)
{
	struct request *request = ctx;
	GString *in = request->in;
	size_t at = 0;

	g_string_append_len(in, ptr, (gssize)len);
	if (!http_fetch_is_event_stream(request->fetch))
		return;
	while (at < in->len) {
		char *end = memchr(in->str + at, '\n', in->len - at);

		if (!end)
			break;
		take_line(request, in->str + at, (size_t)(end - in->str) - at);
		at = (size_t)(end - in->str) + 1;
	}
	g_string_erase(in, 0, (gssize)at);
}

/* Takes a whole answer: a completion's, a service's, or an error. */
static void take_whole(struct request *request)
{
	struct json_object *obj =
		json_parse_object(request->in->str, request->in->len);

	if (!obj)
		return;
	if (json_text(obj, "error", NULL)) {
		take_error(request, obj);
	} else if (request->kind->is_model) {
		take_restart(request);
		take_piece(request, json_text(obj, "text", ""));
		request->pieces = (int)json_int(obj, "count", -1);
		take_end(request, obj);
	} else {
		request->ended = true;
		request->end = LOAD_COMPLETE;
		if (strcmp(json_text(obj, "id", request->id), request->id) != 0)
			request->end = LOAD_INVALID;
		g_string_assign(request->text, request->in->str);
	}
	json_object_put(obj);
}

static void on_done(void *ctx, enum http_result result, int status)
{
	struct request *request = ctx;
	bool events = http_fetch_is_event_stream(request->fetch);

	(void)status;
	request->fetch = NULL;
	if (result == HTTP_COMPLETE && !events)
		take_whole(request);
	if (!request->ended) {
		request_again(request, 0);
		return;
	}
	if (request->end == LOAD_UNKNOWN &&
	    request->unknowns++ < UNKNOWN_TRIES) {
		request->ended = false;
		request_again(request, request->come_back);
		return;
	}
	request_finish(request, request->end);
}

/* Builds the headers of a try. */
static char *headers_make(struct request *request)
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
	if (request->pieces > 0 && request->accepted)
		g_string_append_printf(text, "last-event-id: %d\r\n",
				       request->pieces - 1);
	return g_string_free(text, FALSE);
}

/* The path of a try: an accepted request is only asked for. */
static char *path_make(const struct request *request)
{
	if (request->accepted)
		return g_strdup_printf("/v1/requests/%s", request->id);
	if (request->kind->is_model)
		return g_strdup("/v1/completions");
	return g_strdup_printf("/v1/call/%s", request->kind->name);
}

static void request_try(struct request *request)
{
	struct load *load = request->load;
	char *headers = headers_make(request);
	char *path = path_make(request);
	guint count = g_strv_length(request->addresses);
	struct http_fetch_spec spec = {
		.address = request->addresses[request->address % count],
		.method = request->accepted ? "GET" : "POST",
		.path = path,
		.headers = headers,
		.body = request->accepted ? NULL : request->body,
		.timeout = load->direct_addresses ? 0 : load->timeout_ms,
		.idle_timeout = TRY_TIMEOUT_MS,
		.on_head = on_head,
		.on_data = on_data,
		.on_done = on_done,
		.ctx = request,
	};

	load->attempts++;
	request->event[0] = '\0';
	g_string_truncate(request->in, 0);
	request->fetch = http_fetch_start(load->client, &spec);
	g_free(headers);
	g_free(path);
}

/* Remembers an address for later locates, in place of the oldest. */
static void entry_note(struct load *load, const char *address)
{
	guint at;

	if (g_ptr_array_find_with_equal_func(load->entries, address,
					     g_str_equal, &at))
		g_ptr_array_remove_index(load->entries, at);
	else if (load->entries->len >= ENTRIES_KEPT)
		g_ptr_array_remove_index(load->entries, 0);
	g_ptr_array_add(load->entries, g_strdup(address));
}

/* Takes where to go and the beginning of the id. */
static void locate_on_done(void *ctx, enum http_result result, int status)
{
	struct request *request = ctx;
	struct load *load = request->load;
	struct json_object *obj = NULL;
	struct json_object *list = NULL;
	GPtrArray *addresses;

	if (result == HTTP_COMPLETE && status == 200)
		obj = json_parse_object(request->in->str, request->in->len);
	if (!obj || !json_object_object_get_ex(obj, "addresses", &list) ||
	    json_object_array_length(list) == 0) {
		json_object_put(obj);
		request_again(request, 0);
		return;
	}
	request->id =
		g_strdup_printf("%s-%08x%08x", json_text(obj, "home", ""),
				g_rand_int(load->rand), g_rand_int(load->rand));
	addresses = g_ptr_array_new();
	for (size_t i = 0; i < json_object_array_length(list); i++) {
		const char *address = json_object_get_string(
			json_object_array_get_idx(list, i));

		entry_note(load, address);
		g_ptr_array_add(addresses, g_strdup(address));
	}
	g_ptr_array_add(addresses, NULL);
	request->addresses = (char **)g_ptr_array_free(addresses, FALSE);
	request->address = 0;
	json_object_put(obj);
	load_record_event(load, "invoke", request->id, request->kind->name,
			  NULL);
	request_try(request);
}

static void locate_on_data(void *ctx, const char *ptr, size_t len)
{
	struct request *request = ctx;

	g_string_append_len(request->in, ptr, (gssize)len);
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

	g_string_truncate(request->in, 0);
	http_fetch_start(load->client, &spec);
}

/* Picks a kind by weight. */
static const struct load_kind *kind_pick(struct load *load)
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

/* A prompt with one of some shared beginnings and an own end. */
static char *prompt_make(struct load *load)
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

/* Builds the body that is sent. */
static void body_make(struct request *request)
{
	struct load *load = request->load;
	struct json_object *obj = json_object_new_object();
	const char *text;
	size_t len;

	if (request->kind->is_model) {
		request->prompt = prompt_make(load);
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
	request->kind = kind_pick(load);
	request->account = load->accounts[account];
	request->text = g_string_new(NULL);
	request->in = g_string_new(NULL);
	request->begun = load_now_ms(load);
	load->request_count++;
	load->in_flight++;
	uv_timer_init(&load->loop, &request->timer);
	request->timer.data = request;
	trace_begin(load->tracer, &request->span, "", 0);
	body_make(request);
	if (!load->direct_addresses) {
		request_locate(request);
		return;
	}
	request->id = g_strdup_printf("direct-%08x", g_rand_int(load->rand));
	request->addresses = g_strsplit(load->direct_addresses, ",", -1);
	request->address = (guint)load->request_count;
	request_try(request);
}
