/*
 * How many workers of a pool to order, of which kind, in which data centre.
 *
 * Reclaimable (spot) workers are cheaper, and all those of one data centre may
 * be lost at once: they are spread so that the remaining ones carry the load
 * after the loss of one data centre. On-demand workers, at the full price,
 * replace reclaimable ones that are not available.
 */
#ifndef DECIDE_SCALE_H
#define DECIDE_SCALE_H

#include <stdbool.h>
#include <stddef.h>

#include "clk.h"

#define SCALE_DCS_MAX 16 /* data centres of one pool */

/* Available and planned workers of one data centre. */
struct scale_dc {
	const char *name;
	double price;	       /* of an on-demand worker, per second */
	bool spot_unavailable; /* no reclaimable worker can be had now */
	bool on_demand_unavailable;
	int spot_ready; /* reclaimable workers that accept requests */
	int on_demand_ready;
	int want_spot;	    /* result */
	int want_on_demand; /* result */
};

/* Limits of a pool. */
struct scale_limits {
	int min; /* workers per data centre, of both kinds together */
	int max;
	bool spot_scarce; /* a reclaimable worker that is let go can't be had
			   * again soon, and would be replaced at full price */
};

/* Demand of a pool, in busy workers. Single measurements are noisy, as a few
 * large requests dominate them, so they are smoothed first. A rise of the
 * smoothed demand is followed at once, a fall slowly. */
struct scale_demand {
	double busy;	   /* demand that the pool is planned for */
	double smoothed;   /* measurements */
	clk_ms updated_at; /* last measurement; 0: none yet */
};

/* Performance of an engine. */
struct scale_engine {
	double prefill_ms;   /* per prompt token */
	double step_ms;	     /* per decode step: one token of each response */
	double step_slot_ms; /* added per running request */
	int slots;
};

/* Returns the work of a request for an engine, in ms; prompt_tokens: the
 * uncached ones. */
double scale_work_ms(const struct scale_engine *engine, int prompt_tokens,
		     int answer_tokens);
/* Adds a measurement of the demand. */
void scale_demand_update(struct scale_demand *demand, double busy, clk_ms now);
/* Plans the workers of all data centres for a number of busy workers. */
void scale_plan(struct scale_dc *dcs, size_t count,
		const struct scale_limits *limits, double busy);

#endif
