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
enum selection_mode {
	SELECT_COST, /* decide/fleet */
	SELECT_RANDOM,
	SELECT_LEAST_REQUESTS, /* requests of this host and those told */
};

/* Which decisions are in force: the plain ways stand beside them. */
struct policy {
	const char *name;
	const char *doc;
	enum selection_mode selection;
	bool shed;	  /* what can't be in time is refused at once */
	bool cache_aware; /* sessions meet where their prompts are cached */
	bool shares_load; /* hosts tell each other what they have at workers */
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
	double *reported_requests; /* by worker: requests that it told of */
	double *reported_prompts;
};

struct world {
	struct sim *sim;
	const struct scenario *scenario;
	const struct conf_scenario *conf;
	const struct policy *policy;
	struct result *result;
	struct engine_params engine_params;
	struct engine_params service_params;
	GPtrArray *hosts;	   /* struct world_host */
	GPtrArray *workers;	   /* struct world_worker, also those gone */
	GArray *reported_requests; /* double: by worker, over all hosts */
	GArray *reported_prompts;
	GPtrArray *calls; /* struct world_call, all */
	/* changes in force, by load: times the usual rate; and so on */
	double *rate_factor;
	double *hot_session_share; /* by load: share of its requests */
	double hot_account_factor; /* times its usual */
	double abuse_share;
	int abuse_retries;
	int shift_dc; /* data centre, or -1 */
	double shift_share;
	/* orders */
	struct scale_demand demand;
	double busy_ms; /* work asked since the last plan */
	clk_ms last_plan_at;
	clk_ms *spot_unavailable_until; /* by data centre */
	int *booting; /* by data centre, twice: full and spot */
};

/* Plays a scenario; the result is the caller's. progress, or NULL, is called
 * each second of its time. */
struct result *world_simulate(const struct scenario *scenario,
			      const struct policy *policy, guint32 seed,
			      void (*progress)(clk_ms now));

/* world-call.c */
/* Begins to let callers ask. */
void call_start(struct world *world);
/* What is left of the calls at the end fails. */
void call_fail_all(struct world *world);
void call_free(gpointer data);

/* world-worker.c */
/* Adds a worker, known to all hosts. */
struct world_worker *worker_add(struct world *world, int dc, bool service,
				bool spot);
/* It takes no new work; it ends after a time, in ms. */
void worker_leave(struct world *world, struct world_worker *worker,
		  clk_ms after);
/* It is lost at once. */
void worker_kill(struct world *world, struct world_worker *worker);
/* Finds a worker by the name that hosts know. */
struct world_worker *worker_lookup(const struct world *world,
				   const struct fleet_worker *known);
void worker_free(gpointer data);
/* Begins to order and give up engines. */
void worker_scale_start(struct world *world);

/* world-change.c */
/* Sets up what happens. */
void change_start(struct world *world);

#endif
