/* Routing by expected cost, and the plain policies it is compared with. */
#include "route.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define PREFERRED 2	      /* upstreams preferred for a prefix */
#define PREFIX_KEEP_MS 120000 /* a hint of a cached prefix */
#define PREFIX_HINTS_MAX 4096 /* per upstream */
#define AGE_WEIGHT 0.1	      /* of a new sample in an aged mean */
#define FAILURE_PAUSE_MS 500  /* before a failed upstream is tried again */
#define LOAD_STALE_MS 10000   /* a report that old counts no more */
#define PROBE_SHARE                                                            \
	0.05 /* of the places, sent above what is free: by it a                \
	      * host that comes new gets a part of a full pool */
#define DOUBT_SHARE                                                            \
	0.35 /* of the root of the places: error of what is known              \
	      */
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

/* The weights in force for a pool. */
static const struct route_weights *weights_of(const struct router *router,
					      const char *pool)
{
	const struct route_weights *own =
		g_hash_table_lookup(router->pool_weights, pool);

	return own ? own : &router->weights;
}

/* An upstream and its weight for this host. */
struct ranked {
	struct upstream *upstream;
	uint64_t weight;
};

static gint by_weight(gconstpointer a, gconstpointer b)
{
	uint64_t left = ((const struct ranked *)a)->weight;
	uint64_t right = ((const struct ranked *)b)->weight;

	return left > right ? -1 : left < right;
}

/* Chooses from one pool. */
static void pool_pick_subset(GPtrArray *pool, uint64_t seed, guint most)
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
	g_array_sort(ranks, by_weight);
	for (guint i = 0; i < ranks->len; i++) {
		struct upstream *upstream =
			g_array_index(ranks, struct ranked, i).upstream;

		upstream->in_subset =
			upstream->state != UPSTREAM_GONE && used < most;
		used += upstream->in_subset;
	}
	g_array_free(ranks, TRUE);
}

void router_pick_subset(struct router *router, const char *host, guint most)
{
	GHashTableIter iter;
	gpointer pool;

	g_hash_table_iter_init(&iter, router->pools);
	while (g_hash_table_iter_next(&iter, NULL, &pool))
		pool_pick_subset(pool, XXH64(host, strlen(host), 0), most);
}

bool upstream_takes_work(const struct upstream *upstream)
{
	return upstream->in_subset && upstream->state == UPSTREAM_LIVE &&
	       !upstream->leaving_notice;
}

/* Calls that wait or run there: own ones are known, what other hosts had is
 * known with lag, and what they have sent since is taken to be like what
 * this host has, so that not all of them run to the same upstream. */
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

/* Tells whether a prefix was sent there not long ago. */
static bool has_prefix(const struct upstream *upstream, uint64_t prefix,
		       clk_ms now)
{
	const clk_ms *when = g_hash_table_lookup(upstream->prefixes, &prefix);

	return prefix && when && now - *when < PREFIX_KEEP_MS;
}

/* The expected wait there, in ms. What is known of others is late, so that
 * an upstream that is nearly full may be full already: the wait grows
 * smoothly from below that point on. */
static double expected_wait(const struct router *router,
			    const struct upstream *upstream, clk_ms now)
{
	double slots = slots_of(upstream);
	double doubt = sqrt(slots) * DOUBT_SHARE;
	double over = outstanding(router, upstream, now) + 1 - slots;
	double ahead = over > 0 ? over + doubt * log1p(exp(-over / doubt))
				: doubt * log1p(exp(over / doubt));

	return ahead / slots * upstream->service_ms;
}

/* The expected cost of a request at an upstream, in weighted ms. */
static double cost_of(const struct router *router,
		      const struct upstream *upstream,
		      const struct route_request *ask, clk_ms now)
{
	const struct route_weights *weights = weights_of(router, ask->pool);
	double wait = expected_wait(router, upstream, now);
	double prefill = 0;
	double cost;

	if (!has_prefix(upstream, ask->prefix, now))
		prefill = ask->prompt_tokens * weights->prefill_us / 1000;
	cost = weights->wait * wait + weights->prefill * prefill;
	if (strcmp(upstream->data_centre, ask->data_centre) != 0)
		cost += weights->distance_ms;
	if (upstream->reclaimable)
		cost += weights->reclaim *
			(ask->prompt_tokens + ask->remaining_tokens);
	return cost * (1 + 4 * upstream->failure_rate);
}

/* Tells whether an upstream can be chosen for this. */
static bool is_candidate(const struct upstream *upstream,
			 const struct route_request *ask, clk_ms now)
{
	if (!upstream_takes_work(upstream) || now < upstream->retry_after)
		return false;
	return !ask->exclude || strcmp(upstream->name, ask->exclude) != 0;
}

/* Lists who can be chosen; the caller frees the array. */
static GPtrArray *candidates_of(const struct router *router,
				const struct route_request *ask, clk_ms now)
{
	GPtrArray *pool = pool_of(router, ask->pool);
	GPtrArray *found = g_ptr_array_new();

	for (guint i = 0; pool && i < pool->len; i++) {
		struct upstream *upstream = g_ptr_array_index(pool, i);

		if (is_candidate(upstream, ask, now))
			g_ptr_array_add(found, upstream);
	}
	return found;
}

/* Keeps the cheaper of two upstreams. */
static void keep_cheaper(const struct router *router,
			 const struct route_request *ask, clk_ms now,
			 struct upstream **best, double *best_cost,
			 struct upstream *other)
{
	double cost = cost_of(router, other, ask, now);

	if (*best && *best_cost <= cost)
		return;
	*best = other;
	*best_cost = cost;
}

/* Returns the n-th candidate for a prefix by rendezvous hash. */
static struct upstream *preferred_of(GPtrArray *list, uint64_t prefix,
				     const struct upstream *but)
{
	struct upstream *best = NULL;
	uint64_t best_weight = 0;

	for (guint i = 0; i < list->len; i++) {
		struct upstream *upstream = g_ptr_array_index(list, i);
		uint64_t weight =
			XXH64(upstream->name, strlen(upstream->name), prefix);

		if (upstream == but || (best && weight <= best_weight))
			continue;
		best = upstream;
		best_weight = weight;
	}
	return best;
}

/* The cheapest of some sampled ones and those preferred for the prefix. */
static struct upstream *choose_cost(const struct router *router,
				    GPtrArray *list,
				    const struct route_request *ask, clk_ms now)
{
	struct upstream *best = NULL;
	struct upstream *preferred = NULL;
	double cost = 0;

	for (int i = 0; ask->prefix && i < PREFERRED; i++) {
		preferred = preferred_of(list, ask->prefix, preferred);
		if (preferred)
			keep_cheaper(router, ask, now, &best, &cost, preferred);
	}
	for (int i = 0; i < weights_of(router, ask->pool)->samples; i++) {
		guint at = router->random(router->ctx, list->len);

		keep_cheaper(router, ask, now, &best, &cost,
			     g_ptr_array_index(list, at));
	}
	return best;
}

static struct upstream *choose_least(GPtrArray *list)
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
			       const struct route_request *ask, clk_ms now)
{
	GPtrArray *list = candidates_of(router, ask, now);
	struct upstream *best = NULL;

	if (list->len > 0) {
		switch (weights_of(router, ask->pool)->policy) {
		case ROUTE_RANDOM:
			best = g_ptr_array_index(
				list, router->random(router->ctx, list->len));
			break;
		case ROUTE_ROUND_ROBIN:
			best = g_ptr_array_index(
				list, router->round_robin_next++ % list->len);
			break;
		case ROUTE_LEAST_OUTSTANDING:
			best = choose_least(list);
			break;
		default:
			best = choose_cost(router, list, ask, now);
			break;
		}
	}
	g_ptr_array_free(list, TRUE);
	return best;
}

/* Own calls that may run at an upstream. */
static double allowed_at(const struct router *router,
			 const struct upstream *upstream, clk_ms now)
{
	double fair = slots_of(upstream) / router->hosts;

	if (!upstream->load.received ||
	    now - upstream->load.received >= LOAD_STALE_MS)
		return fair;
	return upstream->max_inflight;
}

int router_max_inflight(const struct router *router, const char *pool,
			clk_ms now)
{
	GPtrArray *list = pool_of(router, pool);
	double share = 0;

	for (guint i = 0; list && i < list->len; i++) {
		const struct upstream *upstream = g_ptr_array_index(list, i);

		if (upstream_takes_work(upstream) &&
		    now >= upstream->retry_after)
			share += allowed_at(router, upstream, now);
	}
	/* Small parts of many upstreams make up at least one whole call. */
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

		if (upstream_takes_work(upstream))
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

/* Remembers that a prefix was sent there. */
static void prefix_note(struct upstream *upstream, uint64_t prefix, clk_ms now)
{
	uint64_t *key;
	clk_ms *when;

	if (!prefix)
		return;
	if (g_hash_table_size(upstream->prefixes) >= PREFIX_HINTS_MAX)
		g_hash_table_remove_all(upstream->prefixes);
	key = g_new(uint64_t, 1);
	when = g_new(clk_ms, 1);
	*key = prefix;
	*when = now;
	g_hash_table_replace(upstream->prefixes, key, when);
}

void router_begin(struct router *router, struct upstream *upstream,
		  const struct route_request *ask, clk_ms now)
{
	upstream->inflight++;
	upstream->net_since_load++;
	if (ask->prefix && has_prefix(upstream, ask->prefix, now))
		router->prefix_hits++;
	prefix_note(upstream, ask->prefix, now);
}

void router_end(struct upstream *upstream, bool failed, clk_ms took, clk_ms now)
{
	upstream->inflight--;
	upstream->net_since_load--;
	upstream->failure_rate +=
		AGE_WEIGHT * ((failed ? 1 : 0) - upstream->failure_rate);
	if (failed) {
		upstream->retry_after = now + FAILURE_PAUSE_MS;
		return;
	}
	upstream->service_ms +=
		AGE_WEIGHT * ((double)took - upstream->service_ms);
}

void router_on_load(struct router *router, struct upstream *upstream,
		    const struct upstream_load *load)
{
	double used = load->running + load->queued;
	double free = load->slots * (1 + PROBE_SHARE) - used;
	double own = upstream->inflight;

	upstream->load = *load;
	upstream->net_since_load = 0;
	upstream->other_calls = (int)MAX(used - own, 0);
	if (free >= 0)
		upstream->max_inflight = own + free / router->hosts;
	else
		upstream->max_inflight = own + free * own / MAX(used, own);
}
