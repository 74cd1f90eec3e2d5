/*
 * The routing table: what one version of the configuration allows. Tables
 * are read-only once they are built, and counted by reference, so that a
 * request keeps the one that it was routed by.
 */
#ifndef DECIDE_TAB_H
#define DECIDE_TAB_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "px.h"

/* Limits of a pool of workers that can be scaled. */
struct tab_scaling {
	bool enabled;
	int min; /* workers per data centre, of both kinds together */
	int max;
	clk_ms boot;	       /* from the order to the first request */
	double spot_price;     /* of a reclaimable worker, part of a full one */
	GHashTable *dc_prices; /* data centre -> double, per second */
};

/* A pool of upstreams. */
struct tab_pool {
	char *name;
	unsigned connection_limit; /* of one worker, over all callers */
	bool engine;		   /* its workers run models in batches */
	int slots;		   /* requests in one batch */
	int64_t cache_tokens;	   /* memory of one engine */
	int event_tokens;	   /* tokens in one event of a stream */
	struct tab_scaling scaling;
};

/* One pool that a route may go to. */
struct tab_target {
	struct tab_pool *pool;
	unsigned weight;
};

struct tab_route {
	char *name;
	enum px_kind kind;
	clk_ms timeout;	       /* the longest that a caller is kept waiting */
	clk_ms latency_target; /* latency that it aims at */
	int priority;	       /* 0: the most urgent */
	unsigned max_attempts;
	bool is_public;	     /* needs no key */
	GArray *targets;     /* struct tab_target */
	unsigned weight_sum; /* their sum */
};

/* A caller's account. */
struct tab_account {
	char *name;
	int priority;	    /* -1: as the route */
	double rate;	    /* units a second over all hosts; 0: no limit */
	double burst;	    /* units */
	bool counts_tokens; /* a unit is a token; else a request */
	int default_tokens; /* of a request that states none */
};

/* Limits on what a caller may send. */
struct tab_limits {
	size_t head_max; /* bytes */
	size_t body_max; /* bytes */
	clk_ms head_timeout;
	clk_ms idle_timeout;
};

struct tab {
	unsigned refs;
	int64_t version;      /* the operators' number */
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
/* Finds a pool, or adds one. */
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
/* Returns the account that holds a key, or NULL. */
const struct tab_account *tab_account_of(const struct tab *tab, const char *key,
					 size_t len);
/* Picks one of a route's pools by weight; number is spread evenly. */
struct tab_pool *tab_pick(const struct tab_route *route, uint32_t number);

#endif
