/* How many workers of a pool to order. */
#include "scale.h"

#include <math.h>

#define RISE 0.35	/* weight of a measure over the present need */
#define FALL_MS 15000.0 /* time in which the need falls to a third */
#define HEAD_ROOM 1.35	/* workers for each busy one */
#define WORKERS_MIN 2.0 /* that are left after a loss */

void scale_need_add(struct scale_need *need, double busy, clk_ms now)
{
	if (busy > need->busy)
		need->busy += RISE * (busy - need->busy);
	else
		need->busy += (busy - need->busy) *
			      (1 - exp(-(double)(now - need->at) / FALL_MS));
	need->at = now;
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

		zone->want_full = 0;
		zone->want_spot = 0;
		if (!zone->spot_dry)
			zone->want_spot =
				each < limits->max ? each : limits->max;
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
