/*
 * Health checks of workers that take no requests of this host: those whose
 * limit allows none, or next to none, as no response to a request would tell
 * that it has been raised, or may be that of a former process; the issuer of
 * the worker's permits sends them. Those whose process is listed in place of
 * one that wanted no requests, which may have been this one. And those to which
 * the links may be lost (decide/links.h).
 */
#include "proxyd-xfer.h"

#include "../platform/health.h"

#define PROBE_RATE 0.1 /* requests a second, up to which there are checks */
#define PROBE_PERIOD_MS 5000
#define PROBE_TIMEOUT_MS 2000
#define LINK_TIMEOUT_MS 400 /* of a check whether a worker can be reached */

struct probe {
	struct proxyd *proxyd;
	struct fleet_worker *worker;
	struct health_check *check; /* NULL: it has ended */
	clk_ms sent_at;
	clk_ms timeout; /* ms */
};

static void probe_free(void *ptr)
{
	struct probe *probe = ptr;

	if (probe->check)
		health_check_cancel(probe->check);
	fleet_worker_unref(probe->worker);
	g_free(probe);
}

/* Notes what a worker wants, unless another one has answered. */
static void wishes_note(struct probe *probe, const struct health_answer *answer)
{
	if (!answer->reached || answer->is_other || probe->worker->removed)
		return;
	if (answer->head.leaving)
		follow_worker_leaves(probe->proxyd, probe->worker, "said_so");
	if (answer->head.retry_after > 0)
		fleet_withhold(probe->worker, answer->head.retry_after,
			       proxyd_now(probe->proxyd));
}

static void on_checked(void *ctx, const struct health_answer *answer)
{
	struct probe *probe = ctx;

	probe->check = NULL;
	if (answer->reached)
		reach_on_data(probe->proxyd, probe->worker);
	else
		reach_on_failure(probe->proxyd, probe->worker);
	wishes_note(probe, answer);
	/* Another process may have the worker's address. */
	if (answer->is_named && !probe->worker->removed)
		permit_on_response(probe->proxyd, probe->worker, &answer->head,
				   probe->sent_at);
}

/* Sends a check; returns false if the worker's pool has none. */
static bool probe_start_check(struct proxyd *proxyd,
			      struct fleet_worker *worker, clk_ms timeout)
{
	const struct tab_pool *pool =
		proxyd->tab ? g_hash_table_lookup(proxyd->tab->pools,
						  worker->entry.pool)
			    : NULL;
	struct probe *probe;

	if (!worker->http_peer || !pool || !pool->health_path[0])
		return false;
	proxyd_count(proxyd, CTR_worker_probes);
	probe = g_new0(struct probe, 1);
	probe->proxyd = proxyd;
	probe->worker = fleet_worker_ref(worker);
	probe->sent_at = proxyd_now(proxyd);
	probe->timeout = timeout;
	probe->check = health_check_start(
		worker->http_peer, worker->entry.address, pool->health_path,
		worker->entry.id, on_checked, probe);
	g_ptr_array_add(proxyd->probes, probe);
	return true;
}

void probe_send(struct proxyd *proxyd, struct fleet_worker *worker)
{
	clk_ms now = proxyd_now(proxyd);

	if ((fleet_limit_rate(worker) > PROBE_RATE &&
	     !worker->limit.inherited) ||
	    now - worker->limit.probed_at < PROBE_PERIOD_MS)
		return;
	if (probe_start_check(proxyd, worker, PROBE_TIMEOUT_MS))
		worker->limit.probed_at = now;
}

bool probe_link(struct proxyd *proxyd, struct fleet_worker *worker)
{
	return probe_start_check(proxyd, worker, LINK_TIMEOUT_MS);
}

void probe_wishes(struct proxyd *proxyd, struct fleet_worker *worker)
{
	clk_ms now = proxyd_now(proxyd);

	if (now < worker->doubted_until && probe_link(proxyd, worker))
		fleet_withhold(worker, LINK_TIMEOUT_MS, now);
}

void probe_tick(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);

	for (guint i = proxyd->probes->len; i-- > 0;) {
		struct probe *probe = g_ptr_array_index(proxyd->probes, i);

		if (probe->check && now - probe->sent_at <= probe->timeout)
			continue;
		if (probe->check)
			reach_on_silence(proxyd, probe->worker);
		g_ptr_array_remove_index_fast(proxyd->probes, i);
	}
}

void probe_start(struct proxyd *proxyd)
{
	proxyd->probes = g_ptr_array_new_with_free_func(probe_free);
}
