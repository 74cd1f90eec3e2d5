/*
 * Sums over all hosts of values that they report by key: the requests that
 * they have at a worker, their spending of an account's limit.
 *
 * A host reports all its values at once; each report replaces its previous
 * one. The values of a host that stops reporting expire.
 */
#ifndef DECIDE_AGGREGATE_H
#define DECIDE_AGGREGATE_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "clk.h"

/* One value; key is a hash of the name of its subject. */
struct aggregate_value {
	uint32_t key;
	double value;
};

struct aggregate {
	GHashTable *hosts;  /* process -> its last report */
	GHashTable *totals; /* key -> double */
	/* Called when a total has changed. */
	void (*on_change)(void *ctx, uint32_t key, double total);
	void *ctx;
};

/* Returns the key of a name. */
uint32_t aggregate_key(const char *name);
struct aggregate *aggregate_create(void (*on_change)(void *ctx, uint32_t key,
						     double total),
				   void *ctx);
/* Replaces all values of a process. */
void aggregate_update(struct aggregate *aggregate, const char *process,
		      const struct aggregate_value *values, size_t count,
		      clk_ms now);
/* Drops reports received before a time. */
void aggregate_expire(struct aggregate *aggregate, clk_ms before);
/* Returns the number of processes that have reported since a time. */
unsigned aggregate_active_count(const struct aggregate *aggregate,
				clk_ms since);
/* Returns the value that a process reported for a key; 0 if none. */
double aggregate_lookup(const struct aggregate *aggregate, const char *process,
			uint32_t key);
/* Returns the sum of a key's values; 0 if there are none. */
double aggregate_total(const struct aggregate *aggregate, uint32_t key);
/* Calls fn for each total. */
void aggregate_foreach(const struct aggregate *aggregate,
		       void (*fn)(void *ctx, uint32_t key, double total),
		       void *ctx);

#endif
