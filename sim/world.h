/*
 * A scenario that is played: entry hosts with the decisions of decide/,
 * modelled workers and callers, under a virtual clock.
 */
#ifndef SIM_WORLD_H
#define SIM_WORLD_H

#include "../decide/fleet.h"
#include "../decide/quota.h"
#include "../decide/retry.h"
#include "../decide/scale.h"
#include "engine.h"
#include "result.h"
#include "sim.h"

/* How workers are chosen. */
enum choose {
	CHOOSE_COST, /* decide/fleet */
	CHOOSE_RANDOM,
	CHOOSE_LEAST, /* requests of this host and those told */
};

/* Which decisions are in force: the plain ways stand beside them. */
struct policy {
	const char *name;
	const char *doc;
	enum choose choose;
	bool shed;   /* what can't be in time is refused at once */
	bool cached; /* sessions meet where their prompts are cached */
	bool told;   /* hosts tell each other what they have at workers */
};

extern const struct policy policies[];
extern const size_t policy_count;

/* A worker, and what happens to it. */
struct world_worker {
	char *id;
	int dc;
	bool service;
	bool spot;
	bool leaving;
	bool gone;
	struct engine *engine;
};

struct world_host {
	int dc;
	char dc_name[16];
	struct fleet *fleet;
	GPtrArray *quotas; /* struct quota, by account */
	struct retry_budget budget;
	double *told; /* by worker: requests that it told of */
	double *told_prompts;
};

struct world {
	struct sim *sim;
	const struct scenario *scenario;
	const struct conf_scenario *conf;
	const struct policy *policy;
	struct result *result;
	struct engine_kind engine_kind;
	struct engine_kind service_kind;
	GPtrArray *hosts;   /* struct world_host */
	GPtrArray *workers; /* struct world_worker, also those gone */
	GArray *told;	    /* double: by worker, over all hosts */
	GArray *told_prompts;
	GPtrArray *calls; /* struct world_call, all */
	/* changes in force, by load: times the usual rate; and so on */
	double *rate_times;
	double *hot_session; /* by load: share of its requests */
	double hot_account;  /* times its usual */
	double abuse_share;
	int abuse_times;
	int shift_to; /* data centre, or -1 */
	double shift_share;
	/* orders */
	struct scale_demand need;
	double busy_ms; /* work asked since the last plan */
	clk_ms planned_at;
	clk_ms *dry_until; /* by data centre */
	int *booting;	   /* by data centre, twice: full and spot */
};

/* Plays a scenario; the result is the caller's. progress, or NULL, is called
 * each second of its time. */
struct result *world_play(const struct scenario *scenario,
			  const struct policy *policy, guint32 seed,
			  void (*progress)(clk_ms now));

/* world-call.c */
/* Begins to let callers ask. */
void call_start(struct world *world);
/* What is left of the calls at the end fails. */
void call_end_all(struct world *world);
void call_free(gpointer data);

/* world-worker.c */
/* Adds a worker, known to all hosts. */
struct world_worker *worker_add(struct world *world, int dc, bool service,
				bool spot);
/* It takes no new work; it ends after a time, in ms. */
void worker_leave(struct world *world, struct world_worker *worker,
		  clk_ms after);
/* It is lost at once. */
void worker_lose(struct world *world, struct world_worker *worker);
/* Finds a worker by the name that hosts know. */
struct world_worker *worker_of(const struct world *world,
			       const struct fleet_worker *known);
void worker_free(gpointer data);
/* Begins to order and give up engines. */
void worker_scale_start(struct world *world);

/* world-change.c */
/* Sets up what happens. */
void change_start(struct world *world);

#endif
