/*
 * Simulated deployment of a scenario: entry hosts that run the decision code of
 * decide/, models of upstreams and of callers, under a virtual clock.
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

/* How the worker of a request is selected. */
enum selection_mode {
	SELECT_COST, /* decide/fleet */
	SELECT_RANDOM,
	SELECT_LEAST_REQUESTS, /* own requests and reported ones of peers */
};

/* A set of decisions to simulate. Simpler baselines are compared with what
 * rw-proxyd does. */
struct policy {
	const char *name;
	const char *doc;
	enum selection_mode selection;
	bool shed;	  /* refuse at once what can't be on time */
	bool cache_aware; /* prefer workers that have the prompt cached, so that
			   * requests of a session share one */
	bool shares_load; /* hosts report their load at workers to each other */
	bool measures;	  /* hosts learn the speed of workers */
};

extern const struct policy policies[];
extern const size_t policy_count;

struct world_worker {
	char *id;
	int dc;
	bool service;
	bool spot; /* it may be reclaimed */
	bool leaving;
	bool removed;
	struct engine *engine;
};

struct world_host {
	int dc;
	char dc_name[16];
	struct fleet *fleet;
	GPtrArray *quotas; /* struct quota, by account */
	struct retry_budget budget;
	/* by worker: figures of its last load report */
	double *reported_requests;
	double *reported_prompts; /* in tokens */
};

struct world {
	struct sim *sim;
	const struct scenario *scenario;
	const struct conf_scenario *conf;
	const struct policy *policy;
	struct result *result;
	struct engine_params engine_params;
	struct engine_params service_params;
	unsigned engines;   /* that were ever started */
	double expected_ms; /* per prompt token, before it is measured */
	GPtrArray *hosts;   /* struct world_host */
	GPtrArray *workers; /* struct world_worker, including removed ones */
	GArray *reported_requests; /* double: by worker, over all hosts */
	GArray *reported_prompts;
	GPtrArray *calls; /* struct world_call, including ended ones */
	/* changes in force */
	double *rate_factor;	   /* by load: times its usual rate */
	double *hot_session_share; /* by load: part of its requests that
				    * use one session */
	double hot_account_factor; /* times the usual requests of account 0 */
	double abuse_share; /* part of refusals that are retried at once */
	int abuse_retries;  /* maximum number of these retries per request */
	int shift_dc;	    /* data centre that callers move to, or -1 */
	double shift_share; /* part of the callers that move */
	/* scaling of engines */
	struct scale_demand demand;
	double busy_ms; /* work of the requests since the last plan */
	clk_ms last_plan_at;
	clk_ms *spot_unavailable_until; /* by data centre */
	int *booting; /* two per data centre: on-demand, reclaimable */
};

/* Simulates a scenario. The caller owns the result. progress, or NULL, is
 * called for every second of virtual time. */
struct result *world_simulate(const struct scenario *scenario,
			      const struct policy *policy, guint32 seed,
			      void (*progress)(clk_ms now));

/* world-call.c */
/* Starts the callers of all loads. */
void call_start(struct world *world);
/* Ends all requests that are still running as failed. */
void call_fail_all(struct world *world);
void call_free(gpointer data);

/* world-worker.c */
/* Adds a worker to the fleets of all hosts. */
struct world_worker *worker_add(struct world *world, int dc, bool service,
				bool spot);
/* Gives a worker leaving notice: it gets no new requests, and is lost after a
 * delay in ms. */
void worker_leave(struct world *world, struct world_worker *worker,
		  clk_ms delay);
/* Loses a worker at once, with the requests that it runs. */
void worker_kill(struct world *world, struct world_worker *worker);
/* Returns the worker of an entry in a host's fleet. */
struct world_worker *worker_lookup(const struct world *world,
				   const struct fleet_worker *known);
void worker_free(gpointer data);
/* Starts the scaling of engines: plans, orders and releases. */
void worker_scale_start(struct world *world);

/* world-change.c */
/* Schedules the changes of the scenario. */
void change_start(struct world *world);

#endif
