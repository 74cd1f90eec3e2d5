/* Result of a simulated scenario. */
#include "result.h"

#include <math.h>

#include "sim.h"

#define EARNED_WEIGHT 0.5
#define INTERVALS_WEIGHT 0.35
#define LOAD_WEIGHT 0.15

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

static void interval_add(GArray *intervals, clk_ms at, double value)
{
	guint interval = (guint)(at / RESULT_INTERVAL_MS);

	if (intervals->len <= interval)
		g_array_set_size(intervals, interval + 1);
	g_array_index(intervals, double, interval) += value;
}

void result_add(struct result *result, guint load, enum result_outcome outcome,
		double size, clk_ms arrived, double first_ms)
{
	struct result_load *stats = &result->loads[load];
	double offered = stats->conf->worth * size;
	double earned = outcome == RESULT_ON_TIME ? offered
			: outcome == RESULT_LATE
				? stats->conf->late_worth * size
				: 0;

	stats->outcomes[outcome]++;
	stats->offered += offered;
	stats->earned += earned;
	interval_add(result->offered, arrived, offered);
	interval_add(result->earned, arrived, earned);
	if (outcome == RESULT_ON_TIME || outcome == RESULT_LATE)
		g_array_append_val(stats->first_ms, first_ms);
}

static double offered_total(const struct result *result)
{
	double offered = 0;

	for (guint i = 0; i < result->scenario->loads->len; i++)
		offered += result->loads[i].offered;
	return offered;
}

double result_earned_share(const struct result *result)
{
	double earned = 0;

	for (guint i = 0; i < result->scenario->loads->len; i++)
		earned += result->loads[i].earned;
	return earned / fmax(offered_total(result), 1e-9);
}

double result_worst_intervals(const struct result *result)
{
	double worst = 1;
	double second = 1;

	for (guint i = 0; i < result->offered->len; i++) {
		double offered = g_array_index(result->offered, double, i);
		double part;

		if (offered <= 0 || i >= result->earned->len)
			continue;
		part = g_array_index(result->earned, double, i) / offered;
		if (part < worst) {
			second = worst;
			worst = part;
		} else {
			second = fmin(second, part);
		}
	}
	return (worst + second) / 2;
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
	       fmax(offered_total(result), 1e-9);
}

double result_score(const struct result *result)
{
	return EARNED_WEIGHT * result_earned_share(result) +
	       INTERVALS_WEIGHT * result_worst_intervals(result) +
	       LOAD_WEIGHT * result_worst_load(result) - result_cost(result);
}

double result_first_ms(const struct result *result, guint load, double share)
{
	return sim_percentile(result->loads[load].first_ms, share);
}
