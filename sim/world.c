/* Set-up of a simulated deployment, and the reports between its hosts. */
#include "world.h"

#include <string.h>

#define DRAIN_MS 20000 /* after the last arrival, for open requests */
#define MS_PER_US 0.001
/* With more hosts, each choice compares only a sample of the workers. */
#define FULL_SCAN_MAX_HOSTS 12
#define SAMPLE_COUNT 3 /* workers of the sample */
#define RETRY_SHARE 0.2
#define RETRY_BURST 10
#define HOST_NAME_SIZE 16

const struct policy policies[] = {
	{ "all", "all decisions of rw-proxyd", SELECT_COST, true, true, true,
	  true },
	{ "no-shed", "no load shedding", SELECT_COST, false, true, true, true },
	{ "no-sessions", "selection ignores prompt caches", SELECT_COST, true,
	  false, true, true },
	{ "untold", "hosts do not report their load to each other", SELECT_COST,
	  true, true, false, true },
	{ "unmeasured", "the speed of workers is as expected", SELECT_COST,
	  true, true, true, false },
	{ "least", "the worker with the fewest requests", SELECT_LEAST_REQUESTS,
	  false, false, true, false },
	{ "random", "a random worker", SELECT_RANDOM, false, false, false,
	  false },
};
const size_t policy_count = G_N_ELEMENTS(policies);

static uint32_t host_random(void *ctx, uint32_t n)
{
	return sim_random(((struct world *)ctx)->sim, n);
}

static void host_free(gpointer data)
{
	struct world_host *host = data;

	/* Workers and their cached parts belong to the fleet, which is not
	 * freed. */
	g_ptr_array_free(host->quotas, TRUE);
	g_free(host->reported_requests);
	g_free(host->reported_prompts);
	g_free(host);
}

/* Creates the rate limits of the accounts at a host. The usual token rate,
 * times account_limit, is divided among the accounts like their requests: in
 * proportion to 1/n for the nth one. */
static void host_create_quotas(struct world *world, struct world_host *host)
{
	double usual_rate = 0;
	double weights = 0;

	for (guint i = 0; i < world->scenario->loads->len; i++) {
		const struct conf_load *load =
			g_ptr_array_index(world->scenario->loads, i);

		if (!load->service)
			usual_rate +=
				load->rate * (double)(load->head_tokens +
						      load->session_tokens +
						      load->own_tokens +
						      load->answer_tokens);
	}
	for (int64_t i = 0; i < world->conf->accounts; i++)
		weights += 1.0 / (double)(i + 1);
	for (int64_t i = 0; i < world->conf->accounts; i++) {
		struct quota *quota = quota_create();
		double rate = usual_rate / weights / (double)(i + 1) *
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
			.prefill_ms = world->expected_ms,
			.per_running_ms = FLEET_RUNNING_MS,
			.running_share = world->conf->step_slot_ms /
					 world->conf->step_ms,
			.cross_dc_ms = 2 * world->conf->distance_ms,
			.samples = world->conf->hosts > FULL_SCAN_MAX_HOSTS
					   ? SAMPLE_COUNT
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
	host_create_quotas(world, host);
	g_ptr_array_add(world->hosts, host);
}

/* Replaces the load report of a host by its current figures. */
static void load_collect(struct world *world, struct world_host *host)
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

/* Gives each host what the others have seen of the speed of one worker. */
static void speed_exchange(struct world *world,
			   const struct world_worker *worker)
{
	double weight = 0;
	double sum = 0;

	for (int pass = 0; pass < 2; pass++)
		for (guint h = 0; h < world->hosts->len; h++) {
			struct world_host *host =
				g_ptr_array_index(world->hosts, h);
			struct fleet_worker *known =
				fleet_find(host->fleet, worker->id);

			if (!known)
				continue;
			if (pass == 0) {
				fleet_speed_fade(known, world->sim->now);
				weight += known->speed.weight;
				sum += known->speed.sum;
				continue;
			}
			fleet_on_peer_speed_weight(host->fleet, known->key,
						   weight -
							   known->speed.weight);
			fleet_on_peer_speed_sum(host->fleet, known->key,
						sum - known->speed.sum);
		}
}

static void speeds_exchange(struct world *world)
{
	for (guint i = 0; i < world->workers->len; i++)
		speed_exchange(world, g_ptr_array_index(world->workers, i));
	for (guint h = 0; h < world->hosts->len; h++) {
		struct world_host *host = g_ptr_array_index(world->hosts, h);

		fleet_speeds_update(host->fleet, world->sim->now);
	}
}

/* Collects the load reports of all hosts, and gives each host the aggregated
 * reports of its peers. */
static void load_exchange(void *ctx, void *arg)
{
	struct world *world = ctx;
	guint workers = world->workers->len;
	double *requests = g_new0(double, workers);
	double *prompts = g_new0(double, workers);

	(void)arg;
	for (guint h = 0; h < world->hosts->len; h++) {
		struct world_host *host = g_ptr_array_index(world->hosts, h);

		load_collect(world, host);
		for (guint i = 0; i < workers; i++) {
			requests[i] += host->reported_requests[i];
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
				requests[i] - host->reported_requests[i]);
			fleet_on_peer_prompts(
				host->fleet, known->key,
				prompts[i] - host->reported_prompts[i]);
		}
	}
	g_free(requests);
	g_free(prompts);
	if (world->policy->measures)
		speeds_exchange(world);
	sim_after(world->sim, world->conf->report_ms, load_exchange, world,
		  NULL);
}

/* Sends the spending of each host under the rate limits to all others. */
static void quotas_exchange(void *ctx, void *arg)
{
	struct world *world = ctx;
	unsigned hosts = world->hosts->len;

	(void)arg;
	for (guint h = 0; h < hosts; h++) {
		const struct world_host *from =
			g_ptr_array_index(world->hosts, h);
		char name[HOST_NAME_SIZE];

		g_snprintf(name, sizeof(name), "h%u", h);
		for (guint p = 0; p < hosts; p++) {
			const struct world_host *to =
				g_ptr_array_index(world->hosts, p);

			for (guint a = 0; p != h && a < from->quotas->len; a++)
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
	sim_after(world->sim, world->conf->report_ms / 2, quotas_exchange,
		  world, NULL);
}

/* Sets the capacity and speed of engines and services. */
static void params_init(struct world *world)
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
	params_init(world);
	world->expected_ms = scenario->conf->expected_us > 0
				     ? scenario->conf->expected_us * MS_PER_US
				     : world->engine_params.prefill_ms;
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

	sim_after(world->sim, 1, load_exchange, world, NULL);
	if (scenario->conf->account_limit > 0)
		sim_after(world->sim, 1, quotas_exchange, world, NULL);
	if (scenario->conf->scaled)
		worker_scale_start(world);
	change_start(world);
	call_start(world);
	for (clk_ms at = 0; at < end + DRAIN_MS; at += CLK_SECOND) {
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
