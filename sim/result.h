/* What a run of a scenario gave: worth earned and owed, times, costs. */
#ifndef SIM_RESULT_H
#define SIM_RESULT_H

#include <glib.h>

#include "../decide/clk.h"
#include "scenario.h"

#define RESULT_SPAN_MS 2000 /* of the worst spans of time */

enum result_end {
	RESULT_IN_AIM,
	RESULT_LATE,
	RESULT_REFUSED,
	RESULT_FAILED,
	RESULT_END_COUNT,
};

/* Of one load. */
struct result_load {
	const struct conf_load *conf;
	long ends[RESULT_END_COUNT];
	double owed;
	double earned;
	GArray *first_ms; /* double: first events of whole answers */
};

struct result {
	const struct scenario *scenario;
	struct result_load *loads;
	GArray *owed;	/* double: by span of RESULT_SPAN_MS */
	GArray *earned; /* the same */
	double read;	/* prompt tokens that engines read */
	double kept;	/* and found kept */
	double priced;	/* seconds of full engines, by price */
	long attempts;
	long over_limit; /* tries refused by accounts' limits */
};

struct result *result_create(const struct scenario *scenario);
void result_free(struct result *result);
/* A request has ended; size: its weight against the mean of its load. */
void result_add(struct result *result, guint load, enum result_end end,
		double size, clk_ms arrived, double first_ms);
/* Part of what is owed that was earned: over all, over the two worst spans,
 * of the worst load. */
double result_whole(const struct result *result);
double result_worst_spans(const struct result *result);
double result_worst_load(const struct result *result);
/* What engines cost, as a part of what is owed. */
double result_price(const struct result *result);
/* One figure of all: half of the whole, 0.35 of the worst spans, 0.15 of the
 * worst load, less the price. */
double result_worth(const struct result *result);
/* A percentile of a load's times to the first event, in ms. */
double result_first_ms(const struct result *result, guint load, double share);

#endif
