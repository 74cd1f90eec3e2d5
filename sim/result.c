/* What a run of a scenario gave. */
#include "result.h"

#include <math.h>

#include "sim.h"

#define WHOLE_SHARE 0.5
#define SPANS_SHARE 0.35
#define LOAD_SHARE 0.15

struct result *result_create(const struct scenario *scenario)
{
	struct result *result = g_new0(struct result, 1);

	result->scenario = scenario;
	result->loads = g_new0(struct result_load, scenario->loads->len);
	for (guint i = 0; i < scenario->loads->len; i++) {
		struct result_load *load = &result->loads[i];

		load->conf = g_ptr_array_index(scenario->loads, i);
		load->first_ms = g_array_new(FALSE, FALSE, sizeof(double));
	}
	result->offered = g_array_new(FALSE, TRUE, sizeof(double));
	result->earned = g_array_new(FALSE, TRUE, sizeof(double));
	return result;
}

void result_free(struct result *result)
{
	for (guint i = 0; i < result->scenario->loads->len; i++)
		g_array_free(result->loads[i].first_ms, TRUE);
	g_free(result->loads);
	g_array_free(result->offered, TRUE);
	g_array_free(result->earned, TRUE);
	g_free(result);
}

static void span_add(GArray *spans, clk_ms at, double value)
{
	guint span = (guint)(at / RESULT_INTERVAL_MS);

	if (spans->len <= span)
		g_array_set_size(spans, span + 1);
	g_array_index(spans, double, span) += value;
}

void result_add(struct result *result, guint load, enum result_outcome end,
		double size, clk_ms arrived, double first_ms)
{
	struct result_load *of = &result->loads[load];
	double owed = of->conf->worth * size;
	double earned = end == RESULT_ON_TIME ? owed
			: end == RESULT_LATE  ? of->conf->late_worth * size
					      : 0;

	of->outcomes[end]++;
	of->offered += owed;
	of->earned += earned;
	span_add(result->offered, arrived, owed);
	span_add(result->earned, arrived, earned);
	if (end == RESULT_ON_TIME || end == RESULT_LATE)
		g_array_append_val(of->first_ms, first_ms);
}

static double owed_all(const struct result *result)
{
	double owed = 0;

	for (guint i = 0; i < result->scenario->loads->len; i++)
		owed += result->loads[i].offered;
	return owed;
}

double result_earned_share(const struct result *result)
{
	double earned = 0;

	for (guint i = 0; i < result->scenario->loads->len; i++)
		earned += result->loads[i].earned;
	return earned / fmax(owed_all(result), 1e-9);
}

double result_worst_intervals(const struct result *result)
{
	double first = 1;
	double second = 1;

	for (guint i = 0; i < result->offered->len; i++) {
		double owed = g_array_index(result->offered, double, i);
		double part;

		if (owed <= 0 || i >= result->earned->len)
			continue;
		part = g_array_index(result->earned, double, i) / owed;
		if (part < first) {
			second = first;
			first = part;
		} else {
			second = fmin(second, part);
		}
	}
	return (first + second) / 2;
}

double result_worst_load(const struct result *result)
{
	double worst = 1;

	for (guint i = 0; i < result->scenario->loads->len; i++)
		if (result->loads[i].offered > 0)
			worst = fmin(worst, result->loads[i].earned /
						    result->loads[i].offered);
	return worst;
}

double result_cost(const struct result *result)
{
	return result->engine_cost * result->scenario->conf->worker_price /
	       fmax(owed_all(result), 1e-9);
}

double result_score(const struct result *result)
{
	return WHOLE_SHARE * result_earned_share(result) +
	       SPANS_SHARE * result_worst_intervals(result) +
	       LOAD_SHARE * result_worst_load(result) - result_cost(result);
}

double result_first_ms(const struct result *result, guint load, double share)
{
	return sim_percentile(result->loads[load].first_ms, share);
}
