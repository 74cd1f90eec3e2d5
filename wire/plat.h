/*
 * Client of the platform's key-value service and list of hosts.
 *
 * Each call runs its callback exactly once. A compare-and-swap without a
 * response is PLAT_UNKNOWN: it may have taken effect, or may still do so.
 */
#ifndef WIRE_PLAT_H
#define WIRE_PLAT_H

#include "http.h"
#include "json.h"

enum plat_outcome {
	PLAT_OK,       /* done; a compare-and-swap took effect */
	PLAT_CONFLICT, /* the revision differs; the current value is passed */
	PLAT_UNKNOWN,  /* no usable response */
};

struct plat;

/* Called when a get or compare-and-swap ends; value is NULL if the response
 * has none. */
typedef void (*plat_item_fn)(void *ctx, enum plat_outcome outcome,
			     const char *value, int64_t mod);
/* Called when a range, watch or list of hosts ends; response is NULL on
 * failure. */
typedef void (*plat_list_fn)(void *ctx, struct json_object *response);

struct plat *plat_create(struct http_client *client, const char *address);
void plat_get(struct plat *plat, const char *key, plat_item_fn fn, void *ctx);
/* Stores value, or deletes the key if value is NULL, provided that the key's
 * revision is still expect; 0: the key must not exist. */
void plat_cas(struct plat *plat, const char *key, const char *value,
	      int64_t expect, plat_item_fn fn, void *ctx);
void plat_range(struct plat *plat, const char *prefix, plat_list_fn fn,
		void *ctx);
/* Waits at most wait ms for changes after a revision. */
void plat_watch(struct plat *plat, const char *prefix, int64_t after,
		clk_ms wait, plat_list_fn fn, void *ctx);
/* Reads the changes to the list of hosts after a revision. */
void plat_hosts(struct plat *plat, int64_t after, plat_list_fn fn, void *ctx);
/* Calls that were started. */
uint64_t plat_calls(const struct plat *plat);
/* Calls that got no usable response. */
uint64_t plat_failures(const struct plat *plat);

#endif
