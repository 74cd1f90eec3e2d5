/*
 * Streams at workers that are leaving: a stream that is still running shortly
 * before its worker leaves is moved to another worker with its KV cache, and
 * resumes there.
 */
#include "proxyd-xfer.h"

#include <string.h>

#define MOVE_BEFORE_MS 900   /* before a worker leaves, for all its streams */
#define MOVE_TIMEOUT_MS 1500 /* for the call and the source stream's end */
/* Before the end of the time in which requests may reach a worker that leaves:
 * a list that is late, and the way to the worker. */
#define SOURCE_MARGIN_MS 300

bool move_source_takes(const struct xfer *xfer)
{
	const struct fleet_worker *source = xfer->move.source;

	return source->http_peer &&
	       (!source->leaves_at ||
		proxyd_now(xfer->proxyd) <
			source->drained_at - SOURCE_MARGIN_MS);
}

bool move_can_go_back(const struct xfer *xfer)
{
	const struct xfer_move *move = &xfer->move;

	return move->state == MOVE_CONTINUED && move->target != move->source &&
	       move_source_takes(xfer);
}

static void move_go_back(struct xfer_move *move)
{
	fleet_worker_unref(move->target);
	move->target = fleet_worker_ref(move->source);
}

void move_continue(struct xfer *xfer)
{
	struct xfer_move *move = &xfer->move;
	struct px_retry_conditions cond;
	struct fleet_choice choice;

	if (move->state == MOVE_CONTINUED)
		move_go_back(move);
	move->state = MOVE_CONTINUED;
	if (!move->target->http_peer) {
		cond = attempt_retry_conditions(xfer);
		xfer_perform(xfer, px_on_end(&xfer->px, PX_END_UNSENT, &cond),
			     "moved_to_lost_worker");
		return;
	}
	choice = (struct fleet_choice){
		.worker = move->target,
		.cached_tokens = xfer->fleet_request.prompt_tokens,
	};
	attempt_start(xfer, &choice);
	xfer_timer_arm(xfer);
}

/* Whether the source's stream has ended by itself, before the call that was to
 * stop it. */
static bool source_ended_first(const struct xfer_move *move)
{
	return move->outcome == ENGINE_NOT_RUNNING &&
	       move->source_result == HC_CLOSED;
}

/* Finishes a move once its call and the source stream have ended: resumes at
 * the target or, if nothing was moved, treats the attempt as incomplete, unless
 * its stream had ended before. */
static void move_finish(struct xfer *xfer)
{
	struct xfer_move *move = &xfer->move;

	if (move->call || !move->source_ended)
		return;
	move->state = MOVE_DONE;
	if (!move->handle && source_ended_first(move)) {
		attempt_judge(xfer, move->source_result);
		return;
	}
	if (!move->handle ||
	    (move->target == move->source && !move_source_takes(xfer))) {
		/* Nothing was moved: same as any other truncated stream. */
		attempt_end(xfer, PX_END_INCOMPLETE, "moved_in_vain");
		return;
	}
	proxyd_count(xfer->proxyd, CTR_moves);
	slog(SLOG_INFO, "move",
	     "id=%s from=%s to=%s last_event=%" G_GINT64_FORMAT
	     " took_ms=%" G_GINT64_FORMAT " outcome=goes_on",
	     xfer->id, xfer->worker->entry.id, move->target->entry.id,
	     xfer->sse.last_id, proxyd_now(xfer->proxyd) - move->started_at);
	xfer_perform(xfer, px_on_moved(&xfer->px), "moved");
}

/* Whether the call has stopped no run: it goes on, or had ended before. */
static bool stops_nothing(enum engine_outcome outcome)
{
	return outcome == ENGINE_NOT_RUNNING || outcome == ENGINE_UNREACHED;
}

static void on_moved(void *ctx, enum engine_outcome outcome, const char *handle)
{
	static const char *const names[] = {
		[ENGINE_MOVED] = "moved",
		[ENGINE_STOPPED] = "stopped",
		[ENGINE_NOT_RUNNING] = "no_run",
		[ENGINE_UNREACHED] = "not_reached",
		[ENGINE_FAILED] = "failed",
	};
	struct xfer *xfer = ctx;
	struct xfer_move *move = &xfer->move;

	move->call = NULL;
	move->outcome = outcome;
	if (outcome != ENGINE_MOVED)
		slog(SLOG_INFO, "move",
		     "id=%s from=%s to=%s took_ms=%" G_GINT64_FORMAT
		     " outcome=%s",
		     xfer->id, xfer->worker->entry.id, move->target->entry.id,
		     proxyd_now(xfer->proxyd) - move->started_at,
		     names[outcome]);
	if (outcome == ENGINE_MOVED) {
		move->handle = g_strdup(handle);
	} else if (outcome == ENGINE_STOPPED) {
		/* It resumes at the source, where its KV cache still is. */
		move->handle = g_strdup(handle);
		move_go_back(move);
	} else if (stops_nothing(outcome) && !move->source_ended) {
		move->state = MOVE_DONE;
		return;
	}
	move_finish(xfer);
}

bool move_on_source_end(struct xfer *xfer, enum hc_result result)
{
	struct xfer_move *move = &xfer->move;

	/* A stream that the source stops is closed without its end, which is
	 * how every stream without a length ends. */
	if (move->state != MOVE_RUNNING || result == HC_COMPLETE)
		return false;
	move->source_ended = true;
	move->source_result = result;
	move_finish(xfer);
	return true;
}

void move_clear(struct xfer *xfer)
{
	struct xfer_move *move = &xfer->move;

	if (move->call)
		engine_move_cancel(move->call);
	if (move->target)
		fleet_worker_unref(move->target);
	if (move->source) {
		move->source->moves--;
		proxyd_drop_peer(move->source);
		fleet_worker_unref(move->source);
	}
	g_free(move->handle);
	*move = (struct xfer_move){ .state = MOVE_NONE };
}

/* Whether a stream is due to be moved. */
static bool move_is_due(const struct xfer *xfer, clk_ms now)
{
	const struct fleet_worker *worker = xfer->worker;

	return worker && worker->leaves_at && xfer->attempt &&
	       xfer->has_output && xfer->response.is_event_stream &&
	       xfer->move.state == MOVE_NONE && xfer->pool->engine &&
	       worker->http_peer && now >= worker->withheld_until &&
	       now >= worker->leaves_at - MOVE_BEFORE_MS;
}

static void move_start(struct xfer *xfer, clk_ms now)
{
	struct proxyd *proxyd = xfer->proxyd;
	struct xfer_move *move = &xfer->move;
	struct fleet_choice choice;

	resume_update_listed(xfer);
	choice = fleet_choose(proxyd->fleet, &xfer->fleet_request, now);
	if (!choice.worker || choice.worker == xfer->worker)
		return;
	move->state = MOVE_RUNNING;
	move->started_at = now;
	move->target = fleet_worker_ref(choice.worker);
	move->source = fleet_worker_ref(xfer->worker);
	move->source_start = xfer->worker_start;
	move->source->moves++;
	move->call = engine_move_start(
		xfer->worker->http_peer, xfer->worker->entry.address, xfer->id,
		choice.worker->entry.address, on_moved, xfer);
}

/* Gives up a move that takes too long. */
static void move_time_out(struct xfer *xfer)
{
	slog(SLOG_INFO, "move", "id=%s from=%s outcome=late", xfer->id,
	     xfer->worker->entry.id);
	if (xfer->move.call)
		engine_move_cancel(xfer->move.call);
	xfer->move.call = NULL;
	if (xfer->attempt)
		hc_request_cancel(xfer->attempt);
	xfer->attempt = NULL;
	xfer->move.source_ended = true;
	xfer->move.source_result = HC_TRUNCATED;
	move_finish(xfer);
}

void move_tick(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);
	GHashTableIter iter;
	gpointer key;
	GPtrArray *overdue = g_ptr_array_new();

	g_hash_table_iter_init(&iter, proxyd->open_requests);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct xfer *xfer = key;

		if (move_is_due(xfer, now))
			move_start(xfer, now);
		else if (xfer->move.state == MOVE_RUNNING &&
			 now - xfer->move.started_at > MOVE_TIMEOUT_MS)
			g_ptr_array_add(overdue, xfer);
	}
	/* Done after the iteration: giving up may end a request and so change
	 * the table. */
	for (guint i = 0; i < overdue->len; i++)
		move_time_out(g_ptr_array_index(overdue, i));
	g_ptr_array_free(overdue, TRUE);
}
