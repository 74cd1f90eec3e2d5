/* Routing by expected cost, and the simple policies: random, round robin, least
 * outstanding. */
#include "route.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define PREFIX_CANDIDATES 2    /* upstreams preferred for a prefix */
#define PREFIX_TTL_MS 120000   /* how long a sent prefix counts as cached */
#define PREFIX_HINTS_MAX 4096  /* per upstream */
#define DECAY_WEIGHT 0.1       /* of a new sample in a decayed mean */
#define FAILURE_BACKOFF_MS 500 /* before a failed upstream is tried again */
#define LOAD_STALE_MS 10000    /* age from which a load report is ignored */
/* Share of the slots that may be used beyond the free ones, so that a host that
 * joins gets a part of a full pool. */
#define OVERCOMMIT_SHARE 0.05
/* Error of the known load, relative to the square root of the slots. */
#define LOAD_ERROR_SHARE 0.35
#define DEFAULT_SLOTS 16
#define DEFAULT_SERVICE_MS 100.0

static void upstream_free(void *ptr)
{
	struct upstream *upstream = ptr;

	g_free(upstream->name);
	g_free(upstream->address);
	g_free(upstream->pool);
	g_free(upstream->data_centre);
	g_hash_table_destroy(upstream->prefixes);
	g_free(upstream);
}

static void pool_free(void *ptr)
{
	g_ptr_array_free(ptr, TRUE);
}

struct router *router_create(uint32_t (*random)(void *ctx, uint32_t n),
			     void *ctx)
{
	struct router *router = g_new0(struct router, 1);

	router->upstreams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  upstream_free);
	router->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      pool_free);
	router->pool_weights =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	router->hosts = 1;
	router->random = random;
	router->ctx = ctx;
	router->weights = (struct route_weights){
		.policy = ROUTE_COST,
		.wait = 1,
		.prefill = 1,
		.distance_ms = 2,
		.reclaim = 0.01,
		.prefill_us = 50,
		.samples = 2,
	};
	return router;
}

void router_free(struct router *router)
{
	g_hash_table_destroy(router->pool_weights);
	g_hash_table_destroy(router->pools);
	g_hash_table_destroy(router->upstreams);
	g_free(router);
}

struct upstream *router_get(struct router *router, const char *name)
{
	struct upstream *upstream =
		g_hash_table_lookup(router->upstreams, name);

	if (upstream)
		return upstream;
	upstream = g_new0(struct upstream, 1);
	upstream->name = g_strdup(name);
	upstream->address = g_strdup("");
	upstream->pool = g_strdup("");
	upstream->data_centre = g_strdup("");
	upstream->in_subset = true;
	upstream->load.slots = DEFAULT_SLOTS;
	upstream->service_ms = DEFAULT_SERVICE_MS;
	upstream->prefixes = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						   g_free, g_free);
	g_hash_table_insert(router->upstreams, upstream->name, upstream);
	return upstream;
}

static GPtrArray *pool_of(const struct router *router, const char *pool)
{
	return g_hash_table_lookup(router->pools, pool);
}

void router_set_pool(struct router *router, struct upstream *upstream,
		     const char *pool)
{
	GPtrArray *list = pool_of(router, upstream->pool);

	if (!strcmp(upstream->pool, pool))
		return;
	if (list)
		g_ptr_array_remove(list, upstream);
	g_free(upstream->pool);
	upstream->pool = g_strdup(pool);
	list = pool_of(router, pool);
	if (!list) {
		list = g_ptr_array_new();
		g_hash_table_insert(router->pools, g_strdup(pool), list);
	}
	g_ptr_array_add(list, upstream);
}

void router_set_weights(struct router *router, const char *pool,
			const struct route_weights *weights)
{
	g_hash_table_replace(router->pool_weights, g_strdup(pool),
			     g_memdup2(weights, sizeof(*weights)));
}

/* Returns the weights of a pool, or the default ones. */
static const struct route_weights *weights_of(const struct router *router,
					      const char *pool)
{
	const struct route_weights *own =
		g_hash_table_lookup(router->pool_weights, pool);

	return own ? own : &router->weights;
}

/* An upstream and its rendezvous weight for this host. */
struct ranked {
	struct upstream *upstream;
	uint64_t weight;
};

static gint ranked_cmp(gconstpointer a, gconstpointer b)
{
	uint64_t left = ((const struct ranked *)a)->weight;
	uint64_t right = ((const struct ranked *)b)->weight;

	return left > right ? -1 : left < right;
}

/* Selects the upstreams that this host uses in one pool. */
static void pool_pick_subset(GPtrArray *pool, uint64_t seed,
			     guint max_upstreams)
{
	GArray *ranks = g_array_new(FALSE, FALSE, sizeof(struct ranked));
	guint used = 0;

	for (guint i = 0; i < pool->len; i++) {
		struct upstream *upstream = g_ptr_array_index(pool, i);
		struct ranked ranked = {
			.upstream = upstream,
			.weight = XXH64(upstream->name, strlen(upstream->name),
					seed),
		};

		g_array_append_val(ranks, ranked);
	}
	g_array_sort(ranks, ranked_cmp);
	for (guint i = 0; i < ranks->len; i++) {
		struct upstream *upstream =
			g_array_index(ranks, struct ranked, i).upstream;

		upstream->in_subset = upstream->state != UPSTREAM_GONE &&
				      used < max_upstreams;
		used += upstream->in_subset;
	}
	g_array_free(ranks, TRUE);
}

void router_pick_subset(struct router *router, const char *host,
			guint max_upstreams)
{
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, router->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		pool_pick_subset(pool, XXH64(host, strlen(host), 0),
				 max_upstreams);
}

bool upstream_accepts_work(const struct upstream *upstream)
{
	return upstream->in_subset && upstream->state == UPSTREAM_LIVE &&
	       !upstream->leaving_notice;
}

/* Estimates the calls that wait or run at an upstream. Own calls are known;
 * those of other hosts are known from a lagging report. Each other host is
 * assumed to have sent as many calls since the report as this one, so that the
 * hosts do not all choose the same upstream. */
static double outstanding(const struct router *router,
			  const struct upstream *upstream, clk_ms now)
{
	bool fresh = upstream->load.received &&
		     now - upstream->load.received < LOAD_STALE_MS;

	if (!fresh)
		return upstream->inflight * router->hosts;
	return upstream->inflight + upstream->other_calls +
	       MAX(upstream->net_since_load, 0) * (router->hosts - 1);
}

static int slots_of(const struct upstream *upstream)
{
	return MAX(upstream->load.slots, 1);
}

/* Returns whether a prefix was sent to an upstream recently. */
static bool has_prefix(const struct upstream *upstream, uint64_t prefix,
		       clk_ms now)
{
	const clk_ms *sent = g_hash_table_lookup(upstream->prefixes, &prefix);

	return prefix && sent && now - *sent < PREFIX_TTL_MS;
}

/* Returns the expected wait at an upstream in ms. Knowledge of the calls of
 * other hosts lags, so an upstream that seems nearly full may be full already.
 * Therefore the wait starts to grow below that point, smoothly (softplus). */
static double expected_wait(const struct router *router,
			    const struct upstream *upstream, clk_ms now)
{
	double slots = slots_of(upstream);
	double error = sqrt(slots) * LOAD_ERROR_SHARE;
	double excess = outstanding(router, upstream, now) + 1 - slots;
	double waiting = excess > 0
				 ? excess + error * log1p(exp(-excess / error))
				 : error * log1p(exp(excess / error));

	return waiting / slots * upstream->service_ms;
}

/* Returns the expected cost of a request at an upstream, in weighted ms. */
static double cost_of(const struct router *router,
		      const struct upstream *upstream,
		      const struct route_request *request, clk_ms now)
{
	const struct route_weights *weights = weights_of(router, request->pool);
	double wait = expected_wait(router, upstream, now);
	double prefill = 0;
	double cost;

	if (!has_prefix(upstream, request->prefix, now))
		prefill = request->prompt_tokens * weights->prefill_us / 1000;
	cost = weights->wait * wait + weights->prefill * prefill;
	if (strcmp(upstream->data_centre, request->data_centre) != 0)
		cost += weights->distance_ms;
	if (upstream->reclaimable)
		cost += weights->reclaim *
			(request->prompt_tokens + request->remaining_tokens);
	return cost * (1 + 4 * upstream->failure_rate);
}

/* Returns whether an upstream may be selected for a request. */
static bool is_candidate(const struct upstream *upstream,
			 const struct route_request *request, clk_ms now)
{
	if (!upstream_accepts_work(upstream) || now < upstream->retry_after)
		return false;
	return !request->exclude ||
	       strcmp(upstream->name, request->exclude) != 0;
}

/* Returns the upstreams that may be selected; the caller frees the array. */
static GPtrArray *candidates_of(const struct router *router,
				const struct route_request *request, clk_ms now)
{
	GPtrArray *pool = pool_of(router, request->pool);
	GPtrArray *found = g_ptr_array_new();

	for (guint i = 0; pool && i < pool->len; i++) {
		struct upstream *upstream = g_ptr_array_index(pool, i);

		if (is_candidate(upstream, request, now))
			g_ptr_array_add(found, upstream);
	}
	return found;
}

/* Replaces *best by the candidate if that is cheaper. */
static void keep_cheaper(const struct router *router,
			 const struct route_request *request, clk_ms now,
			 struct upstream **best, double *best_cost,
			 struct upstream *candidate)
{
	double cost = cost_of(router, candidate, request, now);

	if (*best && *best_cost <= cost)
		return;
	*best = candidate;
	*best_cost = cost;
}

/* Returns the upstream that ranks highest for a prefix by rendezvous hash,
 * other than exclude. */
static struct upstream *preferred_of(GPtrArray *list, uint64_t prefix,
				     const struct upstream *exclude)
{
	struct upstream *best = NULL;
	uint64_t best_weight = 0;

	for (guint i = 0; i < list->len; i++) {
		struct upstream *upstream = g_ptr_array_index(list, i);
		uint64_t weight =
			XXH64(upstream->name, strlen(upstream->name), prefix);

		if (upstream == exclude || (best && weight <= best_weight))
			continue;
		best = upstream;
		best_weight = weight;
	}
	return best;
}

/* Returns the cheapest of the upstreams preferred for the prefix and some
 * random ones. */
static struct upstream *choose_cost(const struct router *router,
				    GPtrArray *list,
				    const struct route_request *request,
				    clk_ms now)
{
	struct upstream *best = NULL;
	struct upstream *preferred = NULL;
	double cost = 0;

	for (int i = 0; request->prefix && i < PREFIX_CANDIDATES; i++) {
		preferred = preferred_of(list, request->prefix, preferred);
		if (preferred)
			keep_cheaper(router, request, now, &best, &cost,
				     preferred);
	}
	for (int i = 0; i < weights_of(router, request->pool)->samples; i++) {
		guint idx = router->random(router->ctx, list->len);

		keep_cheaper(router, request, now, &best, &cost,
			     g_ptr_array_index(list, idx));
	}
	return best;
}

static struct upstream *choose_least_outstanding(GPtrArray *list)
{
	struct upstream *best = NULL;

	for (guint i = 0; i < list->len; i++) {
		struct upstream *upstream = g_ptr_array_index(list, i);

		if (!best || upstream->inflight < best->inflight)
			best = upstream;
	}
	return best;
}

struct upstream *router_choose(struct router *router,
			       const struct route_request *request, clk_ms now)
{
	GPtrArray *list = candidates_of(router, request, now);
	struct upstream *best = NULL;

	if (list->len > 0) {
		switch (weights_of(router, request->pool)->policy) {
		case ROUTE_RANDOM:
			best = g_ptr_array_index(
				list, router->random(router->ctx, list->len));
			break;
		case ROUTE_ROUND_ROBIN:
			best = g_ptr_array_index(
				list, router->round_robin_next++ % list->len);
			break;
		case ROUTE_LEAST_OUTSTANDING:
			best = choose_least_outstanding(list);
			break;
		default:
			best = choose_cost(router, list, request, now);
			break;
		}
	}
	g_ptr_array_free(list, TRUE);
	return best;
}

/* Returns how many own calls may run at an upstream. Without a recent load
 * report this is an even share of its slots. */
static double max_inflight_at(const struct router *router,
			      const struct upstream *upstream, clk_ms now)
{
	double fair_share = slots_of(upstream) / router->hosts;

	if (!upstream->load.received ||
	    now - upstream->load.received >= LOAD_STALE_MS)
		return fair_share;
	return upstream->max_inflight;
}

int router_max_inflight(const struct router *router, const char *pool,
			clk_ms now)
{
	GPtrArray *list = pool_of(router, pool);
	double share = 0;

	for (guint i = 0; list && i < list->len; i++) {
		const struct upstream *upstream = g_ptr_array_index(list, i);

		if (upstream_accepts_work(upstream) &&
		    now >= upstream->retry_after)
			share += max_inflight_at(router, upstream, now);
	}
	/* Fractional shares of many upstreams add up to at least one call. */
	return share > 0 ? MAX((int)share, 1) : 0;
}

int router_capacity(const struct router *router, const char *pool, clk_ms now)
{
	GPtrArray *list = pool_of(router, pool);
	int inflight = 0;

	for (guint i = 0; list && i < list->len; i++)
		inflight += ((struct upstream *)g_ptr_array_index(list, i))
				    ->inflight;
	return MAX(router_max_inflight(router, pool, now) - inflight, 0);
}

int router_slots(const struct router *router, const char *pool)
{
	GPtrArray *list = pool_of(router, pool);
	int slots = 0;

	for (guint i = 0; list && i < list->len; i++) {
		const struct upstream *upstream = g_ptr_array_index(list, i);

		if (upstream_accepts_work(upstream))
			slots += slots_of(upstream);
	}
	return slots;
}

double router_service_ms(const struct router *router, const char *pool)
{
	GPtrArray *list = pool_of(router, pool);
	double sum = 0;

	for (guint i = 0; list && i < list->len; i++)
		sum += ((struct upstream *)g_ptr_array_index(list, i))
			       ->service_ms;
	return list && list->len ? sum / list->len : DEFAULT_SERVICE_MS;
}

/* Records that a prefix was sent to an upstream. */
static void prefix_record(struct upstream *upstream, uint64_t prefix,
			  clk_ms now)
{
	uint64_t *key;
	clk_ms *sent;

	if (!prefix)
		return;
	if (g_hash_table_size(upstream->prefixes) >= PREFIX_HINTS_MAX)
		g_hash_table_remove_all(upstream->prefixes);
	key = g_new(uint64_t, 1);
	sent = g_new(clk_ms, 1);
	*key = prefix;
	*sent = now;
	g_hash_table_replace(upstream->prefixes, key, sent);
}

void router_begin(struct router *router, struct upstream *upstream,
		  const struct route_request *request, clk_ms now)
{
	upstream->inflight++;
	upstream->net_since_load++;
	if (request->prefix && has_prefix(upstream, request->prefix, now))
		router->prefix_hits++;
	prefix_record(upstream, request->prefix, now);
}

void router_end(struct upstream *upstream, bool failed, clk_ms duration,
		clk_ms now)
{
	upstream->inflight--;
	upstream->net_since_load--;
	upstream->failure_rate +=
		DECAY_WEIGHT * ((failed ? 1 : 0) - upstream->failure_rate);
	if (failed) {
		upstream->retry_after = now + FAILURE_BACKOFF_MS;
		return;
	}
	upstream->service_ms +=
		DECAY_WEIGHT * ((double)duration - upstream->service_ms);
}

void router_on_load(struct router *router, struct upstream *upstream,
		    const struct upstream_load *load)
{
	double used = load->running + load->queued;
	double free = load->slots * (1 + OVERCOMMIT_SHARE) - used;
	double own = upstream->inflight;

	upstream->load = *load;
	upstream->net_since_load = 0;
	upstream->other_calls = (int)MAX(used - own, 0);
	if (free >= 0)
		upstream->max_inflight = own + free / router->hosts;
	else
		upstream->max_inflight = own + free * own / MAX(used, own);
}
