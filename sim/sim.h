/* Discrete event simulation under a virtual clock, to run code of decide/. */
#ifndef SIM_SIM_H
#define SIM_SIM_H

#include <glib.h>
#include <stdbool.h>

#include "../decide/clk.h"

struct sim {
	GSequence *events; /* struct sim_event, earliest first */
	GRand *rand;
	clk_ms now;
	guint64 event_count; /* numbers the events, so that those of the same
			      * time run in the order of their creation */
};

struct sim *sim_create(guint32 seed);
void sim_free(struct sim *sim);
/* Schedules a call of fn(ctx, arg) after a delay in ms. */
void sim_after(struct sim *sim, clk_ms delay, void (*fn)(void *ctx, void *arg),
	       void *ctx, void *arg);
/* Runs all events up to a time. */
void sim_run(struct sim *sim, clk_ms until);
/* Returns a random number from 0 to n - 1. */
guint sim_random(struct sim *sim, guint n);
/* Returns true with a probability of per_mille / 1000. */
bool sim_chance(struct sim *sim, guint per_mille);
/* Returns a percentile of an array of doubles, which it sorts; share: 0 to 1.
 * Returns 0 if the array is empty. */
double sim_percentile(GArray *values, double share);

#endif
