/* The speed of a pool's engines; see speed.h. */
#include "speed.h"

#include <glib.h>
#include <math.h>

#define PAIRS_UNIT 1e6	    /* pairs of tokens that pair_ms stands for */
#define REFIT_MS 250	    /* between two fits: one takes below 0.2 ms */
#define SAMPLE_AGE_MS 20000 /* after which a sample no longer counts */
#define SAMPLES_MIN 10	    /* of one fit */
#define FACTOR_MAX 8.0	    /* of the settings' time, either way */
#define FIXED_MAX_MS 1000.0
#define PAIR_MAX_MS 4.0
/* The fit is used if the logarithm of its time of the usual prompt differs by
 * more from that of the settings, until it differs by less. Measured times
 * include the steps in which the prompt is prefilled and the growth with its
 * length: with the settings' own speed that is 18% in rw-sim's calm load. */
#define DIFFERS_FROM 0.35
#define DIFFERS_UNTIL 0.25
/* Least absolute deviations, by reweighted least squares. */
#define ROUNDS 30
#define ROUNDS_LAD 22 /* before samples far from the fit are rejected */
#define SWEEPS 60
/* Queues that this host does not know of make samples too long; nothing but an
 * odd worker makes them too short. */
#define QUANTILE 0.35
#define RESIDUAL_FAR 0.35
#define RESIDUAL_MIN 0.02 /* relative; smaller ones weigh the same */
#define SCALE_MIN_MS 20.0 /* times below it are exact to the same ms */
/* Weight of what is assumed before there are samples, in samples. */
#define PRIOR_WEIGHT 0.05
#define PAIR_UNIT_MS 0.1 /* unit of the fitted pair_ms */
#define FIXED_UNIT_MS 20.0
/* Bounds of one sample's part in the spread, relative to the fit. */
#define SPREAD_SAMPLE_MIN 0.4
#define SPREAD_SAMPLE_MAX 1.5
#define SPREAD_TOKENS 500 /* uncached, of samples that show it */

enum { FIXED, TOKEN, PAIR, TERMS };

/* Parameters in units of similar size, so that the sweeps converge. */
struct problem {
	double matrix[TERMS][TERMS];
	double vector[TERMS];
	double low[TERMS];
	double high[TERMS];
};

void speed_init(struct speed *speed, double initial_ms)
{
	*speed = (struct speed){
		.initial_ms = initial_ms,
		.fit.token_ms = initial_ms,
		.spread = 1,
	};
}

void speed_set_initial(struct speed *speed, double initial_ms)
{
	if (speed->initial_ms != initial_ms)
		speed_init(speed, initial_ms);
}

static double pairs_of(double uncached, double cached)
{
	return uncached * (cached + uncached / 2) / PAIRS_UNIT;
}

static double fit_ms(const struct speed_fit *fit, double uncached,
		     double cached)
{
	return fit->token_ms * uncached +
	       fit->pair_ms * pairs_of(uncached, cached);
}

/* Adds one sample, or what is assumed before there are any. */
static void problem_add(struct problem *problem, const double terms[TERMS],
			double value, double weight)
{
	for (int i = 0; i < TERMS; i++) {
		for (int j = 0; j < TERMS; j++)
			problem->matrix[i][j] += weight * terms[i] * terms[j];
		problem->vector[i] += weight * terms[i] * value;
	}
}

/* Improves a solution within its bounds, one parameter after the other. */
static void problem_solve(const struct problem *problem, double at[TERMS])
{
	for (int sweep = 0; sweep < SWEEPS * TERMS; sweep++) {
		int i = sweep % TERMS;
		double rest = problem->vector[i];

		for (int j = 0; j < TERMS; j++)
			if (j != i)
				rest -= problem->matrix[i][j] * at[j];
		at[i] = CLAMP(rest / problem->matrix[i][i], problem->low[i],
			      problem->high[i]);
	}
}

/* Returns the weight of a sample by its relative residual; rejects: those far
 * from the fit count little. */
static double sample_weight(double residual, bool rejects)
{
	double far = residual / RESIDUAL_FAR;
	double side = residual > 0 ? QUANTILE : 1 - QUANTILE;
	double weight = side / MAX(fabs(residual), RESIDUAL_MIN);

	return rejects ? weight / (1 + far * far * far * far) : weight;
}

static void round_fit(const struct speed *speed, clk_ms since, bool rejects,
		      double at[TERMS])
{
	static const double assumed[TERMS] = { 1, 1, 0 };
	struct problem problem = {
		.low = { 0, 1 / FACTOR_MAX, 0 },
		.high = { FIXED_MAX_MS / FIXED_UNIT_MS, FACTOR_MAX,
			  PAIR_MAX_MS / PAIR_UNIT_MS },
	};

	for (int i = 0; i < TERMS; i++) {
		double term[TERMS] = { 0 };

		term[i] = 1;
		problem_add(&problem, term, assumed[i], PRIOR_WEIGHT);
	}
	for (size_t i = 0; i < speed->count; i++) {
		const struct speed_sample *sample = &speed->samples[i];
		double scale;
		double terms[TERMS] = {
			[FIXED] = FIXED_UNIT_MS,
			[TOKEN] = speed->initial_ms * sample->uncached,
			[PAIR] = PAIR_UNIT_MS *
				 pairs_of(sample->uncached, sample->cached),
		};
		double expected = 0;
		double residual;

		if (sample->at < since)
			continue;
		for (int j = 0; j < TERMS; j++)
			expected += terms[j] * at[j];
		scale = MAX(expected, SCALE_MIN_MS);
		residual = (sample->took - expected) / scale;
		for (int j = 0; j < TERMS; j++)
			terms[j] /= scale;
		problem_add(&problem, terms, sample->took / scale,
			    sample_weight(residual, rejects));
	}
	problem_solve(&problem, at);
}

/* Sums up the samples by the fit: the usual depth of a token in its prompt, and
 * how much slower some workers are than most. */
static void samples_describe(struct speed *speed, clk_ms since)
{
	double tokens = 0;
	double depths = 0;
	double expected = 0;
	double took = 0;

	for (size_t i = 0; i < speed->count; i++) {
		const struct speed_sample *sample = &speed->samples[i];
		double ms =
			fit_ms(&speed->fit, sample->uncached, sample->cached);

		if (sample->at < since)
			continue;
		tokens += sample->uncached;
		depths +=
			pairs_of(sample->uncached, sample->cached) * PAIRS_UNIT;
		if (sample->uncached < SPREAD_TOKENS)
			continue;
		expected += ms;
		took += CLAMP(sample->took - speed->fit.fixed_ms,
			      ms * SPREAD_SAMPLE_MIN, ms * SPREAD_SAMPLE_MAX);
	}
	speed->depth = tokens > 0 ? depths / tokens : 0;
	speed->spread = expected > 0 ? took / expected : 1;
}

static size_t samples_since(const struct speed *speed, clk_ms since)
{
	size_t count = 0;

	for (size_t i = 0; i < speed->count; i++)
		count += speed->samples[i].at >= since;
	return count;
}

/* Fits the parameters to the recent samples. */
static bool fit_update(struct speed *speed, clk_ms now)
{
	clk_ms since = now - SAMPLE_AGE_MS;
	double at[TERMS] = {
		speed->fit.fixed_ms / FIXED_UNIT_MS,
		speed->fit.token_ms / speed->initial_ms,
		speed->fit.pair_ms / PAIR_UNIT_MS,
	};
	double difference;

	if (samples_since(speed, since) < SAMPLES_MIN)
		return false;
	for (int i = 0; i < ROUNDS; i++)
		round_fit(speed, since, i >= ROUNDS_LAD, at);
	speed->fit = (struct speed_fit){
		.fixed_ms = at[FIXED] * FIXED_UNIT_MS,
		.token_ms = at[TOKEN] * speed->initial_ms,
		.pair_ms = at[PAIR] * PAIR_UNIT_MS,
	};
	speed->fitted_at = now;
	samples_describe(speed, since);
	difference = log((speed->fit.token_ms +
			  speed->fit.pair_ms * speed->depth / PAIRS_UNIT) /
			 speed->initial_ms);
	speed->differs = fabs(difference) >
			 (speed->differs ? DIFFERS_UNTIL : DIFFERS_FROM);
	return true;
}

bool speed_add(struct speed *speed, const struct speed_sample *sample)
{
	if (speed->initial_ms <= 0 || !isfinite(sample->took) ||
	    sample->took < 0 || sample->uncached < 0 || sample->cached < 0)
		return false;
	speed->samples[speed->next] = *sample;
	speed->next = (speed->next + 1) % SPEED_SAMPLES;
	speed->count = MIN(speed->count + 1, SPEED_SAMPLES);
	if (speed->fitted_at && sample->at - speed->fitted_at < REFIT_MS)
		return false;
	return fit_update(speed, sample->at);
}

double speed_prompt_ms(const struct speed *speed, double uncached,
		       double cached)
{
	if (!speed->differs)
		return uncached * speed->initial_ms;
	return fit_ms(&speed->fit, uncached, cached);
}

double speed_queue_ms(const struct speed *speed, double tokens)
{
	if (!speed->differs)
		return tokens * speed->initial_ms;
	return tokens * (speed->fit.token_ms +
			 speed->fit.pair_ms * speed->depth / PAIRS_UNIT);
}

double speed_work_ms(const struct speed *speed, double uncached, double cached)
{
	double ms = speed_prompt_ms(speed, uncached, cached);

	return speed->differs ? ms * speed->spread : ms;
}
