/*
 * Simulates which workers hosts choose, and the connections that they open for
 * it, at the rates of deployments K and M of docs/HARD-LOAD.md: hosts, workers
 * and the shared parts of prompts, without faults.
 *
 * Usage: sim-connect [--deployment k|m] [--connect-ms N] [--keep-ms N]
 *	[--sessions N] [--samples N] [--subset N] [--seed N] [--load N]
 *	[--check]
 *
 * --subset: each host uses so many engines, and every engine is in as many
 * subsets. --check: fails unless the targets are met.
 */
#include <math.h>
#include <popt.h>
#include <stdio.h>
#include <string.h>

#include "../decide/aggregate.h"
#include "../decide/fleet.h"
#include "../sim/sim.h"

#define KINDS 5
#define DCS 4
#define REPORT_MS 200	 /* between two reports of all hosts */
#define WARM_UP_MS 20000 /* not counted */
#define RUN_MS 60000
#define SAMPLES 3
#define PLAIN_MS 30 /* of a call without an engine */
/* Age of a connection that carries a request which may not be sent again. */
#define STRICT_MS 6000
/* The targets of docs/HARD-LOAD.md: new connections for each request, and the
 * busiest engine's share of the mean. */
#define CONNECTS_MAX 0.25
#define IMBALANCE_MAX 1.25
/* By chance, between two runs, in the share of tokens prefilled again. */
#define AGAIN_CHANCE 0.005

struct kind {
	double rate; /* a second, of all hosts */
	int shared;
	int own;
	int events;
	int plain_ms;	   /* at a worker without an engine; 0: at an engine */
	bool at_most_once; /* it may not be sent again */
};

struct deployment {
	const char *name;
	int hosts;
	int workers; /* engines; plain workers follow */
	int plain;
	int connections; /* at a worker at most */
	double prefill;	 /* tokens a ms */
	double event_ms;
	struct kind kinds[KINDS];
};

static const struct deployment deployments[] = {
	{ "k",
	  89,
	  89,
	  4,
	  650,
	  157,
	  35.5,
	  { { 143, 5382, 6610, 38, 0, false },
	    { 106, 198, 628, 29, 0, false },
	    { 336, 568, 1800, 2, 0, false },
	    { 146, 0, 0, 0, PLAIN_MS, true },
	    { 58.5, 0, 0, 0, PLAIN_MS, false } } },
	{ "m",
	  75,
	  112,
	  5,
	  560,
	  61.2,
	  30.3,
	  { { 134, 5382, 6610, 42, 0, false },
	    { 164, 198, 628, 32, 0, false },
	    { 248, 568, 1800, 3, 0, false },
	    { 137, 0, 0, 0, PLAIN_MS, true },
	    { 54.6, 0, 0, 0, PLAIN_MS, false } } },
};

struct worker {
	double free_at; /* when its queue of prompts is done, in ms */
	int running;
	int connections;
	int most_connections;
	double work;	    /* ms of prefill and decoding */
	GHashTable *cached; /* part -> when last read, in clk_ms */
};

struct host {
	struct fleet *fleet;
	GArray **idle; /* by worker: clk_ms since when */
};

struct model {
	const struct deployment *deployment;
	struct sim *sim;
	struct host *hosts;
	struct worker *workers;
	clk_ms keep_ms;
	int sessions; /* shared parts of each kind */
	double load;
	uint64_t requests;
	uint64_t connects;
	double shared_tokens;
	double shared_prefilled;
	GArray *first_ms;
	uint64_t parts; /* own parts given out */
	struct host *choosing;
};

struct call {
	struct host *host;
	struct fleet_worker *at;
	int worker;
	struct fleet_request request;
	clk_ms decode_ms;
};

static int worker_number(const struct fleet_worker *worker)
{
	return (int)g_ascii_strtoll(worker->entry.id + 1, NULL, 10);
}

static uint32_t model_random(void *ctx, uint32_t n)
{
	struct model *model = ctx;

	return sim_random(model->sim, n);
}

/* Closes connections of a host that have been idle for too long. */
static GArray *idle_of(struct model *model, struct host *host, int worker)
{
	GArray *idle = host->idle[worker];

	while (idle->len > 0 &&
	       model->sim->now - g_array_index(idle, clk_ms, 0) >=
		       model->keep_ms) {
		g_array_remove_index(idle, 0);
		model->workers[worker].connections--;
	}
	return idle;
}

/* Whether the last idle connection may carry a request. */
static bool idle_suits(const struct model *model, const GArray *idle,
		       bool is_repeatable)
{
	return idle->len > 0 &&
	       (is_repeatable ||
		model->sim->now - g_array_index(idle, clk_ms, idle->len - 1) <
			STRICT_MS);
}

static bool is_connected(void *ctx, const struct fleet_worker *worker,
			 const struct fleet_request *request)
{
	struct model *model = ctx;

	return idle_suits(
		model, idle_of(model, model->choosing, worker_number(worker)),
		request->is_repeatable);
}

static bool is_counted(const struct model *model)
{
	return model->sim->now >= WARM_UP_MS;
}

static void call_end(void *ctx, void *arg)
{
	struct model *model = ctx;
	struct call *call = arg;

	fleet_end(call->at, &call->request, true);
	fleet_worker_unref(call->at);
	model->workers[call->worker].running--;
	g_array_append_val(call->host->idle[call->worker], model->sim->now);
	g_free(call);
}

static void call_first(void *ctx, void *arg)
{
	struct model *model = ctx;
	struct call *call = arg;

	fleet_first_token(call->at, &call->request);
	sim_after(model->sim, call->decode_ms, call_end, model, call);
}

/* Returns the shared tokens that a worker has cached of a part. */
static int cache_read(struct model *model, struct worker *worker, uint64_t part,
		      int tokens)
{
	gpointer key = GSIZE_TO_POINTER((gsize)part);
	gpointer at = g_hash_table_lookup(worker->cached, key);
	clk_ms now = model->sim->now;

	g_hash_table_insert(worker->cached, key,
			    GSIZE_TO_POINTER((gsize)now + 1));
	return at && now - (clk_ms)GPOINTER_TO_SIZE(at) < FLEET_CACHE_TTL_MS
		       ? tokens
		       : 0;
}

static void engine_take(struct model *model, struct call *call,
			const struct kind *kind)
{
	struct worker *worker = &model->workers[call->worker];
	int cached = cache_read(model, worker, call->request.parts[0].id,
				kind->shared);
	double prefill = (call->request.prompt_tokens - cached) /
			 model->deployment->prefill;
	double start = MAX(worker->free_at, (double)model->sim->now);
	double first;

	worker->free_at = start + prefill;
	first = worker->free_at - (double)model->sim->now;
	worker->running++;
	call->decode_ms = (clk_ms)(kind->events * model->deployment->event_ms);
	if (is_counted(model)) {
		model->shared_tokens += kind->shared;
		model->shared_prefilled += kind->shared - cached;
		worker->work += prefill + (double)call->decode_ms / 12;
		g_array_append_val(model->first_ms, first);
	}
	sim_after(model->sim, MAX((clk_ms)first, 1), call_first, model, call);
}

static void connection_take(struct model *model, const struct call *call)
{
	GArray *idle = idle_of(model, call->host, call->worker);
	struct worker *worker = &model->workers[call->worker];

	model->requests += is_counted(model);
	if (idle_suits(model, idle, call->request.is_repeatable)) {
		g_array_set_size(idle, idle->len - 1);
		return;
	}
	worker->connections++;
	worker->most_connections =
		MAX(worker->most_connections, worker->connections);
	model->connects += is_counted(model);
}

/* Returns a session: a third of the requests share a tenth of them. */
static uint64_t session_pick(struct model *model, int kind)
{
	int few = MAX(model->sessions / 10, 1);
	guint session =
		sim_random(model->sim, 3) == 0
			? sim_random(model->sim, (guint)few)
			: sim_random(model->sim, (guint)model->sessions);

	return (uint64_t)(kind + 1) * 1000000 + session;
}

static void call_begin(struct model *model, int kind_number)
{
	const struct deployment *deployment = model->deployment;
	const struct kind *kind = &deployment->kinds[kind_number];
	guint number = sim_random(model->sim, (guint)deployment->hosts);
	struct call *call = g_new0(struct call, 1);
	/* From a tenth of the mean to ten times that; own tokens vary. */
	double spread = exp((sim_random(model->sim, 1000) / 500.0 - 1) * 1.5);
	static const char *const dcs[DCS] = { "d0", "d1", "d2", "d3" };
	int own = (int)(kind->own * spread * 0.7);
	struct fleet_choice choice;

	call->host = &model->hosts[number];
	call->request = (struct fleet_request){
		.pool = kind->plain_ms ? "plain" : "engines",
		.engine = !kind->plain_ms,
		.is_repeatable = !kind->at_most_once,
		.data_centre = dcs[number % DCS],
		.prompt_tokens = kind->shared + own,
		.parts = { { session_pick(model, kind_number), kind->shared },
			   { 1000000000 + model->parts++, own } },
		.part_count = kind->plain_ms ? 0 : 2,
	};
	model->choosing = call->host;
	choice = fleet_choose(call->host->fleet, &call->request,
			      model->sim->now);
	call->request.prefill_tokens =
		call->request.prompt_tokens - choice.cached_tokens;
	call->at = fleet_worker_ref(choice.worker);
	call->worker = worker_number(choice.worker);
	fleet_begin(choice.worker, &call->request, model->sim->now);
	connection_take(model, call);
	if (kind->plain_ms)
		sim_after(model->sim, kind->plain_ms, call_end, model, call);
	else
		engine_take(model, call, kind);
}

static void kind_next(void *ctx, void *arg)
{
	struct model *model = ctx;
	int kind = GPOINTER_TO_INT(arg);
	double rate = model->deployment->kinds[kind].rate * model->load / 1000;

	/* Those of one ms, of a Poisson process. */
	for (double left = exp(-rate), p = 1;;) {
		p *= (sim_random(model->sim, 1000000) + 1) / 1000001.0;
		if (p <= left)
			break;
		call_begin(model, kind);
	}
	sim_after(model->sim, 1, kind_next, model, arg);
}

static int worker_count(const struct model *model)
{
	return model->deployment->workers + model->deployment->plain;
}

/* Tells all hosts what the others have at each worker. */
static void reports_send(void *ctx, void *arg)
{
	struct model *model = ctx;
	int hosts = model->deployment->hosts;
	double *requests = g_new0(double, worker_count(model));
	double *prompts = g_new0(double, worker_count(model));
	GHashTableIter iter;
	gpointer value;

	for (int i = 0; i < hosts; i++) {
		g_hash_table_iter_init(&iter, model->hosts[i].fleet->workers);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			requests[worker_number(value)] +=
				fleet_own_requests(value);
			prompts[worker_number(value)] +=
				fleet_own_prompts(value);
		}
	}
	for (int i = 0; i < hosts; i++) {
		struct fleet *fleet = model->hosts[i].fleet;

		g_hash_table_iter_init(&iter, fleet->workers);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			const struct fleet_worker *worker = value;
			int number = worker_number(worker);

			fleet_on_peer_requests(
				fleet, worker->key,
				requests[number] - fleet_own_requests(worker));
			fleet_on_peer_prompts(
				fleet, worker->key,
				prompts[number] - fleet_own_prompts(worker));
		}
	}
	g_free(requests);
	g_free(prompts);
	sim_after(model->sim, REPORT_MS, reports_send, model, arg);
}

/* Whether an engine is in the subset of a host, where there are some. */
static bool in_subset(const struct deployment *deployment, int subset, int host,
		      int worker)
{
	int first = host * deployment->workers / deployment->hosts;

	return subset == 0 || worker >= deployment->workers ||
	       (worker - first + deployment->workers) % deployment->workers <
		       subset;
}

static void hosts_create(struct model *model, double connect_ms,
			 unsigned samples, int subset)
{
	const struct deployment *deployment = model->deployment;
	struct fleet options = {
		.params = {
			.prefill_ms = 1 / deployment->prefill,
			.per_running_ms = FLEET_RUNNING_MS,
			.cross_dc_ms = 2,
			.cache_ttl = FLEET_CACHE_TTL_MS,
			.samples = samples,
			.connect_ms = connect_ms,
		},
		.random = model_random,
		.is_connected = is_connected,
		.ctx = model,
	};

	model->hosts = g_new0(struct host, deployment->hosts);
	for (int i = 0; i < deployment->hosts; i++) {
		struct host *host = &model->hosts[i];

		host->fleet = fleet_create(&options);
		host->idle = g_new0(GArray *, worker_count(model));
		for (int j = 0; j < worker_count(model); j++) {
			bool plain = j >= deployment->workers;
			struct fleet_entry entry = {
				.id = g_strdup_printf("w%d", j),
				.pool = g_strdup(plain ? "plain" : "engines"),
				.address = g_strdup_printf("10.0.0.%d:1", j),
				.data_centre = g_strdup_printf("d%d", j % DCS),
				.version = g_strdup("v"),
				.slots = plain ? 6 : 12,
			};

			host->idle[j] =
				g_array_new(FALSE, FALSE, sizeof(clk_ms));
			if (in_subset(deployment, subset, i, j))
				fleet_put(host->fleet, &entry, 1);
			else
				fleet_entry_clear(&entry);
		}
	}
	model->workers = g_new0(struct worker, worker_count(model));
	for (int i = 0; i < worker_count(model); i++)
		model->workers[i].cached = g_hash_table_new(NULL, NULL);
}

struct options {
	const struct deployment *deployment;
	double connect_ms;
	double load;
	int keep_ms;
	int sessions;
	int samples;
	int subset;
	int seed;
};

struct result {
	double connects; /* for each request */
	double again;	 /* of the tokens of shared parts */
	double imbalance;
	int connections; /* most at a worker */
};

/* Runs the model once, and prints the result. */
static struct result play(const struct options *options)
{
	const struct deployment *deployment = options->deployment;
	struct model model = {
		.deployment = deployment,
		.sim = sim_create((guint32)options->seed),
		.keep_ms = options->keep_ms,
		.sessions = options->sessions,
		.load = options->load,
		.first_ms = g_array_new(FALSE, FALSE, sizeof(double)),
	};
	struct result result = { 0 };
	double most = 0;
	double all = 0;

	hosts_create(&model, options->connect_ms, (unsigned)options->samples,
		     options->subset);
	for (int i = 0; i < KINDS; i++)
		kind_next(&model, GINT_TO_POINTER(i));
	reports_send(&model, NULL);
	sim_run(model.sim, WARM_UP_MS + RUN_MS);
	for (int i = 0; i < worker_count(&model); i++) {
		most = MAX(most, model.workers[i].work);
		all += model.workers[i].work;
		result.connections = MAX(result.connections,
					 model.workers[i].most_connections);
	}
	result.connects = (double)model.connects / (double)model.requests;
	result.again = model.shared_prefilled / model.shared_tokens;
	result.imbalance = most / (all / deployment->workers);
	printf("deployment=%s connect_ms=%.0f keep_ms=%d sessions=%d "
	       "samples=%d subset=%d seed=%d load=%.2f "
	       "requests=%" G_GUINT64_FORMAT " connects=%.3f again=%.4f "
	       "imbalance=%.3f connections=%d first_p50=%.1f first_p95=%.1f "
	       "first_p99=%.1f\n",
	       deployment->name, options->connect_ms, options->keep_ms,
	       options->sessions, options->samples, options->subset,
	       options->seed, options->load, model.requests, result.connects,
	       result.again, result.imbalance, result.connections,
	       sim_percentile(model.first_ms, 0.5),
	       sim_percentile(model.first_ms, 0.95),
	       sim_percentile(model.first_ms, 0.99));
	return result;
}

/* Returns how many targets are missed. */
static int check(struct options options)
{
	int missed = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
		struct result before;
		struct result after;

		options.deployment = &deployments[i];
		options.connect_ms = 0;
		before = play(&options);
		options.connect_ms = FLEET_CONNECT_MS;
		after = play(&options);
		missed += after.connects >= CONNECTS_MAX;
		missed += after.again > before.again + AGAIN_CHANCE;
		missed += after.imbalance > IMBALANCE_MAX;
		missed += after.connections > deployments[i].connections;
	}
	printf("sim-connect: %d targets missed\n", missed);
	return missed;
}

int main(int argc, const char **argv)
{
	char *name = NULL;
	int checks = 0;
	struct options set = {
		.deployment = &deployments[0],
		.load = 1,
		.keep_ms = 8900,
		.sessions = 60,
		.samples = SAMPLES,
		.seed = 1,
	};
	struct poptOption options[] = {
		{ "deployment", 0, POPT_ARG_STRING, &name, 0, NULL, NULL },
		{ "connect-ms", 0, POPT_ARG_DOUBLE, &set.connect_ms, 0, NULL,
		  NULL },
		{ "keep-ms", 0, POPT_ARG_INT, &set.keep_ms, 0, NULL, NULL },
		{ "sessions", 0, POPT_ARG_INT, &set.sessions, 0, NULL, NULL },
		{ "samples", 0, POPT_ARG_INT, &set.samples, 0, NULL, NULL },
		{ "subset", 0, POPT_ARG_INT, &set.subset, 0, NULL, NULL },
		{ "seed", 0, POPT_ARG_INT, &set.seed, 0, NULL, NULL },
		{ "load", 0, POPT_ARG_DOUBLE, &set.load, 0, NULL, NULL },
		{ "check", 0, POPT_ARG_NONE, &checks, 0, NULL, NULL },
		POPT_TABLEEND,
	};
	poptContext context =
		poptGetContext("sim-connect", argc, argv, options, 0);

	if (poptGetNextOpt(context) != -1) {
		fprintf(stderr, "sim-connect: invalid option\n");
		return 2;
	}
	if (name && !strcmp(name, "m"))
		set.deployment = &deployments[1];
	if (checks)
		return check(set) > 0;
	play(&set);
	return 0;
}
