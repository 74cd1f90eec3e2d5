/* Links of this host to the workers. */
#include "links.h"

#include <limits.h>

#include "aggregate.h"

/* Workers of a pool that have failed in a row when its links are in doubt;
 * fewer if it has fewer. */
#define DOUBT_WORKERS 3

/* Without data from a worker, until it counts as silent: at least, by the usual
 * time of a response, and for that reason at most. */
#define SILENT_MS 400
#define SILENT_RESPONSES 2
#define SILENT_USUAL_MAX_MS 1500
#define RESPONSES_MAX 10 /* that the usual time is the mean of, about */

/* Until a probe has told that links in doubt are whole. */
#define PROBE_WAIT_MS 400
/* Until the links count as lost everywhere if no other host has said that it
 * reaches the workers. */
#define HOST_WAIT_MS 1000
/* Until the links count as lost, without data from the pool, and since another
 * host has said that it hears it: a probe has had time to be answered. */
#define LOST_QUIET_MS 200
#define LOST_HEARD_MS 150
#define ASK_MS 100	  /* between two rounds of questions to other hosts */
#define HOST_HEARS_MS 600 /* the same after another host has said so */

struct links_pool {
	uint32_t key;	    /* aggregate_key of its name */
	GHashTable *failed; /* set of keys of workers, since any was heard from
			     */
	GHashTable *hosts;  /* key of a host -> when it said that it hears them,
			     * since the doubt began */
	clk_ms heard_at;    /* 0: never */
	bool doubted;
	bool cut; /* the doubt began with a connection that has failed */
	clk_ms doubted_at;
	bool lost;
	bool host_reached; /* another host has reached a worker since */
	clk_ms reached_at; /* it first has */
	bool host_failed;  /* one has failed to */
	clk_ms next_ask;
	clk_ms next_probe;
	double response_ms; /* usual time until a worker responds */
	unsigned responses; /* of which it is known; RESPONSES_MAX at most */
};

static void pool_free(void *ptr)
{
	struct links_pool *pool = ptr;

	g_hash_table_destroy(pool->failed);
	g_hash_table_destroy(pool->hosts);
	g_free(pool);
}

struct links *links_create(void)
{
	struct links *links = g_new0(struct links, 1);

	links->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     pool_free);
	return links;
}

void links_free(struct links *links)
{
	g_hash_table_destroy(links->pools);
	g_free(links);
}

static struct links_pool *pool_find(const struct links *links, const char *name)
{
	return g_hash_table_lookup(links->pools, name);
}

static struct links_pool *pool_get(struct links *links, const char *name)
{
	struct links_pool *pool = pool_find(links, name);

	if (pool)
		return pool;
	pool = g_new0(struct links_pool, 1);
	pool->key = aggregate_key(name);
	pool->failed = g_hash_table_new(NULL, NULL);
	pool->hosts = g_hash_table_new(NULL, NULL);
	g_hash_table_insert(links->pools, g_strdup(name), pool);
	return pool;
}

void links_on_response(struct links *links, const char *name, clk_ms ms)
{
	struct links_pool *pool = pool_get(links, name);

	pool->responses = MIN(pool->responses + 1, RESPONSES_MAX);
	pool->response_ms += ((double)ms - pool->response_ms) / pool->responses;
}

clk_ms links_silence_max(const struct links *links, const char *name,
			 clk_ms target)
{
	const struct links_pool *pool = pool_find(links, name);
	double usual = SILENT_USUAL_MAX_MS;

	if (target == 0)
		return SILENT_MS;
	if (pool && pool->responses > 0)
		usual = MIN(usual, pool->response_ms * SILENT_RESPONSES);
	return MAX(MAX(target, SILENT_MS), (clk_ms)usual);
}

bool links_on_data(struct links *links, const char *name, clk_ms now)
{
	struct links_pool *pool = pool_get(links, name);
	bool was_lost = pool->lost;

	pool->heard_at = now;
	pool->doubted = false;
	pool->lost = false;
	g_hash_table_remove_all(pool->failed);
	return was_lost;
}

/* Notes a worker that has failed; returns whether the doubt begins. */
static bool worker_failed(struct links_pool *pool, uint32_t worker,
			  unsigned workers, clk_ms now)
{
	g_hash_table_add(pool->failed, GUINT_TO_POINTER(worker));
	if (pool->doubted ||
	    g_hash_table_size(pool->failed) < CLAMP(workers, 1, DOUBT_WORKERS))
		return false;
	pool->doubted = true;
	pool->cut = false;
	pool->doubted_at = now;
	pool->host_reached = false;
	pool->host_failed = false;
	pool->next_ask = now;
	g_hash_table_remove_all(pool->hosts);
	return true;
}

bool links_on_failure(struct links *links, const char *name, uint32_t worker,
		      unsigned workers, clk_ms now)
{
	struct links_pool *pool = pool_get(links, name);
	bool begins = worker_failed(pool, worker, workers, now);

	pool->cut |= begins;
	return begins;
}

bool links_on_silence(struct links *links, const char *name, uint32_t worker,
		      unsigned workers, clk_ms now)
{
	struct links_pool *pool = pool_get(links, name);

	if (pool->heard_at && now - pool->heard_at < SILENT_MS)
		return false;
	return worker_failed(pool, worker, workers, now);
}

bool links_ask_due(struct links *links, const char *name, bool silent,
		   clk_ms now)
{
	struct links_pool *pool = pool_find(links, name);

	if (!pool || !(pool->doubted || silent) || now < pool->next_ask)
		return false;
	pool->next_ask = now + ASK_MS;
	return true;
}

bool links_hears(const struct links *links, const char *name, clk_ms now)
{
	const struct links_pool *pool = pool_find(links, name);

	return pool && !pool->doubted && pool->heard_at &&
	       now - pool->heard_at < LINKS_HEARD_MS;
}

bool links_on_host(struct links *links, const char *name, uint32_t host,
		   bool reached, clk_ms now)
{
	struct links_pool *pool = pool_find(links, name);
	bool first;

	if (!pool || !pool->doubted)
		return false;
	/* What it heard may be from before the doubt. */
	if (reached && host != LINKS_SOME_HOST &&
	    now - pool->doubted_at < LINKS_HEARD_MS)
		return false;
	first = reached && !pool->host_reached;
	if (first)
		pool->reached_at = now;
	pool->host_reached |= reached;
	pool->host_failed |= !reached;
	if (host == LINKS_SOME_HOST)
		return first;
	if (reached)
		g_hash_table_insert(pool->hosts, GUINT_TO_POINTER(host),
				    GSIZE_TO_POINTER((gsize)now));
	else
		g_hash_table_remove(pool->hosts, GUINT_TO_POINTER(host));
	return first;
}

bool links_host_hears(const struct links *links, const char *name,
		      uint32_t host, clk_ms now)
{
	const struct links_pool *pool = pool_find(links, name);
	gpointer at =
		pool ? g_hash_table_lookup(pool->hosts, GUINT_TO_POINTER(host))
		     : NULL;

	return at && now - (clk_ms)GPOINTER_TO_SIZE(at) < HOST_HEARS_MS;
}

bool links_update(struct links *links, const char *name, clk_ms now)
{
	struct links_pool *pool = pool_find(links, name);

	if (!pool || !pool->doubted || pool->lost || !pool->host_reached ||
	    now - pool->reached_at < LOST_HEARD_MS ||
	    (pool->heard_at && now - pool->heard_at < LOST_QUIET_MS))
		return false;
	pool->lost = true;
	return true;
}

enum links_view links_view(const struct links *links, uint32_t key, clk_ms now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, links->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct links_pool *pool = value;
		clk_ms age = now - pool->doubted_at;

		if (pool->key != key || !pool->doubted)
			continue;
		if (age < PROBE_WAIT_MS)
			return LINKS_UNSURE;
		if (pool->lost)
			return LINKS_LOST_HERE;
		return (pool->host_failed && !pool->host_reached) ||
				       age >= HOST_WAIT_MS
			       ? LINKS_LOST_EVERYWHERE
			       : LINKS_UNSURE;
	}
	return LINKS_GOOD;
}

bool links_lost(const struct links *links, const char *name)
{
	const struct links_pool *pool = pool_find(links, name);

	return pool && pool->lost;
}

bool links_avoided(const struct links *links, const char *name)
{
	const struct links_pool *pool = pool_find(links, name);

	return pool && (pool->lost || (pool->doubted && pool->cut));
}

clk_ms links_doubted_at(const struct links *links, const char *name)
{
	const struct links_pool *pool = pool_find(links, name);

	return pool && pool->doubted ? pool->doubted_at : -1;
}

bool links_failed(const struct links *links, const char *name, uint32_t worker)
{
	const struct links_pool *pool = pool_find(links, name);

	return pool &&
	       g_hash_table_contains(pool->failed, GUINT_TO_POINTER(worker));
}

bool links_probe_due(struct links *links, const char *name, clk_ms now)
{
	struct links_pool *pool = pool_find(links, name);

	if (!pool || g_hash_table_size(pool->failed) == 0 ||
	    now < pool->next_probe)
		return false;
	pool->next_probe = now + LINKS_PROBE_MS;
	return true;
}

/* How well a host suits; less is better. */
static unsigned host_rank(const struct links_host *host)
{
	return (host->hears ? 0 : 2) + (host->near ? 0 : 1);
}

int links_choose(const struct links_host *hosts, size_t count, uint32_t random,
		 clk_ms now)
{
	unsigned best = UINT_MAX;
	uint32_t able = 0;

	for (size_t i = 0; i < count; i++) {
		unsigned rank = host_rank(&hosts[i]);

		if (now < hosts[i].avoid_until || rank > best)
			continue;
		able = rank < best ? 1 : able + 1;
		best = rank;
	}
	if (able == 0)
		return -1;
	able = random % able;
	for (size_t i = 0; i < count; i++)
		if (now >= hosts[i].avoid_until &&
		    host_rank(&hosts[i]) == best && able-- == 0)
			return (int)i;
	return -1;
}
