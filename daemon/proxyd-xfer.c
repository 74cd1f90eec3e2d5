/* Relays one request: chooses workers, retries, and replies to the caller. */
#include "proxyd-xfer.h"

#include <string.h>

#include "../decide/scale.h"

/* The retry-after of a refused caller. */
#define RETRY_AFTER_MIN_MS 150
#define RETRY_AFTER_JITTER_MS 450
/* How long a waiting request asks for further permits, after issuers have
 * turned it down. */
#define ASK_FOR_MS 100
#define STALL_CHECK_MS 100 /* between two looks for an alternative */
/* Of end_detail, with a worker's id. */
#define END_DETAIL_MAX 256

static void on_timer_closed(void *ctx)
{
	struct xfer *xfer = ctx;

	sse_clear(&xfer->sse);
	tab_unref(xfer->tab);
	g_free(xfer->forwarder);
	g_free(xfer->id);
	g_free(xfer);
}

/* Ends a request that was replied to, or whose caller has disconnected. */
static void xfer_end(struct xfer *xfer)
{
	queue_remove(xfer);
	resume_cancel(xfer);
	attempt_cancel(xfer);
	move_clear(xfer);
	if (xfer->proxyd->tracer)
		trace_end(xfer->proxyd->tracer, &xfer->span, "request",
			  xfer->id, xfer->route->name);
	g_hash_table_remove(xfer->proxyd->open_requests, xfer);
	due_close(&xfer->timer, on_timer_closed);
}

/* Detaches the call for its reply; a disconnect is no longer reported. */
static struct hs_request *call_take(struct xfer *xfer)
{
	struct hs_request *call = xfer->call;

	hs_request_on_disconnect(call, NULL, NULL);
	xfer->call = NULL;
	return call;
}

/* After how many ms a refused caller may retry: jittered, and sooner for more
 * urgent routes. */
static clk_ms retry_after_for(const struct xfer *xfer)
{
	return RETRY_AFTER_MIN_MS + xfer->route->priority * RETRY_AFTER_MIN_MS +
	       proxyd_random(xfer->proxyd, RETRY_AFTER_JITTER_MS);
}

/* Notes when the worker of the attempt, which ends, last sent anything. */
static void heard_note(struct xfer *xfer)
{
	if (xfer->worker)
		xfer->worker_heard_at = xfer->worker->heard_at;
}

/* Writes the fields of a log line that tell what a request that ends may have
 * been beside: a change of the configuration, a worker's silence. */
static void end_detail(struct xfer *xfer, char buf[END_DETAIL_MAX])
{
	const struct proxyd *proxyd = xfer->proxyd;
	clk_ms now = proxyd_now(proxyd);

	heard_note(xfer);
	g_snprintf(buf, END_DETAIL_MAX,
		   " worker=%s attempts=%u heard_ms=%" G_GINT64_FORMAT
		   " config_age_ms=%" G_GINT64_FORMAT
		   " reload_age_ms=%" G_GINT64_FORMAT,
		   xfer->worker ? xfer->worker->entry.id : "",
		   xfer->px.attempts,
		   xfer->worker_heard_at ? now - xfer->worker_heard_at : -1,
		   now - proxyd->tab_applied_at,
		   proxyd->reloaded_at ? now - proxyd->reloaded_at : -1);
}

/* Replies with an error. retry_after is in ms and used only if the request has
 * not run; its units are then refunded. */
static void reply_error(struct xfer *xfer, enum err_kind kind,
			clk_ms retry_after, const char *why)
{
	char detail[END_DETAIL_MAX];

	end_detail(xfer, detail);
	attempt_cancel(xfer);
	if (err_answer(kind)->ran != ERR_RAN_NO) {
		retry_after = 0;
		ends_count(xfer->proxyd, why);
	} else {
		if (xfer->quota)
			quota_refund(xfer->quota, xfer->units);
	}
	front_reply_end(xfer->proxyd, call_take(xfer), kind, retry_after, why,
			detail);
	xfer_end(xfer);
}

/* Relays a complete response, or finishes one that was streamed. */
static void response_deliver(struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;
	struct xfer_response *response = &xfer->response;
	clk_ms took = proxyd_now(proxyd) - xfer->received_at;
	bool failed = response->status >= 500;
	struct hs_request *call = call_take(xfer);

	proxyd_count(proxyd, failed ? CTR_passed_failed : CTR_passed_whole);
	hist_add(&proxyd->whole_ms, took);
	slog(SLOG_INFO, "answer",
	     "id=%s status=%d worker=%s attempts=%u events=%" G_GUINT64_FORMAT
	     " after_ms=%" G_GINT64_FORMAT " why=%s",
	     xfer->id, response->status,
	     xfer->worker ? xfer->worker->entry.id : "", xfer->px.attempts,
	     xfer->sse.events, took,
	     failed ? "upstream_failed" : "upstream_answered");
	if (xfer->px.response_started)
		hs_response_end(call);
	else
		hs_response_send(call, response->status, response->headers->str,
				 response->body->str, response->body->len);
	xfer_end(xfer);
}

/* Aborts a response that has started. */
static void response_abort(struct xfer *xfer, const char *why)
{
	struct hs_request *call = call_take(xfer);
	char detail[END_DETAIL_MAX];

	end_detail(xfer, detail);
	proxyd_count(xfer->proxyd, CTR_broken_off);
	ends_count(xfer->proxyd, why);
	slog(SLOG_INFO, "answer",
	     "id=%s status=broken_off events=%" G_GUINT64_FORMAT
	     " config=%" G_GINT64_FORMAT " after_ms=%" G_GINT64_FORMAT
	     "%s why=%s",
	     xfer->id, xfer->sse.events, xfer->proxyd->tab_revision,
	     proxyd_now(xfer->proxyd) - xfer->received_at, detail, why);
	attempt_cancel(xfer);
	hs_response_abort(call);
	xfer_end(xfer);
}

void xfer_perform(struct xfer *xfer, enum px_action step, const char *why)
{
	static const char *const outcomes[] = {
		[PX_RETRY] = "sent_again",
		[PX_RESUME] = "resumed",
		[PX_CONTINUE] = "continued",
	};
	struct proxyd *proxyd = xfer->proxyd;

	switch (step) {
	case PX_RETRY:
	case PX_RESUME:
	case PX_CONTINUE:
		if (xfer->px.attempts > 0 && !xfer->retry_paid) {
			xfer->retry_paid = true;
			retry_spend(
				&proxyd_pool(proxyd, xfer->pool->name)->budget);
			proxyd_count(proxyd, CTR_retries);
		}
		slog(SLOG_INFO, "again",
		     "id=%s attempts=%u last_event=%" G_GINT64_FORMAT
		     " why=%s outcome=%s",
		     xfer->id, xfer->px.attempts, xfer->sse.last_id, why,
		     outcomes[step]);
		heard_note(xfer);
		attempt_cancel(xfer);
		if (step == PX_CONTINUE) {
			move_continue(xfer);
			return;
		}
		/* A move that is in progress was one of the last attempt. */
		move_clear(xfer);
		xfer_send(xfer);
		return;
	case PX_DELIVER:
		response_deliver(xfer);
		return;
	case PX_REFUSE:
		proxyd_count(proxyd, CTR_refused_not_run);
		reply_error(xfer, xfer->unreached ? RW_ENOLINK : RW_EBUSY,
			    retry_after_for(xfer), why);
		return;
	case PX_UNKNOWN:
		proxyd_count(proxyd, CTR_answered_unknown);
		reply_error(xfer, RW_EUPSTREAM, 0, why);
		return;
	case PX_TIMED_OUT:
		proxyd_count(proxyd, CTR_answered_late);
		reply_error(xfer, RW_EUNKNOWN, 0, why);
		return;
	case PX_ABORT:
		response_abort(xfer, why);
		return;
	}
}

void xfer_give_up_poison(struct xfer *xfer)
{
	enum px_action action = px_on_give_up(&xfer->px);

	if (action != PX_REFUSE) {
		xfer_perform(xfer, action, "crashes_workers");
		return;
	}
	proxyd_count(xfer->proxyd, CTR_refused_poison);
	reply_error(xfer, RW_EPOISON, err_answer(RW_EPOISON)->retry_after_ms,
		    "crashes_workers");
}

void xfer_on_disconnect(void *ctx)
{
	struct xfer *xfer = ctx;

	xfer->call = NULL;
	proxyd_count(xfer->proxyd, CTR_callers_gone);
	slog(SLOG_INFO, "caller_gone",
	     "id=%s worker=%s events=%" G_GUINT64_FORMAT
	     " after_ms=%" G_GINT64_FORMAT,
	     xfer->id, xfer->worker ? xfer->worker->entry.id : "",
	     xfer->sse.events, proxyd_now(xfer->proxyd) - xfer->received_at);
	xfer_end(xfer);
}

/* Whether the request may be running at a worker or another host: an attempt
 * that was not sent cannot have run. */
static bool is_running(const struct xfer *xfer)
{
	return (xfer->attempt && xfer->sent_at) || xfer->confirm || xfer->hop;
}

/* When the attempt counts as stalled, or is looked at again. */
static clk_ms stall_at(const struct xfer *xfer)
{
	return MAX(xfer->last_received_at + attempt_silence_limit(xfer),
		   xfer->stall_checked_at + STALL_CHECK_MS);
}

static void on_timer(void *ctx)
{
	struct xfer *xfer = ctx;
	clk_ms now = proxyd_now(xfer->proxyd);

	if (now >= xfer->deadline) {
		bool running = is_running(xfer);

		if (running && xfer->worker)
			rollout_on_end(xfer, !xfer->has_output);
		if (running && xfer->worker)
			fleet_record_outcome(
				xfer->worker,
				xfer->has_output ? FLEET_OK : FLEET_NO_RESPONSE,
				now);
		xfer_perform(xfer, px_on_timeout(&xfer->px, running),
			     "time_over");
		return;
	}
	if (xfer->attempt && xfer->sent_at && now >= stall_at(xfer)) {
		attempt_on_stall(xfer);
		if (!xfer->attempt)
			return;
	}
	xfer_timer_arm(xfer);
}

/* The timer is set to the deadline or, if earlier, to when the attempt stalls.
 */
void xfer_timer_arm(struct xfer *xfer)
{
	clk_ms now = proxyd_now(xfer->proxyd);
	clk_ms next = xfer->deadline;

	if (xfer->attempt)
		next = MIN(next, xfer->sent_at
					 ? stall_at(xfer)
					 : now + attempt_silence_limit(xfer));
	due_start(&xfer->timer, MAX(next - now, 1), 0);
}

/* Work of a request at an engine, in ms. */
static double request_work(const struct xfer *xfer, int cached_tokens)
{
	const struct conf_proxy *conf = xfer->proxyd->conf;
	const struct head_request *request = &xfer->request;
	struct fleet *fleet = xfer->proxyd->fleet;
	struct scale_engine speed = {
		.step_ms = conf->step_us / 1000,
		.step_slot_ms = conf->step_slot_us / 1000,
		.slots = xfer->pool->slots,
	};
	int output = request->output_tokens_hint > 0
			     ? request->output_tokens_hint
			     : request->output_tokens_max;

	if (!xfer->pool->engine)
		return 0;
	return speed_work_ms(fleet_speed(fleet, xfer->pool->name),
			     request->prompt_tokens - cached_tokens,
			     cached_tokens) *
		       fleet_speed_mix(fleet, xfer->pool->name) +
	       scale_work_ms(&speed, 0, output);
}

/* Refuses a request that can't be in time, or that would delay more urgent
 * ones. Returns whether it did. */
static bool shed(struct xfer *xfer, const struct fleet_choice *choice)
{
	struct proxyd *proxyd = xfer->proxyd;
	struct shed_request candidate = {
		.expected_ms = choice->expected_ms,
		.target = xfer->route->latency_target,
		.remaining = xfer->deadline - proxyd_now(proxyd),
		.urgency = xfer->route->priority,
	};
	clk_ms retry_after;

	/* What has run of a stream that goes on would be lost. */
	if (!xfer->pool->engine || xfer->resumes ||
	    !shed_refuses(&candidate, &retry_after))
		return false;
	slog(SLOG_INFO, "shed",
	     "id=%s route=%s expected_ms=%.0f target_ms=%" G_GINT64_FORMAT
	     " left_ms=%" G_GINT64_FORMAT " urgency=%d worker=%s",
	     xfer->id, xfer->route->name, candidate.expected_ms,
	     candidate.target, candidate.remaining, candidate.urgency,
	     choice->worker->entry.id);
	proxyd_count(proxyd, CTR_refused_busy);
	retry_after += proxyd_random(proxyd, RETRY_AFTER_JITTER_MS);
	reply_error(xfer, RW_EBUSY, retry_after, "overload");
	return true;
}

void xfer_give_up(struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;
	enum px_action action = px_on_give_up(&xfer->px);
	struct fleet_room room =
		fleet_room(proxyd->fleet, xfer->pool->name, proxyd_now(proxyd));
	bool limited = room.rate > 0;

	if (action != PX_REFUSE || (room.wait <= 0 && !limited)) {
		xfer_perform(xfer, action, "no_worker");
		return;
	}
	/* Callers return when a worker takes work again, one after the other.
	 */
	proxyd_count(proxyd, CTR_refused_not_run);
	reply_error(xfer, RW_EBUSY,
		    queue_return_after(xfer, &room) + retry_after_for(xfer),
		    limited ? "workers_limited" : "workers_withheld");
}

/* Chooses a worker, and asks for a permit if that would give a better choice.
 */
static struct fleet_choice worker_choose(struct xfer *xfer, clk_ms now)
{
	struct proxyd *proxyd = xfer->proxyd;
	struct fleet_choice choice;
	bool asks =
		!xfer->waiting_since || now - xfer->waiting_since < ASK_FOR_MS;

	xfer->fleet_request.is_repeatable = attempt_is_repeatable(xfer);
	choice = fleet_choose(proxyd->fleet, &xfer->fleet_request, now);
	if (!choice.worker && xfer->fleet_request.heard_since) {
		xfer->fleet_request.heard_since = 0;
		choice = fleet_choose(proxyd->fleet, &xfer->fleet_request, now);
	}
	xfer->fleet_request.heard_since = 0;
	if (choice.wanted && asks && permit_ask_for(proxyd, choice.wanted))
		choice = fleet_choose(proxyd->fleet, &xfer->fleet_request, now);
	return choice;
}

/* Adds a request to its pool's demand, once. Those that are refused count too.
 */
static void demand_add(struct xfer *xfer, const struct fleet_choice *choice)
{
	int cached = choice->worker ? choice->cached_tokens
				    : fleet_shared_tokens(&xfer->fleet_request);

	if (xfer->demanded)
		return;
	xfer->demanded = true;
	proxyd_pool(xfer->proxyd, xfer->pool->name)->demand_ms +=
		request_work(xfer, cached);
}

void xfer_send(struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;
	clk_ms now = proxyd_now(proxyd);
	bool again = xfer->px.attempts > 0 || xfer->px.unsent > 0;
	struct fleet_choice choice;

	if ((again || xfer->waiting_since) && guard_blocks(xfer)) {
		xfer_give_up_poison(xfer);
		return;
	}
	if (forward_request(xfer)) {
		xfer_timer_arm(xfer);
		return;
	}
	if (xfer->forwarded && (again ? links_lost : links_avoided)(
				       proxyd->links, xfer->pool->name)) {
		xfer->unreached = true;
		xfer_perform(xfer, px_on_give_up(&xfer->px), "links_lost");
		return;
	}
	resume_update_listed(xfer);
	rollout_place(xfer);
	if (resume_await_entry(xfer)) {
		xfer_timer_arm(xfer);
		return;
	}
	if (xfer->fleet_request.version &&
	    !fleet_has_other(proxyd->fleet, &xfer->fleet_request, NULL)) {
		xfer_perform(xfer, px_on_give_up(&xfer->px),
			     "no_worker_of_version");
		return;
	}
	choice = worker_choose(xfer, now);
	if (!choice.worker && rollout_place_again(xfer))
		choice = worker_choose(xfer, now);
	if (!again)
		demand_add(xfer, &choice);
	if (!choice.worker) {
		if (queue_add(xfer))
			xfer_timer_arm(xfer);
		else
			xfer_give_up(xfer);
		return;
	}
	if (!again) {
		if (shed(xfer, &choice))
			return;
		retry_on_first_attempt(
			&proxyd_pool(proxyd, xfer->pool->name)->budget, now);
	}
	xfer->waiting_since = 0;
	attempt_start(xfer, &choice);
	xfer_timer_arm(xfer);
}

void xfer_end_all(struct proxyd *proxyd)
{
	GList *requests = g_hash_table_get_keys(proxyd->open_requests);

	for (const GList *at = requests; at; at = at->next) {
		struct xfer *xfer = at->data;
		enum px_action action;

		/* The end of one may start or end others that wait. */
		if (!g_hash_table_contains(proxyd->open_requests, xfer))
			continue;
		action = px_on_timeout(&xfer->px, is_running(xfer));
		/* The host that has forwarded it may send it elsewhere. */
		if (xfer->forwarded && action == PX_TIMED_OUT)
			action = PX_ABORT;
		xfer_perform(xfer, action, "grace_over");
	}
	g_list_free(requests);
}

void xfer_start(struct xfer *xfer)
{
	struct http_view parent =
		h1_header_value(hs_request_head(xfer->call), "traceparent");

	if (xfer->proxyd->tracer)
		trace_begin(xfer->proxyd->tracer, &xfer->span, parent.ptr,
			    parent.len);
	g_hash_table_add(xfer->proxyd->open_requests, xfer);
	due_init(&xfer->proxyd->loop, &xfer->timer, on_timer, xfer);
	hs_request_on_disconnect(xfer->call, xfer_on_disconnect, xfer);
	xfer_timer_arm(xfer);
	if (xfer->px.kind == PX_RESUMABLE && xfer->request.last_event_id >= 0 &&
	    xfer->fleet_request.version == 0)
		resume_start_stream(xfer);
	else
		xfer_send(xfer);
}
