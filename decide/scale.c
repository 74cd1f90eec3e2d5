/* How many workers of a pool to order. */
#include "scale.h"

#include <math.h>

#define SMOOTH_MS 3000.0 /* time in which measures are smoothed */
#define FALL_MS 8000.0	 /* time in which the need falls by two thirds */
#define HEAD_ROOM 1.4	 /* workers for each busy one */
#define SPREAD 0.8	 /* workers for the square root of the busy ones */
#define WORKERS_MIN 2.0	 /* that are left after a loss */

/* The part of a difference that is left after some time. */
static double left_after(clk_ms age, double time)
{
	return exp(-(double)age / time);
}

void scale_need_add(struct scale_need *need, double busy, clk_ms now)
{
	clk_ms age = now - need->at;

	if (!need->at) {
		need->smoothed = need->busy;
		age = 0;
	}
	need->at = now;
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
static size_t spot_zones(const struct scale_zone *zones, size_t count)
{
	size_t open = 0;

	for (size_t i = 0; i < count; i++)
		open += !zones[i].spot_dry;
	return open;
}

/* Reclaimable workers for each of so many data centres, so that what is left
 * after the loss of one is enough. */
static int each_of(int need, size_t zones, int max)
{
	int each = zones > 1 ? (int)ceil((double)need / (double)(zones - 1))
			     : need;

	return each < max ? each : max;
}

static int least(int a, int b)
{
	return a < b ? a : b;
}

/* Reclaimable workers that are there, or come. */
static int spot_coming(const struct scale_zone *zone)
{
	return zone->spot_dry ? least(zone->spot_ready, zone->want_spot)
			      : zone->want_spot;
}

/* The cheapest data centre for one more full worker, or NULL: one where it is
 * there already, or, if not kept, one where there is room for it. */
static struct scale_zone *cheapest(struct scale_zone *zones, size_t count,
				   int max, bool kept)
{
	struct scale_zone *best = NULL;

	for (size_t i = 0; i < count; i++) {
		struct scale_zone *zone = &zones[i];

		if (kept ? zone->full_ready <= zone->want_full
			 : zone->full_dry ||
				    spot_coming(zone) + zone->want_full >= max)
			continue;
		if (!best || zone->price < best->price)
			best = zone;
	}
	return best;
}

/* Adds full workers until there are enough; returns how many there are. */
static int full_add(struct scale_zone *zones, size_t count, int max, bool kept,
		    int have, int need)
{
	while (have < need) {
		struct scale_zone *zone = cheapest(zones, count, max, kept);

		if (!zone)
			break;
		zone->want_full++;
		have++;
	}
	return have;
}

void scale_plan(struct scale_zone *zones, size_t count,
		const struct scale_limits *limits, double busy)
{
	int need = workers_for(busy);
	size_t open = spot_zones(zones, count);
	int coming = 0;
	int ready = 0;

	for (size_t i = 0; i < count; i++) {
		struct scale_zone *zone = &zones[i];

		/* Where none are to be had, they are still asked for. */
		zone->want_spot = each_of(need, zone->spot_dry ? count : open,
					  limits->max);
		zone->want_full = 0;
		if (spot_coming(zone) < limits->min)
			zone->want_full = limits->min - spot_coming(zone);
		coming += spot_coming(zone) + zone->want_full;
	}
	/* Full workers take as long to come as reclaimable ones: they are
	 * ordered only for those that don't come. */
	coming = full_add(zones, count, limits->max, true, coming, need);
	full_add(zones, count, limits->max, false, coming, need);
	/* Those that are there are kept until the others have come. */
	for (size_t i = 0; i < count; i++)
		ready += least(zones[i].spot_ready, zones[i].want_spot) +
			 least(zones[i].full_ready, zones[i].want_full);
	full_add(zones, count, limits->max, true, ready, need);
}
