/*
 * Figures of many hosts, added up by what they are about: how many requests
 * hosts have at a worker, what they have spent of an account's limit.
 *
 * A host tells all its figures at once; each message replaces what it told
 * before. What a host that fell silent told is left out after a time.
 */
#ifndef DECIDE_AGGREGATE_H
#define DECIDE_AGGREGATE_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "clk.h"

/* One figure; key is a hash of the name of what it is about. */
struct aggregate_value {
	uint32_t key;
	double value;
};

struct aggregate {
	GHashTable *hosts;  /* process -> its figures */
	GHashTable *totals; /* key -> double */
	/* A total has changed. */
	void (*on_change)(void *ctx, uint32_t key, double total);
	void *ctx;
};

/* The key of a name. */
uint32_t aggregate_key(const char *name);
struct aggregate *aggregate_create(void (*changed)(void *ctx, uint32_t key,
						   double total),
				   void *ctx);
/* Takes all figures of a process. */
void aggregate_update(struct aggregate *sums, const char *process,
		      const struct aggregate_value *parts, size_t count,
		      clk_ms now);
/* Leaves out what was told before a time. */
void aggregate_expire(struct aggregate *sums, clk_ms before);
/* Processes that are counted. */
unsigned aggregate_host_count(const struct aggregate *sums);
/* Processes that have told something since a time. */
unsigned aggregate_active_count(const struct aggregate *sums, clk_ms since);
/* What a process told about something; 0 if nothing. */
double aggregate_lookup(const struct aggregate *sums, const char *process,
			uint32_t key);
/* Calls fn for each total. */
void aggregate_foreach(const struct aggregate *sums,
		       void (*fn)(void *ctx, uint32_t key, double total),
		       void *ctx);

#endif
