/*
 * Simulates which workers hosts choose, and the connections that they open for
 * it, at the rates of deployments K and M of docs/HARD-LOAD.md: hosts, engines
 * and the shared parts of prompts, without faults.
 *
 * Usage: sim-connect [--deployment k|m] [--connect-ms N] [--keep-ms N]
 *	[--sessions N] [--seed N] [--load N] [--check]
 */
#include <math.h>
#include <popt.h>
#include <stdio.h>
#include <string.h>

#include "../decide/aggregate.h"
#include "../decide/fleet.h"
#include "../sim/sim.h"

#define KINDS 3
#define DCS 4
#define REPORT_MS 200	 /* between two reports of all hosts */
#define WARM_UP_MS 20000 /* not counted */
#define RUN_MS 60000
#define SAMPLES 3

struct kind {
	double rate; /* a second, of all hosts */
	int shared;
	int own;
	int events;
};

struct deployment {
	const char *name;
	int hosts;
	int workers;
	int connections; /* at a worker at most */
	double prefill;	 /* tokens a ms */
	double event_ms;
	int cache; /* tokens */
	struct kind kinds[KINDS];
};

static const struct deployment deployments[] = {
	{ "k",
	  89,
	  89,
	  650,
	  157,
	  35.5,
	  540396,
	  { { 143, 5382, 6610, 38 },
	    { 106, 198, 628, 29 },
	    { 336, 568, 1800, 2 } } },
	{ "m",
	  75,
	  112,
	  560,
	  61.2,
	  30.3,
	  417120,
	  { { 134, 5382, 6610, 42 },
	    { 164, 198, 628, 32 },
	    { 248, 568, 1800, 3 } } },
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
	int *requests; /* by worker, as last reported */
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

static bool is_connected(void *ctx, const struct fleet_worker *worker,
			 const struct fleet_request *request)
{
	struct model *model = ctx;

	(void)request;
	return idle_of(model, model->choosing, worker_number(worker))->len > 0;
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

static void worker_take(struct model *model, struct call *call,
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
		model->requests++;
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

	if (idle->len > 0) {
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
		.pool = "engines",
		.engine = true,
		.data_centre = dcs[number % DCS],
		.prompt_tokens = kind->shared + own,
		.parts = { { session_pick(model, kind_number), kind->shared },
			   { 1000000000 + model->parts++, own } },
		.part_count = 2,
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
	worker_take(model, call, kind);
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

/* Tells all hosts what the others have at each worker. */
static void reports_send(void *ctx, void *arg)
{
	struct model *model = ctx;
	const struct deployment *deployment = model->deployment;
	double *requests = g_new0(double, deployment->workers);
	double *prompts = g_new0(double, deployment->workers);

	for (int i = 0; i < deployment->hosts; i++) {
		GPtrArray *workers = g_hash_table_lookup(
			model->hosts[i].fleet->pools, "engines");

		for (guint j = 0; j < workers->len; j++) {
			struct fleet_worker *worker =
				g_ptr_array_index(workers, j);

			requests[worker_number(worker)] +=
				fleet_own_requests(worker);
			prompts[worker_number(worker)] +=
				fleet_own_prompts(worker);
		}
	}
	for (int i = 0; i < deployment->hosts; i++) {
		struct fleet *fleet = model->hosts[i].fleet;
		GPtrArray *workers =
			g_hash_table_lookup(fleet->pools, "engines");

		for (guint j = 0; j < workers->len; j++) {
			struct fleet_worker *worker =
				g_ptr_array_index(workers, j);
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

static void hosts_create(struct model *model, double connect_ms,
			 unsigned samples)
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
		host->idle = g_new0(GArray *, deployment->workers);
		for (int j = 0; j < deployment->workers; j++) {
			struct fleet_entry entry = {
				.id = g_strdup_printf("w%d", j),
				.pool = g_strdup("engines"),
				.address = g_strdup_printf("10.0.0.%d:1", j),
				.data_centre = g_strdup_printf("d%d", j % DCS),
				.version = g_strdup("v"),
				.slots = 12,
			};

			host->idle[j] =
				g_array_new(FALSE, FALSE, sizeof(clk_ms));
			fleet_put(host->fleet, &entry, 1);
		}
	}
	model->workers = g_new0(struct worker, deployment->workers);
	for (int i = 0; i < deployment->workers; i++)
		model->workers[i].cached = g_hash_table_new(NULL, NULL);
}

int main(int argc, const char **argv)
{
	char *name = NULL;
	double connect_ms = 0;
	int keep_ms = 8900;
	int sessions = 100;
	int samples = SAMPLES;
	int seed = 1;
	double load = 1;
	struct poptOption options[] = {
		{ "deployment", 0, POPT_ARG_STRING, &name, 0, NULL, NULL },
		{ "connect-ms", 0, POPT_ARG_DOUBLE, &connect_ms, 0, NULL,
		  NULL },
		{ "keep-ms", 0, POPT_ARG_INT, &keep_ms, 0, NULL, NULL },
		{ "sessions", 0, POPT_ARG_INT, &sessions, 0, NULL, NULL },
		{ "samples", 0, POPT_ARG_INT, &samples, 0, NULL, NULL },
		{ "seed", 0, POPT_ARG_INT, &seed, 0, NULL, NULL },
		{ "load", 0, POPT_ARG_DOUBLE, &load, 0, NULL, NULL },
		POPT_TABLEEND,
	};
	poptContext context =
		poptGetContext("sim-connect", argc, argv, options, 0);
	struct model model = { .deployment = &deployments[0] };
	double most = 0;
	double all = 0;
	int connections = 0;

	if (poptGetNextOpt(context) != -1)
		return 2;
	if (name && !strcmp(name, "m"))
		model.deployment = &deployments[1];
	model.sim = sim_create((guint32)seed);
	model.keep_ms = keep_ms;
	model.sessions = sessions;
	model.load = load;
	model.first_ms = g_array_new(FALSE, FALSE, sizeof(double));
	hosts_create(&model, connect_ms, (unsigned)samples);
	for (int i = 0; i < KINDS; i++)
		kind_next(&model, GINT_TO_POINTER(i));
	reports_send(&model, NULL);
	sim_run(model.sim, WARM_UP_MS + RUN_MS);
	for (int i = 0; i < model.deployment->workers; i++) {
		most = MAX(most, model.workers[i].work);
		all += model.workers[i].work;
		connections =
			MAX(connections, model.workers[i].most_connections);
	}
	printf("deployment=%s connect_ms=%.0f keep_ms=%d sessions=%d load=%.2f "
	       "requests=%" G_GUINT64_FORMAT " connects=%.3f again=%.4f "
	       "imbalance=%.3f connections=%d first_p50=%.1f first_p95=%.1f "
	       "first_p99=%.1f\n",
	       model.deployment->name, connect_ms, keep_ms, sessions, load,
	       model.requests, (double)model.connects / (double)model.requests,
	       model.shared_prefilled / model.shared_tokens,
	       most / (all / model.deployment->workers), connections,
	       sim_percentile(model.first_ms, 0.5),
	       sim_percentile(model.first_ms, 0.95),
	       sim_percentile(model.first_ms, 0.99));
	return 0;
}
