/* What a run of a scenario gave: worth earned and owed, times, costs. */
#ifndef SIM_RESULT_H
#define SIM_RESULT_H

#include <glib.h>

#include "../decide/clk.h"
#include "scenario.h"

#define RESULT_INTERVAL_MS 2000 /* of the worst spans of time */

enum result_outcome {
	RESULT_ON_TIME,
	RESULT_LATE,
	RESULT_REFUSED,
	RESULT_FAILED,
	RESULT_OUTCOME_COUNT,
};

/* Of one load. */
struct result_load {
	const struct conf_load *conf;
	long outcomes[RESULT_OUTCOME_COUNT];
	double offered;
	double earned;
	GArray *first_ms; /* double: first events of whole answers */
};

struct result {
	const struct scenario *scenario;
	struct result_load *loads;
	GArray *offered;	 /* double: by span of RESULT_INTERVAL_MS */
	GArray *earned;		 /* the same */
	double prefilled_tokens; /* prompt tokens that engines read */
	double cached_tokens;	 /* and found kept */
	double engine_cost;	 /* seconds of full engines, by price */
	long attempts;
	long over_limit; /* tries refused by accounts' limits */
};

struct result *result_create(const struct scenario *scenario);
void result_free(struct result *result);
/* A request has ended; size: its weight against the mean of its load. */
void result_add(struct result *result, guint load, enum result_outcome end,
		double size, clk_ms arrived, double first_ms);
/* Part of what is owed that was earned: over all, over the two worst spans,
 * of the worst load. */
double result_earned_share(const struct result *result);
double result_worst_intervals(const struct result *result);
double result_worst_load(const struct result *result);
/* What engines cost, as a part of what is owed. */
double result_cost(const struct result *result);
/* One figure of all: half of the whole, 0.35 of the worst spans, 0.15 of the
 * worst load, less the price. */
double result_score(const struct result *result);
/* A percentile of a load's times to the first event, in ms. */
double result_first_ms(const struct result *result, guint load, double share);

#endif
