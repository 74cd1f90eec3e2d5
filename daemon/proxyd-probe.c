/*
 * Health checks of workers whose limit allows no requests, or next to none: no
 * response to a request would tell that it has been raised. The issuer of the
 * worker's permits sends them.
 */
#include "proxyd-xfer.h"

#include "../platform/health.h"

#define PROBE_RATE 0.1 /* requests a second, up to which there are checks */
#define PROBE_PERIOD_MS 5000
#define PROBE_TIMEOUT_MS 2000

struct probe {
	struct proxyd *proxyd;
	struct fleet_worker *worker;
	struct health_check *check; /* NULL: it has ended */
	clk_ms sent_at;
};

static void probe_free(void *ptr)
{
	struct probe *probe = ptr;

	if (probe->check)
		health_check_cancel(probe->check);
	fleet_worker_unref(probe->worker);
	g_free(probe);
}

static void on_checked(void *ctx, const struct head_response *head)
{
	struct probe *probe = ctx;

	probe->check = NULL;
	if (head && !probe->worker->removed)
		permit_on_response(probe->proxyd, probe->worker, head,
				   probe->sent_at);
}

void probe_send(struct proxyd *proxyd, struct fleet_worker *worker)
{
	const struct tab_pool *pool =
		proxyd->tab ? g_hash_table_lookup(proxyd->tab->pools,
						  worker->entry.pool)
			    : NULL;
	clk_ms now = proxyd_now(proxyd);
	struct probe *probe;

	if (fleet_limit_rate(worker) > PROBE_RATE || !worker->http_peer ||
	    now - worker->limit.probed_at < PROBE_PERIOD_MS || !pool ||
	    !pool->health_path[0])
		return;
	worker->limit.probed_at = now;
	proxyd_count(proxyd, CTR_worker_probes);
	probe = g_new0(struct probe, 1);
	probe->proxyd = proxyd;
	probe->worker = fleet_worker_ref(worker);
	probe->sent_at = now;
	probe->check = health_check_start(
		worker->http_peer, worker->entry.address, pool->health_path,
		worker->entry.id, on_checked, probe);
	g_ptr_array_add(proxyd->probes, probe);
}

void probe_tick(struct proxyd *proxyd)
{
	clk_ms now = proxyd_now(proxyd);

	for (guint i = proxyd->probes->len; i-- > 0;) {
		const struct probe *probe =
			g_ptr_array_index(proxyd->probes, i);

		if (!probe->check || now - probe->sent_at > PROBE_TIMEOUT_MS)
			g_ptr_array_remove_index_fast(proxyd->probes, i);
	}
}

void probe_start(struct proxyd *proxyd)
{
	proxyd->probes = g_ptr_array_new_with_free_func(probe_free);
}
