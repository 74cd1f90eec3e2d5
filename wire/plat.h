/*
 * The client of the platform's key-value service and list of hosts.
 *
 * Every call ends in one callback. A swap without an answer is PLAT_UNKNOWN:
 * it may have taken effect, or yet do so.
 */
#ifndef WIRE_PLAT_H
#define WIRE_PLAT_H

#include "http.h"
#include "json.h"

enum plat_outcome {
	PLAT_OK,       /* answered; of a swap: it took effect */
	PLAT_CONFLICT, /* a swap found another value, which is passed along */
	PLAT_UNKNOWN,  /* no usable answer */
};

struct plat;

/* The end of a get or a swap; value is NULL if there is none. */
typedef void (*plat_item_fn)(void *ctx, enum plat_outcome outcome,
			     const char *value, int64_t mod);
/* The end of a range, watch or list; answer is NULL if there is none. */
typedef void (*plat_list_fn)(void *ctx, struct json_object *answer);

struct plat *plat_create(struct http_client *client, const char *address);
void plat_get(struct plat *plat, const char *key, plat_item_fn fn, void *ctx);
/* Stores value, or deletes the key if it is NULL, if the key's revision is
 * still expect; 0: there is no such key. */
void plat_cas(struct plat *plat, const char *key, const char *value,
	      int64_t expect, plat_item_fn fn, void *ctx);
void plat_range(struct plat *plat, const char *prefix, plat_list_fn fn,
		void *ctx);
/* Waits for changes after a revision, at most for a time. */
void plat_watch(struct plat *plat, const char *prefix, int64_t after,
		clk_ms wait, plat_list_fn fn, void *ctx);
/* Reads what changed in the list of hosts after a revision. */
void plat_hosts(struct plat *plat, int64_t after, plat_list_fn fn, void *ctx);
/* How many calls were made, and how many had no usable answer. */
uint64_t plat_calls(const struct plat *plat);
uint64_t plat_failures(const struct plat *plat);

#endif
