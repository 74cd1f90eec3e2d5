/* Workers and which one gets a request. */
#include "fleet.h"

#include <math.h>
#include <string.h>

#include "aggregate.h"

#define FAILURE_AGE 0.2	       /* weight of the newest attempt */
#define FAILURE_MS 2000.0      /* cost of a certain failure */
#define FAILURE_HALF_MS 3000.0 /* in which it counts half, without attempts */
#define FAILURE_FLOOR 0.25     /* failures that callers' own errors explain */
#define AVOID_MS 250	       /* after a failure; doubled for each in a row */
#define AVOID_DOUBLINGS 5
#define NEAR_MS 2.0	/* costs this close are equal */
#define NEAR_SHARE 0.05 /* as are those that differ by this part */
#define REPORT_NEW_MS                                                          \
	250 /* a report of a worker goes before what hosts tell                \
	     */
#define SERVICE_WAIT_MS 60.0 /* for a busy place of a plain service */
#define NEAR_MAX 192	     /* workers of a pool that a host is told of */
#define PARTS_KEEP 4096	     /* parts remembered of one worker */

static gpointer part_key(uint64_t id)
{
	return GSIZE_TO_POINTER((gsize)id);
}

struct fleet *fleet_create(const struct fleet *options)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	*fleet = *options;
	fleet->workers = g_hash_table_new(g_str_hash, g_str_equal);
	fleet->by_key = g_hash_table_new(NULL, NULL);
	fleet->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return fleet;
}

void fleet_entry_clear(struct fleet_entry *entry)
{
	g_free(entry->id);
	g_free(entry->pool);
	g_free(entry->address);
	g_free(entry->data_centre);
	g_free(entry->version);
	*entry = (struct fleet_entry){ 0 };
}

struct fleet_worker *fleet_worker_ref(struct fleet_worker *worker)
{
	worker->refs++;
	return worker;
}

void fleet_worker_unref(struct fleet_worker *worker)
{
	if (--worker->refs > 0)
		return;
	fleet_entry_clear(&worker->entry);
	g_hash_table_destroy(worker->cached_parts);
	g_free(worker);
}

struct fleet_worker *fleet_find(const struct fleet *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->workers, id);
}

/* The workers of a pool; NULL if there were never any. */
static GPtrArray *pool_of(const struct fleet *fleet, const char *pool)
{
	return g_hash_table_lookup(fleet->pools, pool);
}

static void pool_add(struct fleet *fleet, struct fleet_worker *worker)
{
	GPtrArray *pool = pool_of(fleet, worker->entry.pool);

	if (!pool) {
		pool = g_ptr_array_new();
		g_hash_table_insert(fleet->pools, g_strdup(worker->entry.pool),
				    pool);
	}
	g_ptr_array_add(pool, worker);
}

void fleet_remove(struct fleet *fleet, const char *id)
{
	struct fleet_worker *worker = fleet_find(fleet, id);

	if (!worker)
		return;
	g_hash_table_remove(fleet->by_key, GUINT_TO_POINTER(worker->key));
	g_hash_table_remove(fleet->workers, id);
	g_ptr_array_remove_fast(pool_of(fleet, worker->entry.pool), worker);
	worker->removed = true;
	if (fleet->on_removed)
		fleet->on_removed(fleet->ctx, worker);
	fleet_worker_unref(worker);
}

/* Whether an entry is of another process than the one known. */
static bool is_reborn(const struct fleet_worker *worker,
		      const struct fleet_entry *entry)
{
	return strcmp(worker->entry.address, entry->address) != 0 ||
	       strcmp(worker->entry.pool, entry->pool) != 0 ||
	       (worker->entry.started_at && entry->started_at &&
		worker->entry.started_at != entry->started_at);
}

struct fleet_worker *fleet_put(struct fleet *fleet, struct fleet_entry *entry,
			       int64_t revision)
{
	struct fleet_worker *worker = fleet_find(fleet, entry->id);

	if (worker && is_reborn(worker, entry)) {
		fleet_remove(fleet, entry->id);
		worker = NULL;
	}
	if (worker) {
		struct fleet_entry old = worker->entry;

		/* The table's key is the old entry's text. */
		g_hash_table_remove(fleet->workers, old.id);
		worker->entry = *entry;
		g_hash_table_insert(fleet->workers, worker->entry.id, worker);
		fleet_entry_clear(&old);
	} else {
		worker = g_new0(struct fleet_worker, 1);
		worker->refs = 1;
		worker->entry = *entry;
		worker->cached_parts = g_hash_table_new(NULL, NULL);
		g_hash_table_insert(fleet->workers, worker->entry.id, worker);
		worker->key = aggregate_key(worker->entry.id);
		g_hash_table_insert(fleet->by_key,
				    GUINT_TO_POINTER(worker->key), worker);
		pool_add(fleet, worker);
		if (fleet->on_added)
			fleet->on_added(fleet->ctx, worker);
	}
	worker->revision = revision;
	worker->removal_due_at = 0;
	*entry = (struct fleet_entry){ 0 };
	return worker;
}

bool fleet_takes_work(const struct fleet_worker *worker)
{
	return !worker->entry.leaving && !worker->removed &&
	       !worker->removal_due_at;
}

/* Which workers a choice is made among, in the order of preference. */
enum group {
	GROUP_SOUND,
	GROUP_AVOIDED, /* they have failed lately */
	GROUP_DOUBTED, /* their entries are missing after an outage */
	GROUP_COUNT,
};

/* The group of a worker; GROUP_COUNT: it is not chosen at all. */
static enum group group_of(const struct fleet_worker *worker, clk_ms now)
{
	if (worker->removal_due_at && !worker->entry.leaving &&
	    !worker->removed)
		return GROUP_DOUBTED;
	if (!fleet_takes_work(worker))
		return GROUP_COUNT;
	return clk_passed(worker->health.avoid_until, now) ? GROUP_SOUND
							   : GROUP_AVOIDED;
}

bool fleet_has_other(const struct fleet *fleet, const char *pool,
		     const struct fleet_worker *not_this)
{
	const GPtrArray *workers = pool_of(fleet, pool);

	for (guint i = 0; workers && i < workers->len; i++) {
		const struct fleet_worker *worker =
			g_ptr_array_index(workers, i);

		if (worker != not_this && fleet_takes_work(worker))
			return true;
	}
	return false;
}

unsigned fleet_count(const struct fleet *fleet, const char *pool)
{
	const GPtrArray *workers = pool_of(fleet, pool);
	unsigned count = 0;

	for (guint i = 0; workers && i < workers->len; i++)
		count += fleet_takes_work(g_ptr_array_index(workers, i));
	return count;
}

unsigned fleet_count_on_demand(const struct fleet *fleet, const char *pool)
{
	const GPtrArray *workers = pool_of(fleet, pool);
	unsigned count = 0;

	for (guint i = 0; workers && i < workers->len; i++) {
		const struct fleet_worker *worker =
			g_ptr_array_index(workers, i);

		count += fleet_takes_work(worker) && !worker->entry.spot;
	}
	return count;
}

unsigned fleet_count_in_dc(const struct fleet *fleet, const char *pool,
			   const char *data_centre, bool spot)
{
	const GPtrArray *workers = pool_of(fleet, pool);
	unsigned count = 0;

	for (guint i = 0; workers && i < workers->len; i++) {
		const struct fleet_worker *worker =
			g_ptr_array_index(workers, i);

		count += fleet_takes_work(worker) &&
			 worker->entry.spot == spot &&
			 !strcmp(worker->entry.data_centre, data_centre);
	}
	return count;
}

/* Tokens of a prompt that a worker is expected to have cached: the parts
 * from the start that were read there not long ago. */
static int cached_tokens(const struct fleet *fleet,
			 const struct fleet_worker *worker,
			 const struct fleet_request *ask, clk_ms now)
{
	int tokens = 0;

	for (size_t i = 0; i < ask->part_count; i++) {
		gpointer at = g_hash_table_lookup(worker->cached_parts,
						  part_key(ask->parts[i].id));

		if (!at || now - (clk_ms)GPOINTER_TO_SIZE(at) >
				   fleet->params.cache_ttl)
			break;
		tokens += ask->parts[i].tokens;
	}
	return MIN(tokens, ask->prompt_tokens);
}

/* A number that ranks workers for a part in the same way on every host. */
static uint32_t rank_of(const struct fleet_worker *worker, uint64_t part)
{
	uint64_t hash = worker->key * 0x9e3779b97f4a7c15u;

	hash ^= part * 0xc2b2ae3d27d4eb4fu;
	hash ^= hash >> 29;
	hash *= 0xbf58476d1ce4e5b9u;
	return (uint32_t)(hash >> 32);
}

bool fleet_in_subset(const struct fleet *fleet,
		     const struct fleet_worker *worker, uint32_t host_key)
{
	guint count = pool_of(fleet, worker->entry.pool)->len;

	return count <= NEAR_MAX ||
	       rank_of(worker, host_key) <
		       (uint32_t)((double)UINT32_MAX * NEAR_MAX / count);
}

/* The part by which requests of one session are kept together: the last one
 * that they share. */
static uint64_t session_of(const struct fleet_request *ask)
{
	if (ask->part_count < 2)
		return ask->part_count ? ask->parts[0].id : 0;
	return ask->parts[ask->part_count - 2].id;
}

/* What the other hosts have at a worker: by its own report if that is new,
 * else by what they tell. */
static double others_now(const struct fleet_worker *worker, clk_ms now)
{
	if (worker->reported_at && now - worker->reported_at < REPORT_NEW_MS)
		return worker->reported_others;
	return worker->peer_requests;
}

/* The share of failed attempts; one that gets none is tried again in time. */
static double failure_now(const struct fleet_health *health, clk_ms now)
{
	return health->failure_rate *
	       exp2(-(double)(now - health->updated_at) / FAILURE_HALF_MS);
}

/* What a worker's record of failures adds to its cost. */
static double health_cost(const struct fleet_worker *worker, clk_ms now)
{
	return MAX(failure_now(&worker->health, now) - FAILURE_FLOOR, 0) *
	       FAILURE_MS;
}

/* Tokens of the parts that a prompt shares with others. */
static int shared_tokens(const struct fleet_request *ask)
{
	int tokens = 0;

	for (size_t i = 0; i + 1 < ask->part_count; i++)
		tokens += ask->parts[i].tokens;
	return MIN(tokens, ask->prompt_tokens);
}

/* Expected ms to the first token. Other hosts send a session's requests to
 * its home too: its parts count as cached there. */
static double cost_of(const struct fleet *fleet,
		      const struct fleet_worker *worker,
		      const struct fleet_worker *home,
		      const struct fleet_request *ask, clk_ms now, int *cached)
{
	const struct fleet_params *speed = &fleet->params;
	double load = worker->inflight + others_now(worker, now);
	double cost = 0;

	*cached = 0;
	if (strcmp(worker->entry.data_centre, ask->data_centre) != 0)
		cost += speed->cross_dc_ms;
	if (!ask->engine) {
		int slots = MAX(worker->entry.slots, 1);

		return cost + SERVICE_WAIT_MS * load / slots;
	}
	*cached = cached_tokens(fleet, worker, ask, now);
	if (worker == home)
		*cached = MAX(*cached, shared_tokens(ask));
	cost += (worker->prompt_tokens + worker->peer_prompt_tokens +
		 ask->prompt_tokens - *cached) *
		speed->prefill_ms;
	cost += load * speed->per_running_ms;
	if (worker->entry.slots > 0 && load >= worker->entry.slots)
		cost += (load - worker->entry.slots + 1) * SERVICE_WAIT_MS;
	return cost;
}

/* The worker where a session's requests meet, among those that take work. */
static const struct fleet_worker *home_of(const GPtrArray *workers,
					  const struct fleet_request *ask)
{
	uint64_t session = session_of(ask);
	const struct fleet_worker *home = NULL;
	uint32_t best = 0;

	for (guint i = 0; session && i < workers->len; i++) {
		const struct fleet_worker *worker =
			g_ptr_array_index(workers, i);
		uint32_t rank = rank_of(worker, session);

		if (fleet_takes_work(worker) && (!home || rank > best)) {
			home = worker;
			best = rank;
		}
	}
	return home;
}

static guint divisor_of(guint a, guint b)
{
	while (b) {
		guint rest = a % b;

		a = b;
		b = rest;
	}
	return a;
}

/* A step through so many places that visits each of them. */
static guint step_of(struct fleet *fleet, guint len)
{
	guint step = 1 + fleet->random(fleet->ctx, len - 1);

	while (divisor_of(step, len) != 1)
		step = step % len + 1;
	return step;
}

/* A choice that is being made. */
struct choosing {
	struct fleet *fleet;
	const struct fleet_request *ask;
	const struct fleet_worker *home;
	clk_ms now;
	unsigned equal; /* workers that are as good as the best */
	struct fleet_choice best;
};

/* Looks at one worker. */
static void consider(struct choosing *choosing, struct fleet_worker *worker)
{
	struct fleet_choice *best = &choosing->best;
	int cached;
	double expected = cost_of(choosing->fleet, worker, choosing->home,
				  choosing->ask, choosing->now, &cached);
	double cost = expected + health_cost(worker, choosing->now);
	double near = NEAR_MS + NEAR_SHARE * best->cost;

	best->candidates++;
	if (best->worker && cost > best->cost + near)
		return;
	if (best->worker && cost > best->cost - near) {
		/* One of the near-equal ones is taken at random. */
		if (choosing->fleet->random(choosing->fleet->ctx,
					    ++choosing->equal) != 0)
			return;
	} else {
		choosing->equal = 1;
	}
	best->worker = worker;
	best->cost = cost;
	best->expected_ms = expected;
	best->cached_tokens = cached;
}

/* Chooses among the workers of one group: all, or the home and some that are
 * drawn, so that hosts that know the same don't all choose the same. near:
 * only those that are near are drawn. */
static struct fleet_choice choose_among(struct fleet *fleet,
					const GPtrArray *workers,
					const struct fleet_request *ask,
					enum group group, bool near, clk_ms now)
{
	struct choosing choosing = {
		.fleet = fleet,
		.ask = ask,
		.home = ask->engine ? home_of(workers, ask) : NULL,
		.now = now,
	};
	unsigned samples = fleet->params.samples;
	guint from = fleet->random(fleet->ctx, workers->len);
	/* Any step that has no divisor in common with the length visits all. */
	guint step =
		samples && workers->len > 2 ? step_of(fleet, workers->len) : 1;
	unsigned drawn = 0;

	for (guint i = 0; i < workers->len; i++) {
		struct fleet_worker *worker = g_ptr_array_index(
			workers, (from + i * step) % workers->len);

		if (worker == ask->exclude || group_of(worker, now) != group)
			continue;
		if (near && worker != choosing.home &&
		    !fleet_in_subset(fleet, worker, fleet->params.host_key))
			continue;
		if (samples && worker != choosing.home && drawn++ >= samples) {
			if (choosing.home == ask->exclude || !choosing.home)
				break;
			continue;
		}
		consider(&choosing, worker);
	}
	return choosing.best;
}

struct fleet_choice fleet_choose(struct fleet *fleet,
				 const struct fleet_request *ask, clk_ms now)
{
	const GPtrArray *workers = pool_of(fleet, ask->pool);
	struct fleet_choice choice = { .worker = NULL };

	if (!workers)
		return choice;
	for (int group = 0; group < GROUP_COUNT && !choice.worker; group++) {
		choice = choose_among(fleet, workers, ask, (enum group)group,
				      fleet->params.samples > 0, now);
		if (!choice.worker && fleet->params.samples > 0)
			choice = choose_among(fleet, workers, ask,
					      (enum group)group, false, now);
	}
	return choice;
}

void fleet_begin(struct fleet_worker *worker, const struct fleet_request *ask,
		 clk_ms now)
{
	worker->inflight++;
	if (!ask->engine)
		return;
	worker->prompt_tokens += ask->prefill_tokens;
	if (g_hash_table_size(worker->cached_parts) > PARTS_KEEP)
		g_hash_table_remove_all(worker->cached_parts);
	for (size_t i = 0; i < ask->part_count; i++)
		g_hash_table_insert(worker->cached_parts,
				    part_key(ask->parts[i].id),
				    GSIZE_TO_POINTER((gsize)now));
}

void fleet_first_token(struct fleet_worker *worker,
		       const struct fleet_request *ask)
{
	if (ask->engine)
		worker->prompt_tokens =
			MAX(worker->prompt_tokens - ask->prefill_tokens, 0);
}

void fleet_end(struct fleet_worker *worker, const struct fleet_request *ask,
	       bool had_first)
{
	worker->inflight--;
	if (!had_first)
		fleet_first_token(worker, ask);
}

void fleet_record_outcome(struct fleet_worker *worker,
			  enum fleet_outcome verdict, clk_ms now)
{
	struct fleet_health *health = &worker->health;
	double failed = verdict == FLEET_OK ? 0 : 1;

	health->failure_rate = failure_now(health, now);
	health->failure_rate += FAILURE_AGE * (failed - health->failure_rate);
	health->updated_at = now;
	if (verdict == FLEET_NO_RESPONSE) {
		health->avoid_until =
			now + (AVOID_MS << MIN(health->consecutive_failures,
					       AVOID_DOUBLINGS));
		health->consecutive_failures++;
	} else if (verdict == FLEET_OK) {
		health->consecutive_failures = 0;
		health->avoid_until = 0;
	}
}

void fleet_on_load(struct fleet_worker *worker, int running, int waiting,
		   clk_ms now)
{
	int all = running + waiting - (int)worker->inflight;

	worker->reported_others = MAX(all, 0);
	worker->reported_at = now;
}

void fleet_on_peer_requests(struct fleet *fleet, uint32_t key, double requests)
{
	struct fleet_worker *worker =
		g_hash_table_lookup(fleet->by_key, GUINT_TO_POINTER(key));

	if (worker)
		worker->peer_requests = (int)(requests + 0.5);
}

void fleet_on_peer_prompts(struct fleet *fleet, uint32_t key, double tokens)
{
	struct fleet_worker *worker =
		g_hash_table_lookup(fleet->by_key, GUINT_TO_POINTER(key));

	if (worker)
		worker->peer_prompt_tokens = MAX(tokens, 0);
}
