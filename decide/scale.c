/* How many workers of a pool to order, of which kind, in which data centre. */
#include "scale.h"

#include <math.h>

#define SMOOTHING_MS 3000.0 /* time constant of the smoothing */
#define DECAY_MS 8000.0	    /* time in which the demand falls by two thirds */
#define HEADROOM 1.4	    /* workers per busy one */
#define HEADROOM_SQRT 0.8   /* workers per square root of the busy ones */
#define BATCH_SHARE 0.6	    /* of an engine's slots in use when busy */
#define WORKERS_MIN 2.0	    /* remaining after the loss of a data centre */

double scale_work_ms(const struct scale_engine *engine, int prompt_tokens,
		     int answer_tokens)
{
	double batch = fmax(engine->slots * BATCH_SHARE, 1);

	return prompt_tokens * engine->prefill_ms +
	       answer_tokens * (engine->step_ms / batch + engine->step_slot_ms);
}

/* Returns the part of a difference that remains after some time. */
static double decay(clk_ms age, double time_constant)
{
	return exp(-(double)age / time_constant);
}

void scale_demand_update(struct scale_demand *demand, double busy, clk_ms now)
{
	clk_ms age = now - demand->updated_at;

	if (!demand->updated_at) {
		demand->smoothed = demand->busy;
		age = 0;
	}
	demand->updated_at = now;
	demand->smoothed =
		busy + (demand->smoothed - busy) * decay(age, SMOOTHING_MS);
	demand->busy =
		demand->smoothed +
		fmax(demand->busy - demand->smoothed, 0) * decay(age, DECAY_MS);
}

static int least(int a, int b)
{
	return a < b ? a : b;
}

/* Returns the workers needed for a demand: more than the busy ones, as load is
 * uneven, but relatively fewer the more there are. */
static int workers_for(double busy)
{
	double need = busy * HEADROOM + sqrt(busy) * HEADROOM_SQRT;

	return (int)ceil(fmax(need, WORKERS_MIN));
}

/* Counts the data centres where more reclaimable workers are available. */
static size_t count_spot_dcs(const struct scale_dc *dcs, size_t count)
{
	size_t available = 0;

	for (size_t i = 0; i < count; i++)
		available += !dcs[i].spot_unavailable;
	return available;
}

static int divide_up(int value, size_t by)
{
	return value > 0 ? (int)ceil((double)value / (double)by) : 0;
}

/* Returns the reclaimable workers per data centre that suffice after the loss
 * of one of them. */
static int spot_per_dc(int need, size_t dcs, int max)
{
	return least(dcs > 1 ? divide_up(need, dcs - 1) : need, max);
}

/* The reclaimable workers of data centres where no more are available. */
struct stranded {
	int all;
	int most; /* in one of them */
};

static struct stranded count_stranded(const struct scale_dc *dcs, size_t count)
{
	struct stranded stranded = { 0 };

	for (size_t i = 0; i < count; i++) {
		if (!dcs[i].spot_unavailable)
			continue;
		stranded.all += dcs[i].spot_ready;
		if (dcs[i].spot_ready > stranded.most)
			stranded.most = dcs[i].spot_ready;
	}
	return stranded;
}

/* The same for each data centre where more are available: with the workers of
 * the others they suffice, whichever data centre is lost. */
static int spot_per_available_dc(const struct stranded *stranded, int need,
				 size_t dcs, int max)
{
	int after_own = spot_per_dc(need - stranded->all, dcs, max);
	int after_other = divide_up(need - stranded->all + stranded->most, dcs);

	return least(after_own > after_other ? after_own : after_other, max);
}

/* Returns the reclaimable workers that are ready or can be expected. */
static int spot_expected(const struct scale_dc *dc)
{
	return dc->spot_unavailable ? least(dc->spot_ready, dc->want_spot)
				    : dc->want_spot;
}

/* Returns the cheapest data centre for one more on-demand worker, or NULL.
 * existing: one that has such a worker already; otherwise one that has the
 * capacity for another. */
static struct scale_dc *cheapest(struct scale_dc *dcs, size_t count, int max,
				 bool existing)
{
	struct scale_dc *best = NULL;

	for (size_t i = 0; i < count; i++) {
		struct scale_dc *dc = &dcs[i];

		if (existing ? dc->on_demand_ready <= dc->want_on_demand
			     : dc->on_demand_unavailable ||
				       spot_expected(dc) + dc->want_on_demand >=
					       max)
			continue;
		if (!best || dc->price < best->price)
			best = dc;
	}
	return best;
}

/* Adds on-demand workers until the need is met or no data centre is left;
 * returns the number of workers. */
static int add_on_demand(struct scale_dc *dcs, size_t count, int max,
			 bool existing, int have, int need)
{
	while (have < need) {
		struct scale_dc *dc = cheapest(dcs, count, max, existing);

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
	size_t available = count_spot_dcs(dcs, count);
	struct stranded stranded = count_stranded(dcs, count);
	int expected = 0;
	int ready = 0;

	for (size_t i = 0; i < count; i++) {
		struct scale_dc *dc = &dcs[i];

		/* They are ordered also where none are available now. */
		dc->want_spot =
			dc->spot_unavailable
				? spot_per_dc(need, count, limits->max)
				: spot_per_available_dc(&stranded, need,
							available, limits->max);
		if (limits->spot_scarce && dc->want_spot < dc->spot_ready)
			dc->want_spot = least(dc->spot_ready, limits->max);
		dc->want_on_demand = 0;
		if (spot_expected(dc) < limits->min)
			dc->want_on_demand = limits->min - spot_expected(dc);
		expected += spot_expected(dc) + dc->want_on_demand;
	}
	/* On-demand workers take as long to start as reclaimable ones: they
	 * are ordered only in place of those that are not available. */
	expected = add_on_demand(dcs, count, limits->max, true, expected, need);
	add_on_demand(dcs, count, limits->max, false, expected, need);
	/* Existing ones are kept until the others are ready. */
	for (size_t i = 0; i < count; i++)
		ready += least(dcs[i].spot_ready, dcs[i].want_spot) +
			 least(dcs[i].on_demand_ready, dcs[i].want_on_demand);
	add_on_demand(dcs, count, limits->max, true, ready, need);
}
