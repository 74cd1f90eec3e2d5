/* Links of this host to the workers. */
#include "links.h"

#include "aggregate.h"

/* Workers of a pool that have failed in a row when its links count as lost;
 * fewer if it has fewer. */
#define LOST_WORKERS 3

/* Without data from a worker, until it counts as silent: at least, by the usual
 * time of a response, and for that reason at most. */
#define SILENT_MS 400
#define SILENT_RESPONSES 2
#define SILENT_USUAL_MAX_MS 1500
#define RESPONSES_MAX 10 /* that the usual time is the mean of, about */

/* Until a probe has told that links that count as lost are not. */
#define PROBE_WAIT_MS 400
/* Until the links count as lost everywhere if no other host has said that it
 * reaches the workers. */
#define HOST_WAIT_MS 1000

struct links_pool {
	uint32_t key;	    /* aggregate_key of its name */
	GHashTable *failed; /* set of keys of workers, since any was heard from
			     */
	bool lost;
	clk_ms lost_at;
	bool host_reached; /* another host has reached a worker since */
	bool host_failed;  /* one has failed to */
	clk_ms next_probe;
	double response_ms; /* usual time until a worker responds */
	unsigned responses; /* of which it is known; RESPONSES_MAX at most */
};

static void pool_free(void *ptr)
{
	struct links_pool *pool = ptr;

	g_hash_table_destroy(pool->failed);
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

bool links_on_data(struct links *links, const char *name)
{
	struct links_pool *pool = pool_find(links, name);
	bool was_lost;

	if (!pool || g_hash_table_size(pool->failed) == 0)
		return false;
	was_lost = pool->lost;
	pool->lost = false;
	g_hash_table_remove_all(pool->failed);
	return was_lost;
}

bool links_on_failure(struct links *links, const char *name, uint32_t worker,
		      unsigned workers, clk_ms now)
{
	struct links_pool *pool = pool_get(links, name);

	g_hash_table_add(pool->failed, GUINT_TO_POINTER(worker));
	if (pool->lost ||
	    g_hash_table_size(pool->failed) < CLAMP(workers, 1, LOST_WORKERS))
		return false;
	pool->lost = true;
	pool->lost_at = now;
	pool->host_reached = false;
	pool->host_failed = false;
	return true;
}

void links_on_host(struct links *links, const char *name, bool reached)
{
	struct links_pool *pool = pool_find(links, name);

	if (!pool || !pool->lost)
		return;
	pool->host_reached |= reached;
	pool->host_failed |= !reached;
}

enum links_view links_view(const struct links *links, uint32_t key, clk_ms now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, links->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct links_pool *pool = value;
		clk_ms age = now - pool->lost_at;

		if (pool->key != key || !pool->lost)
			continue;
		if (age < PROBE_WAIT_MS)
			return LINKS_UNSURE;
		if (pool->host_reached)
			return LINKS_LOST_HERE;
		return pool->host_failed || age >= HOST_WAIT_MS
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

clk_ms links_lost_at(const struct links *links, const char *name)
{
	const struct links_pool *pool = pool_find(links, name);

	return pool && pool->lost ? pool->lost_at : -1;
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

int links_choose(const struct links_host *hosts, size_t count, uint32_t random,
		 clk_ms now)
{
	for (int near = 1; near >= 0; near--) {
		uint32_t able = 0;

		for (size_t i = 0; i < count; i++)
			able += (!near || hosts[i].near) &&
				now >= hosts[i].avoid_until;
		if (able == 0)
			continue;
		able = random % able;
		for (size_t i = 0; i < count; i++) {
			if ((near && !hosts[i].near) ||
			    now < hosts[i].avoid_until)
				continue;
			if (able-- == 0)
				return (int)i;
		}
	}
	return -1;
}
