/* Model of an upstream under a virtual clock; see engine.h. */
#include "engine.h"

#include <math.h>
#include <string.h>

#define PAIRS_UNIT 1e6	   /* pairs of tokens that pair_ms stands for */
#define FAILURE_DELAY_MS 5 /* before a failure response */
#define CACHE_FRACTION 0.8 /* of the memory not reserved by runs */

/* A prompt part in the cache. */
struct cached_part {
	uint64_t id;
	int tokens;
	guint64 last_use; /* sequence number */
};

struct engine {
	struct sim *sim;
	const struct engine_params *params;
	GPtrArray *running; /* struct engine_run */
	GPtrArray *waiting;
	GHashTable *cache; /* id -> struct cached_part */
	int cache_tokens;  /* in the cache */
	int reserved;	   /* memory of running requests, in tokens */
	guint64 last_use;
	guint64 last_arrival;
	double step_ends_at; /* end of the current step, not rounded */
	bool in_step;
	bool dead;
	double slowdown;
	unsigned failure_per_mille;
	double prefilled_tokens;
	double cached_tokens;
};

static void step_begin(struct engine *engine);
static void service_begin(struct engine *engine);

struct engine *engine_create(struct sim *sim,
			     const struct engine_params *params)
{
	struct engine *engine = g_new0(struct engine, 1);

	engine->sim = sim;
	engine->params = params;
	engine->running = g_ptr_array_new();
	engine->waiting = g_ptr_array_new();
	engine->cache = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	engine->slowdown = 1;
	return engine;
}

static gpointer part_key(uint64_t id)
{
	return GSIZE_TO_POINTER((gsize)id);
}

/* Evicts the least recently used parts until the cache fits its capacity. */
static void cache_trim(struct engine *engine)
{
	int capacity = (int)((engine->params->memory - engine->reserved) *
			     CACHE_FRACTION);

	while (engine->cache_tokens > MAX(capacity, 0)) {
		GHashTableIter iter;
		gpointer value;
		struct cached_part *oldest = NULL;

		g_hash_table_iter_init(&iter, engine->cache);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			if (!oldest || ((struct cached_part *)value)->last_use <
					       oldest->last_use)
				oldest = value;
		if (!oldest)
			return;
		engine->cache_tokens -= oldest->tokens;
		g_hash_table_remove(engine->cache, part_key(oldest->id));
	}
}

/* Returns the length of the longest cached prefix of a prompt, in tokens. */
static int cache_find(struct engine *engine, const struct engine_run *run)
{
	int tokens = 0;

	for (size_t i = 0; i < run->part_count; i++) {
		struct cached_part *part = g_hash_table_lookup(
			engine->cache, part_key(run->parts[i].id));

		if (!part)
			break;
		part->last_use = ++engine->last_use;
		tokens += part->tokens;
	}
	return MIN(tokens, run->prompt_tokens);
}

static void cache_add(struct engine *engine, const struct engine_run *run)
{
	for (size_t i = 0; i < run->part_count; i++) {
		struct cached_part *part = g_hash_table_lookup(
			engine->cache, part_key(run->parts[i].id));

		if (!part) {
			part = g_new0(struct cached_part, 1);
			part->id = run->parts[i].id;
			part->tokens = run->parts[i].tokens;
			engine->cache_tokens += part->tokens;
			g_hash_table_insert(engine->cache, part_key(part->id),
					    part);
		}
		part->last_use = ++engine->last_use;
	}
	cache_trim(engine);
}

/* Removes a run from its engine and releases its memory. */
static void run_detach(struct engine_run *run)
{
	struct engine *engine = run->engine;

	if (!engine)
		return;
	if (g_ptr_array_remove(engine->running, run))
		engine->reserved -= run->reserved;
	else
		g_ptr_array_remove(engine->waiting, run);
	run->engine = NULL;
}

static void run_end(struct engine_run *run, enum engine_result result)
{
	run_detach(run);
	run->on_end(run->ctx, result);
}

void engine_cancel(struct engine_run *run)
{
	if (run->engine)
		run_detach(run);
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

void engine_set_slowdown(struct engine *engine, double factor)
{
	engine->slowdown = factor;
}

void engine_set_failure_rate(struct engine *engine, unsigned per_mille)
{
	engine->failure_per_mille = per_mille;
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
	return engine->prefilled_tokens;
}

double engine_cached_tokens(const struct engine *engine)
{
	return engine->cached_tokens;
}

/* Orders runs by urgency, then by arrival. */
static bool run_before(const struct engine_run *a, const struct engine_run *b)
{
	if (a->urgency != b->urgency)
		return a->urgency < b->urgency;
	return a->arrival < b->arrival;
}

/* Returns the most urgent waiting run, or NULL. */
static struct engine_run *waiting_next(const struct engine *engine)
{
	struct engine_run *first = NULL;

	for (guint i = 0; i < engine->waiting->len; i++) {
		struct engine_run *run = g_ptr_array_index(engine->waiting, i);

		if (!first || run_before(run, first))
			first = run;
	}
	return first;
}

/* Starts waiting runs while slots and memory are free. An engine without
 * running requests starts one even if it exceeds the memory. */
static void start_waiting(struct engine *engine)
{
	const struct engine_params *params = engine->params;

	while (engine->running->len < (guint)params->slots) {
		struct engine_run *run = waiting_next(engine);

		if (!run)
			return;
		run->reserved = run->prompt_tokens + run->output_tokens;
		if (!params->service && engine->running->len > 0 &&
		    engine->reserved + run->reserved > params->memory)
			return;
		g_ptr_array_remove(engine->waiting, run);
		g_ptr_array_add(engine->running, run);
		engine->reserved += run->reserved;
		if (params->service)
			continue;
		run->cached_tokens = cache_find(engine, run);
		run->prefill_remaining =
			run->prompt_tokens - run->cached_tokens;
		engine->cached_tokens += run->cached_tokens;
		cache_trim(engine);
	}
}

/* Returns the most urgent run with prompt tokens to prefill, or NULL. */
static struct engine_run *prefill_next(const struct engine *engine)
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

/* Prefills a chunk of prompts; returns the time that it takes, in ms. */
static double prefill_chunk(struct engine *engine)
{
	const struct engine_params *params = engine->params;
	int remaining = params->chunk;
	double time = 0;

	while (remaining > 0) {
		struct engine_run *run = prefill_next(engine);
		double before;
		int tokens;

		if (!run)
			break;
		tokens = MIN(run->prefill_remaining, remaining);
		before = run->prompt_tokens - run->prefill_remaining;
		time += tokens * params->prefill_ms +
			tokens * (before + tokens / 2.0) / PAIRS_UNIT *
				params->pair_ms;
		run->prefill_remaining -= tokens;
		remaining -= tokens;
		engine->prefilled_tokens += tokens;
		if (run->prefill_remaining == 0)
			cache_add(engine, run);
	}
	return time;
}

/* Generates a token of each response whose prompt has been prefilled. */
static void decode_tokens(struct engine *engine)
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
			    MIN(engine->params->stride, run->output_tokens)) {
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
	engine->in_step = false;
	if (engine->dead)
		return;
	decode_tokens(engine);
	step_begin(engine);
}

static void step_begin(struct engine *engine)
{
	const struct engine_params *params = engine->params;
	double time;

	if (engine->in_step || params->service)
		return;
	start_waiting(engine);
	if (engine->running->len == 0)
		return;
	time = params->step_ms + params->step_slot_ms * engine->running->len +
	       prefill_chunk(engine);
	engine->step_ends_at =
		MAX(engine->step_ends_at, (double)engine->sim->now) +
		time * engine->slowdown;
	engine->in_step = true;
	sim_after(engine->sim,
		  MAX((clk_ms)ceil(engine->step_ends_at) - engine->sim->now, 0),
		  step_end, engine, NULL);
}

/* A run at a service has completed. */
static void service_end(void *ctx, void *arg)
{
	struct engine_run *run = arg;

	if (run->engine != ctx)
		return;
	run->on_first(run->ctx);
	run_end(run, ENGINE_COMPLETE);
	service_begin(ctx);
}

/* Starts waiting runs of a service in its free slots. */
static void service_begin(struct engine *engine)
{
	guint before = engine->running->len;

	start_waiting(engine);
	for (guint i = before; i < engine->running->len; i++) {
		struct engine_run *run = g_ptr_array_index(engine->running, i);

		sim_after(engine->sim,
			  (clk_ms)(run->work_ms * engine->slowdown + 0.5),
			  service_end, engine, run);
	}
}

static void run_fail(void *ctx, void *arg)
{
	struct engine_run *run = arg;

	if (run->engine == ctx)
		run_end(run, ENGINE_FAILED);
}

void engine_submit(struct engine *engine, struct engine_run *run)
{
	run->engine = engine;
	run->arrival = ++engine->last_arrival;
	run->generated = 0;
	run->had_first = false;
	run->prefill_remaining = run->prompt_tokens;
	run->reserved = 0;
	if (engine->dead ||
	    engine->waiting->len >= (guint)engine->params->queue) {
		run->engine = NULL;
		run->on_end(run->ctx,
			    engine->dead ? ENGINE_LOST : ENGINE_REFUSED);
		return;
	}
	if (sim_chance(engine->sim, engine->failure_per_mille)) {
		/* A failing run does not join the queue and takes no slot. */
		sim_after(engine->sim, FAILURE_DELAY_MS, run_fail, engine, run);
		return;
	}
	g_ptr_array_add(engine->waiting, run);
	if (engine->params->service)
		service_begin(engine);
	else
		step_begin(engine);
}
