/* How many workers of a pool to order. */
#include "scale.h"

#include <math.h>

#define SMOOTH_MS 3000.0 /* time in which measures are smoothed */
#define FALL_MS 8000.0	 /* time in which the need falls by two thirds */
#define HEAD_ROOM 1.4	 /* workers for each busy one */
#define SPREAD 0.8	 /* workers for the square root of the busy ones */
#define BATCH_SHARE 0.6	 /* of an engine's places that are taken when busy */
#define WORKERS_MIN 2.0	 /* that are left after a loss */

double scale_work_ms(const struct scale_engine *speed, int prompt_tokens,
		     int answer_tokens)
{
	double batch = fmax(speed->slots * BATCH_SHARE, 1);

	return prompt_tokens * speed->prefill_ms +
	       answer_tokens * (speed->step_ms / batch + speed->step_slot_ms);
}

/* The part of a difference that is left after some time. */
static double left_after(clk_ms age, double time)
{
	return exp(-(double)age / time);
}

void scale_demand_update(struct scale_demand *need, double busy, clk_ms now)
{
	clk_ms age = now - need->updated_at;

	if (!need->updated_at) {
		need->smoothed = need->busy;
		age = 0;
	}
	need->updated_at = now;
	need->smoothed =
		busy + (need->smoothed - busy) * left_after(age, SMOOTH_MS);
	need->busy = need->smoothed + fmax(need->busy - need->smoothed, 0) *
					      left_after(age, FALL_MS);
}

/* Workers that a need means: more than busy ones, as load comes unevenly,
 * the less so the more there are. */
static int workers_for(double busy)
{
	double need = busy * HEAD_ROOM + sqrt(busy) * SPREAD;

	return (int)ceil(fmax(need, WORKERS_MIN));
}

/* Data centres where more reclaimable workers are to be had. */
static size_t spot_dcs(const struct scale_dc *dcs, size_t count)
{
	size_t open = 0;

	for (size_t i = 0; i < count; i++)
		open += !dcs[i].spot_unavailable;
	return open;
}

/* Reclaimable workers for each of so many data centres, so that what is left
 * after the loss of one is enough. */
static int each_of(int need, size_t dcs, int max)
{
	int each = dcs > 1 ? (int)ceil((double)need / (double)(dcs - 1)) : need;

	return each < max ? each : max;
}

static int least(int a, int b)
{
	return a < b ? a : b;
}

/* Reclaimable workers that are there, or come. */
static int spot_coming(const struct scale_dc *dc)
{
	return dc->spot_unavailable ? least(dc->spot_ready, dc->want_spot)
				    : dc->want_spot;
}

/* The cheapest data centre for one more full worker, or NULL: one where it is
 * there already, or, if not kept, one where there is room for it. */
static struct scale_dc *cheapest(struct scale_dc *dcs, size_t count, int max,
				 bool kept)
{
	struct scale_dc *best = NULL;

	for (size_t i = 0; i < count; i++) {
		struct scale_dc *dc = &dcs[i];

		if (kept ? dc->on_demand_ready <= dc->want_on_demand
			 : dc->on_demand_unavailable ||
				    spot_coming(dc) + dc->want_on_demand >= max)
			continue;
		if (!best || dc->price < best->price)
			best = dc;
	}
	return best;
}

/* Adds full workers until there are enough; returns how many there are. */
static int full_add(struct scale_dc *dcs, size_t count, int max, bool kept,
		    int have, int need)
{
	while (have < need) {
		struct scale_dc *dc = cheapest(dcs, count, max, kept);

		if (!dc)
			break;
		dc->want_on_demand++;
		have++;
	}
	return have;
}

void scale_plan(struct scale_dc *dcs, size_t count,
		const struct scale_limits *limits, double busy)
{
	int need = workers_for(busy);
	size_t open = spot_dcs(dcs, count);
	int coming = 0;
	int ready = 0;

	for (size_t i = 0; i < count; i++) {
		struct scale_dc *dc = &dcs[i];

		/* Where none are to be had, they are still asked for. */
		dc->want_spot = each_of(
			need, dc->spot_unavailable ? count : open, limits->max);
		dc->want_on_demand = 0;
		if (spot_coming(dc) < limits->min)
			dc->want_on_demand = limits->min - spot_coming(dc);
		coming += spot_coming(dc) + dc->want_on_demand;
	}
	/* Full workers take as long to come as reclaimable ones: they are
	 * ordered only for those that don't come. */
	coming = full_add(dcs, count, limits->max, true, coming, need);
	full_add(dcs, count, limits->max, false, coming, need);
	/* Those that are there are kept until the others have come. */
	for (size_t i = 0; i < count; i++)
		ready += least(dcs[i].spot_ready, dcs[i].want_spot) +
			 least(dcs[i].on_demand_ready, dcs[i].want_on_demand);
	full_add(dcs, count, limits->max, true, ready, need);
}
