/* How many workers of a pool to order. */
#include "scale.h"

#include <math.h>

#define SMOOTH_MS 3000.0 /* time in which measures are smoothed */
#define FALL_MS 8000.0	 /* time in which the need falls by two thirds */
#define HEAD_ROOM 1.35	 /* workers for each busy one */
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

/* Data centres where reclaimable workers are to be had. */
static size_t spot_zones(const struct scale_zone *zones, size_t count)
{
	size_t open = 0;

	for (size_t i = 0; i < count; i++)
		open += !zones[i].spot_dry;
	return open;
}

/* The cheapest data centre with room for one more full worker, or NULL. */
static struct scale_zone *cheapest(struct scale_zone *zones, size_t count,
				   int max)
{
	struct scale_zone *best = NULL;

	for (size_t i = 0; i < count; i++) {
		struct scale_zone *zone = &zones[i];

		if (zone->full_dry || zone->want_spot + zone->want_full >= max)
			continue;
		if (!best || zone->price < best->price)
			best = zone;
	}
	return best;
}

void scale_plan(struct scale_zone *zones, size_t count,
		const struct scale_limits *limits, double busy)
{
	int need = (int)ceil(fmax(busy * HEAD_ROOM, WORKERS_MIN));
	size_t open = spot_zones(zones, count);
	int each = 0;
	int have = 0;

	/* The loss of one data centre's leaves what is needed. */
	if (open > 1)
		each = (int)ceil((double)need / (double)(open - 1));
	else if (open == 1)
		each = need;
	for (size_t i = 0; i < count; i++) {
		struct scale_zone *zone = &zones[i];

		/* Where no more are to be had, those that are there stay. */
		zone->want_spot = zone->spot_dry ? zone->spot_ready : each;
		if (zone->want_spot > limits->max)
			zone->want_spot = limits->max;
		zone->want_full = 0;
		/* The operators' minimum holds where none are to be had. */
		if (zone->want_spot < limits->min)
			zone->want_full = limits->min - zone->want_spot;
		/* What is there now counts, not what was ordered. */
		have += zone->spot_ready < zone->want_spot ? zone->spot_ready
							   : zone->want_spot;
		have += zone->want_full;
	}
	while (have < need) {
		struct scale_zone *zone = cheapest(zones, count, limits->max);

		if (!zone)
			return;
		zone->want_full++;
		have++;
	}
}
