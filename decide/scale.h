/*
 * How many workers of a pool to order, of which kind, in which data centre.
 *
 * Reclaimable workers are the cheap ones, and are lost a data centre at a
 * time: they are spread so that what is left after the loss of one data
 * centre's carries the need. Full-price workers fill what reclaimable ones
 * that are to be had do not.
 */
#ifndef DECIDE_SCALE_H
#define DECIDE_SCALE_H

#include <stdbool.h>
#include <stddef.h>

#include "clk.h"

#define SCALE_DCS_MAX 16 /* data centres of one pool */

/* What is to be had, and wanted, in one data centre. */
struct scale_dc {
	const char *name;
	double price;		    /* of a full worker, per second */
	bool spot_unavailable;	    /* no reclaimable ones are to be had now */
	bool on_demand_unavailable; /* no full ones */
	int spot_ready;		    /* reclaimable workers that take work */
	int on_demand_ready;
	int want_spot;	    /* result */
	int want_on_demand; /* result */
};

/* What binds a pool. */
struct scale_limits {
	int min; /* workers per data centre, of both kinds together */
	int max;
};

/* Busy workers that a pool's demand means. Single measures are noise, as a
 * few large requests make them up: they are smoothed first. A rise of what is
 * left is followed at once, a fall slowly. */
struct scale_demand {
	double busy;	   /* that are needed */
	double smoothed;   /* measure */
	clk_ms updated_at; /* of the last measure; 0: none yet */
};

/* What is known of an engine's speed. */
struct scale_engine {
	double prefill_ms;   /* of a prompt token */
	double step_ms;	     /* of a step, which makes a token of each answer */
	double step_slot_ms; /* added for each running request */
	int slots;
};

/* The work that a request means for an engine, in ms; prompt_tokens: those
 * that it has not kept. */
double scale_work_ms(const struct scale_engine *speed, int prompt_tokens,
		     int answer_tokens);
/* Takes a new measure of the demand. */
void scale_demand_update(struct scale_demand *need, double busy, clk_ms now);
/* Plans for so many busy workers. */
void scale_plan(struct scale_dc *dcs, size_t count,
		const struct scale_limits *limits, double busy);

#endif
