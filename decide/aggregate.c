/* Figures of many hosts, added up. */
#include "aggregate.h"

#include <string.h>
#include <xxhash.h>

/* What one process told. */
struct told {
	GHashTable *parts; /* key -> double */
	clk_ms at;
};

static void told_free(gpointer data)
{
	struct told *told = data;

	g_hash_table_destroy(told->parts);
	g_free(told);
}

static GHashTable *parts_create(void)
{
	return g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

uint32_t aggregate_key(const char *name)
{
	return XXH32(name, strlen(name), 0);
}

struct aggregate *aggregate_create(void (*changed)(void *ctx, uint32_t key,
						   double total),
				   void *ctx)
{
	struct aggregate *sums = g_new0(struct aggregate, 1);

	sums->hosts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    told_free);
	sums->totals = parts_create();
	sums->on_change = changed;
	sums->ctx = ctx;
	return sums;
}

/* Returns a figure's place in a table, made if it is missing. */
static double *place_of(GHashTable *table, uint32_t key)
{
	double *place = g_hash_table_lookup(table, GUINT_TO_POINTER(key));

	if (!place) {
		place = g_new0(double, 1);
		g_hash_table_insert(table, GUINT_TO_POINTER(key), place);
	}
	return place;
}

/* Changes a total. */
static void total_add(struct aggregate *sums, uint32_t key, double value)
{
	double *total = place_of(sums->totals, key);

	*total += value;
	if (sums->on_change && value != 0)
		sums->on_change(sums->ctx, key, *total);
}

/* Takes what a process told before out of the totals. */
static void told_withdraw(struct aggregate *sums, struct told *told)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, told->parts);
	while (g_hash_table_iter_next(&iter, &key, &value))
		total_add(sums, GPOINTER_TO_UINT(key), -*(double *)value);
	g_hash_table_remove_all(told->parts);
}

void aggregate_update(struct aggregate *sums, const char *process,
		      const struct aggregate_value *parts, size_t count,
		      clk_ms now)
{
	struct told *told = g_hash_table_lookup(sums->hosts, process);
	GHashTable *before;

	if (!told) {
		told = g_new0(struct told, 1);
		told->parts = parts_create();
		g_hash_table_insert(sums->hosts, g_strdup(process), told);
	}
	told->at = now;
	before = told->parts;
	told->parts = parts_create();
	for (size_t i = 0; i < count; i++) {
		double *old = g_hash_table_lookup(
			before, GUINT_TO_POINTER(parts[i].key));

		*place_of(told->parts, parts[i].key) = parts[i].value;
		total_add(sums, parts[i].key,
			  parts[i].value - (old ? *old : 0));
		if (old)
			*old = 0;
	}
	/* What it no longer tells is 0. */
	told_withdraw(sums, &(struct told){ .parts = before });
	g_hash_table_destroy(before);
}

void aggregate_expire(struct aggregate *sums, clk_ms before)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, sums->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct told *told = value;

		if (told->at >= before)
			continue;
		told_withdraw(sums, told);
		g_hash_table_iter_remove(&iter);
	}
}

unsigned aggregate_host_count(const struct aggregate *sums)
{
	return g_hash_table_size(sums->hosts);
}

unsigned aggregate_active_count(const struct aggregate *sums, clk_ms since)
{
	GHashTableIter iter;
	gpointer value;
	unsigned count = 0;

	g_hash_table_iter_init(&iter, sums->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((const struct told *)value)->at >= since;
	return count;
}

double aggregate_lookup(const struct aggregate *sums, const char *process,
			uint32_t key)
{
	const struct told *told = g_hash_table_lookup(sums->hosts, process);
	const double *value =
		told ? g_hash_table_lookup(told->parts, GUINT_TO_POINTER(key))
		     : NULL;

	return value ? *value : 0;
}

void aggregate_foreach(const struct aggregate *sums,
		       void (*fn)(void *ctx, uint32_t key, double total),
		       void *ctx)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, sums->totals);
	while (g_hash_table_iter_next(&iter, &key, &value))
		fn(ctx, GPOINTER_TO_UINT(key), *(double *)value);
}
