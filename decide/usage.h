/*
 * Counts of begun requests by account and window of the wall clock, of this
 * host and, where they are added up, of all hosts.
 *
 * Each host tells its own counts again and again until the window is old;
 * of one process only the greatest count is kept, so that repeated or late
 * messages change nothing.
 */
#ifndef DECIDE_USAGE_H
#define DECIDE_USAGE_H

#include <glib.h>
#include <stdint.h>

#include "clk.h"

#define USAGE_WINDOWS 6 /* that are kept */

struct usage {
	clk_ms window;	       /* length of a window, in ms */
	GHashTable *counts;    /* "window\nprocess\naccount" -> count */
	int64_t newest_window; /* window */
};

void usage_init(struct usage *usage, clk_ms window);
/* The window that a time of the wall clock, in ms, is in. */
int64_t usage_window(const struct usage *usage, clk_ms wall);
/* Adds one begun request of an account. */
void usage_add(struct usage *usage, const char *process, const char *account,
	       clk_ms wall);
/* Takes what a process counted. */
void usage_merge(struct usage *usage, const char *process, const char *account,
		 int64_t window, int64_t n);
/* Calls fn for each count of a process, or of all if it is NULL. */
void usage_foreach(const struct usage *usage, const char *process,
		   int64_t window,
		   void (*fn)(void *ctx, const char *account, int64_t count),
		   void *ctx);

#endif
