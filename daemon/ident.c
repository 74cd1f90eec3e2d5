/* Asks a worker which process it is. */
#include "ident.h"

#include "../wire/due.h"

struct ident {
	uv_loop_t *loop;
	struct ident_spec spec;
	struct health_check *check; /* NULL: it has ended */
	clk_ms started_at;
	bool is_sent;
	struct due_timer timer;
};

static void on_timer_closed(void *ctx)
{
	g_free(ctx);
}

void ident_cancel(struct ident *ident)
{
	if (ident->check)
		health_check_cancel(ident->check);
	ident->check = NULL;
	due_close(&ident->timer, on_timer_closed);
}

static clk_ms waited(const struct ident *ident)
{
	return (clk_ms)uv_now(ident->loop) - ident->started_at;
}

static void ident_end(struct ident *ident, enum ident_outcome outcome,
		      const struct health_answer *said)
{
	const struct ident_spec spec = ident->spec;
	struct ident_answer answer = {
		.outcome = outcome,
		.start = outcome == IDENT_SAID ? said->started_at : 0,
		.report = outcome == IDENT_SAID ? said->report : NULL,
		.is_sent = ident->is_sent,
		.took = waited(ident),
	};

	ident_cancel(ident);
	spec.fn(spec.ctx, &answer);
}

static void on_checked(void *ctx, const struct health_answer *answer)
{
	struct ident *ident = ctx;

	ident->check = NULL;
	if (!answer->reached)
		ident_end(ident, IDENT_REFUSED, answer);
	else if (answer->is_other)
		ident_end(ident, IDENT_OTHER, answer);
	else if (answer->started_at <= 0)
		ident_end(ident, IDENT_MUTE, answer);
	else
		ident_end(ident, IDENT_SAID, answer);
}

static void on_timer(void *ctx)
{
	struct ident *ident = ctx;

	if (!ident->spec.waits(ident->spec.ctx, waited(ident)))
		ident_end(ident, IDENT_SILENT, NULL);
}

static void on_sent(void *ctx)
{
	struct ident *ident = ctx;

	ident->is_sent = true;
	if (ident->spec.from_sent)
		due_start(&ident->timer, ident->spec.period,
			  ident->spec.period);
}

struct ident *ident_start(uv_loop_t *loop, const struct ident_spec *spec)
{
	struct ident *ident = g_new0(struct ident, 1);

	ident->loop = loop;
	ident->spec = *spec;
	ident->started_at = (clk_ms)uv_now(loop);
	due_init(loop, &ident->timer, on_timer, ident);
	if (!spec->from_sent)
		due_start(&ident->timer, spec->period, spec->period);
	ident->check =
		health_name_start(spec->peer, spec->address, spec->worker,
				  on_sent, on_checked, ident);
	return ident;
}

const char *ident_name(enum ident_outcome outcome)
{
	static const char *const names[] = {
		[IDENT_SAID] = "said",	   [IDENT_OTHER] = "other",
		[IDENT_MUTE] = "mute",	   [IDENT_REFUSED] = "refused",
		[IDENT_SILENT] = "silent",
	};

	return names[outcome];
}
