/* Counts of started requests by account and window. */
#include "usage.h"

#include <stdio.h>
#include <string.h>

/* Started requests of one account that a host may keep to itself, as they are
 * lost if it is killed: so many, or this share of all in the window. Both are
 * below the error that a report may have. */
#define UNREPORTED_MAX 2
#define UNREPORTED_SHARE 0.02

/* One counter; its key in the table is made of its window, process and
 * account. The process of a total over all processes is "". */
struct usage_entry {
	int64_t window;
	char *process;
	char *account;
	int64_t count;
	int64_t reported; /* of count, to other hosts */
	bool forward;	  /* this host reports it */
	bool changed;	  /* it is listed as changed */
};

static void entry_free(gpointer data)
{
	struct usage_entry *entry = data;

	g_free(entry->process);
	g_free(entry->account);
	g_free(entry);
}

static GHashTable *table_create(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     entry_free);
}

void usage_init(struct usage *usage, clk_ms window)
{
	*usage = (struct usage){
		.window = window,
		.counts = table_create(),
		.totals = table_create(),
		.changed = g_ptr_array_new(),
	};
}

int64_t usage_window(const struct usage *usage, clk_ms wall)
{
	return wall / usage->window;
}

static gboolean is_expired(gpointer key, gpointer value, gpointer ctx)
{
	const struct usage_entry *entry = value;
	const struct usage *usage = ctx;

	(void)key;
	return entry->window <= usage->newest_window - USAGE_WINDOWS;
}

/* Drops the counts of windows that are too old. */
static void windows_expire(struct usage *usage)
{
	GPtrArray *changed = usage->changed;

	for (guint i = changed->len; i-- > 0;)
		if (is_expired(NULL, g_ptr_array_index(changed, i), usage))
			g_ptr_array_remove_index_fast(changed, i);
	g_hash_table_foreach_remove(usage->counts, is_expired, usage);
	g_hash_table_foreach_remove(usage->totals, is_expired, usage);
}

static char *entry_key(const char *process, const char *account, int64_t window)
{
	return g_strdup_printf("%" G_GINT64_FORMAT "\n%s\n%s", window, process,
			       account);
}

/* Returns a counter of a table, created if missing. */
static struct usage_entry *entry_get(GHashTable *table, const char *process,
				     const char *account, int64_t window)
{
	char *key = entry_key(process, account, window);
	struct usage_entry *entry = g_hash_table_lookup(table, key);

	if (entry) {
		g_free(key);
		return entry;
	}
	entry = g_new0(struct usage_entry, 1);
	entry->window = window;
	entry->process = g_strdup(process);
	entry->account = g_strdup(account);
	g_hash_table_insert(table, key, entry);
	return entry;
}

/* Adds to a process's count of a window, unless the window has expired;
 * returns the counter, or NULL. */
static struct usage_entry *count_raise(struct usage *usage, const char *process,
				       const char *account, int64_t window,
				       int64_t by, bool forward)
{
	struct usage_entry *entry;

	if (window > usage->newest_window) {
		usage->newest_window = window;
		windows_expire(usage);
	}
	if (window <= usage->newest_window - USAGE_WINDOWS)
		return NULL;
	entry = entry_get(usage->counts, process, account, window);
	entry->count += by;
	entry->forward |= forward;
	if (entry->forward && entry->count > entry->reported &&
	    !entry->changed) {
		entry->changed = true;
		g_ptr_array_add(usage->changed, entry);
	}
	entry_get(usage->totals, "", account, window)->count += by;
	return entry;
}

static int64_t total_of(const struct usage *usage, const char *account,
			int64_t window)
{
	char *key = entry_key("", account, window);
	const struct usage_entry *total =
		g_hash_table_lookup(usage->totals, key);

	g_free(key);
	return total ? total->count : 0;
}

/* Returns how many requests of an account may be unreported in a window, which
 * may get no more than those counted so far. */
static double unreported_max(const struct usage *usage, const char *account,
			     int64_t window)
{
	return MAX(UNREPORTED_MAX,
		   UNREPORTED_SHARE * (double)total_of(usage, account, window));
}

bool usage_add(struct usage *usage, const char *process, const char *account,
	       clk_ms wall)
{
	int64_t window = usage_window(usage, wall);
	struct usage_entry *entry =
		count_raise(usage, process, account, window, 1, true);

	return entry && (double)(entry->count - entry->reported) >=
				unreported_max(usage, account, window);
}

bool usage_merge(struct usage *usage, const char *process, const char *account,
		 int64_t window, int64_t count, bool forward, clk_ms wall)
{
	struct usage_entry *entry;

	if (window < 0 || window > usage_window(usage, wall) + USAGE_AHEAD ||
	    count < 0 || count > USAGE_COUNT_MAX)
		return false;
	entry = count_raise(usage, process, account, window, 0, forward);
	if (entry && count > entry->count)
		count_raise(usage, process, account, window,
			    count - entry->count, forward);
	return true;
}

bool usage_has_changed(const struct usage *usage)
{
	return usage->changed->len > 0;
}

static struct usage_count entry_count(const struct usage_entry *entry)
{
	return (struct usage_count){
		.process = entry->process,
		.account = entry->account,
		.window = entry->window,
		.count = entry->count,
	};
}

/* Passes an entry on, if it is of the process, and marks it as reported. */
static void entry_report(struct usage_entry *entry, const char *process,
			 void (*fn)(void *ctx, const struct usage_count *count),
			 void *ctx)
{
	struct usage_count count = entry_count(entry);

	if (process && strcmp(process, entry->process) != 0)
		return;
	entry->reported = entry->count;
	fn(ctx, &count);
}

void usage_report(struct usage *usage, const char *process,
		  enum usage_again again,
		  void (*fn)(void *ctx, const struct usage_count *count),
		  void *ctx)
{
	int64_t oldest = again == USAGE_KEPT ? 0 : usage->newest_window - 1;
	GHashTableIter iter;
	gpointer value;

	for (guint i = 0; i < usage->changed->len; i++) {
		struct usage_entry *entry =
			g_ptr_array_index(usage->changed, i);

		entry->changed = false;
		entry_report(entry, process, fn, ctx);
	}
	g_ptr_array_set_size(usage->changed, 0);
	g_hash_table_iter_init(&iter, usage->counts);
	while (again != USAGE_CHANGED &&
	       g_hash_table_iter_next(&iter, NULL, &value)) {
		struct usage_entry *entry = value;

		if (entry->forward && entry->window >= oldest)
			entry_report(entry, process, fn, ctx);
	}
}

void usage_each(const struct usage *usage,
		void (*fn)(void *ctx, const struct usage_count *count),
		void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, usage->counts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct usage_count count = entry_count(value);

		fn(ctx, &count);
	}
}

void usage_totals(const struct usage *usage, int64_t window,
		  void (*fn)(void *ctx, const char *account, int64_t count),
		  void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, usage->totals);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct usage_entry *entry = value;

		if (entry->window == window)
			fn(ctx, entry->account, entry->count);
	}
}
