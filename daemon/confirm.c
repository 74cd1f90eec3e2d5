/* Asks the worker of a response that has ended with its connection. */
#include "confirm.h"

#include "../platform/health.h"
#include "../wire/due.h"

/* Until the worker is asked: a process that ends may close its connections one
 * after the other, and still answer. */
#define SETTLE_MS 20
/* Between the first two looks whether connections of a service are open: a
 * process that ends may close them one after the other, and reset a check. An
 * engine is asked meanwhile, and looked at again with the next check. */
#define LOOK_MS 50
/* Until a worker is asked again that has not answered, or rejected the check
 * for want of room. */
#define PERIOD_MS 200
/* How long a process that says too little is asked again. */
#define UNKNOWN_MS 1000

struct confirm {
	uv_loop_t *loop;
	struct confirm_spec spec;
	char *address;
	char *worker;
	char *health_path;
	struct health_check *check; /* NULL: none is in progress */
	bool is_mute;	      /* the process does not say when it started */
	bool is_open;	      /* an older connection, at the last look */
	bool had_connections; /* the same, and at the look before */
	unsigned looks;
	bool ended_connections;
	struct confirm_result result;
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

static void confirm_end(struct confirm *confirm)
{
	const struct confirm_spec spec = confirm->spec;
	struct confirm_result result = confirm->result;

	result.took = loop_now(confirm) - confirm->started_at;
	confirm_cancel(confirm);
	spec.fn(spec.ctx, &result);
}

/* Whether the process is asked when it started, which it alone can say. */
static bool asks_start(const struct confirm *confirm)
{
	return confirm->spec.says_start && !confirm->is_mute;
}

/* Judges what is known, with an answer or none; returns whether that decides.
 */
static bool confirm_judge(struct confirm *confirm,
			  const struct health_answer *answer)
{
	const struct confirm_spec *spec = &confirm->spec;
	struct proof_evidence evidence = {
		.sent_start = spec->sent_start,
		.listed_start = spec->listed_start(spec->ctx),
		.said_start = answer->started_at,
		.answered = answer->reached,
		.is_named = answer->is_named,
		.is_other = answer->is_other,
		.says_start = spec->says_start,
		.has_connections = confirm->had_connections,
		.ended_connections = confirm->ended_connections,
	};

	confirm->result.verdict = proof_judge(&evidence);
	return confirm->result.verdict == PROOF_SAME ||
	       confirm->result.verdict == PROOF_OTHER;
}

static void confirm_ask(struct confirm *confirm);

static void on_checked(void *ctx, const struct health_answer *answer)
{
	struct confirm *confirm = ctx;

	confirm->check = NULL;
	confirm->result.is_refused = answer->is_refused;
	if (confirm_judge(confirm, answer) || answer->is_refused) {
		confirm_end(confirm);
		return;
	}
	/* Neither the entry nor the process says a start: ask for its id by the
	 * health check. */
	if (!asks_start(confirm) || confirm->spec.sent_start ||
	    answer->started_at || !answer->reached)
		return;
	confirm->is_mute = true;
	confirm_ask(confirm);
}

static void confirm_ask(struct confirm *confirm)
{
	const char *path = asks_start(confirm) || !confirm->health_path[0]
				   ? NULL
				   : confirm->health_path;

	confirm->result.checks++;
	confirm->check =
		health_check_start(confirm->spec.peer, confirm->address, path,
				   confirm->worker, on_checked, confirm);
}

static void on_timer(void *ctx)
{
	static const struct health_answer none;
	struct confirm *confirm = ctx;
	const struct confirm_spec *spec = &confirm->spec;
	clk_ms age = loop_now(confirm) - confirm->started_at;
	bool is_open = hc_peer_has_older(spec->peer, spec->began_at);
	bool is_over = age >= spec->timeout ||
		       (age >= UNKNOWN_MS && !confirm->check &&
			confirm->result.verdict == PROOF_UNKNOWN);

	/* Before it is asked: the check may use the last such connection. */
	confirm->had_connections = confirm->is_open && is_open;
	confirm->is_open = is_open;
	if (confirm->result.checks == 0)
		confirm->ended_connections = hc_peer_ended_older(
			spec->peer, confirm->started_at - SETTLE_MS);
	if (confirm->looks++ == 0 && !asks_start(confirm))
		due_start(&confirm->timer, LOOK_MS, PERIOD_MS);
	if (is_over || ((!asks_start(confirm) || confirm->had_connections) &&
			confirm_judge(confirm, &none)))
		confirm_end(confirm);
	else if (!confirm->check && (asks_start(confirm) || !is_open))
		confirm_ask(confirm);
}

struct confirm *confirm_start(uv_loop_t *loop, const struct confirm_spec *spec)
{
	struct confirm *confirm = g_new0(struct confirm, 1);

	confirm->loop = loop;
	confirm->spec = *spec;
	confirm->address = g_strdup(spec->address);
	confirm->worker = g_strdup(spec->worker);
	confirm->health_path = g_strdup(spec->health_path);
	confirm->started_at = loop_now(confirm);
	due_init(loop, &confirm->timer, on_timer, confirm);
	due_start(&confirm->timer, SETTLE_MS, PERIOD_MS);
	return confirm;
}
