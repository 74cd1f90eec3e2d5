/* Selection of the worker that gets a request. */
#include "fleet.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "aggregate.h"

#define FAILURE_WEIGHT 0.2	    /* weight of the latest attempt */
#define FAILURE_COST_MS 2000.0	    /* cost at a failure rate of 1 */
#define FAILURE_HALF_LIFE_MS 3000.0 /* decay of the rate without attempts */
/* Subtracted from a failure rate, as callers' own errors explain that much. */
#define FAILURE_RATE_IGNORED 0.25
#define AVOID_MS 250 /* after a failure; doubled by each further one */
#define AVOID_DOUBLINGS 5
/* Costs count as equal if they differ by at most TIE_MS or by at most this
 * share of the lowest one. */
#define TIE_MS 2.0
#define TIE_SHARE 0.05
/* How long a worker's own report is used instead of those of the hosts. */
#define REPORT_FRESH_MS 250
#define SLOT_WAIT_MS 60.0 /* cost of waiting for a busy slot */
#define CONNECT_FEW 8	  /* workers of a pool */
#define SUBSET_SIZE 192	  /* workers of a pool that a host gets reports of */
#define BRITTLE_MS 10000  /* after the last answer of a brittle worker */
#define CACHED_PARTS_MAX 4096 /* per worker */
/* Until a process that has started is listed, and hosts that vouch for the list
 * have read that. */
#define ENTRY_MS 2500
/* Until a worker that has not said which process it is is asked again. */
#define ASK_MS 1000
/* The same if another process has answered: what it says is as old. */
#define ASK_OTHER_MS 100

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
	fleet->replaced = g_ptr_array_new();
	fleet->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->versions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fleet->speeds =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
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
	if (worker->successor)
		fleet_worker_unref(worker->successor);
	fleet_entry_clear(&worker->entry);
	g_hash_table_destroy(worker->cached_parts);
	fleet_limit_clear(&worker->limit);
	g_free(worker);
}

struct fleet_worker *fleet_latest(struct fleet_worker *worker)
{
	while (worker->successor)
		worker = worker->successor;
	return worker;
}

struct fleet_worker *fleet_find(const struct fleet *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->workers, id);
}

/* Returns the workers of a pool; NULL if it never had any. */
static GPtrArray *pool_workers(const struct fleet *fleet, const char *pool)
{
	return g_hash_table_lookup(fleet->pools, pool);
}

uint32_t fleet_version_key(const char *version)
{
	if (!version)
		version = "";
	return XXH32(version, strlen(version), 0) | 1;
}

uint32_t fleet_process_mark(const struct fleet_worker *worker, int64_t start,
			    bool is_sure)
{
	uint32_t hash = XXH32(&start, sizeof(start), worker->key);
	uint32_t mark = hash & ~(uint32_t)ORIGIN_MARKS;

	/* Neither "nothing" nor ORIGIN_VERSION_UNKNOWN. */
	if (mark == 0)
		mark = ORIGIN_MARKS + 1;
	return mark | (is_sure ? ORIGIN_MARK_PROCESS : ORIGIN_MARK_PERHAPS);
}

struct fleet_worker *fleet_find_mark(const struct fleet *fleet,
				     const char *pool, uint32_t mark)
{
	const GPtrArray *workers = pool_workers(fleet, pool);
	bool is_sure = (mark & ORIGIN_MARKS) == ORIGIN_MARK_PROCESS;

	for (guint i = 0; workers && i < workers->len; i++) {
		struct fleet_worker *worker = g_ptr_array_index(workers, i);

		if (worker->entry.started_at &&
		    fleet_process_mark(worker, worker->entry.started_at,
				       is_sure) == mark)
			return worker;
	}
	return NULL;
}

/* Counts a worker of a pool in or out of its version. */
static void version_count(struct fleet *fleet,
			  const struct fleet_worker *worker, int change)
{
	GArray *versions =
		g_hash_table_lookup(fleet->versions, worker->entry.pool);
	struct fleet_version version = { .key = worker->version };

	if (!versions) {
		versions =
			g_array_new(FALSE, FALSE, sizeof(struct fleet_version));
		g_hash_table_insert(fleet->versions,
				    g_strdup(worker->entry.pool), versions);
	}
	for (guint i = 0; i < versions->len; i++) {
		struct fleet_version *known =
			&g_array_index(versions, struct fleet_version, i);

		if (known->key != worker->version)
			continue;
		known->workers += (unsigned)change;
		known->gone_at = 0;
		return;
	}
	version.workers = (unsigned)change;
	g_array_append_val(versions, version);
}

/* Whether processes of a pool have answered that are not listed yet; serves:
 * under the id of a listed one. */
static bool has_replaced(const struct fleet *fleet, const char *pool,
			 bool serves)
{
	for (guint i = 0; i < fleet->replaced->len; i++) {
		const struct fleet_worker *worker =
			g_ptr_array_index(fleet->replaced, i);

		if (!strcmp(worker->entry.pool, pool) &&
		    (!serves || worker->other_serves))
			return true;
	}
	return false;
}

unsigned fleet_versions(const struct fleet *fleet, const char *pool, clk_ms now,
			uint32_t *sole)
{
	GArray *versions = g_hash_table_lookup(fleet->versions, pool);

	*sole = 0;
	if (!versions)
		return 0;
	for (guint i = versions->len; i-- > 0;) {
		struct fleet_version *version =
			&g_array_index(versions, struct fleet_version, i);

		if (version->workers > 0)
			continue;
		if (version->gone_at == 0)
			version->gone_at = now;
		if (now - version->gone_at > FLEET_VERSION_MS)
			g_array_remove_index_fast(versions, i);
	}
	if (has_replaced(fleet, pool, true))
		return versions->len + 1;
	if (versions->len == 1)
		*sole = g_array_index(versions, struct fleet_version, 0).key;
	return versions->len;
}

size_t fleet_serving_versions(const struct fleet *fleet, const char *pool,
			      uint32_t *keys, size_t max)
{
	const GArray *versions = g_hash_table_lookup(fleet->versions, pool);
	size_t count = 0;

	for (guint i = 0; versions && i < versions->len && count < max; i++) {
		const struct fleet_version *version =
			&g_array_index(versions, struct fleet_version, i);

		if (version->workers > 0)
			keys[count++] = version->key;
	}
	return count;
}

static void pool_add(struct fleet *fleet, struct fleet_worker *worker)
{
	GPtrArray *pool = pool_workers(fleet, worker->entry.pool);

	if (!pool) {
		pool = g_ptr_array_new();
		g_hash_table_insert(fleet->pools, g_strdup(worker->entry.pool),
				    pool);
	}
	g_ptr_array_add(pool, worker);
	version_count(fleet, worker, 1);
}

static void other_forget(struct fleet *fleet, struct fleet_worker *worker)
{
	if (worker->other_at)
		g_ptr_array_remove_fast(fleet->replaced, worker);
	worker->other_start = 0;
	worker->other_at = 0;
	worker->other_serves = false;
}

void fleet_remove(struct fleet *fleet, const char *id)
{
	struct fleet_worker *worker = fleet_find(fleet, id);

	if (!worker)
		return;
	g_hash_table_remove(fleet->by_key, GUINT_TO_POINTER(worker->key));
	g_hash_table_remove(fleet->workers, id);
	g_ptr_array_remove_fast(pool_workers(fleet, worker->entry.pool),
				worker);
	version_count(fleet, worker, -1);
	other_forget(fleet, worker);
	worker->removed = true;
	if (fleet->on_removed)
		fleet->on_removed(fleet->ctx, worker);
	fleet_worker_unref(worker);
}

/* Whether an entry describes another process than the known one. */
static bool is_replaced(const struct fleet_worker *worker,
			const struct fleet_entry *entry)
{
	return strcmp(worker->entry.address, entry->address) != 0 ||
	       strcmp(worker->entry.pool, entry->pool) != 0 ||
	       worker->version != fleet_version_key(entry->version) ||
	       (worker->entry.started_at && entry->started_at &&
		worker->entry.started_at != entry->started_at);
}

/* Keeps what responses have said, which the process that is listed now may have
 * sent before, or the former one at its address, and the requests there. */
static void worker_inherit(struct fleet_worker *worker,
			   struct fleet_worker *former)
{
	if (strcmp(worker->entry.address, former->entry.address) != 0 ||
	    strcmp(worker->entry.pool, former->entry.pool) != 0)
		return;
	fleet_limit_inherit(worker, fleet_limit_rate(former),
			    former->limit.named_at);
	worker->doubted_until =
		former->said_leaving ? CLK_NEVER : former->withheld_until;
	worker->brittle = former->brittle;
	worker->inflight = former->inflight;
	former->successor = fleet_worker_ref(worker);
}

struct fleet_worker *fleet_put(struct fleet *fleet, struct fleet_entry *entry,
			       int64_t revision)
{
	struct fleet_worker *worker = fleet_find(fleet, entry->id);
	struct fleet_worker *former = NULL;

	if (worker && is_replaced(worker, entry)) {
		former = worker;
		worker = NULL;
	}
	if (worker) {
		struct fleet_entry old = worker->entry;

		/* The table's key points into the old entry. */
		g_hash_table_remove(fleet->workers, old.id);
		worker->entry = *entry;
		g_hash_table_insert(fleet->workers, worker->entry.id, worker);
		fleet_entry_clear(&old);
	} else {
		worker = g_new0(struct fleet_worker, 1);
		worker->refs = 1;
		worker->entry = *entry;
		worker->cached_parts = g_hash_table_new(NULL, NULL);
		if (former) {
			worker_inherit(worker, former);
			fleet_remove(fleet, worker->entry.id);
		}
		g_hash_table_insert(fleet->workers, worker->entry.id, worker);
		worker->key = aggregate_key(worker->entry.id);
		worker->version = fleet_version_key(worker->entry.version);
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
	return !worker->entry.leaving && !worker->said_leaving &&
	       !worker->removed && !worker->removal_due_at;
}

/* Groups of workers, in order of preference. */
enum group {
	GROUP_HEALTHY,
	GROUP_AVOIDED,	/* recently failed */
	GROUP_UNLISTED, /* missing from the list after an outage */
	GROUP_COUNT,
};

/* Returns the group of a worker; GROUP_COUNT: it is not chosen at all. */
static enum group worker_group(const struct fleet_worker *worker, clk_ms now)
{
	if (now < worker->withheld_until || fleet_brittle_is_full(worker, now))
		return GROUP_COUNT;
	if (worker->removal_due_at && !worker->entry.leaving &&
	    !worker->said_leaving && !worker->removed)
		return GROUP_UNLISTED;
	if (!fleet_takes_work(worker))
		return GROUP_COUNT;
	return clk_passed(worker->health.avoid_until, now) && !worker->unreached
		       ? GROUP_HEALTHY
		       : GROUP_AVOIDED;
}

void fleet_on_cut(struct fleet_worker *worker, clk_ms now)
{
	worker->cut_at = now;
}

void fleet_on_process(struct fleet *fleet, struct fleet_worker *worker,
		      int64_t start, clk_ms now)
{
	bool serves = worker->other_serves && start == worker->other_start;

	other_forget(fleet, worker);
	worker->said_at = now;
	if (worker->removed || (start && start == worker->entry.started_at))
		return;
	worker->other_serves = serves;
	worker->other_start = start;
	worker->other_at = now;
	g_ptr_array_add(fleet->replaced, worker);
}

void fleet_on_other_serves(struct fleet_worker *worker)
{
	worker->other_serves = worker->other_at != 0;
}

void fleet_expire(struct fleet *fleet, clk_ms now)
{
	for (guint i = fleet->replaced->len; i-- > 0;) {
		struct fleet_worker *worker =
			g_ptr_array_index(fleet->replaced, i);

		if (now - worker->other_at > ENTRY_MS)
			other_forget(fleet, worker);
	}
}

void fleet_on_unknown_process(struct fleet_worker *worker, clk_ms now)
{
	worker->unknown_at = now;
}

bool fleet_answers_process(const struct fleet_worker *worker)
{
	return !worker->unknown_at || worker->said_at > worker->unknown_at;
}

bool fleet_says_process(const struct fleet_worker *worker,
			const struct fleet_request *request)
{
	return request->engine && worker->entry.started_at != 0;
}

bool fleet_may_ask_process(const struct fleet_worker *worker,
			   const struct fleet_request *request, clk_ms now)
{
	return fleet_says_process(worker, request) &&
	       (!worker->unknown_at || now - worker->unknown_at >= ASK_MS) &&
	       (!worker->other_at || now - worker->other_at >= ASK_OTHER_MS);
}

bool fleet_would_be_listed(const struct fleet_worker *worker, clk_ms since,
			   clk_ms heard_at, clk_ms listed_at)
{
	return !worker->removed && !worker->other_at &&
	       MIN(heard_at, listed_at) > since + ENTRY_MS;
}

bool fleet_awaits_entry(const struct fleet *fleet,
			const struct fleet_request *request)
{
	return origin_is_known(request->version) &&
	       has_replaced(fleet, request->pool, false);
}

bool fleet_needs_proof(const struct fleet_worker *worker,
		       const struct fleet_request *request)
{
	return request->version != 0 && fleet_says_process(worker, request);
}

uint32_t fleet_version_of(const struct fleet_worker *worker,
			  const struct fleet_request *request)
{
	/* One that says its process is asked before it is sent a request. */
	bool is_known =
		fleet_says_process(worker, request)
			? !worker->other_at
			: !worker->cut_at || request->listed_at >
						     worker->cut_at + ENTRY_MS;

	return is_known ? worker->version : FLEET_VERSION_UNKNOWN;
}

/* Whether a worker's version is on the side of a roll-out that may run a
 * request. */
static bool is_on_side(const struct fleet_worker *worker,
		       const struct fleet_request *request)
{
	bool is_target = worker->version == request->target;

	if (request->side == FLEET_ANY_SIDE)
		return true;
	for (unsigned i = 0; i < FLEET_BARRED_MAX; i++)
		if (worker->version == request->barred[i])
			return false;
	return is_target == (request->side == FLEET_TARGET);
}

/* Whether a worker has the version that a request needs. */
static bool has_version(const struct fleet_worker *worker,
			const struct fleet_request *request)
{
	if (!is_on_side(worker, request))
		return false;
	return request->version == 0 ||
	       (origin_is_known(request->version) &&
		request->version == fleet_version_of(worker, request));
}

void fleet_request_failed(struct fleet_request *request, uint32_t worker)
{
	for (unsigned i = 0; i < request->failed_count; i++)
		if (request->failed[i] == worker)
			return;
	if (request->failed_count == FLEET_FAILED_MAX) {
		memmove(request->failed, request->failed + 1,
			sizeof(request->failed) - sizeof(request->failed[0]));
		request->failed_count--;
	}
	request->failed[request->failed_count++] = worker;
}

/* Whether a request has failed at a worker. */
static bool has_failed(const struct fleet_worker *worker,
		       const struct fleet_request *request)
{
	for (unsigned i = 0; i < request->failed_count; i++)
		if (request->failed[i] == worker->key)
			return true;
	return false;
}

bool fleet_has_other(const struct fleet *fleet,
		     const struct fleet_request *request,
		     const struct fleet_worker *exclude)
{
	return fleet_has_heard(fleet, request, exclude, 0);
}

bool fleet_has_heard(const struct fleet *fleet,
		     const struct fleet_request *request,
		     const struct fleet_worker *exclude, clk_ms since)
{
	const GPtrArray *workers = pool_workers(fleet, request->pool);

	for (guint i = 0; workers && i < workers->len; i++) {
		const struct fleet_worker *worker =
			g_ptr_array_index(workers, i);

		if (worker != exclude && fleet_takes_work(worker) &&
		    worker->heard_at >= since && has_version(worker, request))
			return true;
	}
	return false;
}

bool fleet_has_untried(const struct fleet *fleet,
		       const struct fleet_request *request)
{
	const GPtrArray *workers = pool_workers(fleet, request->pool);

	for (guint i = 0; workers && i < workers->len; i++) {
		const struct fleet_worker *worker =
			g_ptr_array_index(workers, i);

		if (fleet_takes_work(worker) && has_version(worker, request) &&
		    !has_failed(worker, request))
			return true;
	}
	return false;
}

void fleet_request_forget(struct fleet_request *request, uint32_t worker)
{
	for (unsigned i = 0; i < request->failed_count; i++)
		if (request->failed[i] == worker)
			request->failed[i] =
				request->failed[--request->failed_count];
}

unsigned fleet_count(const struct fleet *fleet, const char *pool)
{
	const GPtrArray *workers = pool_workers(fleet, pool);
	unsigned count = 0;

	for (guint i = 0; workers && i < workers->len; i++)
		count += fleet_takes_work(g_ptr_array_index(workers, i));
	return count;
}

unsigned fleet_count_others(const struct fleet *fleet, const char *pool,
			    uint32_t version)
{
	const GPtrArray *workers = pool_workers(fleet, pool);
	unsigned count = 0;

	for (guint i = 0; workers && i < workers->len; i++) {
		const struct fleet_worker *worker =
			g_ptr_array_index(workers, i);

		count += fleet_takes_work(worker) && worker->version != version;
	}
	return count;
}

unsigned fleet_count_on_demand(const struct fleet *fleet, const char *pool)
{
	const GPtrArray *workers = pool_workers(fleet, pool);
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
	const GPtrArray *workers = pool_workers(fleet, pool);
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

/* Returns the prompt tokens that a worker is expected to have cached: the
 * leading parts that were read there within the cache TTL. */
static int cached_tokens(const struct fleet *fleet,
			 const struct fleet_worker *worker,
			 const struct fleet_request *request, clk_ms now)
{
	int tokens = 0;

	for (size_t i = 0; i < request->part_count; i++) {
		gpointer at = g_hash_table_lookup(
			worker->cached_parts, part_key(request->parts[i].id));

		if (!at || now - (clk_ms)GPOINTER_TO_SIZE(at) >
				   fleet->params.cache_ttl)
			break;
		tokens += request->parts[i].tokens;
	}
	return MIN(tokens, request->prompt_tokens);
}

/* Rendezvous hash: every host ranks the workers for a part alike. */
static uint32_t rendezvous_rank(const struct fleet_worker *worker,
				uint64_t part)
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
	guint count = pool_workers(fleet, worker->entry.pool)->len;

	return count <= SUBSET_SIZE ||
	       rendezvous_rank(worker, host_key) <
		       (uint32_t)((double)UINT32_MAX * SUBSET_SIZE / count);
}

/* Returns the part that identifies a session: the last one that its requests
 * share. They are placed together by it. */
static uint64_t session_key(const struct fleet_request *request)
{
	if (request->part_count < 2)
		return request->part_count ? request->parts[0].id : 0;
	return request->parts[request->part_count - 2].id;
}

/* Returns the requests of other hosts at a worker: by its own report if that
 * is fresh, else by the hosts' reports. */
static double other_requests(const struct fleet_worker *worker, clk_ms now)
{
	if (worker->reported_at && now - worker->reported_at < REPORT_FRESH_MS)
		return worker->reported_others;
	return worker->peer_requests;
}

/* Returns the decayed failure rate: a worker without attempts is tried again
 * after some time. */
static double failure_rate_at(const struct fleet_health *health, clk_ms now)
{
	return health->failure_rate *
	       exp2(-(double)(now - health->updated_at) / FAILURE_HALF_LIFE_MS);
}

/* Returns the cost added for a worker's recent failures. */
static double health_cost(const struct fleet_worker *worker, clk_ms now)
{
	return MAX(failure_rate_at(&worker->health, now) - FAILURE_RATE_IGNORED,
		   0) *
	       FAILURE_COST_MS;
}

int fleet_shared_tokens(const struct fleet_request *request)
{
	int tokens = 0;

	for (size_t i = 0; i + 1 < request->part_count; i++)
		tokens += request->parts[i].tokens;
	return MIN(tokens, request->prompt_tokens);
}

/* Returns the expected ms to the first token. Other hosts send a session's
 * requests to its preferred worker too, so its parts count as cached there. */
static double placement_cost(const struct fleet *fleet,
			     const struct speed *measured,
			     const struct fleet_worker *worker,
			     const struct fleet_worker *preferred,
			     const struct fleet_request *request, clk_ms now,
			     int *cached)
{
	const struct fleet_params *speed = &fleet->params;
	double load = worker->inflight + other_requests(worker, now);
	double cost = 0;
	double distance = 0;
	double pace = fleet_pace(worker, now);

	*cached = 0;
	if (strcmp(worker->entry.data_centre, request->data_centre) != 0)
		distance = speed->cross_dc_ms;
	if (!request->engine) {
		int slots = MAX(worker->entry.slots, 1);

		/* Its own work, too, takes as much longer there. */
		return distance + SLOT_WAIT_MS * load / slots +
		       SLOT_WAIT_MS * (pace - 1) * (load + 1) / slots;
	}
	*cached = cached_tokens(fleet, worker, request, now);
	if (worker == preferred)
		*cached = MAX(*cached, fleet_shared_tokens(request));
	cost += speed_queue_ms(measured, worker->prompt_tokens +
						 worker->peer_prompt_tokens);
	cost += speed_prompt_ms(measured, request->prompt_tokens - *cached,
				*cached);
	cost += load * speed->per_running_ms;
	if (worker->entry.slots > 0 && load >= worker->entry.slots)
		cost += (load - worker->entry.slots + 1) * SLOT_WAIT_MS;
	return distance + cost * fleet_speed_ratio(worker) * pace;
}

/* Returns the worker that every host prefers for a session, among those that
 * accept requests: one without a limit, if there is any. */
static const struct fleet_worker *
preferred_worker(const GPtrArray *workers, const struct fleet_request *request)
{
	uint64_t session = session_key(request);
	const struct fleet_worker *preferred = NULL;
	uint32_t best = 0;

	for (guint i = 0; session && i < workers->len; i++) {
		const struct fleet_worker *worker =
			g_ptr_array_index(workers, i);
		uint32_t rank = rendezvous_rank(worker, session);
		bool freer = preferred && preferred->limit.holder &&
			     !worker->limit.holder;
		bool as_free = !preferred || !preferred->limit.holder ==
						     !worker->limit.holder;

		if (fleet_takes_work(worker) && has_version(worker, request) &&
		    (!preferred || freer || (as_free && rank > best))) {
			preferred = worker;
			best = rank;
		}
	}
	return preferred;
}

static guint gcd(guint a, guint b)
{
	while (b) {
		guint remainder = a % b;

		a = b;
		b = remainder;
	}
	return a;
}

/* Returns a random stride through len elements that visits each of them: one
 * that is coprime with len. */
static guint random_stride(struct fleet *fleet, guint len)
{
	guint stride = 1 + fleet->random(fleet->ctx, len - 1);

	while (gcd(stride, len) != 1)
		stride = stride % len + 1;
	return stride;
}

/* Returns the least rank of the workers of a target that may run a request: few
 * of them carry the load of a usual worker each, which shows what they do under
 * load. */
static uint32_t target_rank_min(const GPtrArray *workers,
				const struct fleet_request *request)
{
	uint32_t least = UINT32_MAX;
	unsigned count = 0;

	/* The highest ranks, from the top. */
	while (count < request->target_workers) {
		uint32_t next = 0;

		for (guint i = 0; i < workers->len; i++) {
			const struct fleet_worker *worker =
				g_ptr_array_index(workers, i);
			uint32_t rank =
				rendezvous_rank(worker, request->target);

			if (worker->version == request->target &&
			    fleet_takes_work(worker) && rank < least)
				next = MAX(next, rank);
		}
		if (next == 0)
			return 0;
		least = next;
		count++;
	}
	return count > 0 ? least : 0;
}

/* State of a selection. */
struct selection {
	struct fleet *fleet;
	const struct fleet_request *request;
	const struct fleet_worker *preferred;
	const struct speed *speed; /* of the pool */
	bool weighs;		   /* connections */
	clk_ms now;
	unsigned ties; /* workers tied for the lowest cost */
	struct fleet_choice best;
	double wanted_cost; /* of best.wanted */
};

/* Whether a worker takes a request of this host only with a permit that it
 * lacks. */
static bool lacks_permit(const struct fleet_worker *worker, clk_ms now)
{
	return worker->limit.holder && !permit_ready(worker->limit.holder, now);
}

/* Compares one worker for which a permit is lacking with the best so far. */
static void consider_wanted(struct selection *selection,
			    struct fleet_worker *worker)
{
	int cached;
	double cost;

	if (!permit_may_ask(worker->limit.holder, selection->now))
		return;
	cost = placement_cost(selection->fleet, selection->speed, worker,
			      selection->preferred, selection->request,
			      selection->now, &cached) +
	       health_cost(worker, selection->now);
	if (selection->best.wanted && cost >= selection->wanted_cost)
		return;
	selection->best.wanted = worker;
	selection->wanted_cost = cost;
}

/* Returns the cost of a new connection to a worker. At the preferred one it is
 * the lower, the longer the prefill of the shared parts would take: going
 * elsewhere costs that, and the place of other parts in a cache. */
static double connect_cost(const struct selection *selection,
			   const struct fleet_worker *worker)
{
	const struct fleet_params *params = &selection->fleet->params;
	double cost = params->connect_ms;
	double saved = worker == selection->preferred
			       ? fleet_shared_tokens(selection->request) *
					 params->prefill_ms
			       : 0;

	return saved > cost ? cost * cost / saved : cost;
}

/* Compares one worker with the best so far. */
static void consider_worker(struct selection *selection,
			    struct fleet_worker *worker, bool is_connected)
{
	struct fleet_choice *best = &selection->best;
	int cached;
	double expected =
		placement_cost(selection->fleet, selection->speed, worker,
			       selection->preferred, selection->request,
			       selection->now, &cached);
	double cost = expected + health_cost(worker, selection->now) +
		      (is_connected || !selection->weighs
			       ? 0
			       : connect_cost(selection, worker));
	double margin = TIE_MS + TIE_SHARE * best->cost;

	best->candidates++;
	if (best->worker && cost > best->cost + margin)
		return;
	if (best->worker && cost > best->cost - margin) {
		/* Ties are broken at random, by reservoir sampling. */
		if (selection->fleet->random(selection->fleet->ctx,
					     ++selection->ties) != 0)
			return;
	} else {
		selection->ties = 1;
	}
	best->worker = worker;
	best->cost = cost;
	best->expected_ms = expected;
	best->cached_tokens = cached;
}

/* Whether a request goes only to brittle workers of which the room is known: it
 * stands for those that are full, and the other ones are not to get their
 * requests in addition. */
static bool keeps_to_room(const struct fleet *fleet, const GPtrArray *workers,
			  clk_ms now)
{
	unsigned count = 0;
	unsigned full = 0;

	if (!fleet->brittle_at || now - fleet->brittle_at > BRITTLE_MS)
		return false;
	for (guint i = 0; i < workers->len; i++) {
		const struct fleet_worker *worker =
			g_ptr_array_index(workers, i);

		if (!fleet_takes_work(worker))
			continue;
		count++;
		full += worker->brittle.is &&
			(now < worker->withheld_until ||
			 fleet_brittle_is_full(worker, now));
	}
	return full > 0 && fleet->random(fleet->ctx, count) < full;
}

/* Whether a new connection counts as a cost: where workers are few, a host's
 * requests reuse connections to all of them. */
static bool weighs_connections(const struct fleet *fleet,
			       const GPtrArray *workers)
{
	return fleet->params.connect_ms > 0 && fleet->is_connected &&
	       workers->len > CONNECT_FEW;
}

/* Whether all samples were compared, and the preferred worker was or can't be.
 */
static bool is_sampled(const struct selection *selection,
		       const unsigned sampled[2])
{
	unsigned samples = selection->fleet->params.samples;

	return (!selection->preferred ||
		selection->preferred == selection->request->exclude) &&
	       (!selection->weighs || MIN(sampled[0], sampled[1]) >= samples);
}

/* Chooses among the workers of one group: all, or the preferred one and random
 * samples of those to which the host has a connection and of the others, so
 * that hosts with the same information don't all choose the same worker.
 * subset_only: samples only this host's subset. known_room: leaves out brittle
 * workers of which the room is not known. */
static struct fleet_choice choose_in_group(struct fleet *fleet,
					   const GPtrArray *workers,
					   const struct fleet_request *request,
					   enum group group, bool subset_only,
					   bool known_room, clk_ms now)
{
	struct selection selection = {
		.fleet = fleet,
		.request = request,
		.preferred = request->engine
				     ? preferred_worker(workers, request)
				     : NULL,
		.speed = request->engine ? fleet_speed(fleet, request->pool)
					 : NULL,
		.weighs = weighs_connections(fleet, workers),
		.now = now,
	};
	unsigned samples = fleet->params.samples;
	guint start = fleet->random(fleet->ctx, workers->len);
	guint stride = samples && workers->len > 2
			       ? random_stride(fleet, workers->len)
			       : 1;
	unsigned sampled[2] = { 0 }; /* without a connection, and with one */
	uint32_t rank_min = request->side == FLEET_TARGET
				    ? target_rank_min(workers, request)
				    : 0;

	for (guint i = 0; i < workers->len; i++) {
		struct fleet_worker *worker = g_ptr_array_index(
			workers, (start + i * stride) % workers->len);
		bool is_connected;

		if (worker == request->exclude || has_failed(worker, request) ||
		    worker->heard_at < request->heard_since ||
		    !has_version(worker, request) ||
		    worker_group(worker, now) != group)
			continue;
		if (rank_min > 0 &&
		    rendezvous_rank(worker, request->target) < rank_min)
			continue;
		if (known_room && worker->brittle.is &&
		    !worker->brittle.limited)
			continue;
		if (subset_only && worker != selection.preferred &&
		    !fleet_in_subset(fleet, worker, fleet->params.host_key))
			continue;
		if (lacks_permit(worker, now)) {
			consider_wanted(&selection, worker);
			continue;
		}
		is_connected = selection.weighs &&
			       fleet->is_connected(fleet->ctx, worker, request);
		if (samples && worker != selection.preferred &&
		    sampled[is_connected]++ >= samples) {
			if (is_sampled(&selection, sampled))
				break;
			continue;
		}
		consider_worker(&selection, worker, is_connected);
	}
	if (selection.best.worker &&
	    selection.wanted_cost >= selection.best.cost)
		selection.best.wanted = NULL;
	return selection.best;
}

void fleet_withhold(struct fleet_worker *worker, clk_ms wait, clk_ms now)
{
	worker->withheld_until = MAX(worker->withheld_until, now + wait);
}

struct fleet_room fleet_room(const struct fleet *fleet, const char *pool,
			     clk_ms now)
{
	const GPtrArray *workers = pool_workers(fleet, pool);
	struct fleet_room room = { .wait = -1, .next = -1 };

	for (guint i = 0; workers && i < workers->len; i++) {
		const struct fleet_worker *worker =
			g_ptr_array_index(workers, i);
		clk_ms wait = MAX(worker->withheld_until - now, 0);
		clk_ms next = -1;

		if (!fleet_takes_work(worker))
			continue;
		room.freed += wait == 0 && worker->inflight > 0 &&
			      fleet_brittle_is_full(worker, now);
		if (worker->limit.holder) {
			room.rate += worker->limit.holder->rate;
			if (wait == 0)
				room.expected += permit_expected(
					worker->limit.holder, now);
			wait = MAX(wait,
				   permit_wait(worker->limit.holder, now));
			next = permit_next(worker->limit.holder, now);
		}
		if (room.wait < 0 || wait < room.wait)
			room.wait = wait;
		if (next >= 0 && (room.next < 0 || next < room.next))
			room.next = next;
	}
	return room;
}

struct fleet_choice fleet_choose(struct fleet *fleet,
				 const struct fleet_request *request,
				 clk_ms now)
{
	const GPtrArray *workers = pool_workers(fleet, request->pool);
	struct fleet_worker *wanted = NULL;
	struct fleet_choice choice = { .worker = NULL };
	bool known_room = workers && keeps_to_room(fleet, workers, now);

	if (!workers)
		return choice;
	for (int group = 0; group < GROUP_COUNT && !choice.worker; group++) {
		choice = choose_in_group(
			fleet, workers, request, (enum group)group,
			fleet->params.samples > 0, known_room, now);
		if (!choice.worker && fleet->params.samples > 0)
			choice = choose_in_group(fleet, workers, request,
						 (enum group)group, false,
						 known_room, now);
		/* The first group is the healthiest. */
		if (!wanted)
			wanted = choice.wanted;
	}
	choice.wanted = wanted;
	if (!choice.worker && !wanted && request->failed_count > 0) {
		struct fleet_request any = *request;

		any.failed_count = 0;
		return fleet_choose(fleet, &any, now);
	}
	return choice;
}

/* Counts a request at a worker, and at those in its place. */
static void inflight_add(struct fleet_worker *worker, int change)
{
	for (; worker; worker = worker->successor)
		worker->inflight += (unsigned)change;
}

bool fleet_begin(struct fleet_worker *worker,
		 const struct fleet_request *request, clk_ms now)
{
	bool tries;

	inflight_add(worker, 1);
	tries = fleet_brittle_on_send(worker, now);
	if (worker->limit.holder)
		permit_use(worker->limit.holder, now);
	if (!request->engine)
		return tries;
	worker->prompt_tokens += request->prefill_tokens;
	if (g_hash_table_size(worker->cached_parts) > CACHED_PARTS_MAX)
		g_hash_table_remove_all(worker->cached_parts);
	for (size_t i = 0; i < request->part_count; i++)
		g_hash_table_insert(worker->cached_parts,
				    part_key(request->parts[i].id),
				    GSIZE_TO_POINTER((gsize)now));
	return tries;
}

void fleet_first_token(struct fleet_worker *worker,
		       const struct fleet_request *request)
{
	if (request->engine)
		worker->prompt_tokens =
			MAX(worker->prompt_tokens - request->prefill_tokens, 0);
}

void fleet_end(struct fleet_worker *worker, const struct fleet_request *request,
	       bool had_first)
{
	inflight_add(worker, -1);
	if (!had_first)
		fleet_first_token(worker, request);
}

void fleet_record_outcome(struct fleet_worker *worker,
			  enum fleet_outcome outcome, clk_ms now)
{
	struct fleet_health *health = &worker->health;
	double failed = outcome == FLEET_OK ? 0 : 1;

	health->failure_rate = failure_rate_at(health, now);
	health->failure_rate +=
		FAILURE_WEIGHT * (failed - health->failure_rate);
	health->updated_at = now;
	if (outcome == FLEET_NO_RESPONSE) {
		health->avoid_until =
			now + (AVOID_MS << MIN(health->consecutive_failures,
					       AVOID_DOUBLINGS));
		health->consecutive_failures++;
	} else if (outcome == FLEET_OK) {
		health->consecutive_failures = 0;
		health->avoid_until = 0;
	}
}

void fleet_on_load(struct fleet_worker *worker, int running, int waiting,
		   clk_ms now)
{
	int others = running + waiting - (int)worker->inflight;

	worker->reported_others = MAX(others, 0);
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

double fleet_own_requests(const struct fleet_worker *worker)
{
	return worker->inflight;
}

double fleet_own_prompts(const struct fleet_worker *worker)
{
	return worker->prompt_tokens;
}
