/*
 * Routing: which upstream of a pool gets a request.
 *
 * The cost of an upstream is the expected time to the first token plus what
 * the operators weigh in: distance and the tokens that a reclaim would make
 * it compute again. Load reports lag, so a host adds its own calls in flight
 * to what was reported.
 */
#ifndef DECIDE_ROUTE_H
#define DECIDE_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clk.h"

enum upstream_state {
	UPSTREAM_LIVE,
	UPSTREAM_LEAVING, /* gets no new work */
	UPSTREAM_GONE,
};

/* A load report, with lag. */
struct upstream_load {
	int running;
	int queued;
	int slots;
	clk_ms received; /* when it was received; 0: never */
};

struct upstream {
	char *name;
	char *address; /* "IP:port" */
	char *pool;
	char *data_centre;
	bool reclaimable;
	enum upstream_state state; /* by the list of hosts */
	bool in_subset; /* this host sends it work; see router_pick_subset */
	bool leaving_notice; /* by a host that saw it first */
	uint64_t notice_stamp;
	struct upstream_load load;
	int inflight;	     /* this host's own calls */
	int other_calls;     /* reported calls that are not own ones */
	int net_since_load;  /* own calls begun since the report, less those
				ended */
	double max_inflight; /* own calls that may run there; see router_on_load
			      */
	double service_ms;   /* mean time of a call, aged */
	double failure_rate; /* 0 to 1: aged share of failed calls */
	clk_ms retry_after;  /* not chosen before, after a failure */
	GHashTable *prefixes; /* &hash -> when: hints of its cache */
};

enum route_policy {
	ROUTE_COST,
	ROUTE_RANDOM,
	ROUTE_ROUND_ROBIN,
	ROUTE_LEAST_OUTSTANDING,
	ROUTE_POLICY_COUNT,
};

/* What the operators weigh; from the settings. */
struct route_weights {
	enum route_policy policy;
	double wait;	    /* of a ms of expected wait */
	double prefill;	    /* of a ms of expected prefill */
	double distance_ms; /* added for another data centre */
	double reclaim;	    /* of a token at risk of being recomputed */
	double prefill_us;  /* expected time of an uncached prompt token */
	int samples;	    /* candidates looked at besides the preferred */
};

/* What is to be routed. */
struct route_request {
	const char *pool;
	const char *data_centre; /* of this host */
	uint64_t prefix;	 /* hash of the prompt's first bytes; 0: none */
	int prompt_tokens;
	int remaining_tokens; /* still to be generated */
	const char *exclude;  /* upstream that just failed, or NULL */
};

struct router {
	GHashTable *upstreams;	      /* name -> struct upstream */
	GHashTable *pools;	      /* pool -> GPtrArray of struct upstream */
	struct route_weights weights; /* of pools without their own */
	GHashTable *pool_weights;     /* pool -> struct route_weights */
	double hosts; /* entry hosts that share the upstreams; 1 or more */
	uint32_t (*random)(void *ctx, uint32_t n);
	void *ctx;
	guint round_robin_next; /* of round robin */
	uint64_t prefix_hits;
};

struct router *router_create(uint32_t (*random)(void *ctx, uint32_t n),
			     void *ctx);
void router_free(struct router *router);
/* Adds an upstream, or finds the one of that name. */
struct upstream *router_get(struct router *router, const char *name);
/* Sets the pool of an upstream. */
void router_set_pool(struct router *router, struct upstream *upstream,
		     const char *pool);
/* Sets the weights of a pool. */
void router_set_weights(struct router *router, const char *pool,
			const struct route_weights *weights);
/* Chooses which upstreams of each pool this host uses: all of a small pool,
 * most of a large one, by rendezvous hash of the host's name, so that hosts
 * share a large pool evenly. */
void router_pick_subset(struct router *router, const char *host, guint most);
/* Tells whether it gets new work. */
bool upstream_takes_work(const struct upstream *upstream);
/* Chooses an upstream, or NULL if none takes work now. */
struct upstream *router_choose(struct router *router,
			       const struct route_request *ask, clk_ms now);
/* Calls that this host may begin in a pool now. */
int router_capacity(const struct router *router, const char *pool, clk_ms now);
/* Calls of this host that may run in a pool at once: what it drains with. */
int router_max_inflight(const struct router *router, const char *pool,
			clk_ms now);
/* Places in a pool in all. */
int router_slots(const struct router *router, const char *pool);
/* Mean time of a call to a pool, in ms. */
double router_service_ms(const struct router *router, const char *pool);
void router_begin(struct router *router, struct upstream *upstream,
		  const struct route_request *ask, clk_ms now);
void router_end(struct upstream *upstream, bool failed, clk_ms took,
		clk_ms now);
/* Takes a load report. Free places are shared between the entry hosts: each
 * may use its part of them until the next report, and replaces its own calls
 * as they end. What is too much is given back by whoever has it. */
void router_on_load(struct router *router, struct upstream *upstream,
		    const struct upstream_load *load);

#endif
