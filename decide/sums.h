/*
 * Figures of many hosts, added up by what they are about: how many requests
 * hosts have at a worker, what they have spent of an account's limit.
 *
 * A host tells all its figures at once; each message replaces what it told
 * before. What a host that fell silent told is left out after a time.
 */
#ifndef DECIDE_SUMS_H
#define DECIDE_SUMS_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "clk.h"

/* One figure; key is a hash of the name of what it is about. */
struct sums_part {
	uint32_t key;
	double value;
};

struct sums {
	GHashTable *hosts;  /* process -> its figures */
	GHashTable *totals; /* key -> double */
	/* A total has changed. */
	void (*changed)(void *ctx, uint32_t key, double total);
	void *ctx;
};

/* The key of a name. */
uint32_t sums_key(const char *name);
struct sums *sums_create(void (*changed)(void *ctx, uint32_t key, double total),
			 void *ctx);
/* Takes all figures of a process. */
void sums_take(struct sums *sums, const char *process,
	       const struct sums_part *parts, size_t count, clk_ms now);
/* Leaves out what was told before a time. */
void sums_expire(struct sums *sums, clk_ms before);
/* Processes that are counted. */
unsigned sums_hosts(const struct sums *sums);
/* Processes that have told something since a time. */
unsigned sums_heard(const struct sums *sums, clk_ms since);
/* What a process told about something; 0 if nothing. */
double sums_of(const struct sums *sums, const char *process, uint32_t key);
/* Calls fn for each total. */
void sums_each(const struct sums *sums,
	       void (*fn)(void *ctx, uint32_t key, double total), void *ctx);

#endif
