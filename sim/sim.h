/* A virtual clock with events, for simulations of decide/. */
#ifndef SIM_SIM_H
#define SIM_SIM_H

#include <glib.h>
#include <stdbool.h>

#include "../decide/clk.h"

struct sim {
	GSequence *events; /* struct sim_event, soonest first */
	GRand *rand;
	clk_ms now;
	guint64 event_count; /* events, for a fixed order at the same time */
};

struct sim *sim_create(guint32 seed);
void sim_free(struct sim *sim);
/* Calls fn(ctx, arg) after a while. */
void sim_after(struct sim *sim, clk_ms wait, void (*fn)(void *ctx, void *arg),
	       void *ctx, void *arg);
/* Runs all events up to a time. */
void sim_run(struct sim *sim, clk_ms until);
/* A random number below n. */
guint sim_random(struct sim *sim, guint n);
/* True so many times in a thousand. */
bool sim_chance(struct sim *sim, guint per_mille);
/* The value below which a part of the values, doubles, lies; 0 if there are
 * none. Sorts them. */
double sim_percentile(GArray *values, double share);

#endif
