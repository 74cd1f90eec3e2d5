/* Callers and their requests. */
#include <math.h>
#include <string.h>

#include "../decide/shed.h"
#include "world.h"

#define AGAIN_MS 5     /* between a failure and the next attempt */
#define RETURN_MS 50   /* before a caller whose request failed comes back */
#define WEIGHT_MIN 0.3 /* weight of the smallest request of an engine */
#define WEIGHT_MAX 4   /* and of the largest */
#define HOST_TRIES 8   /* draws for a host of a data centre */
#define EXP_MIN 1e-9

/* A caller's request. */
struct world_call {
	struct world *world;
	const struct conf_load *load;
	guint load_at;
	struct world_host *host;
	guint account;
	struct fleet_request ask;
	int answer_tokens;
	double work_ms;
	double size; /* weight against the mean of its load */
	clk_ms arrived;
	clk_ms deadline;
	int returns; /* that are left to its caller */
	unsigned attempts;
	unsigned number; /* of the attempt, also over returns */
	struct fleet_worker *worker;
	struct engine_run *run;
	GPtrArray *runs; /* all of them: events may name them */
	bool had_first;
	bool ended;
	double first_ms; /* since it arrived; 0: none yet */
};

/* One attempt's events carry its number: they may come late. */
struct world_try {
	struct world_call *call;
	unsigned number;
};

static void call_try(void *ctx, void *arg);

void call_free(gpointer data)
{
	struct world_call *call = data;

	g_ptr_array_free(call->runs, TRUE);
	g_free(call);
}

static double exponential(struct world *world, double mean)
{
	return -log(g_rand_double_range(world->sim->rand, EXP_MIN, 1)) * mean;
}

/* Draws from a log-normal distribution with a mean. */
static double spread(struct world *world, double mean, double sigma)
{
	double a = g_rand_double_range(world->sim->rand, EXP_MIN, 1);
	double b = g_rand_double(world->sim->rand);
	double normal = sqrt(-2 * log(a)) * cos(2 * G_PI * b);

	return mean * exp(sigma * normal - sigma * sigma / 2);
}

/* Lets go of the worker. */
static void call_leave(struct world_call *call)
{
	if (!call->worker)
		return;
	fleet_end(call->worker, &call->ask, call->had_first);
	fleet_worker_unref(call->worker);
	call->worker = NULL;
}

static void call_end(struct world_call *call, enum result_outcome end)
{
	if (call->ended)
		return;
	call->ended = true;
	if (call->run)
		engine_cancel(call->run);
	call->run = NULL;
	call_leave(call);
	result_add(call->world->result, call->load_at, end, call->size,
		   call->arrived, call->first_ms);
}

/* The caller comes back, if it does; else it ends so. */
static void call_return(struct world_call *call, clk_ms after,
			enum result_outcome end)
{
	struct world *world = call->world;

	if (call->returns <= 0 || world->sim->now + after >= call->deadline) {
		call_end(call, end);
		return;
	}
	call->returns--;
	call->attempts = 0;
	sim_after(world->sim, after, call_try, world, call);
}

/* Refuses a request: its caller comes back after a time. */
static void call_refuse(struct world_call *call, clk_ms after)
{
	struct world *world = call->world;

	if (sim_chance(world->sim, (guint)(world->abuse_share * 1000)) &&
	    call->returns > -world->abuse_retries) {
		call->returns--;
		call->attempts = 0;
		sim_after(world->sim, AGAIN_MS, call_try, world, call);
		return;
	}
	call_return(call, after, RESULT_REFUSED);
}

static void on_first(void *ctx)
{
	struct world_call *call = ctx;

	call->had_first = true;
	fleet_first_token(call->worker, &call->ask);
	if (call->first_ms == 0)
		call->first_ms =
			(double)(call->world->sim->now - call->arrived) +
			call->world->conf->caller_ms +
			call->world->conf->distance_ms;
}

/* Goes on elsewhere, if that is allowed; else the request has failed. */
static void call_again(struct world_call *call, bool not_run)
{
	struct world *world = call->world;
	clk_ms now = world->sim->now;

	call->ask.exclude = NULL;
	if ((call->load->repeats || not_run) &&
	    call->attempts < call->load->attempts &&
	    retry_available(&call->host->budget, now)) {
		retry_spend(&call->host->budget);
		sim_after(world->sim, AGAIN_MS, call_try, world, call);
		return;
	}
	if (not_run)
		call_refuse(call, RETURN_MS);
	else
		call_return(call, RETURN_MS, RESULT_FAILED);
}

static void on_end(void *ctx, enum engine_result end)
{
	static const enum fleet_outcome verdicts[] = {
		[ENGINE_COMPLETE] = FLEET_OK,
		[ENGINE_FAILED] = FLEET_ERROR,
		[ENGINE_REFUSED] = FLEET_OK,
		[ENGINE_LOST] = FLEET_NO_RESPONSE,
	};
	struct world_call *call = ctx;
	struct world *world = call->world;
	const struct world_worker *at = worker_lookup(world, call->worker);
	bool in_aim = call->first_ms <= (double)call->load->aim_ms;

	fleet_record_outcome(call->worker, verdicts[end], world->sim->now);
	fleet_on_load(call->worker, (int)engine_running(at->engine),
		      (int)engine_waiting(at->engine), world->sim->now);
	call->run = NULL;
	call_leave(call);
	if (end == ENGINE_COMPLETE)
		call_end(call, in_aim ? RESULT_ON_TIME : RESULT_LATE);
	else
		call_again(call, end == ENGINE_REFUSED);
}

/* A request has come to its worker. */
static void on_arrive(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct world_try *try = arg;
	struct world_call *call = try->call;
	struct engine_run *run;
	bool is_late = call->ended || call->number != try->number;

	g_free(try);
	if (is_late)
		return;
	run = g_new0(struct engine_run, 1);
	*run = (struct engine_run){
		.urgency = (int)call->load->urgency,
		.part_count = call->ask.part_count,
		.prompt_tokens = call->ask.prompt_tokens,
		.output_tokens = call->answer_tokens,
		.work_ms = call->work_ms,
		.on_first = on_first,
		.on_end = on_end,
		.ctx = call,
	};
	memcpy(run->parts, call->ask.parts, sizeof(run->parts));
	g_ptr_array_add(call->runs, run);
	call->run = run;
	engine_submit(worker_lookup(world, call->worker)->engine, run);
}

/* The plain ways to choose. */
static struct fleet_choice choose_plain(struct world_call *call)
{
	struct world *world = call->world;
	const GPtrArray *pool =
		g_hash_table_lookup(call->host->fleet->pools, call->ask.pool);
	struct fleet_choice choice = { .worker = NULL };
	guint from = sim_random(world->sim, pool ? pool->len : 1);
	double least = 0;

	for (guint i = 0; pool && i < pool->len; i++) {
		struct fleet_worker *worker =
			g_ptr_array_index(pool, (from + i) % pool->len);
		double load = worker->inflight + worker->peer_requests;

		if (!fleet_takes_work(worker))
			continue;
		if (!choice.worker ||
		    (world->policy->selection == SELECT_LEAST_REQUESTS &&
		     load < least)) {
			choice.worker = worker;
			least = load;
		}
	}
	return choice;
}

static struct fleet_choice choose(struct world_call *call)
{
	struct world *world = call->world;
	struct fleet_request ask = call->ask;

	if (world->policy->selection != SELECT_COST)
		return choose_plain(call);
	if (!world->policy->cache_aware)
		ask.part_count = 0;
	return fleet_choose(call->host->fleet, &ask, world->sim->now);
}

/* Whether the account's limit lets it through. */
static bool call_allowed(struct world_call *call, clk_ms *come_back)
{
	struct world *world = call->world;
	double units = call->ask.prompt_tokens + call->answer_tokens;

	if (call->load->service || world->conf->account_limit <= 0)
		return true;
	if (quota_take(g_ptr_array_index(call->host->quotas, call->account),
		       units, world->hosts->len, world->sim->now, come_back))
		return true;
	world->result->over_limit++;
	return false;
}

/* Whether it is refused, as it can't be in time. */
static bool call_shed(struct world_call *call,
		      const struct fleet_choice *choice, clk_ms *come_back)
{
	struct shed_request ask = {
		.expected_ms = choice->expected_ms,
		.target = call->load->aim_ms,
		.remaining = call->deadline - call->world->sim->now,
		.urgency = (int)call->load->urgency,
	};

	return call->world->policy->shed && !call->load->service &&
	       shed_refuses(&ask, come_back);
}

/* Notes the work that a request means. */
static void call_demand(struct world_call *call, int cached)
{
	struct world *world = call->world;
	struct scale_engine speed = {
		.prefill_ms = world->engine_params.prefill_ms,
		.step_ms = world->conf->step_ms,
		.step_slot_ms = world->conf->step_slot_ms,
		.slots = (int)world->conf->slots,
	};

	if (!call->load->service)
		world->busy_ms +=
			scale_work_ms(&speed, call->ask.prompt_tokens - cached,
				      call->answer_tokens);
}

/* Sends a request to the worker that is chosen. */
static void call_send(struct world_call *call,
		      const struct fleet_choice *choice)
{
	struct world *world = call->world;
	struct world_try *try = g_new(struct world_try, 1);
	clk_ms way = (clk_ms)ceil(world->conf->distance_ms);

	call->worker = fleet_worker_ref(choice->worker);
	call->ask.prefill_tokens =
		call->ask.prompt_tokens - choice->cached_tokens;
	call->had_first = false;
	fleet_begin(choice->worker, &call->ask, world->sim->now);
	call->number++;
	*try = (struct world_try){ .call = call, .number = call->number };
	sim_after(world->sim, way, on_arrive, world, try);
}

static void call_try(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct world_call *call = arg;
	struct fleet_choice choice;
	clk_ms come_back = RETURN_MS;

	if (call->ended)
		return;
	if (call->attempts == 0 && !call_allowed(call, &come_back)) {
		call_refuse(call, come_back);
		return;
	}
	choice = choose(call);
	if (!choice.worker) {
		call_refuse(call, RETURN_MS);
		return;
	}
	if (call->attempts == 0) {
		call_demand(call, choice.cached_tokens);
		if (call_shed(call, &choice, &come_back)) {
			call_refuse(call, come_back);
			return;
		}
		retry_on_first_attempt(&call->host->budget, world->sim->now);
	}
	call->attempts++;
	world->result->attempts++;
	call_send(call, &choice);
}

static void on_deadline(void *ctx, void *arg)
{
	(void)ctx;
	call_end(arg, RESULT_FAILED);
}

/* The host that a caller uses. */
static struct world_host *pick_host(struct world *world)
{
	guint count = world->hosts->len;
	struct world_host *host =
		g_ptr_array_index(world->hosts, sim_random(world->sim, count));

	if (world->shift_dc < 0 ||
	    !sim_chance(world->sim, (guint)(world->shift_share * 1000)))
		return host;
	for (int i = 0; i < HOST_TRIES && host->dc != world->shift_dc; i++)
		host = g_ptr_array_index(world->hosts,
					 sim_random(world->sim, count));
	return host;
}

/* The first accounts are the largest; a hot one takes the more. */
static guint pick_account(struct world *world)
{
	double all = world->hot_account_factor - 1;
	double at;

	for (int64_t i = 0; i < world->conf->accounts; i++)
		all += 1.0 / (double)(i + 1);
	at = g_rand_double(world->sim->rand) * all;
	for (guint i = 0; i < world->conf->accounts; i++) {
		at -= 1.0 / (double)(i + 1) +
		      (i == 0 ? world->hot_account_factor - 1 : 0);
		if (at <= 0)
			return i;
	}
	return 0;
}

/* Draws the prompt of a request. */
static void draw_prompt(struct world_call *call)
{
	struct world *world = call->world;
	const struct conf_load *load = call->load;
	struct fleet_request *ask = &call->ask;
	guint head = sim_random(world->sim, (guint)load->heads);
	guint session = sim_random(world->sim, (guint)load->sessions);
	int own =
		(int)spread(world, (double)load->own_tokens, load->own_spread);

	if (sim_chance(world->sim,
		       (guint)(world->hot_session_share[call->load_at] * 1000)))
		session = 0;
	own = CLAMP(own, 1, (int)load->own_max);
	if (load->head_tokens > 0)
		ask->parts[ask->part_count++] = (struct fleet_part){
			.id = ((uint64_t)call->load_at << 40) + head + 1,
			.tokens = (int)load->head_tokens,
		};
	if (load->session_tokens > 0)
		ask->parts[ask->part_count++] = (struct fleet_part){
			.id = ((uint64_t)call->load_at << 40) +
			      ((uint64_t)1 << 32) + session + 1,
			.tokens = (int)load->session_tokens,
		};
	ask->parts[ask->part_count++] = (struct fleet_part){
		.id = ((uint64_t)1 << 60) + world->calls->len,
		.tokens = own,
	};
	ask->prompt_tokens =
		(int)(load->head_tokens + load->session_tokens) + own;
	call->answer_tokens =
		CLAMP((int)spread(world, (double)load->answer_tokens,
				  load->answer_spread),
		      1, (int)load->answer_max);
	call->size =
		CLAMP(WEIGHT_MIN + (1 - WEIGHT_MIN) *
					   (ask->prompt_tokens +
					    10.0 * call->answer_tokens) /
					   (double)(load->head_tokens +
						    load->session_tokens +
						    load->own_tokens +
						    10 * load->answer_tokens),
		      WEIGHT_MIN, WEIGHT_MAX);
}

static void call_create(struct world *world, guint load_at)
{
	struct world_call *call = g_new0(struct world_call, 1);

	call->world = world;
	call->load_at = load_at;
	call->load = g_ptr_array_index(world->scenario->loads, load_at);
	call->host = pick_host(world);
	call->account = pick_account(world);
	call->runs = g_ptr_array_new_with_free_func(g_free);
	call->arrived = world->sim->now;
	call->deadline = world->sim->now + call->load->deadline_ms;
	call->returns = (int)call->load->returns;
	call->ask.engine = !call->load->service;
	call->ask.pool = call->load->service ? "service" : "engine";
	call->ask.data_centre = call->host->dc_name;
	call->size = 1;
	call->answer_tokens = 1;
	if (call->load->service)
		call->work_ms = spread(world, call->load->work_ms,
				       call->load->work_spread);
	else
		draw_prompt(call);
	g_ptr_array_add(world->calls, call);
	sim_after(world->sim, call->load->deadline_ms, on_deadline, world,
		  call);
	sim_after(world->sim, (clk_ms)ceil(world->conf->caller_ms), call_try,
		  world, call);
}

/* A load's callers. */
struct source {
	struct world *world;
	guint load_at;
	double at; /* when the next one asks, exactly */
};

static void on_source(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct source *source = arg;
	const struct conf_load *load =
		g_ptr_array_index(world->scenario->loads, source->load_at);
	double wave = 1 + world->conf->swing *
				  sin(2 * G_PI * (double)world->sim->now /
				      CLK_SECOND / world->conf->swing_s);
	double rate = load->rate * wave * world->rate_factor[source->load_at];

	if (world->sim->now >= (clk_ms)(world->conf->length_s * CLK_SECOND)) {
		g_free(source);
		return;
	}
	call_create(world, source->load_at);
	source->at += exponential(world, CLK_SECOND / fmax(rate, EXP_MIN));
	sim_after(world->sim, MAX((clk_ms)source->at - world->sim->now, 0),
		  on_source, world, source);
}

void call_start(struct world *world)
{
	for (guint i = 0; i < world->scenario->loads->len; i++) {
		struct source *source = g_new0(struct source, 1);

		source->world = world;
		source->load_at = i;
		sim_after(world->sim, 1, on_source, world, source);
	}
}

void call_fail_all(struct world *world)
{
	for (guint i = 0; i < world->calls->len; i++)
		call_end(g_ptr_array_index(world->calls, i), RESULT_FAILED);
}
