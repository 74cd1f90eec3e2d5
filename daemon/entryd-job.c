/* The life of a request in the daemon: queue, run, retry, end. */
#include "entryd.h"

#include <string.h>
#include <xxhash.h>

#define PREFIX_BYTES 256  /* of a prompt, that routing goes by */
#define BYTES_PER_TOKEN 4 /* estimate, of a prompt */
#define DEFAULT_MAX_TOKENS 16
#define CALL_TOKENS 50 /* what a service call counts as */
#define RETRY_SHARE 0.04
#define RETRY_BURST 1.0
#define RETRY_ASK_MS 300 /* before a denied retry is asked for again */
#define RETRY_BASE_MS 50
#define RETRY_LIMIT_MS 1000
#define RETRY_MOST 1000	    /* attempts: the deadline ends them */
#define RESUME_FOR_MS 60000 /* after the last piece of a begun answer */

struct pool *pool_get(struct entryd *entryd, const char *name)
{
	struct pool *pool = g_hash_table_lookup(entryd->pools, name);
	struct retry_options options = {
		.share = RETRY_SHARE,
		.burst = RETRY_BURST,
		.backoff_base = RETRY_BASE_MS,
		.backoff_max = RETRY_LIMIT_MS,
		.max_attempts = RETRY_MOST,
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

/* What the router needs to know of a job. */
static struct route_request job_route_ask(const struct job *job)
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
	struct route_request ask = job_route_ask(job);
	clk_ms now = entryd_now(job->entryd);
	struct upstream *upstream =
		router_choose(job->entryd->router, &ask, now);

	if (upstream || !job->failed_upstream)
		return upstream;
	/* The one that failed is better than none. */
	ask.exclude = NULL;
	return router_choose(job->entryd->router, &ask, now);
}

void job_route_begin(struct job *job, struct upstream *upstream)
{
	struct route_request ask = job_route_ask(job);

	router_begin(job->entryd->router, upstream, &ask,
		     entryd_now(job->entryd));
}

/* Fills what a completion asks. */
static bool job_fill_model(struct job *job, const struct req_attrs *attrs)
{
	const struct conf_model *conf =
		conf_find(job->entryd, CONF_MODEL, job->team, attrs->target);
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
	job->prefix_hash =
		XXH64(job->prompt, MIN(strlen(job->prompt), PREFIX_BYTES), 0);
	job->priority = (int)conf->priority;
	job->batch = conf->batch;
	job->deadline_ms = conf->deadline_ms;
	job->timeout_ms = conf->idle_ms;
	json_object_put(body);
	return true;
}

/* Fills what a service call asks. */
static bool job_fill_route(struct job *job, const struct req_attrs *attrs)
{
	const struct conf_route *conf =
		conf_find(job->entryd, CONF_ROUTE, job->team, attrs->target);

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
	job->prompt_tokens = CALL_TOKENS;
	return true;
}

struct job *job_create(struct entryd *entryd, const struct req_attrs *attrs,
		       enum err_kind *kind)
{
	struct account *account = conf_account_find(entryd, attrs->account);
	struct job *job;

	if (!account) {
		*kind = RW_ENOACCOUNT;
		return NULL;
	}
	job = g_new0(struct job, 1);
	job->entryd = entryd;
	job->team = g_strdup(account->team);
	job->callers = g_ptr_array_new();
	if (!(attrs->model ? job_fill_model(job, attrs)
			   : job_fill_route(job, attrs))) {
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

/* A job for a request that the settings no longer allow: it can only end. */
static struct job *job_create_bare(struct entryd *entryd)
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
			job = job_create_bare(entryd);
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

/* Gives up a back-off. */
static void job_wait_stop(struct job *job)
{
	if (!job->retry_timer)
		return;
	uv_timer_stop(job->retry_timer);
	uv_close((uv_handle_t *)job->retry_timer, timer_on_closed);
	job->retry_timer = NULL;
}

/* Takes a job out of whatever it waits for. */
static void job_idle(struct job *job)
{
	job_wait_stop(job);
	if (job->pool)
		admit_remove(job->pool->queue, &job->ticket);
	if (job->attempt)
		attempt_cancel(job->attempt);
	job->attempt = NULL;
}

void job_free(struct job *job)
{
	job_idle(job);
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

/* The guardian holds the request: its caller is told. */
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

/* The request may be dispatched. */
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

	job_idle(job);
	entryd_count(entryd, kind == RW_OK		  ? CTR_ended_whole
			     : req_ran(req) == ERR_RAN_NO ? CTR_ended_not_run
							  : CTR_ended_unknown);
	trace_end(entryd->tracer, &job->span, "home", req->id,
		  err_answer(kind)->name);
	job_flush_callers(job);
	if (job->pool)
		pool_dispatch(entryd, job->pool);
}

/* Another host answers from now on: its callers are passed on. */
static void op_moved(void *ctx, struct req *req)
{
	struct entryd *entryd = ctx;
	struct job *job = job_get(entryd, req);

	entryd_count(entryd, CTR_moved);
	job_wait_stop(job);
	if (job->pool)
		admit_remove(job->pool->queue, &job->ticket);
	/* A call that may not be repeated goes on: its end is told to the
	 * host that took over. A stream is resumed there. */
	if (job->attempt && req->attrs.idempotent) {
		attempt_cancel(job->attempt);
		job->attempt = NULL;
	}
	while (job->callers->len > 0) {
		struct caller *caller = g_ptr_array_index(job->callers, 0);
		size_t next = caller->next_chunk;
		bool streaming = caller->streaming;
		bool started = caller->head_sent;
		struct http_request *call = caller_detach(caller);

		forward_remainder(entryd, call, req->id, req->acting, next,
				  streaming, started);
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
	.send = record_send,
	.swap = record_swap,
	.read = record_read,
	.pick_standby = record_pick_standby,
	.accepted = op_accepted,
	.run = op_run,
	.probe = op_probe,
	.ended = op_ended,
	.moved = op_moved,
	.forget = op_forget,
};

static void job_again(struct job *job);
static void job_retry(struct job *job);

static void wait_on_timer(uv_timer_t *timer)
{
	struct job *job = timer->data;

	job_wait_stop(job);
	if (job->retry_denied)
		job_retry(job);
	else
		job_again(job);
}

/* Waits before the next attempt. */
static void job_wait(struct job *job, clk_ms wait)
{
	job->retry_timer = g_new0(uv_timer_t, 1);
	uv_timer_init(&job->entryd->loop, job->retry_timer);
	job->retry_timer->data = job;
	uv_timer_start(job->retry_timer, wait_on_timer, (uint64_t)wait, 0);
}

/* Until when attempts are made: an answer that has begun gets longer. */
static clk_ms retry_until(const struct job *job)
{
	const struct req *req = job->req;

	if (req_chunk_count(req) == 0 || req->deadline == CLK_NEVER)
		return req->deadline;
	return MAX(req->deadline, job->last_chunk_at + RESUME_FOR_MS);
}

/* Gives a request up whose time for attempts is over. */
static bool job_overdue(struct job *job)
{
	struct entryd *entryd = job->entryd;
	struct req *req = job->req;
	clk_ms now = entryd_now(entryd);

	if (!clk_passed(retry_until(job), now))
		return false;
	if (req->attrs.idempotent)
		replica_end(entryd->replica, req, RW_EUPSTREAM, 0, now);
	else
		replica_refuse(entryd->replica, req, RW_ENOUPSTREAM, now);
	return true;
}

/* Begins one more attempt. */
static void job_again(struct job *job)
{
	struct entryd *entryd = job->entryd;
	struct req *req = job->req;

	if (job_overdue(job))
		return;
	if (!req->attrs.idempotent) {
		/* Back to held: it needs a new grant. */
		job_enqueue(job);
		pool_dispatch(entryd, job->pool);
		return;
	}
	if (!attempt_start(job))
		job_wait(job, RETRY_LIMIT_MS);
}

/* Backs off before the next attempt. The first attempts of a request are
 * retried as the budget allows; a denied one is asked for again later. An
 * answer that has begun is continued in any case: what runs elsewhere in its
 * place was lost, so that the pool's load does not grow. */
static void job_retry(struct job *job)
{
	struct entryd *entryd = job->entryd;
	struct retry_budget *budget = &job->pool->budget;
	uint32_t random = entryd_random(entryd, 1000);
	clk_ms wait;

	if (job_overdue(job))
		return;
	if (req_chunk_count(job->req) > 0)
		wait = retry_backoff(budget, job->attempts, random);
	else
		wait = retry_request(budget, job->attempts, random,
				     entryd_now(entryd), retry_until(job));
	job->retry_denied = wait < 0;
	entryd_count(entryd,
		     job->retry_denied ? CTR_retries_denied : CTR_retries);
	if (job->retry_denied)
		wait = RETRY_ASK_MS + entryd_random(entryd, RETRY_ASK_MS);
	job_wait(job, wait);
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
