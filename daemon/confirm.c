/* Asks the worker of a response that has ended with its connection. */
#include "confirm.h"

#include "../platform/health.h"
#include "../wire/due.h"

#define TIMEOUT_MS 1000
/* A kept connection may have been closed as idle, and a report may not say when
 * the process started. */
#define CHECKS_MAX 3

struct confirm {
	uv_loop_t *loop;
	struct confirm_spec spec;
	char *address;
	char *worker;
	char *health_path;
	struct health_check *check;
	unsigned checks;
	bool asks_report;
	clk_ms started_at;
	struct due_timer timer;
};

static clk_ms loop_now(const struct confirm *confirm)
{
	return (clk_ms)uv_now(confirm->loop);
}

static void on_timer_closed(void *ctx)
{
	struct confirm *confirm = ctx;

	g_free(confirm->address);
	g_free(confirm->worker);
	g_free(confirm->health_path);
	g_free(confirm);
}

void confirm_cancel(struct confirm *confirm)
{
	if (confirm->check)
		health_check_cancel(confirm->check);
	confirm->check = NULL;
	due_close(&confirm->timer, on_timer_closed);
}

static void confirm_end(struct confirm *confirm, enum proof_verdict verdict)
{
	struct confirm_spec spec = confirm->spec;
	clk_ms took = loop_now(confirm) - confirm->started_at;

	confirm_cancel(confirm);
	spec.fn(spec.ctx, verdict, took);
}

static void on_timeout(void *ctx)
{
	confirm_end(ctx, PROOF_SILENT);
}

static void confirm_ask(struct confirm *confirm);

static void on_checked(void *ctx, const struct health_answer *answer)
{
	struct confirm *confirm = ctx;
	struct proof_evidence evidence = {
		.answered = answer->reached,
		.is_named = answer->is_named,
		.is_other = answer->is_other,
		.started_at = answer->started_at,
		.sent_to = confirm->spec.sent_to,
		.listed = confirm->spec.listed(confirm->spec.ctx),
	};
	enum proof_verdict verdict = proof_judge(&evidence);

	confirm->check = NULL;
	if (verdict == PROOF_UNKNOWN)
		confirm->asks_report = false;
	if ((verdict == PROOF_UNKNOWN || verdict == PROOF_SILENT) &&
	    confirm->checks < CHECKS_MAX)
		confirm_ask(confirm);
	else
		confirm_end(confirm, verdict);
}

static void confirm_ask(struct confirm *confirm)
{
	confirm->checks++;
	confirm->check = health_check_start(
		confirm->spec.peer, confirm->address,
		confirm->asks_report || !confirm->health_path[0]
			? NULL
			: confirm->health_path,
		confirm->worker, on_checked, confirm);
}

struct confirm *confirm_start(uv_loop_t *loop, const struct confirm_spec *spec)
{
	struct confirm *confirm = g_new0(struct confirm, 1);

	confirm->loop = loop;
	confirm->spec = *spec;
	confirm->address = g_strdup(spec->address);
	confirm->worker = g_strdup(spec->worker);
	confirm->health_path = g_strdup(spec->health_path);
	confirm->asks_report = spec->reports && spec->sent_to;
	confirm->started_at = loop_now(confirm);
	due_init(loop, &confirm->timer, on_timeout, confirm);
	due_start(&confirm->timer, TIMEOUT_MS, 0);
	confirm_ask(confirm);
	return confirm;
}
