/*
 * A replica of the operators' settings, or of the list of hosts: items in
 * the order of the platform's revisions. An item is only ever replaced by
 * one of a greater revision, so a replica never goes back.
 */
#ifndef DECIDE_STORE_H
#define DECIDE_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* One key; a deleted one is kept, so that it can't come back. */
struct store_item {
	char *key;
	GBytes *value; /* NULL: deleted */
	int64_t mod;   /* the platform's revision of the last change */
};

struct store {
	GHashTable *items;	 /* key -> struct store_item */
	int64_t revision;	 /* everything up to it is here */
	int64_t deletions_since; /* deletions after it are known */
	/* Called for every item that is new. */
	void (*changed)(void *ctx, const struct store_item *item);
	void *ctx;
	uint64_t stale; /* items that were refused as older */
};

struct store *store_create(void (*changed)(void *ctx,
					   const struct store_item *item),
			   void *ctx);
void store_free(struct store *store);
/* Takes an item; returns whether it was news. */
bool store_put(struct store *store, const char *key, GBytes *value,
	       int64_t mod);
/* Takes a whole snapshot: what is not in it, and not newer, is deleted.
 * present is the set of its keys. */
void store_snapshot(struct store *store, GHashTable *present, int64_t revision);
/* All items up to a revision were put. */
void store_complete(struct store *store, int64_t revision);
const struct store_item *store_get(const struct store *store, const char *key);
/* Calls fn for each item that changed after a revision. */
void store_each_after(const struct store *store, int64_t after,
		      void (*fn)(void *ctx, const struct store_item *item),
		      void *ctx);

#endif
