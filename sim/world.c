/* A scenario that is played: its set-up, and what hosts tell each other. */
#include "world.h"

#include <string.h>

#define SETTLE_MS 20000 /* after the last request, for those under way */
#define MS_PER_US 0.001
#define FEW_HOSTS 12 /* up to so many, choices look at all workers */
#define FEW_SAMPLES 3
#define RETRY_SHARE 0.2
#define RETRY_BURST 10
#define NAME_MAX_LEN 16

const struct policy policies[] = {
	{ "all", "what rw-proxyd does", SELECT_COST, true, true, true },
	{ "no-shed", "nothing is refused for want of time", SELECT_COST, false,
	  true, true },
	{ "no-sessions", "caches are left out of the choice", SELECT_COST, true,
	  false, true },
	{ "untold", "hosts don't tell each other their load", SELECT_COST, true,
	  true, false },
	{ "least", "the worker with the fewest requests", SELECT_LEAST_REQUESTS,
	  false, false, true },
	{ "random", "any worker", SELECT_RANDOM, false, false, false },
};
const size_t policy_count = G_N_ELEMENTS(policies);

static uint32_t host_random(void *ctx, uint32_t n)
{
	return sim_random(((struct world *)ctx)->sim, n);
}

static void host_free(gpointer data)
{
	struct world_host *host = data;

	/* Workers and their parts are the fleet's, which lives on. */
	g_ptr_array_free(host->quotas, TRUE);
	g_free(host->reported_requests);
	g_free(host->reported_prompts);
	g_free(host);
}

/* Makes the accounts' limits at a host: the first account has the largest
 * part of what is usual. */
static void host_limits(struct world *world, struct world_host *host)
{
	double usual = 0;
	double parts = 0;

	for (guint i = 0; i < world->scenario->loads->len; i++) {
		const struct conf_load *load =
			g_ptr_array_index(world->scenario->loads, i);

		if (!load->service)
			usual += load->rate * (double)(load->head_tokens +
						       load->session_tokens +
						       load->own_tokens +
						       load->answer_tokens);
	}
	for (int64_t i = 0; i < world->conf->accounts; i++)
		parts += 1.0 / (double)(i + 1);
	for (int64_t i = 0; i < world->conf->accounts; i++) {
		struct quota *quota = quota_create();
		double rate = usual / parts / (double)(i + 1) *
			      world->conf->account_limit;

		if (rate > 0)
			quota_set(quota, rate, rate, world->conf->limit_slack,
				  true, 0);
		g_ptr_array_add(host->quotas, quota);
	}
}

static void host_add(struct world *world, int number)
{
	struct world_host *host = g_new0(struct world_host, 1);
	struct retry_options retries = {
		.share = RETRY_SHARE,
		.burst = RETRY_BURST,
	};
	struct fleet options = {
		.params = {
			.prefill_ms = world->conf->prefill_us * MS_PER_US,
			.per_running_ms = FLEET_RUNNING_MS,
			.cross_dc_ms = 2 * world->conf->distance_ms,
			.samples = world->conf->hosts > FEW_HOSTS
					   ? FEW_SAMPLES
					   : 0,
			.cache_ttl = FLEET_CACHE_TTL_MS,
		},
		.random = host_random,
		.ctx = world,
	};

	host->dc = number % (int)world->conf->data_centres;
	g_snprintf(host->dc_name, sizeof(host->dc_name), "dc%d", host->dc);
	host->fleet = fleet_create(&options);
	host->quotas = g_ptr_array_new_with_free_func(g_free);
	retry_budget_init(&host->budget, &retries);
	host_limits(world, host);
	g_ptr_array_add(world->hosts, host);
}

/* Puts a host's figures in place of those that it told before. */
static void tell(struct world *world, struct world_host *host)
{
	guint count = world->workers->len;

	host->reported_requests =
		g_renew(double, host->reported_requests, count);
	host->reported_prompts = g_renew(double, host->reported_prompts, count);
	for (guint i = 0; i < count; i++) {
		const struct world_worker *worker =
			g_ptr_array_index(world->workers, i);
		const struct fleet_worker *known =
			fleet_find(host->fleet, worker->id);

		host->reported_requests[i] = known ? known->inflight : 0;
		host->reported_prompts[i] = known ? known->prompt_tokens : 0;
	}
}

/* Adds up what all hosts told, and tells each host what the others did. */
static void tell_all(void *ctx, void *arg)
{
	struct world *world = ctx;
	guint workers = world->workers->len;
	double *sums = g_new0(double, workers);
	double *prompts = g_new0(double, workers);

	(void)arg;
	for (guint h = 0; h < world->hosts->len; h++) {
		struct world_host *host = g_ptr_array_index(world->hosts, h);

		tell(world, host);
		for (guint i = 0; i < workers; i++) {
			sums[i] += host->reported_requests[i];
			prompts[i] += host->reported_prompts[i];
		}
	}
	for (guint h = 0; h < world->hosts->len && world->policy->shares_load;
	     h++) {
		struct world_host *host = g_ptr_array_index(world->hosts, h);

		for (guint i = 0; i < workers; i++) {
			const struct world_worker *worker =
				g_ptr_array_index(world->workers, i);
			struct fleet_worker *known =
				fleet_find(host->fleet, worker->id);

			if (!known)
				continue;
			fleet_on_peer_requests(
				host->fleet, known->key,
				sums[i] - host->reported_requests[i]);
			fleet_on_peer_prompts(
				host->fleet, known->key,
				prompts[i] - host->reported_prompts[i]);
		}
	}
	g_free(sums);
	g_free(prompts);
	sim_after(world->sim, world->conf->report_ms, tell_all, world, NULL);
}

/* Tells all hosts what each has let through of the limits. */
static void limits_tell(void *ctx, void *arg)
{
	struct world *world = ctx;
	unsigned hosts = world->hosts->len;

	(void)arg;
	for (guint h = 0; h < hosts; h++) {
		const struct world_host *from =
			g_ptr_array_index(world->hosts, h);
		char name[NAME_MAX_LEN];

		g_snprintf(name, sizeof(name), "h%u", h);
		for (guint o = 0; o < hosts; o++) {
			const struct world_host *to =
				g_ptr_array_index(world->hosts, o);

			for (guint a = 0; o != h && a < from->quotas->len; a++)
				quota_on_report(
					g_ptr_array_index(to->quotas, a), name,
					((struct quota *)g_ptr_array_index(
						 from->quotas, a))
						->spent,
					CLK_NEVER / 2, hosts, world->sim->now);
		}
		for (guint a = 0; a < from->quotas->len; a++)
			quota_on_report_sent(
				g_ptr_array_index(from->quotas, a));
	}
	sim_after(world->sim, world->conf->report_ms / 2, limits_tell, world,
		  NULL);
}

/* The sizes and speeds of workers. */
static void kinds_set(struct world *world)
{
	const struct conf_scenario *conf = world->conf;

	world->engine_params = (struct engine_params){
		.slots = (int)conf->slots,
		.queue = (int)conf->queue,
		.step_ms = conf->step_ms,
		.step_slot_ms = conf->step_slot_ms,
		.prefill_ms = conf->prefill_us * MS_PER_US,
		.pair_ms = conf->pair_ms,
		.chunk = (int)conf->chunk,
		.stride = (int)conf->stride,
		.memory = (int)conf->memory,
	};
	world->service_params = (struct engine_params){
		.service = true,
		.slots = (int)conf->service_slots,
		.queue = (int)conf->service_queue,
		.memory = G_MAXINT / 2,
		.stride = 1,
	};
}

static struct world *world_create(const struct scenario *scenario,
				  const struct policy *policy, guint32 seed)
{
	struct world *world = g_new0(struct world, 1);
	int dcs = (int)scenario->conf->data_centres;

	world->sim = sim_create(seed);
	world->scenario = scenario;
	world->conf = scenario->conf;
	world->policy = policy;
	world->result = result_create(scenario);
	world->hosts = g_ptr_array_new_with_free_func(host_free);
	world->workers = g_ptr_array_new_with_free_func(worker_free);
	world->calls = g_ptr_array_new_with_free_func(call_free);
	world->rate_factor = g_new(double, scenario->loads->len);
	world->hot_session_share = g_new0(double, scenario->loads->len);
	for (guint i = 0; i < scenario->loads->len; i++)
		world->rate_factor[i] = 1;
	world->hot_account_factor = 1;
	world->shift_dc = -1;
	world->spot_unavailable_until = g_new0(clk_ms, dcs);
	world->booting = g_new0(int, (gsize)2 * (gsize)dcs);
	kinds_set(world);
	for (int i = 0; i < scenario->conf->hosts; i++)
		host_add(world, i);
	for (int i = 0; i < scenario->conf->workers; i++)
		worker_add(world, i % dcs, false, false);
	for (int i = 0; i < scenario->conf->service_workers; i++)
		worker_add(world, i % dcs, true, false);
	return world;
}

static void world_free(struct world *world)
{
	g_ptr_array_free(world->calls, TRUE);
	g_ptr_array_free(world->workers, TRUE);
	g_ptr_array_free(world->hosts, TRUE);
	g_free(world->rate_factor);
	g_free(world->hot_session_share);
	g_free(world->spot_unavailable_until);
	g_free(world->booting);
	sim_free(world->sim);
	g_free(world);
}

struct result *world_simulate(const struct scenario *scenario,
			      const struct policy *policy, guint32 seed,
			      void (*progress)(clk_ms now))
{
	struct world *world = world_create(scenario, policy, seed);
	struct result *result = world->result;
	clk_ms end = (clk_ms)(scenario->conf->length_s * CLK_SECOND);

	sim_after(world->sim, 1, tell_all, world, NULL);
	if (scenario->conf->account_limit > 0)
		sim_after(world->sim, 1, limits_tell, world, NULL);
	if (scenario->conf->scaled)
		worker_scale_start(world);
	change_start(world);
	call_start(world);
	for (clk_ms at = 0; at < end + SETTLE_MS; at += CLK_SECOND) {
		sim_run(world->sim, at);
		if (progress)
			progress(at);
	}
	call_fail_all(world);
	for (guint i = 0; i < world->workers->len; i++) {
		const struct world_worker *worker =
			g_ptr_array_index(world->workers, i);

		result->prefilled_tokens +=
			engine_prefilled_tokens(worker->engine);
		result->cached_tokens += engine_cached_tokens(worker->engine);
	}
	world_free(world);
	return result;
}
