/*
 * Counts of started requests by account and window of the wall clock, of this
 * host and, where they are aggregated, of all hosts.
 *
 * Each host reports its own counts repeatedly until their window expires; per
 * process only the highest count is kept, so duplicate and late messages have
 * no effect.
 */
#ifndef DECIDE_USAGE_H
#define DECIDE_USAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "clk.h"

#define USAGE_WINDOWS 6 /* number of windows that are kept */
/* Windows by which the clock of another host may be ahead. With more, the
 * windows that are not reported yet would expire. */
#define USAGE_AHEAD 3
#define USAGE_COUNT_MAX 1000000000000 /* of one process in a window */

struct usage {
	clk_ms window;	       /* length of a window, in ms */
	GHashTable *counts;    /* "window\nprocess\naccount" -> count */
	GHashTable *totals;    /* the same with an empty process, over all */
	GPtrArray *changed;    /* entries of counts to report */
	int64_t newest_window; /* 0: there is none yet */
};

void usage_init(struct usage *usage, clk_ms window);
/* Returns the number of the window that contains a wall clock time in ms. */
int64_t usage_window(const struct usage *usage, clk_ms wall);
/* Counts a started request of an account. Returns whether so many of its
 * requests are unreported that they have to be reported at once: they would be
 * missing from the window if this host were killed. */
bool usage_add(struct usage *usage, const char *process, const char *account,
	       clk_ms wall);
/* Whether some counts are not reported yet. */
bool usage_has_changed(const struct usage *usage);
/* Merges a count reported by a process: the higher one is kept. forward: this
 * host reports it to others. Returns false if no count can be so at a wall
 * clock time in ms; it is ignored. */
bool usage_merge(struct usage *usage, const char *process, const char *account,
		 int64_t window, int64_t count, bool forward, clk_ms wall);
/* A count to report. */
struct usage_count {
	const char *process;
	const char *account;
	int64_t window;
	int64_t count;
};
/* What is reported again, besides the counts that have changed. */
enum usage_again {
	USAGE_CHANGED, /* nothing */
	USAGE_RECENT,  /* the last two windows, as messages may be lost */
	USAGE_KEPT,    /* all windows, as somebody may have none */
};

/* Calls fn for each count that is to be reported, of one process or of all if
 * process is NULL. Marks them as reported. */
void usage_report(struct usage *usage, const char *process,
		  enum usage_again again,
		  void (*fn)(void *ctx, const struct usage_count *count),
		  void *ctx);
/* Calls fn for each count that is kept, whoever reports it. */
void usage_each(const struct usage *usage,
		void (*fn)(void *ctx, const struct usage_count *count),
		void *ctx);
/* Calls fn for each account's count of a window over all processes. */
void usage_totals(const struct usage *usage, int64_t window,
		  void (*fn)(void *ctx, const char *account, int64_t count),
		  void *ctx);

#endif
