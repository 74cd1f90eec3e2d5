/* Changes of a scenario: of its load, and faults of its workers. */
#include <string.h>

#include "world.h"

#define PER_MILLE 1000

/* A scheduled change. */
struct change {
	struct world *world;
	const struct conf_change *conf;
	GPtrArray *workers; /* struct world_worker: affected */
};

typedef void (*change_fn)(struct change *change, bool start);

/* Calls fn for each load that a change affects. */
static void for_each_load(struct change *change,
			  void (*fn)(struct change *change, guint load,
				     bool start),
			  bool start)
{
	const GPtrArray *loads = change->world->scenario->loads;

	for (guint i = 0; i < loads->len; i++) {
		const struct conf_load *load = g_ptr_array_index(loads, i);

		if (!change->conf->load[0] ||
		    !strcmp(change->conf->load, load->name))
			fn(change, i, start);
	}
}

static void burst_apply(struct change *change, guint load, bool start)
{
	change->world->rate_factor[load] = start ? change->conf->x : 1;
}

static void change_burst(struct change *change, bool start)
{
	for_each_load(change, burst_apply, start);
}

static void hot_session_apply(struct change *change, guint load, bool start)
{
	change->world->hot_session_share[load] =
		start ? change->conf->share : 0;
}

static void change_hot_session(struct change *change, bool start)
{
	for_each_load(change, hot_session_apply, start);
}

static void change_shift(struct change *change, bool start)
{
	change->world->shift_dc = start ? (int)change->conf->data_centre : -1;
	change->world->shift_share = change->conf->share;
}

static void change_hot_account(struct change *change, bool start)
{
	change->world->hot_account_factor = start ? change->conf->x : 1;
}

static void change_abuse(struct change *change, bool start)
{
	change->world->abuse_share = start ? change->conf->share : 0;
	change->world->abuse_retries = (int)change->conf->x;
}

/* Picks the engines that a change affects: a random share. */
static void affected_workers_pick(struct change *change)
{
	struct world *world = change->world;

	for (guint i = 0; i < world->workers->len; i++) {
		struct world_worker *worker =
			g_ptr_array_index(world->workers, i);

		if (!worker->service && !worker->leaving &&
		    sim_chance(world->sim,
			       (guint)(change->conf->share * PER_MILLE)))
			g_ptr_array_add(change->workers, worker);
	}
}

static void change_slow(struct change *change, bool start)
{
	if (start)
		affected_workers_pick(change);
	for (guint i = 0; i < change->workers->len; i++) {
		struct world_worker *worker =
			g_ptr_array_index(change->workers, i);

		engine_set_slowdown(worker->engine,
				    start ? change->conf->x : 1);
	}
}

static void change_grey(struct change *change, bool start)
{
	unsigned per_mille = (unsigned)(change->conf->x * PER_MILLE);

	if (start)
		affected_workers_pick(change);
	for (guint i = 0; i < change->workers->len; i++) {
		struct world_worker *worker =
			g_ptr_array_index(change->workers, i);

		engine_set_failure_rate(worker->engine, start ? per_mille : 0);
	}
}

static void change_crash(struct change *change, bool start)
{
	if (!start)
		return;
	affected_workers_pick(change);
	for (guint i = 0; i < change->workers->len; i++)
		worker_kill(change->world,
			    g_ptr_array_index(change->workers, i));
}

static void change_reclaim(struct change *change, bool start)
{
	struct world *world = change->world;
	const struct conf_change *conf = change->conf;
	clk_ms until = world->sim->now + (clk_ms)(conf->for_s * CLK_SECOND);
	int reclaim_dc =
		(int)conf->data_centre % (int)world->conf->data_centres;

	if (!start)
		return;
	for (int dc = 0; dc < world->conf->data_centres; dc++)
		if (dc == reclaim_dc || conf->anywhere)
			world->spot_unavailable_until[dc] = until;
	for (guint i = 0; i < world->workers->len; i++) {
		struct world_worker *worker =
			g_ptr_array_index(world->workers, i);

		if (worker->spot && worker->dc == reclaim_dc)
			worker_leave(world, worker,
				     (clk_ms)(conf->x * CLK_SECOND));
	}
}

static const struct {
	const char *kind;
	change_fn fn;
} kinds[] = {
	{ "burst", change_burst },
	{ "shift", change_shift },
	{ "hot_account", change_hot_account },
	{ "hot_session", change_hot_session },
	{ "abuse", change_abuse },
	{ "slow", change_slow },
	{ "grey", change_grey },
	{ "crash", change_crash },
	{ "reclaim", change_reclaim },
};

static void change_run(struct change *change, bool start)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (!strcmp(kinds[i].kind, change->conf->kind))
			kinds[i].fn(change, start);
}

static void on_start(void *ctx, void *arg)
{
	(void)ctx;
	change_run(arg, true);
}

static void on_end(void *ctx, void *arg)
{
	struct change *change = arg;

	(void)ctx;
	change_run(change, false);
	g_ptr_array_free(change->workers, TRUE);
	g_free(change);
}

void change_start(struct world *world)
{
	for (guint i = 0; i < world->scenario->changes->len; i++) {
		struct change *change = g_new0(struct change, 1);
		clk_ms at;

		change->world = world;
		change->conf = g_ptr_array_index(world->scenario->changes, i);
		change->workers = g_ptr_array_new();
		at = (clk_ms)(change->conf->at_s * CLK_SECOND);
		sim_after(world->sim, at, on_start, world, change);
		sim_after(world->sim,
			  at + (clk_ms)(change->conf->for_s * CLK_SECOND),
			  on_end, world, change);
	}
}
