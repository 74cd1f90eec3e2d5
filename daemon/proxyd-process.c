/*
 * Which process of a worker is at the other end of a connection. The list of
 * workers says which one has a worker's id, and its software version; for some
 * time after a start it names the former one.
 */
#include "proxyd-xfer.h"

#include "ident.h"

#define PERIOD_MS                                                              \
	400	      /* without an answer, until it is decided what follows   \
		       */
#define WATCH_MS 2000 /* that an answer to a watch may take */
/* Questions for an attempt: a worker may close the connection of an answer. */
#define TRIES_MAX 2

/* A question that no request waits for. */
struct watch {
	struct proxyd *proxyd;
	struct fleet_worker *worker;
	struct ident *ident; /* NULL: it has ended */
};

static void watch_free(void *ptr)
{
	struct watch *watch = ptr;

	if (watch->ident)
		ident_cancel(watch->ident);
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
	resume_on_process(proxyd, watch->worker);
	g_ptr_array_remove_fast(proxyd->watches, watch);
}

static bool is_watched(const struct proxyd *proxyd,
		       const struct fleet_worker *worker)
{
	for (guint i = 0; i < proxyd->watches->len; i++) {
		const struct watch *watch =
			g_ptr_array_index(proxyd->watches, i);

		if (watch->worker == worker)
			return true;
	}
	return false;
}

/* Starts to ask a worker. */
static struct ident *process_ask(struct proxyd *proxyd,
				 struct fleet_worker *worker,
				 struct ident_spec *spec)
{
	spec->peer = worker->http_peer;
	spec->address = worker->entry.address;
	spec->worker = worker->entry.id;
	spec->period = PERIOD_MS;
	proxyd_count(proxyd, CTR_process_probes);
	return ident_start(&proxyd->loop, spec);
}

void process_watch(const struct xfer *xfer)
{
	struct proxyd *proxyd = xfer->proxyd;
	struct fleet_worker *worker = xfer->worker;
	struct ident_spec spec = { .waits = watch_waits, .fn = on_watched };
	struct watch *watch;

	if (!fleet_may_ask_process(worker, &xfer->fleet_request,
				   proxyd_now(proxyd)) ||
	    hc_peer_knows_process(worker->http_peer) ||
	    is_watched(proxyd, worker))
		return;
	watch = g_new0(struct watch, 1);
	watch->proxyd = proxyd;
	watch->worker = fleet_worker_ref(worker);
	spec.ctx = watch;
	g_ptr_array_add(proxyd->watches, watch);
	watch->ident = process_ask(proxyd, worker, &spec);
}

/* Sends an attempt whose worker is the listed process. */
static void proved_send(struct xfer *xfer)
{
	const struct fleet_worker *worker = xfer->worker;

	if (hc_peer_has_idle_to(worker->http_peer, xfer->worker_start))
		attempt_send(xfer);
	else if (xfer->ident_tries < TRIES_MAX)
		process_prove(xfer);
	else
		attempt_end(xfer, PX_END_UNSENT, "connection_not_kept");
}

static void on_proved(void *ctx, const struct ident_answer *answer)
{
	struct xfer *xfer = ctx;

	xfer->ident = NULL;
	answer_note(xfer->proxyd, xfer->worker, answer);
	switch (answer->outcome) {
	case IDENT_SAID:
		if (answer->start == xfer->worker_start)
			proved_send(xfer);
		else
			attempt_end(xfer, PX_END_UNSENT, "other_process");
		break;
	case IDENT_OTHER:
		attempt_end(xfer, PX_END_UNSENT, "other_process");
		break;
	case IDENT_MUTE:
		attempt_end(xfer, PX_END_UNSENT, "unknown_process");
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
	return !attempt_has_sound_other(ctx);
}

void process_prove(struct xfer *xfer)
{
	struct ident_spec spec = {
		.waits = proof_waits,
		.fn = on_proved,
		.ctx = xfer,
	};

	xfer->ident_tries++;
	xfer->ident = process_ask(xfer->proxyd, xfer->worker, &spec);
}

void process_tick(struct proxyd *proxyd)
{
	fleet_expire(proxyd->fleet, proxyd_now(proxyd));
}

void process_start(struct proxyd *proxyd)
{
	proxyd->watches = g_ptr_array_new_with_free_func(watch_free);
}
