/* A local copy of the settings or the list of hosts, ordered by revision. */
#include "store.h"

#include "check.h"

static void item_free(void *ptr)
{
	struct store_item *item = ptr;

	if (item->value)
		g_bytes_unref(item->value);
	g_free(item->key);
	g_free(item);
}

struct store *store_create(void (*changed)(void *ctx,
					   const struct store_item *item),
			   void *ctx)
{
	struct store *store = g_new0(struct store, 1);

	store->items =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, item_free);
	store->changed = changed;
	store->ctx = ctx;
	return store;
}

void store_free(struct store *store)
{
	g_hash_table_destroy(store->items);
	g_free(store);
}

bool store_put(struct store *store, const char *key, GBytes *value, int64_t mod)
{
	struct store_item *item = g_hash_table_lookup(store->items, key);

	if (item && item->mod >= mod) {
		store->stale_count += item->mod > mod;
		return false;
	}
	if (!item) {
		item = g_new0(struct store_item, 1);
		item->key = g_strdup(key);
		g_hash_table_insert(store->items, item->key, item);
	}
	dec_assert(mod > item->mod, "an item's revision only grows");
	if (item->value)
		g_bytes_unref(item->value);
	item->value = value ? g_bytes_ref(value) : NULL;
	item->mod = mod;
	if (store->changed)
		store->changed(store->ctx, item);
	return true;
}

void store_snapshot(struct store *store, GHashTable *present, int64_t revision)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, store->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct store_item *item = value;

		if (!item->value || item->mod > revision ||
		    g_hash_table_contains(present, item->key))
			continue;
		g_bytes_unref(item->value);
		item->value = NULL;
		item->mod = revision;
		if (store->changed)
			store->changed(store->ctx, item);
	}
	if (store->revision == 0)
		store->deletions_since = revision;
	store_complete(store, revision);
}

void store_complete(struct store *store, int64_t revision)
{
	store->revision = MAX(store->revision, revision);
}

const struct store_item *store_get(const struct store *store, const char *key)
{
	return g_hash_table_lookup(store->items, key);
}

void store_each_after(const struct store *store, int64_t after,
		      void (*fn)(void *ctx, const struct store_item *item),
		      void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, store->items);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct store_item *)value)->mod > after)
			fn(ctx, value);
}
