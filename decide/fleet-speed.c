/*
 * Which requests show the speed of their pool, and the speed of each worker
 * relative to its pool. The load it addresses: workers of one pool that are
 * several times as slow as the others, for as long as they live.
 *
 * The time between two events of a stream is the cleanest sign of a worker's
 * speed: it depends little on the request and the queue. Each host sees too few
 * streams of each worker, so hosts share what they see.
 */
#include "fleet.h"

#include <math.h>

#define HALF_LIFE_MS 6000.0    /* of an observation */
#define INTERVAL_MAX_MS 3000.0 /* beyond it, a stream has stalled */
#define WEIGHT_MIN 2.5	       /* of a worker that is compared */
#define WEIGHT_ASSUMED 0.3     /* of the pool's figure, in observations */
#define COMPARED_MIN 3	       /* workers of a pool */
#define RATIO_MAX 4.0
/* A disturbance by other work on the machine lasts some 600 ms. */
#define PACE_HALF_LIFE_MS 250.0
#define PACE_AGE_MS 2500     /* from then on it is as usual */
#define PACE_FACTOR_MAX 10.0 /* either way */
#define PACE_USUAL 0.15	     /* a sample of the speed may be off by so much */
/* Logarithms of the ratios from which a worker's speed counts as different, and
 * until which: load alone makes intervals differ by a fifth. */
#define DIFFERENT_FROM 0.40
#define DIFFERENT_UNTIL 0.28

/* The expected cached tokens are most likely right if no other shared part is
 * expected to be missing than one of this share of the uncached tokens. */
#define MISSING_SHARE 0.1
/* Tokens queued before the request, as a share of its own uncached ones. */
#define QUEUED_SHARE 0.05

struct speed *fleet_speed(struct fleet *fleet, const char *pool)
{
	struct speed *speed = g_hash_table_lookup(fleet->speeds, pool);

	if (!speed) {
		speed = g_new(struct speed, 1);
		speed_init(speed, fleet->params.prefill_ms);
		g_hash_table_insert(fleet->speeds, g_strdup(pool), speed);
	}
	return speed;
}

void fleet_set_prefill(struct fleet *fleet, double prefill_ms)
{
	GHashTableIter iter;
	gpointer value;

	fleet->params.prefill_ms = prefill_ms;
	g_hash_table_iter_init(&iter, fleet->speeds);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		speed_set_initial(value, prefill_ms);
}

bool fleet_shows_speed(const struct fleet_worker *worker,
		       const struct fleet_request *request)
{
	int cached = request->prompt_tokens - request->prefill_tokens;
	int missing = fleet_shared_tokens(request) - cached;
	double queued = worker->prompt_tokens + worker->peer_prompt_tokens;
	bool is_busy = worker->entry.slots > 0 &&
		       worker->inflight + (unsigned)worker->peer_requests >=
			       (unsigned)worker->entry.slots;

	return request->engine && !is_busy &&
	       queued <= QUEUED_SHARE * request->prefill_tokens &&
	       missing <= MISSING_SHARE * request->prefill_tokens;
}

void fleet_speed_fade(struct fleet_worker *worker, clk_ms now)
{
	struct fleet_speed *speed = &worker->speed;
	double kept = exp2(-(double)MAX(now - speed->at, 0) / HALF_LIFE_MS);

	speed->weight *= kept;
	speed->sum *= kept;
	speed->at = now;
}

void fleet_on_interval(const struct fleet *fleet, struct fleet_worker *worker,
		       double ms, clk_ms now)
{
	struct fleet_speed *speed = &worker->speed;
	double load = worker->inflight + MAX(worker->peer_requests, 0);

	if (!(ms >= 0))
		return;
	fleet_speed_fade(worker, now);
	speed->weight += 1;
	ms /= 1 + load * fleet->params.running_share;
	speed->sum += log(MIN(ms, INTERVAL_MAX_MS) + 1);
}

void fleet_on_peer_speed_weight(struct fleet *fleet, uint32_t key,
				double weight)
{
	struct fleet_worker *worker =
		g_hash_table_lookup(fleet->by_key, GUINT_TO_POINTER(key));

	if (worker)
		worker->speed.peer_weight = MAX(weight, 0);
}

void fleet_on_peer_speed_sum(struct fleet *fleet, uint32_t key, double sum)
{
	struct fleet_worker *worker =
		g_hash_table_lookup(fleet->by_key, GUINT_TO_POINTER(key));

	if (worker)
		worker->speed.peer_sum = MAX(sum, 0);
}

void fleet_on_pace(struct fleet_worker *worker, double pace, clk_ms now)
{
	worker->pace = CLAMP(pace, 1 / PACE_FACTOR_MAX, PACE_FACTOR_MAX);
	worker->paced_at = now;
}

double fleet_pace(const struct fleet_worker *worker, clk_ms now)
{
	clk_ms age = MAX(now - worker->paced_at, 0);

	if (!worker->paced_at || age > PACE_AGE_MS)
		return 1;
	return 1 + (worker->pace - 1) * exp2(-(double)age / PACE_HALF_LIFE_MS);
}

double fleet_speed_ratio(const struct fleet_worker *worker)
{
	return worker->speed.ratio > 0 ? worker->speed.ratio : 1;
}

static int compare_doubles(gconstpointer a, gconstpointer b)
{
	double difference = *(const double *)a - *(const double *)b;

	return (difference > 0) - (difference < 0);
}

static double known_weight(const struct fleet_worker *worker)
{
	return worker->speed.weight + worker->speed.peer_weight;
}

static double known_mean(const struct fleet_worker *worker)
{
	return (worker->speed.sum + worker->speed.peer_sum) /
	       known_weight(worker);
}

/* Compares the workers of a pool; means is empty. */
static void pool_update(const GPtrArray *workers, GArray *means, clk_ms now)
{
	double middle;

	for (guint i = 0; i < workers->len; i++) {
		struct fleet_worker *worker = g_ptr_array_index(workers, i);
		double mean;

		fleet_speed_fade(worker, now);
		if (known_weight(worker) < WEIGHT_MIN)
			continue;
		mean = known_mean(worker);
		g_array_append_val(means, mean);
	}
	if (means->len < COMPARED_MIN)
		return;
	g_array_sort(means, compare_doubles);
	/* Of most, or of the fast ones where a third is slow. */
	middle = g_array_index(means, double, means->len / 3);
	for (guint i = 0; i < workers->len; i++) {
		struct fleet_worker *worker = g_ptr_array_index(workers, i);
		double weight = known_weight(worker);
		double difference;

		/* What was known of it last is still the best guess. */
		if (weight < WEIGHT_MIN)
			continue;
		difference = (known_mean(worker) - middle) * weight /
			     (weight + WEIGHT_ASSUMED);
		worker->speed.ratio =
			fabs(difference) < (worker->speed.ratio != 1 &&
							    worker->speed.ratio
						    ? DIFFERENT_UNTIL
						    : DIFFERENT_FROM)
				? 1
				: CLAMP(exp(difference), 1 / RATIO_MAX,
					RATIO_MAX);
	}
}

void fleet_speeds_update(struct fleet *fleet, clk_ms now)
{
	GArray *means = g_array_new(FALSE, FALSE, sizeof(double));
	GHashTableIter iter;
	gpointer workers;

	g_hash_table_iter_init(&iter, fleet->pools);
	while (g_hash_table_iter_next(&iter, NULL, &workers)) {
		g_array_set_size(means, 0);
		pool_update(workers, means, now);
	}
	g_array_unref(means);
}

double fleet_speed_mix(const struct fleet *fleet, const char *pool)
{
	const GPtrArray *workers = g_hash_table_lookup(fleet->pools, pool);
	double rate = 0;

	if (!workers || workers->len == 0)
		return 1;
	for (guint i = 0; i < workers->len; i++)
		rate += 1 / fleet_speed_ratio(g_ptr_array_index(workers, i));
	return workers->len / rate;
}

bool fleet_on_first_event(struct fleet *fleet,
			  const struct fleet_worker *worker,
			  const struct fleet_request *request, clk_ms took,
			  clk_ms now)
{
	struct speed_sample sample = {
		.took = (double)took / fleet_speed_ratio(worker),
		.uncached = request->prefill_tokens,
		.cached = request->prompt_tokens - request->prefill_tokens,
		.at = now,
	};

	if (fabs(fleet_pace(worker, now) - 1) > PACE_USUAL)
		return false;
	return speed_add(fleet_speed(fleet, request->pool), &sample);
}
