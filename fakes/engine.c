/*
 * A fake model engine: streaming completions in the OpenAI format, a prefix
 * cache of limited size, resume and cancel by stream id, export and import of
 * KV caches, delayed load reports, cache events with gaps, and orders with
 * fencing tokens. The text is a function of the prompt, so that a test can
 * detect a response that is incomplete or mixed with another.
 */
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "fake.h"
#include "token.h"

#define BLOCK_BYTES 64		  /* prompt bytes per cache block */
#define BYTES_PER_TOKEN 4	  /* in a prompt */
#define STREAM_RETENTION_MS 60000 /* of a finished stream, for resume */
#define DROPPED_EVENT_INTERVAL 16 /* one cache event in 16 is dropped */
#define DEFAULT_MAX_TOKENS 16

/* A generation, independent of its readers. */
struct stream {
	struct engine *engine;
	char *id;
	char *prompt;
	int priority;
	int first_token; /* index of the first token generated here */
	int token_count; /* tokens so far, including those before first_token */
	int max_tokens;
	bool running;
	bool finished;
	bool cancelled;
	uv_timer_t timer;
	GPtrArray *readers; /* struct reader */
};

/* A response that follows a stream. */
struct reader {
	struct stream *stream;
	struct http_request *request;
	int next_token; /* index of the token to send next */
	bool no_stream; /* one JSON response at the end instead of events */
};

struct faults {
	int64_t cross;	/* number of next chunks also sent under another id */
	int64_t repeat; /* number of next chunks sent twice */
	int64_t swap;	/* number of next chunks preceded by their successor */
	int64_t cut;	/* number of next chunks replaced by a disconnect */
	int64_t early;	/* number of next chunks replaced by an orderly end */
	int64_t refuse; /* number of next completions refused with 503 */
	bool hang;	/* no token is generated */
	bool unframed;	/* streams have no length and no chunks */
};

struct engine {
	uv_loop_t loop;
	uv_timer_t load_timer;
	GHashTable *streams; /* id -> struct stream */
	GQueue waiting;	     /* struct stream, lowest priority number first */
	GQueue lru;	     /* block hashes, newest first; uint64_t * */
	GHashTable *blocks;  /* &hash -> GList link in lru */
	GHashTable *models;  /* set of names, loaded by order */
	int slots;
	int running;
	int cache_blocks;
	int prefill_us; /* per token */
	int decode_ms;	/* per token */
	bool check_fencing_token;
	int64_t fencing_token;
	int64_t event_seq;
	GString *events; /* of the cache, as reported: delayed, with gaps */
	GString *pending_events; /* cache events not reported yet */
	int64_t prefilled;	 /* tokens computed for prompts */
	int64_t cached;		 /* prompt tokens found in the cache */
	int64_t recomputed;	 /* prefilled tokens of resumed generations */
	int64_t generated;
	int64_t completions;
	struct json_object *load_report; /* as reported: delayed */
	struct faults faults;
};

static void engine_schedule(struct engine *engine);

/* Moves a block to the front of the LRU list, or adds it and evicts the oldest;
 * returns whether it was cached. */
static bool cache_touch(struct engine *engine, uint64_t hash)
{
	GList *link = g_hash_table_lookup(engine->blocks, &hash);
	uint64_t *block;

	if (link) {
		g_queue_unlink(&engine->lru, link);
		g_queue_push_head_link(&engine->lru, link);
		return true;
	}
	block = g_new(uint64_t, 1);
	*block = hash;
	g_queue_push_head(&engine->lru, block);
	g_hash_table_insert(engine->blocks, block, engine->lru.head);
	engine->event_seq++;
	if (engine->event_seq % DROPPED_EVENT_INTERVAL != 0)
		g_string_append_printf(engine->pending_events,
				       "%" PRId64 " add %016" PRIx64 "\n",
				       engine->event_seq, hash);
	if ((int)engine->lru.length > engine->cache_blocks) {
		uint64_t *evicted = g_queue_pop_tail(&engine->lru);

		g_hash_table_remove(engine->blocks, evicted);
		g_free(evicted);
	}
	return false;
}

/* Adds a prompt to the cache; returns the bytes that were not cached. */
static size_t cache_prompt(struct engine *engine, const char *prompt)
{
	size_t len = strlen(prompt);
	size_t missed = len % BLOCK_BYTES;
	bool prefix_hit = true;

	for (size_t end = BLOCK_BYTES; end <= len; end += BLOCK_BYTES) {
		if (!cache_touch(engine, XXH64(prompt, end, 0)))
			prefix_hit = false;
		if (!prefix_hit)
			missed += BLOCK_BYTES;
	}
	return missed;
}

/* Appends the event of token n of a prompt, under the given id. */
static void event_append(GString *out, const char *prompt, const char *id,
			 int n)
{
	char text[TOKEN_TEXT_MAX];

	token_text(prompt, n, text, sizeof(text));
	g_string_append_printf(
		out,
		"data: {\"id\":\"%s\",\"n\":%d,"
		"\"choices\":[{\"index\":0,\"text\":\"%s\"}]}\n\n",
		id, n, text);
}

static void reader_free(struct reader *reader)
{
	g_ptr_array_remove_fast(reader->stream->readers, reader);
	g_free(reader);
}

static void reader_on_disconnect(void *ctx)
{
	reader_free(ctx);
}

/* Responds to a reader that does not stream with one JSON body. */
static void reader_reply_body(struct reader *reader)
{
	struct stream *stream = reader->stream;
	GString *text = g_string_new(NULL);
	struct json_object *obj = json_object_new_object();
	struct json_object *choice = json_object_new_object();
	struct json_object *choices = json_object_new_array();
	char token[TOKEN_TEXT_MAX];

	for (int n = reader->next_token; n < stream->token_count; n++) {
		token_text(stream->prompt, n, token, sizeof(token));
		g_string_append(text, token);
	}
	json_add_text(choice, "text", text->str);
	json_object_array_add(choices, choice);
	json_add_text(obj, "id", stream->id);
	json_object_object_add(obj, "choices", choices);
	g_string_free(text, TRUE);
	json_reply(reader->request, 200, obj);
}

/* Sends one token, with the active faults; returns false if the reader was
 * freed. */
static bool reader_send(struct reader *reader, int n)
{
	struct stream *stream = reader->stream;
	struct faults *faults = &stream->engine->faults;
	GString *out = g_string_new(NULL);

	if (faults->cut > 0) {
		faults->cut--;
		g_string_free(out, TRUE);
		http_request_on_disconnect(reader->request, NULL, NULL);
		http_response_abort(reader->request);
		reader_free(reader);
		return false;
	}
	if (faults->early > 0) {
		faults->early--;
		g_string_free(out, TRUE);
		http_request_on_disconnect(reader->request, NULL, NULL);
		http_response_end(reader->request);
		reader_free(reader);
		return false;
	}
	if (faults->cross > 0) {
		faults->cross--;
		event_append(out, "another prompt", "another-attempt", n);
	}
	if (faults->swap > 0 && n + 1 < stream->token_count) {
		faults->swap--;
		event_append(out, stream->prompt, stream->id, n + 1);
	}
	event_append(out, stream->prompt, stream->id, n);
	if (faults->repeat > 0) {
		faults->repeat--;
		event_append(out, stream->prompt, stream->id, n);
	}
	http_response_write(reader->request, out->str, out->len);
	g_string_free(out, TRUE);
	return true;
}

/* Sends a reader the new tokens and, if the stream has finished, the end. */
static void reader_flush(struct reader *reader)
{
	struct stream *stream = reader->stream;
	struct http_request *request = reader->request;

	while (!reader->no_stream && reader->next_token < stream->token_count)
		if (!reader_send(reader, reader->next_token++))
			return;
	if (!stream->finished)
		return;
	http_request_on_disconnect(request, NULL, NULL);
	if (reader->no_stream) {
		reader_reply_body(reader);
	} else {
		http_response_write(request, "data: [DONE]\n\n", 14);
		http_response_end(request);
	}
	reader_free(reader);
}

static void stream_flush(struct stream *stream)
{
	for (guint i = stream->readers->len; i-- > 0;)
		reader_flush(g_ptr_array_index(stream->readers, i));
}

static void stream_on_closed(uv_handle_t *handle)
{
	struct stream *stream = handle->data;

	g_ptr_array_free(stream->readers, TRUE);
	g_free(stream->id);
	g_free(stream->prompt);
	g_free(stream);
}

/* Frees a finished stream; one that still has readers is kept for another
 * STREAM_RETENTION_MS. */
static void stream_on_expire(uv_timer_t *timer)
{
	struct stream *stream = timer->data;

	if (stream->readers->len > 0) {
		uv_timer_start(timer, stream_on_expire, STREAM_RETENTION_MS, 0);
		return;
	}
	g_hash_table_remove(stream->engine->streams, stream->id);
	uv_close((uv_handle_t *)timer, stream_on_closed);
}

/* Finishes a stream and gives its slot to the next. */
static void stream_finish(struct stream *stream)
{
	struct engine *engine = stream->engine;

	stream->finished = true;
	if (stream->running) {
		stream->running = false;
		engine->running--;
	}
	uv_timer_stop(&stream->timer);
	uv_timer_start(&stream->timer, stream_on_expire, STREAM_RETENTION_MS,
		       0);
	stream_flush(stream);
	engine_schedule(engine);
}

/* Generates one token. */
static void stream_on_token(uv_timer_t *timer)
{
	struct stream *stream = timer->data;

	if (stream->engine->faults.hang)
		return;
	stream->token_count++;
	stream->engine->generated++;
	if (stream->token_count >= stream->max_tokens) {
		stream_finish(stream);
		return;
	}
	stream_flush(stream);
}

/* Starts a generation: prefills the prompt, then decodes token by token. */
static void stream_start(struct stream *stream)
{
	struct engine *engine = stream->engine;
	size_t total = strlen(stream->prompt) / BYTES_PER_TOKEN;
	size_t missed = cache_prompt(engine, stream->prompt) / BYTES_PER_TOKEN;
	char *kv_key =
		g_strdup_printf("%s|%d", stream->prompt, stream->first_token);
	uint64_t kv_hash = XXH64(kv_key, strlen(kv_key), 1);
	int64_t prefill_ms;

	g_free(kv_key);
	engine->cached += (int64_t)(total - missed);
	if (stream->first_token > 0) {
		/* Earlier tokens are recomputed unless their KV cache was
		 * imported. */
		if (g_hash_table_contains(engine->blocks, &kv_hash))
			missed = 0;
		else
			missed += (size_t)stream->first_token;
		engine->recomputed += (int64_t)missed;
	}
	engine->prefilled += (int64_t)missed;
	prefill_ms = (int64_t)missed * engine->prefill_us / 1000;
	stream->running = true;
	engine->running++;
	uv_timer_start(&stream->timer, stream_on_token,
		       (uint64_t)(prefill_ms + engine->decode_ms),
		       (uint64_t)MAX(engine->decode_ms, 1));
}

/* Gives free slots to waiting streams. */
static void engine_schedule(struct engine *engine)
{
	while (engine->running < engine->slots && engine->waiting.length > 0) {
		struct stream *stream = g_queue_pop_head(&engine->waiting);

		if (!stream->finished)
			stream_start(stream);
	}
}

/* Sorts waiting streams: a smaller priority number goes first. */
static gint compare_priority(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return ((const struct stream *)a)->priority -
	       ((const struct stream *)b)->priority;
}

static struct stream *stream_create(struct engine *engine, const char *id,
				    struct json_object *body)
{
	struct stream *stream = g_new0(struct stream, 1);

	stream->engine = engine;
	stream->id = g_strdup(id);
	stream->prompt = g_strdup(json_text(body, "prompt", ""));
	stream->priority = (int)json_int(body, "priority", 0);
	stream->first_token = (int)json_int(body, "from", 0);
	stream->token_count = stream->first_token;
	stream->max_tokens =
		(int)json_int(body, "max_tokens", DEFAULT_MAX_TOKENS);
	stream->readers = g_ptr_array_new();
	uv_timer_init(&engine->loop, &stream->timer);
	stream->timer.data = stream;
	g_hash_table_insert(engine->streams, stream->id, stream);
	engine->completions++;
	g_queue_insert_sorted(&engine->waiting, stream, compare_priority, NULL);
	return stream;
}

/* Attaches a request to a stream as a reader, starting at a token. */
static void stream_attach(struct stream *stream, struct http_request *request,
			  int first_token, bool no_stream)
{
	struct reader *reader = g_new0(struct reader, 1);

	reader->stream = stream;
	reader->request = request;
	reader->next_token = first_token;
	reader->no_stream = no_stream;
	g_ptr_array_add(stream->readers, reader);
	http_request_on_disconnect(request, reader_on_disconnect, reader);
	if (!no_stream && stream->engine->faults.unframed)
		http_response_omit_framing(request);
	if (!no_stream)
		http_response_start(request, 200, "text/event-stream");
	reader_flush(reader);
}

static void completions(void *ctx, struct http_request *request)
{
	struct engine *engine = ctx;
	struct json_object *body = fake_parse_body(request);
	char *id;
	struct stream *stream;

	if (!body)
		return;
	id = fake_view_dup(http_request_header(request, "x-stream-id"));
	if (engine->faults.refuse > 0) {
		engine->faults.refuse--;
		fake_reply_error(request, 503, "overloaded");
	} else if (*id && g_hash_table_contains(engine->streams, id)) {
		fake_reply_error(request, 409, "the stream id is in use");
	} else {
		if (!*id) {
			g_free(id);
			id = g_strdup_printf("cmpl-%" PRId64,
					     engine->completions);
		}
		stream = stream_create(engine, id, body);
		stream_attach(stream, request, stream->first_token,
			      !json_flag(body, "stream", 0));
		engine_schedule(engine);
	}
	g_free(id);
	json_object_put(body);
}

/* GET /v1/resume?stream=ID&from=N */
static void resume(void *ctx, struct http_request *request)
{
	struct engine *engine = ctx;
	char *id = http_request_query(request, "stream");
	struct stream *stream =
		id ? g_hash_table_lookup(engine->streams, id) : NULL;
	int first_token = (int)fake_query_int(request, "from", 0);

	g_free(id);
	if (!stream || stream->cancelled || first_token < stream->first_token)
		fake_reply_error(request, 404, "no such stream");
	else
		stream_attach(stream, request, first_token, false);
}

static void cancel(void *ctx, struct http_request *request)
{
	struct engine *engine = ctx;
	struct json_object *body = fake_parse_body(request);
	struct stream *stream;

	if (!body)
		return;
	stream = g_hash_table_lookup(engine->streams,
				     json_text(body, "stream", ""));
	if (stream && !stream->finished) {
		stream->cancelled = true;
		stream_finish(stream);
	}
	json_object_put(body);
	json_reply(request, stream ? 200 : 404, json_object_new_object());
}

static void kv_export(void *ctx, struct http_request *request)
{
	struct engine *engine = ctx;
	struct json_object *body = fake_parse_body(request);
	struct json_object *obj;
	struct stream *stream;

	if (!body)
		return;
	stream = g_hash_table_lookup(engine->streams,
				     json_text(body, "stream", ""));
	json_object_put(body);
	if (!stream) {
		fake_reply_error(request, 404, "no such stream");
		return;
	}
	obj = json_object_new_object();
	json_add_text(obj, "prompt", stream->prompt);
	json_add_int(obj, "from", stream->token_count);
	json_reply(request, 200, obj);
}

static void kv_import(void *ctx, struct http_request *request)
{
	struct engine *engine = ctx;
	struct json_object *body = fake_parse_body(request);
	const char *prompt;
	char *key;

	if (!body)
		return;
	prompt = json_text(body, "prompt", "");
	key = g_strdup_printf("%s|%d", prompt, (int)json_int(body, "from", 0));
	cache_prompt(engine, prompt);
	cache_touch(engine, XXH64(key, strlen(key), 1));
	g_free(key);
	json_object_put(body);
	json_reply(request, 200, json_object_new_object());
}

/* Executes an order; refuses an old fencing token if tokens are checked. */
static void orders(void *ctx, struct http_request *request)
{
	struct engine *engine = ctx;
	struct json_object *body = fake_parse_body(request);
	int64_t fencing_token;
	char *model;

	if (!body)
		return;
	fencing_token = json_int(body, "fence", 0);
	if (engine->check_fencing_token &&
	    fencing_token < engine->fencing_token) {
		fake_reply_error(request, 409, "old fencing number");
		json_object_put(body);
		return;
	}
	engine->fencing_token = MAX(engine->fencing_token, fencing_token);
	model = g_strdup(json_text(body, "model", ""));
	if (!strcmp(json_text(body, "order", ""), "load"))
		g_hash_table_add(engine->models, model);
	else
		g_hash_table_remove(engine->models, model);
	json_object_put(body);
	json_reply(request, 200, json_object_new_object());
}

static struct json_object *load_report_build(struct engine *engine)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *models = json_object_new_array();
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, engine->models);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		json_object_array_add(models, json_object_new_string(name));
	json_add_int(obj, "running", engine->running);
	json_add_int(obj, "queued", engine->waiting.length);
	json_add_int(obj, "slots", engine->slots);
	json_add_int(obj, "prefilled", engine->prefilled);
	json_add_int(obj, "cached", engine->cached);
	json_add_int(obj, "recomputed", engine->recomputed);
	json_add_int(obj, "generated", engine->generated);
	json_add_int(obj, "completions", engine->completions);
	json_add_int(obj, "fence", engine->fencing_token);
	json_object_object_add(obj, "models", models);
	return obj;
}

static void load_on_timer(uv_timer_t *timer)
{
	struct engine *engine = timer->data;

	json_object_put(engine->load_report);
	engine->load_report = load_report_build(engine);
	g_string_append_len(engine->events, engine->pending_events->str,
			    (gssize)engine->pending_events->len);
	g_string_truncate(engine->pending_events, 0);
}

static void load_get(void *ctx, struct http_request *request)
{
	struct engine *engine = ctx;

	json_reply(request, 200, json_object_get(engine->load_report));
}

static void counters_get(void *ctx, struct http_request *request)
{
	struct engine *engine = ctx;

	json_reply(request, 200, load_report_build(engine));
}

static void cache_events(void *ctx, struct http_request *request)
{
	struct engine *engine = ctx;

	http_response_send(request, 200, "text/plain", engine->events->str,
			   engine->events->len);
}

static void fault_set(void *ctx, struct http_request *request)
{
	struct engine *engine = ctx;
	struct json_object *body = fake_parse_body(request);
	struct faults *faults = &engine->faults;

	if (!body)
		return;
	faults->cross = json_int(body, "cross", faults->cross);
	faults->repeat = json_int(body, "repeat", faults->repeat);
	faults->swap = json_int(body, "swap", faults->swap);
	faults->cut = json_int(body, "cut", faults->cut);
	faults->refuse = json_int(body, "refuse", faults->refuse);
	faults->early = json_int(body, "early", faults->early);
	faults->unframed = json_flag(body, "unframed", faults->unframed);
	faults->hang = json_flag(body, "hang", faults->hang);
	json_object_put(body);
	json_reply(request, 200, json_object_new_object());
}

static const struct fake_route routes[] = {
	{ "POST", "/v1/completions", completions },
	{ "GET", "/v1/resume", resume },
	{ "POST", "/v1/cancel", cancel },
	{ "POST", "/v1/kv/export", kv_export },
	{ "POST", "/v1/kv/import", kv_import },
	{ "POST", "/v1/orders", orders },
	{ "GET", "/v1/load", load_get },
	{ "GET", "/v1/cache_events", cache_events },
	{ "GET", "/counters", counters_get },
	{ "POST", "/fault", fault_set },
	{ .path = NULL },
};

static void engine_on_request(void *ctx, struct http_request *request)
{
	fake_dispatch(routes, ctx, request);
}

int main(int argc, const char **argv)
{
	static struct engine engine = {
		.slots = 16,
		.cache_blocks = 4096,
		.prefill_us = 50,
		.decode_ms = 5,
	};
	int port = 0;
	int lag = 500;
	int check_fencing_token = 0;
	struct poptOption options[] = {
		{ "port", 'p', POPT_ARG_INT, &port, 0, "port", "N" },
		{ "slots", 's', POPT_ARG_INT, &engine.slots, 0,
		  "concurrent streams", "N" },
		{ "cache", 'c', POPT_ARG_INT, &engine.cache_blocks, 0,
		  "prefix cache size", "blocks" },
		{ "prefill", 'P', POPT_ARG_INT, &engine.prefill_us, 0,
		  "prefill time per token", "us" },
		{ "decode", 'd', POPT_ARG_INT, &engine.decode_ms, 0,
		  "decode time per token", "ms" },
		{ "lag", 'l', POPT_ARG_INT, &lag, 0, "delay of load reports",
		  "ms" },
		{ "check-fence", 'f', POPT_ARG_NONE, &check_fencing_token, 0,
		  "refuse orders with old fencing tokens", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext popt = poptGetContext(NULL, argc, argv, options, 0);

	if (poptGetNextOpt(popt) < -1)
		return EXIT_FAILURE;
	engine.check_fencing_token = check_fencing_token;
	uv_loop_init(&engine.loop);
	engine.streams = g_hash_table_new(g_str_hash, g_str_equal);
	engine.blocks = g_hash_table_new(g_int64_hash, g_int64_equal);
	engine.models = g_hash_table_new(g_str_hash, g_str_equal);
	engine.events = g_string_new(NULL);
	engine.pending_events = g_string_new(NULL);
	g_queue_init(&engine.waiting);
	g_queue_init(&engine.lru);
	engine.load_report = load_report_build(&engine);
	uv_timer_init(&engine.loop, &engine.load_timer);
	engine.load_timer.data = &engine;
	uv_timer_start(&engine.load_timer, load_on_timer, (uint64_t)lag,
		       (uint64_t)lag);
	return fake_serve(&engine.loop, port, engine_on_request, &engine);
}
