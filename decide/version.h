/*
 * The software versions that the workers of a pool have had lately, in the form
 * in which they outlive all hosts: hosts that have just started see in the list
 * of workers only what serves now.
 */
#ifndef DECIDE_VERSION_H
#define DECIDE_VERSION_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "clk.h"

#define VERSION_MAX 64 /* versions of one pool that are recorded */
/* By which the wall clocks of hosts may differ. */
#define VERSION_SKEW_MS 5000

/* A version of a pool's workers. Times are of the wall clock. */
struct version {
	uint32_t key;	/* fleet_version_key */
	clk_ms gone_at; /* its last worker was; 0: it has some */
};

/* Parses a record; returns NULL if it is malformed. */
GArray *version_parse(const char *text, size_t len);
GString *version_print(const GArray *versions);
/* Updates a record by the keys of the versions that serve now; versions that
 * have been gone for long are dropped when another one changes. Returns whether
 * it has changed. */
bool version_update(GArray *versions, const uint32_t *serving, size_t count,
		    clk_ms wall);
/* Counts the versions that may have begun a stream which can be taken up now:
 * those of a record, and those that serve. */
unsigned version_count(const GArray *versions, const uint32_t *serving,
		       size_t count, clk_ms wall);

#endif
