/* One attempt at an upstream: sends the request and relays the response. */
#include "proxyd-xfer.h"

#include <string.h>

#include "../wire/budget.h"

#define BODY_MAX (16 << 20)  /* bytes of a buffered response */
#define UNSENT_MAX (4 << 20) /* bytes buffered for a slow caller */
/* Responses up to so many bytes are buffered although the budget is used up. */
#define SMALL_MAX 16384
#define RETRY_MIN_MS 60 /* that another attempt needs at least */
/* Times the latency target, to the first event of a stream. */
#define FIRST_EVENT_FACTOR 2.5
/* Until a silent upstream counts as stalled, at least, and between two events
 * of a stream: sound ones may be silent for some 2 s. */
#define STALL_MIN_MS 2500
/* How long an upstream counts as sound after it has sent something. */
#define SOUND_MS 500
#define SILENCE_SHARE 0.5 /* of the time that an idempotent request has */
/* How long the worker of a stream that could go on elsewhere is asked whether
 * it has ended. */
#define CONFIRM_MS 1000
/* Workers of one request at most that had another process than the listed one.
 */
#define UNFIT_MAX 8
/* Events of a stream that show its worker's speed: a time in ms over fewer is
 * rounded too much. */
#define INTERVAL_EVENTS 6

/* Frees the response of the attempt. */
static void response_clear(struct xfer *xfer)
{
	struct xfer_response *response = &xfer->response;

	if (xfer->call)
		hs_request_hold(xfer->call, 0);
	if (response->headers)
		g_string_free(response->headers, TRUE);
	if (response->body)
		g_string_free(response->body, TRUE);
	*response = (struct xfer_response){ .has_head = false };
}

/* Releases the worker of the attempt. */
static void worker_release(struct xfer *xfer)
{
	if (xfer->proxyd->tracer)
		trace_end(xfer->proxyd->tracer, &xfer->attempt_span, "upstream",
			  xfer->id, xfer->worker->entry.id);
	fleet_end(xfer->worker, &xfer->fleet_request, xfer->has_output);
	queue_on_freed(xfer->proxyd, xfer->worker);
	for (struct fleet_worker *at = xfer->worker; at; at = at->successor)
		proxyd_drop_peer(at);
	fleet_worker_unref(xfer->worker);
	xfer->worker = NULL;
}

/* Releases the worker and the response of the attempt. */
static void attempt_clear(struct xfer *xfer)
{
	if (xfer->confirm)
		confirm_cancel(xfer->confirm);
	xfer->confirm = NULL;
	if (xfer->ident)
		ident_cancel(xfer->ident);
	xfer->ident = NULL;
	if (xfer->worker)
		worker_release(xfer);
	xfer->sent_at = 0;
	response_clear(xfer);
	sse_discard_partial(&xfer->sse);
}

void attempt_cancel(struct xfer *xfer)
{
	if (xfer->attempt)
		hc_request_cancel(xfer->attempt);
	xfer->attempt = NULL;
	if (xfer->hop)
		hop_cancel(xfer->hop);
	xfer->hop = NULL;
	attempt_clear(xfer);
}

struct px_retry_conditions attempt_retry_conditions(struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;
	clk_ms now = proxyd_now(proxyd);
	bool avoided = links_avoided(proxyd->links, xfer->pool->name);
	bool has_worker;
	bool has_host =
		(avoided || xfer->px.unsent > 0) && forward_is_possible(xfer);

	resume_update_listed(xfer);
	has_worker = fleet_has_other(proxyd->fleet, &xfer->fleet_request,
				     xfer->worker) ||
		     resume_may_await(xfer);
	return (struct px_retry_conditions){
		.has_time = xfer->deadline - now >= RETRY_MIN_MS,
		.has_budget = retry_available(
			&proxyd_pool(proxyd, xfer->pool->name)->budget, now),
		.has_upstream = (avoided && has_host) ||
				(has_worker && xfer->unfit <= UNFIT_MAX),
		.has_host = has_host,
		.has_cache = move_can_go_back(xfer),
	};
}

void attempt_end(struct xfer *xfer, enum px_end end, const char *why)
{
	static const struct {
		enum ctr counter;
		bool recorded; /* for the worker */
		enum fleet_outcome outcome;
		bool responds; /* it counts as a response of its version */
	} ends[] = {
		[PX_END_UNSENT] = { CTR_ends_unsent, true, FLEET_NO_RESPONSE,
				    false },
		[PX_END_UNFIT] = { CTR_ends_unsent, false, FLEET_OK, false },
		[PX_END_NOT_RUN] = { CTR_ends_not_run, false, FLEET_OK, false },
		[PX_END_COMPLETE] = { CTR_attempts, true, FLEET_OK, true },
		[PX_END_FAILED] = { CTR_ends_failed, true, FLEET_ERROR, true },
		[PX_END_INCOMPLETE] = { CTR_ends_cut, true, FLEET_NO_RESPONSE,
					true },
	};
	struct proxyd *proxyd = xfer->proxyd;
	struct px_retry_conditions cond;
	enum px_action action;

	if (end == PX_END_INCOMPLETE && process_settle(xfer, why))
		return;
	xfer->unfit += end == PX_END_UNFIT;
	if (ends[end].responds)
		rollout_on_end(xfer, end != PX_END_COMPLETE);
	cond = attempt_retry_conditions(xfer);
	proxyd_count(proxyd, ends[end].counter);
	if (end != PX_END_COMPLETE)
		fleet_request_failed(&xfer->fleet_request, xfer->worker->key);
	if (ends[end].recorded)
		fleet_record_outcome(xfer->worker, ends[end].outcome,
				     proxyd_now(proxyd));
	if (end != PX_END_COMPLETE)
		slog(SLOG_INFO, "attempt",
		     "id=%s request=%016" G_GINT64_MODIFIER
		     "x worker=%s attempt=%u sent_ms=%" G_GINT64_FORMAT
		     " status=%d why=%s time=%d budget=%d other=%d host=%d",
		     xfer->id, xfer->identity, xfer->worker->entry.id,
		     xfer->px.attempts,
		     xfer->sent_at ? proxyd_now(proxyd) - xfer->sent_at : -1,
		     xfer->response.status, why, cond.has_time, cond.has_budget,
		     cond.has_upstream, cond.has_host);
	xfer->fleet_request.exclude = NULL;
	if (end != PX_END_COMPLETE && cond.has_upstream)
		xfer->fleet_request.exclude = xfer->worker;
	action = px_on_end(&xfer->px, end, &cond);
	xfer->unreached = px_needs_host(&xfer->px);
	xfer_perform(xfer, action, why);
}

/* Counts a request in its account's usage, once, when it starts to run; ago is
 * how long ago that was, in ms. */
static void usage_count(struct xfer *xfer, clk_ms ago)
{
	struct proxyd *proxyd = xfer->proxyd;

	if (xfer->usage_counted || !xfer->account)
		return;
	xfer->usage_counted = true;
	if (usage_add(&proxyd->usage, proxyd->members->self.incarnation,
		      xfer->account->name, proxyd_wall(proxyd) - ago))
		report_send_counts(proxyd);
}

static bool may_send(void *ctx)
{
	return attempt_may_send(ctx);
}

bool attempt_is_repeatable(const struct xfer *xfer)
{
	return px_is_repeatable(xfer->px.kind) &&
	       xfer->px.attempts + 1 < xfer->px.max_attempts;
}

bool attempt_may_send(const struct xfer *xfer)
{
	const struct fleet_worker *worker = xfer->worker;

	if (worker == xfer->move.source)
		return move_source_takes(xfer);
	return !(worker->entry.leaving || worker->said_leaving ||
		 worker->removed) ||
	       !fleet_has_other(xfer->proxyd->fleet, &xfer->fleet_request,
				worker);
}

static void on_sent(void *ctx, bool reused)
{
	struct xfer *xfer = ctx;
	struct proxyd *proxyd = xfer->proxyd;
	clk_ms now = proxyd_now(proxyd);

	(void)reused;
	if (xfer->px.attempts == 0)
		hist_add(&proxyd->placed_ms, now - xfer->received_at);
	xfer->sent_at = now;
	/* A worker that was asked before is silent since. */
	xfer->last_received_at = xfer->asked_at ? xfer->asked_at : now;
	xfer->retry_paid = false;
	xfer->awaits_until = 0;
	/* A request that resumes from its KV cache continues the same run, not
	 * another attempt. */
	if (xfer->move.state != MOVE_CONTINUED)
		px_on_sent(&xfer->px);
}

/* Learns the pool's speed from the first event of a stream. */
static void speed_note(struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;
	const struct speed *speed =
		fleet_speed(proxyd->fleet, xfer->pool->name);
	bool differed = speed->differs;

	if (!fleet_on_first_event(
		    proxyd->fleet, xfer->worker, &xfer->fleet_request,
		    xfer->output_at - xfer->sent_at, xfer->output_at))
		return;
	proxyd_count(proxyd, CTR_speed_fits);
	if (speed->differs != differed)
		slog(SLOG_NOTICE, "speed",
		     "pool=%s fixed_ms=%.1f token_us=%.2f pair_ms=%.3f "
		     "spread=%.2f setting_us=%.2f outcome=%s",
		     xfer->pool->name, speed->fit.fixed_ms,
		     speed->fit.token_ms * 1000, speed->fit.pair_ms,
		     speed->spread, speed->initial_ms * 1000,
		     speed->differs ? "measured_used" : "setting_used");
}

/* The attempt has returned its first output; ago: ms since the request started
 * to run. */
static void on_first_output(struct xfer *xfer, clk_ms ago)
{
	struct proxyd *proxyd = xfer->proxyd;

	if (xfer->has_output)
		return;
	/* It may be moved once more. */
	move_clear(xfer);
	xfer->has_output = true;
	xfer->output_at = proxyd_now(proxyd);
	xfer->interval_at = xfer->output_at;
	xfer->interval_events = xfer->sse.events;
	rollout_on_output(xfer);
	links_on_response(proxyd->links, xfer->pool->name,
			  xfer->output_at - xfer->sent_at);
	fleet_first_token(xfer->worker, &xfer->fleet_request);
	usage_count(xfer, ago);
	if (xfer->response.is_event_stream && xfer->fleet_request.shows_speed)
		speed_note(xfer);
	if (!xfer->px.response_started)
		hist_add(&proxyd->first_ms,
			 proxyd_now(proxyd) - xfer->received_at);
}

/* Notes whether the worker is brittle, and has rejected the request. */
static void brittle_note(struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;
	struct fleet_worker *worker = fleet_latest(xfer->worker);
	const struct head_response *head = &xfer->response.head;
	bool was = worker->brittle.is;

	/* Another process answers 421 in the worker's place. */
	if (xfer->response.status == 421)
		return;
	/* The last word that could be read counts. */
	if (head->bad_rejections)
		proxyd_count(proxyd, CTR_brittle_bad);
	else
		fleet_brittle_on_response(worker, head->rejections,
					  proxyd_host_count(proxyd));
	if (was != worker->brittle.is)
		slog(SLOG_NOTICE, "worker",
		     "worker=%s rejections=%.1f outcome=%s", worker->entry.id,
		     head->rejections,
		     worker->brittle.is ? "brittle" : "not_brittle");
	if (!worker->brittle.is)
		return;
	proxyd->fleet->brittle_at = proxyd_now(proxyd);
	if (!head->not_run || xfer->response.status != 503)
		return;
	proxyd_count(proxyd, CTR_brittle_rejections);
	permit_tell_full(proxyd, worker,
			 fleet_brittle_on_rejection(worker, xfer->tries_room,
						    proxyd_chance(proxyd),
						    proxyd_now(proxyd)));
}

/* Notes how long work takes at the worker at the moment. */
static void pace_note(struct xfer *xfer)
{
	struct fleet_worker *worker = fleet_latest(xfer->worker);
	const struct head_response *head = &xfer->response.head;

	if (head->pace > 0)
		fleet_on_pace(worker, head->pace / 100,
			      proxyd_now(xfer->proxyd));
	if (!head->bad_pace)
		return;
	proxyd_count(xfer->proxyd, CTR_pace_bad);
	if (worker->pace_logged)
		return;
	worker->pace_logged = true;
	slog(SLOG_WARN, "worker",
	     "worker=%s id=%s why=bad_pace outcome=as_usual", worker->entry.id,
	     xfer->id);
}

/* Notes what the head of a response says about its worker. */
static void worker_note(struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;
	const struct head_response *head = &xfer->response.head;
	clk_ms now = proxyd_now(proxyd);

	if (head->has_load)
		fleet_on_load(xfer->worker, head->running, head->waiting, now);
	pace_note(xfer);
	if (head->leaving)
		follow_worker_leaves(proxyd, xfer->worker, "said_so");
	permit_on_head(xfer);
	brittle_note(xfer);
	if (head->bad_retry_after)
		proxyd_count(proxyd, CTR_retry_after_bad);
	if (head->retry_after == 0)
		return;
	proxyd_count(proxyd, CTR_workers_withheld);
	slog(SLOG_INFO, "worker",
	     "worker=%s id=%s withheld_ms=%" G_GINT64_FORMAT
	     " outcome=withheld",
	     xfer->worker->entry.id, xfer->id, head->retry_after);
	fleet_withhold(xfer->worker, head->retry_after, now);
}

static void on_head(void *ctx, const struct h1_head *head)
{
	struct xfer *xfer = ctx;
	struct xfer_response *response = &xfer->response;
	clk_ms now = proxyd_now(xfer->proxyd);

	xfer->last_received_at = now;
	guard_on_data(xfer);
	reach_on_data(xfer->proxyd, xfer->worker);
	response->has_head = true;
	response->status = head->status;
	head_response_parse(head, &response->head);
	worker_note(xfer);
	if (!response->head.not_run && head->status / 100 == 2 &&
	    !response->head.is_signed) {
		hc_request_cancel(xfer->attempt);
		xfer->attempt = NULL;
		attempt_end(xfer, PX_END_INCOMPLETE, "unsigned_answer");
		return;
	}
	response->headers = head_response_build(head);
	response->body = g_string_sized_new(0);
	response->ends_with_connection = head->framing == H1_UNTIL_CLOSE;
	response->began_at = now;
	response->is_event_stream =
		head->status / 100 == 2 &&
		(xfer->px.kind == PX_STREAM || xfer->px.kind == PX_RESUMABLE);
	if (!response->is_event_stream && !response->head.not_run)
		on_first_output(xfer, now - xfer->sent_at);
}

/* Notes the time between the stream's events: it shows its worker's speed. */
static void interval_note(struct xfer *xfer)
{
	clk_ms now = proxyd_now(xfer->proxyd);
	uint64_t events = xfer->sse.events - xfer->interval_events;

	if (events < INTERVAL_EVENTS)
		return;
	fleet_on_interval(xfer->proxyd->fleet, fleet_latest(xfer->worker),
			  (double)(now - xfer->interval_at) / (double)events,
			  now);
	xfer->interval_at = now;
	xfer->interval_events = xfer->sse.events;
}

/* Relays complete events. */
static void events_relay(struct xfer *xfer, const GString *events)
{
	if (events->len == 0)
		return;
	on_first_output(xfer, 0);
	guard_on_output(xfer, false);
	if (!xfer->px.response_started) {
		resume_on_first_event(xfer);
		if (xfer->forwarded)
			head_add_stream_version(xfer->response.headers,
						xfer->fleet_request.version);
		hs_response_start(xfer->call, xfer->response.status,
				  xfer->response.headers->str);
		xfer->px.response_started = true;
	} else {
		resume_on_event(xfer);
	}
	interval_note(xfer);
	hs_response_write(xfer->call, events->str, events->len);
	proxyd_count(xfer->proxyd, CTR_events);
}

bool attempt_receive(struct xfer *xfer, const char *ptr, size_t len,
		     void (*relay)(struct xfer *xfer, const GString *events),
		     const char **why)
{
	struct xfer_response *response = &xfer->response;
	GString *events;
	bool ok;

	xfer->last_received_at = proxyd_now(xfer->proxyd);
	if (!response->is_event_stream) {
		*why = "answer_too_large";
		if (response->body->len + len > BODY_MAX)
			return false;
		response->has_no_room = budget_is_exceeded() &&
					response->body->len + len > SMALL_MAX;
		if (response->has_no_room)
			return true;
		g_string_append_len(response->body, ptr, (gssize)len);
		hs_request_hold(xfer->call, response->body->allocated_len);
		return true;
	}
	*why = "gap_in_events";
	response->has_no_room =
		budget_is_exceeded() && xfer->sse.buf->len + len > SMALL_MAX;
	if (response->has_no_room)
		return true;
	events = g_string_sized_new(len + 256);
	ok = sse_feed(&xfer->sse, ptr, len, events);
	relay(xfer, events);
	g_string_free(events, TRUE);
	hs_request_hold(xfer->call, xfer->sse.buf->allocated_len);
	return ok;
}

/* Whether too much of a stream is buffered for its caller. */
static bool caller_is_slow(const struct xfer *xfer)
{
	return xfer->response.is_event_stream &&
	       hs_response_unsent_bytes(xfer->call) > UNSENT_MAX;
}

void attempt_check_room(struct xfer *xfer)
{
	if (xfer->response.has_no_room)
		xfer_perform(xfer,
			     xfer->px.response_started ? PX_ABORT : PX_UNKNOWN,
			     "no_memory");
	else if (caller_is_slow(xfer))
		xfer_perform(xfer, PX_ABORT, "caller_does_not_read");
}

static void on_data(void *ctx, const char *ptr, size_t len)
{
	struct xfer *xfer = ctx;
	const char *why;

	guard_on_data(xfer);
	reach_on_data(xfer->proxyd, xfer->worker);
	if (!attempt_receive(xfer, ptr, len, events_relay, &why)) {
		hc_request_cancel(xfer->attempt);
		xfer->attempt = NULL;
		attempt_end(xfer, PX_END_INCOMPLETE, why);
	} else {
		attempt_check_room(xfer);
	}
}

/* Whether a status tells the caller that its request has not run. Without the
 * upstream's signature such a response may not be relayed. */
static bool status_means_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Whether a stream that has ended is whole: its last event is complete, and, if
 * it ended with its connection, it has one. A resumed stream may have none
 * left, unless the former attempt was cut off within an event. */
static bool stream_is_whole(const struct xfer *xfer)
{
	bool may_be_empty = xfer->px.response_started && !xfer->sse.was_partial;

	return sse_is_complete(&xfer->sse) &&
	       (!xfer->response.ends_with_connection || xfer->has_output ||
		may_be_empty);
}

/* Returns the start of the process that is listed with the worker's id. The
 * entry that was there before the attempt says nothing of a process that was
 * not listed yet. */
static int64_t listed_start(void *ctx)
{
	const struct xfer *xfer = ctx;
	const struct fleet_worker *worker =
		fleet_find(xfer->proxyd->fleet, xfer->worker->entry.id);
	int64_t start = worker ? worker->entry.started_at : 0;

	return start == xfer->worker->entry.started_at ? xfer->worker_start
						       : start;
}

/* Notes that the worker has ended a connection early: its process may have
 * ended. */
static void cut_note(struct xfer *xfer)
{
	reach_on_failure(xfer->proxyd, xfer->worker);
	fleet_on_cut(xfer->worker, proxyd_now(xfer->proxyd));
	guard_on_cut(xfer);
}

static void on_confirmed(void *ctx, const struct confirm_result *result)
{
	static const char *const names[] = {
		[PROOF_SILENT] = "no_answer",
		[PROOF_UNKNOWN] = "unknown_process",
		[PROOF_OTHER] = "other_process",
		[PROOF_SAME] = "same_process",
	};
	struct xfer *xfer = ctx;
	bool same = result->verdict == PROOF_SAME;

	xfer->confirm = NULL;
	for (unsigned i = 0; i < result->checks; i++)
		proxyd_count(xfer->proxyd, CTR_worker_probes);
	proxyd_count(xfer->proxyd,
		     same ? CTR_confirmed_ends : CTR_unconfirmed_ends);
	slog(SLOG_INFO, "end",
	     "id=%s worker=%s start=%" G_GINT64_FORMAT
	     " events=%" G_GUINT64_FORMAT
	     " checks=%u refused=%d took_ms=%" G_GINT64_FORMAT " outcome=%s",
	     xfer->id, xfer->worker->entry.id, xfer->worker_start,
	     xfer->sse.events, result->checks, result->is_refused, result->took,
	     names[result->verdict]);
	if (same) {
		attempt_judge(xfer, HC_COMPLETE);
		return;
	}
	/* A worker that only does not answer may be busy. */
	if (result->verdict == PROOF_OTHER || result->is_refused)
		cut_note(xfer);
	if (xfer->px.kind == PX_AT_MOST_ONCE)
		usage_count(xfer, 0);
	attempt_end(xfer, PX_END_INCOMPLETE, "end_not_proved");
}

/* Asks the worker whether the end of its connection is that of its response. */
static void attempt_confirm(struct xfer *xfer)
{
	const struct fleet_worker *worker = xfer->worker;
	struct confirm_spec spec = {
		.peer = worker->http_peer,
		.address = worker->entry.address,
		.worker = worker->entry.id,
		.health_path = xfer->pool->health_path,
		.says_start = xfer->pool->engine,
		.sent_start = xfer->worker_start,
		.began_at = xfer->response.began_at,
		/* The others can't go on elsewhere: until their deadline. */
		.timeout =
			xfer->px.kind == PX_RESUMABLE ? CONFIRM_MS : CLK_NEVER,
		.listed_start = listed_start,
		.fn = on_confirmed,
		.ctx = xfer,
	};

	xfer->confirm = confirm_start(&xfer->proxyd->loop, &spec);
	xfer_timer_arm(xfer);
}

static void on_end(void *ctx, enum hc_result result)
{
	struct xfer *xfer = ctx;

	xfer->attempt = NULL;
	if (!move_on_source_end(xfer, result))
		attempt_judge(xfer, result);
}

void attempt_end_unreached(struct xfer *xfer)
{
	reach_on_failure(xfer->proxyd, xfer->worker);
	fleet_on_cut(xfer->worker, proxyd_now(xfer->proxyd));
	attempt_end(xfer, PX_END_UNSENT, "no_connection");
}

void attempt_judge(struct xfer *xfer, enum hc_result result)
{
	const struct xfer_response *response = &xfer->response;

	if (response->has_head && response->head.not_run) {
		attempt_end(xfer, PX_END_NOT_RUN, "upstream_refused");
		return;
	}
	switch (result) {
	case HC_CLOSED:
		if (response->is_event_stream && !stream_is_whole(xfer))
			break;
		attempt_confirm(xfer);
		return;
	case HC_WITHDRAWN:
		attempt_end(xfer, PX_END_UNSENT, "worker_leaves");
		return;
	case HC_UNSENT:
		attempt_end_unreached(xfer);
		return;
	case HC_TRUNCATED:
	case HC_MALFORMED:
		if (result == HC_TRUNCATED)
			cut_note(xfer);
		if (xfer->px.kind == PX_AT_MOST_ONCE)
			usage_count(xfer, 0);
		attempt_end(xfer, PX_END_INCOMPLETE,
			    result == HC_MALFORMED ? "no_response" : "cut_off");
		return;
	case HC_COMPLETE:
		break;
	}
	if (response->is_event_stream && !stream_is_whole(xfer)) {
		guard_on_cut(xfer);
		attempt_end(xfer, PX_END_INCOMPLETE, "event_cut_off");
	} else if (!response->head.is_signed &&
		   status_means_not_run(response->status))
		attempt_end(xfer, PX_END_INCOMPLETE, "unproved_refusal");
	else {
		bool failed =
			response->status >= 500 || (xfer->px.response_started &&
						    !response->is_event_stream);

		guard_on_output(xfer, true);
		attempt_end(xfer, failed ? PX_END_FAILED : PX_END_COMPLETE,
			    failed ? "upstream_failed" : "answered");
	}
}

/* Ends the attempt as silent. */
static void attempt_end_silent(struct xfer *xfer)
{
	proxyd_count(xfer->proxyd, CTR_stalls);
	hc_request_cancel(xfer->attempt);
	xfer->attempt = NULL;
	attempt_end(xfer, PX_END_INCOMPLETE, "silent");
}

/* Whether a silent attempt may be followed by another one. */
static bool may_repeat(struct xfer *xfer)
{
	struct px_retry_conditions cond = attempt_retry_conditions(xfer);

	/* It can't be forwarded again. */
	if (xfer->forwarded &&
	    links_lost(xfer->proxyd->links, xfer->pool->name))
		return false;
	return xfer->px.attempts < xfer->px.max_attempts && cond.has_time &&
	       cond.has_budget && cond.has_upstream;
}

/* Whether another worker that has sent something since a time takes the request
 * now. */
static bool has_replacement(const struct xfer *xfer, clk_ms since)
{
	struct proxyd *proxyd = xfer->proxyd;
	struct fleet_request request = xfer->fleet_request;

	request.exclude = xfer->worker;
	request.heard_since = since;
	return fleet_choose(proxyd->fleet, &request, proxyd_now(proxyd))
		       .worker != NULL;
}

bool attempt_has_sound_other(struct xfer *xfer)
{
	return may_repeat(xfer) &&
	       has_replacement(xfer, proxyd_now(xfer->proxyd) - SOUND_MS);
}

void attempt_on_stall(struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;
	clk_ms now = proxyd_now(proxyd);

	xfer->stall_checked_at = now;
	if (!may_repeat(xfer))
		return;
	/* An upstream that is silent, too, or full, would be no better. */
	if (!has_replacement(xfer, now - SOUND_MS)) {
		reach_probe_other(proxyd, xfer->worker);
		return;
	}
	xfer->fleet_request.heard_since = now - SOUND_MS;
	attempt_end_silent(xfer);
}

void attempt_take_back(struct xfer *xfer)
{
	const struct links *links = xfer->proxyd->links;
	bool forwards = links_avoided(links, xfer->pool->name) &&
			forward_is_possible(xfer);
	/* While the links are in doubt, only workers that have sent something
	 * since count as reachable. */
	clk_ms since = MAX(links_doubted_at(links, xfer->pool->name), 0);

	if (!may_repeat(xfer) || (!forwards && !has_replacement(xfer, since)))
		return;
	xfer->fleet_request.heard_since = proxyd_now(xfer->proxyd) - SOUND_MS;
	attempt_end_silent(xfer);
}

clk_ms attempt_silence_limit(const struct xfer *xfer)
{
	switch (xfer->px.kind) {
	case PX_AT_MOST_ONCE:
	case PX_STREAM:
		/* Another attempt is not allowed: only the deadline applies. */
		return CLK_NEVER / 2;
	case PX_IDEMPOTENT:
		return (clk_ms)((double)(xfer->deadline - xfer->received_at) *
				SILENCE_SHARE);
	case PX_RESUMABLE:
		return xfer->has_output
			       ? STALL_MIN_MS
			       : MAX(STALL_MIN_MS,
				     (clk_ms)((double)xfer->route
						      ->latency_target *
					      FIRST_EVENT_FACTOR));
	}
	return CLK_NEVER / 2;
}

/* Formats the traceparent for the upstream; returns NULL if no spans are
 * written. */
static const char *attempt_trace(const struct xfer *xfer,
				 char buf[TRACE_PARENT_LEN + 1])
{
	if (!xfer->proxyd->tracer)
		return NULL;
	trace_parent_format(&xfer->attempt_span, buf);
	return buf;
}

/* Begins the span of an attempt. */
static void attempt_trace_begin(struct xfer *xfer)
{
	char parent[TRACE_PARENT_LEN + 1];

	if (!xfer->proxyd->tracer)
		return;
	trace_parent_format(&xfer->span, parent);
	trace_begin(xfer->proxyd->tracer, &xfer->attempt_span, parent,
		    TRACE_PARENT_LEN);
}

/* Whether the attempt may only be sent on a connection that is known to lead to
 * a certain process: a stream goes on at the version that began it, and the
 * source of a move is the process that gave out the handle. */
static bool needs_proof(const struct xfer *xfer)
{
	return fleet_needs_proof(xfer->worker, &xfer->fleet_request);
}

/* Whether the host that has forwarded the request can be told the version of
 * its stream only when the response begins: builds that don't know marks do not
 * use what they are told later. */
static bool forwarder_needs_version(const struct xfer *xfer)
{
	return xfer->forwarder && !peer_reads_marks(xfer->forwarder) &&
	       xfer->px.kind == PX_RESUMABLE &&
	       xfer->fleet_request.version == 0 &&
	       fleet_says_process(xfer->worker, &xfer->fleet_request);
}

/* Whether the worker is asked which process it is before it is sent the
 * request: the version of a stream is that of its process, and asking while the
 * stream runs takes another connection. One that does not say it ends the
 * connection of its answer, so it is asked while the stream runs. */
static bool wants_process(const struct xfer *xfer, clk_ms now)
{
	return (xfer->px.kind == PX_STREAM || xfer->px.kind == PX_RESUMABLE) &&
	       xfer->fleet_request.version == 0 &&
	       !h1_view_equals(hs_request_head(xfer->call)->method, "HEAD") &&
	       fleet_answers_process(xfer->worker) &&
	       fleet_may_ask_process(xfer->worker, &xfer->fleet_request, now) &&
	       !hc_peer_has_idle_known(xfer->worker->http_peer,
				       attempt_is_repeatable(xfer));
}

/* Returns the start of the process that the attempt is meant for, in ms of its
 * wall clock; 0: not known. */
static int64_t process_expected(const struct xfer *xfer,
				const struct fleet_worker *worker)
{
	return worker == xfer->move.source ? xfer->move.source_start
					   : worker->entry.started_at;
}

/* Returns the process that the attempt's connection must lead to; 0: it may be
 * any. The source of a move, which was asked, may have closed the connection of
 * its answer, and is the only one that has the run. */
static int64_t process_required(const struct xfer *xfer)
{
	bool is_proved = hc_peer_has_idle_to(xfer->worker->http_peer,
					     xfer->worker_start);

	if (needs_proof(xfer))
		return is_proved || xfer->worker != xfer->move.source
			       ? xfer->worker_start
			       : 0;
	return is_proved && forwarder_needs_version(xfer) ? xfer->worker_start
							  : 0;
}

void attempt_send(struct xfer *xfer)
{
	struct http_view body = hs_request_body(xfer->call);
	struct fleet_worker *worker = xfer->worker;
	char trace[TRACE_PARENT_LEN + 1];
	struct head_added added = {
		.trace = attempt_trace(xfer, trace),
		.account = xfer->account ? xfer->account->name : NULL,
		.worker = worker->entry.id,
		.time_left = MAX(xfer->deadline - proxyd_now(xfer->proxyd), 1),
		.priority = xfer->pool->engine ? xfer->priority : -1,
		.last_event_id =
			xfer->px.response_started ? xfer->sse.last_id : -1,
		.kv_handle = xfer->move.handle,
		.body_len = body.len,
		.has_body = body.len > 0 ||
			    hs_request_head(xfer->call)->framing != H1_NONE,
	};
	GString *head = head_request_build(hs_request_head(xfer->call), &added);
	GBytes *bytes = hs_request_body_ref(xfer->call);
	struct hc_request_spec spec = {
		.head = head->str,
		.head_len = head->len,
		.body = bytes,
		.id = xfer->id,
		.is_head = h1_view_equals(hs_request_head(xfer->call)->method,
					  "HEAD"),
		.is_repeatable = attempt_is_repeatable(xfer),
		.process = process_required(xfer),
		.may_send = may_send,
		.on_sent = on_sent,
		.on_head = on_head,
		.on_data = on_data,
		.on_end = on_end,
		.ctx = xfer,
	};

	xfer->attempt = hc_request_start(worker->http_peer, &spec);
	g_string_free(head, TRUE);
	if (bytes)
		g_bytes_unref(bytes);
}

void attempt_start(struct xfer *xfer, const struct fleet_choice *choice)
{
	struct proxyd *proxyd = xfer->proxyd;
	clk_ms now = proxyd_now(proxyd);
	struct fleet_worker *worker = choice->worker;
	clk_ms listed_at = proxyd->list_age.complete_at;

	slog(SLOG_INFO, "send",
	     "id=%s request=%016" G_GINT64_MODIFIER
	     "x route=%s account=%s worker=%s start=%" G_GINT64_FORMAT
	     " version=%s cost_ms=%.0f cached=%d "
	     "tokens=%d inflight=%u told=%d others=%d limit=%.2f "
	     "report_age_ms=%" G_GINT64_FORMAT
	     " candidates=%u config=%" G_GINT64_FORMAT
	     " list_age_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT,
	     xfer->id, xfer->identity, xfer->route->name,
	     xfer->account ? xfer->account->name : "", worker->entry.id,
	     worker->entry.started_at, worker->entry.version, choice->cost,
	     choice->cached_tokens, xfer->fleet_request.prompt_tokens,
	     worker->inflight, worker->peer_requests, worker->reported_others,
	     fleet_limit_rate(worker),
	     worker->reported_at ? now - worker->reported_at : -1,
	     choice->candidates, proxyd->tab_revision,
	     listed_at ? now - listed_at : -1, MAX(xfer->deadline - now, 1));
	if (listed_at)
		hist_add(&proxyd->list_ages, now - listed_at);
	attempt_trace_begin(xfer);
	xfer->worker = fleet_worker_ref(worker);
	rollout_on_start(xfer);
	xfer->worker_start = process_expected(xfer, worker);
	xfer->fleet_request.prefill_tokens =
		xfer->fleet_request.prompt_tokens - choice->cached_tokens;
	/* A run that goes on elsewhere has been prefilled in part. */
	xfer->fleet_request.shows_speed =
		xfer->move.state == MOVE_NONE && !xfer->px.response_started &&
		!xfer->resumes &&
		fleet_shows_speed(worker, &xfer->fleet_request);
	xfer->has_output = false;
	xfer->output_at = 0;
	xfer->sent_at = 0;
	xfer->ident_tries = 0;
	xfer->asked_at = 0;
	xfer->tries_room = fleet_begin(worker, &xfer->fleet_request, now);
	if (((needs_proof(xfer) || forwarder_needs_version(xfer)) &&
	     !hc_peer_has_idle_to(worker->http_peer, xfer->worker_start)) ||
	    wants_process(xfer, now))
		process_prove(xfer);
	else
		attempt_send(xfer);
}
