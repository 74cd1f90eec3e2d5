/*
 * A local copy of the operators' settings, or of the list of hosts, versioned
 * by the platform's revisions. An item is only replaced by one of a greater
 * revision, so a copy never goes back to older values.
 */
#ifndef DECIDE_STORE_H
#define DECIDE_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* One key. A deleted key is kept as a tombstone, so that an older value cannot
 * restore it. */
struct store_item {
	char *key;
	GBytes *value; /* NULL: deleted */
	int64_t mod;   /* platform revision of the last change */
};

struct store {
	GHashTable *items;	 /* key -> struct store_item */
	int64_t revision;	 /* all changes up to it are applied */
	int64_t deletions_since; /* all deletions after it are known */
	/* Called for every item that changed. */
	void (*changed)(void *ctx, const struct store_item *item);
	void *ctx;
	uint64_t stale_count; /* items ignored as older */
};

struct store *store_create(void (*changed)(void *ctx,
					   const struct store_item *item),
			   void *ctx);
void store_free(struct store *store);
/* Stores an item, unless it is not newer than the stored one. Returns whether
 * it was stored. */
bool store_put(struct store *store, const char *key, GBytes *value,
	       int64_t mod);
/* Applies the deletions of a complete snapshot: items that are neither in
 * present, the set of its keys, nor newer than revision are marked deleted. */
void store_snapshot(struct store *store, GHashTable *present, int64_t revision);
/* Records that all items up to a revision were stored. */
void store_complete(struct store *store, int64_t revision);
const struct store_item *store_get(const struct store *store, const char *key);
/* Calls fn for each item that changed after a revision. */
void store_each_after(const struct store *store, int64_t after,
		      void (*fn)(void *ctx, const struct store_item *item),
		      void *ctx);

#endif
