/*
 * Routing: selects the upstream of a pool for a request.
 *
 * The cost of an upstream is the expected time to the first token, plus
 * weighted penalties from the settings: distance, and the tokens to recompute
 * if the upstream is reclaimed. Load reports lag, so a host adds its own calls
 * in flight to the reported ones.
 */
#ifndef DECIDE_ROUTE_H
#define DECIDE_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clk.h"

enum upstream_state {
	UPSTREAM_LIVE,
	UPSTREAM_LEAVING, /* accepts no new work */
	UPSTREAM_GONE,
};

/* A load report; it lags behind the actual load. */
struct upstream_load {
	int running;
	int queued;
	int slots;
	clk_ms received; /* 0: no report yet */
};

struct upstream {
	char *name;
	char *address; /* "IP:port" */
	char *pool;
	char *data_centre;
	bool reclaimable;
	enum upstream_state state; /* according to the host list */
	bool in_subset;	     /* used by this host; see router_pick_subset */
	bool leaving_notice; /* reported by a host, before the host list */
	uint64_t notice_stamp;
	struct upstream_load load;
	int inflight;	     /* this host's own calls */
	int other_calls;     /* reported calls of other hosts */
	int net_since_load;  /* own calls begun minus ended since the report */
	double max_inflight; /* own calls allowed there; see router_on_load */
	double service_ms; /* mean duration of a call, exponentially decayed */
	double failure_rate;  /* 0 to 1, exponentially decayed */
	clk_ms retry_after;   /* after a failure, not selected before this */
	GHashTable *prefixes; /* prefix hash -> time sent; cache hints */
};

enum route_policy {
	ROUTE_COST,
	ROUTE_RANDOM,
	ROUTE_ROUND_ROBIN,
	ROUTE_LEAST_OUTSTANDING,
	ROUTE_POLICY_COUNT,
};

/* Cost weights, from the settings. */
struct route_weights {
	enum route_policy policy;
	double wait;	    /* cost of 1 ms of expected wait */
	double prefill;	    /* cost of 1 ms of expected prefill */
	double distance_ms; /* cost of using another data centre */
	double reclaim;	    /* cost of a token that a reclaim would recompute */
	double prefill_us;  /* expected time of an uncached prompt token */
	int samples;	    /* random candidates, besides the preferred ones */
};

/* The properties of a request that matter for routing. */
struct route_request {
	const char *pool;
	const char *data_centre; /* of this host */
	uint64_t prefix;	 /* hash of the prompt's first bytes; 0: none */
	int prompt_tokens;
	int remaining_tokens; /* to be generated */
	const char *exclude;  /* upstream that just failed, or NULL */
};

struct router {
	GHashTable *upstreams;	      /* name -> struct upstream */
	GHashTable *pools;	      /* pool -> GPtrArray of struct upstream */
	struct route_weights weights; /* default for pools without their own */
	GHashTable *pool_weights;     /* pool -> struct route_weights */
	double hosts; /* entry hosts that share the upstreams; 1 or more */
	uint32_t (*random)(void *ctx, uint32_t n);
	void *ctx;
	guint round_robin_next;
	uint64_t prefix_hits;
};

struct router *router_create(uint32_t (*random)(void *ctx, uint32_t n),
			     void *ctx);
void router_free(struct router *router);
/* Returns the upstream with a name, adding it if needed. */
struct upstream *router_get(struct router *router, const char *name);
/* Moves an upstream to a pool. */
void router_set_pool(struct router *router, struct upstream *upstream,
		     const char *pool);
void router_set_weights(struct router *router, const char *pool,
			const struct route_weights *weights);
/* Selects the upstreams of each pool that this host uses: all of a small pool,
 * max_upstreams of a large one, by rendezvous hash of the host name, so that
 * the hosts share a large pool evenly. */
void router_pick_subset(struct router *router, const char *host,
			guint max_upstreams);
/* Returns whether an upstream may be sent new work. */
bool upstream_accepts_work(const struct upstream *upstream);
/* Selects an upstream; returns NULL if none accepts work now. */
struct upstream *router_choose(struct router *router,
			       const struct route_request *request, clk_ms now);
/* Returns how many more calls this host may begin in a pool now. */
int router_capacity(const struct router *router, const char *pool, clk_ms now);
/* Returns how many calls of this host may run in a pool at once, which
 * determines how fast its queue drains. */
int router_max_inflight(const struct router *router, const char *pool,
			clk_ms now);
/* Returns the total number of slots in a pool. */
int router_slots(const struct router *router, const char *pool);
/* Returns the mean duration of a call to a pool in ms. */
double router_service_ms(const struct router *router, const char *pool);
void router_begin(struct router *router, struct upstream *upstream,
		  const struct route_request *request, clk_ms now);
void router_end(struct upstream *upstream, bool failed, clk_ms duration,
		clk_ms now);
/* Applies a load report. Free slots are divided evenly between the entry hosts:
 * until the next report each may use its share of them and replace its own
 * calls as they end. If an upstream is overloaded, each host gives up slots in
 * proportion to its own calls there. */
void router_on_load(struct router *router, struct upstream *upstream,
		    const struct upstream_load *load);

#endif
