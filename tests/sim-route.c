/*
 * Simulation of routing, admission and retries under a virtual clock. Entry
 * hosts run the code of decide/ against modelled engines with slots, prefill, a
 * prefix cache of limited size and load reports that lag.
 *
 * Usage: sim-route route|load|retry [--seed N]
 *   route  time to the first token of each policy, for the workload of both
 *          deployments
 *   load   goodput and time to the first token at 0.5 to 5 times capacity
 *   retry  calls to a pool that fails for 10 s, with and without the budget
 * Exits with 1 if the target that the benchmark states is missed.
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
#define DATA_CENTRES 4
#define ACCOUNTS 5
#define REPORT_INTERVAL_MS 1000 /* between two load reports */
#define REPORT_LAG_MS 500	/* age of a report on arrival */
#define RUN_MS ((clk_ms)120000)
#define WARMUP_MS ((clk_ms)20000) /* excluded from the results */
#define DECODE_TOKEN_MS 20
#define DISTANCE_MS 1 /* one way, to another data centre */

/* The size and workload of a deployment. */
struct mix {
	const char *name;
	int engines;
	int slots;	   /* per engine */
	int prefix_count;  /* distinct shared prompt prefixes */
	int prefix_tokens; /* per prefix */
	int unique_tokens; /* of a prompt, after its prefix */
	int answer_tokens; /* mean */
	int cache;	   /* prefixes in the cache of an engine */
	double prefill_us; /* per token */
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
	int answer_tokens; /* unknown to the decisions until it has ended */
	clk_ms arrived;
	clk_ms deadline;
	struct admit_ticket ticket;
	struct upstream *upstream;
	int engine;
	unsigned attempts;
	clk_ms attempt_start;
	bool counted;
};

struct engine {
	int running;
	GQueue waiting; /* struct request */
	int cache[64];	/* prefixes, most recently used first */
	int cache_len;
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
	bool budget;	/* retries are limited by the budget */
	bool admission; /* refuses what would miss its deadline */
	double rate;	/* arrivals per ms */
	clk_ms run_ms;	/* duration of the arrivals */
	struct entry entries[ENTRIES];
	struct engine engines[MAX_ENGINES];
	GArray *first_token_ms;	      /* double, from the arrival */
	GArray *small_first_token_ms; /* of the small accounts only */
	long arrivals;
	long in_time; /* answered within the deadline */
	long late;
	long refused;
	long prompt_tokens;
	long prefilled_tokens;
	long attempts;
	long first_attempts;
};

static const char *const accounts[ACCOUNTS] = { "l1", "l2", "s1", "s2", "s3" };
static const int account_share[ACCOUNTS] = { 45, 31, 8, 8, 8 };

static uint32_t world_random(void *ctx, uint32_t n)
{
	return sim_random(((struct world *)ctx)->sim, n);
}

/* Returns the mean duration of a call that does not wait and finds no cached
 * prefix, in ms. */
static double service_ms(const struct mix *mix)
{
	return (mix->prefix_tokens + mix->unique_tokens) * mix->prefill_us /
		       1000 +
	       (double)mix->answer_tokens * DECODE_TOKEN_MS;
}

/* Moves a prefix to the front of an engine's cache, evicting the last one if it
 * is not cached and the cache is full. Returns whether it was cached. */
static bool cache_use(struct engine *engine, int prefix, int size)
{
	int pos = 0;
	bool found;

	while (pos < engine->cache_len && engine->cache[pos] != prefix)
		pos++;
	found = pos < engine->cache_len;
	if (!found)
		pos = MIN(engine->cache_len, size - 1);
	memmove(&engine->cache[1], &engine->cache[0],
		(size_t)pos * sizeof(int));
	engine->cache[0] = prefix;
	engine->cache_len = MAX(engine->cache_len, pos + 1);
	return found;
}

static void engine_start(struct world *world, int n);
static void entry_dispatch(struct entry *entry);
static void request_send(struct request *request);

/* Counts a finished request, once. */
static void request_count(struct request *request, bool answered)
{
	struct world *world = request->world;

	if (request->counted || request->arrived < WARMUP_MS)
		return;
	request->counted = true;
	if (answered && world->sim->now <= request->deadline)
		world->in_time++;
	else
		world->late++;
}

/* An engine has generated the last token. */
static void engine_done(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct request *request = arg;
	struct entry *entry = &world->entries[request->entry];

	world->engines[request->engine].running--;
	engine_start(world, request->engine);
	retry_on_success(&entry->budget, world->sim->now);
	router_end(request->upstream, false,
		   world->sim->now - request->attempt_start, world->sim->now);
	request_count(request, true);
	g_free(request);
	entry_dispatch(entry);
}

/* Sends a request again. */
static void request_resend(void *ctx, void *arg)
{
	(void)ctx;
	request_send(arg);
}

/* Requests a retry from the budget, and again later if it is denied. */
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
		sim_after(world->sim, wait, request_resend, world, request);
}

/* A failing engine refuses a request. */
static void engine_fail(struct world *world, struct request *request)
{
	router_end(request->upstream, true, 1, world->sim->now);
	retry_on_failure(&world->entries[request->entry].budget,
			 world->sim->now);
	request_retry(world, request);
}

/* Records the time to the first token of a request. */
static void record_first_token(struct request *request, double prefill)
{
	struct world *world = request->world;
	double first_token_ms =
		(double)(world->sim->now - request->arrived) + prefill;

	if (request->arrived < WARMUP_MS)
		return;
	g_array_append_val(world->first_token_ms, first_token_ms);
	if (request->account >= 2)
		g_array_append_val(world->small_first_token_ms, first_token_ms);
}

/* Starts queued requests in an engine's free slots. */
static void engine_start(struct world *world, int n)
{
	struct engine *engine = &world->engines[n];
	const struct mix *mix = world->mix;

	while (engine->running < mix->slots && engine->waiting.length > 0) {
		struct request *request = g_queue_pop_head(&engine->waiting);
		bool hit = cache_use(engine, request->prefix, mix->cache);
		int prefill_tokens =
			mix->unique_tokens + (hit ? 0 : mix->prefix_tokens);
		double prefill = prefill_tokens * mix->prefill_us / 1000;

		engine->running++;
		if (request->arrived >= WARMUP_MS) {
			world->prompt_tokens +=
				mix->unique_tokens + mix->prefix_tokens;
			world->prefilled_tokens += prefill_tokens;
		}
		record_first_token(request, prefill + DECODE_TOKEN_MS);
		sim_after(world->sim,
			  (clk_ms)prefill + (clk_ms)request->answer_tokens *
						    DECODE_TOKEN_MS,
			  engine_done, world, request);
	}
}

/* A request arrives at its engine. */
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

/* Sends a request to the upstream that the router selects. */
static void request_send(struct request *request)
{
	struct world *world = request->world;
	struct entry *entry = &world->entries[request->entry];
	const struct mix *mix = world->mix;
	char data_centre[16];
	struct route_request route = {
		.pool = "gpu",
		.data_centre = data_centre,
		.prefix = (uint64_t)request->prefix + 1,
		.prompt_tokens = mix->prefix_tokens,
		.remaining_tokens = mix->answer_tokens,
	};
	struct upstream *upstream;

	snprintf(data_centre, sizeof(data_centre), "dc%d",
		 request->entry % DATA_CENTRES);
	upstream = router_choose(entry->router, &route, world->sim->now);
	if (!upstream) {
		sim_after(world->sim, 200, request_resend, world, request);
		return;
	}
	if (request->attempts++ == 0) {
		world->first_attempts++;
		retry_on_first_attempt(&entry->budget, world->sim->now);
	}
	request->attempt_start = world->sim->now;
	request->upstream = upstream;
	request->engine = (int)strtol(upstream->name, NULL, 10);
	router_begin(entry->router, upstream, &route, world->sim->now);
	sim_after(world->sim,
		  strcmp(upstream->data_centre, data_centre) ? DISTANCE_MS : 0,
		  engine_arrive, world, request);
}

static struct admit_pool entry_pool(const struct entry *entry)
{
	return (struct admit_pool){
		.slots = router_max_inflight(entry->router, "gpu",
					     entry->world->sim->now),
		.capacity = router_capacity(entry->router, "gpu",
					    entry->world->sim->now),
		.service_ms = router_service_ms(entry->router, "gpu"),
	};
}

static void entry_dispatch(struct entry *entry)
{
	while (admit_peek(entry->queue) && entry_pool(entry).capacity > 0) {
		struct admit_ticket *ticket = admit_pop(entry->queue);
		struct request *request = ticket->owner;

		if (entry->world->sim->now + entry_pool(entry).service_ms <=
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
	int pos = (int)sim_random(world->sim, 100);
	int account = 0;

	while (pos >= account_share[account])
		pos -= account_share[account++];
	return account;
}

/* Draws from an exponential distribution. */
static double exponential(struct world *world, double mean)
{
	return -log(g_rand_double_range(world->sim->rand, 1e-9, 1)) * mean;
}

/* A caller's request arrives at a random entry host; schedules the next. */
static void request_arrive(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct request *request;
	struct entry *entry;
	struct admit_pool pool;
	clk_ms retry_after;
	double gap = exponential(world, 1 / world->rate);

	(void)arg;
	if (world->sim->now < world->run_ms)
		sim_after(world->sim, (clk_ms)(gap + 0.5), request_arrive,
			  world, NULL);
	request = g_new0(struct request, 1);
	request->world = world;
	request->entry = (int)sim_random(world->sim, ENTRIES);
	request->account = pick_account(world);
	request->prefix =
		(int)sim_random(world->sim, (guint)world->mix->prefix_count);
	request->answer_tokens =
		1 + (int)exponential(world, world->mix->answer_tokens);
	request->arrived = world->sim->now;
	request->deadline =
		world->sim->now + (clk_ms)(4 * service_ms(world->mix));
	request->ticket = (struct admit_ticket){
		.account = accounts[request->account],
		.weight = 1,
		.tokens = world->mix->answer_tokens,
		.deadline = request->deadline,
		.owner = request,
	};
	entry = &world->entries[request->entry];
	pool = entry_pool(entry);
	if (request->arrived >= WARMUP_MS)
		world->arrivals++;
	if (world->admission &&
	    !admit_check(entry->queue, &request->ticket, &pool, world->sim->now,
			 &retry_after)) {
		world->refused += request->arrived >= WARMUP_MS;
		g_free(request);
		return;
	}
	if (world->admission) {
		admit_push(entry->queue, &request->ticket);
		entry_dispatch(entry);
	} else {
		request_send(request);
	}
}

/* A load report in flight to an entry host. */
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
	entry_dispatch(entry);
	g_free(report);
}

static void reports_send(void *ctx, void *arg)
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
			sim_after(world->sim, REPORT_LAG_MS, report_arrive,
				  world, report);
		}
	}
	sim_after(world->sim, REPORT_INTERVAL_MS, reports_send, world, NULL);
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
		upstream->data_centre =
			g_strdup_printf("dc%d", n % DATA_CENTRES);
		router_set_pool(entry->router, upstream, "gpu");
	}
	router_set_weights(entry->router, "gpu", &weights);
}

/* Prepares a run at a multiple of the engines' capacity. */
static void world_open(struct world *world, guint32 seed, const struct mix *mix,
		       enum route_policy policy, double load)
{
	memset(world, 0, sizeof(*world));
	world->sim = sim_create(seed);
	world->mix = mix;
	world->policy = policy;
	world->budget = true;
	world->admission = true;
	world->run_ms = RUN_MS;
	world->rate = load * mix->engines * mix->slots / service_ms(mix);
	world->first_token_ms = g_array_new(FALSE, FALSE, sizeof(double));
	world->small_first_token_ms = g_array_new(FALSE, FALSE, sizeof(double));
	for (int e = 0; e < ENTRIES; e++)
		entry_start(world, e);
	sim_after(world->sim, 0, request_arrive, world, NULL);
	sim_after(world->sim, 0, reports_send, world, NULL);
}

static void world_close(struct world *world)
{
	for (int e = 0; e < ENTRIES; e++) {
		router_free(world->entries[e].router);
		admit_queue_free(world->entries[e].queue);
	}
	g_array_free(world->first_token_ms, TRUE);
	g_array_free(world->small_first_token_ms, TRUE);
	sim_free(world->sim);
}

static const char *const policy_names[ROUTE_POLICY_COUNT] = {
	"cost",
	"random",
	"round_robin",
	"least_outstanding",
};

/* Runs each policy on both mixes; the p95 time to the first token of the cost
 * policy must not exceed that of any other. */
static bool bench_route(guint32 seed)
{
	static struct world world;
	bool ok = true;

	printf("%-8s %-18s %9s %9s %9s %9s\n", "mix", "policy", "TTFT p50",
	       "TTFT p95", "prefilled", "in time");
	for (size_t m = 0; m < G_N_ELEMENTS(mixes); m++) {
		double best_other_p95 = INFINITY;
		double cost_p95 = 0;

		for (int p = 0; p < ROUTE_POLICY_COUNT; p++) {
			double p95;

			world_open(&world, seed, &mixes[m],
				   (enum route_policy)p, 0.7);
			sim_run(world.sim, 2 * RUN_MS);
			p95 = sim_percentile(world.first_token_ms, 0.95);
			printf("%-8s %-18s %6.0f ms %6.0f ms %8.1f%% %8.1f%%\n",
			       mixes[m].name, policy_names[p],
			       sim_percentile(world.first_token_ms, 0.5), p95,
			       100.0 * (double)world.prefilled_tokens /
				       (double)world.prompt_tokens,
			       100.0 * (double)world.in_time /
				       (double)world.arrivals);
			if (p == ROUTE_COST)
				cost_p95 = p95;
			else
				best_other_p95 = MIN(best_other_p95, p95);
			world_close(&world);
		}
		ok = ok && cost_p95 <= best_other_p95;
	}
	return ok;
}

/* Measures the goodput at several loads; with admission, that at 5 times the
 * capacity must be within 10% of the peak. */
static bool bench_load(guint32 seed)
{
	static const double loads[] = { 0.5, 0.9, 1.2, 2, 5 };
	static struct world world;
	bool ok = true;

	printf("%-8s %-9s %6s %9s %9s %9s %10s\n", "mix", "admission", "load",
	       "goodput/s", "refused", "late", "small p95");
	for (size_t m = 0; m < G_N_ELEMENTS(mixes); m++) {
		for (int admission = 1; admission >= 0; admission--) {
			double peak_goodput = 0;
			double goodput = 0;

			for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
				world_open(&world, seed, &mixes[m], ROUTE_COST,
					   loads[i]);
				world.admission = admission;
				sim_run(world.sim, 2 * RUN_MS);
				goodput = (double)world.in_time * CLK_SECOND /
					  (RUN_MS - WARMUP_MS);
				peak_goodput = MAX(peak_goodput, goodput);
				printf("%-8s %-9s %6.1f %9.1f %8.1f%% %8.1f%% "
				       "%7.0f ms\n",
				       mixes[m].name, admission ? "on" : "off",
				       loads[i], goodput,
				       100.0 * (double)world.refused /
					       (double)world.arrivals,
				       100.0 * (double)world.late /
					       (double)world.arrivals,
				       sim_percentile(
					       world.small_first_token_ms,
					       0.95));
				world_close(&world);
			}
			if (admission && goodput < 0.9 * peak_goodput)
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

/* Counts the calls to a pool that fails for 10 s, per first attempt. With the
 * budget there may be at most 1.1, and once the pool has recovered, late
 * requests may be at most a twentieth of those in time. */
static bool bench_retry(guint32 seed)
{
	static struct world world;
	bool ok = true;

	printf("%-8s %-7s %16s %13s %10s\n", "mix", "budget", "calls/first",
	       "in time after", "late after");
	for (size_t m = 0; m < G_N_ELEMENTS(mixes); m++) {
		for (int budget = 1; budget >= 0; budget--) {
			double factor;
			long attempts;
			long first_attempts;

			world_open(&world, seed, &mixes[m], ROUTE_COST, 0.7);
			world.budget = budget;
			sim_after(world.sim, 40000, set_failing, &world,
				  &world);
			sim_after(world.sim, 50000, set_failing, &world, NULL);
			sim_run(world.sim, 40000);
			attempts = world.attempts;
			first_attempts = world.first_attempts;
			sim_run(world.sim, 50000);
			factor =
				(double)(world.attempts - attempts) /
				(double)(world.first_attempts - first_attempts);
			sim_run(world.sim, 70000);
			world.in_time = 0;
			world.late = 0;
			sim_run(world.sim, RUN_MS);
			printf("%-8s %-7s %16.2f %13ld %10ld\n", mixes[m].name,
			       budget ? "on" : "off", factor, world.in_time,
			       world.late);
			if (budget &&
			    (factor > 1.1 || world.late > world.in_time / 20))
				ok = false;
			world_close(&world);
		}
	}
	return ok;
}

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
		fprintf(stderr, "sim-route: no benchmark given: route, load or "
				"retry\n");
		return 2;
	}
	for (size_t i = 0; i < G_N_ELEMENTS(benches); i++)
		if (!strcmp(benches[i].name, name))
			return benches[i].fn((guint32)seed) ? EXIT_SUCCESS
							    : EXIT_FAILURE;
	fprintf(stderr, "sim-route: unknown benchmark: %s\n", name);
	return 2;
}
