/*
 * Routing, admission and retries under a virtual clock: entry hosts with the
 * real decisions before modelled engines (places, prefill, a prefix cache of
 * limited size, load reports with lag).
 *
 * Usage: sim-route route|load|retry [--seed N]
 *   route  each policy on both deployments' sizes and mixes
 *   load   goodput and waits at 0.5 to 5 times capacity
 *   retry  calls to a pool that fails for 10 s, with and without the budget
 * Exits with 1 if a stated target is missed.
 */
#include <math.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../decide/admit.h"
#include "../decide/retry.h"
#include "../decide/route.h"
#include "../wire/args.h"
#include "../sim/sim.h"

#define ENTRIES 6
#define MAX_ENGINES 16
#define CENTRES 4
#define ACCOUNTS 5
#define REPORT_MS 1000 /* between two load reports */
#define LAG_MS 500     /* age of a report when it arrives */
#define RUN_MS ((clk_ms)120000)
#define WARM_MS ((clk_ms)20000) /* not counted */
#define DECODE_MS 20		/* of a token */
#define DISTANCE_MS 1		/* to another data centre, one way */

/* The size and mix of a deployment. */
struct mix {
	const char *name;
	int engines;
	int slots;	   /* of an engine */
	int prefixes;	   /* different shared prompt beginnings */
	int prefix_tokens; /* of such a beginning */
	int own_tokens;	   /* of a prompt, after it */
	int tokens;	   /* of an answer */
	int cache;	   /* beginnings that an engine keeps */
	double prefill_us; /* of a token */
};

static const struct mix mixes[] = {
	{ "thies", 12, 8, 60, 400, 100, 80, 8, 500 },
	{ "savanna", 9, 8, 12, 3000, 200, 120, 3, 500 },
};

struct world;

struct request {
	struct world *world;
	int entry;
	int account;
	int prefix;
	int tokens; /* of the answer; known only when it has ended */
	clk_ms arrived;
	clk_ms deadline;
	struct admit_ticket ticket;
	struct upstream *upstream;
	int engine;
	unsigned attempts;
	clk_ms begun; /* the attempt */
	bool counted;
};

struct engine {
	int running;
	GQueue waiting; /* struct request */
	int cache[64];	/* prefixes, newest first */
	int cached;
	bool failing;
	long attempts;
};

struct entry {
	struct world *world;
	struct router *router;
	struct admit_queue *queue;
	struct retry_budget budget;
};

struct world {
	struct sim *sim;
	const struct mix *mix;
	enum route_policy policy;
	bool budget;	/* retries are limited */
	bool admission; /* requests that can't make it are refused */
	double rate;	/* arrivals per ms */
	clk_ms run;	/* how long requests arrive */
	struct entry entries[ENTRIES];
	struct engine engines[MAX_ENGINES];
	GArray *first; /* double: ms to the first token */
	GArray *small; /* the same, of the small accounts */
	long arrivals;
	long whole; /* answered within the deadline */
	long late;
	long refused;
	long prompt_tokens;
	long prefilled;
	long attempts;
	long firsts; /* attempts that were a request's first */
};

static const char *const accounts[ACCOUNTS] = { "l1", "l2", "s1", "s2", "s3" };
static const int account_share[ACCOUNTS] = { 45, 31, 8, 8, 8 };

static uint32_t world_random(void *ctx, uint32_t n)
{
	return sim_random(((struct world *)ctx)->sim, n);
}

/* The mean time of a call without wait, in ms, all tokens prefilled. */
static double service_ms(const struct mix *mix)
{
	return (mix->prefix_tokens + mix->own_tokens) * mix->prefill_us / 1000 +
	       (double)mix->tokens * DECODE_MS;
}

/* Finds a prefix in an engine's cache and moves it to the front. */
static bool cache_take(struct engine *engine, int prefix, int size)
{
	int at = 0;
	bool found;

	while (at < engine->cached && engine->cache[at] != prefix)
		at++;
	found = at < engine->cached;
	if (!found)
		at = MIN(engine->cached, size - 1);
	memmove(&engine->cache[1], &engine->cache[0], (size_t)at * sizeof(int));
	engine->cache[0] = prefix;
	engine->cached = MAX(engine->cached, at + 1);
	return found;
}

static void engine_start(struct world *world, int n);
static void entry_pump(struct entry *entry);
static void request_send(struct request *request);

/* Counts a request's end, once. */
static void request_count(struct request *request, bool whole)
{
	struct world *world = request->world;

	if (request->counted || request->arrived < WARM_MS)
		return;
	request->counted = true;
	if (whole && world->sim->now <= request->deadline)
		world->whole++;
	else
		world->late++;
}

/* An engine has made the last token. */
static void engine_done(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct request *request = arg;
	struct entry *entry = &world->entries[request->entry];

	world->engines[request->engine].running--;
	engine_start(world, request->engine);
	retry_on_success(&entry->budget, world->sim->now);
	router_end(request->upstream, false, world->sim->now - request->begun,
		   world->sim->now);
	request_count(request, true);
	g_free(request);
	entry_pump(entry);
}

/* Tries a failed request again. */
static void request_again(void *ctx, void *arg)
{
	(void)ctx;
	request_send(arg);
}

/* Asks the budget for one more attempt; asks later if it is denied. */
static void request_retry(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct request *request = arg;
	struct entry *entry = &world->entries[request->entry];
	clk_ms now = world->sim->now;
	clk_ms wait = 50;

	if (now > request->deadline) {
		request_count(request, false);
		g_free(request);
		return;
	}
	if (world->budget)
		wait = retry_request(&entry->budget, request->attempts,
				     sim_random(world->sim, 1000), now,
				     request->deadline);
	if (wait < 0)
		sim_after(world->sim, 200 + sim_random(world->sim, 200),
			  request_retry, world, request);
	else
		sim_after(world->sim, wait, request_again, world, request);
}

/* An engine refuses while it fails. */
static void engine_fail(struct world *world, struct request *request)
{
	router_end(request->upstream, true, 1, world->sim->now);
	retry_on_failure(&world->entries[request->entry].budget,
			 world->sim->now);
	request_retry(world, request);
}

/* Notes when a request got its first token. */
static void note_first(struct request *request, double prefill)
{
	struct world *world = request->world;
	double first = (double)(world->sim->now - request->arrived) + prefill;

	if (request->arrived < WARM_MS)
		return;
	g_array_append_val(world->first, first);
	if (request->account >= 2)
		g_array_append_val(world->small, first);
}

/* Gives an engine's free places to those that wait there. */
static void engine_start(struct world *world, int n)
{
	struct engine *engine = &world->engines[n];
	const struct mix *mix = world->mix;

	while (engine->running < mix->slots && engine->waiting.length > 0) {
		struct request *request = g_queue_pop_head(&engine->waiting);
		bool hit = cache_take(engine, request->prefix, mix->cache);
		int tokens = mix->own_tokens + (hit ? 0 : mix->prefix_tokens);
		double prefill = tokens * mix->prefill_us / 1000;

		engine->running++;
		if (request->arrived >= WARM_MS) {
			world->prompt_tokens +=
				mix->own_tokens + mix->prefix_tokens;
			world->prefilled += tokens;
		}
		note_first(request, prefill + DECODE_MS);
		sim_after(world->sim,
			  (clk_ms)prefill + (clk_ms)request->tokens * DECODE_MS,
			  engine_done, world, request);
	}
}

/* A request has come to its engine. */
static void engine_arrive(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct request *request = arg;
	struct engine *engine = &world->engines[request->engine];

	world->attempts++;
	engine->attempts++;
	if (engine->failing) {
		engine_fail(world, request);
		return;
	}
	g_queue_push_tail(&engine->waiting, request);
	engine_start(world, request->engine);
}

/* Sends a request to the upstream that the router chooses. */
static void request_send(struct request *request)
{
	struct world *world = request->world;
	struct entry *entry = &world->entries[request->entry];
	const struct mix *mix = world->mix;
	char centre[16];
	struct route_request ask = {
		.pool = "gpu",
		.data_centre = centre,
		.prefix = (uint64_t)request->prefix + 1,
		.prompt_tokens = mix->prefix_tokens,
		.remaining_tokens = mix->tokens,
	};
	struct upstream *upstream;

	snprintf(centre, sizeof(centre), "dc%d", request->entry % CENTRES);
	upstream = router_choose(entry->router, &ask, world->sim->now);
	if (!upstream) {
		sim_after(world->sim, 200, request_again, world, request);
		return;
	}
	if (request->attempts++ == 0) {
		world->firsts++;
		retry_on_first_attempt(&entry->budget, world->sim->now);
	}
	request->begun = world->sim->now;
	request->upstream = upstream;
	request->engine = (int)strtol(upstream->name, NULL, 10);
	router_begin(entry->router, upstream, &ask, world->sim->now);
	sim_after(world->sim,
		  strcmp(upstream->data_centre, centre) ? DISTANCE_MS : 0,
		  engine_arrive, world, request);
}

static struct admit_pool pool_now(const struct entry *entry)
{
	return (struct admit_pool){
		.slots = router_max_inflight(entry->router, "gpu",
					     entry->world->sim->now),
		.capacity = router_capacity(entry->router, "gpu",
					    entry->world->sim->now),
		.service_ms = router_service_ms(entry->router, "gpu"),
	};
}

static void entry_pump(struct entry *entry)
{
	while (admit_peek(entry->queue) && pool_now(entry).capacity > 0) {
		struct admit_ticket *ticket = admit_pop(entry->queue);
		struct request *request = ticket->owner;

		if (entry->world->sim->now + pool_now(entry).service_ms <=
		    (double)request->deadline) {
			request_send(request);
		} else {
			request_count(request, false);
			g_free(request);
		}
	}
}

static int pick_account(struct world *world)
{
	int at = (int)sim_random(world->sim, 100);
	int account = 0;

	while (at >= account_share[account])
		at -= account_share[account++];
	return account;
}

/* Draws from an exponential distribution. */
static double exponential(struct world *world, double mean)
{
	return -log(g_rand_double_range(world->sim->rand, 1e-9, 1)) * mean;
}

/* A caller's request comes to an entry host. */
static void arrive(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct request *request;
	struct entry *entry;
	struct admit_pool pool;
	clk_ms come_back;
	double gap = exponential(world, 1 / world->rate);

	(void)arg;
	if (world->sim->now < world->run)
		sim_after(world->sim, (clk_ms)(gap + 0.5), arrive, world, NULL);
	request = g_new0(struct request, 1);
	request->world = world;
	request->entry = (int)sim_random(world->sim, ENTRIES);
	request->account = pick_account(world);
	request->prefix =
		(int)sim_random(world->sim, (guint)world->mix->prefixes);
	request->tokens = 1 + (int)exponential(world, world->mix->tokens);
	request->arrived = world->sim->now;
	request->deadline =
		world->sim->now + (clk_ms)(4 * service_ms(world->mix));
	request->ticket = (struct admit_ticket){
		.account = accounts[request->account],
		.weight = 1,
		.tokens = world->mix->tokens,
		.deadline = request->deadline,
		.owner = request,
	};
	entry = &world->entries[request->entry];
	pool = pool_now(entry);
	if (request->arrived >= WARM_MS)
		world->arrivals++;
	if (world->admission &&
	    !admit_check(entry->queue, &request->ticket, &pool, world->sim->now,
			 &come_back)) {
		world->refused += request->arrived >= WARM_MS;
		g_free(request);
		return;
	}
	if (world->admission) {
		admit_push(entry->queue, &request->ticket);
		entry_pump(entry);
	} else {
		request_send(request);
	}
}

/* A load report reaches an entry host. */
struct report {
	int entry;
	int engine;
	struct upstream_load load;
};

static void report_arrive(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct report *report = arg;
	struct entry *entry = &world->entries[report->entry];
	char name[16];

	snprintf(name, sizeof(name), "%d", report->engine);
	report->load.received = world->sim->now;
	router_on_load(entry->router, router_get(entry->router, name),
		       &report->load);
	entry_pump(entry);
	g_free(report);
}

static void report_tick(void *ctx, void *arg)
{
	struct world *world = ctx;

	(void)arg;
	for (int n = 0; n < world->mix->engines; n++) {
		for (int e = 0; e < ENTRIES; e++) {
			struct report *report = g_new0(struct report, 1);

			report->entry = e;
			report->engine = n;
			report->load.running = world->engines[n].running;
			report->load.queued =
				(int)world->engines[n].waiting.length;
			report->load.slots = world->mix->slots;
			sim_after(world->sim, LAG_MS, report_arrive, world,
				  report);
		}
	}
	sim_after(world->sim, REPORT_MS, report_tick, world, NULL);
}

static void entry_start(struct world *world, int e)
{
	struct entry *entry = &world->entries[e];
	struct retry_options options = {
		.share = 0.04,
		.burst = 1,
		.backoff_base = 50,
		.backoff_max = 1000,
		.max_attempts = 1000,
	};
	struct route_weights weights = {
		.policy = world->policy,
		.wait = 1,
		.prefill = 1,
		.distance_ms = 2,
		.reclaim = 0,
		.prefill_us = world->mix->prefill_us,
		.samples = 3,
	};
	char name[16];

	entry->world = world;
	entry->router = router_create(world_random, world);
	entry->router->hosts = ENTRIES;
	entry->queue = admit_queue_create(2000);
	retry_budget_init(&entry->budget, &options);
	for (int n = 0; n < world->mix->engines; n++) {
		struct upstream *upstream;

		snprintf(name, sizeof(name), "%d", n);
		upstream = router_get(entry->router, name);
		upstream->load.slots = world->mix->slots;
		upstream->service_ms = service_ms(world->mix);
		g_free(upstream->data_centre);
		upstream->data_centre = g_strdup_printf("dc%d", n % CENTRES);
		router_set_pool(entry->router, upstream, "gpu");
	}
	router_set_weights(entry->router, "gpu", &weights);
}

/* Prepares a run at a share of the engines' capacity. */
static void world_open(struct world *world, guint32 seed, const struct mix *mix,
		       enum route_policy policy, double load)
{
	memset(world, 0, sizeof(*world));
	world->sim = sim_create(seed);
	world->mix = mix;
	world->policy = policy;
	world->budget = true;
	world->admission = true;
	world->run = RUN_MS;
	world->rate = load * mix->engines * mix->slots / service_ms(mix);
	world->first = g_array_new(FALSE, FALSE, sizeof(double));
	world->small = g_array_new(FALSE, FALSE, sizeof(double));
	for (int e = 0; e < ENTRIES; e++)
		entry_start(world, e);
	sim_after(world->sim, 0, arrive, world, NULL);
	sim_after(world->sim, 0, report_tick, world, NULL);
}

static void world_close(struct world *world)
{
	for (int e = 0; e < ENTRIES; e++) {
		router_free(world->entries[e].router);
		admit_queue_free(world->entries[e].queue);
	}
	g_array_free(world->first, TRUE);
	g_array_free(world->small, TRUE);
	sim_free(world->sim);
}

static const char *const policy_names[ROUTE_POLICY_COUNT] = {
	"cost",
	"random",
	"round_robin",
	"least_outstanding",
};

/* Each policy on both mixes; the cost policy must not be worse. */
static bool bench_route(guint32 seed)
{
	static struct world world;
	bool ok = true;

	printf("%-8s %-18s %9s %9s %9s %9s\n", "mix", "policy", "first p50",
	       "first p95", "prefilled", "whole");
	for (size_t m = 0; m < G_N_ELEMENTS(mixes); m++) {
		double best = INFINITY;
		double own = 0;

		for (int p = 0; p < ROUTE_POLICY_COUNT; p++) {
			double p95;

			world_open(&world, seed, &mixes[m],
				   (enum route_policy)p, 0.7);
			sim_run(world.sim, 2 * RUN_MS);
			p95 = sim_percentile(world.first, 0.95);
			printf("%-8s %-18s %6.0f ms %6.0f ms %8.1f%% %8.1f%%\n",
			       mixes[m].name, policy_names[p],
			       sim_percentile(world.first, 0.5), p95,
			       100.0 * (double)world.prefilled /
				       (double)world.prompt_tokens,
			       100.0 * (double)world.whole /
				       (double)world.arrivals);
			if (p == ROUTE_COST)
				own = p95;
			else
				best = MIN(best, p95);
			world_close(&world);
		}
		ok = ok && own <= best;
	}
	return ok;
}

/* Goodput at several loads; it must stay within 10% of its peak. */
static bool bench_load(guint32 seed)
{
	static const double loads[] = { 0.5, 0.9, 1.2, 2, 5 };
	static struct world world;
	bool ok = true;

	printf("%-8s %-9s %6s %9s %9s %9s %10s\n", "mix", "admission", "load",
	       "goodput/s", "refused", "late", "small p95");
	for (size_t m = 0; m < G_N_ELEMENTS(mixes); m++) {
		for (int admission = 1; admission >= 0; admission--) {
			double peak = 0;
			double last = 0;

			for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
				world_open(&world, seed, &mixes[m], ROUTE_COST,
					   loads[i]);
				world.admission = admission;
				sim_run(world.sim, 2 * RUN_MS);
				last = (double)world.whole * CLK_SECOND /
				       (RUN_MS - WARM_MS);
				peak = MAX(peak, last);
				printf("%-8s %-9s %6.1f %9.1f %8.1f%% %8.1f%% "
				       "%7.0f ms\n",
				       mixes[m].name, admission ? "on" : "off",
				       loads[i], last,
				       100.0 * (double)world.refused /
					       (double)world.arrivals,
				       100.0 * (double)world.late /
					       (double)world.arrivals,
				       sim_percentile(world.small, 0.95));
				world_close(&world);
			}
			if (admission && last < 0.9 * peak)
				ok = false;
		}
	}
	return ok;
}

static void set_failing(void *ctx, void *arg)
{
	struct world *world = ctx;

	for (int n = 0; n < world->mix->engines; n++)
		world->engines[n].failing = arg != NULL;
}

/* Calls to a pool that fails for 10 s, against first attempts. */
static bool bench_retry(guint32 seed)
{
	static struct world world;
	bool ok = true;

	printf("%-8s %-7s %16s %13s %10s\n", "mix", "budget",
	       "calls/first ones", "whole after", "late after");
	for (size_t m = 0; m < G_N_ELEMENTS(mixes); m++) {
		for (int budget = 1; budget >= 0; budget--) {
			double factor;
			long attempts;
			long firsts;

			world_open(&world, seed, &mixes[m], ROUTE_COST, 0.7);
			world.budget = budget;
			sim_after(world.sim, 40000, set_failing, &world,
				  &world);
			sim_after(world.sim, 50000, set_failing, &world, NULL);
			sim_run(world.sim, 40000);
			attempts = world.attempts;
			firsts = world.firsts;
			sim_run(world.sim, 50000);
			factor = (double)(world.attempts - attempts) /
				 (double)(world.firsts - firsts);
			sim_run(world.sim, 70000);
			world.whole = 0;
			world.late = 0;
			sim_run(world.sim, RUN_MS);
			printf("%-8s %-7s %16.2f %13ld %10ld\n", mixes[m].name,
			       budget ? "on" : "off", factor, world.whole,
			       world.late);
			if (budget &&
			    (factor > 1.1 || world.late > world.whole / 20))
				ok = false;
			world_close(&world);
		}
	}
	return ok;
}

/* One thing to measure. */
static const struct {
	const char *name;
	bool (*fn)(guint32 seed);
} benches[] = {
	{ "route", bench_route },
	{ "load", bench_load },
	{ "retry", bench_retry },
};

int main(int argc, const char **argv)
{
	int seed = 1;
	const char *name;
	struct poptOption options[] = { { "seed", 's', POPT_ARG_INT, &seed, 0,
					  "seed", "N" },
					POPT_AUTOHELP POPT_TABLEEND };
	poptContext popt = poptGetContext(NULL, argc, argv, options, 0);

	if (!args_read(popt, "sim-route"))
		return 2;
	name = poptGetArg(popt);
	if (!name) {
		fprintf(stderr, "sim-route: it takes the name of a bench\n");
		return 2;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(benches); i++)
		if (!strcmp(benches[i].name, name))
			return benches[i].fn((guint32)seed) ? EXIT_SUCCESS
							    : EXIT_FAILURE;
	fprintf(stderr, "sim-route: %s: there is no such bench\n", name);
	return 2;
}
