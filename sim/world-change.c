/* What happens in a scenario: changes of the load, and troubles. */
#include <string.h>

#include "world.h"

#define PER_MILLE 1000

/* A change that is in force. */
struct change {
	struct world *world;
	const struct conf_change *conf;
	GPtrArray *workers; /* struct world_worker, that it meets */
};

typedef void (*change_fn)(struct change *change, bool begins);

/* The loads that a change is about: fn is called for each. */
static void each_load(struct change *change,
		      void (*fn)(struct change *change, guint load,
				 bool begins),
		      bool begins)
{
	const GPtrArray *loads = change->world->scenario->loads;

	for (guint i = 0; i < loads->len; i++) {
		const struct conf_load *load = g_ptr_array_index(loads, i);

		if (!change->conf->load[0] ||
		    !strcmp(change->conf->load, load->name))
			fn(change, i, begins);
	}
}

static void burst_load(struct change *change, guint load, bool begins)
{
	change->world->rate_factor[load] = begins ? change->conf->x : 1;
}

static void burst(struct change *change, bool begins)
{
	each_load(change, burst_load, begins);
}

static void hot_session_load(struct change *change, guint load, bool begins)
{
	change->world->hot_session_share[load] =
		begins ? change->conf->share : 0;
}

static void hot_session(struct change *change, bool begins)
{
	each_load(change, hot_session_load, begins);
}

static void shift(struct change *change, bool begins)
{
	change->world->shift_dc = begins ? (int)change->conf->data_centre : -1;
	change->world->shift_share = change->conf->share;
}

static void hot_account(struct change *change, bool begins)
{
	change->world->hot_account_factor = begins ? change->conf->x : 1;
}

static void abuse(struct change *change, bool begins)
{
	change->world->abuse_share = begins ? change->conf->share : 0;
	change->world->abuse_retries = (int)change->conf->x;
}

/* Picks the workers that a change meets. */
static void pick_workers(struct change *change)
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

static void slow(struct change *change, bool begins)
{
	if (begins)
		pick_workers(change);
	for (guint i = 0; i < change->workers->len; i++) {
		struct world_worker *worker =
			g_ptr_array_index(change->workers, i);

		engine_set_slowdown(worker->engine,
				    begins ? change->conf->x : 1);
	}
}

static void grey(struct change *change, bool begins)
{
	unsigned failing = (unsigned)(change->conf->x * PER_MILLE);

	if (begins)
		pick_workers(change);
	for (guint i = 0; i < change->workers->len; i++) {
		struct world_worker *worker =
			g_ptr_array_index(change->workers, i);

		engine_set_failure_rate(worker->engine, begins ? failing : 0);
	}
}

static void crash(struct change *change, bool begins)
{
	if (!begins)
		return;
	pick_workers(change);
	for (guint i = 0; i < change->workers->len; i++)
		worker_kill(change->world,
			    g_ptr_array_index(change->workers, i));
}

static void reclaim(struct change *change, bool begins)
{
	struct world *world = change->world;
	const struct conf_change *conf = change->conf;
	clk_ms until = world->sim->now + (clk_ms)(conf->for_s * CLK_SECOND);
	int at = (int)conf->data_centre % (int)world->conf->data_centres;

	if (!begins)
		return;
	for (int dc = 0; dc < world->conf->data_centres; dc++)
		if (dc == at || conf->anywhere)
			world->spot_unavailable_until[dc] = until;
	for (guint i = 0; i < world->workers->len; i++) {
		struct world_worker *worker =
			g_ptr_array_index(world->workers, i);

		if (worker->spot && worker->dc == at)
			worker_leave(world, worker,
				     (clk_ms)(conf->x * CLK_SECOND));
	}
}

static const struct {
	const char *kind;
	change_fn fn;
} kinds[] = {
	{ "burst", burst },
	{ "shift", shift },
	{ "hot_account", hot_account },
	{ "hot_session", hot_session },
	{ "abuse", abuse },
	{ "slow", slow },
	{ "grey", grey },
	{ "crash", crash },
	{ "reclaim", reclaim },
};

static void run(struct change *change, bool begins)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (!strcmp(kinds[i].kind, change->conf->kind))
			kinds[i].fn(change, begins);
}

static void on_begin(void *ctx, void *arg)
{
	(void)ctx;
	run(arg, true);
}

static void on_end(void *ctx, void *arg)
{
	struct change *change = arg;

	(void)ctx;
	run(change, false);
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
		sim_after(world->sim, at, on_begin, world, change);
		sim_after(world->sim,
			  at + (clk_ms)(change->conf->for_s * CLK_SECOND),
			  on_end, world, change);
	}
}
