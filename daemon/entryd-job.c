/* Queueing, dispatch, retries and the end of requests. */
#include "entryd.h"

#include <string.h>
#include <xxhash.h>

#define PREFIX_MAX_BYTES 256 /* of a prompt, hashed for routing */
#define BYTES_PER_TOKEN 4    /* of a prompt, estimated */
#define DEFAULT_MAX_TOKENS 16
#define SERVICE_CALL_TOKENS 50 /* assumed for any service call */
#define RETRY_SHARE 0.04
#define RETRY_BURST 1.0
#define RETRY_DENIED_MS 300 /* at least, before a denied retry asks again */
#define RETRY_BASE_MS 50
#define RETRY_MAX_BACKOFF_MS 1000
#define RETRY_MAX_ATTEMPTS 1000 /* the deadline ends them first */
#define RESUME_TIME_MS 60000	/* after the last chunk of a begun answer */

struct pool *pool_get(struct entryd *entryd, const char *name)
{
	struct pool *pool = g_hash_table_lookup(entryd->pools, name);
	struct retry_options options = {
		.share = RETRY_SHARE,
		.burst = RETRY_BURST,
		.backoff_base = RETRY_BASE_MS,
		.backoff_max = RETRY_MAX_BACKOFF_MS,
		.max_attempts = RETRY_MAX_ATTEMPTS,
	};

	if (pool)
		return pool;
	pool = g_new0(struct pool, 1);
	pool->name = g_strdup(name);
	pool->queue = admit_queue_create((guint)entryd->conf->queue_max);
	retry_budget_init(&pool->budget, &options);
	g_hash_table_insert(entryd->pools, pool->name, pool);
	return pool;
}

struct admit_pool pool_state(struct entryd *entryd, const struct pool *pool)
{
	return (struct admit_pool){
		.slots = router_max_inflight(entryd->router, pool->name,
					     entryd_now(entryd)),
		.capacity = router_capacity(entryd->router, pool->name,
					    entryd_now(entryd)),
		.service_ms = router_service_ms(entryd->router, pool->name),
	};
}

/* Returns the properties of a job that matter for routing. */
static struct route_request job_route_request(const struct job *job)
{
	return (struct route_request){
		.pool = job->pool->name,
		.data_centre = job->entryd->conf->data_centre,
		.prefix = job->prefix_hash,
		.prompt_tokens = job->prompt_tokens,
		.remaining_tokens = job->max_tokens,
		.exclude = job->failed_upstream,
	};
}

struct upstream *job_choose_upstream(struct job *job)
{
	struct route_request request = job_route_request(job);
	clk_ms now = entryd_now(job->entryd);
	struct upstream *upstream =
		router_choose(job->entryd->router, &request, now);

	if (upstream || !job->failed_upstream)
		return upstream;
	/* No other upstream accepts work: retry the one that failed. */
	request.exclude = NULL;
	return router_choose(job->entryd->router, &request, now);
}

void job_route_begin(struct job *job, struct upstream *upstream)
{
	struct route_request request = job_route_request(job);

	router_begin(job->entryd->router, upstream, &request,
		     entryd_now(job->entryd));
}

/* Fills the fields of a completion; returns false if there is no such model. */
static bool job_fill_completion(struct job *job, const struct req_attrs *attrs)
{
	const struct conf_model *conf = conf_find_setting(
		job->entryd, CONF_MODEL, job->team, attrs->target);
	gsize len = 0;
	const char *ptr =
		attrs->body ? g_bytes_get_data(attrs->body, &len) : "{}";
	struct json_object *body;

	if (!conf)
		return false;
	body = json_parse_object(ptr, len);
	job->pool = pool_get(job->entryd, conf->pool);
	job->prompt = g_strdup(body ? json_text(body, "prompt", "") : "");
	job->max_tokens = (int)MIN(
		body ? json_int(body, "max_tokens", DEFAULT_MAX_TOKENS) : 1,
		conf->max_tokens);
	job->max_tokens = MAX(job->max_tokens, 1);
	job->prompt_tokens = (int)(strlen(job->prompt) / BYTES_PER_TOKEN);
	job->prefix_hash = XXH64(job->prompt,
				 MIN(strlen(job->prompt), PREFIX_MAX_BYTES), 0);
	job->priority = (int)conf->priority;
	job->batch = conf->batch;
	job->deadline_ms = conf->deadline_ms;
	job->timeout_ms = conf->idle_ms;
	json_object_put(body);
	return true;
}

/* Fills the fields of a service call; returns false if there is no such
 * route. */
static bool job_fill_service_call(struct job *job,
				  const struct req_attrs *attrs)
{
	const struct conf_route *conf = conf_find_setting(
		job->entryd, CONF_ROUTE, job->team, attrs->target);

	if (!conf)
		return false;
	job->pool = pool_get(job->entryd, conf->pool);
	job->priority = (int)conf->priority;
	job->fencing = conf->fencing;
	job->deadline_ms = conf->deadline_ms;
	job->timeout_ms = conf->timeout_ms;
	job->not_run_status = (int)conf->not_run_status;
	job->path = g_strdup(conf->path);
	job->status_path = g_strdup(conf->status_path);
	job->prompt_tokens = SERVICE_CALL_TOKENS;
	return true;
}

struct job *job_create(struct entryd *entryd, const struct req_attrs *attrs,
		       enum err_kind *kind)
{
	struct account *account = conf_find_account(entryd, attrs->account);
	struct job *job;

	if (!account) {
		*kind = RW_ENOACCOUNT;
		return NULL;
	}
	job = g_new0(struct job, 1);
	job->entryd = entryd;
	job->team = g_strdup(account->team);
	job->callers = g_ptr_array_new();
	if (!(attrs->model ? job_fill_completion(job, attrs)
			   : job_fill_service_call(job, attrs))) {
		*kind = RW_ENOROUTE;
		job_free(job);
		return NULL;
	}
	job->ticket = (struct admit_ticket){
		.account = account->name,
		.weight = account->conf->weight,
		.priority = job->priority,
		.batch = job->batch,
		.tokens = job->prompt_tokens + job->max_tokens,
		.deadline = CLK_NEVER,
		.owner = job,
	};
	return job;
}

/* Creates a job without a pool, for a request whose account, model or route is
 * no longer in the settings. It can only be refused. */
static struct job *job_create_unroutable(struct entryd *entryd)
{
	struct job *job = g_new0(struct job, 1);

	job->entryd = entryd;
	job->callers = g_ptr_array_new();
	job->path = g_strdup("");
	job->status_path = g_strdup("");
	return job;
}

struct job *job_get(struct entryd *entryd, struct req *req)
{
	struct job *job = req->owner;
	enum err_kind kind;

	if (!job) {
		job = job_create(entryd, &req->attrs, &kind);
		if (!job)
			job = job_create_unroutable(entryd);
		trace_begin(entryd->tracer, &job->span,
			    req->attrs.trace ? req->attrs.trace : "",
			    req->attrs.trace ? strlen(req->attrs.trace) : 0);
		trace_begin(entryd->tracer, &job->hold_span, "", 0);
		req->owner = job;
	}
	job->req = req;
	return job;
}

static void timer_on_closed(uv_handle_t *handle)
{
	g_free(handle);
}

/* Cancels a pending retry. */
static void job_cancel_retry(struct job *job)
{
	if (!job->retry_timer)
		return;
	uv_timer_stop(job->retry_timer);
	uv_close((uv_handle_t *)job->retry_timer, timer_on_closed);
	job->retry_timer = NULL;
}

/* Removes a job from its queue and cancels its retry and attempt. */
static void job_cancel_work(struct job *job)
{
	job_cancel_retry(job);
	if (job->pool)
		admit_remove(job->pool->queue, &job->ticket);
	if (job->attempt)
		attempt_cancel(job->attempt);
	job->attempt = NULL;
}

void job_free(struct job *job)
{
	job_cancel_work(job);
	g_ptr_array_free(job->callers, TRUE);
	g_free(job->team);
	g_free(job->prompt);
	g_free(job->path);
	g_free(job->status_path);
	g_free(job->failed_upstream);
	g_free(job);
}

/* Puts a job into its pool's queue. */
static void job_enqueue(struct job *job)
{
	if (job->ticket.queued || !job->pool)
		return;
	admit_push(job->pool->queue, &job->ticket);
}

void pool_dispatch(struct entryd *entryd, struct pool *pool)
{
	struct admit_ticket *ticket;

	while ((ticket = admit_peek(pool->queue)) &&
	       pool_state(entryd, pool).capacity > 0) {
		struct job *job = ticket->owner;
		struct upstream *upstream = job_choose_upstream(job);

		if (!upstream)
			return;
		admit_pop(pool->queue);
		replica_want_run(entryd->replica, job->req, upstream->name,
				 entryd_now(entryd));
	}
}

/* The standby holds the request: notifies its callers, and queues it unless it
 * has an upstream already. */
static void op_accepted(void *ctx, struct req *req)
{
	struct entryd *entryd = ctx;
	struct job *job = job_get(entryd, req);

	entryd_count(entryd, req->inherited ? CTR_inherited : CTR_accepted);
	if (!entryd->replica->record.peer[0])
		entryd_count(entryd, CTR_accepted_alone);
	trace_end(entryd->tracer, &job->hold_span, "guardian", req->id,
		  replica_standby_name(entryd->replica));
	job_flush_callers(job);
	if (!job->pool) {
		replica_refuse(entryd->replica, req, RW_ENOROUTE,
			       entryd_now(entryd));
		return;
	}
	if (!req->want_run) {
		job_enqueue(job);
		pool_dispatch(entryd, job->pool);
	}
}

/* The request may run now: begins an attempt. */
static void op_run(void *ctx, struct req *req)
{
	struct job *job = job_get(ctx, req);

	if (job->attempts == 0)
		retry_on_first_attempt(&job->pool->budget,
				       entryd_now(job->entryd));
	if (!attempt_start(job))
		job_attempt_failed(job, true);
}

static void op_probe(void *ctx, struct req *req)
{
	struct entryd *entryd = ctx;

	entryd_count(entryd, CTR_inherited);
	entryd_count(entryd, CTR_probes);
	probe_start(job_get(entryd, req));
}

static void op_ended(void *ctx, struct req *req)
{
	struct entryd *entryd = ctx;
	struct job *job = job_get(entryd, req);
	enum err_kind kind = req->answer.kind;

	job_cancel_work(job);
	entryd_count(entryd, kind == RW_OK		  ? CTR_ended_whole
			     : req_ran(req) == ERR_RAN_NO ? CTR_ended_not_run
							  : CTR_ended_unknown);
	trace_end(entryd->tracer, &job->span, "home", req->id,
		  err_answer(kind)->name);
	job_flush_callers(job);
	if (job->pool)
		pool_dispatch(entryd, job->pool);
}

/* Another host has the authority now: relays its answer to the callers. */
static void op_moved(void *ctx, struct req *req)
{
	struct entryd *entryd = ctx;
	struct job *job = job_get(entryd, req);

	entryd_count(entryd, CTR_moved);
	job_cancel_retry(job);
	if (job->pool)
		admit_remove(job->pool->queue, &job->ticket);
	/* A call that is not idempotent continues here, and its end is
	 * reported to the host that took over. An idempotent one is cancelled,
	 * as that host resumes the stream or repeats the call. */
	if (job->attempt && req->attrs.idempotent) {
		attempt_cancel(job->attempt);
		job->attempt = NULL;
	}
	while (job->callers->len > 0) {
		struct caller *caller = g_ptr_array_index(job->callers, 0);
		size_t next = caller->next_chunk;
		bool streaming = caller->streaming;
		bool head_sent = caller->head_sent;
		struct http_request *call = caller_detach(caller);

		forward_remainder(entryd, call, req->id, req->acting, next,
				  streaming, head_sent);
	}
}

static void op_forget(void *ctx, struct req *req)
{
	struct job *job = req->owner;

	(void)ctx;
	if (!job)
		return;
	while (job->callers->len > 0) {
		struct caller *caller = g_ptr_array_index(job->callers, 0);

		answer_error(caller_detach(caller), RW_EEXPIRED, 0, "");
	}
	job_free(job);
}

const struct replica_ops job_replica_ops = {
	.send = peer_send_msg,
	.swap = record_swap,
	.read = record_read,
	.pick_standby = peer_pick_standby,
	.accepted = op_accepted,
	.run = op_run,
	.probe = op_probe,
	.ended = op_ended,
	.moved = op_moved,
	.forget = op_forget,
};

static void job_begin_attempt(struct job *job);
static void job_retry(struct job *job);

static void job_on_retry_timer(uv_timer_t *timer)
{
	struct job *job = timer->data;

	job_cancel_retry(job);
	if (job->retry_denied)
		job_retry(job);
	else
		job_begin_attempt(job);
}

/* Schedules the next attempt, or the next request to the budget after a denied
 * one. */
static void job_schedule_retry(struct job *job, clk_ms delay)
{
	job->retry_timer = g_new0(uv_timer_t, 1);
	uv_timer_init(&job->entryd->loop, job->retry_timer);
	job->retry_timer->data = job;
	uv_timer_start(job->retry_timer, job_on_retry_timer, (uint64_t)delay,
		       0);
}

/* Returns the time after which no attempt begins. For a begun answer that may
 * be past the deadline: RESUME_TIME_MS after its last chunk. */
static clk_ms retry_deadline(const struct job *job)
{
	const struct req *req = job->req;

	if (req_chunk_count(req) == 0 || req->deadline == CLK_NEVER)
		return req->deadline;
	return MAX(req->deadline, job->last_chunk_at + RESUME_TIME_MS);
}

/* Ends a request whose time for attempts is over; returns whether it did. */
static bool job_end_overdue(struct job *job)
{
	struct entryd *entryd = job->entryd;
	struct req *req = job->req;
	clk_ms now = entryd_now(entryd);

	if (!clk_passed(retry_deadline(job), now))
		return false;
	if (req->attrs.idempotent)
		replica_end(entryd->replica, req, RW_EUPSTREAM, 0, now);
	else
		replica_refuse(entryd->replica, req, RW_ENOUPSTREAM, now);
	return true;
}

/* Begins the next attempt, if the deadline allows it. */
static void job_begin_attempt(struct job *job)
{
	struct entryd *entryd = job->entryd;
	struct req *req = job->req;

	if (job_end_overdue(job))
		return;
	if (!req->attrs.idempotent) {
		/* The request is held again and needs a new grant. */
		job_enqueue(job);
		pool_dispatch(entryd, job->pool);
		return;
	}
	if (!attempt_start(job))
		job_schedule_retry(job, RETRY_MAX_BACKOFF_MS);
}

/* Schedules the next attempt after a back-off. As long as an answer has no
 * chunk, retries take from the pool's budget, and a denied one is requested
 * again later. A begun answer is continued whatever the budget: the new attempt
 * replaces one that was lost, so the pool's load does not grow. */
static void job_retry(struct job *job)
{
	struct entryd *entryd = job->entryd;
	struct retry_budget *budget = &job->pool->budget;
	uint32_t random = entryd_random(entryd, 1000);
	clk_ms delay;

	if (job_end_overdue(job))
		return;
	if (req_chunk_count(job->req) > 0)
		delay = retry_backoff(budget, job->attempts, random);
	else
		delay = retry_request(budget, job->attempts, random,
				      entryd_now(entryd), retry_deadline(job));
	job->retry_denied = delay < 0;
	entryd_count(entryd,
		     job->retry_denied ? CTR_retries_denied : CTR_retries);
	if (job->retry_denied)
		delay = RETRY_DENIED_MS +
			entryd_random(entryd, RETRY_DENIED_MS);
	job_schedule_retry(job, delay);
}

void job_attempt_failed(struct job *job, bool proved_not_run)
{
	struct entryd *entryd = job->entryd;
	struct req *req = job->req;
	clk_ms now = entryd_now(entryd);

	job->attempt = NULL;
	if (req->answer.ended)
		return;
	if (req->attrs.idempotent) {
		job_retry(job);
		return;
	}
	if (!proved_not_run) {
		probe_start(job);
		return;
	}
	if (req->phase == REQ_MOVED)
		return;
	replica_prove_not_run(entryd->replica, req, now);
	job_retry(job);
}
