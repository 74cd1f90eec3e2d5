/*
 * The routing table: the routes, pools, accounts and limits of one version of
 * the configuration. A table is read-only once built and reference-counted, so
 * that a request keeps the table it was routed by.
 */
#ifndef DECIDE_TAB_H
#define DECIDE_TAB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "px.h"

/* Scaling limits and prices of a pool of workers. */
struct tab_scaling {
	bool enabled;
	int min; /* workers per data centre, reclaimable or not */
	int max;
	clk_ms boot_time;      /* from the order to the first request */
	double spot_price;     /* reclaimable worker, relative to regular */
	GHashTable *dc_prices; /* data centre -> double, per second */
};

/* A pool of upstreams. */
struct tab_pool {
	char *name;
	unsigned connection_limit; /* of one worker, across all callers */
	char *health_path;	   /* of its workers' health check; "": none */
	bool engine;		   /* its workers run models in batches */
	int slots;		   /* requests in one batch */
	int64_t cache_tokens;	   /* cache capacity of one engine */
	int event_tokens;	   /* tokens in one event of a stream */
	struct tab_scaling scaling;
};

/* A pool that a route may select. */
struct tab_target {
	struct tab_pool *pool;
	unsigned weight;
};

struct tab_route {
	char *name;
	enum px_kind kind;
	clk_ms timeout; /* longest time that a caller waits */
	clk_ms latency_target;
	int priority; /* 0 is the most urgent */
	unsigned max_attempts;
	bool is_public;	     /* no API key required */
	GArray *targets;     /* struct tab_target */
	unsigned weight_sum; /* sum over the targets */
};

/* The account of a caller. */
struct tab_account {
	char *name;
	int priority;	    /* -1: the route's priority */
	double rate;	    /* units per second across all hosts; 0: no limit */
	double burst;	    /* units */
	bool counts_tokens; /* a unit is a token, otherwise a request */
	int default_tokens; /* assumed for a request that states none */
};

/* Limits on requests from callers. */
struct tab_limits {
	size_t head_max; /* bytes */
	size_t body_max; /* bytes */
	clk_ms head_timeout;
	clk_ms idle_timeout;
};

struct tab {
	unsigned refs;
	int64_t version;      /* assigned by the operators */
	GHashTable *routes;   /* "host\nprefix" -> struct tab_route */
	GHashTable *pools;    /* name -> struct tab_pool */
	GHashTable *accounts; /* name -> struct tab_account */
	GHashTable *keys;     /* key -> struct tab_account */
	bool has_accounts;
	struct tab_limits limits;
};

struct tab *tab_create(void);
struct tab *tab_ref(struct tab *tab);
void tab_unref(struct tab *tab);
/* Returns the pool with a name, adding it if needed. */
struct tab_pool *tab_pool_get(struct tab *tab, const char *name);
/* Adds a route; the table owns it. */
void tab_route_add(struct tab *tab, const char *host, const char *prefix,
		   struct tab_route *route);
struct tab_route *tab_route_create(const char *name);
void tab_target_add(struct tab_route *route, struct tab_pool *pool,
		    unsigned weight);
struct tab_account *tab_account_add(struct tab *tab, const char *name);
void tab_key_add(struct tab *tab, const char *key, struct tab_account *account);

/* Returns the route with the longest prefix of the path, or NULL. */
const struct tab_route *tab_find(const struct tab *tab, const char *host,
				 size_t host_len, const char *path,
				 size_t path_len);
/* Returns the account of an API key, or NULL. */
const struct tab_account *tab_account_of(const struct tab *tab, const char *key,
					 size_t len);
/* Selects one of a route's pools by weight. number should be uniformly
 * distributed. Returns NULL if no pool has weight. */
struct tab_pool *tab_pick(const struct tab_route *route, uint32_t number);

#endif
