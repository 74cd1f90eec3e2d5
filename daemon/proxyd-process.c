/*
 * Which process of a worker is at the other end of a connection. The list of
 * workers says which one has a worker's id, and its software version; for some
 * time after a start it names the former one.
 */
#include "proxyd-xfer.h"

/* Without an answer, between two decisions whether to wait on. */
#define PERIOD_MS 400
#define WATCH_MS 2000 /* that an answer to a watch may take */
#define WISH_MS 100   /* that an attempt which may go anywhere waits for one */
/* Questions for an attempt: a worker may close the connection of an answer. */
#define TRIES_MAX 2

/* A question that no request waits for. */
struct watch {
	struct proxyd *proxyd;
	struct fleet_worker *worker;
	struct ident *ident; /* NULL: it has ended */
	GArray *streams;     /* keys of those that have begun there */
};

static void watch_free(void *ptr)
{
	struct watch *watch = ptr;

	if (watch->ident)
		ident_cancel(watch->ident);
	g_array_unref(watch->streams);
	fleet_worker_unref(watch->worker);
	g_free(watch);
}

/* Notes what a process has said. */
static void answer_note(struct proxyd *proxyd, struct fleet_worker *worker,
			const struct ident_answer *answer)
{
	bool is_listed = answer->start == worker->entry.started_at;

	if (answer->outcome == IDENT_SAID || answer->outcome == IDENT_OTHER)
		fleet_on_process(proxyd->fleet, worker, answer->start,
				 proxyd_now(proxyd));
	else
		fleet_on_unknown_process(worker, proxyd_now(proxyd));
	if (!is_listed)
		slog(SLOG_INFO, "process",
		     "worker=%s listed=%" G_GINT64_FORMAT
		     " said=%" G_GINT64_FORMAT " took_ms=%" G_GINT64_FORMAT
		     " outcome=%s",
		     worker->entry.id, worker->entry.started_at, answer->start,
		     answer->took, ident_name(answer->outcome));
	if (answer->start && !is_listed)
		proxyd_count(proxyd, CTR_unlisted_processes);
}

static bool watch_waits(void *ctx, clk_ms waited)
{
	(void)ctx;
	return waited < WATCH_MS;
}

static void on_watched(void *ctx, const struct ident_answer *answer)
{
	struct watch *watch = ctx;
	struct proxyd *proxyd = watch->proxyd;

	watch->ident = NULL;
	answer_note(proxyd, watch->worker, answer);
	/* The listed process was there before their connections were
	 * established, and still is. */
	if (answer->start && answer->start == watch->worker->entry.started_at)
		resume_on_listed_process(proxyd, watch->worker, watch->streams);
	else if (answer->start)
		resume_on_report(proxyd, watch->worker, answer);
	g_ptr_array_remove_fast(proxyd->watches, watch);
}

/* Returns the question to a worker, or NULL. */
static struct watch *watch_find(const struct proxyd *proxyd,
				const struct fleet_worker *worker)
{
	for (guint i = 0; i < proxyd->watches->len; i++) {
		struct watch *watch = g_ptr_array_index(proxyd->watches, i);

		if (watch->worker == worker)
			return watch;
	}
	return NULL;
}

/* Starts to ask a worker. */
static struct ident *process_ask(struct proxyd *proxyd,
				 struct fleet_worker *worker,
				 struct ident_spec *spec)
{
	spec->peer = worker->http_peer;
	spec->address = worker->entry.address;
	spec->worker = worker->entry.id;
	if (!spec->period)
		spec->period = PERIOD_MS;
	proxyd_count(proxyd, CTR_process_probes);
	return ident_start(&proxyd->loop, spec);
}

/* Starts to ask a worker which process it is. */
static struct watch *watch_start(struct proxyd *proxyd,
				 struct fleet_worker *worker)
{
	struct watch *watch = g_new0(struct watch, 1);
	struct ident_spec spec = {
		.waits = watch_waits,
		.fn = on_watched,
		.ctx = watch,
	};

	watch->proxyd = proxyd;
	watch->worker = fleet_worker_ref(worker);
	watch->streams = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_ptr_array_add(proxyd->watches, watch);
	watch->ident = process_ask(proxyd, worker, &spec);
	return watch;
}

void process_watch(struct proxyd *proxyd, struct fleet_worker *worker,
		   const struct fleet_request *request, uint64_t stream)
{
	struct watch *watch = watch_find(proxyd, worker);

	if (!watch && worker->http_peer &&
	    fleet_may_ask_process(worker, request, proxyd_now(proxyd)))
		watch = watch_start(proxyd, worker);
	if (!watch)
		return;
	for (guint i = 0; i < watch->streams->len; i++)
		if (g_array_index(watch->streams, uint64_t, i) == stream)
			return;
	g_array_append_val(watch->streams, stream);
}

bool process_is_watched(const struct proxyd *proxyd, uint64_t stream)
{
	for (guint i = 0; i < proxyd->watches->len; i++) {
		const struct watch *watch =
			g_ptr_array_index(proxyd->watches, i);

		for (guint j = 0; j < watch->streams->len; j++)
			if (g_array_index(watch->streams, uint64_t, j) ==
			    stream)
				return true;
	}
	return false;
}

/* Sends an attempt whose worker is the process that it should be. One that
 * leaves closes all connections, but is the only one that has the run of a
 * move. */
static void proved_send(struct xfer *xfer)
{
	const struct fleet_worker *worker = xfer->worker;

	if (worker->leaves_at && !attempt_may_send(xfer))
		attempt_end(xfer, PX_END_UNSENT, "worker_leaves");
	else if (hc_peer_has_idle_to(worker->http_peer, xfer->worker_start))
		attempt_send(xfer);
	else if (xfer->ident_tries < TRIES_MAX)
		process_prove(xfer);
	else if (worker == xfer->move.source)
		attempt_send(xfer);
	else
		attempt_end(xfer, PX_END_UNFIT, "connection_not_kept");
}

/* Whether the attempt must not be sent to another process. */
static bool proof_is_needed(const struct xfer *xfer)
{
	return fleet_needs_proof(xfer->worker, &xfer->fleet_request);
}

/* Sends an attempt that may go to any process, unless the connection for it has
 * failed. */
static void on_wish_answered(struct xfer *xfer,
			     const struct ident_answer *answer)
{
	/* Silence for so short a time says nothing of a worker, nor does a
	 * failed connect of its process. One that ends the connection without
	 * an answer is not asked first the next time. */
	if (answer->outcome != IDENT_SILENT && answer->is_sent)
		answer_note(xfer->proxyd, xfer->worker, answer);
	if (answer->outcome != IDENT_SILENT)
		xfer->asked_at = 0;
	if (answer->outcome == IDENT_REFUSED)
		attempt_end_unreached(xfer);
	else if (!attempt_may_send(xfer))
		attempt_end(xfer, PX_END_UNSENT, "worker_leaves");
	else {
		attempt_send(xfer);
		xfer_timer_arm(xfer);
	}
}

static void on_proved(void *ctx, const struct ident_answer *answer)
{
	struct xfer *xfer = ctx;

	xfer->ident = NULL;
	if (!proof_is_needed(xfer)) {
		on_wish_answered(xfer, answer);
		return;
	}
	answer_note(xfer->proxyd, xfer->worker, answer);
	switch (answer->outcome) {
	case IDENT_SAID:
		if (answer->start == xfer->worker_start)
			proved_send(xfer);
		else
			attempt_end(xfer, PX_END_UNFIT, "other_process");
		break;
	case IDENT_OTHER:
		attempt_end(xfer, PX_END_UNFIT, "other_process");
		break;
	case IDENT_MUTE:
		attempt_end(xfer, PX_END_UNFIT, "unknown_process");
		break;
	case IDENT_REFUSED:
		attempt_end_unreached(xfer);
		break;
	case IDENT_SILENT:
		reach_on_silence(xfer->proxyd, xfer->worker);
		attempt_end(xfer, PX_END_UNSENT, "silent_process");
		break;
	}
}

/* A worker that is silent for a while may be sound: the request waits for it
 * unless another one can have it. */
static bool proof_waits(void *ctx, clk_ms waited)
{
	(void)waited;
	return proof_is_needed(ctx) && !attempt_has_sound_other(ctx);
}

bool process_is_asked_first(const struct xfer *xfer)
{
	return xfer->ident && !xfer->settles && !proof_is_needed(xfer);
}

void process_prove(struct xfer *xfer)
{
	bool is_needed = proof_is_needed(xfer);
	struct ident_spec spec = {
		.period = is_needed ? PERIOD_MS : WISH_MS,
		.from_sent = !is_needed,
		.waits = proof_waits,
		.fn = on_proved,
		.ctx = xfer,
	};

	xfer->ident_tries++;
	if (!is_needed)
		xfer->asked_at = proxyd_now(xfer->proxyd);
	xfer->ident = process_ask(xfer->proxyd, xfer->worker, &spec);
}

/* The worker of an attempt that has ended says which process it is now. If it
 * is the listed one, the attempt was there, too. */
static void on_settled(void *ctx, const struct ident_answer *answer)
{
	struct xfer *xfer = ctx;

	xfer->ident = NULL;
	answer_note(xfer->proxyd, xfer->worker, answer);
	if (answer->start == xfer->worker->entry.started_at)
		resume_record(xfer, answer->start);
	attempt_end(xfer, PX_END_INCOMPLETE, xfer->settles);
}

static bool settle_waits(void *ctx, clk_ms waited)
{
	(void)ctx;
	return waited < PERIOD_MS;
}

bool process_settle(struct xfer *xfer, const char *why)
{
	struct ident_spec spec = {
		.waits = settle_waits,
		.fn = on_settled,
		.ctx = xfer,
	};

	if (xfer->settles || !xfer->px.response_started ||
	    xfer->px.kind != PX_RESUMABLE || !xfer->worker->http_peer ||
	    origin_is_known(xfer->fleet_request.version) ||
	    xfer->worker_start != xfer->worker->entry.started_at ||
	    !fleet_says_process(xfer->worker, &xfer->fleet_request))
		return false;
	xfer->settles = why;
	xfer->ident = process_ask(xfer->proxyd, xfer->worker, &spec);
	return true;
}

void process_tick(struct proxyd *proxyd)
{
	fleet_expire(proxyd->fleet, proxyd_now(proxyd));
}

void process_start(struct proxyd *proxyd)
{
	proxyd->watches = g_ptr_array_new_with_free_func(watch_free);
}
