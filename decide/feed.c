/* Who follows the store, and who passes its changes on to whom. */
#include "feed.h"

#include <string.h>
#include <xxhash.h>

#include "build.h"

#define ALL_FOLLOW_MAX 12 /* up to so many hosts, each follows the store */
#define FOLLOWERS 3	  /* any two may be lost at once */
#define PARENTS 2	  /* relays that feed a host */
/* A host that receives no heartbeat for so long follows the store itself: a
 * relay first, so that it can go on feeding the others. */
#define RELAY_TIMEOUT_MS 800
#define LEAF_TIMEOUT_MS 1500

/* A host and its weight in the ranking; host is NULL for this host. */
struct ranked {
	uint64_t weight;
	const struct feed_host *host;
};

void feed_init(struct feed *feed, clk_ms now)
{
	*feed = (struct feed){
		.role = FEED_FOLLOWER,
		.relay_count = 1,
		.all_follow = true,
		.relays = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						NULL),
		.followers = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, NULL),
		.targets =
			g_array_new(FALSE, FALSE, sizeof(struct feed_target)),
		.heartbeat_at = now,
	};
}

void feed_clear(struct feed *feed)
{
	g_hash_table_destroy(feed->relays);
	g_hash_table_destroy(feed->followers);
	g_array_free(feed->targets, TRUE);
}

static gint ranked_cmp(gconstpointer a, gconstpointer b)
{
	uint64_t x = ((const struct ranked *)a)->weight;
	uint64_t y = ((const struct ranked *)b)->weight;

	return x < y ? 1 : x > y ? -1 : 0;
}

/* Ranks the hosts; this one is last if it is leaving. */
static struct ranked *hosts_rank(const char *self, bool leaving,
				 const struct feed_host *hosts, size_t count)
{
	struct ranked *ranked = g_new(struct ranked, count + 1);

	ranked[0] = (struct ranked){
		.weight = leaving ? 0 : member_weight(self, FEED_RANKING),
	};
	for (size_t i = 0; i < count; i++)
		ranked[i + 1] = (struct ranked){
			.weight = member_weight(hosts[i].incarnation,
						FEED_RANKING),
			.host = &hosts[i],
		};
	qsort(ranked, count + 1, sizeof(*ranked), ranked_cmp);
	return ranked;
}

/* How a host weighs a relay as its parent. */
static uint64_t parent_weight(const struct ranked *relay, const char *host)
{
	return XXH64(host, strlen(host), relay->weight);
}

/* Returns how many relays a host prefers to this one, own. Followers are no
 * parents: if they are all cut off from the store, each host must still hear
 * from one that is not. */
static unsigned parent_place(const struct ranked *ranked, unsigned relays,
			     const struct ranked *own, const char *host)
{
	uint64_t weight = parent_weight(own, host);
	unsigned place = 0;

	for (unsigned i = FOLLOWERS; i < relays; i++)
		place += parent_weight(&ranked[i], host) > weight;
	return place;
}

static void target_add(struct feed *feed, const struct feed_host *host,
		       unsigned place, bool relay)
{
	struct feed_target target = { .primary = place == 0, .relay = relay };

	g_strlcpy(target.incarnation, host->incarnation,
		  sizeof(target.incarnation));
	g_strlcpy(target.rpc, host->rpc, sizeof(target.rpc));
	g_array_append_val(feed->targets, target);
}

/* Lists the other relays, all of which a follower feeds. */
static void relays_list(struct feed *feed, const struct ranked *ranked,
			unsigned relays)
{
	for (unsigned i = 0; i < relays; i++) {
		const struct feed_host *host = ranked[i].host;

		if (!host)
			continue;
		g_hash_table_add(feed->relays, g_strdup(host->rpc));
		if (i < FOLLOWERS || feed->all_follow)
			g_hash_table_add(feed->followers, g_strdup(host->rpc));
		if (feed->role != FEED_LEAF && !feed->all_follow)
			target_add(feed, host, PARENTS, true);
	}
}

/* Returns how many relays there are, followers included: then a relay feeds
 * about as many hosts as there are relays, and the work of each grows with the
 * root of the hosts. */
static unsigned relays_for(unsigned total)
{
	unsigned parents = PARENTS;

	while (parents * parents < total)
		parents++;
	return FOLLOWERS + parents;
}

/* Lists the hosts that this relay feeds. */
static void leaves_list(struct feed *feed, const struct ranked *ranked,
			size_t count, unsigned relays)
{
	for (size_t i = relays; i < count; i++) {
		const struct feed_host *host = ranked[i].host;
		unsigned place = parent_place(
			ranked, relays, &ranked[feed->rank], host->incarnation);

		if (place < PARENTS)
			target_add(feed, host, place, false);
	}
}

/* Sets the relay to which a leaf reports. */
static void parent_set(struct feed *feed, const struct ranked *ranked,
		       unsigned relays, const char *self)
{
	uint64_t best = 0;

	for (unsigned i = FOLLOWERS; i < relays; i++) {
		uint64_t weight = parent_weight(&ranked[i], self);

		if (!ranked[i].host || (feed->parent[0] && weight <= best))
			continue;
		best = weight;
		feed->parent_key = g_str_hash(ranked[i].host->incarnation);
		g_strlcpy(feed->parent, ranked[i].host->rpc,
			  sizeof(feed->parent));
	}
}

/* Notes a change of the hosts that get this one's counts: a host that starts
 * again at the same address has none. */
static void generation_update(struct feed *feed, const struct ranked *ranked,
			      unsigned relays)
{
	guint key = feed->parent[0] ? feed->parent_key : 0;

	for (unsigned i = 0; i < relays; i++)
		if (ranked[i].host && (i < FOLLOWERS || feed->all_follow))
			key += g_str_hash(ranked[i].host->incarnation);
	feed->generation += key != feed->reporting_key;
	feed->reporting_key = key;
}

/* Notes a change of the hosts that sum up what others report. */
static void relays_update(struct feed *feed, const struct ranked *ranked,
			  unsigned relays, const char *self)
{
	guint key = feed->grouped;

	for (unsigned i = 0; i < relays && !feed->all_follow; i++)
		key += g_str_hash(ranked[i].host ? ranked[i].host->incarnation
						 : self);
	feed->relay_generation += key != feed->relays_key;
	feed->relays_key = key;
}

/* Whether all hosts take sums of groups and packed replies. */
static bool all_are_current(const struct feed_host *hosts, size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (!build_has(hosts[i].incarnation, BUILD_GROUPS) ||
		    !build_has(hosts[i].incarnation, BUILD_PACKED))
			return false;
	return true;
}

void feed_update(struct feed *feed, const char *self, bool leaving,
		 const struct feed_host *hosts, size_t count, unsigned total)
{
	struct ranked *ranked = hosts_rank(self, leaving, hosts, count);
	unsigned relays = relays_for(total);
	unsigned own = 0;

	while (ranked[own].host)
		own++;
	feed->all_follow = total <= ALL_FOLLOW_MAX;
	if (feed->all_follow)
		relays = total;
	feed->rank = own;
	feed->relay_count = relays;
	relays = (unsigned)MIN(relays, count + 1);
	feed->role = feed->all_follow || own < FOLLOWERS ? FEED_FOLLOWER
		     : own < relays			 ? FEED_RELAY
							 : FEED_LEAF;
	g_hash_table_remove_all(feed->relays);
	g_hash_table_remove_all(feed->followers);
	g_array_set_size(feed->targets, 0);
	relays_list(feed, ranked, relays);
	if (feed->role == FEED_RELAY)
		leaves_list(feed, ranked, count + 1, relays);
	feed->parent[0] = '\0';
	if (feed->role == FEED_LEAF)
		parent_set(feed, ranked, relays, self);
	feed->all_current = count > 0 && all_are_current(hosts, count);
	feed->grouped =
		!feed->all_follow && relays > FOLLOWERS && feed->all_current;
	generation_update(feed, ranked, relays);
	relays_update(feed, ranked, relays, self);
	g_free(ranked);
}

void feed_on_heartbeat(struct feed *feed, const char *rpc, clk_ms now)
{
	const GHashTable *counted =
		feed->role == FEED_LEAF ? feed->relays : feed->followers;

	if (g_hash_table_contains((GHashTable *)counted, rpc))
		feed->heartbeat_at = now;
}

bool feed_is_relay(const struct feed *feed, const char *rpc)
{
	return g_hash_table_contains(feed->relays, rpc);
}

bool feed_follows(const struct feed *feed, clk_ms now)
{
	return feed->role == FEED_FOLLOWER ||
	       now - feed->heartbeat_at > (feed->role == FEED_RELAY
						   ? RELAY_TIMEOUT_MS
						   : LEAF_TIMEOUT_MS);
}

bool feed_is_fresh(const struct feed *feed, bool reads_store, clk_ms now)
{
	return reads_store || (feed->role != FEED_FOLLOWER &&
			       now - feed->heartbeat_at <= RELAY_TIMEOUT_MS);
}

bool feed_sends_to(const struct feed *feed, const struct feed_target *target,
		   bool reads_store)
{
	return !target->relay || (reads_store && feed->role != FEED_LEAF);
}
