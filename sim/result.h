/*
 * Result of a simulated scenario: the worth that its requests earned and could
 * have earned, times to first token, and the cost of the engines.
 */
#ifndef SIM_RESULT_H
#define SIM_RESULT_H

#include <glib.h>

#include "../decide/clk.h"
#include "scenario.h"

/* Length of the intervals that are compared. */
#define RESULT_INTERVAL_MS 2000

/* How a request ended for its caller. */
enum result_outcome {
	RESULT_ON_TIME, /* first event within the load's aim */
	RESULT_LATE,	/* complete, but its first event came later */
	RESULT_REFUSED,
	RESULT_FAILED,
	RESULT_OUTCOME_COUNT,
};

/* Result of one load. */
struct result_load {
	const struct conf_load *conf;
	long outcomes[RESULT_OUTCOME_COUNT]; /* number of requests */
	double offered;	  /* worth if all its requests were on time */
	double earned;	  /* worth by their outcomes */
	GArray *first_ms; /* double: times to first event of complete
			   * responses */
};

struct result {
	const struct scenario *scenario;
	struct result_load *loads;
	GArray *offered;	 /* double: worth by the interval in
				  * which a request arrived */
	GArray *earned;		 /* double: the same */
	double prefilled_tokens; /* prompt tokens that engines prefilled */
	double cached_tokens;	 /* prompt tokens that they had cached */
	double engine_cost;	 /* in seconds of an on-demand engine */
	long attempts;
	long over_limit; /* requests refused by accounts' limits, with each
			  * retry by their callers */
};

struct result *result_create(const struct scenario *scenario);
void result_free(struct result *result);
/* Records the end of a request; size: its weight relative to the mean of its
 * load. */
void result_add(struct result *result, guint load, enum result_outcome outcome,
		double size, clk_ms arrived, double first_ms);
/* Return the earned part of the offered worth: of all requests, the mean of
 * the two worst intervals, and of the worst load. */
double result_earned_share(const struct result *result);
double result_worst_intervals(const struct result *result);
double result_worst_load(const struct result *result);
/* Returns the cost of the engines relative to the offered worth. */
double result_cost(const struct result *result);
/* Returns a single score: 0.5 of the earned part of all requests, 0.35 of that
 * of the worst intervals and 0.15 of that of the worst load, less the cost. */
double result_score(const struct result *result);
/* Returns a percentile of a load's times to first event, in ms; share: 0 to 1.
 */
double result_first_ms(const struct result *result, guint load, double share);

#endif
