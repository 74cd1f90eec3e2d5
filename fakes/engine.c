/*
 * A stand-in for a model engine: streaming completions in the OpenAI form,
 * a prefix cache of limited size, resume and cancel by stream id, export and
 * import of KV caches, lagging load reports, cache events with gaps, orders
 * with fencing numbers. The text is a function of the prompt, so that a test
 * can tell a whole answer from a mixed one.
 */
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "fake.h"
#include "token.h"

#define BLOCK_BYTES 64	     /* prompt bytes of one cache block */
#define BYTES_PER_TOKEN 4    /* of a prompt */
#define STREAM_KEEP_MS 60000 /* a finished stream can be resumed */
#define EVENT_GAP_EVERY 16   /* every so many-th cache event is lost */
#define DEFAULT_MAX_TOKENS 16

/* One generation, whoever reads it. */
struct stream {
	struct engine *engine;
	char *id;
	char *prompt;
	int priority;
	int from; /* first token that this engine makes */
	int made; /* tokens made, those before from counted */
	int max_tokens;
	bool running;
	bool finished;
	bool cancelled;
	uv_timer_t timer;
	GPtrArray *readers; /* struct reader */
};

/* One answer that follows a stream. */
struct reader {
	struct stream *stream;
	struct http_request *call;
	int next;   /* token to send next */
	bool whole; /* one JSON answer at the end, no events */
};

struct faults {
	int64_t cross;	/* so many next pieces go out under another id too */
	int64_t repeat; /* so many next pieces go out twice */
	int64_t swap;	/* so many next pieces go out after their follower */
	int64_t cut;	/* so many next pieces end the connection instead */
	int64_t refuse; /* so many next completions get 503 */
	bool hang;	/* no token is made */
};

struct engine {
	uv_loop_t loop;
	uv_timer_t load_timer;
	GHashTable *streams; /* id -> struct stream */
	GQueue waiting;	     /* struct stream, best priority first */
	GQueue lru;	     /* block hashes, newest first; uint64_t * */
	GHashTable *blocks;  /* &hash -> its link in lru */
	GHashTable *models;  /* name -> itself: loaded by order */
	int slots;
	int running;
	int cache_blocks;
	int prefill_us; /* per token */
	int decode_ms;	/* per token */
	bool check_fence;
	int64_t fence;
	int64_t event_seq;
	GString *events;    /* of the cache, as reported, with lag and gaps */
	GString *fresh;	    /* events that are not reported yet */
	int64_t prefilled;  /* tokens computed for prompts */
	int64_t cached;	    /* prompt tokens found in the cache */
	int64_t recomputed; /* prefilled tokens of resumed generations */
	int64_t generated;
	int64_t completions;
	struct json_object *load; /* as reported, with lag */
	struct faults faults;
};

static void engine_admit(struct engine *engine);

/* Moves a block to the front of the cache; returns whether it was there. */
static bool cache_touch(struct engine *engine, uint64_t hash)
{
	GList *link = g_hash_table_lookup(engine->blocks, &hash);
	uint64_t *kept;

	if (link) {
		g_queue_unlink(&engine->lru, link);
		g_queue_push_head_link(&engine->lru, link);
		return true;
	}
	kept = g_new(uint64_t, 1);
	*kept = hash;
	g_queue_push_head(&engine->lru, kept);
	g_hash_table_insert(engine->blocks, kept, engine->lru.head);
	engine->event_seq++;
	if (engine->event_seq % EVENT_GAP_EVERY != 0)
		g_string_append_printf(engine->fresh,
				       "%" PRId64 " add %016" PRIx64 "\n",
				       engine->event_seq, hash);
	if ((int)engine->lru.length > engine->cache_blocks) {
		uint64_t *old = g_queue_pop_tail(&engine->lru);

		g_hash_table_remove(engine->blocks, old);
		g_free(old);
	}
	return false;
}

/* Puts a prompt into the cache; returns the bytes that were not there. */
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

static void reader_on_close(void *ctx)
{
	reader_free(ctx);
}

/* Answers a reader that wants one JSON body. */
static void reader_reply_whole(struct reader *reader)
{
	struct stream *stream = reader->stream;
	GString *text = g_string_new(NULL);
	struct json_object *obj = json_object_new_object();
	struct json_object *choice = json_object_new_object();
	struct json_object *choices = json_object_new_array();
	char token[TOKEN_TEXT_MAX];

	for (int n = reader->next; n < stream->made; n++) {
		token_text(stream->prompt, n, token, sizeof(token));
		g_string_append(text, token);
	}
	json_add_text(choice, "text", text->str);
	json_object_array_add(choices, choice);
	json_add_text(obj, "id", stream->id);
	json_object_object_add(obj, "choices", choices);
	g_string_free(text, TRUE);
	json_reply(reader->call, 200, obj);
}

/* Sends one token, with the faults that are switched on. */
static bool reader_send(struct reader *reader, int n)
{
	struct stream *stream = reader->stream;
	struct faults *faults = &stream->engine->faults;
	GString *out = g_string_new(NULL);

	if (faults->cut > 0) {
		faults->cut--;
		g_string_free(out, TRUE);
		http_request_on_disconnect(reader->call, NULL, NULL);
		http_response_abort(reader->call);
		reader_free(reader);
		return false;
	}
	if (faults->cross > 0) {
		faults->cross--;
		event_append(out, "another prompt", "another-attempt", n);
	}
	if (faults->swap > 0 && n + 1 < stream->made) {
		faults->swap--;
		event_append(out, stream->prompt, stream->id, n + 1);
	}
	event_append(out, stream->prompt, stream->id, n);
	if (faults->repeat > 0) {
		faults->repeat--;
		event_append(out, stream->prompt, stream->id, n);
	}
	http_response_write(reader->call, out->str, out->len);
	g_string_free(out, TRUE);
	return true;
}

/* Sends a reader what has been made since, and the end. */
static void reader_pump(struct reader *reader)
{
	struct stream *stream = reader->stream;
	struct http_request *call = reader->call;

	while (!reader->whole && reader->next < stream->made)
		if (!reader_send(reader, reader->next++))
			return;
	if (!stream->finished)
		return;
	http_request_on_disconnect(call, NULL, NULL);
	if (reader->whole) {
		reader_reply_whole(reader);
	} else {
		http_response_write(call, "data: [DONE]\n\n", 14);
		http_response_end(call);
	}
	reader_free(reader);
}

static void stream_pump(struct stream *stream)
{
	for (guint i = stream->readers->len; i-- > 0;)
		reader_pump(g_ptr_array_index(stream->readers, i));
}

static void stream_on_closed(uv_handle_t *handle)
{
	struct stream *stream = handle->data;

	g_ptr_array_free(stream->readers, TRUE);
	g_free(stream->id);
	g_free(stream->prompt);
	g_free(stream);
}

/* Forgets a finished stream that nobody has resumed. */
static void stream_on_expire(uv_timer_t *timer)
{
	struct stream *stream = timer->data;

	if (stream->readers->len > 0) {
		uv_timer_start(timer, stream_on_expire, STREAM_KEEP_MS, 0);
		return;
	}
	g_hash_table_remove(stream->engine->streams, stream->id);
	uv_close((uv_handle_t *)timer, stream_on_closed);
}

/* Ends a stream, gives its slot to the next. */
static void stream_finish(struct stream *stream)
{
	struct engine *engine = stream->engine;

	stream->finished = true;
	if (stream->running) {
		stream->running = false;
		engine->running--;
	}
	uv_timer_stop(&stream->timer);
	uv_timer_start(&stream->timer, stream_on_expire, STREAM_KEEP_MS, 0);
	stream_pump(stream);
	engine_admit(engine);
}

/* Makes one token. */
static void stream_on_token(uv_timer_t *timer)
{
	struct stream *stream = timer->data;

	if (stream->engine->faults.hang)
		return;
	stream->made++;
	stream->engine->generated++;
	if (stream->made >= stream->max_tokens) {
		stream_finish(stream);
		return;
	}
	stream_pump(stream);
}

/* Starts to compute a stream: the prompt first, then token by token. */
static void stream_start(struct stream *stream)
{
	struct engine *engine = stream->engine;
	size_t total = strlen(stream->prompt) / BYTES_PER_TOKEN;
	size_t missed = cache_prompt(engine, stream->prompt) / BYTES_PER_TOKEN;
	char *with_tokens =
		g_strdup_printf("%s|%d", stream->prompt, stream->from);
	uint64_t imported = XXH64(with_tokens, strlen(with_tokens), 1);
	int64_t prefill_ms;

	g_free(with_tokens);
	engine->cached += (int64_t)(total - missed);
	if (stream->from > 0) {
		/* Tokens so far are recomputed unless they were imported. */
		if (g_hash_table_contains(engine->blocks, &imported))
			missed = 0;
		else
			missed += (size_t)stream->from;
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
static void engine_admit(struct engine *engine)
{
	while (engine->running < engine->slots && engine->waiting.length > 0) {
		struct stream *stream = g_queue_pop_head(&engine->waiting);

		if (!stream->finished)
			stream_start(stream);
	}
}

/* Orders waiting streams: a smaller priority number goes first. */
static gint by_priority(gconstpointer a, gconstpointer b, gpointer data)
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
	stream->from = (int)json_int(body, "from", 0);
	stream->made = stream->from;
	stream->max_tokens =
		(int)json_int(body, "max_tokens", DEFAULT_MAX_TOKENS);
	stream->readers = g_ptr_array_new();
	uv_timer_init(&engine->loop, &stream->timer);
	stream->timer.data = stream;
	g_hash_table_insert(engine->streams, stream->id, stream);
	engine->completions++;
	g_queue_insert_sorted(&engine->waiting, stream, by_priority, NULL);
	return stream;
}

/* Lets a call follow a stream from a token on. */
static void stream_attach(struct stream *stream, struct http_request *call,
			  int from, bool whole)
{
	struct reader *reader = g_new0(struct reader, 1);

	reader->stream = stream;
	reader->call = call;
	reader->next = from;
	reader->whole = whole;
	g_ptr_array_add(stream->readers, reader);
	http_request_on_disconnect(call, reader_on_close, reader);
	if (!whole)
		http_response_start(call, 200, "text/event-stream");
	reader_pump(reader);
}

static void completions(void *ctx, struct http_request *call)
{
	struct engine *engine = ctx;
	struct json_object *body = fake_parse_body(call);
	char *id;
	struct stream *stream;

	if (!body)
		return;
	id = fake_view_dup(http_request_header(call, "x-stream-id"));
	if (engine->faults.refuse > 0) {
		engine->faults.refuse--;
		fake_reply_error(call, 503, "overloaded");
	} else if (*id && g_hash_table_contains(engine->streams, id)) {
		fake_reply_error(call, 409, "the stream id is in use");
	} else {
		if (!*id) {
			g_free(id);
			id = g_strdup_printf("cmpl-%" PRId64,
					     engine->completions);
		}
		stream = stream_create(engine, id, body);
		stream_attach(stream, call, stream->from,
			      !json_flag(body, "stream", 0));
		engine_admit(engine);
	}
	g_free(id);
	json_object_put(body);
}

/* GET /v1/resume?stream=ID&from=N */
static void resume(void *ctx, struct http_request *call)
{
	struct engine *engine = ctx;
	char *id = http_request_query(call, "stream");
	struct stream *stream =
		id ? g_hash_table_lookup(engine->streams, id) : NULL;
	int from = (int)fake_query_int(call, "from", 0);

	g_free(id);
	if (!stream || stream->cancelled || from < stream->from)
		fake_reply_error(call, 404, "no such stream");
	else
		stream_attach(stream, call, from, false);
}

static void cancel(void *ctx, struct http_request *call)
{
	struct engine *engine = ctx;
	struct json_object *body = fake_parse_body(call);
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
	json_reply(call, stream ? 200 : 404, json_object_new_object());
}

static void kv_export(void *ctx, struct http_request *call)
{
	struct engine *engine = ctx;
	struct json_object *body = fake_parse_body(call);
	struct json_object *obj;
	struct stream *stream;

	if (!body)
		return;
	stream = g_hash_table_lookup(engine->streams,
				     json_text(body, "stream", ""));
	json_object_put(body);
	if (!stream) {
		fake_reply_error(call, 404, "no such stream");
		return;
	}
	obj = json_object_new_object();
	json_add_text(obj, "prompt", stream->prompt);
	json_add_int(obj, "from", stream->made);
	json_reply(call, 200, obj);
}

static void kv_import(void *ctx, struct http_request *call)
{
	struct engine *engine = ctx;
	struct json_object *body = fake_parse_body(call);
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
	json_reply(call, 200, json_object_new_object());
}

/* Takes an order; an old fencing number is refused if that is checked. */
static void orders(void *ctx, struct http_request *call)
{
	struct engine *engine = ctx;
	struct json_object *body = fake_parse_body(call);
	int64_t fence;
	char *model;

	if (!body)
		return;
	fence = json_int(body, "fence", 0);
	if (engine->check_fence && fence < engine->fence) {
		fake_reply_error(call, 409, "old fencing number");
		json_object_put(body);
		return;
	}
	engine->fence = MAX(engine->fence, fence);
	model = g_strdup(json_text(body, "model", ""));
	if (!strcmp(json_text(body, "order", ""), "load"))
		g_hash_table_add(engine->models, model);
	else
		g_hash_table_remove(engine->models, model);
	json_object_put(body);
	json_reply(call, 200, json_object_new_object());
}

static struct json_object *load_make(struct engine *engine)
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
	json_add_int(obj, "fence", engine->fence);
	json_object_object_add(obj, "models", models);
	return obj;
}

static void load_on_timer(uv_timer_t *timer)
{
	struct engine *engine = timer->data;

	json_object_put(engine->load);
	engine->load = load_make(engine);
	g_string_append_len(engine->events, engine->fresh->str,
			    (gssize)engine->fresh->len);
	g_string_truncate(engine->fresh, 0);
}

static void load_get(void *ctx, struct http_request *call)
{
	struct engine *engine = ctx;

	json_reply(call, 200, json_object_get(engine->load));
}

static void counters_get(void *ctx, struct http_request *call)
{
	struct engine *engine = ctx;

	json_reply(call, 200, load_make(engine));
}

static void cache_events(void *ctx, struct http_request *call)
{
	struct engine *engine = ctx;

	http_response_send(call, 200, "text/plain", engine->events->str,
			   engine->events->len);
}

static void fault_set(void *ctx, struct http_request *call)
{
	struct engine *engine = ctx;
	struct json_object *body = fake_parse_body(call);
	struct faults *faults = &engine->faults;

	if (!body)
		return;
	faults->cross = json_int(body, "cross", faults->cross);
	faults->repeat = json_int(body, "repeat", faults->repeat);
	faults->swap = json_int(body, "swap", faults->swap);
	faults->cut = json_int(body, "cut", faults->cut);
	faults->refuse = json_int(body, "refuse", faults->refuse);
	faults->hang = json_flag(body, "hang", faults->hang);
	json_object_put(body);
	json_reply(call, 200, json_object_new_object());
}

static const struct fake_route paths[] = {
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

static void engine_on_call(void *ctx, struct http_request *call)
{
	fake_dispatch(paths, ctx, call);
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
	int check_fence = 0;
	struct poptOption options[] = {
		{ "port", 'p', POPT_ARG_INT, &port, 0, "port", "N" },
		{ "slots", 's', POPT_ARG_INT, &engine.slots, 0,
		  "streams computed at once", "N" },
		{ "cache", 'c', POPT_ARG_INT, &engine.cache_blocks, 0,
		  "prefix cache", "blocks" },
		{ "prefill", 'P', POPT_ARG_INT, &engine.prefill_us, 0,
		  "time of a prompt token", "us" },
		{ "decode", 'd', POPT_ARG_INT, &engine.decode_ms, 0,
		  "time of a token", "ms" },
		{ "lag", 'l', POPT_ARG_INT, &lag, 0, "lag of load reports",
		  "ms" },
		{ "check-fence", 'f', POPT_ARG_NONE, &check_fence, 0,
		  "refuse orders with old fencing numbers", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext popt = poptGetContext(NULL, argc, argv, options, 0);

	if (poptGetNextOpt(popt) < -1)
		return EXIT_FAILURE;
	engine.check_fence = check_fence;
	uv_loop_init(&engine.loop);
	engine.streams = g_hash_table_new(g_str_hash, g_str_equal);
	engine.blocks = g_hash_table_new(g_int64_hash, g_int64_equal);
	engine.models = g_hash_table_new(g_str_hash, g_str_equal);
	engine.events = g_string_new(NULL);
	engine.fresh = g_string_new(NULL);
	g_queue_init(&engine.waiting);
	g_queue_init(&engine.lru);
	engine.load = load_make(&engine);
	uv_timer_init(&engine.loop, &engine.load_timer);
	engine.load_timer.data = &engine;
	uv_timer_start(&engine.load_timer, load_on_timer, (uint64_t)lag,
		       (uint64_t)lag);
	return fake_serve(&engine.loop, port, engine_on_call, &engine);
}
