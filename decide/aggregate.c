/* Sums of values that many hosts report. */
#include "aggregate.h"

#include <string.h>
#include <xxhash.h>

/* The last report of one process. */
struct report {
	GHashTable *values; /* key -> double */
	clk_ms received_at;
};

static void report_free(gpointer data)
{
	struct report *report = data;

	g_hash_table_destroy(report->values);
	g_free(report);
}

static GHashTable *values_create(void)
{
	return g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

uint32_t aggregate_key(const char *name)
{
	return XXH32(name, strlen(name), 0);
}

struct aggregate *aggregate_create(void (*on_change)(void *ctx, uint32_t key,
						     double total),
				   void *ctx)
{
	struct aggregate *aggregate = g_new0(struct aggregate, 1);

	aggregate->hosts = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, report_free);
	aggregate->totals = values_create();
	aggregate->on_change = on_change;
	aggregate->ctx = ctx;
	return aggregate;
}

/* Returns a key's value in a table, created as 0 if it is missing. */
static double *value_slot(GHashTable *table, uint32_t key)
{
	double *slot = g_hash_table_lookup(table, GUINT_TO_POINTER(key));

	if (!slot) {
		slot = g_new0(double, 1);
		g_hash_table_insert(table, GUINT_TO_POINTER(key), slot);
	}
	return slot;
}

static void total_add(struct aggregate *aggregate, uint32_t key, double value)
{
	double *total = value_slot(aggregate->totals, key);

	*total += value;
	if (aggregate->on_change && value != 0)
		aggregate->on_change(aggregate->ctx, key, *total);
}

/* Subtracts a process's previous report from the totals. */
static void report_subtract(struct aggregate *aggregate, struct report *report)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, report->values);
	while (g_hash_table_iter_next(&iter, &key, &value))
		total_add(aggregate, GPOINTER_TO_UINT(key), -*(double *)value);
	g_hash_table_remove_all(report->values);
}

void aggregate_update(struct aggregate *aggregate, const char *process,
		      const struct aggregate_value *values, size_t count,
		      clk_ms now)
{
	struct report *report = g_hash_table_lookup(aggregate->hosts, process);
	GHashTable *before;

	if (!report) {
		report = g_new0(struct report, 1);
		report->values = values_create();
		g_hash_table_insert(aggregate->hosts, g_strdup(process),
				    report);
	}
	report->received_at = now;
	before = report->values;
	report->values = values_create();
	for (size_t i = 0; i < count; i++) {
		double *old = g_hash_table_lookup(
			before, GUINT_TO_POINTER(values[i].key));

		*value_slot(report->values, values[i].key) = values[i].value;
		total_add(aggregate, values[i].key,
			  values[i].value - (old ? *old : 0));
		if (old)
			*old = 0;
	}
	/* Keys that it no longer reports count as 0. */
	report_subtract(aggregate, &(struct report){ .values = before });
	g_hash_table_destroy(before);
}

void aggregate_expire(struct aggregate *aggregate, clk_ms before)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, aggregate->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct report *report = value;

		if (report->received_at >= before)
			continue;
		report_subtract(aggregate, report);
		g_hash_table_iter_remove(&iter);
	}
}

unsigned aggregate_active_count(const struct aggregate *aggregate, clk_ms since)
{
	GHashTableIter iter;
	gpointer value;
	unsigned count = 0;

	g_hash_table_iter_init(&iter, aggregate->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((const struct report *)value)->received_at >= since;
	return count;
}

double aggregate_lookup(const struct aggregate *aggregate, const char *process,
			uint32_t key)
{
	const struct report *report =
		g_hash_table_lookup(aggregate->hosts, process);
	const double *value =
		report ? g_hash_table_lookup(report->values,
					     GUINT_TO_POINTER(key))
		       : NULL;

	return value ? *value : 0;
}

double aggregate_total(const struct aggregate *aggregate, uint32_t key)
{
	const double *total =
		g_hash_table_lookup(aggregate->totals, GUINT_TO_POINTER(key));

	return total ? *total : 0;
}

void aggregate_foreach(const struct aggregate *aggregate,
		       void (*fn)(void *ctx, uint32_t key, double total),
		       void *ctx)
{
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	g_hash_table_iter_init(&iter, aggregate->totals);
	while (g_hash_table_iter_next(&iter, &key, &value))
		fn(ctx, GPOINTER_TO_UINT(key), *(double *)value);
}
