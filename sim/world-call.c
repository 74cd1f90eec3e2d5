/* Callers and their requests: arrival, limits, selection, attempts, retries. */
#include <math.h>
#include <string.h>

#include "../decide/shed.h"
#include "world.h"

#define RETRY_DELAY_MS 5  /* before the next attempt */
#define RETRY_AFTER_MS 50 /* before a caller retries a failed request */
#define WEIGHT_MIN 0.3	  /* least weight of a request to an engine */
#define WEIGHT_MAX 4	  /* greatest weight */
#define HOST_DRAWS 8	  /* random draws to find a host of a data centre */
#define EXP_MIN 1e-9
#define INTERVAL_EVENTS 6 /* at least, of a stream that shows the speed */

/* A request of a caller, with all its attempts. */
struct world_call {
	struct world *world;
	const struct conf_load *load;
	guint load_index;
	struct world_host *host;
	guint account;
	struct fleet_request request;
	int answer_tokens;
	double work_ms;
	double weight; /* relative to the mean of its load */
	clk_ms arrived;
	clk_ms deadline;
	int caller_retries;	 /* remaining retries by the caller; below 0:
				  * retries of an abusive one */
	unsigned attempts;	 /* since the last retry by the caller */
	unsigned attempt_number; /* not reset by retries of the caller */
	struct fleet_worker *worker;
	struct engine_run *run;
	GPtrArray *runs; /* struct engine_run: all of them, as scheduled
			  * events may point to them */
	bool had_first;
	clk_ms sent_at;	 /* of the attempt */
	clk_ms first_at; /* its first event */
	bool ended;
	double first_ms; /* from arrival to first event; 0: none yet */
};

/* An attempt on its way to the worker. Its number shows whether it is still
 * the current one when it arrives. */
struct world_attempt {
	struct world_call *call;
	unsigned number;
};

static void call_attempt(void *ctx, void *arg);

void call_free(gpointer data)
{
	struct world_call *call = data;

	g_ptr_array_free(call->runs, TRUE);
	g_free(call);
}

static double draw_exponential(struct world *world, double mean)
{
	return -log(g_rand_double_range(world->sim->rand, EXP_MIN, 1)) * mean;
}

/* Draws from a log-normal distribution, given its mean. */
static double draw_lognormal(struct world *world, double mean, double sigma)
{
	double a = g_rand_double_range(world->sim->rand, EXP_MIN, 1);
	double b = g_rand_double(world->sim->rand);
	double normal = sqrt(-2 * log(a)) * cos(2 * G_PI * b);

	return mean * exp(sigma * normal - sigma * sigma / 2);
}

/* Ends the use of the worker of the current attempt. */
static void call_release_worker(struct world_call *call)
{
	if (!call->worker)
		return;
	fleet_end(call->worker, &call->request, call->had_first);
	fleet_worker_unref(call->worker);
	call->worker = NULL;
}

static void call_end(struct world_call *call, enum result_outcome outcome)
{
	if (call->ended)
		return;
	call->ended = true;
	if (call->run)
		engine_cancel(call->run);
	call->run = NULL;
	call_release_worker(call);
	result_add(call->world->result, call->load_index, outcome, call->weight,
		   call->arrived, call->first_ms);
}

/* Schedules a retry by the caller, or ends the request with an outcome if the
 * caller has no retries or no time left. */
static void call_retry_after(struct world_call *call, clk_ms delay,
			     enum result_outcome outcome)
{
	struct world *world = call->world;

	if (call->caller_retries <= 0 ||
	    world->sim->now + delay >= call->deadline) {
		call_end(call, outcome);
		return;
	}
	call->caller_retries--;
	call->attempts = 0;
	sim_after(world->sim, delay, call_attempt, world, call);
}

/* Refuses a request with a retry-after time. An abusive caller ignores it and
 * retries at once. */
static void call_refuse(struct world_call *call, clk_ms delay)
{
	struct world *world = call->world;

	if (sim_chance(world->sim, (guint)(world->abuse_share * 1000)) &&
	    call->caller_retries > -world->abuse_retries) {
		call->caller_retries--;
		call->attempts = 0;
		sim_after(world->sim, RETRY_DELAY_MS, call_attempt, world,
			  call);
		return;
	}
	call_retry_after(call, delay, RESULT_REFUSED);
}

static void on_first(void *ctx)
{
	struct world_call *call = ctx;

	call->had_first = true;
	fleet_first_token(call->worker, &call->request);
	call->first_at = call->world->sim->now;
	if (call->world->policy->measures && call->request.shows_speed)
		fleet_on_first_event(
			call->host->fleet, call->worker, &call->request,
			call->first_at - call->sent_at, call->first_at);
	if (call->first_ms == 0)
		call->first_ms =
			(double)(call->world->sim->now - call->arrived) +
			call->world->conf->caller_ms +
			call->world->conf->distance_ms;
}

/* Retries a failed attempt if it was not run or is idempotent, and if attempts
 * and the retry budget permit; else reports the failure to the caller. */
static void call_retry(struct world_call *call, bool not_run)
{
	struct world *world = call->world;
	clk_ms now = world->sim->now;

	call->request.exclude = NULL;
	if ((call->load->repeats || not_run) &&
	    call->attempts < call->load->attempts &&
	    retry_available(&call->host->budget, now)) {
		retry_spend(&call->host->budget);
		sim_after(world->sim, RETRY_DELAY_MS, call_attempt, world,
			  call);
		return;
	}
	if (not_run)
		call_refuse(call, RETRY_AFTER_MS);
	else
		call_retry_after(call, RETRY_AFTER_MS, RESULT_FAILED);
}

/* Notes the time between the events of a stream that has ended. */
static void interval_note(struct world_call *call)
{
	struct world *world = call->world;
	int events = call->answer_tokens / (int)world->conf->stride - 1;

	if (world->policy->measures && call->had_first &&
	    !call->load->service && events >= INTERVAL_EVENTS)
		fleet_on_interval(call->host->fleet, call->worker,
				  (double)(world->sim->now - call->first_at) /
					  events,
				  world->sim->now);
}

static void on_end(void *ctx, enum engine_result result)
{
	static const enum fleet_outcome outcomes[] = {
		[ENGINE_COMPLETE] = FLEET_OK,
		[ENGINE_FAILED] = FLEET_ERROR,
		[ENGINE_REFUSED] = FLEET_OK,
		[ENGINE_LOST] = FLEET_NO_RESPONSE,
	};
	struct world_call *call = ctx;
	struct world *world = call->world;
	const struct world_worker *worker = worker_lookup(world, call->worker);
	bool on_time = call->first_ms <= (double)call->load->aim_ms;

	fleet_record_outcome(call->worker, outcomes[result], world->sim->now);
	fleet_on_load(call->worker, (int)engine_running(worker->engine),
		      (int)engine_waiting(worker->engine), world->sim->now);
	call->run = NULL;
	if (result == ENGINE_COMPLETE)
		interval_note(call);
	call_release_worker(call);
	if (result == ENGINE_COMPLETE)
		call_end(call, on_time ? RESULT_ON_TIME : RESULT_LATE);
	else
		call_retry(call, result == ENGINE_REFUSED);
}

/* An attempt has arrived at its worker. */
static void on_arrive(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct world_attempt *attempt = arg;
	struct world_call *call = attempt->call;
	struct engine_run *run;
	bool is_stale = call->ended || call->attempt_number != attempt->number;

	g_free(attempt);
	if (is_stale)
		return;
	run = g_new0(struct engine_run, 1);
	*run = (struct engine_run){
		.urgency = (int)call->load->urgency,
		.part_count = call->request.part_count,
		.prompt_tokens = call->request.prompt_tokens,
		.output_tokens = call->answer_tokens,
		.work_ms = call->work_ms,
		.on_first = on_first,
		.on_end = on_end,
		.ctx = call,
	};
	memcpy(run->parts, call->request.parts, sizeof(run->parts));
	g_ptr_array_add(call->runs, run);
	call->run = run;
	engine_submit(worker_lookup(world, call->worker)->engine, run);
}

/* Selects a worker by one of the baseline policies. */
static struct fleet_choice choose_baseline(struct world_call *call)
{
	struct world *world = call->world;
	const GPtrArray *pool = g_hash_table_lookup(call->host->fleet->pools,
						    call->request.pool);
	struct fleet_choice choice = { .worker = NULL };
	guint start = sim_random(world->sim, pool ? pool->len : 1);
	double least = 0;

	for (guint i = 0; pool && i < pool->len; i++) {
		struct fleet_worker *worker =
			g_ptr_array_index(pool, (start + i) % pool->len);
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

static struct fleet_choice choose_worker(struct world_call *call)
{
	struct world *world = call->world;
	struct fleet_request request = call->request;

	if (world->policy->selection != SELECT_COST)
		return choose_baseline(call);
	if (!world->policy->cache_aware)
		request.part_count = 0;
	return fleet_choose(call->host->fleet, &request, world->sim->now);
}

#define CHANCES 1000000 /* random numbers of quota_request */

/* Takes the tokens of a request from the account's limit; returns false if it
 * is exceeded. */
static bool call_within_limit(struct world_call *call, clk_ms *retry_after)
{
	struct world *world = call->world;
	struct quota_refusal refusal;
	struct quota_request request = {
		.units = call->request.prompt_tokens + call->answer_tokens,
		.rank = (int)call->load->urgency,
		.hosts = world->hosts->len,
		.time_left = call->deadline - world->sim->now,
	};

	if (call->load->service || world->conf->account_limit <= 0)
		return true;
	request.chance = sim_random(world->sim, CHANCES) / (double)CHANCES;
	if (quota_take(g_ptr_array_index(call->host->quotas, call->account),
		       &request, world->sim->now, &refusal))
		return true;
	*retry_after = refusal.retry_after;
	world->result->over_limit++;
	return false;
}

/* Whether load shedding refuses the request. */
static bool call_is_shed(struct world_call *call,
			 const struct fleet_choice *choice, clk_ms *retry_after)
{
	struct shed_request request = {
		.expected_ms = choice->expected_ms,
		.target = call->load->aim_ms,
		.remaining = call->deadline - call->world->sim->now,
		.urgency = (int)call->load->urgency,
	};

	return call->world->policy->shed && !call->load->service &&
	       shed_refuses(&request, retry_after);
}

/* Adds the work of a request to the demand that scaling plans for. */
static void call_add_demand(struct world_call *call, int cached)
{
	struct world *world = call->world;
	struct fleet *fleet = call->host->fleet;
	const char *pool = call->request.pool;
	struct scale_engine engine = {
		.step_ms = world->conf->step_ms,
		.step_slot_ms = world->conf->step_slot_ms,
		.slots = (int)world->conf->slots,
	};

	if (!call->load->service)
		world->busy_ms +=
			speed_work_ms(fleet_speed(fleet, pool),
				      call->request.prompt_tokens - cached,
				      cached) *
				fleet_speed_mix(fleet, pool) +
			scale_work_ms(&engine, 0, call->answer_tokens);
}

/* Sends an attempt to the chosen worker. */
static void call_send(struct world_call *call,
		      const struct fleet_choice *choice)
{
	struct world *world = call->world;
	struct world_attempt *attempt = g_new(struct world_attempt, 1);
	clk_ms delay = (clk_ms)ceil(world->conf->distance_ms);

	call->worker = fleet_worker_ref(choice->worker);
	call->request.prefill_tokens =
		call->request.prompt_tokens - choice->cached_tokens;
	call->had_first = false;
	call->sent_at = world->sim->now;
	call->request.shows_speed =
		fleet_shows_speed(choice->worker, &call->request);
	fleet_begin(choice->worker, &call->request, world->sim->now);
	call->attempt_number++;
	*attempt = (struct world_attempt){ .call = call,
					   .number = call->attempt_number };
	sim_after(world->sim, delay, on_arrive, world, attempt);
}

static void call_attempt(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct world_call *call = arg;
	struct fleet_choice choice;
	clk_ms retry_after = RETRY_AFTER_MS;

	if (call->ended)
		return;
	if (call->attempts == 0 && !call_within_limit(call, &retry_after)) {
		call_refuse(call, retry_after);
		return;
	}
	choice = choose_worker(call);
	if (!choice.worker) {
		call_refuse(call, RETRY_AFTER_MS);
		return;
	}
	if (call->attempts == 0) {
		call_add_demand(call, choice.cached_tokens);
		if (call_is_shed(call, &choice, &retry_after)) {
			call_refuse(call, retry_after);
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

/* Picks a random host for a caller. During a shift, some callers use a host of
 * the target data centre. */
static struct world_host *pick_host(struct world *world)
{
	guint count = world->hosts->len;
	struct world_host *host =
		g_ptr_array_index(world->hosts, sim_random(world->sim, count));

	if (world->shift_dc < 0 ||
	    !sim_chance(world->sim, (guint)(world->shift_share * 1000)))
		return host;
	for (int i = 0; i < HOST_DRAWS && host->dc != world->shift_dc; i++)
		host = g_ptr_array_index(world->hosts,
					 sim_random(world->sim, count));
	return host;
}

/* Draws an account: the nth one has a weight of 1/n. While an account is hot,
 * the first one has additional weight. */
static guint pick_account(struct world *world)
{
	double total = world->hot_account_factor - 1;
	double point;

	for (int64_t i = 0; i < world->conf->accounts; i++)
		total += 1.0 / (double)(i + 1);
	point = g_rand_double(world->sim->rand) * total;
	for (guint i = 0; i < world->conf->accounts; i++) {
		point -= 1.0 / (double)(i + 1) +
			 (i == 0 ? world->hot_account_factor - 1 : 0);
		if (point <= 0)
			return i;
	}
	return 0;
}

/* Draws the prompt and the response length of a request to an engine. */
static void draw_prompt(struct world_call *call)
{
	struct world *world = call->world;
	const struct conf_load *load = call->load;
	struct fleet_request *request = &call->request;
	guint head = sim_random(world->sim, (guint)load->heads);
	guint session = sim_random(world->sim, (guint)load->sessions);
	int own = (int)draw_lognormal(world, (double)load->own_tokens,
				      load->own_spread);

	if (sim_chance(
		    world->sim,
		    (guint)(world->hot_session_share[call->load_index] * 1000)))
		session = 0;
	own = CLAMP(own, 1, (int)load->own_max);
	if (load->head_tokens > 0)
		request->parts[request->part_count++] = (struct fleet_part){
			.id = ((uint64_t)call->load_index << 40) + head + 1,
			.tokens = (int)load->head_tokens,
		};
	if (load->session_tokens > 0)
		request->parts[request->part_count++] = (struct fleet_part){
			.id = ((uint64_t)call->load_index << 40) +
			      ((uint64_t)1 << 32) + session + 1,
			.tokens = (int)load->session_tokens,
		};
	request->parts[request->part_count++] = (struct fleet_part){
		.id = ((uint64_t)1 << 60) + world->calls->len,
		.tokens = own,
	};
	request->prompt_tokens =
		(int)(load->head_tokens + load->session_tokens) + own;
	call->answer_tokens =
		CLAMP((int)draw_lognormal(world, (double)load->answer_tokens,
					  load->answer_spread),
		      1, (int)load->answer_max);
	call->weight =
		CLAMP(WEIGHT_MIN + (1 - WEIGHT_MIN) *
					   (request->prompt_tokens +
					    10.0 * call->answer_tokens) /
					   (double)(load->head_tokens +
						    load->session_tokens +
						    load->own_tokens +
						    10 * load->answer_tokens),
		      WEIGHT_MIN, WEIGHT_MAX);
}

static void call_create(struct world *world, guint load_index)
{
	struct world_call *call = g_new0(struct world_call, 1);

	call->world = world;
	call->load_index = load_index;
	call->load = g_ptr_array_index(world->scenario->loads, load_index);
	call->host = pick_host(world);
	call->account = pick_account(world);
	call->runs = g_ptr_array_new_with_free_func(g_free);
	call->arrived = world->sim->now;
	call->deadline = world->sim->now + call->load->deadline_ms;
	call->caller_retries = (int)call->load->returns;
	call->request.engine = !call->load->service;
	call->request.pool = call->load->service ? "service" : "engine";
	call->request.data_centre = call->host->dc_name;
	call->weight = 1;
	call->answer_tokens = 1;
	if (call->load->service)
		call->work_ms = draw_lognormal(world, call->load->work_ms,
					       call->load->work_spread);
	else
		draw_prompt(call);
	g_ptr_array_add(world->calls, call);
	sim_after(world->sim, call->load->deadline_ms, on_deadline, world,
		  call);
	sim_after(world->sim, (clk_ms)ceil(world->conf->caller_ms),
		  call_attempt, world, call);
}

/* Generates the requests of a load. */
struct generator {
	struct world *world;
	guint load_index;
	double next_at; /* next arrival, not rounded */
};

static void on_arrival(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct generator *generator = arg;
	const struct conf_load *load = g_ptr_array_index(world->scenario->loads,
							 generator->load_index);
	double swing = 1 + world->conf->swing *
				   sin(2 * G_PI * (double)world->sim->now /
				       CLK_SECOND / world->conf->swing_s);
	double rate =
		load->rate * swing * world->rate_factor[generator->load_index];

	if (world->sim->now >= (clk_ms)(world->conf->length_s * CLK_SECOND)) {
		g_free(generator);
		return;
	}
	call_create(world, generator->load_index);
	generator->next_at +=
		draw_exponential(world, CLK_SECOND / fmax(rate, EXP_MIN));
	sim_after(world->sim,
		  MAX((clk_ms)generator->next_at - world->sim->now, 0),
		  on_arrival, world, generator);
}

void call_start(struct world *world)
{
	for (guint i = 0; i < world->scenario->loads->len; i++) {
		struct generator *generator = g_new0(struct generator, 1);

		generator->world = world;
		generator->load_index = i;
		sim_after(world->sim, 1, on_arrival, world, generator);
	}
}

void call_fail_all(struct world *world)
{
	for (guint i = 0; i < world->calls->len; i++)
		call_end(g_ptr_array_index(world->calls, i), RESULT_FAILED);
}
