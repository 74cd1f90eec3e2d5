/*
 * Roll-outs of software versions (rollout.h) in this process: where requests
 * are sent, and what is counted of their attempts.
 */
#include "proxyd-xfer.h"

#include <string.h>

#include "rollout.h"

/* After the route's name, of the time for each event of a stream. */
#define PACE_SUFFIX "/pace"

static clk_ms op_now(void *ctx)
{
	return proxyd_now(ctx);
}

static clk_ms op_wall(void *ctx)
{
	return proxyd_wall(ctx);
}

static bool op_leads(void *ctx)
{
	const struct proxyd *proxyd = ctx;

	return lease_may_act(&proxyd->leader_lease, proxyd_boot_now());
}

static unsigned op_host_count(void *ctx)
{
	return peer_hosts_maybe_running(ctx);
}

static const char *op_process(void *ctx)
{
	const struct proxyd *proxyd = ctx;

	return proxyd->members->self.incarnation;
}

static struct rollout_view op_view(void *ctx, const char *service,
				   const char *target)
{
	const struct proxyd *proxyd = ctx;
	uint32_t key = fleet_version_key(target);
	struct rollout_view view = { .is_idle = true };
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, proxyd->fleet->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct fleet_worker *worker = value;

		if (strcmp(worker->entry.pool, service) != 0)
			continue;
		if (worker->version == key)
			view.is_served |= fleet_takes_work(worker);
		else if (worker->inflight > 0 || worker->peer_requests > 0)
			view.is_idle = false;
	}
	return view;
}

/* Whether a host may lead, or is the process that a message is meant for. */
static bool is_receiver(const struct proxyd *proxyd,
			const struct member_update *host, const char *process)
{
	if (host->state == MEMBER_DEAD ||
	    !build_has(host->incarnation, BUILD_ROLLOUT))
		return false;
	if (process)
		return !strcmp(host->incarnation, process);
	return g_hash_table_contains(proxyd->feed.followers, host->rpc);
}

static void op_send(void *ctx, const w_rollout *message, const char *process)
{
	const struct proxyd *proxyd = ctx;
	const GPtrArray *order = proxyd->members->order;

	for (guint i = 0; i < order->len; i++) {
		const struct member *member = g_ptr_array_index(order, i);

		if (is_receiver(proxyd, &member->info, process))
			rpc_send_rollout(proxyd->rpc, member->info.rpc,
					 message);
	}
}

static void op_step(void *ctx, enum rollout_phase phase)
{
	static const enum ctr counters[] = {
		[ROLLOUT_SHIFTED] = CTR_rollouts_shifted,
		[ROLLOUT_COMPLETED] = CTR_rollouts_completed,
		[ROLLOUT_ROLLED_BACK] = CTR_rollouts_rolled_back,
	};

	proxyd_count(ctx, counters[phase]);
}

static struct rollout_options options_of(const struct conf_proxy *conf)
{
	return (struct rollout_options){
		.share = conf->exposure_share,
		.tolerance = (unsigned)conf->exposure_tolerance,
		.rollback_timeout = conf->rollback_timeout_ms,
	};
}

void rollout_start(struct proxyd *proxyd)
{
	static const struct rollout_ops ops = {
		.now = op_now,
		.wall = op_wall,
		.leads = op_leads,
		.host_count = op_host_count,
		.process = op_process,
		.view = op_view,
		.send = op_send,
		.step = op_step,
	};
	struct rollout_options options = options_of(proxyd->conf);

	proxyd->rollouts = rollouts_create(proxyd->kv, &options, &ops, proxyd);
}

void rollout_on_settings(struct proxyd *proxyd)
{
	struct rollout_options options = options_of(proxyd->conf);

	rollouts_set_options(proxyd->rollouts, &options);
}

void rollout_on_item(struct proxyd *proxyd, const struct store_item *item)
{
	if (g_str_has_prefix(item->key, ROLLOUT_ORDER_PREFIX))
		rollouts_on_order(proxyd->rollouts, item);
	else if (g_str_has_prefix(item->key, ROLLOUT_PLAN_PREFIX))
		rollouts_on_plan(proxyd->rollouts, item);
}

void rollout_on_message(void *ctx, const w_rollout *message)
{
	const struct proxyd *proxyd = ctx;

	rollouts_on_message(proxyd->rollouts, message);
}

void rollout_tick(struct proxyd *proxyd)
{
	rollouts_tick(proxyd->rollouts, mirror_restored_at(proxyd->mirror));
}

/* Whether a worker of the target takes requests. */
static bool target_serves(const struct xfer *xfer)
{
	struct fleet_request request = xfer->fleet_request;

	request.side = FLEET_TARGET;
	return fleet_has_other(xfer->proxyd->fleet, &request, NULL);
}

/* Returns how many workers of a limited target carry its share of the requests
 * under the load of a usual worker each; 0: all of them. */
static unsigned target_workers(const struct xfer *xfer)
{
	const struct proxyd *proxyd = xfer->proxyd;
	unsigned others;

	if (!rollouts_limits(proxyd->rollouts, xfer->pool->name))
		return 0;
	others = fleet_count_others(proxyd->fleet, xfer->pool->name,
				    xfer->fleet_request.target);
	return MAX((unsigned)(others * proxyd->conf->exposure_share), 1);
}

void rollout_place(struct xfer *xfer)
{
	struct rollouts *rollouts = xfer->proxyd->rollouts;
	struct fleet_request *request = &xfer->fleet_request;
	const char *service = xfer->pool->name;
	unsigned order = rollouts_order(rollouts, service);
	enum rollout_placing placing;

	request->side = FLEET_ANY_SIDE;
	if (order == 0)
		return;
	if (xfer->rollout.counted != order) {
		xfer->rollout.counted = order;
		rollouts_count_request(rollouts, service);
	}
	request->target = rollouts_target(rollouts, service);
	rollouts_barred(rollouts, service, request->barred);
	placing = rollouts_place(rollouts, service);
	if (placing == ROLLOUT_ANYWHERE)
		return;
	/* A stream goes on at the version that began it, as long as that may
	 * be sent anything. */
	if (request->version != 0) {
		if (rollouts_bars(rollouts, service))
			request->side = FLEET_OTHERS;
		return;
	}
	/* A request that the target has failed once is not risked again. */
	if (placing == ROLLOUT_NOT_TARGET || xfer->rollout.spared == order ||
	    !target_serves(xfer)) {
		request->side = FLEET_OTHERS;
		return;
	}
	request->side = FLEET_TARGET;
	request->target_workers = target_workers(xfer);
}

bool rollout_place_again(struct xfer *xfer)
{
	if (xfer->fleet_request.side != FLEET_TARGET)
		return false;
	xfer->fleet_request.side = FLEET_OTHERS;
	return true;
}

void rollout_on_start(struct xfer *xfer)
{
	struct rollouts *rollouts = xfer->proxyd->rollouts;
	const char *service = xfer->pool->name;
	bool target;

	xfer->rollout.order = rollouts_order(rollouts, service);
	if (xfer->rollout.order == 0)
		return;
	target = xfer->worker->version == rollouts_target(rollouts, service);
	xfer->rollout.side = target ? ROLLOUT_TARGET : ROLLOUT_OTHERS;
	if (!target)
		return;
	rollouts_count_exposed(rollouts, service);
	proxyd_count(xfer->proxyd, CTR_rollout_exposed);
}

void rollout_on_output(struct xfer *xfer)
{
	struct rollouts *rollouts = xfer->proxyd->rollouts;

	if (xfer->rollout.order)
		rollouts_count_time(rollouts, xfer->pool->name,
				    xfer->rollout.order, xfer->route->name,
				    xfer->rollout.side,
				    xfer->output_at - xfer->sent_at);
}

/* Counts the time of a stream's events after the first one, for ten of them. */
static void pace_count(struct xfer *xfer)
{
	clk_ms now = proxyd_now(xfer->proxyd);
	char *row;

	if (!xfer->response.is_event_stream || !xfer->has_output ||
	    xfer->sse.events < 2)
		return;
	row = g_strconcat(xfer->route->name, PACE_SUFFIX, NULL);
	rollouts_count_time(xfer->proxyd->rollouts, xfer->pool->name,
			    xfer->rollout.order, row, xfer->rollout.side,
			    (now - xfer->output_at) * 10 /
				    (clk_ms)(xfer->sse.events - 1));
	g_free(row);
}

void rollout_on_end(struct xfer *xfer, bool failed)
{
	struct rollouts *rollouts = xfer->proxyd->rollouts;

	if (!xfer->rollout.order)
		return;
	rollouts_count_end(rollouts, xfer->pool->name, xfer->rollout.order,
			   xfer->route->name, xfer->rollout.side, failed);
	if (!failed)
		pace_count(xfer);
	if (failed && xfer->rollout.side == ROLLOUT_TARGET) {
		xfer->rollout.spared = xfer->rollout.order;
		if (xfer->fleet_request.side == FLEET_TARGET)
			xfer->fleet_request.side = FLEET_OTHERS;
	}
	xfer->rollout.order = 0;
}
