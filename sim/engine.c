/* A modelled worker under a virtual clock. */
#include "engine.h"

#include <math.h>
#include <string.h>

#define PAIRS 1e6	/* that pair_ms is of */
#define FAIL_AFTER_MS 5 /* a failing worker answers so soon */
#define CACHE_SHARE 0.8 /* of what running requests leave */

/* A part of prompts that is kept. */
struct kept {
	uint64_t id;
	int tokens;
	guint64 used; /* in the order of use */
};

struct engine {
	struct sim *sim;
	const struct engine_params *kind;
	GPtrArray *running; /* struct engine_run */
	GPtrArray *waiting;
	GHashTable *cache; /* id -> struct kept */
	int cached;	   /* tokens */
	int held;	   /* by running requests */
	guint64 uses;
	guint64 arrivals;
	double at; /* when the step under way ends, exactly */
	bool busy;
	bool dead;
	double slow;
	unsigned failing;
	double read;
	double kept;
};

static void step_begin(struct engine *engine);
static void service_begin(struct engine *engine);

struct engine *engine_create(struct sim *sim, const struct engine_params *kind)
{
	struct engine *engine = g_new0(struct engine, 1);

	engine->sim = sim;
	engine->kind = kind;
	engine->running = g_ptr_array_new();
	engine->waiting = g_ptr_array_new();
	engine->cache = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	engine->slow = 1;
	return engine;
}

static gpointer part_key(uint64_t id)
{
	return GSIZE_TO_POINTER((gsize)id);
}

/* Drops the least recently used parts until the rest has room. */
static void cache_trim(struct engine *engine)
{
	int room = (int)((engine->kind->memory - engine->held) * CACHE_SHARE);

	while (engine->cached > MAX(room, 0)) {
		GHashTableIter iter;
		gpointer value;
		struct kept *oldest = NULL;

		g_hash_table_iter_init(&iter, engine->cache);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			if (!oldest ||
			    ((struct kept *)value)->used < oldest->used)
				oldest = value;
		if (!oldest)
			return;
		engine->cached -= oldest->tokens;
		g_hash_table_remove(engine->cache, part_key(oldest->id));
	}
}

/* Tokens from the start of a prompt that are kept. */
static int cache_find(struct engine *engine, const struct engine_run *run)
{
	int tokens = 0;

	for (size_t i = 0; i < run->part_count; i++) {
		struct kept *kept = g_hash_table_lookup(
			engine->cache, part_key(run->parts[i].id));

		if (!kept)
			break;
		kept->used = ++engine->uses;
		tokens += kept->tokens;
	}
	return MIN(tokens, run->prompt_tokens);
}

static void cache_add(struct engine *engine, const struct engine_run *run)
{
	for (size_t i = 0; i < run->part_count; i++) {
		struct kept *kept = g_hash_table_lookup(
			engine->cache, part_key(run->parts[i].id));

		if (!kept) {
			kept = g_new0(struct kept, 1);
			kept->id = run->parts[i].id;
			kept->tokens = run->parts[i].tokens;
			engine->cached += kept->tokens;
			g_hash_table_insert(engine->cache, part_key(kept->id),
					    kept);
		}
		kept->used = ++engine->uses;
	}
	cache_trim(engine);
}

/* Lets go of a run. */
static void run_leave(struct engine_run *run)
{
	struct engine *engine = run->engine;

	if (!engine)
		return;
	if (g_ptr_array_remove(engine->running, run))
		engine->held -= run->reserved;
	else
		g_ptr_array_remove(engine->waiting, run);
	run->engine = NULL;
}

static void run_end(struct engine_run *run, enum engine_result end)
{
	run_leave(run);
	run->on_end(run->ctx, end);
}

void engine_cancel(struct engine_run *run)
{
	if (run->engine)
		run_leave(run);
}

void engine_kill(struct engine *engine)
{
	engine->dead = true;
	while (engine->running->len > 0)
		run_end(g_ptr_array_index(engine->running, 0), ENGINE_LOST);
	while (engine->waiting->len > 0)
		run_end(g_ptr_array_index(engine->waiting, 0), ENGINE_LOST);
}

void engine_free(struct engine *engine)
{
	g_ptr_array_free(engine->running, TRUE);
	g_ptr_array_free(engine->waiting, TRUE);
	g_hash_table_destroy(engine->cache);
	g_free(engine);
}

void engine_set_slowdown(struct engine *engine, double x)
{
	engine->slow = x;
}

void engine_set_failure_rate(struct engine *engine, unsigned per_mille)
{
	engine->failing = per_mille;
}

unsigned engine_running(const struct engine *engine)
{
	return engine->running->len;
}

unsigned engine_waiting(const struct engine *engine)
{
	return engine->waiting->len;
}

double engine_prefilled_tokens(const struct engine *engine)
{
	return engine->read;
}

double engine_cached_tokens(const struct engine *engine)
{
	return engine->kept;
}

/* Whether a run comes before another one. */
static bool run_before(const struct engine_run *a, const struct engine_run *b)
{
	if (a->urgency != b->urgency)
		return a->urgency < b->urgency;
	return a->arrival < b->arrival;
}

/* The most urgent of those that wait, or NULL. */
static struct engine_run *waiting_first(const struct engine *engine)
{
	struct engine_run *first = NULL;

	for (guint i = 0; i < engine->waiting->len; i++) {
		struct engine_run *run = g_ptr_array_index(engine->waiting, i);

		if (!first || run_before(run, first))
			first = run;
	}
	return first;
}

/* Gives free places to those that wait. */
static void admit(struct engine *engine)
{
	const struct engine_params *kind = engine->kind;

	while (engine->running->len < (guint)kind->slots) {
		struct engine_run *run = waiting_first(engine);

		if (!run)
			return;
		run->reserved = run->prompt_tokens + run->output_tokens;
		if (!kind->service && engine->running->len > 0 &&
		    engine->held + run->reserved > kind->memory)
			return;
		g_ptr_array_remove(engine->waiting, run);
		g_ptr_array_add(engine->running, run);
		engine->held += run->reserved;
		if (kind->service)
			continue;
		run->cached_tokens = cache_find(engine, run);
		run->prefill_remaining =
			run->prompt_tokens - run->cached_tokens;
		engine->kept += run->cached_tokens;
		cache_trim(engine);
	}
}

/* The most urgent run whose prompt isn't read, or NULL. */
static struct engine_run *unread_first(const struct engine *engine)
{
	struct engine_run *first = NULL;

	for (guint i = 0; i < engine->running->len; i++) {
		struct engine_run *run = g_ptr_array_index(engine->running, i);

		if (run->prefill_remaining > 0 &&
		    (!first || run_before(run, first)))
			first = run;
	}
	return first;
}

/* Reads a chunk of prompts; returns the time that it takes, in ms. */
static double read_chunk(struct engine *engine)
{
	const struct engine_params *kind = engine->kind;
	int left = kind->chunk;
	double time = 0;

	while (left > 0) {
		struct engine_run *run = unread_first(engine);
		double before;
		int tokens;

		if (!run)
			break;
		tokens = MIN(run->prefill_remaining, left);
		before = run->prompt_tokens - run->prefill_remaining;
		time += tokens * kind->prefill_ms +
			tokens * (before + tokens / 2.0) / PAIRS *
				kind->pair_ms;
		run->prefill_remaining -= tokens;
		left -= tokens;
		engine->read += tokens;
		if (run->prefill_remaining == 0)
			cache_add(engine, run);
	}
	return time;
}

/* Makes a token of each answer whose prompt was read before this step. */
static void make_tokens(struct engine *engine)
{
	GPtrArray *done = g_ptr_array_new();
	GPtrArray *first = g_ptr_array_new();

	for (guint i = 0; i < engine->running->len; i++) {
		struct engine_run *run = g_ptr_array_index(engine->running, i);

		if (run->prefill_remaining > 0)
			continue;
		run->generated++;
		if (!run->had_first &&
		    run->generated >=
			    MIN(engine->kind->stride, run->output_tokens)) {
			run->had_first = true;
			g_ptr_array_add(first, run);
		}
		if (run->generated >= run->output_tokens)
			g_ptr_array_add(done, run);
	}
	for (guint i = 0; i < first->len; i++) {
		struct engine_run *run = g_ptr_array_index(first, i);

		run->on_first(run->ctx);
	}
	for (guint i = 0; i < done->len; i++) {
		struct engine_run *run = g_ptr_array_index(done, i);

		if (run->engine)
			run_end(run, ENGINE_COMPLETE);
	}
	g_ptr_array_free(first, TRUE);
	g_ptr_array_free(done, TRUE);
}

static void step_end(void *ctx, void *arg)
{
	struct engine *engine = ctx;

	(void)arg;
	engine->busy = false;
	if (engine->dead)
		return;
	make_tokens(engine);
	step_begin(engine);
}

static void step_begin(struct engine *engine)
{
	const struct engine_params *kind = engine->kind;
	double time;

	if (engine->busy || kind->service)
		return;
	admit(engine);
	if (engine->running->len == 0)
		return;
	time = kind->step_ms + kind->step_slot_ms * engine->running->len +
	       read_chunk(engine);
	engine->at =
		MAX(engine->at, (double)engine->sim->now) + time * engine->slow;
	engine->busy = true;
	sim_after(engine->sim,
		  MAX((clk_ms)ceil(engine->at) - engine->sim->now, 0), step_end,
		  engine, NULL);
}

/* A service's run is done. */
static void service_end(void *ctx, void *arg)
{
	struct engine_run *run = arg;

	if (run->engine != ctx)
		return;
	run->on_first(run->ctx);
	run_end(run, ENGINE_COMPLETE);
	service_begin(ctx);
}

/* Starts the services' runs that have a place. */
static void service_begin(struct engine *engine)
{
	guint before = engine->running->len;

	admit(engine);
	for (guint i = before; i < engine->running->len; i++) {
		struct engine_run *run = g_ptr_array_index(engine->running, i);

		sim_after(engine->sim,
			  (clk_ms)(run->work_ms * engine->slow + 0.5),
			  service_end, engine, run);
	}
}

static void fail_now(void *ctx, void *arg)
{
	struct engine_run *run = arg;

	if (run->engine == ctx)
		run_end(run, ENGINE_FAILED);
}

void engine_submit(struct engine *engine, struct engine_run *run)
{
	run->engine = engine;
	run->arrival = ++engine->arrivals;
	run->generated = 0;
	run->had_first = false;
	run->prefill_remaining = run->prompt_tokens;
	run->reserved = 0;
	if (engine->dead ||
	    engine->waiting->len >= (guint)engine->kind->queue) {
		run->engine = NULL;
		run->on_end(run->ctx,
			    engine->dead ? ENGINE_LOST : ENGINE_REFUSED);
		return;
	}
	if (sim_chance(engine->sim, engine->failing)) {
		/* It takes a place among those that wait until it fails. */
		sim_after(engine->sim, FAIL_AFTER_MS, fail_now, engine, run);
		return;
	}
	g_ptr_array_add(engine->waiting, run);
	if (engine->kind->service)
		service_begin(engine);
	else
		step_begin(engine);
}
