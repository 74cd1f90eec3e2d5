/* Life cycle of workers: orders, start, leaving notice and loss. */
#include <math.h>
#include <string.h>

#include "world.h"

#define PLAN_INTERVAL_MS 500	/* between scaling plans */
#define RELEASE_NOTICE_MS 2000	/* notice given to a released worker */
#define INITIAL_BUSY_SHARE 0.55 /* of the engines, at the start */

struct world_worker *worker_lookup(const struct world *world,
				   const struct fleet_worker *known)
{
	guint number = (guint)g_ascii_strtoull(known->entry.id + 1, NULL, 10);

	return g_ptr_array_index(world->workers, number);
}

void worker_free(gpointer data)
{
	struct world_worker *worker = data;

	engine_free(worker->engine);
	g_free(worker->id);
	g_free(worker);
}

/* Updates a worker's entry in the fleets of all hosts. */
static void worker_publish(struct world *world,
			   const struct world_worker *worker)
{
	const struct engine_params *params = worker->service
						     ? &world->service_params
						     : &world->engine_params;

	for (guint h = 0; h < world->hosts->len; h++) {
		struct world_host *host = g_ptr_array_index(world->hosts, h);
		struct fleet_entry entry = {
			.id = g_strdup(worker->id),
			.pool = g_strdup(worker->service ? "service"
							 : "engine"),
			.address = g_strdup("-"),
			.data_centre = g_strdup_printf("dc%d", worker->dc),
			.version = g_strdup(""),
			.slots = params->slots,
			.leaving = worker->leaving,
			.spot = worker->spot,
		};

		if (worker->removed)
			fleet_remove(host->fleet, worker->id);
		else
			fleet_put(host->fleet, &entry, world->sim->now);
		fleet_entry_clear(&entry);
	}
}

struct world_worker *worker_add(struct world *world, int dc, bool service,
				bool spot)
{
	struct world_worker *worker = g_new0(struct world_worker, 1);

	worker->id = g_strdup_printf("w%u", world->workers->len);
	worker->dc = dc;
	worker->service = service;
	worker->spot = spot;
	worker->engine =
		engine_create(world->sim, service ? &world->service_params
						  : &world->engine_params);
	/* Evenly among the workers, in the order of their start. */
	if (!service && floor((world->engines + 1) * world->conf->slow_share) >
				floor(world->engines * world->conf->slow_share))
		engine_set_slowdown(worker->engine, world->conf->slow_factor);
	world->engines += !service;
	g_ptr_array_add(world->workers, worker);
	worker_publish(world, worker);
	return worker;
}

void worker_kill(struct world *world, struct world_worker *worker)
{
	if (worker->removed)
		return;
	worker->removed = true;
	worker->leaving = true;
	worker_publish(world, worker);
	engine_kill(worker->engine);
}

static void on_notice_end(void *ctx, void *arg)
{
	worker_kill(ctx, arg);
}

void worker_leave(struct world *world, struct world_worker *worker,
		  clk_ms delay)
{
	if (worker->leaving)
		return;
	worker->leaving = true;
	worker_publish(world, worker);
	sim_after(world->sim, delay, on_notice_end, world, worker);
}

/* Counts the engines of one kind, reclaimable or on-demand, that accept
 * requests in a data centre. */
static int count_in_dc(const struct world *world, int dc, bool spot)
{
	int count = 0;

	for (guint i = 0; i < world->workers->len; i++) {
		const struct world_worker *worker =
			g_ptr_array_index(world->workers, i);

		count += !worker->service && !worker->leaving &&
			 worker->dc == dc && worker->spot == spot;
	}
	return count;
}

/* An ordered engine that has not started yet. */
struct boot {
	int dc;
	bool spot;
};

static void on_booted(void *ctx, void *arg)
{
	struct world *world = ctx;
	struct boot *boot = arg;

	world->booting[2 * boot->dc + boot->spot]--;
	if (!boot->spot ||
	    world->sim->now >= world->spot_unavailable_until[boot->dc])
		worker_add(world, boot->dc, false, boot->spot);
	g_free(boot);
}

/* Orders engines of one kind in a data centre, or releases some of them. */
static void scale_adjust(struct world *world, int dc, bool spot, int want)
{
	int *booting = &world->booting[(gsize)2 * (gsize)dc + spot];
	int have = count_in_dc(world, dc, spot) + *booting;

	if (spot && world->sim->now < world->spot_unavailable_until[dc])
		return;
	for (; have < want; have++) {
		struct boot *boot = g_new(struct boot, 1);

		*boot = (struct boot){ .dc = dc, .spot = spot };
		(*booting)++;
		sim_after(world->sim, world->conf->boot_ms, on_booted, world,
			  boot);
	}
	for (guint i = world->workers->len; i > 0 && have > want; i--) {
		struct world_worker *worker =
			g_ptr_array_index(world->workers, i - 1);

		if (worker->service || worker->leaving || worker->dc != dc ||
		    worker->spot != spot)
			continue;
		worker_leave(world, worker, RELEASE_NOTICE_MS);
		have--;
	}
}

/* Adds the cost of the engines until the next plan. */
static void cost_add(struct world *world)
{
	int dcs = (int)world->conf->data_centres;

	for (int dc = 0; dc < dcs; dc++) {
		const int *booting = &world->booting[(gsize)2 * (gsize)dc];
		int on_demand = count_in_dc(world, dc, false) + booting[0];
		int spot = count_in_dc(world, dc, true) + booting[1];

		world->result->engine_cost +=
			(on_demand + spot * world->conf->spot_price) *
			PLAN_INTERVAL_MS / CLK_SECOND;
	}
}

static void plan_run(void *ctx, void *arg)
{
	struct world *world = ctx;
	int dcs = (int)world->conf->data_centres;
	struct scale_dc *plan = g_new0(struct scale_dc, (gsize)dcs);
	struct scale_limits limits = {
		.min = (int)world->conf->worker_min,
		.max = (int)world->conf->worker_max,
	};
	clk_ms now = world->sim->now;

	(void)arg;
	scale_demand_update(&world->demand, world->busy_ms / PLAN_INTERVAL_MS,
			    now);
	world->busy_ms = 0;
	for (int dc = 0; dc < dcs; dc++) {
		limits.spot_scarce |= now < world->spot_unavailable_until[dc];
		plan[dc] = (struct scale_dc){
			.price = 1,
			.spot_unavailable =
				now < world->spot_unavailable_until[dc],
			.spot_ready = count_in_dc(world, dc, true),
			.on_demand_ready = count_in_dc(world, dc, false),
		};
	}
	scale_plan(plan, (size_t)dcs, &limits, world->demand.busy);
	for (int dc = 0; dc < dcs; dc++) {
		scale_adjust(world, dc, true, plan[dc].want_spot);
		scale_adjust(world, dc, false, plan[dc].want_on_demand);
	}
	cost_add(world);
	g_free(plan);
	if (now < (clk_ms)(world->conf->length_s * CLK_SECOND))
		sim_after(world->sim, PLAN_INTERVAL_MS, plan_run, world, NULL);
}

void worker_scale_start(struct world *world)
{
	world->demand.busy = (double)world->conf->workers * INITIAL_BUSY_SHARE;
	sim_after(world->sim, PLAN_INTERVAL_MS, plan_run, world, NULL);
}
